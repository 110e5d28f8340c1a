package edge

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/peerlink"
	"crocuslug/store"
	"crocuslug/suspect"
	"crocuslug/unit"
	"crocuslug/work"
)

// Methods of the link between instances.
const (
	digestMethod  = "Edge.Digest"
	changesMethod = "Edge.Changes"
)

// Times of what instances tell each other.
const (
	peerExpiry   = 3 * time.Second        // without a digest, a peer's requests in flight no longer count
	peerForget   = 30 * time.Second       // without a digest, a peer that the store does not list is forgotten
	behindFor    = 500 * time.Millisecond // beyond the pause between watches; one that lags less is left to itself
	catchUpEvery = 300 * time.Millisecond // between two questions
	callLimit    = time.Second
	linkUnused   = 3 * time.Second  // a link's connection is closed that was not used for so long
	sumEach      = time.Millisecond // least time between two sums over the peers, for each of them
)

// Digests that an instance sends at each interval. What it has under way
// matters most to instances that choose among the same upstreams, those of its
// own failure domain; the others hear of versions and losses by the number of
// instances that tell them. The cost does not grow with the fleet.
const (
	nearDigests = 4
	farDigests  = 4
	// mostInTurn is the number of peers beyond which each has several turns in a
	// row. Below, new connections cost less than figures that are not known.
	mostInTurn = 96
	turnsInRow = 4 // a second, so that what is told goes on to others soon
	// mostFarHeard is the number of instances elsewhere beyond which each hears
	// of another more seldom than its figures hold.
	mostFarHeard = farDigests * int(peerExpiry/digestInterval)
)

// peer is another instance.
type peer struct {
	domain   ident.Domain // "" if not known yet
	heard    time.Time    // last digest; zero if none
	added    time.Time
	inFlight map[ident.Upstream]work.Load
	seed     bool
}

// digest is what an instance tells the others again and again.
type digest struct {
	Domain        ident.Domain
	Seen          store.Version // of the store, up to which it knows all changes
	Configuration uint64        // version in force; 0 if none
	InFlight      map[ident.Upstream]work.Load
	Prompts       []work.Prompt            `json:",omitempty"` // of its streams; told within the failure domain, where its callers would come back
	Lost          []ident.Upstream         `json:",omitempty"` // found dead here within the last moments
	Refused       map[uint64]unit.Duration `json:",omitempty"` // contents that make engines fail, by the time for which they are refused
	Restarts      []restart                `json:",omitempty"` // of upstreams, found without the store
}

// question asks a peer for what has changed since a version.
type question struct {
	Seen          store.Version
	Configuration uint64
}

// changes is what an instance that is behind needs.
type changes struct {
	Seen          store.Version
	Configuration json.RawMessage      `json:",omitempty"` // if it is newer than the one asked about
	Upstreams     []directory.Upstream // changed since
	All           []ident.Upstream     // ids of all that are registered
	Peers         []presence           `json:",omitempty"`
}

// presence says where an instance is. It is what instances write in the store.
type presence struct {
	Instance ident.Instance // IP:port of its link
	Domain   ident.Domain
}

func (e *Edge) buildPeers(secret []byte) {
	e.link = peerlink.New(peerlink.Settings{
		Instance: e.self,
		Domain:   e.cfg.Domain,
		Listen:   e.cfg.PeerListen,
		Secret:   secret,

		UnusedTimeout: linkUnused,
	}, e.timer, e.log)
	e.link.Handle(digestMethod, func(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
		return nil, e.takeDigest(from, params)
	})
	e.link.Handle(changesMethod, func(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
		var q question
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, err
		}
		return e.changesSince(q), nil
	})
	now := e.timer.Now()
	for _, s := range e.cfg.Seeds {
		e.addPeer(presence{Instance: ident.Instance(s)}, now)
	}
	for _, p := range e.peers {
		p.seed = true
	}
}

// addPeer takes in another instance, which is named by the address of its link.
func (e *Edge) addPeer(who presence, now time.Time) {
	if who.Instance == e.self || who.Instance == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peer(who, now)
}

// peer returns what is known of another instance, which may be new. The lock is held.
func (e *Edge) peer(who presence, now time.Time) *peer {
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

// keepPeers forgets the peers that neither the store lists nor anybody hears.
func (e *Edge) keepPeers(listed map[ident.Instance]bool) {
	now := e.timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, p := range e.peers {
		if listed[id] || p.seed || now.Sub(p.heard) < peerForget || now.Sub(p.added) < peerForget {
			continue
		}
		delete(e.peers, id)
		e.link.Forget(id)
		e.log.Info().Str("Peer", string(id)).Time("Heard", p.heard).Msg("peer forgotten")
	}
}

// digest returns what this instance tells the others now.
func (e *Edge) digest(now time.Time) digest {
	d := digest{Domain: e.cfg.Domain, InFlight: e.fleet.InFlight(), Lost: e.fleet.FoundDead(now)}
	if cur := e.current.Load(); cur != nil {
		d.Configuration = cur.Version
	}
	proven := e.suspects.Proven()
	e.mu.Lock()
	defer e.mu.Unlock()
	d.Seen = e.seen
	d.Refused = e.refused(proven, now)
	d.Restarts = e.told(now)
	return d
}

// tellPeers sends a digest to the peers whose turn it is.
func (e *Edge) tellPeers(now time.Time) {
	d := e.digest(now)
	inFlight := d.InFlight
	var near, far []ident.Instance
	e.mu.Lock()
	for id, p := range e.peers {
		if p.domain == e.cfg.Domain {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	e.far = len(far)
	e.turn++
	turn := e.turn
	e.mu.Unlock()
	if len(far) > mostInTurn {
		d.InFlight = nil // too few of them would be known at a time
	}
	e.sendDigest(inTurn(far, farDigests, turn), d)
	d.InFlight, d.Prompts = inFlight, e.dispatcher.Prompts()
	e.sendDigest(inTurn(near, nearDigests, turn), d)
}

func (e *Edge) sendDigest(to []ident.Instance, d digest) {
	for _, id := range to {
		e.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(e.ctx, callLimit)
			defer cancel()
			if err := e.link.Notify(ctx, id, digestMethod, d); err != nil {
				e.log.Debug().Str("Peer", string(id)).Err(err).Msg("digest not sent")
			}
		})
	}
}

// tellFleet tells the fleet which failure domains have instances and which ones
// the own domain has. A domain keeps its share while it is not heard: what nobody
// uses of it is seen to be idle.
func (e *Edge) tellFleet(now time.Time) {
	near := []ident.Instance{e.self}
	domains := []ident.Domain{e.cfg.Domain}
	e.mu.Lock()
	for id, p := range e.peers {
		switch {
		case p.domain == e.cfg.Domain && e.hears(p, now):
			near = append(near, id)
		case p.domain != "" && !slices.Contains(domains, p.domain):
			domains = append(domains, p.domain)
		}
	}
	e.mu.Unlock()
	e.fleet.SetInstances(domains, near)
}

// hears reports whether a peer was heard as lately as one that lives is. The lock
// is held.
func (e *Edge) hears(p *peer, now time.Time) bool {
	limit := peerExpiry
	if p.domain != e.cfg.Domain && e.far > mostFarHeard {
		limit = peerForget
	}
	return !p.heard.IsZero() && now.Sub(p.heard) <= limit
}

// refused adds verdicts to those in force and returns them as times from now, in
// which they travel because clocks differ. The lock is held.
func (e *Edge) refused(proven []suspect.Verdict, now time.Time) map[uint64]unit.Duration {
	for _, v := range proven {
		e.verdicts[v.Fingerprint] = v.Until
		e.log.Warn().Uint64("Content", v.Fingerprint).Time("Until", v.Until).Msg("content refused: engines fail with it")
	}
	var out map[uint64]unit.Duration
	for fp, until := range e.verdicts {
		left := until.Sub(now)
		if left <= 0 {
			delete(e.verdicts, fp)
			continue
		}
		if out == nil {
			out = make(map[uint64]unit.Duration)
		}
		out[fp] = unit.Duration(left)
	}
	return out
}

// inTurn returns n of ids, others at each turn. Of very many each has several
// turns in a row, or most digests would cost a new connection.
func inTurn(ids []ident.Instance, n, turn int) []ident.Instance {
	if len(ids) <= n {
		return ids
	}
	if len(ids) > mostInTurn {
		turn /= turnsInRow
	}
	slices.Sort(ids)
	out := make([]ident.Instance, 0, n)
	for i := range n {
		out = append(out, ids[(turn*n+i)%len(ids)])
	}
	return out
}

// takeDigest takes in what a peer tells.
func (e *Edge) takeDigest(from ident.Instance, params json.RawMessage) error {
	var d digest
	if err := json.Unmarshal(params, &d); err != nil {
		return err
	}
	now := e.timer.Now()
	e.mu.Lock()
	p := e.peer(presence{from, d.Domain}, now)
	if !e.hears(p, now) {
		e.log.Info().Str("Peer", string(from)).Uint64("Seen", uint64(d.Seen)).Uint64("Configuration", d.Configuration).Msg("peer heard")
	}
	p.heard = now
	p.inFlight = d.InFlight
	counts := e.others(now)
	late := e.lagging(d.Seen, now)
	e.mu.Unlock()
	cur := e.current.Load()
	late = late || d.Configuration > 0 && cur == nil
	if counts != nil {
		e.fleet.ReportPeerLoads(counts, now)
	}
	for _, id := range d.Lost {
		e.fleet.ReportPeerLoss(id, now)
	}
	for _, p := range d.Prompts {
		e.fleet.NotePrompt(p.Upstream, p.Blocks, now)
	}
	for fp, left := range d.Refused {
		e.suspects.Refuse(suspect.Verdict{Fingerprint: fp, Until: now.Add(left.Std())})
	}
	e.takeRestarts(d.Restarts, from, now)
	if late {
		e.tasks.Go(func() { e.catchUp(from) })
	}
	return nil
}

// others adds up what the other instances have under way, or returns nil if that
// was done a moment ago. The lock is held.
func (e *Edge) others(now time.Time) map[ident.Upstream]work.Load {
	if now.Sub(e.summed) < time.Duration(len(e.peers))*sumEach {
		return nil
	}
	e.summed = now
	counts := make(map[ident.Upstream]work.Load)
	for _, q := range e.peers {
		if now.Sub(q.heard) > peerExpiry {
			continue
		}
		for u, n := range q.inFlight {
			sum := counts[u]
			counts[u] = work.Load{Requests: sum.Requests + n.Requests, Reading: sum.Reading + n.Reading}
		}
	}
	return counts
}

// lagging decides whether to ask a peer that has seen a version. As long as the
// store can be read, its next watch brings the changes by itself. The lock is held.
func (e *Edge) lagging(seen store.Version, now time.Time) bool {
	if seen <= e.seen || now.Sub(e.asked) < catchUpEvery {
		return false
	}
	if e.seen >= e.behind {
		e.behind, e.behindSince = seen, now
	}
	if !e.registry.StoreUnavailable() && now.Sub(e.behindSince) < e.gatherFor(len(e.peers)+1)+behindFor {
		return false
	}
	e.asked = now
	return true
}

// catchUp asks a peer for what has changed.
func (e *Edge) catchUp(from ident.Instance) {
	ctx, cancel := context.WithTimeout(e.ctx, callLimit)
	defer cancel()
	var q question
	e.mu.Lock()
	q.Seen = e.seen
	e.mu.Unlock()
	if cur := e.current.Load(); cur != nil {
		q.Configuration = cur.Version
	}
	var c changes
	if err := e.link.Call(ctx, from, changesMethod, q, &c); err != nil {
		e.log.Info().Str("Peer", string(from)).Err(err).Msg("cannot catch up from the peer")
		return
	}
	now := e.timer.Now()
	if len(c.Configuration) > 0 {
		e.configure(c.Configuration, "peer "+string(from), now)
	}
	for _, who := range c.Peers {
		e.addPeer(who, now)
	}
	e.mu.Lock()
	newer := c.Seen > e.seen
	e.mu.Unlock()
	if !newer {
		return
	}
	e.registry.Merge(c.Upstreams, c.All, c.Seen, now)
	e.advance(c.Seen)
	e.publish(now)
	e.log.Info().Str("Peer", string(from)).Uint64("From", uint64(q.Seen)).Uint64("To", uint64(c.Seen)).
		Int("Changed", len(c.Upstreams)).Msg("caught up from a peer")
}

// changesSince answers a peer that is behind.
func (e *Edge) changesSince(q question) changes {
	var c changes
	for _, u := range e.registry.All() {
		c.All = append(c.All, u.ID)
		if u.Revision > q.Seen {
			c.Upstreams = append(c.Upstreams, u)
		}
	}
	if cur := e.current.Load(); cur != nil && cur.Version > q.Configuration {
		c.Configuration = cur.raw
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c.Seen = e.seen
	if q.Seen == 0 {
		for id, p := range e.peers {
			c.Peers = append(c.Peers, presence{id, p.domain})
		}
	}
	return c
}
