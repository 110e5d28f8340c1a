package measureoperator

import (
	"context"
	"time"

	"crocuslug/measure"
)

// Shape of config-spread.
const (
	spreadChanges = 10
	naiveChanges  = 3                      // in the baseline, which is slow
	spreadPause   = 200 * time.Millisecond // between two changes, on average
	settleTime    = 1500 * time.Millisecond
	idleTime      = time.Second
)

// shapes are the fleets measured. The last has a document of the size to design
// for.
var shapes = []shape{{size: 3}, {size: 6}, {size: 12}, {size: 24}, {size: 12, workspaces: 5500, upstreams: 7100}}

// spreadFigures are the figures of config-spread.
type spreadFigures struct {
	Fleets []spreadRun
}

// spreadRun is a fleet of one size. Calls and bytes are those beyond an idle
// fleet's in the same time.
type spreadRun struct {
	Instances             int
	Workspaces            int // in the document, beside the site's own
	Upstreams             int
	Changes               int
	ConfirmP50Ms          *float64
	ConfirmP95Ms          *float64
	InForceP50Ms          *float64 // from acceptance to in force at all instances
	InForceP95Ms          *float64
	InForceMaxMs          float64
	StoreReadsPerChange   float64 // plan and confirmation included, watches too
	StoreWritesPerChange  float64
	PeerBytesPerChange    float64 // of notices and documents, at all instances together
	IdleStoreReadsPerSec  float64
	IdlePeerBytesPerSec   float64
	IdleWaitingWatches    int
	DocumentRevisionAtEnd uint64
}

// runSpread measures how fast accepted changes spread. In the baseline every
// instance polls the service each second.
func runSpread(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	var fig spreadFigures
	for _, h := range shapes {
		r, err := spreadOnce(ctx, cfg, h, &report)
		if err != nil {
			return report, err
		}
		fig.Fleets = append(fig.Fleets, r)
		cfg.Log.Info().Int("instances", h.size).Float64("p50 ms", *r.InForceP50Ms).Float64("p95 ms", *r.InForceP95Ms).Msg("fleet over")
	}
	report.Figures = fig
	return report, nil
}

func spreadOnce(ctx context.Context, cfg measure.Settings, h shape, report *measure.Report) (spreadRun, error) {
	run := spreadRun{Instances: h.size, Workspaces: h.workspaces, Upstreams: h.upstreams, Changes: spreadChanges}
	if cfg.Baseline {
		run.Changes = naiveChanges
	}
	f, err := newFleet(ctx, cfg, h, report)
	if err != nil {
		return run, err
	}
	defer f.stop()
	f.await(ctx, 1, nil)
	sleep(ctx, f.site.Timer(), settleTime) // until the instances have introduced each other
	confirm, inForce := measure.NewHistogram(), measure.NewHistogram()
	now := f.site.Timer().Now
	calls, bytes, began := f.site.Store.Calls(), f.peerBytes(), now()
	for i := range run.Changes {
		sleep(ctx, f.site.Timer(), spreadPause/2+time.Duration(f.rng.Int64N(int64(spreadPause))))
		addresses := f.site.Addresses()
		operator := f.site.Operator(addresses[f.rng.IntN(len(addresses))])
		p, err := operator.Plan(ctx, limitIntent(i))
		if err != nil {
			return run, err
		}
		asked := now()
		rec, err := operator.Confirm(ctx, p)
		if err != nil {
			return run, err
		}
		_ = confirm.RecordValue(now().Sub(asked).Microseconds())
		took := f.await(ctx, rec.Revision, nil)
		_ = inForce.RecordValue(max(1, took.Microseconds()))
		run.InForceMaxMs = max(run.InForceMaxMs, float64(took.Microseconds())/1000)
		run.DocumentRevisionAtEnd = uint64(rec.Revision)
	}
	after, sent, took := f.site.Store.Calls(), f.peerBytes()-bytes, now().Sub(began)
	f.idle(ctx, &run)
	f.fill(&run, after.Reads-calls.Reads, after.Writes-calls.Writes, sent, took)
	run.ConfirmP50Ms, run.ConfirmP95Ms = measure.Percentile(confirm, 50), measure.Percentile(confirm, 95)
	run.InForceP50Ms, run.InForceP95Ms = measure.Percentile(inForce, 50), measure.Percentile(inForce, 95)
	return run, nil
}

// idle measures the fleet while nothing changes.
func (f *fleet) idle(ctx context.Context, run *spreadRun) {
	calls, bytes := f.site.Store.Calls(), f.peerBytes()
	sleep(ctx, f.site.Timer(), idleTime)
	after := f.site.Store.Calls()
	run.IdleStoreReadsPerSec = float64(after.Reads-calls.Reads) / idleTime.Seconds()
	run.IdlePeerBytesPerSec = float64(f.peerBytes()-bytes) / idleTime.Seconds()
	run.IdleWaitingWatches = after.WaitingNow
}

func (f *fleet) fill(run *spreadRun, reads, writes int, bytes uint64, took time.Duration) {
	run.StoreReadsPerChange = (float64(reads) - run.IdleStoreReadsPerSec*took.Seconds()) / float64(run.Changes)
	run.StoreWritesPerChange = float64(writes) / float64(run.Changes)
	run.PeerBytesPerChange = (float64(bytes) - run.IdlePeerBytesPerSec*took.Seconds()) / float64(run.Changes)
}
