package edge

import (
	"context"
	"errors"
	"strings"
	"time"

	"crocuslug/canary"
	"crocuslug/ident"
	"crocuslug/store"
	"crocuslug/unit"
)

// toldDelivery is the store entry of an order or of a status, as an instance tells it to one that is behind.
type toldDelivery struct {
	Key     string
	Value   []byte
	Version store.Version
	Age     unit.Duration `json:",omitempty"` // of an order
}

// errDeleted is the reason for which an entry is no order or status any more.
var errDeleted = errors.New("deleted")

func (e *Edge) isOrder(key string) bool {
	return e.deliveries.on && strings.HasPrefix(key, e.ports.OrdersPrefix)
}

func (e *Edge) isStatus(key string) bool {
	return e.deliveries.on && strings.HasPrefix(key, e.ports.StatusesPrefix)
}

// applyDelivery applies the entry of an order or of a status unless a later one of its key is known. age is the time
// since an order was given, as far as it is known; source says by what the entry became known.
func (e *Edge) applyDelivery(entry store.Entry, age time.Duration, source string, now time.Time) {
	d := e.deliveries
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.known[entry.Key]
	if before.Version >= entry.Version {
		return
	}
	known := deliveryEntry{Entry: entry, given: now.Add(-age)}
	if before.Version.Era() < entry.Version.Era() && string(before.Value) == string(entry.Value) && !before.Deleted && before.Key != "" {
		known.given = before.given // the store was restored from a copy that has the same entry
	}
	if e.isOrder(entry.Key) {
		known.order = e.applyOrder(entry, known.given, source, now)
	} else {
		e.applyStatus(entry, source, now)
	}
	d.known[entry.Key] = known
}

// applyOrder tells the tracker an order, or that there is none, and returns it. The caller holds the lock of the
// deliveries.
func (e *Edge) applyOrder(entry store.Entry, given time.Time, source string, now time.Time) canary.Order {
	service := ident.Service(strings.TrimPrefix(entry.Key, e.ports.OrdersPrefix))
	order, err := canary.Order{}, errDeleted
	if !entry.Deleted {
		order, err = e.ports.DecodeOrder(entry)
	}
	if err != nil {
		if !entry.Deleted {
			e.logOddEntry(entry.Key, entry.Version, err, "entry names no order of a delivery; ignoring it")
		}
		if e.deliveries.known[entry.Key].order.To != "" {
			e.log.Info().Str("Service", string(service)).Uint64("Revision", entry.Version.Revision()).Str("Source", source).Msg("delivery withdrawn")
			e.deliveries.removeOrder(service, now)
		}
		return canary.Order{}
	}
	order.Age = now.Sub(given)
	e.log.Info().Str("Service", string(service)).Str("Build", string(order.To)).Dur("FinishByMs", order.FinishBy).Dur("AgeMs", order.Age).
		Uint64("Revision", entry.Version.Revision()).Str("Source", source).Msg("delivery ordered")
	e.deliveries.setOrder(order, now)
	return order
}

// applyStatus tells the tracker a status, or that there is none. The caller holds the lock of the deliveries.
func (e *Edge) applyStatus(entry store.Entry, source string, now time.Time) {
	d := e.deliveries
	service := ident.Service(strings.TrimPrefix(entry.Key, e.ports.StatusesPrefix))
	none := canary.Status{Service: service}
	status, err := none, errDeleted
	if !entry.Deleted {
		none.Version = entry.Version // which a write must name
		status, err = e.ports.DecodeStatus(entry)
	}
	if err != nil {
		if !entry.Deleted {
			e.logOddEntry(entry.Key, entry.Version, err, "entry names no status of a delivery; ignoring it")
		}
		status = none
	}
	delete(d.ended, service)
	if status.State == canary.Done {
		former := e.registeredBuilds(service)
		delete(former, status.To)
		d.ended[service] = endedDelivery{status.To, former}
	}
	e.log.Info().Str("Service", string(service)).Str("Build", string(status.To)).Str("State", string(status.State)).
		Uint64("Revision", entry.Version.Revision()).Str("Source", source).Msg("status of delivery known")
	d.setStatus(status, now)
}

// applyDeliveries applies the entries for which wanted is true out of all entries as of a version, and the removal of
// the others that are known.
func (e *Edge) applyDeliveries(list []toldDelivery, wanted func(key string) bool, at store.Version, source string, now time.Time) {
	listed := make(map[string]bool)
	for _, t := range list {
		listed[t.Key] = true
		if wanted(t.Key) {
			e.applyDelivery(store.Entry{Key: t.Key, Value: t.Value, Version: t.Version}, t.Age.Std(), source, now)
		}
	}
	var removed []string
	e.deliveries.mu.Lock()
	for key, known := range e.deliveries.known {
		if wanted(key) && !known.Deleted && !listed[key] && known.Version < at {
			removed = append(removed, key)
		}
	}
	e.deliveries.mu.Unlock()
	for _, key := range removed {
		e.applyDelivery(store.Entry{Key: key, Version: at, Deleted: true}, 0, source, now)
	}
}

// deliveriesOf returns the orders and statuses that a peer has told, which took the given time. A peer of an earlier
// build knows none; what is known here stays then.
func (e *Edge) deliveriesOf(c changes, took time.Duration) []toldDelivery {
	if c.Deliveries == nil {
		if told := e.tellDeliveries(e.timer.Now()); told != nil {
			return *told
		}
		return nil
	}
	list := *c.Deliveries
	for i := range list {
		list[i].Age += unit.Duration(took)
	}
	return list
}

// tellDeliveries returns the known orders and statuses for an instance that is behind, nil if there are no deliveries.
func (e *Edge) tellDeliveries(now time.Time) *[]toldDelivery {
	d := e.deliveries
	if !d.on {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []toldDelivery{}
	for _, k := range d.known {
		if !k.Deleted {
			list = append(list, toldDelivery{k.Key, k.Value, k.Version, unit.Duration(now.Sub(k.given))})
		}
	}
	return &list
}

// statusTimeout is the time limit of a call that writes or reads a status.
const statusTimeout = time.Second

// startStatusWrite writes a status, unless one of its service is being written.
func (e *Edge) startStatusWrite(s canary.Status, now time.Time) {
	d := e.deliveries
	d.mu.Lock()
	busy := d.writing[s.Service]
	d.writing[s.Service] = true
	d.mu.Unlock()
	if busy {
		return
	}
	e.tasks.Go(func() {
		e.writeStatus(s, now)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.writing, s.Service)
	})
}

// writeStatus writes a status if its entry is as the tracker knows it, and reads the entry again otherwise. After
// another error it is tried again with the next tick.
func (e *Edge) writeStatus(s canary.Status, began time.Time) {
	value, err := e.ports.EncodeStatus(s)
	key := e.ports.StatusesPrefix + string(s.Service)
	ctx, cancel := context.WithTimeout(e.ctx, statusTimeout)
	defer cancel()
	var at store.Version
	if err == nil {
		at, err = e.store.Put(ctx, key, value, s.Version, 0)
	}
	now := e.timer.Now()
	if e.statusFails(s.Service, err != nil && !store.Conflict.Has(err)) {
		return // while the store is away, each tick tries again
	}
	e.log.Info().Str("Service", string(s.Service)).Str("Build", string(s.To)).Str("State", string(s.State)).Uint64("Expected", s.Version.Revision()).
		Uint64("Revision", at.Revision()).Int("FormerUnderWay", e.formerInProgress(s.Service, s.To)).Dur("OrderAgeMs", e.orderAge(s.Service, now)).
		Dur("TookMs", now.Sub(began)).Err(err).Msg("status of delivery written")
	switch {
	case err == nil:
		e.applyDelivery(store.Entry{Key: key, Value: value, Version: at}, 0, "own write", now)
	case store.Conflict.Has(err):
		e.readStatus(key)
	}
}

// statusFails records whether the write of a status failed, and reports whether the one before failed as well.
func (e *Edge) statusFails(s ident.Service, fails bool) bool {
	d := e.deliveries
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.failing[s]
	d.failing[s] = fails
	return before && fails
}

// orderAge returns the time since the order of a service was given, or 0 if there is none.
func (e *Edge) orderAge(s ident.Service, now time.Time) time.Duration {
	e.deliveries.mu.Lock()
	defer e.deliveries.mu.Unlock()
	known := e.deliveries.known[e.ports.OrdersPrefix+string(s)]
	if known.order.To == "" {
		return 0
	}
	return now.Sub(known.given)
}

// readStatus reads the entry of a status again.
func (e *Edge) readStatus(key string) {
	ctx, cancel := context.WithTimeout(e.ctx, statusTimeout)
	defer cancel()
	e.deliveries.mu.Lock()
	before := e.deliveries.known[key]
	e.deliveries.mu.Unlock()
	entry, err := e.store.Get(ctx, key)
	switch {
	case err == nil:
		e.applyDelivery(entry, 0, "store", e.timer.Now())
	case store.Absent.Has(err) && before.Version > 0 && !before.Deleted:
		e.applyDelivery(store.Entry{Key: key, Version: before.Version + 1, Deleted: true}, 0, "store", e.timer.Now())
	}
}
