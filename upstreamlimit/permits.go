package upstreamlimit

import (
	"math"
	"slices"
	"time"

	"crocuslug/ident"
)

// stock holds the permits of this instance for one upstream.
type stock struct {
	expiries []time.Time // of each permit, in order
	asking   bool        // a request for permits is under way
	nextAsk  time.Time   // earliest time of the next one
	due      time.Time   // when the next permit is due as far as is known
}

// Request is a request for permits for one upstream.
type Request struct {
	Limit Statement // as the asking instance knows it
	Count int
}

// Answer is the answer to a Request.
type Answer struct {
	Issued int
	Wait   time.Duration // time until another permit is due; 0 if permits were issued
}

// Blocked returns the upstreams of a service that have a limit and for which this instance holds no
// permit, sorted.
func (l *Limits) Blocked(s ident.Service, now time.Time) []ident.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.limits) == 0 {
		return nil
	}
	return l.limited(s, func(b *limit) bool { return !l.holds(b, now) })
}

// CountRequest counts a request for a service, by which the number of permits in a Request is chosen.
func (l *Limits) CountRequest(s ident.Service, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.demand[s]
	if d == nil {
		d = &demand{at: now}
		l.demand[s] = d
	}
	d.requests = 1 + d.requests*math.Exp(-float64(now.Sub(d.at))/float64(demandTime))
	d.at = now
}

// holds reports whether a permit is held, and removes those that have expired. l.mu must be held.
func (l *Limits) holds(b *limit, now time.Time) bool {
	n := 0
	for n < len(b.stock.expiries) && !now.Before(b.stock.expiries[n]) {
		n++
	}
	b.stock.expiries = b.stock.expiries[n:]
	l.counts.Expired += uint64(n)
	return len(b.stock.expiries) > 0
}

// Take reports whether a request may be sent to an upstream. If the upstream has a limit, it uses a
// permit.
func (l *Limits) Take(id ident.Upstream, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.limits[id]
	if b == nil || b.rate == 0 {
		return true
	}
	if !l.holds(b, now) {
		return false
	}
	b.stock.expiries = b.stock.expiries[1:]
	l.counts.Used++
	return true
}

// Ask returns a request for permits for one of ids, and false if this instance has to wait for all
// of them. Issued must be called with the answer.
func (l *Limits) Ask(ids []ident.Upstream, now time.Time) (Request, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *limit
	var r Request
	for _, id := range ids {
		b := l.limits[id]
		if b == nil || b.rate == 0 || b.stock.asking || now.Before(b.stock.nextAsk) {
			continue
		}
		if best == nil || b.stock.nextAsk.Before(best.stock.nextAsk) {
			best, r.Limit = b, l.statement(id, b, now)
		}
	}
	if best == nil {
		return Request{}, false
	}
	best.stock.asking = true
	r.Count = 1
	if d := l.demand[l.upstreams[r.Limit.Upstream].Service]; d != nil {
		r.Count = max(1, int(d.requests)/len(ids))
	}
	return r, true
}

// Asking reports whether a request for permits for one of ids is under way.
func (l *Limits) Asking(ids []ident.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(ids, func(id ident.Upstream) bool { b := l.limits[id]; return b != nil && b.stock.asking })
}

// Issued records the answer to a request that was sent at a time.
func (l *Limits) Issued(r Request, a Answer, sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.limits[r.Limit.Upstream]
	if b == nil {
		return
	}
	b.stock.asking = false
	for range min(a.Issued, r.Count) {
		b.stock.expiries = append(b.stock.expiries, sent.Add(permitLifetime))
	}
	wait := max(0, a.Wait)
	b.stock.nextAsk, b.stock.due = now.Add(min(wait, maxAskInterval)), now.Add(min(wait, maxWait))
}

// Due returns the time until the first permit for one of ids is due, as far as is known.
func (l *Limits) Due(ids []ident.Upstream, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := maxWait
	for _, id := range ids {
		if b := l.limits[id]; b != nil {
			wait = min(wait, max(0, b.stock.due.Sub(now)))
		}
	}
	return wait
}

// bucket is the token bucket from which the permits for one upstream are issued.
type bucket struct {
	level  float64 // permits that may be issued
	denied float64 // requests for permits that have been denied and would be due by now, see Issue
	at     time.Time
}

// Issue answers a request of an instance for permits. Permits that were denied count as a queue that
// the rate works off, so that each denied request is told another time.
func (l *Limits) Issue(id ident.Upstream, count int, now time.Time) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.limits[id]
	if b == nil || b.rate == 0 {
		return Answer{Issued: count}
	}
	rate := max(b.rate, minRate)
	k := &b.issue
	gained := rate * max(0, now.Sub(k.at).Seconds())
	k.at = now
	k.level = min(k.level+gained, 1+rate*burstTime.Seconds())
	k.denied = max(0, k.denied-gained)
	if n := min(count, int(k.level)); n > 0 {
		k.level -= float64(n)
		l.counts.Issued += uint64(n)
		return Answer{Issued: n}
	}
	l.counts.Denied++
	wait := time.Duration((1 - k.level + k.denied) / rate * float64(time.Second))
	k.denied = min(k.denied+1, rate*maxWait.Seconds())
	return Answer{Wait: min(max(wait, time.Millisecond), maxWait)}
}
