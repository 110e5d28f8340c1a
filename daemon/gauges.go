package daemon

import (
	"bytes"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"crocuslug/keyvalue"
	"crocuslug/membership"
	"crocuslug/peerlink"
	"crocuslug/problem"
	"crocuslug/result"
)

// buildGauges registers what is read when somebody asks for the metrics.
func (d *Daemon) buildGauges() {
	d.gauge("QueueLength", func() int { n, _ := d.line.Admission.Len(); return n })
	d.gauge("QueueRunning", func() int { _, n := d.line.Admission.Len(); return n })
	d.gauge("ServiceQueueLength", func() int { n, _ := d.services.Admission.Len(); return n })
	d.gauge("ServiceQueueRunning", func() int { _, n := d.services.Admission.Len(); return n })
	d.gauge("GenerationsActive", func() int { n, _, _ := d.owner.Usage(); return n })
	d.gauge("GenerationsHeld", func() int { _, n, _ := d.owner.Usage(); return n })
	d.gauge("GenerationsBytes", func() int { _, _, n := d.owner.Usage(); return n })
	d.gauge("CopiesHeld", func() int { n, _ := d.replicas.Usage(); return n })
	d.gauge("CopiesBytes", func() int { _, n := d.replicas.Usage(); return n })
	d.gauge("MembersKnown", func() int { return len(d.members.View().Members) })
	d.gauge("MembersLive", d.membersLive)
	d.gauge("Revision", func() int { return int(d.doc.Load().Revision) })
	d.gauge("ConfigurationBytesTaken", func() int { return int(d.ConfigurationBytes()) })
	d.gauge("CutOff", func() int { return truth(d.rollout.Report().CutOff) })
	d.gauge("Leaving", func() int { return truth(d.leaving.Load()) })
	d.gauge("Connections", d.conns.count)
	d.gauge("ProcessorMs", func() int { return int(processor().Milliseconds()) })
	d.gauge("ControlUs", func() int { return int((d.loop.Busy() + d.members.BusyTime()).Microseconds()) })
	d.peerGauges()
	d.platformGauges()
}

func (d *Daemon) gauge(name string, f func() int) {
	// Names are unique, so that registering cannot fail.
	_ = d.metrics.registry.Register(name, metrics.NewFunctionalGauge(func() int64 { return int64(f()) }))
}

func (d *Daemon) peerGauges() {
	for name, f := range map[string]func(peerlink.Counts) uint64{
		"ControlBytesSent":     func(c peerlink.Counts) uint64 { return c.ControlSent },
		"ControlBytesReceived": func(c peerlink.Counts) uint64 { return c.ControlReceived },
		"DataBytesSent":        func(c peerlink.Counts) uint64 { return c.DataSent },
		"DataBytesReceived":    func(c peerlink.Counts) uint64 { return c.DataReceived },
	} {
		d.gauge(name, func() int { return int(f(d.link.ByteCounts())) })
	}
}

func (d *Daemon) platformGauges() {
	for name, f := range map[string]func(keyvalue.Calls) uint64{
		"PlatformReads":         func(c keyvalue.Calls) uint64 { return c.Reads },
		"PlatformWrites":        func(c keyvalue.Calls) uint64 { return c.Writes },
		"PlatformWatches":       func(c keyvalue.Calls) uint64 { return c.Watches },
		"PlatformJoined":        func(c keyvalue.Calls) uint64 { return c.Joined },
		"PlatformOverBudget":    func(c keyvalue.Calls) uint64 { return c.OverBudget },
		"PlatformBackedOff":     func(c keyvalue.Calls) uint64 { return c.BackedOff },
		"PlatformUnavailable":   func(c keyvalue.Calls) uint64 { return c.Unavailable },
		"PlatformUnknown":       func(c keyvalue.Calls) uint64 { return c.Unknown },
		"PlatformSilentWatches": func(c keyvalue.Calls) uint64 { return c.SilentWatches },
	} {
		d.gauge(name, func() int { return int(f(d.calls())) })
	}
}

// membersLive counts the live members of all failure domains.
func (d *Daemon) membersLive() int {
	n := 0
	for _, m := range d.members.View().Members {
		n += truth(m.State == membership.Live)
	}
	return n
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}

// processor returns the processor time that the process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// protocolPath begins the paths whose answers are counted.
const protocolPath = "/v1/"

// countAnswers counts the answers of h by result. A stream counts when it
// begins; how it ended is counted with its generation.
func (d *Daemon) countAnswers(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h(ctx)
		if !bytes.HasPrefix(ctx.Path(), []byte(protocolPath)) {
			return
		}
		code := result.OK
		if string(ctx.Response.Header.ContentType()) == problem.ContentType {
			if e, ok := problem.Read(ctx.Response.Body()); ok {
				code = e.Code
			}
		}
		d.metrics.count("Answers."+code.String(), 1)
	}
}
