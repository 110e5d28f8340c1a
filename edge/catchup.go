package edge

import (
	"context"
	"encoding/json"
	"time"

	"crocuslug/ident"
	"crocuslug/registry"
	"crocuslug/store"
	"crocuslug/storeview"
	"crocuslug/unit"
)

// Time limits of getting a configuration, which may be large, while links are slow.
const (
	storeConfigurationTimeout = 1500 * time.Millisecond
	peerConfigurationTimeout  = 4 * time.Second
)

// changesRequest asks a peer for what has changed since the versions that the sender has.
type changesRequest struct {
	Seen          store.Version
	Configuration uint64
	// OmitConfiguration asks for the version of a newer configuration only.
	OmitConfiguration bool `json:",omitempty"`
}

// changes holds what an instance that is behind lacks.
type changes struct {
	Seen          store.Version
	confirmation                  // as in digest
	InForce       uint64          // version of the configuration in force
	Configuration json.RawMessage `json:",omitempty"` // set if it is newer than the version in the request, unless that omits it
	registry.Changes
	// Deliveries are all orders and statuses of deliveries. Instances of earlier builds do not send it.
	Deliveries *[]toldDelivery `json:",omitempty"`
	// Peers are known instances, sent to a peer that has not read the store yet.
	Peers []presence `json:",omitempty"`
}

// confirmation is a storeview.Confirmation in a message.
type confirmation struct {
	StoreAge    unit.Duration `json:",omitempty"`
	StoreSource uint64        `json:",omitempty"`
	StoreAnswer uint64        `json:",omitempty"`
}

func encodeConfirmation(c storeview.Confirmation) confirmation {
	return confirmation{unit.Duration(c.Age), c.Source, c.Number}
}

func (c confirmation) decode() storeview.Confirmation {
	return storeview.Confirmation{Age: c.StoreAge.Std(), Answer: storeview.Answer{Source: c.StoreSource, Number: c.StoreAnswer}}
}

// configurationVersion returns the version of the configuration in force, or 0 if there is none.
func (e *Edge) configurationVersion() uint64 {
	if cur := e.current.Load(); cur != nil {
		return cur.Version
	}
	return 0
}

// catchUp asks a peer for the changes that this instance lacks and applies them. A newer
// configuration is fetched separately, so that it does not hold up the changes of upstreams.
func (e *Edge) catchUp(from ident.Instance) {
	began, asked := e.timer.Uptime(), e.timer.Now()
	q := changesRequest{Seen: e.view.Seen(), Configuration: e.configurationVersion(), OmitConfiguration: true}
	c, err := e.requestChanges(from, q, callTimeout)
	if err != nil {
		return
	}
	if c.InForce > q.Configuration {
		e.tasks.Go(func() { e.fetchConfiguration(from, c.InForce) })
	}
	now := e.timer.Now()
	for _, who := range c.Peers {
		e.addPeer(who, now)
	}
	if c.Seen <= e.view.Seen() {
		return
	}
	e.recordEra(c.Seen)
	c.Upstreams = e.usableUpstreams(c.Upstreams, from, now)
	if q.Seen > 0 { // otherwise these are all upstreams
		for _, u := range c.Upstreams {
			e.logRegistered(u, "peer "+string(from))
		}
	}
	told := e.deliveriesOf(c, e.timer.Uptime()-began)
	e.applyDeliveries(told, e.isOrder, c.Seen, "peer "+string(from), now) // before a second build can be used
	e.logRemovals(e.registry.Merge(c.Changes, c.Seen, asked, now), c.Seen, "peer "+string(from))
	e.applyDeliveries(told, e.isStatus, c.Seen, "peer "+string(from), now)
	e.view.ConfirmThrough(c.Seen, c.decode(), began, e.timer.Uptime())
	e.publish(now)
	e.meters.Count("Store.CaughtUp", 1)
	e.log.Info().Str("Peer", string(from)).Uint64("From", q.Seen.Revision()).Uint64("To", c.Seen.Revision()).Dur("StoreAgeMs", c.StoreAge.Std()).
		Int("Changed", len(c.Upstreams)).Int("Lapsed", len(c.Lapsed)).Msg("caught up from a peer")
}

// requestChanges asks a peer for changes. It logs a failure.
func (e *Edge) requestChanges(from ident.Instance, q changesRequest, limit time.Duration) (changes, error) {
	ctx, cancel := context.WithTimeout(e.ctx, limit)
	defer cancel()
	var c changes
	err := e.link.Call(ctx, from, changesMethod, q, &c)
	if err != nil {
		e.log.Info().Str("Peer", string(from)).Bool("OmitConfiguration", q.OmitConfiguration).Err(err).Msg("could not get changes from the peer")
	}
	return c, err
}

// fetchConfiguration gets a configuration of at least the given version, from the store or else from
// a peer. The store is asked first, because the links of instances are slow and all of them need a
// new configuration at the same time. It does nothing while another call is in progress.
func (e *Edge) fetchConfiguration(from ident.Instance, version uint64) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	defer e.fetching.Store(false)
	if e.configurationVersion() >= version {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, storeConfigurationTimeout)
	entry, err := e.store.Get(ctx, e.ports.ConfigurationKey)
	cancel()
	if err == nil {
		e.applyConfiguration(entry.Value, "store", e.timer.Now())
	} else {
		e.log.Info().Err(err).Uint64("Configuration", version).Msg("could not read the configuration from the store; asking a peer")
	}
	if e.configurationVersion() >= version {
		return
	}
	q := changesRequest{Seen: e.view.Seen(), Configuration: e.configurationVersion()}
	c, err := e.requestChanges(from, q, peerConfigurationTimeout)
	if err != nil || len(c.Configuration) == 0 {
		return
	}
	e.applyConfiguration(c.Configuration, "peer "+string(from), e.timer.Now())
}

// changesSince returns the changes for a peer that is behind.
func (e *Edge) changesSince(q changesRequest) changes {
	// The version is read before the entries, which must not be older.
	c := changes{Seen: e.view.Seen(), confirmation: encodeConfirmation(e.view.Confirmation(e.timer.Uptime()))}
	c.Deliveries = e.tellDeliveries(e.timer.Now())
	c.Changes = e.registry.Since(q.Seen, e.timer.Now())
	if cur := e.current.Load(); cur != nil {
		c.InForce = cur.Version
		if !q.OmitConfiguration && cur.Version > q.Configuration {
			c.Configuration = cur.raw
		}
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
