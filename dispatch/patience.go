package dispatch

import (
	"slices"
	"time"

	"crocuslug/ident"
)

// patience decides whether an attempt leaves an engine that is silent. A sound engine may
// pause, so silence ends an attempt only if the stream may go on at another engine.
type patience struct {
	mayMove  bool          // another attempt is allowed
	early    bool          // and one more after that, so that the engine is left at the first limit
	longest  time.Duration // silence after which the engine is left otherwise
	hasOther func() bool   // another upstream can take the stream; probes call it as well
	hasCopy  func() bool   // there is a copy of the run
}

// newPatience returns the patience of an attempt at upstream id.
func (d *Dispatcher) newPatience(s *stream, id ident.Upstream) patience {
	left := d.cfg.MaxSends - (s.sends - s.uncounted)
	if most := s.w.Route.MaxAttempts; most > 0 {
		left = min(left, most-s.runs-1)
	}
	exclude := append(slices.Clone(s.exclude), id) // those that declined or were silent are tried again
	chosen := s.side
	return patience{
		mayMove: s.w.Route.Repeatable() && left > 0,
		early:   left > 1,
		longest: d.cfg.MaxPause,
		hasOther: func() bool {
			closed := d.closed(s.w.Service.Name, d.timer.Now())
			return d.fleet.HasOther(s.w.Service.Name, chosen.wanted(s.currentBuild()), chosen.exclude, append(closed, exclude...))
		},
		hasCopy: s.copies.hasCopy,
	}
}

// beforeStart reports whether an engine that has sent nothing and is silent for the given time
// is left.
func (p patience) beforeStart(silent time.Duration) bool {
	return p.mayMove && (p.early || silent >= p.longest) && p.hasOther()
}

// midway reports whether an engine that has sent pieces and is silent for the given time is
// left. Without a copy the prompt would have to be read again, which takes longer than most
// pauses.
func (p patience) midway(silent time.Duration) bool {
	return p.mayMove && (p.early && p.hasCopy() || silent >= p.longest) && p.hasOther()
}

// silenceCheckInterval is the time between two decisions on an engine that stays silent.
const silenceCheckInterval = 100 * time.Millisecond
