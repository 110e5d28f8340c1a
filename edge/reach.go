package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/reach"
	"crocuslug/unit"
)

// reachMethod asks an instance whether it reaches upstreams.
const reachMethod = "Edge.Reach"

// Bounds of what an instance does to find out from which upstreams it is cut off, see package reach.
const (
	reachTimeout     = 500 * time.Millisecond // of a question whether an instance reaches upstreams
	reachPatience    = 150 * time.Millisecond // for which a request waits for the answer
	directTimeout    = 400 * time.Millisecond // of opening a connection to try an upstream directly
	checkTimeout     = 250 * time.Millisecond // of opening a connection to an upstream to answer a question
	reachedLately    = time.Second            // age of what tells that an upstream is reached
	helperInterval   = time.Second            // between two searches for instances that help
	askedNear        = 1                      // instances of the own failure domain that are asked at first
	askedFar         = 2                      // instances of other failure domains that are asked at first
	maxWidened       = 2                      // questions in vain up to which each one doubles these numbers
	maxChecks        = 8                      // connections a second that are opened to answer questions
	maxNamed         = 4                      // upstreams in one question that are answered
	maxNamedBySearch = 2                      // upstreams named in a search for instances that help
)

// connectUpstream opens a connection to the upstream at an address: itself, or through another instance
// if this one is cut off from the upstream.
func (e *Edge) connectUpstream(ctx context.Context, address string) (net.Conn, error) {
	u, ok := e.upstreamAt(address)
	if !ok {
		return e.DialUpstream(ctx, address)
	}
	if e.reach.Cut(u.Domain) {
		return e.dialThroughPeer(ctx, u)
	}
	c, err := e.dialDirectly(ctx, u)
	if err != nil && ctx.Err() == nil && e.askPeers(ctx, u.Domain) {
		return e.dialThroughPeer(ctx, u) // nothing was sent, so that the request may go the other way at once
	}
	return c, err
}

// upstreamAt returns the registered upstream at an address.
func (e *Edge) upstreamAt(address string) (directory.Upstream, bool) {
	list := e.addresses.Load()
	if list == nil {
		return directory.Upstream{}, false
	}
	u, ok := (*list)[address]
	return u, ok
}

// dialDirectly opens a connection of this instance to an upstream and records whether that succeeded.
func (e *Edge) dialDirectly(ctx context.Context, u directory.Upstream) (net.Conn, error) {
	c, err := e.DialUpstream(ctx, u.Address)
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return nil, err // the attempt ended first
	}
	if e.reach.Dialed(u.ID, u.Domain, err == nil, e.timer.Now()) {
		e.log.Info().Str("UpstreamDomain", string(u.Domain)).Str("Upstream", string(u.ID)).Msg("upstreams reached again")
	}
	return c, err
}

// checkDirectly opens a connection to an upstream and closes it.
func (e *Edge) checkDirectly(u directory.Upstream, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(e.ctx, limit)
	defer cancel()
	c, err := e.dialDirectly(ctx, u)
	if err != nil {
		return false
	}
	_ = c.Close() // nothing was sent on it
	return true
}

// upstreamLost examines an upstream that a request was lost at.
func (e *Edge) upstreamLost(u directory.Upstream, k fleet.Outcome, lastAlive time.Duration) {
	e.scheduleRestartProbes(u, k, lastAlive)
	if k != fleet.Failed || e.reach.Cut(u.Domain) {
		return
	}
	// A connection that brings nothing any more does not tell whether a new one can be opened.
	e.tasks.Go(func() {
		if !e.checkDirectly(u, directTimeout) {
			e.askPeers(e.ctx, u.Domain)
		}
	})
}

// askPeers asks some instances whether they reach upstreams of a failure domain to which this instance
// cannot open connections. It reports whether this instance is cut off from them.
func (e *Edge) askPeers(ctx context.Context, domain ident.Domain) bool {
	if q, before := e.reach.Ask(domain, e.timer.Now()); len(q.Upstreams) > 0 {
		e.ask(ctx, domain, q, before)
	}
	return e.reach.Cut(domain)
}

// ask asks some instances whether they reach upstreams, and more of them after questions in vain. It
// returns after the first one that does, when all have answered, or after reachPatience.
func (e *Edge) ask(ctx context.Context, domain ident.Domain, q reach.Question, before int) {
	e.meters.Count("Reach.Asked", 1)
	var all sync.WaitGroup
	peers := e.peersToAsk(1 << min(before, maxWidened))
	found, done := make(chan struct{}, len(peers)), make(chan struct{})
	for _, peer := range peers {
		all.Add(1)
		e.tasks.Go(func() {
			defer all.Done()
			ctx, cancel := context.WithTimeout(e.ctx, reachTimeout)
			defer cancel()
			var a reach.Answer
			if err := e.link.Call(ctx, peer.id, reachMethod, q, &a); err != nil {
				e.log.Debug().Str("Peer", string(peer.id)).Err(err).Msg("instance did not say which upstreams it reaches")
				return
			}
			for _, cut := range e.reach.Answered(peer.id, peer.near, domain, q, a, e.timer.Now()) {
				e.cutOff(cut, peer.id, q)
			}
			if len(a.Reached) > 0 {
				found <- struct{}{}
			}
		})
	}
	e.tasks.Go(func() {
		all.Wait()
		close(done)
	})
	over := make(chan struct{})
	sub := e.timer.After(reachPatience, func(time.Time) { close(over) })
	defer sub.Stop()
	select {
	case <-found:
	case <-done:
	case <-over:
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
}

// cutOff begins to use other instances for the upstreams of a failure domain, which peer reaches.
func (e *Edge) cutOff(domain ident.Domain, peer ident.Instance, q reach.Question) {
	e.meters.Count("Reach.Cuts", 1)
	names := make([]string, 0, len(q.Upstreams))
	for _, f := range q.Upstreams {
		names = append(names, string(f.Upstream))
	}
	e.log.Warn().Str("UpstreamDomain", string(domain)).Str("Peer", string(peer)).Str("Failed", strings.Join(names, ",")).Msg("cut off from upstreams; using other instances")
	e.fleet.Forgive(domain, e.timer.Now())
	for address, u := range *e.addresses.Load() {
		if u.Domain == domain {
			e.exchange.Forget(address)
		}
	}
}

// askedPeer is an instance that is asked.
type askedPeer struct {
	id   ident.Instance
	near bool
}

// peersToAsk returns some live instances, most of them in other failure domains, since a whole failure
// domain may be cut off at once. Their number is that of a first question, multiplied by times.
func (e *Edge) peersToAsk(times int) []askedPeer {
	nearCount, farCount := times*askedNear, times*askedFar
	now := e.timer.Now()
	var near, far []askedPeer
	e.mu.Lock()
	for id, p := range e.peers {
		switch {
		case !e.peerAlive(p, now):
		case p.domain == e.cfg.Domain:
			near = append(near, askedPeer{id, true})
		default:
			far = append(far, askedPeer{id, false})
		}
	}
	e.mu.Unlock()
	shuffle := func(list []askedPeer) {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	shuffle(near)
	shuffle(far)
	out := append(slices.Clone(near[:min(len(near), nearCount)]), far[:min(len(far), farCount)]...)
	for _, p := range append(near[min(len(near), nearCount):], far[min(len(far), farCount):]...) {
		if len(out) < nearCount+farCount {
			out = append(out, p)
		}
	}
	return out
}

// handleReach answers reachMethod: which of the upstreams this instance reaches itself.
func (e *Edge) handleReach(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var q reach.Question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	now := e.timer.Now()
	a := reach.Answer{Open: e.relays.Open()}
	var mu sync.Mutex // guards a.Reached
	reached := func(id ident.Upstream) {
		mu.Lock()
		defer mu.Unlock()
		a.Reached = append(a.Reached, id)
	}
	var checks sync.WaitGroup
	for _, f := range q.Upstreams[:min(len(q.Upstreams), maxNamed)] {
		id, within := f.Upstream, min(f.For.Std(), reachedLately)
		u, ok := e.fleet.Upstream(id)
		switch {
		case !ok || e.reach.Cut(u.Domain):
		case e.reach.Reached(id, within, now) || e.fleet.AliveWithin(id, within, e.timer.Uptime()):
			reached(id)
		case e.mayCheck(now):
			checks.Go(func() {
				if e.checkDirectly(u, checkTimeout) {
					reached(id)
				}
			})
		}
	}
	checks.Wait()
	return a, nil
}

// mayCheck counts a connection that is opened to answer a question, and reports whether it may be.
func (e *Edge) mayCheck(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.checksSince) >= time.Second {
		e.checksSince, e.checks = now, 0
	}
	e.checks++
	return e.checks <= maxChecks
}

// doubt reports whether this instance is cut off from the upstreams of a failure domain, and whether it
// may be. In that case it finds out.
func (e *Edge) doubt(domain ident.Domain) (cut, doubtful bool) {
	cut, doubtful, other := e.reach.Doubtful(domain, rand.Uint64)
	if doubtful && !cut {
		e.tasks.Go(func() {
			if u, ok := e.fleet.Upstream(other); !ok || !e.checkDirectly(u, directTimeout) {
				e.askPeers(e.ctx, domain)
			}
		})
	}
	return cut, doubtful
}

// tryDirectly tries an upstream of each failure domain from which this instance is cut off.
func (e *Edge) tryDirectly(now time.Time) {
	for _, id := range e.reach.Trials(rand.Uint64, now) {
		if u, ok := e.fleet.Upstream(id); ok {
			e.tasks.Go(func() { e.checkDirectly(u, directTimeout) })
		}
	}
}

// findHelpers looks for more instances that reach the upstreams from which this one is cut off.
func (e *Edge) findHelpers(time.Time) {
	names, _ := e.reach.CutDomains()
	if len(names) == 0 {
		return
	}
	domain := names[rand.IntN(len(names))]
	var q reach.Question
	for _, u := range *e.addresses.Load() {
		if u.Domain == domain && !u.Draining && len(q.Upstreams) < maxNamedBySearch {
			q.Upstreams = append(q.Upstreams, reach.Failed{Upstream: u.ID, For: unit.Duration(reachedLately)}) // maps are read in random order
		}
	}
	if len(q.Upstreams) > 0 {
		e.tasks.Go(func() { e.ask(e.ctx, domain, q, 0) })
	}
}

// surelyDead returns the upstreams to report to other instances as dead: those that this instance found
// dead, unless it may be cut off from them.
func (e *Edge) surelyDead(now time.Time) []ident.Upstream {
	return slices.DeleteFunc(e.fleet.FoundDead(now), func(id ident.Upstream) bool {
		u, ok := e.fleet.Upstream(id)
		return ok && e.reach.Suspect(u.Domain)
	})
}
