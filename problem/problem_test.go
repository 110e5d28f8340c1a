package problem

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/result"
)

func TestWriteRead(t *testing.T) {
	for _, c := range result.Codes() {
		if c == result.OK {
			continue
		}
		e := result.New(c, "what failed").After(1001 * time.Millisecond).Ran(result.RunUnknown)
		var ctx fasthttp.RequestCtx
		Write(&ctx, e, "r1")
		if got, want := ctx.Response.StatusCode(), c.Info().Status; got != want {
			t.Errorf("%v: got status %d, want %d", c, got, want)
		}
		if got, want := string(ctx.Response.Header.Peek("Retry-After")), "2"; got != want {
			t.Errorf("%v: got Retry-After %q, want %q", c, got, want)
		}
		if got, want := string(ctx.Response.Header.ContentType()), ContentType; got != want {
			t.Errorf("%v: got type %q, want %q", c, got, want)
		}
		got, ok := Read(ctx.Response.Body())
		if !ok || *got != *e {
			t.Errorf("%v: got %v, want %v", c, got, e)
		}
	}
	if _, ok := Read([]byte(`{"Code":7}`)); ok {
		t.Error("unknown code: got an error, want none")
	}
}
