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

// buildGauges registers the gauges, which are evaluated when the metrics are read.
func (d *Daemon) buildGauges() {
	d.gauge("QueueLength", func() int { n, _ := d.generationQueue.Admission.Len(); return n })
	d.gauge("QueueRunning", func() int { _, n := d.generationQueue.Admission.Len(); return n })
	d.gauge("ServiceQueueLength", func() int { n, _ := d.serviceQueue.Admission.Len(); return n })
	d.gauge("ServiceQueueRunning", func() int { _, n := d.serviceQueue.Admission.Len(); return n })
	d.gauge("GenerationsActive", func() int { n, _, _ := d.owner.Usage(); return n })
	d.gauge("GenerationsHeld", func() int { _, n, _ := d.owner.Usage(); return n })
	d.gauge("GenerationsBytes", func() int { _, _, n := d.owner.Usage(); return n })
	d.gauge("CopiesHeld", func() int { n, _ := d.replicas.Usage(); return n })
	d.gauge("CopiesBytes", func() int { _, n := d.replicas.Usage(); return n })
	d.gauge("MembersKnown", func() int { return len(d.members.View().Members) })
	d.gauge("MembersLive", d.membersLive)
	d.gauge("Revision", func() int { return int(d.doc.Load().Revision) })
	d.gauge("ConfigurationBytesTaken", func() int { return int(d.ConfigurationBytesReceived()) })
	d.gauge("CutOff", func() int { return boolToInt(d.rollout.Report().CutOff) })
	d.gauge("Leaving", func() int { return boolToInt(d.leaving.Load()) })
	d.gauge("Connections", d.conns.count)
	d.gauge("BodyMemoryUsed", func() int { return int(d.conns.bodies.Counts().Bytes) })
	d.gauge("BodiesGaveWay", func() int { n := d.conns.bodies.Counts(); return int(n.GaveWay + n.Refused) })
	d.gauge("ProcessorMs", func() int { return int(processorTime().Milliseconds()) })
	d.gauge("ControlUs", func() int { return int((d.loop.Busy() + d.members.BusyTime()).Microseconds()) })
	d.peerGauges()
	d.platformGauges()
}

func (d *Daemon) gauge(name string, f func() int) {
	// Register fails only for a duplicate name, and the names are unique.
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
		d.gauge(name, func() int { return int(f(d.platformCalls())) })
	}
}

// membersLive returns the number of live members in all failure domains.
func (d *Daemon) membersLive() int {
	n := 0
	for _, m := range d.members.View().Members {
		n += boolToInt(m.State == membership.Live)
	}
	return n
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// processorTime returns the processor time that the process has used, or 0 if it is unknown.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// protocolPath is the prefix of the paths whose answers are counted.
const protocolPath = "/v1/"

// countAnswers wraps h to count its answers by result code. A stream is counted when it begins;
// its end is counted with its generation.
func (d *Daemon) countAnswers(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if c, ok := ctx.Conn().(*conn); ok && !c.memory.hold() {
			ctx.SetConnectionClose()
			problem.Write(ctx, result.New(result.Overloaded, errGaveWay.Error()).After(busyRetry), "")
			return
		}
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
