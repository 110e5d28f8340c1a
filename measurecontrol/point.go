package measurecontrol

import (
	"cmp"
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"crocuslug/caller"
	"crocuslug/daemon"
	"crocuslug/ident"
	"crocuslug/measure"
	"crocuslug/membership"
	"crocuslug/standinsite"
)

// runSize is the size of the deployment in one run.
type runSize struct {
	domains    int
	instances  int // in each failure domain
	upstreams  int // in each failure domain
	workspaces int
	changes    int // confirmed configuration changes; 0 means none are measured
}

// point is the use of resources by one instance in one run.
type point struct {
	X                   float64
	Instances           int
	CPUPercent          float64 // of one core
	CPUSpreadPercent    float64 // difference between the highest and the lowest window
	LinkSentBytesPerSec float64 // frames, without TCP and IP headers
	LinkBothBytesPerSec float64 // sent and received
	PollBytesPerSec     float64 // both directions, with HTTP headers; over all windows, since polls come in bursts
	HeapMB              float64 // live after a collection, stand-ins included
	Goroutines          float64
	ReadsPerSec         float64 // from the platform's key-value service
	WritesPerSec        float64
	WatchesPerSec       float64
	RequestBytes        float64 `json:",omitempty"` // control traffic of all instances per request, sent and received
	ChangeMs            float64 `json:",omitempty"` // processor time for a configuration change
	InForceMs           float64 `json:",omitempty"` // mean time from the plan of a change until it is in force at the last instance
}

// sample is a reading of the usage counters, summed over all instances.
type sample struct {
	cpu   time.Duration
	at    time.Time
	usage daemon.Usage
}

// runPoint measures sweep sw at size x.
func runPoint(ctx context.Context, cfg measure.Settings, sw sweep, x float64, report *measure.Report) (point, error) {
	size := sw.runSize(x)
	heap, routines := liveHeap()
	var r responder
	defer r.stop()
	if err := r.start(size.upstreams); err != nil {
		return point{}, err
	}
	site := standinsite.New(siteSettings(cfg, size, &r))
	if err := site.Start(); err != nil {
		return point{}, err
	}
	defer site.Stop()
	ch := newChanger(site)
	if err := ch.confirm(ctx, workspaces(size.workspaces)); err != nil {
		return point{}, err
	}
	wait(ctx, settleTime)
	p := measureIdle(ctx, site)
	n := len(site.Instances)
	after, more := liveHeap()
	p.X, p.Instances = x, n
	const bytesPerMB = 1 << 20
	p.HeapMB = (after - heap) / bytesPerMB / float64(n)
	p.Goroutines = float64(more-routines) / float64(n)
	if sw.callers > 0 {
		p.RequestBytes = measureRequests(ctx, site, sw.callers, p, report)
	}
	if size.changes > 0 {
		if err := measureChanges(ctx, site, ch, size.changes, &p); err != nil {
			return point{}, err
		}
	}
	checkMembers(site, size, report)
	return p, ctx.Err()
}

// briefDissemination makes membership finish its initial dissemination in a few messages, since
// that traffic is not part of the steady cost.
var briefDissemination = membership.Settings{RumorSends: 8, PiggybackBytes: 1 << 14}

func siteSettings(cfg measure.Settings, size runSize, r *responder) standinsite.Settings {
	s := standinsite.Settings{Instances: size.instances, Engines: 1, Seed: cfg.Seed}
	s.Options.Membership = briefDissemination
	for i := range size.domains {
		s.Domains = append(s.Domains, ident.Domain(numbered("domain", i)))
	}
	for _, d := range s.Domains {
		for _, u := range r.upstreams(d) {
			u.Name += ident.Upstream("-" + string(d))
			s.Document.Upstreams = append(s.Document.Upstreams, u)
		}
	}
	if cfg.Baseline {
		const all = 1 << 20
		s.Daemon.Load.SubsetSize, s.Daemon.Load.PollBytesPerSecond = all, all
	}
	return s
}

// checkMembers adds a violation for each instance that does not see all others of its domain as live.
func checkMembers(site *standinsite.Site, size runSize, report *measure.Report) {
	for _, d := range site.Instances {
		if got := len(d.LiveInstances()); got != size.instances {
			report.AddViolation(fmt.Sprintf("instance %s: got %d live instances in its failure domain, want %d", d.ID(), got, size.instances))
		}
	}
}

// measureIdle returns the median window, by processor time, without requests and configuration changes.
func measureIdle(ctx context.Context, site *standinsite.Site) point {
	var parts []point
	n, first := float64(len(site.Instances)), readSample(site)
	for range windowCount {
		before := readSample(site)
		wait(ctx, windowTime)
		parts = append(parts, usageBetween(before, readSample(site), n))
	}
	polls := usageBetween(first, readSample(site), n).PollBytesPerSec
	slices.SortFunc(parts, func(a, b point) int { return cmp.Compare(a.CPUPercent, b.CPUPercent) })
	p := parts[len(parts)/2]
	p.PollBytesPerSec = polls
	p.CPUSpreadPercent = parts[len(parts)-1].CPUPercent - parts[0].CPUPercent
	return p
}

// measureRequests returns the control traffic of all instances together per request, in bytes,
// beyond that of the idle point p.
func measureRequests(ctx context.Context, site *standinsite.Site, callers int, p point, report *measure.Report) float64 {
	before := readSample(site)
	var wg sync.WaitGroup
	var requests atomic.Int64
	for i := range callers {
		wg.Go(func() {
			c := site.Caller(caller.Settings{})
			for n := 0; time.Since(before.at) < windowTime && ctx.Err() == nil; n++ {
				a := c.Do(ctx, caller.Request{
					ID:    ident.Request(fmt.Sprintf("busy-%d-%d", i, n)),
					Model: standinsite.Model, Prompt: "status", MaxTokens: tokensPerAnswer, First: i + n,
				})
				if a.Err == nil && len(a.Tokens) != tokensPerAnswer {
					report.AddViolation(fmt.Sprintf("request %d of caller %d: wrong number of tokens: %d", n, i, len(a.Tokens)))
				}
				requests.Add(1)
			}
		})
	}
	wg.Wait()
	after, n := readSample(site), float64(len(site.Instances))
	more := usageBetween(before, after, n).LinkBothBytesPerSec - p.LinkBothBytesPerSec
	return more * n * after.at.Sub(before.at).Seconds() / float64(requests.Load())
}

// tokensPerAnswer is the number of tokens that callers request per answer.
const tokensPerAnswer = 20

// measureChanges measures n configuration changes and stores the results in p. It subtracts
// the processor time of planning and confirming, measured without waiting for instances,
// and the idle cost.
func measureChanges(ctx context.Context, site *standinsite.Site, ch *changer, n int, p *point) error {
	began, cpu := time.Now(), processorTime()
	if err := ch.repeat(ctx, n); err != nil {
		return err
	}
	took, used := time.Since(began), processorTime()-cpu
	alone := *ch
	alone.instances = nil
	cpu = processorTime()
	if err := alone.repeat(ctx, n); err != nil {
		return err
	}
	planning := processorTime() - cpu
	resting := time.Duration(p.CPUPercent / 100 * float64(p.Instances) * float64(took))
	p.ChangeMs = millis(used-planning-resting) / float64(n*p.Instances)
	p.InForceMs = millis(took) / float64(n)
	return nil
}

func millis(d time.Duration) float64 {
	return d.Seconds() * 1000
}

func readSample(site *standinsite.Site) sample {
	s := sample{cpu: processorTime(), at: time.Now()}
	for _, d := range site.Instances {
		u := d.Usage()
		s.usage.Link.ControlSent += u.Link.ControlSent
		s.usage.Link.ControlReceived += u.Link.ControlReceived
		s.usage.PollBytes += u.PollBytes
		s.usage.Platform.Reads += u.Platform.Reads
		s.usage.Platform.Writes += u.Platform.Writes
		s.usage.Platform.Watches += u.Platform.Watches
	}
	return s
}

// usageBetween returns the mean use of each of n instances between samples a and b.
func usageBetween(a, b sample, n float64) point {
	n *= b.at.Sub(a.at).Seconds()
	rate := func(from, to uint64) float64 { return float64(to-from) / n }
	p := point{
		CPUPercent:          (b.cpu - a.cpu).Seconds() / n * 100,
		LinkSentBytesPerSec: rate(a.usage.Link.ControlSent, b.usage.Link.ControlSent),
		PollBytesPerSec:     rate(uint64(a.usage.PollBytes), uint64(b.usage.PollBytes)),
		ReadsPerSec:         rate(a.usage.Platform.Reads, b.usage.Platform.Reads),
		WritesPerSec:        rate(a.usage.Platform.Writes, b.usage.Platform.Writes),
		WatchesPerSec:       rate(a.usage.Platform.Watches, b.usage.Platform.Watches),
	}
	p.LinkBothBytesPerSec = p.LinkSentBytesPerSec + rate(a.usage.Link.ControlReceived, b.usage.Link.ControlReceived)
	return p
}

// liveHeap returns the live heap in bytes and the number of goroutines.
func liveHeap() (heap float64, routines int) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), runtime.NumGoroutine()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func numbered(name string, i int) string {
	return fmt.Sprintf("%s-%d", name, i)
}
