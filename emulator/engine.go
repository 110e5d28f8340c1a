package emulator

import (
	"fmt"
	"time"

	"crocuslug/ident"
)

// Speed of an engine.
const (
	tick                 = 5 * time.Millisecond   // step of virtual time
	promptTokensPerMs    = 4                      // while reading, decoding steps between chunks included
	eventInterval        = 35 * time.Millisecond  // between events of a run
	eventIntervalReading = 156 * time.Millisecond // between events of a run while the engine also reads prompts
	tokensPerEvent       = 5
)

// engine is one engine across all its incarnations.
type engine struct {
	domain        int
	number        int
	incarnation   int
	down          bool      // lost
	silent        bool      // lost with silent connections instead of resets
	returnsAt     time.Time // when a lost engine returns
	runs          []*run
	cachedPrompts []int // numbers of the cached prompts, most recent last
}

func (e *engine) id() ident.Upstream {
	return ident.Upstream(fmt.Sprintf("d%d-e%d-%d", e.domain, e.number, e.incarnation))
}

// run is a request at an engine.
type run struct {
	request      *request
	unreadTokens int           // prompt tokens still to be read
	sinceEvent   time.Duration // time since the last event
}

// step advances the runs of an engine by one tick and returns those that ended.
func (e *engine) step(now time.Time) (ended []*run) {
	budget := int(tick.Milliseconds()) * promptTokensPerMs
	every := eventInterval
	for _, u := range e.runs {
		if u.unreadTokens > 0 {
			every = eventIntervalReading
		}
	}
	for _, u := range e.runs {
		switch {
		case u.unreadTokens > 0:
			n := min(budget, u.unreadTokens)
			u.unreadTokens -= n
			budget -= n
			if u.unreadTokens == 0 {
				u.sinceEvent = every // the first event follows in the same tick
				e.cache(u.request)
			}
		default:
			u.sinceEvent += tick
		}
		if u.unreadTokens == 0 && u.sinceEvent >= every {
			u.sinceEvent = 0
			if u.request.deliverEvent(now) {
				ended = append(ended, u)
			}
		}
	}
	return ended
}

// cache adds the prompt of a request to the cache and evicts the oldest prompts above the memory limit.
func (e *engine) cache(r *request) {
	e.cachedPrompts = append(e.cachedPrompts, r.prompt)
	if most := r.scenario.CacheTokens / r.scenario.PromptTokens; len(e.cachedPrompts) > most {
		e.cachedPrompts = e.cachedPrompts[len(e.cachedPrompts)-most:]
	}
}

// promptsBeingRead returns the number of prompts that the engine is promptsBeingRead.
func (e *engine) promptsBeingRead() int {
	n := 0
	for _, u := range e.runs {
		if u.unreadTokens > 0 {
			n++
		}
	}
	return n
}

// remove removes a run that has ended or moved.
func (e *engine) remove(gone *run) {
	for i, u := range e.runs {
		if u == gone {
			e.runs = append(e.runs[:i], e.runs[i+1:]...)
			return
		}
	}
}
