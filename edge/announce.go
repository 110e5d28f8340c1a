package edge

import (
	"encoding/json"
	"time"

	"crocuslug/store"
)

// instancesPrefix is the prefix of the store keys under which instances register. Only this
// project uses it.
const instancesPrefix = "crocuslug/instances/"

// Times for the store entry of this instance.
const (
	leaseDuration = 12 * time.Second
	renewInterval = 4 * time.Second // a third of the lease, so that one failed renewal does no harm
	retryInterval = time.Second
)

// announce keeps the entry of this instance in the store, through which other instances find it.
func (e *Edge) announce() {
	var lease store.Lease
	for e.ctx.Err() == nil && !e.leaving.Load() {
		err := e.register(&lease)
		wait := renewInterval
		if err != nil {
			e.log.Info().Err(err).Msg("could not register this instance in the store; trying again")
			wait = retryInterval
		}
		e.sleep(wait)
	}
}

// register creates the entry of this instance or renews its lease. A lease of 0 means that there
// is none yet.
func (e *Edge) register(lease *store.Lease) error {
	if *lease != 0 {
		err := e.store.Renew(e.ctx, *lease)
		if err == nil || !store.Absent.Has(err) {
			return err
		}
		*lease = 0 // the lease has expired, and its entry was removed with it
	}
	l, err := e.store.Grant(e.ctx, max(leaseDuration, e.cfg.MinLease.Std()))
	if err != nil {
		return err
	}
	key := instancesPrefix + e.cfg.Name
	var expect store.Version
	old, err := e.store.Get(e.ctx, key)
	if err == nil {
		expect = old.Version // an earlier run of this instance wrote the entry
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
