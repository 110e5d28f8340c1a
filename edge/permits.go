package edge

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"crocuslug/ident"
	"crocuslug/rendezvous"
	"crocuslug/unit"
	"crocuslug/upstreamlimit"
)

// permitsMethod asks the instance that issues the permits for an upstream for some of them.
const permitsMethod = "Edge.Permits"

// Bounds of the requests for permits.
const (
	maxPermits       = 1000            // in one answer
	issuerRetryAfter = 3 * time.Second // time for which an instance that did not answer is not asked
)

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

// askPermits asks the instance that issues the permits for an upstream. It asks the next one if that
// does not answer.
func (e *Edge) askPermits(ctx context.Context, r upstreamlimit.Request) (upstreamlimit.Answer, error) {
	const tries = 2
	var err error
	for range tries {
		issuer := e.issuerOf(r.Limit.Upstream)
		if issuer == e.self {
			return e.issuePermits(r, e.self), nil
		}
		var a permitsAnswer
		if err = e.link.Call(ctx, issuer, permitsMethod, r, &a); err == nil {
			return upstreamlimit.Answer{Issued: a.Issued, Wait: a.Wait.Std()}, nil
		}
		e.mu.Lock()
		e.silentIssuers[issuer] = e.timer.Now()
		e.mu.Unlock()
		e.log.Info().Str("Peer", string(issuer)).Str("Upstream", string(r.Limit.Upstream)).Err(err).Msg("peer did not answer a request for permits")
	}
	return upstreamlimit.Answer{}, err
}

// issuerOf returns the instance that issues the permits for an upstream: the first by rendezvous
// hashing of those that live and have not failed to answer lately.
func (e *Edge) issuerOf(id ident.Upstream) ident.Instance {
	now := e.timer.Now()
	members := []ident.Instance{e.self}
	e.mu.Lock()
	for peer, p := range e.peers {
		if silent, ok := e.silentIssuers[peer]; ok && now.Sub(silent) < issuerRetryAfter {
			continue
		}
		if e.peerAlive(p, now) {
			members = append(members, peer)
		}
	}
	e.mu.Unlock()
	return rendezvous.Order(string(id), members)[0]
}

// forgetSilentIssuers removes those that may be asked again.
func (e *Edge) forgetSilentIssuers(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, at := range e.silentIssuers {
		if now.Sub(at) >= issuerRetryAfter {
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
