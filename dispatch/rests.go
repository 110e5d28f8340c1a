package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
)

// closed returns the upstreams of a service that get no requests of this instance now: those with a limit
// for which it holds no permit, and those that have asked for a rest.
func (d *Dispatcher) closed(s ident.Service, now time.Time) []ident.Upstream {
	return append(d.limits.Blocked(s, now), d.rests.Closed(s, now)...)
}

// trialPatience is how long a request waits for the first answer of an upstream after its rest, if no
// other upstream can serve it.
const trialPatience = 150 * time.Millisecond

// awaitTrial waits while all that could serve a request are upstreams whose rest is over and that have not
// answered yet.
func (d *Dispatcher) awaitTrial(ctx context.Context, a *attempts, now time.Time) {
	for end := now.Add(trialPatience); now.Before(end); now = d.timer.Now() {
		resting := d.onlyResting(a, now)
		tried := func(id ident.Upstream) bool { return d.rests.Left(id, now) == 0 }
		if !slices.ContainsFunc(resting, tried) || !d.sleep(ctx, permitPoll) {
			return
		}
	}
}

// onlyResting returns the upstreams that could serve a request if they did not rest, and none if there are
// others.
func (d *Dispatcher) onlyResting(a *attempts, now time.Time) []ident.Upstream {
	resting := d.rests.Closed(a.w.Service.Name, now)
	if len(resting) == 0 {
		return nil
	}
	// Upstreams that have declined the request may be among those that rest, and take it later.
	usable := d.fleet.Usable(a.w.Service.Name, a.wantedBuild(), a.side.exclude, slices.Concat(a.exclude, a.silent))
	resting = slices.DeleteFunc(resting, func(id ident.Upstream) bool { return !slices.Contains(usable, id) })
	others := slices.DeleteFunc(usable, func(id ident.Upstream) bool { return slices.Contains(resting, id) || slices.Contains(a.declined, id) })
	if len(others) > 0 {
		return nil
	}
	return resting
}

// checkRests returns the error for a request that only upstreams that have asked for a rest could serve, and
// nil if there are others.
func (d *Dispatcher) checkRests(a *attempts, now time.Time) *result.Error {
	resting := d.onlyResting(a, now)
	if len(resting) == 0 {
		return nil
	}
	names := make([]string, 0, maxNamed)
	due := d.rests.Left(resting[0], now)
	for i, id := range resting {
		due = min(due, d.rests.Left(id, now))
		if i < maxNamed {
			names = append(names, string(id))
		}
	}
	due = max(due, d.cfg.MinRetryAfter)
	d.meters.Count("Rests.Refused", 1)
	d.log.Info().Str("Request", string(a.w.ID)).Str("Upstreams", strings.Join(names, ",")).Int("Resting", len(resting)).Dur("DueMs", due).Msg("all upstreams rest")
	e := d.refuse(a, result.UpstreamRest, "upstreams have asked for a rest: "+strings.Join(names, ","))
	if a.runs == 0 {
		e = e.After(due + time.Duration(d.random()%uint64(due/4)))
	}
	return e
}

// maxNamed bounds the upstreams that a log line names.
const maxNamed = 8
