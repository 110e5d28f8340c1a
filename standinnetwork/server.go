package standinnetwork

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// Paths that every stand-in serves beside its own.
const (
	faultsPath = "/standin/faults"
	callsPath  = "/standin/calls"
)

// maxBody bounds a request, in bytes.
const maxBody = 8 << 20

// Settings describe the server of a stand-in.
type Settings struct {
	Listen string // address; "" means 127.0.0.1:0
	// Handle answers a call. The context ends when the server does.
	Handle func(life context.Context, ctx *fasthttp.RequestCtx)
	// Fault starts a fault of a kind that the server itself does not know; nil
	// means that there are none.
	Fault func(kind string, body []byte) error
	// Calls returns what the path of calls shows; nil means nothing.
	Calls func() any
	// Exit is called after Kill; nil means nothing.
	Exit func()
}

// Server is an HTTP server that dies, freezes, goes silent and leaves on
// demand. Its methods may be called from any goroutine.
type Server struct {
	cfg Settings

	mu   sync.Mutex
	addr string
	run  *run // nil while the server is down
}

// run is the state of a server from Start to its end.
type run struct {
	listener *Listener
	life     context.Context
	end      context.CancelFunc
	served   chan struct{}
	thawed   chan struct{} // nil unless frozen
	leaving  bool
}

// NewServer returns a server that is down until Start.
func NewServer(cfg Settings) *Server {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	return &Server{cfg: cfg}
}

// Start listens and begins to serve, on the same port as before if it has run
// before. It returns an error if it cannot listen.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.addr
	if address == "" {
		address = s.cfg.Listen
	}
	listener, err := Listen(address)
	if err != nil {
		return err
	}
	s.addr = listener.Addr().String()
	life, end := context.WithCancel(context.Background())
	r := &run{listener: listener, life: life, end: end, served: make(chan struct{})}
	s.run = r
	srv := NewHTTP(func(ctx *fasthttp.RequestCtx) { s.handle(r, ctx) })
	go func() {
		defer close(r.served)
		_ = srv.Serve(listener)
	}()
	return nil
}

// NewHTTP returns an HTTP server with the bounds of the stand-ins.
func NewHTTP(handle fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handle,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxBody,
		MaxIdleWorkerDuration: time.Second,
		Logger:                quiet{},
	}
}

// quiet drops the lines that the server logs about lost connections.
type quiet struct{}

// Printf drops the line.
func (quiet) Printf(string, ...any) {}

// Addr returns the address that the server listens on, also after a Kill.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Stop resets all connections and waits until the server has returned. It does
// nothing if the server is down.
func (s *Server) Stop() { s.stop() }

// stop reports whether the server was up.
func (s *Server) stop() bool {
	s.mu.Lock()
	r := s.run
	s.run = nil
	s.mu.Unlock()
	if r == nil {
		return false
	}
	r.end()
	r.listener.Reset()
	<-r.served
	return true
}

// Kill stops the server and then calls Exit. It does nothing if the server is
// down.
func (s *Server) Kill() {
	if s.stop() && s.cfg.Exit != nil {
		s.cfg.Exit()
	}
}

// Restart stops the server if it is up and starts it on the same port.
func (s *Server) Restart() error {
	s.Stop()
	return s.Start()
}

// Freeze makes the server accept connections and answer nothing until Thaw.
func (s *Server) Freeze() {
	s.with(func(r *run) {
		if r.thawed == nil {
			r.thawed = make(chan struct{})
		}
	})
}

// Thaw ends a Freeze.
func (s *Server) Thaw() {
	s.with(func(r *run) {
		if r.thawed != nil {
			close(r.thawed)
			r.thawed = nil
		}
	})
}

// Silence makes the connections that are open now silent for good. New ones
// work.
func (s *Server) Silence() { s.silence(nil) }

func (s *Server) silence(keep net.Conn) {
	s.with(func(r *run) { r.listener.Silence(keep) })
}

// Leave starts a graceful stop: calls in progress go on, new ones get 503.
func (s *Server) Leave() {
	s.with(func(r *run) { r.leaving = true })
}

// with calls f under the lock unless the server is down.
func (s *Server) with(f func(r *run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run != nil {
		f(s.run)
	}
}

func (s *Server) handle(r *run, ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case faultsPath:
		s.handleFault(ctx)
		return
	case callsPath:
		if s.cfg.Calls != nil {
			WriteJSON(ctx, http.StatusOK, s.cfg.Calls())
		}
		return
	}
	leaving, ok := s.pass(r)
	switch {
	case !ok:
		CloseUnanswered(ctx)
	case leaving:
		Fail(ctx, http.StatusServiceUnavailable, "leaving")
	default:
		s.cfg.Handle(r.life, ctx)
	}
}

// pass waits for the end of a Freeze. It reports whether the server is leaving,
// and false if it has ended.
func (s *Server) pass(r *run) (leaving, ok bool) {
	for {
		s.mu.Lock()
		thawed, leaving := r.thawed, r.leaving
		s.mu.Unlock()
		if thawed == nil {
			return leaving, true
		}
		select {
		case <-thawed:
		case <-r.life.Done():
			return false, false
		}
	}
}

func (s *Server) handleFault(ctx *fasthttp.RequestCtx) {
	var f struct{ Kind string }
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		Fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	if err := s.fault(f.Kind, ctx); err != nil {
		Fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	ctx.SetStatusCode(http.StatusNoContent)
}

func (s *Server) fault(kind string, ctx *fasthttp.RequestCtx) error {
	switch kind {
	case "Kill":
		go s.Kill()
	case "Freeze":
		s.Freeze()
	case "Thaw":
		s.Thaw()
	case "Silence":
		s.silence(ctx.Conn())
	case "Leave":
		s.Leave()
	default:
		if s.cfg.Fault == nil {
			return errs.New("no fault %q", kind)
		}
		return s.cfg.Fault(kind, ctx.PostBody())
	}
	return nil
}

// CloseUnanswered closes the connection of a call without an answer.
func CloseUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// WriteJSON answers with v. It panics if v cannot be written as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// failure is the body of an answer that refuses a call.
type failure struct {
	Error string
}

// Fail answers with a status and a text.
func Fail(ctx *fasthttp.RequestCtx, status int, text string) {
	WriteJSON(ctx, status, failure{text})
}
