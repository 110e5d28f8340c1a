package edge

import (
	"encoding/json"
	"strings"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/store"
)

// watch follows the platform's store until the instance ends.
func (e *Edge) watch() {
	scanned := false
	for e.ctx.Err() == nil {
		var err error
		if !scanned {
			err = e.scan()
			scanned = err == nil
		} else {
			err = e.follow()
			if store.Trimmed.Has(err) {
				e.log.Info().Msg("the store has dropped the history since the last change seen here; reading all anew")
				scanned, err = false, nil
			}
		}
		if e.ctx.Err() != nil {
			return
		}
		now := e.timer.Now()
		if e.registry.SetStoreUnavailable(err != nil, now) {
			if err != nil {
				e.log.Warn().Err(err).Msg("store lost")
			} else {
				e.log.Info().Msg("store regained")
				e.timer.After(rescanAfter, func(time.Time) { e.tasks.Go(e.rescan) })
			}
		}
		if err != nil {
			e.sleep(storeBackOff)
		} else {
			e.sleep(e.gather())
		}
	}
}

// Pauses between two watches. Changes come in bursts, and each watch returns
// with the first of them, so without a pause a burst would cost a call for each
// change at each instance. All instances pay from one budget of calls, so the
// pause grows with their number, up to a share of the time in which a change
// must have effect.
const (
	leastGather     = 250 * time.Millisecond
	gatherEach      = 15 * time.Millisecond // for each instance
	mostGatherShare = 0.4                   // of the time to react to leaving upstreams
)

func (e *Edge) gather() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gatherFor(len(e.peers) + 1)
}

// gatherFor returns the pause in a fleet of n instances.
func (e *Edge) gatherFor(n int) time.Duration {
	most := max(leastGather, time.Duration(mostGatherShare*float64(e.cfg.Drain)))
	return min(max(leastGather, time.Duration(n)*gatherEach), most)
}

// rescanAfter is when all is read again after an outage: upstreams that live
// have registered by then, and what was believed without the store is put right.
const rescanAfter = 2300 * time.Millisecond

func (e *Edge) rescan() {
	if err := e.scan(); err != nil {
		e.log.Info().Err(err).Msg("store not read again after its return; the watch goes on")
	}
}

// scan reads all that the store holds for this instance.
func (e *Edge) scan() error {
	entries, at, err := e.store.Scan(e.ctx, "")
	if err != nil {
		return err
	}
	now := e.timer.Now()
	var list []directory.Upstream
	instances := make(map[ident.Instance]bool)
	for _, entry := range entries {
		switch {
		case entry.Key == e.ports.ConfigurationKey:
			e.configure(entry.Value, "store", now)
		case strings.HasPrefix(entry.Key, e.ports.UpstreamsPrefix):
			if u, ok := e.entry(entry); ok {
				list = append(list, u)
			}
		case strings.HasPrefix(entry.Key, instancesPrefix):
			if id := e.found(entry, now); id != "" {
				instances[id] = true
			}
		}
	}
	e.keepPeers(instances)
	e.registry.ReplaceAll(list, at, now)
	e.advance(at)
	e.publish(now)
	e.log.Info().Uint64("Revision", uint64(at)).Int("Upstreams", len(list)).Msg("store read")
	return nil
}

// follow waits for the next changes.
func (e *Edge) follow() error {
	e.mu.Lock()
	after := e.seen
	e.mu.Unlock()
	entries, at, err := e.store.Watch(e.ctx, "", after)
	if err != nil {
		return err
	}
	now := e.timer.Now()
	changed := false
	for _, entry := range entries {
		switch {
		case entry.Key == e.ports.ConfigurationKey && !entry.Deleted:
			e.configure(entry.Value, "store", now)
		case strings.HasPrefix(entry.Key, e.ports.UpstreamsPrefix):
			e.changed(entry, now)
			changed = true
		case strings.HasPrefix(entry.Key, instancesPrefix):
			if !entry.Deleted {
				e.found(entry, now)
			}
		}
	}
	e.advance(at)
	if changed {
		e.publish(now)
	}
	return nil
}

// found takes in the entry of an instance and returns its id.
func (e *Edge) found(entry store.Entry, now time.Time) ident.Instance {
	var who presence
	if err := json.Unmarshal(entry.Value, &who); err != nil {
		e.log.Warn().Str("Key", entry.Key).Err(err).Msg("entry names no instance")
		return ""
	}
	e.addPeer(who, now)
	return who.Instance
}

// changed takes the change of one upstream's entry.
func (e *Edge) changed(entry store.Entry, now time.Time) {
	if entry.Deleted {
		id := ident.Upstream(strings.TrimPrefix(entry.Key, e.ports.UpstreamsPrefix))
		e.log.Info().Str("Upstream", string(id)).Uint64("Revision", uint64(entry.Version)).Msg("upstream removed")
		e.registry.Remove(id, entry.Version, now)
		return
	}
	if u, ok := e.entry(entry); ok {
		e.log.Info().Str("Upstream", string(u.ID)).Str("Address", u.Address).Str("UpstreamDomain", string(u.Domain)).Str("Service", string(u.Service)).Bool("Draining", u.Draining).
			Uint64("Revision", uint64(u.Revision)).Msg("upstream registered")
		e.registry.Set(u)
	}
}

// entry decodes the entry of an upstream. One that cannot be read names none
// and is logged once.
func (e *Edge) entry(entry store.Entry) (directory.Upstream, bool) {
	u, err := e.ports.Entry(entry)
	if err == nil {
		return u, true
	}
	e.mu.Lock()
	known := e.bad[entry.Key] == entry.Version
	e.bad[entry.Key] = entry.Version
	e.mu.Unlock()
	if !known {
		e.log.Warn().Str("Key", entry.Key).Uint64("Revision", uint64(entry.Version)).Err(err).Msg("entry names no upstream")
	}
	return directory.Upstream{}, false
}

// configure puts a configuration in force if it is newer than the present one.
func (e *Edge) configure(raw []byte, source string, now time.Time) {
	doc, err := e.ports.Configuration(raw)
	if err != nil {
		e.log.Error().Err(err).Str("Source", source).Msg("configuration cannot be read")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if cur := e.current.Load(); cur != nil && cur.Version >= doc.Version {
		return
	}
	e.current.Store(&inForce{directory.New(doc), raw, now})
	e.log.Info().Uint64("Configuration", doc.Version).Str("Source", source).Int("Routes", len(doc.Routes)).
		Int("Workspaces", len(doc.Workspaces)).Msg("configuration in force")
}

// advance notes that all changes up to a version are known.
func (e *Edge) advance(at store.Version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = max(e.seen, at)
}

// publish tells the fleet which upstreams there are.
func (e *Edge) publish(now time.Time) {
	d := e.current.Load()
	e.fleet.SetUpstreams(e.registry.All(), func(s ident.Service) int {
		if d == nil {
			return 0
		}
		if service := d.Service(s); service != nil {
			return service.Memory
		}
		return 0
	}, now)
}
