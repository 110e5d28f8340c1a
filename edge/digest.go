package edge

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"crocuslug/builds"
	"crocuslug/canary"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/pace"
	"crocuslug/poison"
	"crocuslug/registry"
	"crocuslug/store"
	"crocuslug/upstreamlimit"
	"crocuslug/work"
)

// digest is what an instance sends to its peers periodically.
type digest struct {
	Domain        ident.Domain
	Seen          store.Version                // store version up to which the sender knows all changes
	confirmation                               // of that knowledge
	Configuration uint64                       // version in force; 0 if none
	InFlight      map[ident.Upstream]work.Load // the load of the sender on each upstream
	// Demand is the demand of the sender for the memory of engines, by service.
	Demand map[ident.Service]work.Demand `json:",omitempty"`
	// Prompts are those of its streams. They are sent only within the failure domain, because its
	// callers return to instances there.
	Prompts []work.Prompt    `json:",omitempty"`
	Lost    []ident.Upstream `json:",omitempty"` // upstreams that the sender found dead recently
	// Replaced are upstreams whose address the sender found taken by another one recently, with the
	// revisions of their entries.
	Replaced map[ident.Upstream]store.Version `json:",omitempty"`
	Poison   poison.Report                    `json:",omitzero"` // crashes of engines, and what is refused because of them
	// Limits are what upstreams have said about the requests that they take.
	Limits []upstreamlimit.Statement `json:",omitempty"`
	// Builds are the services with several software versions of upstreams.
	Builds []builds.State `json:",omitempty"`
	// Deliveries is the evidence of deliveries in progress. Instances of earlier builds ignore it.
	Deliveries []canary.Evidence `json:",omitempty"`
	// Paces are samples of the speed of upstreams, sent within the failure domain.
	Paces []pace.Sample `json:",omitempty"`
	// Departures are upstreams that have said in answers to the sender that they are leaving.
	Departures []registry.Departure `json:",omitempty"`
	// Restarts are those of upstreams that were found without the store.
	Restarts []restart `json:",omitempty"`
}

// newDigest returns the state of this instance for its peers, without prompts.
func (e *Edge) newDigest(now time.Time) digest {
	d := digest{Domain: e.cfg.Domain, InFlight: e.fleet.InFlight(), Lost: e.surelyDead(now), Replaced: e.fleet.FoundReplaced(now)}
	if cur := e.current.Load(); cur != nil {
		d.Configuration = cur.Version
	}
	d.Poison, d.Limits, d.Builds = e.poison.Report(now), e.upstreamLimits.Report(now), e.builds.Report(now)
	d.Demand = e.demand(now)
	d.Departures = e.registry.Departures(now.Add(-departureReportTime))
	if e.deliveries.on {
		d.Deliveries = e.deliveries.report(now)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	d.Seen, d.confirmation = e.view.Seen(), encodeConfirmation(e.view.Confirmation(e.timer.Uptime()))
	d.Restarts = e.recentRestarts(now)
	return d
}

// sendDigests sends a digest to the peers whose turn it is.
func (e *Edge) sendDigests(now time.Time) {
	d := e.newDigest(now)
	loads := d.InFlight
	var near, far []ident.Instance
	e.mu.Lock()
	for id, p := range e.peers {
		if p.domain == e.cfg.Domain {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	e.farPeers = len(far)
	e.digestRound++
	turn := e.digestRound
	nearCount := e.nearDigestCount(d.Seen)
	e.mu.Unlock()
	if len(far) > maxSingleTurnPeers {
		d.InFlight = nil // too few of these loads would be known at a time
	}
	e.sendDigest(digestTargets(far, farDigests, turn), d)
	d.InFlight, d.Prompts, d.Paces = loads, e.dispatcher.Prompts(), e.paceSamples(now)
	e.sendDigest(digestTargets(near, nearCount, turn), d)
}

// nearDigestCount returns the number of digests to peers of the own failure domain in a round with
// the given store version. The caller holds e.mu.
func (e *Edge) nearDigestCount(seen store.Version) int {
	news := seen > e.toldVersion
	e.toldVersion = seen
	if news && e.view.Watcher() {
		return maxNewsDigests
	}
	return nearDigests
}

func (e *Edge) sendDigest(to []ident.Instance, d digest) {
	for _, id := range to {
		e.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
			defer cancel()
			if err := e.link.Notify(ctx, id, digestMethod, d); err != nil {
				e.log.Debug().Str("Peer", string(id)).Err(err).Msg("could not send a digest to the peer")
			}
		})
	}
}

// digestTargets returns the n of ids that get a digest in this round; successive rounds go through
// all ids. If there are more than maxSingleTurnPeers, each id is chosen in several rounds in a
// row, because otherwise most digests would need a new connection. It sorts ids.
func digestTargets(ids []ident.Instance, n, turn int) []ident.Instance {
	if len(ids) <= n {
		return ids
	}
	if len(ids) > maxSingleTurnPeers {
		turn /= consecutiveTurns
	}
	slices.Sort(ids)
	out := make([]ident.Instance, 0, n)
	for i := range n {
		out = append(out, ids[(turn*n+i)%len(ids)])
	}
	return out
}

// applyDigest updates the state of this instance from the digest of a peer.
func (e *Edge) applyDigest(from ident.Instance, params json.RawMessage) error {
	var d digest
	if err := json.Unmarshal(params, &d); err != nil {
		return err
	}
	now := e.timer.Now()
	e.mu.Lock()
	p := e.ensurePeer(presence{from, d.Domain}, now)
	if !e.peerAlive(p, now) {
		e.log.Info().Str("Peer", string(from)).Uint64("Seen", d.Seen.Revision()).Uint64("Configuration", d.Configuration).Msg("digest received from a peer that had sent none lately")
	}
	p.lastDigest = now
	p.inFlight, p.demand = d.InFlight, d.Demand
	loads := e.sumPeerLoads(now)
	var others fleet.Others
	if loads != nil && e.cfg.Admission.ByMemory {
		others = e.sumOthers(now)
	}
	e.mu.Unlock()
	behind := e.view.Report(d.Seen, d.decode(), e.timer.Uptime())
	behind = behind || e.lacksConfiguration(d)
	if loads != nil {
		e.fleet.ReportPeerLoads(loads, now)
		e.reportOthers(others, now)
	}
	for _, id := range d.Lost {
		e.fleet.ReportPeerLoss(id, now)
	}
	for id, revision := range d.Replaced {
		e.fleet.ReportPeerReplaced(id, revision, now)
	}
	for _, p := range d.Prompts {
		e.fleet.NotePrompt(p.Upstream, p.Blocks, now)
	}
	e.poison.Merge(d.Poison, now)
	if e.cfg.LearnPace {
		e.paces.Merge(d.Paces, from, now)
	}
	e.mergeLimits(d.Limits, from, now)
	e.builds.Merge(d.Builds, now)
	if e.deliveries.on && len(d.Deliveries) > 0 {
		e.deliveries.merge(d.Deliveries, now)
	}
	e.mergeDepartures(d.Departures, from, now)
	e.applyRestarts(d.Restarts, from, now)
	if behind {
		e.tasks.Go(func() { e.catchUp(from) })
	}
	return nil
}

// lacksConfiguration reports whether a peer has a configuration that this instance does not get from
// the store: the store has not been read yet, or was restored from an older copy.
func (e *Edge) lacksConfiguration(d digest) bool {
	cur := e.current.Load()
	if cur == nil {
		return d.Configuration > 0
	}
	return d.Configuration > cur.Version && d.Seen <= e.view.Seen() && e.view.MayAsk(e.timer.Uptime())
}
