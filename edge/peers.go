package edge

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"crocuslug/ident"
	"crocuslug/peerlink"
	"crocuslug/work"
)

// Methods that instances call on each other.
const (
	digestMethod  = "Edge.Digest"
	changesMethod = "Edge.Changes"
)

// Times of the messages between instances.
const (
	peerExpiry = 3 * time.Second // without a digest for this long, the load of a peer no longer counts
	// peerForgetAfter is the time without a digest after which a peer that the store does not list
	// is forgotten.
	peerForgetAfter    = 30 * time.Second
	callTimeout        = time.Second
	linkIdleTimeout    = 3 * time.Second  // an idle connection to a peer is closed after this time
	sumIntervalPerPeer = time.Millisecond // least time between two sums over the loads of all peers, for each peer
)

// Numbers of digests that an instance sends in each interval. Its load matters
// most to peers that choose among the same upstreams, those of its own failure
// domain. Peers in other failure domains learn of versions and losses quickly
// because many instances report them. The cost does not grow with the number of
// instances.
const (
	nearDigests = 4 // to peers of the own failure domain
	farDigests  = 4 // to peers of other failure domains
	// maxNewsDigests is the largest number of digests to peers of the own failure domain in a round
	// before which a watcher has seen a change in the store. The peers ask it for the change, so they
	// should not hear of it from one that knows it later.
	maxNewsDigests = 24
	// maxDigestRound bounds the number of the first round, which is random. Instances that start at
	// the same time would tell the same peers otherwise.
	maxDigestRound = 1 << 20
	// maxSingleTurnPeers is the number of peers up to which each round of digests goes to other
	// peers than the last. With more peers, each gets several digests in a row, so that its
	// connection stays in use. With fewer, opening new connections costs less than working with
	// unknown loads.
	maxSingleTurnPeers = 96
	// consecutiveTurns is the number of digests that such a peer gets in a row. At digestInterval
	// they last one second, so that news still reaches the other peers soon.
	consecutiveTurns = 4
	// maxFarPeersInExpiry is the number of peers in other failure domains up to which each of them
	// sends this instance a digest within peerExpiry.
	maxFarPeersInExpiry = farDigests * int(peerExpiry/digestInterval)
)

// peer is another instance.
type peer struct {
	domain     ident.Domain // "" if not known yet
	lastDigest time.Time    // arrival of its last digest; zero if none came
	added      time.Time
	inFlight   map[ident.Upstream]work.Load // its load on each upstream, from its last digest; nil if that told none
	demand     map[ident.Service]work.Demand
	seed       bool // listed in the settings
}

// presence identifies an instance and its failure domain. Instances write it to the store.
type presence struct {
	Instance ident.Instance // IP:port at which it listens for peers
	Domain   ident.Domain
}

// setUpPeers creates the link to other instances and adds the seeds from the settings.
func (e *Edge) setUpPeers(secret []byte) {
	e.link = peerlink.New(peerlink.Settings{
		Instance: e.self,
		Domain:   e.cfg.Domain,
		Listen:   e.cfg.PeerListen,
		Secret:   secret,

		UnusedTimeout: linkIdleTimeout,
	}, e.timer, e.log)
	e.link.Handle(digestMethod, func(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
		return nil, e.applyDigest(from, params)
	})
	e.link.Handle(changesMethod, func(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
		var q changesRequest
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, err
		}
		return e.changesSince(q), nil
	})
	e.link.Handle(permitsMethod, e.handlePermits)
	e.link.Handle(tellOriginMethod, e.handleTellOrigin)
	e.link.Handle(findOriginMethod, e.handleFindOrigin)
	e.link.Handle(holdOriginsMethod, e.handleHoldOrigins)
	e.link.Handle(reachMethod, e.handleReach)
	e.link.Handle(relayMethod, e.handleRelay)
	e.link.Handle(restMethod, e.handleRest)
	now := e.timer.Now()
	for _, s := range e.cfg.Seeds {
		e.addPeer(presence{Instance: ident.Instance(s)}, now)
	}
	for _, p := range e.peers {
		p.seed = true
	}
}

// addPeer records another instance. Its id is the address at which it listens for peers.
func (e *Edge) addPeer(who presence, now time.Time) {
	if who.Instance == e.self || who.Instance == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensurePeer(who, now)
}

// ensurePeer returns the record of another instance and creates it if there is none. The caller
// holds e.mu.
func (e *Edge) ensurePeer(who presence, now time.Time) *peer {
	id := who.Instance
	p, ok := e.peers[id]
	if !ok {
		p = &peer{added: now}
		e.peers[id] = p
		e.link.SetAddress(id, string(id))
		e.log.Info().Str("Peer", string(id)).Str("PeerDomain", string(who.Domain)).Msg("peer found")
	}
	if who.Domain != "" {
		p.domain = who.Domain
	}
	return p
}

// forgetPeers removes the peers that the store does not list and that have sent no digest for
// peerForgetAfter. Seeds stay.
func (e *Edge) forgetPeers(listed map[ident.Instance]bool) {
	now := e.timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, p := range e.peers {
		if listed[id] || p.seed || now.Sub(p.lastDigest) < peerForgetAfter || now.Sub(p.added) < peerForgetAfter {
			continue
		}
		delete(e.peers, id)
		e.link.RemovePeer(id)
		e.log.Info().Str("Peer", string(id)).Time("Heard", p.lastDigest).Msg("peer forgotten")
	}
}

// updateFleetInstances sets the failure domains that have instances, and the live instances of the
// own domain, in the fleet. A domain without recent digests stays listed and keeps its share of
// the upstreams. The fleet treats upstreams in that share that no instance uses as idle. Instances
// that are listed and may not have been heard yet have their share too: those that start at the
// same time would each take all upstreams of the domain for their own.
func (e *Edge) updateFleetInstances(now time.Time) {
	near := []ident.Instance{e.self}
	sharing := []ident.Instance{e.self}
	domains := []ident.Domain{e.cfg.Domain}
	live, liveDomains := []ident.Instance{e.self}, map[ident.Domain]bool{e.cfg.Domain: true}
	e.mu.Lock()
	for id, p := range e.peers {
		alive := e.peerAlive(p, now)
		if alive {
			live = append(live, id)
			liveDomains[p.domain] = true
		}
		switch {
		case p.domain == e.cfg.Domain && alive:
			near, sharing = append(near, id), append(sharing, id)
		case p.domain == e.cfg.Domain && e.unheard(p, now):
			sharing = append(sharing, id)
		case p.domain != "" && !slices.Contains(domains, p.domain):
			domains = append(domains, p.domain)
		}
	}
	e.mu.Unlock()
	e.dispatcher.SetRetryBurst(e.retryBurst(len(live)))
	e.deliveries.setInstances(live)
	e.fleet.SetInstances(domains, sharing)
	e.view.SetPeers(e.cfg.Domain, e.self, near, len(liveDomains))
}

// unheard reports whether a peer became known so recently that it may live although it has sent no
// digest yet. The caller holds e.mu.
func (e *Edge) unheard(p *peer, now time.Time) bool {
	return p.lastDigest.IsZero() && now.Sub(p.added) <= peerExpiry
}

// peerAlive reports whether the last digest of a peer is as recent as expected from a live peer.
// The caller holds e.mu.
func (e *Edge) peerAlive(p *peer, now time.Time) bool {
	limit := peerExpiry
	if p.domain != e.cfg.Domain && e.farPeers > maxFarPeersInExpiry {
		limit = peerForgetAfter
	}
	return !p.lastDigest.IsZero() && now.Sub(p.lastDigest) <= limit
}

// sumPeerLoads returns the sum of the loads that the other instances report for each upstream, or
// nil if it was computed a moment ago. The caller holds e.mu.
func (e *Edge) sumPeerLoads(now time.Time) map[ident.Upstream]work.Load {
	if now.Sub(e.lastLoadSum) < time.Duration(len(e.peers))*sumIntervalPerPeer {
		return nil
	}
	e.lastLoadSum = now
	counts := make(map[ident.Upstream]work.Load)
	for _, q := range e.peers {
		if now.Sub(q.lastDigest) > peerExpiry {
			continue
		}
		for u, n := range q.inFlight {
			counts[u] = counts[u].Plus(e.aged(n, now.Sub(q.lastDigest)))
		}
	}
	return counts
}
