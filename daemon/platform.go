package daemon

import (
	"github.com/rcrowley/go-metrics"

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
	d.store = tracedStore(c.Port(), d.opt.Tracer)
	d.calls = c.Calls
	d.closers = append(d.closers, c.Close)
}

// PlatformCalls returns what this instance has asked of the platform's service.
// It is empty if the store came with the options.
func (d *Daemon) PlatformCalls() keyvalue.Calls {
	return d.calls()
}

// meterControl shows the calls to the platform's service by kind, the bytes
// exchanged with other instances and the revision in force.
func (d *Daemon) meterControl() {
	for name, value := range map[string]func() uint64{
		"Platform.Reads":       func() uint64 { return d.calls().Reads },
		"Platform.Writes":      func() uint64 { return d.calls().Writes },
		"Platform.Watches":     func() uint64 { return d.calls().Watches },
		"Platform.Unavailable": func() uint64 { return d.calls().Unavailable },
		"Platform.Unknown":     func() uint64 { return d.calls().Unknown },
		"Platform.OverBudget":  func() uint64 { return d.calls().OverBudget },
		"Platform.BackedOff":   func() uint64 { return d.calls().BackedOff },
		"Peers.ControlSent":    func() uint64 { return d.link.Bytes().ControlSent },
		"Peers.ControlTaken":   func() uint64 { return d.link.Bytes().ControlReceived },
		"Peers.DataSent":       func() uint64 { return d.link.Bytes().DataSent },
		"Peers.DataTaken":      func() uint64 { return d.link.Bytes().DataReceived },
		"Revision":             func() uint64 { return uint64(d.Revision()) },
	} {
		_ = d.metrics.registry.Register(name, metrics.NewFunctionalGauge(func() int64 { return int64(value()) }))
	}
}
