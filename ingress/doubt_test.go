package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// TestFramingInDoubt guards against a request that stands in the body of another one and is served because the two
// framings of that one differ. The answers to sound heads come with the request behind them.
func TestFramingInDoubt(t *testing.T) {
	a, err := txtar.ParseFile("../framing/testdata/heads.txtar")
	if err != nil {
		t.Fatal(err)
	}
	const inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, f := range a.Files {
		for name, body := range map[string]string{"chunks": "0\r\n\r\n" + inner, "request": inner} {
			if name == "request" && strings.HasPrefix(f.Name, "sound/") {
				continue // not a body of chunks
			}
			t.Run(f.Name+"/"+name, func(t *testing.T) { sendHead(t, f, body) })
		}
	}
}

// sendHead sends a request with the fields in f and a body, and checks whether it is served.
func sendHead(t *testing.T, f txtar.File, body string) {
	served := make(chan string, 4)
	s := startServer(t, func(c *Call) {
		served <- c.Request.RequestURI + " " + string(c.Body)
		_ = c.Answer(http.StatusOK, http.Header{}, nil)
	})
	version := "1.1"
	if strings.HasSuffix(f.Name, "-10") {
		version = "1.0"
	}
	fields := strings.ReplaceAll(string(f.Data), "@n@", strconv.Itoa(len(body)))
	got, _ := readAll(t, s, "POST /outer HTTP/"+version+"\r\nHost: h\r\nConnection: keep-alive\r\n"+strings.ReplaceAll(fields, "\n", "\r\n")+"\r\n"+body)
	close(served)
	var ran []string
	for r := range served {
		ran = append(ran, r)
	}
	if strings.HasPrefix(f.Name, "sound/") {
		want := "/outer " + body
		if strings.Contains(f.Name, "chunks") || strings.Contains(f.Name, "words") {
			want = "/outer ,/inner "
		}
		if got := strings.Join(ran, ","); got != want {
			t.Errorf("served: got %q, want %q", got, want)
		}
		return
	}
	if len(ran) > 0 || !strings.HasPrefix(got, "HTTP/1.1 400 ") || strings.Count(got, "HTTP/1.1 ") != 1 {
		t.Errorf("served %q with answers %q, want one answer with 400 and nothing served", ran, got)
	}
	if !strings.Contains(got, "Connection: close\r\n") {
		t.Errorf("got %q, want Connection: close", got)
	}
}
