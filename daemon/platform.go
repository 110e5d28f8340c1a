package daemon

import (
	"time"

	"crocuslug/keyvalue"
	"crocuslug/store"
)

// buildPlatform wires the platform's key-value service.
func (d *Daemon) buildPlatform() {
	d.platformCalls = func() keyvalue.Calls { return keyvalue.Calls{} }
	if d.opt.Store.Get != nil {
		d.store = tracedStore(d.opt.Store, d.opt.Tracer)
		return
	}
	c := keyvalue.New(keyvalue.Settings{
		Address:         d.cfg.Platform.KeyValue,
		ReadsPerSecond:  float64(d.cfg.Platform.ReadsPerSec),
		WritesPerSecond: float64(d.cfg.Platform.WritesPerSec),
		Seed:            d.seed,
	}, d.opt.Timer)
	d.store = tracedStore(c.Store(), d.opt.Tracer)
	d.platformCalls = c.Calls
	d.closers = append(d.closers, c.Close)
}

// Limits of the calls to the platform's key-value service on behalf of operators.
const (
	operatorCallsPerSecond = 20                     // reads, and as many writes
	operatorMaxBackOff     = 500 * time.Millisecond // an operator waits for the outcome of each call
)

// operatorStore returns the store for the calls of operators. Its client has a back-off of its own, so
// that a plan is not refused after an outage because other calls wait for seconds before the next.
func (d *Daemon) operatorStore() store.Store {
	if d.opt.Store.Get != nil {
		return d.store
	}
	c := keyvalue.New(keyvalue.Settings{
		Address:         d.cfg.Platform.KeyValue,
		ReadsPerSecond:  operatorCallsPerSecond,
		WritesPerSecond: operatorCallsPerSecond,
		MaxBackOff:      operatorMaxBackOff,
		Seed:            d.seed + 2,
	}, d.opt.Timer)
	others := d.platformCalls
	d.platformCalls = func() keyvalue.Calls { return addCalls(others(), c.Calls()) }
	d.closers = append(d.closers, c.Close)
	return tracedStore(c.Store(), d.opt.Tracer)
}

// PlatformCalls returns the counts of this instance's calls to the platform's key-value
// service. They are zero if the store was given in the options.
func (d *Daemon) PlatformCalls() keyvalue.Calls {
	return d.platformCalls()
}
