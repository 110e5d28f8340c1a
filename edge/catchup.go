package edge

import (
	"context"
	"encoding/json"

	"crocuslug/ident"
	"crocuslug/registry"
	"crocuslug/store"
	"crocuslug/unit"
)

// changesRequest asks a peer for what has changed since the versions that the sender has.
type changesRequest struct {
	Seen          store.Version
	Configuration uint64
}

// changes holds what an instance that is behind lacks.
type changes struct {
	Seen          store.Version
	StoreAge      unit.Duration   `json:",omitempty"` // as in digest
	Configuration json.RawMessage `json:",omitempty"` // set if it is newer than the version in the request
	registry.Changes
	// Peers are known instances, sent to a peer that has not read the store yet.
	Peers []presence `json:",omitempty"`
}

// catchUp asks a peer for the changes that this instance lacks and applies them.
func (e *Edge) catchUp(from ident.Instance) {
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	began := e.timer.Uptime()
	q := changesRequest{Seen: e.view.Seen()}
	if cur := e.current.Load(); cur != nil {
		q.Configuration = cur.Version
	}
	var c changes
	if err := e.link.Call(ctx, from, changesMethod, q, &c); err != nil {
		e.log.Info().Str("Peer", string(from)).Err(err).Msg("could not get changes from the peer")
		return
	}
	now := e.timer.Now()
	if len(c.Configuration) > 0 {
		e.applyConfiguration(c.Configuration, "peer "+string(from), now)
	}
	for _, who := range c.Peers {
		e.addPeer(who, now)
	}
	if c.Seen <= e.view.Seen() {
		return
	}
	e.recordEra(c.Seen)
	if q.Seen > 0 { // otherwise these are all upstreams
		for _, u := range c.Upstreams {
			e.logRegistered(u, "peer "+string(from))
		}
	}
	e.logRemovals(e.registry.Merge(c.Changes, c.Seen, now), c.Seen, "peer "+string(from))
	if c.StoreAge > 0 {
		e.view.Confirm(c.Seen, began-c.StoreAge.Std())
	} else {
		e.view.Advance(c.Seen)
	}
	e.publish(now)
	e.meters.Count("Store.CaughtUp", 1)
	e.log.Info().Str("Peer", string(from)).Uint64("From", q.Seen.Revision()).Uint64("To", c.Seen.Revision()).Dur("StoreAgeMs", c.StoreAge.Std()).
		Int("Changed", len(c.Upstreams)).Int("Lapsed", len(c.Lapsed)).Msg("caught up from a peer")
}

// changesSince returns the changes for a peer that is behind.
func (e *Edge) changesSince(q changesRequest) changes {
	// The version is read before the entries, which must not be older.
	c := changes{Seen: e.view.Seen(), StoreAge: unit.Duration(e.view.Age(e.timer.Uptime()))}
	c.Changes = e.registry.Since(q.Seen)
	if cur := e.current.Load(); cur != nil && cur.Version > q.Configuration {
		c.Configuration = cur.raw
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.Seen == 0 {
		for id, p := range e.peers {
			c.Peers = append(c.Peers, presence{id, p.domain})
		}
	}
	return c
}
