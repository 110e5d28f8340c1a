// Package standinservice simulates a plain service.
//
// It runs actions that must not repeat and counts the runs of each idempotency
// key, so that a repeated run is detected. It has a status path, look-ups, and
// faults: answers lost before or after the run, delays, and rejections above a
// rate. The record of runs survives a Kill, as a database would.
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

// Settings configures a service.
type Settings struct {
	Listen string  // address; "" means a loopback address that is reserved until Stop
	Faults Faults  // faults at the start
	Exit   func()  // called after Kill; nil means nothing
	Record *Record // record of all runs; nil means a new one
}

// Record stores the runs of actions. Several services may share one, as replicas
// share a database. It is safe for concurrent use.
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

// add records a run of the action with key and returns its booking. Without a key
// each run counts as an action of its own.
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

// find returns the latest booking of a key, and whether there is one.
func (r *Record) find(key string) (Booking, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.bookings[key]
	return b, ok
}

// Faults selects the faults that the service simulates.
type Faults struct {
	LoseAnswers  int           // number of actions that are run but not answered
	DropRequests int           // number of calls that are neither run nor answered
	Refuse       int           // number of calls that get 503 and are not run
	Delay        unit.Duration // delay of each call before the run
	RatePerSec   int           // further calls in a second get 429 and are not run; 0 means no limit
}

// Calls counts the runs and calls of a service.
type Calls struct {
	Runs    int // actions run
	Doubled int // runs beyond the first of their key
	Status  int // calls of the status path
	Lookups int // all other calls that were answered
	Refused int // calls that got 503 or 429
	Dropped int // calls without an answer
}

// Booking is the outcome of an action.
type Booking struct {
	Booking string
	Key     string
	Runs    int // number of runs of Key, including this one
}

// Service is a simulated plain service. It is safe for concurrent use.
type Service struct {
	*standinnetwork.Server
	timer *timer.Service

	mu            sync.Mutex
	faults        Faults
	calls         Calls
	record        *Record
	rateSecond    int64
	callsInSecond int
}

// New returns a service that is down until Start. Its clock is t.
func New(cfg Settings, t *timer.Service) *Service {
	s := &Service{timer: t, faults: cfg.Faults, record: cfg.Record}
	if s.record == nil {
		s.record = NewRecord()
	}
	s.Server = standinnetwork.NewServer(standinnetwork.Settings{
		Listen: cfg.Listen,
		Handle: s.handle,
		Fault:  s.applyFault,
		Calls:  func() any { return s.Calls() },
		Exit:   cfg.Exit,
	})
	return s
}

// SetFaults replaces the current faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the current counts. Runs and Doubled are those of the record, also
// if other services share it.
func (s *Service) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	c := s.calls
	c.Runs, c.Doubled = s.record.runs, s.record.doubled
	return c
}

// Runs returns the number of runs of the action with key.
func (s *Service) Runs(key string) int {
	b, _ := s.record.find(key)
	return b.Runs
}

func (s *Service) applyFault(kind string, body []byte) error {
	if kind != "Faults" {
		return errs.New("unknown fault kind %q, want \"Faults\"", kind)
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
	if !s.delay(life) || s.dropRequest() {
		standinnetwork.CloseUnanswered(ctx)
		return
	}
	if status := s.rejectionStatus(); status != 0 {
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

// delay waits for Faults.Delay. It reports false if the service stops meanwhile.
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

func (s *Service) dropRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.consume(&s.faults.DropRequests, &s.calls.Dropped)
}

// consume decrements n and increments count if n is above 0, and reports whether it
// did.
func (s *Service) consume(n, count *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	*count++
	return true
}

// rejectionStatus returns the status to reject the call with, or 0 to accept it.
func (s *Service) rejectionStatus() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.consume(&s.faults.Refuse, &s.calls.Refused) {
		return http.StatusServiceUnavailable
	}
	if now := s.timer.Now().Unix(); now != s.rateSecond {
		s.rateSecond, s.callsInSecond = now, 0
	}
	s.callsInSecond++
	if s.faults.RatePerSec > 0 && s.callsInSecond > s.faults.RatePerSec {
		s.calls.Refused++
		return http.StatusTooManyRequests
	}
	return 0
}

// book runs an action and answers with its booking.
func (s *Service) book(ctx *fasthttp.RequestCtx) {
	b := s.record.add(string(ctx.Request.Header.Peek("Idempotency-Key")))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.consume(&s.faults.LoseAnswers, &s.calls.Dropped) {
		standinnetwork.CloseUnanswered(ctx)
		return
	}
	standinnetwork.WriteJSON(ctx, http.StatusCreated, b)
}

// status answers with the booking of an action, whose key is path-escaped.
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

// record is the response body of a look-up.
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
