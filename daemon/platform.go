package daemon

import (
	"crocuslug/keyvalue"
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

// PlatformCalls returns the counts of this instance's calls to the platform's key-value
// service. They are zero if the store was given in the options.
func (d *Daemon) PlatformCalls() keyvalue.Calls {
	return d.platformCalls()
}
