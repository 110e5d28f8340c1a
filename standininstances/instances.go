// Package standininstances is a small stand-in for the platform's instance
// list.
//
// Its list lags: a state that is set shows after a while, as on a platform
// that learns of its instances by polling.
package standininstances

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"crocuslug/instancelist"
	"crocuslug/standinnetwork"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Settings describe a list.
type Settings struct {
	Listen string        // address; "" means 127.0.0.1:0
	Lag    time.Duration // time until a state shows; the first one shows at once
	Exit   func()        // called after Kill; nil means nothing
}

// Calls counts the calls that the list has taken.
type Calls struct {
	Fetches int
}

// Instances is a stand-in for the instance list. Its methods may be called
// from any goroutine.
type Instances struct {
	*standinnetwork.Server
	timer *timer.Service

	mu     sync.Mutex
	lag    time.Duration
	states []dated // oldest first; those before the one that shows are dropped
	calls  Calls
}

type dated struct {
	instancelist.List
	set time.Time
}

// New returns an empty list that is down until Start.
func New(cfg Settings, t *timer.Service) *Instances {
	s := &Instances{timer: t, lag: cfg.Lag, states: make([]dated, 1)}
	s.Server = standinnetwork.NewServer(standinnetwork.Settings{
		Listen: cfg.Listen,
		Handle: s.handle,
		Fault:  s.fault,
		Calls:  func() any { return s.Calls() },
		Exit:   cfg.Exit,
	})
	return s
}

// Set replaces the list. The first state shows at once and the others after
// the lag.
func (s *Instances) Set(instances []instancelist.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.states[len(s.states)-1]
	next := dated{instancelist.List{Version: last.Version + 1, Instances: instances}, s.timer.Now()}
	if last.Version == 0 {
		next.set = time.Time{}
	}
	s.states = append(s.states, next)
}

// SetLag replaces the lag.
func (s *Instances) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// Shown returns the list as it shows now.
func (s *Instances) Shown() instancelist.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	for len(s.states) > 1 && now.Sub(s.states[1].set) >= s.lag {
		s.states = s.states[1:]
	}
	return s.states[0].List
}

// Calls returns the counts up to now.
func (s *Instances) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// lagFault is the body of the fault Lag.
type lagFault struct {
	Duration unit.Duration
}

func (s *Instances) fault(kind string, body []byte) error {
	if kind != "Lag" {
		return errs.New("no fault %q", kind)
	}
	var f lagFault
	if err := json.Unmarshal(body, &f); err != nil {
		return errs.Wrap(err)
	}
	s.SetLag(f.Duration.Std())
	return nil
}

// Paths of the list.
const (
	listPath = "/v1/instances"
	setPath  = "/standin/instances"
)

func (s *Instances) handle(_ context.Context, ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case listPath:
		s.mu.Lock()
		s.calls.Fetches++
		s.mu.Unlock()
		standinnetwork.WriteJSON(ctx, http.StatusOK, s.Shown())
	case setPath:
		l, err := instancelist.Parse(ctx.PostBody())
		if err != nil {
			standinnetwork.Fail(ctx, http.StatusBadRequest, err.Error())
			return
		}
		s.Set(l.Instances)
		ctx.SetStatusCode(http.StatusNoContent)
	default:
		standinnetwork.Fail(ctx, http.StatusNotFound, "no such path")
	}
}
