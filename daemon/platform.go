package daemon

import (
	"crocuslug/keyvalue"
)

// buildPlatform wires the platform's key-value service.
func (d *Daemon) buildPlatform() {
	d.calls = func() keyvalue.Calls { return keyvalue.Calls{} }
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
	d.calls = c.Calls
	d.closers = append(d.closers, c.Close)
}

// PlatformCalls returns what this instance has asked of the platform's service.
// It is empty if the store came with the options.
func (d *Daemon) PlatformCalls() keyvalue.Calls {
	return d.calls()
}
