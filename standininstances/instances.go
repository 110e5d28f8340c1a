// Package standininstances simulates the platform's instance list.
//
// A change of the list becomes visible after a lag, as on a platform that polls
// its instances.
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

// Settings configures an instance list.
type Settings struct {
	Listen string        // address; "" means a loopback address that is reserved until Stop
	Lag    time.Duration // time until a change is visible; the first list is visible at once
	Exit   func()        // called after Kill; nil means nothing
}

// Calls counts the calls that the service received.
type Calls struct {
	Fetches int
}

// Instances is a simulated instance list. It is safe for concurrent use.
type Instances struct {
	*standinnetwork.Server
	timer *timer.Service

	mu    sync.Mutex
	lag   time.Duration
	lists []datedList // oldest first; those older than the visible one are removed
	calls Calls
}

// datedList is a list with the time at which it was set.
type datedList struct {
	instancelist.List
	set time.Time
}

// New returns an empty list that is down until Start.
func New(cfg Settings, t *timer.Service) *Instances {
	s := &Instances{timer: t, lag: cfg.Lag, lists: make([]datedList, 1)}
	s.Server = standinnetwork.NewServer(standinnetwork.Settings{
		Listen: cfg.Listen,
		Handle: s.handle,
		Fault:  s.applyFault,
		Calls:  func() any { return s.Calls() },
		Exit:   cfg.Exit,
	})
	return s
}

// Set replaces the list. The first one is visible at once and later ones after the
// lag.
func (s *Instances) Set(instances []instancelist.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lists[len(s.lists)-1]
	next := datedList{instancelist.List{Version: last.Version + 1, Instances: instances}, s.timer.Now()}
	if last.Version == 0 {
		next.set = time.Time{}
	}
	s.lists = append(s.lists, next)
}

// SetLag sets the lag, also of changes that are not visible yet.
func (s *Instances) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// Shown returns the list that is visible now.
func (s *Instances) Shown() instancelist.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	for len(s.lists) > 1 && now.Sub(s.lists[1].set) >= s.lag {
		s.lists = s.lists[1:]
	}
	return s.lists[0].List
}

// Calls returns the current counts.
func (s *Instances) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// lagFault is the JSON body of a fault of kind "Lag".
type lagFault struct {
	Duration unit.Duration
}

func (s *Instances) applyFault(kind string, body []byte) error {
	if kind != "Lag" {
		return errs.New("unknown fault kind %q, want \"Lag\"", kind)
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
