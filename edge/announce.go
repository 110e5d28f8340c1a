package edge

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"crocuslug/store"
)

// instancesPrefix is the prefix of the store keys under which instances register. Only this
// project uses it.
const instancesPrefix = "crocuslug/instances/"

// Times for the store entry of this instance. Others learn from digests whether it lives, and from the
// entry only where it is, so the lease may be long.
const (
	leaseDuration = 2 * time.Minute
	renewInterval = 40 * time.Second // a third of the lease, so that one failed renewal does no harm
	retryInterval = time.Second
	// maxRestoreDelay is the longest time until the entry is checked after the store was restored from
	// an older copy, which may lack it. It is random, since all instances notice at the same time.
	maxRestoreDelay = 4 * time.Second
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
		e.waitForRestore(wait)
	}
}

// waitForRestore waits for d, or until shortly after the store was restored from an older copy.
func (e *Edge) waitForRestore(d time.Duration) {
	over := make(chan struct{})
	sub := e.timer.After(d, func(time.Time) { close(over) })
	defer sub.Stop()
	select {
	case <-over:
	case <-e.restored:
		e.sleep(rand.N(maxRestoreDelay))
	case <-e.ctx.Done():
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
