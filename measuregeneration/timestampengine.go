package measuregeneration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// timestampEngine is an engine whose tokens carry the time at which they were produced, so
// that the caller can measure their age. It always streams from the first token and
// does not support continuation.
type timestampEngine struct {
	tokens   int
	interval time.Duration // between tokens of a stream; 0 means as fast as the client reads
	listener net.Listener
	server   *fasthttp.Server
}

func (e *timestampEngine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.listener = l
	e.server = &fasthttp.Server{Handler: e.handle}
	go func() { _ = e.server.Serve(l) }()
	return nil
}

func (e *timestampEngine) stop() {
	_ = e.listener.Close()
}

func (e *timestampEngine) addr() string {
	return e.listener.Addr().String()
}

// tokensPerFlush is the number of tokens that a stream without interval writes per flush.
const tokensPerFlush = 8

func (e *timestampEngine) handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	id, _ := json.Marshal(string(ctx.Request.Header.Peek("X-Request-Id")))
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		ticker := time.NewTicker(max(e.interval, time.Microsecond))
		defer ticker.Stop()
		for i := range e.tokens {
			if e.interval > 0 {
				<-ticker.C
			}
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":%s,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"n.%d@%d \"},\"finish_reason\":null}]}\n\n",
				i, id, i, time.Now().UnixNano())
			if e.interval > 0 || i%tokensPerFlush == tokensPerFlush-1 {
				if w.Flush() != nil {
					return
				}
			}
		}
		fmt.Fprintf(w, "data: {\"id\":%s,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
		_ = w.Flush()
	})
}
