package edge

import (
	"context"
	"encoding/json"
	"time"

	"crocuslug/ident"
	"crocuslug/registry"
	"crocuslug/store"
)

// Times of catching up from a peer.
const (
	// catchUpDelay is the lag, beyond the pause between watches, after which an instance asks a
	// peer for changes. With a smaller lag it waits for its watch.
	catchUpDelay    = 500 * time.Millisecond
	catchUpInterval = 300 * time.Millisecond // between two requests for changes
)

// changesRequest asks a peer for what has changed since the versions that the sender has.
type changesRequest struct {
	Seen          store.Version
	Configuration uint64
}

// changes holds what an instance that is behind lacks.
type changes struct {
	Seen          store.Version
	Configuration json.RawMessage `json:",omitempty"` // set if it is newer than the version in the request
	registry.Changes
	// Peers are known instances, sent to a peer that has not read the store yet.
	Peers []presence `json:",omitempty"`
}

// needsCatchUp reports whether to ask a peer that has seen the given store version for changes,
// and if so records the time of the request. While the store can be read, the next watch normally
// brings the changes. The caller holds e.mu.
func (e *Edge) needsCatchUp(seen store.Version, now time.Time) bool {
	if seen <= e.seenVersion || now.Sub(e.lastCatchUp) < catchUpInterval {
		return false
	}
	if e.seenVersion >= e.peerVersion {
		e.peerVersion, e.behindSince = seen, now
	}
	if !e.registry.StoreUnavailable() && now.Sub(e.behindSince) < e.watchPauseFor(len(e.peers)+1)+catchUpDelay {
		return false
	}
	e.lastCatchUp = now
	return true
}

// catchUp asks a peer for the changes that this instance lacks and applies them.
func (e *Edge) catchUp(from ident.Instance) {
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	var q changesRequest
	e.mu.Lock()
	q.Seen = e.seenVersion
	e.mu.Unlock()
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
	e.mu.Lock()
	newer := c.Seen > e.seenVersion
	e.mu.Unlock()
	if !newer {
		return
	}
	e.registry.Merge(c.Changes, c.Seen, now)
	e.advanceSeen(c.Seen)
	e.publish(now)
	e.log.Info().Str("Peer", string(from)).Uint64("From", uint64(q.Seen)).Uint64("To", uint64(c.Seen)).
		Int("Changed", len(c.Upstreams)).Msg("caught up from a peer")
}

// changesSince returns the changes for a peer that is behind.
func (e *Edge) changesSince(q changesRequest) changes {
	var c changes
	e.mu.Lock()
	c.Seen = e.seenVersion // read before the entries, which must not be older
	e.mu.Unlock()
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
