package measurecontrol

import (
	"net"

	"github.com/valyala/fasthttp"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/standinsite"
)

// responder answers polls of load and cache events at many addresses, like as many
// idle engines.
type responder struct {
	server    fasthttp.Server
	listeners []net.Listener
}

func (r *responder) start(n int) error {
	r.server.Handler = answerPoll
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		r.listeners = append(r.listeners, l)
		go func() { _ = r.server.Serve(l) }()
	}
	return nil
}

func (r *responder) stop() {
	for _, l := range r.listeners {
		_ = l.Close()
	}
}

func answerPoll(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	switch string(ctx.Path()) {
	case "/v1/load":
		ctx.SetBodyString(`{"running":12,"waiting":0,"slots":64,"age_ms":40}`)
	case "/v1/cache/events":
		ctx.SetBodyString(`{"next":1,"events":[]}`)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// upstreams returns the responder's addresses as engines of a failure domain.
func (r *responder) upstreams(domain ident.Domain) []configuration.Upstream {
	var out []configuration.Upstream
	for i, l := range r.listeners {
		out = append(out, configuration.Upstream{
			Name:    ident.Upstream(numbered("poll", i)),
			Service: "assistant",
			Address: l.Addr().String(),
			Domain:  domain,
			Models:  []string{standinsite.Model},
		})
	}
	return out
}
