package daemon

import (
	"github.com/valyala/fasthttp"

	"crocuslug/framing"
	"crocuslug/problem"
	"crocuslug/result"
)

// checkFraming wraps h to refuse requests whose framing is in doubt, and to close their connection. fasthttp refuses
// some of them itself; it accepts, for example, a Transfer-Encoding without chunks and reads the body as the next
// request.
func checkFraming(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		var s framing.Scanner
		s.Reset(true)
		s.Scan(ctx.Request.Header.RawHeaders())
		if err := s.Err(ctx.Request.Header.IsHTTP11()); err != nil {
			ctx.SetConnectionClose()
			problem.Write(ctx, result.New(result.Malformed, err.Error()), "")
			return
		}
		h(ctx)
	}
}
