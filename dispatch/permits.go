package dispatch

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"crocuslug/directory"
	"crocuslug/enginememory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/upstreamlimit"
)

// Bounds of the requests for permits, see package upstreamlimit.
const (
	permitTimeout = 150 * time.Millisecond // of one request for permits
	maxPermitAsks = 3                      // requests for permits that one request of a caller makes
	permitPoll    = 5 * time.Millisecond   // between two looks whether the permits asked for by another request have come
	permitRetry   = 250 * time.Millisecond // wait after a request for permits that was not answered
)

// readLimit records the limit that the answer of u to a request names. An answer without the
// signature of an upstream does not end a limit.
func (d *Dispatcher) readLimit(request ident.Request, u directory.Upstream, h http.Header, sent time.Time) {
	if d.protocol.Limit == nil {
		return
	}
	now := d.timer.Now()
	text := d.protocol.Limit(h)
	if text == "" {
		if !d.protocol.Signed(h) {
			return
		}
		if c, changed := d.limits.NotNamed(u.ID, sent, now); changed {
			d.logLimit(request, c)
		}
		return
	}
	rate, err := upstreamlimit.Parse(text)
	if err != nil {
		if d.limits.Rejected(u.ID, text) {
			d.meters.Count("Limits.Rejected", 1)
			d.log.Warn().Str("Request", string(request)).Str("Upstream", string(u.ID)).Err(err).Msg("limit named by the upstream ignored")
		}
		return
	}
	if c, changed := d.limits.Named(u.ID, rate, now); changed {
		d.logLimit(request, c)
	}
}

// logLimit logs a change of a limit that this instance learned by the answer to a request.
func (d *Dispatcher) logLimit(request ident.Request, c upstreamlimit.Change) {
	d.log.Info().Str("Request", string(request)).Str("Upstream", string(c.Upstream)).Float64("PerSecond", c.Rate).Float64("Former", c.Former).
		Str("Source", "answer").Msg("limit of upstream changed")
}

// unavailable returns the upstreams that are not to be chosen for the next attempt: those excluded
// for the request, and those that get no requests of this instance now.
func (d *Dispatcher) unavailable(a *attempts, now time.Time) []ident.Upstream {
	return append(a.excluded(), d.closed(a.w.Service.Name, now)...)
}

// blocked returns the upstreams that could be chosen for the next attempt, and those of them that
// their limits prevent from it.
func (d *Dispatcher) blocked(a *attempts, now time.Time) (usable, blocked []ident.Upstream) {
	blocked = d.limits.Blocked(a.w.Service.Name, now)
	if len(blocked) == 0 {
		return nil, nil
	}
	usable = d.fleet.Usable(a.w.Service.Name, a.wantedBuild(), a.side.exclude, append(a.excluded(), d.rests.Closed(a.w.Service.Name, now)...))
	return usable, slices.DeleteFunc(blocked, func(id ident.Upstream) bool { return !slices.Contains(usable, id) })
}

// ensurePermit makes sure that an upstream can be chosen if limits are all that prevents it. If there
// are other upstreams it asks for permits for later requests, and waits for the answer only if a limit
// may have ended unnoticed. Else it waits for the answer, and refuses the request if none is issued.
func (d *Dispatcher) ensurePermit(ctx context.Context, a *attempts, now time.Time) *result.Error {
	usable, blocked := d.blocked(a, now)
	if len(blocked) == 0 {
		return nil
	}
	d.limits.CountRequest(a.w.Service.Name, now)
	if len(blocked) < len(usable) {
		d.log.Info().Str("Request", string(a.w.ID)).Str("Upstreams", d.limitsOf(blocked, now)).Int("Others", len(usable)-len(blocked)).Msg("upstreams at their limits passed over")
		if r, ok := d.limits.Ask(d.limits.Stale(blocked, now), now); ok {
			d.ask(ctx, r)
		} else if r, ok := d.limits.Ask(blocked, now); ok {
			go d.ask(context.Background(), r)
		}
		return nil
	}
	asks := 0
	for end := now.Add(permitTimeout); len(blocked) > 0 && len(blocked) == len(usable); usable, blocked = d.blocked(a, now) {
		r, ok := d.limits.Ask(blocked, now)
		switch {
		case ok && asks < maxPermitAsks:
			asks++
			d.ask(ctx, r)
		case !now.Before(end) || !d.limits.Asking(blocked) || !d.sleep(ctx, permitPoll):
			return d.refuseAtLimit(a, blocked, now)
		}
		now = d.timer.Now()
	}
	return nil
}

// refuseAtLimit returns the error for a request that only upstreams at their limits could serve.
func (d *Dispatcher) refuseAtLimit(a *attempts, blocked []ident.Upstream, now time.Time) *result.Error {
	due := max(d.limits.Due(blocked, now), d.cfg.MinRetryAfter)
	d.meters.Count("Limits.Refused", 1)
	limits := d.limitsOf(blocked, now)
	d.log.Info().Str("Request", string(a.w.ID)).Str("Upstreams", limits).Dur("DueMs", due).Msg("no upstream below its limit")
	e := d.refuse(a, result.UpstreamLimit, "upstreams at the limits that they have named, in requests a second: "+limits)
	if a.runs == 0 {
		e = e.After(due + time.Duration(d.random()%uint64(due/4)))
	}
	return e
}

// limitsOf returns upstreams with their limits as text, such as "u1@2.5,u2@1" for 2.5 and 1 requests a
// second.
func (d *Dispatcher) limitsOf(ids []ident.Upstream, now time.Time) string {
	var out []string
	for _, id := range ids[:min(len(ids), maxNamed)] {
		limit, _ := d.limits.Statement(id, now)
		out = append(out, string(id)+"@"+strconv.FormatFloat(limit.Rate, 'g', -1, 64))
	}
	if len(ids) > maxNamed {
		out = append(out, strconv.Itoa(len(ids)-maxNamed)+" more")
	}
	return strings.Join(out, ",")
}

// ask requests permits and returns how many were issued.
func (d *Dispatcher) ask(ctx context.Context, r upstreamlimit.Request) int {
	sent := d.timer.Now()
	ctx, cancel := d.withDeadline(ctx, sent.Add(permitTimeout))
	defer cancel()
	answer, err := d.askPermits(ctx, r)
	if err != nil {
		answer = upstreamlimit.Answer{Wait: permitRetry}
		d.log.Info().Str("Upstream", string(r.Limit.Upstream)).Err(err).Msg("request for permits not answered")
	}
	d.limits.Issued(r, answer, sent, d.timer.Now())
	return answer.Issued
}

// pickStale picks an upstream whose limit may have ended unnoticed and for which a permit is held.
func (d *Dispatcher) pickStale(request fleet.PickRequest, now time.Time) (directory.Upstream, bool) {
	for _, id := range d.limits.Stale(d.limits.Limited(request.Service), now) {
		if slices.Contains(request.Exclude, id) {
			continue
		}
		u, ok := d.fleet.Upstream(id)
		if !ok || !u.Build.Continues(request.Build) || u.Build != "" && u.Build == request.ExcludeBuild || !d.mayUse(u, now) {
			continue
		}
		if u, ok := d.fleet.ReserveFor(id, request.Claim, request.Tokens, now); ok {
			d.fleet.AddUnreadTokens(id, request.UnreadTokens, now)
			if d.takePermit(id, request.Claim, request.UnreadTokens, now) {
				return u, true
			}
		}
	}
	return directory.Upstream{}, false
}

// takePermit uses a permit for an upstream that was picked, if it has a limit. If there is none left, or
// the upstream has asked for a rest, it gives the place at the upstream back and returns false.
func (d *Dispatcher) takePermit(id ident.Upstream, claim enginememory.Claim, unread int, now time.Time) bool {
	if d.rests.Take(id, now) && d.limits.Take(id, now) {
		return true
	}
	d.fleet.AddUnreadTokens(id, -unread, now)
	d.reportEnd(claim, id, fleet.Abandoned, 0, now)
	return false
}
