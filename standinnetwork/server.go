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

// Paths that every simulated service serves in addition to its own.
const (
	faultsPath = "/standin/faults"
	callsPath  = "/standin/calls"
)

// maxBody is the largest request body, in bytes.
const maxBody = 8 << 20

// Settings configures a Server.
type Settings struct {
	Listen string // address; "" means a loopback address that is reserved until Stop
	// Handle answers a call. Its context ends when the server stops.
	Handle func(life context.Context, ctx *fasthttp.RequestCtx)
	// Fault starts a fault of a kind that the server itself does not implement;
	// nil means that there are no further kinds.
	Fault func(kind string, body []byte) error
	// Calls returns the value that callsPath answers with; nil means an empty answer.
	Calls func() any
	// Exit is called after Kill; nil means nothing.
	Exit func()
}

// Server is an HTTP server that simulates crashes, freezes, silent connections and
// graceful stops on request. It is safe for concurrent use.
type Server struct {
	cfg Settings

	mu   sync.Mutex
	addr Address
	run  *run // nil while the server is down
}

// run is the state of a server from Start until it stops.
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
	return &Server{cfg: cfg}
}

// Start listens and begins to serve, on the port of the previous start unless Stop
// has released it. It returns an error if it cannot listen.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := s.addr.Listen(s.cfg.Listen)
	if err != nil {
		return err
	}
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

// NewHTTP returns an HTTP server with the limits common to the simulated services.
func NewHTTP(handle fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handle,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxBody,
		MaxIdleWorkerDuration: time.Second,
		Logger:                discardLogger{},
	}
}

// discardLogger is a logger that discards what the server logs about lost connections.
type discardLogger struct{}

// Printf discards its arguments.
func (discardLogger) Printf(string, ...any) {}

// Addr returns the address that the server listens on. It is kept after a Kill.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr.String()
}

// Stop resets all connections, waits until the server has returned, and releases a
// reserved address.
func (s *Server) Stop() {
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr.Release()
}

// stop stops the server and reports whether it was up.
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

// Kill stops the server and then calls Settings.Exit. It does nothing if the
// server is down.
func (s *Server) Kill() {
	if s.stop() && s.cfg.Exit != nil {
		s.cfg.Exit()
	}
}

// Restart stops the server if it is up and starts it on the same port.
func (s *Server) Restart() error {
	s.stop()
	return s.Start()
}

// Freeze makes the server accept connections but not answer until Thaw.
func (s *Server) Freeze() {
	s.withRun(func(r *run) {
		if r.thawed == nil {
			r.thawed = make(chan struct{})
		}
	})
}

// Thaw ends a Freeze.
func (s *Server) Thaw() {
	s.withRun(func(r *run) {
		if r.thawed != nil {
			close(r.thawed)
			r.thawed = nil
		}
	})
}

// Silence permanently stops reads and writes on the open connections without
// closing them. New connections work.
func (s *Server) Silence() { s.silence(nil) }

func (s *Server) silence(keep net.Conn) {
	s.withRun(func(r *run) { r.listener.Silence(keep) })
}

// Leave starts a graceful stop: calls in progress continue, new ones get 503.
func (s *Server) Leave() {
	s.withRun(func(r *run) { r.leaving = true })
}

// withRun calls f under the mutex unless the server is down.
func (s *Server) withRun(f func(r *run)) {
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
	leaving, ok := s.waitThawed(r)
	switch {
	case !ok:
		CloseUnanswered(ctx)
	case leaving:
		Fail(ctx, http.StatusServiceUnavailable, "leaving")
	default:
		s.cfg.Handle(r.life, ctx)
	}
}

// waitThawed blocks while the server is frozen. It reports whether the server is
// leaving; ok is false if it stopped.
func (s *Server) waitThawed(r *run) (leaving, ok bool) {
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
	if err := s.startFault(f.Kind, ctx); err != nil {
		Fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	ctx.SetStatusCode(http.StatusNoContent)
}

func (s *Server) startFault(kind string, ctx *fasthttp.RequestCtx) error {
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
			return errs.New("unknown fault kind %q", kind)
		}
		return s.cfg.Fault(kind, ctx.PostBody())
	}
	return nil
}

// CloseUnanswered closes the connection of a call without writing a response.
func CloseUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// WriteJSON answers with a status and v as JSON. It panics if v cannot be encoded.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// failure is the response body of a call that failed.
type failure struct {
	Error string
}

// Fail answers with a status and an error text as JSON.
func Fail(ctx *fasthttp.RequestCtx, status int, text string) {
	WriteJSON(ctx, status, failure{text})
}
