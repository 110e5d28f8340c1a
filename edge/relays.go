package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/reach"
	"crocuslug/relay"
	"crocuslug/result"
	"crocuslug/unit"
)

// Methods by which instances ask each other whether they reach upstreams, and for a connection there.
const (
	reachMethod = "Edge.Reach"
	relayMethod = "Edge.Relay"
)

// Bounds of connections through other instances, see packages reach and relay.
const (
	reachTimeout   = 200 * time.Millisecond // of a question whether an instance reaches upstreams
	relayTimeout   = 400 * time.Millisecond // of opening a connection through one instance
	checkTimeout   = 120 * time.Millisecond // of opening a connection to an upstream to answer such a question
	reachedLately  = time.Second            // age of a connection that answers it as well
	helperInterval = time.Second            // between two searches for instances that help
	askedNear      = 1                      // instances of the own failure domain that are asked at first
	askedFar       = 2                      // instances of other failure domains that are asked at first
	maxWidened     = 2                      // questions in vain up to which each one doubles these numbers
	maxTried       = 3                      // instances through which one connection is tried
	maxChecks      = 8                      // connections a second that are opened to answer questions
	maxNamed       = 4                      // upstreams in one question that are answered
	relayShare     = 8                      // one of so many file descriptors may be a relayed connection
)

// relayRequest asks for a connection to an upstream.
type relayRequest struct {
	Upstream ident.Upstream
}

// relayOffer offers the connection.
type relayOffer struct {
	Refused bool   `json:",omitempty"` // the upstream cannot be reached from the helper either
	Address string // where to claim the connection
	Token   string
	Open    int // connections that the helper passes on
}

// relayListen returns the address at which other instances claim connections.
func (e *Edge) relayListen() string {
	if e.cfg.RelayListen != "" {
		return e.cfg.RelayListen
	}
	host, _, err := net.SplitHostPort(e.cfg.PeerListen)
	if err != nil {
		host = "" // the link will not start either
	}
	return net.JoinHostPort(host, "0")
}

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
		if !e.checkDirectly(u, relayTimeout) {
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

// ask asks some instances whether they reach upstreams, and more of them after questions in vain. It returns after the first one that does, or
// when all have answered.
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
			for _, cut := range e.reach.Answered(peer.id, peer.near, domain, q.Upstreams, a, e.timer.Now()) {
				e.cutOff(cut, peer.id, q.Upstreams)
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
	select {
	case <-found:
	case <-done:
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
}

// cutOff begins to use other instances for the upstreams of a failure domain, which peer reaches.
func (e *Edge) cutOff(domain ident.Domain, peer ident.Instance, failed []ident.Upstream) {
	e.meters.Count("Reach.Cuts", 1)
	names := make([]string, 0, len(failed))
	for _, id := range failed {
		names = append(names, string(id))
	}
	e.log.Warn().Str("UpstreamDomain", string(domain)).Str("Peer", string(peer)).Strs("Failed", names).Msg("cut off from upstreams; using other instances")
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
	now, within := e.timer.Now(), min(q.Within.Std(), reachedLately)
	a := reach.Answer{Open: e.relays.Open()}
	var mu sync.Mutex
	var checks sync.WaitGroup
	for _, id := range q.Upstreams[:min(len(q.Upstreams), maxNamed)] {
		u, ok := e.fleet.Upstream(id)
		switch {
		case !ok || e.reach.Cut(u.Domain):
		case e.reach.Reached(id, within, now) || e.fleet.AliveWithin(id, within, e.timer.Uptime()):
			a.Reached = append(a.Reached, id)
		case e.mayCheck(now):
			checks.Go(func() {
				if e.checkDirectly(u, checkTimeout) {
					mu.Lock()
					defer mu.Unlock()
					a.Reached = append(a.Reached, id)
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

// handleRelay answers relayMethod. It opens a connection itself, or none: a request passes one other
// instance at most.
func (e *Edge) handleRelay(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
	var q relayRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	u, ok := e.fleet.Upstream(q.Upstream)
	switch {
	case !ok:
		return nil, result.Newf(result.NotFound, "upstream %s is not registered here", q.Upstream)
	case e.reach.Cut(u.Domain) || e.leaving.Load():
		return nil, result.New(result.PeerUnavailable, "this instance cannot pass connections on")
	case e.relays.Full():
		e.meters.Count("Relays.Full", 1)
		return nil, result.New(result.Overloaded, "too many connections are passed on")
	}
	ctx, cancel := context.WithTimeout(e.ctx, relayTimeout)
	defer cancel()
	c, err := e.dialDirectly(ctx, u)
	if err != nil {
		return relayOffer{Refused: true, Open: e.relays.Open()}, nil
	}
	token, ok := e.relays.Offer(c)
	if !ok {
		return nil, result.New(result.Overloaded, "too many connections are passed on")
	}
	e.meters.Count("Relays.Offered", 1)
	e.log.Info().Str("Peer", string(from)).Str("Upstream", string(u.ID)).Int("Open", e.relays.Open()).Msg("connection passed on for another instance")
	return relayOffer{Address: e.relays.Addr(), Token: token, Open: e.relays.Open()}, nil
}

// notRelayed is the class of errors of connections that could not be opened through other instances.
var notRelayed = errs.Class("not relayed")

// dialThroughPeer opens a connection to an upstream through an instance that reaches it.
func (e *Edge) dialThroughPeer(ctx context.Context, u directory.Upstream) (net.Conn, error) {
	helpers := e.reach.Helpers(rand.Uint64, e.timer.Now())
	err := notRelayed.New("no instance that reaches upstreams of failure domain %q is known", u.Domain)
	for _, id := range helpers[:min(len(helpers), maxTried)] {
		var c net.Conn
		if c, err = e.dialThrough(ctx, id, u); err == nil {
			e.meters.Count("Relays.Used", 1)
			return c, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	e.meters.Count("Relays.Failed", 1)
	return nil, err
}

// dialThrough opens a connection to an upstream through an instance.
func (e *Edge) dialThrough(ctx context.Context, id ident.Instance, u directory.Upstream) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var offer relayOffer
	if err := e.link.Call(ctx, id, relayMethod, relayRequest{u.ID}, &offer); err != nil {
		e.reach.Helped(id, false, 0, e.timer.Now())
		e.log.Info().Str("Upstream", string(u.ID)).Str("Peer", string(id)).Err(err).Msg("instance did not pass a connection on")
		return nil, notRelayed.Wrap(err)
	}
	e.reach.Helped(id, true, offer.Open, e.timer.Now())
	if offer.Refused {
		return nil, notRelayed.New("no connection from instance %s either", id)
	}
	conn, err := relay.Dial(ctx, id, offer.Address, offer.Token)
	if err != nil {
		e.reach.Helped(id, false, 0, e.timer.Now())
		return nil, notRelayed.Wrap(err)
	}
	return conn, nil
}

// doubt reports whether this instance is cut off from the upstreams of a failure domain, and whether it
// may be. In that case it finds out.
func (e *Edge) doubt(domain ident.Domain) (cut, doubtful bool) {
	cut, doubtful, other := e.reach.Doubtful(domain, rand.Uint64)
	if doubtful && !cut {
		e.tasks.Go(func() {
			if u, ok := e.fleet.Upstream(other); !ok || !e.checkDirectly(u, relayTimeout) {
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
			e.tasks.Go(func() { e.checkDirectly(u, relayTimeout) })
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
	var ids []ident.Upstream
	for _, u := range *e.addresses.Load() {
		if u.Domain == domain && !u.Draining && len(ids) < maxNamedBySearch {
			ids = append(ids, u.ID) // maps are read in random order
		}
	}
	if len(ids) > 0 {
		e.tasks.Go(func() { e.ask(e.ctx, domain, reach.Question{Upstreams: ids, Within: unit.Duration(reachedLately)}, 0) })
	}
}

// maxNamedBySearch is the number of upstreams named in a question for more helpers.
const maxNamedBySearch = 2

// surelyDead returns the upstreams to report to other instances as dead: those that this instance found
// dead, unless it may be cut off from them.
func (e *Edge) surelyDead(now time.Time) []ident.Upstream {
	return slices.DeleteFunc(e.fleet.FoundDead(now), func(id ident.Upstream) bool {
		u, ok := e.fleet.Upstream(id)
		return ok && e.reach.Suspect(u.Domain)
	})
}
