package edge

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"crocuslug/ident"
	"crocuslug/rendezvous"
	"crocuslug/unit"
	"crocuslug/upstreamlimit"
)

// permitsMethod asks the instance that issues the permits for an upstream for some of them.
const permitsMethod = "Edge.Permits"

// Bounds of the requests for permits. An instance that does not answer may only be slow and issue
// permits to others, so that another one takes its place only after a while.
const (
	maxPermits      = 1000            // in one answer
	issuerPatience  = 3 * time.Second // time without an answer after which an instance is passed over
	issuerRetryTime = time.Second     // time after which it is asked again
)

// silentIssuer is an instance that does not answer requests for permits.
type silentIssuer struct {
	since, last time.Time // first and last request that was not answered
}

// passedOver reports whether the instance is not asked.
func (s silentIssuer) passedOver(now time.Time) bool {
	return now.Sub(s.last) < issuerRetryTime && now.Sub(s.since) >= issuerPatience
}

// permitsAnswer is the answer to permitsMethod.
type permitsAnswer struct {
	Issued int
	Wait   unit.Duration `json:",omitempty"`
}

// handlePermits answers permitsMethod.
func (e *Edge) handlePermits(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
	var r upstreamlimit.Request
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	a := e.issuePermits(r, from)
	return permitsAnswer{Issued: a.Issued, Wait: unit.Duration(a.Wait)}, nil
}

// issuePermits issues permits to an instance.
func (e *Edge) issuePermits(r upstreamlimit.Request, to ident.Instance) upstreamlimit.Answer {
	now := e.timer.Now()
	e.mergeLimits([]upstreamlimit.Statement{r.Limit}, to, now)
	return e.upstreamLimits.Issue(r.Limit.Upstream, min(max(0, r.Count), maxPermits), now)
}

// askPermits asks the instance that issues the permits for an upstream.
func (e *Edge) askPermits(ctx context.Context, r upstreamlimit.Request) (upstreamlimit.Answer, error) {
	issuer := e.issuerOf(r.Limit.Upstream)
	if issuer == e.self {
		return e.issuePermits(r, e.self), nil
	}
	var a permitsAnswer
	err := e.link.Call(ctx, issuer, permitsMethod, r, &a)
	now := e.timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		delete(e.silentIssuers, issuer)
		return upstreamlimit.Answer{Issued: a.Issued, Wait: a.Wait.Std()}, nil
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return upstreamlimit.Answer{}, err // the caller of the request has left
	}
	s, ok := e.silentIssuers[issuer]
	if !ok {
		s.since = now
	}
	s.last = now
	e.silentIssuers[issuer] = s
	return upstreamlimit.Answer{}, err
}

// issuerOf returns the instance that issues the permits for an upstream: the first by rendezvous
// hashing of those that live and are not passed over.
func (e *Edge) issuerOf(id ident.Upstream) ident.Instance {
	now := e.timer.Now()
	members := []ident.Instance{e.self}
	e.mu.Lock()
	for peer, p := range e.peers {
		if e.peerAlive(p, now) && !e.silentIssuers[peer].passedOver(now) {
			members = append(members, peer)
		}
	}
	e.mu.Unlock()
	return rendezvous.Order(string(id), members)[0]
}

// forgetSilentIssuers removes those that have not been asked lately.
func (e *Edge) forgetSilentIssuers(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.silentIssuers {
		if now.Sub(s.last) >= issuerPatience {
			delete(e.silentIssuers, id)
		}
	}
}

// mergeLimits adds what another instance told about the limits of upstreams.
func (e *Edge) mergeLimits(list []upstreamlimit.Statement, from ident.Instance, now time.Time) {
	for _, c := range e.upstreamLimits.Merge(list, now) {
		e.log.Info().Str("Upstream", string(c.Upstream)).Float64("PerSecond", c.Rate).Float64("Former", c.Former).
			Str("Source", string(from)).Dur("AgeMs", c.Age).Msg("limit of upstream changed")
	}
}

// limitMetrics returns the limits in force, sorted by upstream.
func (e *Edge) limitMetrics(now time.Time) []upstreamlimit.Statement {
	list := e.upstreamLimits.InForce(now)
	slices.SortFunc(list, func(a, b upstreamlimit.Statement) int {
		if a.Upstream < b.Upstream {
			return -1
		}
		return 1
	})
	return list
}
