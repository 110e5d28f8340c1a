package edge

import (
	"encoding/json"
	"time"

	"crocuslug/store"
)

// instancesPrefix is the prefix of the store's keys under which instances
// register. It is the project's own.
const instancesPrefix = "crocuslug/instances/"

// Times of an instance's own entry.
const (
	leaseTime  = 12 * time.Second
	renewEvery = 4 * time.Second // a third of the lease, so that one lost renewal does no harm
	retryEvery = time.Second
)

// announce keeps this instance's entry in the store, by which the others find it.
func (e *Edge) announce() {
	var lease store.Lease
	for e.ctx.Err() == nil && !e.leaving.Load() {
		err := e.register(&lease)
		wait := renewEvery
		if err != nil {
			e.log.Info().Err(err).Msg("own entry is not up to date")
			wait = retryEvery
		}
		e.sleep(wait)
	}
}

// register makes or renews the entry.
func (e *Edge) register(lease *store.Lease) error {
	if *lease != 0 {
		err := e.store.Renew(e.ctx, *lease)
		if err == nil || !store.Absent.Has(err) {
			return err
		}
		*lease = 0 // it has lapsed, and the entry with it
	}
	l, err := e.store.Grant(e.ctx, max(leaseTime, e.cfg.MinLease.Std()))
	if err != nil {
		return err
	}
	key := instancesPrefix + e.cfg.Name
	var expect store.Version
	old, err := e.store.Get(e.ctx, key)
	if err == nil {
		expect = old.Version // of an earlier run
	} else if !store.Absent.Has(err) {
		return err
	}
	value, err := json.Marshal(presence{e.self, e.cfg.Domain})
	if err != nil {
		return err
	}
	if _, err := e.store.Put(e.ctx, key, value, expect, l); err != nil {
		return err
	}
	*lease = l
	return nil
}
