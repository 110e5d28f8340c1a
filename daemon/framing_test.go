package daemon

import (
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/tools/txtar"
)

// TestFramingInDoubt guards against a request that stands in the body of another one and is served because the framing
// of that one is in doubt.
func TestFramingInDoubt(t *testing.T) {
	a, err := txtar.ParseFile("../framing/testdata/heads.txtar")
	if err != nil {
		t.Fatal(err)
	}
	var outer, inner atomic.Int32
	s := &fasthttp.Server{Logger: discardLogger{}, Handler: checkFraming(func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/inner" {
			inner.Add(1)
			return
		}
		outer.Add(1)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }() // ends with Shutdown
	defer func() { _ = s.Shutdown() }()
	body := "0\r\n\r\nGET /inner HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	for _, f := range a.Files {
		t.Run(f.Name, func(t *testing.T) {
			outer.Store(0)
			inner.Store(0)
			version := "1.1"
			if strings.HasSuffix(f.Name, "-10") {
				version = "1.0"
			}
			fields := strings.ReplaceAll(string(f.Data), "@n@", strconv.Itoa(len(body)))
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, "POST /outer HTTP/"+version+"\r\nHost: h\r\nConnection: keep-alive\r\n"+strings.ReplaceAll(fields, "\n", "\r\n")+"\r\n"+body)
			_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond)) // a connection that is kept does not end
			b, _ := io.ReadAll(c)
			got := strings.TrimPrefix(string(b), "HTTP/1.1 100 Continue\r\n\r\n")
			// fasthttp refuses any second length.
			if strings.HasPrefix(f.Name, "sound/") && f.Name != "sound/same-length-twice" {
				wantInner := int32(0)
				if strings.Contains(f.Name, "chunks") || strings.Contains(f.Name, "words") {
					wantInner = 1
				}
				if outer.Load() != 1 || inner.Load() != wantInner {
					t.Errorf("got %d outer and %d inner requests served, want 1 and %d: %q", outer.Load(), inner.Load(), wantInner, got)
				}
				return
			}
			if outer.Load() != 0 || inner.Load() != 0 || !strings.HasPrefix(got, "HTTP/1.1 400 ") || strings.Count(got, "HTTP/1.1 ") != 1 {
				t.Errorf("got %d outer and %d inner requests served, answers %q, want one answer with 400", outer.Load(), inner.Load(), got)
			}
		})
	}
}
