// Package standinregistered is a stand-in for upstreams that register
// themselves: model engines that stream numbered pieces and keep copies of each
// other's runs, and plain services.
//
// Whoever proves something with it needs to know what ran. Before it runs a
// request the stand-in tells a recorder, if one is named, and waits for its word.
package standinregistered

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/keyvalue"
	"crocuslug/nativewire"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/work"
)

// Settings of a Server.
type Settings struct {
	Listen   string
	Public   string // address under which it registers; that of Listen if empty
	Store    string // address of the key-value service
	Recorder string // address of who is told of runs; "" means nobody
	Service  ident.Service
	Domain   ident.Domain
	Prefill  time.Duration // before the first piece of a run without a copy
	Interval time.Duration // between pieces
	Pieces   int           // of an answer; 0 means a plain service
	Drain    time.Duration // from its word that it is leaving to its end
}

// Times of an upstream.
const (
	leaseTime  = 3 * time.Second
	renewEvery = time.Second
	copyLimit  = time.Second
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

	mu    sync.Mutex
	runs  map[string]int  // pieces made of what runs here, by request
	held  map[string]bool // copies held for others
	lease store.Lease
	leave bool
}

// New returns an upstream that is not started. Its id is new with each start.
func New(cfg Settings, t *timer.Service) *Server {
	s := &Server{
		cfg:   cfg,
		id:    ident.Upstream(fmt.Sprintf("%s-%d", cfg.Service, t.Now().UnixNano())),
		timer: t,
		runs:  make(map[string]int),
		held:  make(map[string]bool),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.client = keyvalue.New(keyvalue.Settings{Address: cfg.Store}, t)
	s.store = s.client.Store()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+nativewire.StatePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(nativewire.SignatureField, string(s.id))
	})
	mux.HandleFunc("POST "+nativewire.CopiesPath, s.move)
	mux.HandleFunc("PUT "+nativewire.CopiesPath, s.hold)
	mux.HandleFunc("DELETE "+nativewire.CopiesPath+"/{name}", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: leaseTime}
	return s
}

// Start listens, serves and registers.
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
	go s.register()
	return nil
}

// Addr returns the address that s listens on.
func (s *Server) Addr() string { return s.addr }

// Stop says that it is leaving, serves for a while longer and ends.
func (s *Server) Stop() {
	s.mu.Lock()
	s.leave = true
	s.mu.Unlock()
	s.put()
	s.wait(s.cfg.Drain)
	s.cancel()
	if lease := s.leaseNow(); lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), copyLimit)
		defer cancel()
		_ = s.store.Revoke(ctx, lease) // it lapses otherwise
	}
	_ = s.http.Close()
	s.client.Close()
}

func (s *Server) leaseNow() store.Lease {
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

// register keeps the entry in the store until the end.
func (s *Server) register() {
	for s.ctx.Err() == nil {
		lease := s.leaseNow()
		if lease == 0 || store.Absent.Has(s.store.Renew(s.ctx, lease)) {
			if l, err := s.store.Grant(s.ctx, leaseTime); err == nil {
				s.mu.Lock()
				s.lease = l
				s.mu.Unlock()
				s.put()
			}
		}
		s.wait(renewEvery)
	}
}

// put writes the entry; a failure is mended with the next lease.
func (s *Server) put() {
	s.mu.Lock()
	u := directory.Upstream{
		ID: s.id, Service: s.cfg.Service, Address: s.cfg.Public, Domain: s.cfg.Domain, Slots: 64, Draining: s.leave,
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

// serve runs one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get(nativewire.RequestField)
	h.Set(nativewire.RequestField, id)
	if r.Header.Get(nativewire.UpstreamField) != string(s.id) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := r.Header.Get(nativewire.CopyFromField)
	s.mu.Lock()
	held := s.held[from]
	delete(s.held, from)
	s.mu.Unlock()
	if from != "" && !held || !s.record(r, id) {
		h.Set(nativewire.NotRunField, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set(nativewire.SignatureField, string(s.id))
	body, _ := io.ReadAll(r.Body)
	if s.cfg.Pieces == 0 {
		s.wait(s.cfg.Prefill)
		_, _ = fmt.Fprint(w, Answer(id, string(body)))
		return
	}
	s.stream(w, r, id, held)
}

// Answer is what a plain service answers to a request.
func Answer(id, body string) string { return "answer to " + id + ": " + body }

// Piece is what an engine writes as the piece of a number.
func Piece(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// record tells the recorder of a run and reports whether it may begin.
func (s *Server) record(r *http.Request, id string) bool {
	if s.cfg.Recorder == "" {
		return true
	}
	q := url.Values{"id": {id}, "upstream": {string(s.id)}, "path": {r.URL.Path}}
	res, err := http.Post("http://"+s.cfg.Recorder+"/run?"+q.Encode(), "text/plain", nil)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// stream writes the pieces of an answer after those that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, copied bool) {
	after, _ := strconv.Atoi(r.Header.Get(nativewire.AfterField)) // 0 if it is not given
	if !copied {
		s.wait(s.cfg.Prefill)
	}
	defer func() {
		s.mu.Lock()
		delete(s.runs, id)
		s.mu.Unlock()
	}()
	holder := r.Header.Get(nativewire.CopyToField)
	for n := after + 1; n <= s.cfg.Pieces; n++ {
		s.wait(s.cfg.Interval)
		if r.Context().Err() != nil {
			return
		}
		s.mu.Lock()
		s.runs[id] = n
		s.mu.Unlock()
		if n == after+1 && holder != "" {
			go s.send(holder, holder+"/"+id)
		}
		if _, err := fmt.Fprint(w, Piece(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // a failure shows with the next write
	}
}

// send has another engine hold a copy under a key.
func (s *Server) send(to, key string) bool {
	ctx, cancel := context.WithTimeout(s.ctx, copyLimit)
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

func (s *Server) hold(_ http.ResponseWriter, r *http.Request) {
	key, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[string(key)] = true
}

// move copies a run that is here to another engine.
func (s *Server) move(w http.ResponseWriter, r *http.Request) {
	var m work.Move
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	made := s.runs[string(m.Run)]
	s.mu.Unlock()
	name := fmt.Sprintf("%s-%d", m.Run, made)
	switch {
	case made == 0:
		w.WriteHeader(http.StatusNotFound)
	case !s.send(m.To, s.cfg.Public+"/"+name):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_, _ = fmt.Fprint(w, name)
	}
}

// Kill ends it at once, as the death of the process would.
func (s *Server) Kill() {
	s.cancel()
	_ = s.http.Close()
	s.client.Close()
}
