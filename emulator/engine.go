package emulator

import (
	"fmt"
	"time"

	"crocuslug/ident"
)

// Times of an engine.
const (
	tick         = 5 * time.Millisecond
	readRate     = 4                      // tokens of prompts a millisecond, with the steps between chunks
	piece        = 35 * time.Millisecond  // between events
	pieceReading = 156 * time.Millisecond // the same while prompts are read
	pieceTokens  = 5
)

// engine is one engine through all its incarnations.
type engine struct {
	domain int
	number int
	life   int       // incarnation
	down   bool      // lost
	dark   bool      // without a sign
	back   time.Time // when it starts again
	runs   []*run
	read   []int // prompts that are cached, the latest last
}

func (e *engine) id() ident.Upstream {
	return ident.Upstream(fmt.Sprintf("d%d-e%d-%d", e.domain, e.number, e.life))
}

// run is a request at an engine.
type run struct {
	r     *request
	left  int           // tokens of the prompt still to be read
	since time.Duration // time towards the next event
}

// step lets the runs of an engine go on for a tick.
func (e *engine) step(now time.Time) (ended []*run) {
	budget := int(tick.Milliseconds()) * readRate
	every := piece
	for _, u := range e.runs {
		if u.left > 0 {
			every = pieceReading
		}
	}
	for _, u := range e.runs {
		switch {
		case u.left > 0:
			n := min(budget, u.left)
			u.left -= n
			budget -= n
			if u.left == 0 {
				u.since = every // the first event follows at once
				e.cache(u.r)
			}
		default:
			u.since += tick
		}
		if u.left == 0 && u.since >= every {
			u.since = 0
			if u.r.event(now) {
				ended = append(ended, u)
			}
		}
	}
	return ended
}

// cache keeps the prompt of a request as long as there is memory.
func (e *engine) cache(r *request) {
	e.read = append(e.read, r.prompt)
	if most := r.shape.Memory / r.shape.Prompt; len(e.read) > most {
		e.read = e.read[len(e.read)-most:]
	}
}

// reading returns the prompts that are being read.
func (e *engine) reading() int {
	n := 0
	for _, u := range e.runs {
		if u.left > 0 {
			n++
		}
	}
	return n
}

// remove takes a run away.
func (e *engine) remove(gone *run) {
	for i, u := range e.runs {
		if u == gone {
			e.runs = append(e.runs[:i], e.runs[i+1:]...)
			return
		}
	}
}
