package daemon

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"crocuslug/settings"
	"crocuslug/standinkeyvalue"
	"crocuslug/timer"
)

// TestRequestLimits checks that an instance reads a body above the callers' limit only with an
// operator's key, and that it refuses callers while no configuration is in force.
func TestRequestLimits(t *testing.T) {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	file := t.TempDir() + "/key"
	if err := os.WriteFile(file, []byte("the-key"), 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := New(settings.Settings{
		Name: "accra-1", Domain: "accra", Listen: "127.0.0.1:0", PeerAddr: "127.0.0.1:0",
		Secret: settings.Secret{File: file}, Operator: settings.Secret{File: file},
	}, Options{Timer: clock, Log: zerolog.Nop(), Store: standinkeyvalue.New(clock).Port()})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	big := `{"Note": "` + strings.Repeat("a", defaultBodyBytes) + `"}`
	for _, c := range []struct {
		method, path, key, body string
		status                  int
	}{
		{http.MethodPost, operatorPath + "plans", "the-key", big, http.StatusUnprocessableEntity}, // the body is read, and its note is too long
		{http.MethodPost, operatorPath + "plans", "another", big, http.StatusRequestEntityTooLarge},
		{http.MethodPost, "/v1/chat/completions", "the-key", big, http.StatusRequestEntityTooLarge},
		{http.MethodPost, operatorPath + "plans", "another", "{}", http.StatusUnauthorized},
		{http.MethodPost, "/v1/chat/completions", "another", "{}", http.StatusServiceUnavailable},
		{http.MethodGet, "/readyz", "", "", http.StatusServiceUnavailable},
		{http.MethodGet, "/healthz", "", "", http.StatusOK},
	} {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(c.method)
		req.SetRequestURI("http://" + d.Addr() + c.path)
		req.Header.Set("Authorization", "Bearer "+c.key)
		req.SetBodyString(c.body)
		if err := fasthttp.DoTimeout(req, resp, 10*time.Second); err != nil {
			t.Errorf("%s with key %q and %d bytes: %v", c.path, c.key, len(c.body), err)
			continue
		}
		if got := resp.StatusCode(); got != c.status {
			t.Errorf("%s with key %q and %d bytes: got status %d, want %d: %.200s", c.path, c.key, len(c.body), got, c.status, resp.Body())
		}
	}
}
