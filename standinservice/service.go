// Package standinservice is a small stand-in for a plain service.
//
// It runs actions that must not repeat and counts the runs by key, so that a
// repeated one shows. It has a status path, look-ups, and faults: answers lost
// before or after the run, delay, refusals above a rate. What it has run
// outlives a Kill, as a database would.
package standinservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"crocuslug/standinnetwork"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Settings describe a service.
type Settings struct {
	Listen string  // address; "" means 127.0.0.1:0
	Faults Faults  // in force from the start
	Exit   func()  // called after Kill; nil means nothing
	Record *Record // of all runs; its own if nil
}

// Record is what has been run. Several services may share one, as replicas
// share a database.
type Record struct {
	mu       sync.Mutex
	runs     int
	doubled  int
	bookings map[string]Booking
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{bookings: make(map[string]Booking)}
}

// add notes a run of the action with key and returns its booking.
func (r *Record) add(key string) Booking {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	if key == "" {
		key = fmt.Sprintf("without-key-%d", r.runs)
	}
	b := Booking{Booking: fmt.Sprintf("b-%d", r.runs), Key: key, Runs: r.bookings[key].Runs + 1}
	if b.Runs > 1 {
		r.doubled++
	}
	r.bookings[key] = b
	return b
}

// find returns the booking under a key.
func (r *Record) find(key string) (Booking, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.bookings[key]
	return b, ok
}

// Faults says how the service misbehaves from now on.
type Faults struct {
	LoseAnswers  int           // so many actions are run and then not answered
	DropRequests int           // so many calls are neither run nor answered
	Refuse       int           // so many calls get 503 and are not run
	Delay        unit.Duration // added to each call, before the run
	RatePerSec   int           // calls above it get 429 and are not run; 0 means no bound
}

// Calls counts what the service has done.
type Calls struct {
	Runs    int // actions run
	Doubled int // runs beyond the first of their key
	Status  int // calls of the status path
	Lookups int // and other calls
	Refused int
	Dropped int // calls without an answer
}

// Booking is the outcome of an action.
type Booking struct {
	Booking string
	Key     string
	Runs    int // of the key, this one included
}

// Service is a stand-in for a plain service. Its methods may be called from
// any goroutine.
type Service struct {
	*standinnetwork.Server
	timer *timer.Service

	mu       sync.Mutex
	faults   Faults
	calls    Calls
	record   *Record
	second   int64
	inSecond int
}

// New returns a service that is down until Start. It takes the time from t.
func New(cfg Settings, t *timer.Service) *Service {
	s := &Service{timer: t, faults: cfg.Faults, record: cfg.Record}
	if s.record == nil {
		s.record = NewRecord()
	}
	s.Server = standinnetwork.NewServer(standinnetwork.Settings{
		Listen: cfg.Listen,
		Handle: s.handle,
		Fault:  s.fault,
		Calls:  func() any { return s.Calls() },
		Exit:   cfg.Exit,
	})
	return s
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the counts up to now; runs are those of the record.
func (s *Service) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	c := s.calls
	c.Runs, c.Doubled = s.record.runs, s.record.doubled
	return c
}

// Runs returns how often the action with key was run.
func (s *Service) Runs(key string) int {
	b, _ := s.record.find(key)
	return b.Runs
}

func (s *Service) fault(kind string, body []byte) error {
	if kind != "Faults" {
		return errs.New("no fault %q", kind)
	}
	var f Faults
	if err := json.Unmarshal(body, &f); err != nil {
		return errs.Wrap(err)
	}
	s.SetFaults(f)
	return nil
}

// Paths of the service.
const (
	bookingsPath = "/bookings"
	recordsPath  = "/records/"
)

func (s *Service) handle(life context.Context, ctx *fasthttp.RequestCtx) {
	if !s.delay(life) || s.drop() {
		standinnetwork.CloseUnanswered(ctx)
		return
	}
	if status := s.refuse(); status != 0 {
		standinnetwork.Fail(ctx, status, "refused")
		return
	}
	path := string(ctx.Path())
	switch {
	case path == bookingsPath && ctx.IsPost():
		s.book(ctx)
	case strings.HasPrefix(path, bookingsPath+"/") && ctx.IsGet():
		s.status(ctx, strings.TrimPrefix(string(ctx.URI().PathOriginal()), bookingsPath+"/"))
	default:
		s.lookUp(ctx, path)
	}
}

// delay waits for the delay in force. It reports false if the service ends.
func (s *Service) delay(life context.Context) bool {
	s.mu.Lock()
	d := s.faults.Delay.Std()
	s.mu.Unlock()
	if d <= 0 {
		return true
	}
	done := make(chan struct{})
	sub := s.timer.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
		return true
	case <-life.Done():
		return false
	}
}

func (s *Service) drop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.take(&s.faults.DropRequests, &s.calls.Dropped)
}

// take uses up one of n and counts it, if there is one.
func (s *Service) take(n, count *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	*count++
	return true
}

// refuse returns the status that refuses the call, or 0.
func (s *Service) refuse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.take(&s.faults.Refuse, &s.calls.Refused) {
		return http.StatusServiceUnavailable
	}
	if now := s.timer.Now().Unix(); now != s.second {
		s.second, s.inSecond = now, 0
	}
	s.inSecond++
	if s.faults.RatePerSec > 0 && s.inSecond > s.faults.RatePerSec {
		s.calls.Refused++
		return http.StatusTooManyRequests
	}
	return 0
}

// book runs an action.
func (s *Service) book(ctx *fasthttp.RequestCtx) {
	b := s.record.add(string(ctx.Request.Header.Peek("Idempotency-Key")))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.take(&s.faults.LoseAnswers, &s.calls.Dropped) {
		standinnetwork.CloseUnanswered(ctx)
		return
	}
	standinnetwork.WriteJSON(ctx, http.StatusCreated, b)
}

// status answers with the outcome of the action with an escaped key.
func (s *Service) status(ctx *fasthttp.RequestCtx, escaped string) {
	key, err := url.PathUnescape(escaped)
	if err != nil {
		standinnetwork.Fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Status++
	b, ok := s.record.find(key)
	if !ok {
		standinnetwork.Fail(ctx, http.StatusNotFound, "no such booking")
		return
	}
	standinnetwork.WriteJSON(ctx, http.StatusOK, b)
}

// record is the answer of a look-up.
type record struct {
	Method string
	Path   string
	Body   string
}

func (s *Service) lookUp(ctx *fasthttp.RequestCtx, path string) {
	s.mu.Lock()
	s.calls.Lookups++
	s.mu.Unlock()
	if path == recordsPath {
		standinnetwork.Fail(ctx, http.StatusNotFound, "no such record")
		return
	}
	standinnetwork.WriteJSON(ctx, http.StatusOK, record{string(ctx.Method()), path, string(ctx.PostBody())})
}
