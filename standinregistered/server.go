// Package standinregistered simulates upstreams that register themselves in the
// key-value store: model engines that stream numbered pieces and keep copies of
// each other's runs, and plain services.
//
// Tests need to know which requests ran. If a recorder is configured, the server
// reports each request to it and runs the request only after the recorder
// answers 200 OK.
package standinregistered

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/keyvalue"
	"crocuslug/nativewire"
	"crocuslug/prefix"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/work"
)

// Settings configures a Server.
type Settings struct {
	Listen   string
	Public   string // address to register; empty means that of Listen
	Store    string // address of the key-value service
	Recorder string // address that runs are reported to; empty means none
	Service  ident.Service
	Domain   ident.Domain
	Build    ident.Build   // version of its software, which its pieces name; empty means none
	Prefill  time.Duration // before the first piece of a run without a copy
	Interval time.Duration // between pieces
	Pieces   int           // of an answer; 0 means a plain service
	Drain    time.Duration // between the announcement that it is leaving and its end
	Announce bool          // its answers say when it is leaving, too
	// CrashPart is a part of prompts. The server ends like a crashed process when it is about to
	// write the first piece of an answer to a prompt that holds it. Empty means none.
	CrashPart string
	// CrashBody begins the bodies on which a plain service crashes in the same way, when it is about to
	// answer.
	CrashBody string
	OnCrash   func() // called after such an end, on another goroutine; nil means nothing
}

// Intervals and timeouts of an upstream.
const (
	leaseTTL       = 3 * time.Second
	renewInterval  = time.Second
	requestTimeout = time.Second
)

// Server is one upstream.
type Server struct {
	cfg    Settings
	id     ident.Upstream
	timer  *timer.Service
	store  store.Store
	client *keyvalue.Client
	http   *http.Server
	addr   string
	ctx    context.Context
	cancel context.CancelFunc

	crashed sync.Once

	mu             sync.Mutex
	piecesWritten  map[string]int  // number of pieces written of each current run, by request id
	receivedCopies map[string]bool // keys of copies received from other engines
	lease          store.Lease
	leaving        bool   // its entry says that it is leaving
	saysLeaving    bool   // its answers say so
	rest           string // value of nativewire.RestField with which requests are turned away; empty means that they are served
	limit          string // value of nativewire.LimitField in answers; empty means none
}

// New returns an upstream that is not started. Each call makes a new upstream id.
func New(cfg Settings, t *timer.Service) *Server {
	s := &Server{
		cfg:            cfg,
		id:             ident.Upstream(fmt.Sprintf("%s-%d", cfg.Service, t.Now().UnixNano())),
		timer:          t,
		piecesWritten:  make(map[string]int),
		receivedCopies: make(map[string]bool),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.client = keyvalue.New(keyvalue.Settings{Address: cfg.Store}, t)
	s.store = s.client.Store()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+nativewire.StatePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(nativewire.SignatureField, string(s.id))
	})
	mux.HandleFunc("POST "+nativewire.CopiesPath, s.handleCopyRequest)
	mux.HandleFunc("PUT "+nativewire.CopiesPath, s.handleReceiveCopy)
	mux.HandleFunc("DELETE "+nativewire.CopiesPath+"/{name}", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", s.handleRequest)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: leaseTTL}
	return s
}

// Start listens, serves requests and registers the upstream in the store. It
// returns an error if it cannot listen.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return errs.Wrap(err)
	}
	s.addr = l.Addr().String()
	if s.cfg.Public == "" {
		s.cfg.Public = s.addr
	}
	go func() { _ = s.http.Serve(l) }() // ends with Stop
	go s.maintainRegistration()
	return nil
}

// SetLimit sets the limit that the answers of s name as text. It is not enforced. Empty means none.
func (s *Server) SetLimit(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = text
}

// SetRest makes s turn all requests away and ask for a rest, as text, or serve them if it is empty.
func (s *Server) SetRest(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest = text
}

// SayLeaving makes the answers of s say that it is leaving, while its entry in the store does not. It
// serves on.
func (s *Server) SayLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saysLeaving = true
}

// ID returns the id of s.
func (s *Server) ID() ident.Upstream { return s.id }

// Addr returns the address that s listens on.
func (s *Server) Addr() string { return s.addr }

// Stop registers the upstream as draining, serves for Settings.Drain longer, and
// then revokes the lease and closes the server.
func (s *Server) Stop() {
	s.mu.Lock()
	s.leaving = true
	s.saysLeaving = s.saysLeaving || s.cfg.Announce
	s.mu.Unlock()
	s.WriteEntry()
	s.wait(s.cfg.Drain)
	s.cancel()
	if lease := s.currentLease(); lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		_ = s.store.Revoke(ctx, lease) // on failure the lease expires by itself
	}
	_ = s.http.Close()
	s.client.Close()
}

func (s *Server) currentLease() store.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

func (s *Server) wait(d time.Duration) {
	done := make(chan struct{})
	sub := s.timer.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-s.ctx.Done():
	}
}

// maintainRegistration keeps the lease and the entry of the upstream in the store
// until the server ends.
func (s *Server) maintainRegistration() {
	for s.ctx.Err() == nil {
		lease := s.currentLease()
		if lease == 0 || store.Absent.Has(s.store.Renew(s.ctx, lease)) {
			if l, err := s.store.Grant(s.ctx, leaseTTL); err == nil {
				s.mu.Lock()
				s.lease = l
				s.mu.Unlock()
				s.WriteEntry()
			}
		}
		s.wait(renewInterval)
	}
}

// WriteEntry writes the entry of the upstream to the store. If the write fails, the
// next renewal grants a new lease and writes the entry again.
func (s *Server) WriteEntry() {
	s.mu.Lock()
	u := directory.Upstream{
		ID: s.id, Service: s.cfg.Service, Address: s.cfg.Public, Domain: s.cfg.Domain, Build: s.cfg.Build, Slots: 64, Draining: s.leaving,
	}
	lease := s.lease
	s.mu.Unlock()
	b, err := json.Marshal(u)
	if err != nil {
		panic(err) // the type always encodes
	}
	key := nativewire.UpstreamsPrefix + string(s.id)
	var expect store.Version
	if old, err := s.store.Get(s.ctx, key); err == nil {
		expect = old.Version
	}
	if _, err := s.store.Put(s.ctx, key, b, expect, lease); err != nil {
		s.mu.Lock()
		s.lease = 0
		s.mu.Unlock()
	}
}

// handleRequest runs one request, or refuses it as not run if the copy that it
// names is absent or the recorder does not accept it.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get(nativewire.RequestField)
	h.Set(nativewire.RequestField, id)
	if r.Header.Get(nativewire.UpstreamField) != string(s.id) {
		h.Set(nativewire.SignatureField, string(s.id))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := r.Header.Get(nativewire.CopyFromField)
	s.mu.Lock()
	hasCopy := s.receivedCopies[from]
	delete(s.receivedCopies, from)
	if s.limit != "" {
		h.Set(nativewire.LimitField, s.limit)
	}
	if s.saysLeaving {
		h.Set(nativewire.LeavingField, "1")
	}
	rest := s.rest
	s.mu.Unlock()
	if rest != "" {
		s.report(turnedAwayPath, r, id)
		h.Set(nativewire.RestField, rest)
		h.Set(nativewire.NotRunField, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if from != "" && !hasCopy || !s.reportRun(h, r, id) || h.Get(nativewire.RestField) != "" {
		h.Set(nativewire.NotRunField, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set(nativewire.SignatureField, string(s.id))
	body, _ := io.ReadAll(r.Body)
	if s.cfg.Pieces == 0 {
		s.wait(s.cfg.Prefill)
		if s.cfg.CrashBody != "" && strings.HasPrefix(string(body), s.cfg.CrashBody) {
			s.crash()
		}
		if s.ctx.Err() != nil {
			panic(http.ErrAbortHandler) // the server has ended
		}
		_, _ = fmt.Fprint(w, Answer(id, string(body)))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	s.streamPieces(w, r, id, hasCopy)
}

// Answer returns the response body of a plain service to a request.
func Answer(id, body string) string { return "answer to " + id + ": " + body }

// Piece returns the event that an engine writes as piece n of the answer to id.
func Piece(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// PieceOf returns the event that an engine of a build writes as piece n of the answer to id.
func PieceOf(build ident.Build, id string, n int) string {
	if build == "" {
		return Piece(id, n)
	}
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, id, n, build)
}

// BuildOf returns the build of the engine that wrote a piece, or "" if the piece names none.
func BuildOf(piece []byte) ident.Build {
	const fields = 4 // of the data line with a build: its name, the request, the number and the build
	_, data, _ := strings.Cut(string(piece), "\n")
	if words := strings.Fields(data); len(words) == fields {
		return ident.Build(words[fields-1])
	}
	return ""
}

// Paths of the recorder.
const (
	runPath        = "/run"
	turnedAwayPath = "/turned-away"
)

// report reports a request to a path of the recorder and returns its answer without the body, or nil.
func (s *Server) report(path string, r *http.Request, id string) *http.Response {
	if s.cfg.Recorder == "" {
		return nil
	}
	q := url.Values{"id": {id}, "upstream": {string(s.id)}, "address": {s.cfg.Public}, "path": {r.URL.Path}}
	res, err := http.Post("http://"+s.cfg.Recorder+path+"?"+q.Encode(), "text/plain", nil)
	if err != nil {
		return nil
	}
	_ = res.Body.Close()
	return res
}

// reportRun reports a run to the recorder and returns whether it may begin. What the recorder's answer
// says of the upstream, its limit, a rest or that it is leaving, the answer to the run says in its header h.
func (s *Server) reportRun(h http.Header, r *http.Request, id string) bool {
	if s.cfg.Recorder == "" {
		return true
	}
	res := s.report(runPath, r, id)
	if res == nil {
		return false
	}
	for _, field := range []string{nativewire.LimitField, nativewire.RestField, nativewire.LeavingField} {
		if value := res.Header.Get(field); value != "" {
			h.Set(field, value)
		}
	}
	return res.StatusCode == http.StatusOK
}

// streamPieces writes the pieces of an answer that follow those the caller has.
func (s *Server) streamPieces(w http.ResponseWriter, r *http.Request, id string, copied bool) {
	after, _ := strconv.Atoi(r.Header.Get(nativewire.AfterField)) // 0 if the header is missing
	if !copied {
		s.wait(s.cfg.Prefill)
	}
	defer func() {
		s.mu.Lock()
		delete(s.piecesWritten, id)
		s.mu.Unlock()
	}()
	if s.ctx.Err() != nil {
		panic(http.ErrAbortHandler) // the server has ended
	}
	if s.crashes(r) {
		s.crash()
	}
	copyTo := r.Header.Get(nativewire.CopyToField)
	for n := after + 1; n <= s.cfg.Pieces; n++ {
		s.wait(s.cfg.Interval)
		if r.Context().Err() != nil {
			return
		}
		if s.ctx.Err() != nil {
			panic(http.ErrAbortHandler) // the server has ended
		}
		s.mu.Lock()
		s.piecesWritten[id] = n
		s.mu.Unlock()
		if n == after+1 && copyTo != "" {
			go s.sendCopy(copyTo, copyTo+"/"+id)
		}
		if _, err := fmt.Fprint(w, PieceOf(s.cfg.Build, id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // the next write fails if this does
	}
}

// crash ends the server like a crashed process, and the calling handler with it.
func (s *Server) crash() {
	s.crashed.Do(func() {
		s.Kill()
		if s.cfg.OnCrash != nil {
			go s.cfg.OnCrash()
		}
	})
	panic(http.ErrAbortHandler)
}

// crashes reports whether the server crashes as it begins to answer r.
func (s *Server) crashes(r *http.Request) bool {
	if s.cfg.CrashPart == "" || r.Context().Err() != nil {
		return false
	}
	parts := prefix.ParseParts(r.Header.Get(nativewire.PartsField))
	return slices.ContainsFunc(parts, func(p prefix.Part) bool { return p.Name == s.cfg.CrashPart })
}

// sendCopy stores a copy under key at the engine with address to, and reports
// whether that succeeded.
func (s *Server) sendCopy(to, key string) bool {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+to+nativewire.CopiesPath, strings.NewReader(key))
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (s *Server) handleReceiveCopy(_ http.ResponseWriter, r *http.Request) {
	key, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedCopies[string(key)] = true
}

// handleCopyRequest copies a current run to another engine and answers with the
// name of the copy.
func (s *Server) handleCopyRequest(w http.ResponseWriter, r *http.Request) {
	var m work.Move
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	written := s.piecesWritten[string(m.Run)]
	s.mu.Unlock()
	name := fmt.Sprintf("%s-%d", m.Run, written)
	switch {
	case written == 0:
		w.WriteHeader(http.StatusNotFound)
	case !s.sendCopy(m.To, s.cfg.Public+"/"+name):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_, _ = fmt.Fprint(w, name)
	}
}

// Kill closes the server at once without deregistering, as a crash of the process
// would.
func (s *Server) Kill() {
	s.cancel()
	_ = s.http.Close()
	s.client.Close()
}
