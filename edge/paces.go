package edge

import (
	"time"

	"crocuslug/ident"
	"crocuslug/pace"
)

// paceInterval is the interval at which estimates change, see pace.Tracker.Tick.
const paceInterval = time.Second

// observePace records the time that an upstream took for n pieces or answers.
func (e *Edge) observePace(id ident.Upstream, n int, elapsed time.Duration) {
	now := e.timer.Now()
	e.paces.Observe(id, n, elapsed, e.fleet.Load(id, now), now)
}

// updatePaces passes the estimates to the fleet and logs the limits that change.
func (e *Edge) updatePaces(now time.Time) {
	estimates := e.paces.Tick(now)
	e.fleet.SetPaces(estimates)
	limited := 0
	for id, v := range estimates {
		if v.Limit > 0 {
			limited++
		}
		before := e.paceLimits[id]
		if (v.Limit > 0) != (before > 0) {
			e.log.Info().Str("Upstream", string(id)).Float64("Factor", v.Factor).Int("Limit", v.Limit).Int("Before", before).Msg("limit of upstream by its pace changed")
		}
		e.paceLimits[id] = v.Limit
	}
	for id := range e.paceLimits {
		if _, ok := estimates[id]; !ok {
			delete(e.paceLimits, id)
		}
	}
	e.pacedLimits.Store(int64(limited))
}

// paceSamples returns the samples of this instance for its peers, or nil if paces are not learned.
func (e *Edge) paceSamples(now time.Time) []pace.Sample {
	if !e.cfg.LearnPace {
		return nil
	}
	return e.paces.Report(now)
}
