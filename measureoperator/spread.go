package measureoperator

import (
	"context"
	"time"

	"crocuslug/measure"
)

// Load and timing of config-spread.
const (
	spreadChanges  = 10
	naiveChanges   = 3                      // fewer changes in the baseline, which is slow
	spreadPause    = 200 * time.Millisecond // mean pause between two changes
	membershipTime = 1500 * time.Millisecond
	idleTime       = time.Second
)

// fleetSizes are the measured fleets. The last one has a document of the size that the
// system is designed for.
var fleetSizes = []fleetSize{{instances: 3}, {instances: 6}, {instances: 12}, {instances: 24}, {instances: 12, workspaces: 5500, upstreams: 7100}}

// spreadFigures are the figures of config-spread.
type spreadFigures struct {
	Fleets []spreadRun
}

// spreadRun holds the figures of one fleet. Calls and bytes per change are those beyond
// the ones of an idle fleet in the same time.
type spreadRun struct {
	Instances             int
	Workspaces            int // added to the site's own document
	Upstreams             int
	Changes               int
	ConfirmP50Ms          *float64
	ConfirmP95Ms          *float64
	InForceP50Ms          *float64 // from acceptance until the change is in force at all instances
	InForceP95Ms          *float64
	InForceMaxMs          float64
	StoreReadsPerChange   float64 // including plan, confirmation and watches
	StoreWritesPerChange  float64
	PeerBytesPerChange    float64 // notices and documents, all instances together
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
	for _, size := range fleetSizes {
		r, err := measureFleet(ctx, cfg, size, &report)
		if err != nil {
			return report, err
		}
		fig.Fleets = append(fig.Fleets, r)
		cfg.Log.Info().Int("instances", size.instances).Float64("p50 ms", *r.InForceP50Ms).Float64("p95 ms", *r.InForceP95Ms).Msg("fleet measured")
	}
	report.Figures = fig
	return report, nil
}

func measureFleet(ctx context.Context, cfg measure.Settings, size fleetSize, report *measure.Report) (spreadRun, error) {
	run := spreadRun{Instances: size.instances, Workspaces: size.workspaces, Upstreams: size.upstreams, Changes: spreadChanges}
	if cfg.Baseline {
		run.Changes = naiveChanges
	}
	f, err := newFleet(ctx, cfg, size, report)
	if err != nil {
		return run, err
	}
	defer f.stop()
	f.awaitRevision(ctx, 1, nil)
	sleep(ctx, f.site.Timer(), membershipTime) // until the instances have learned of each other
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
		took := f.awaitRevision(ctx, rec.Revision, nil)
		_ = inForce.RecordValue(max(1, took.Microseconds()))
		run.InForceMaxMs = max(run.InForceMaxMs, float64(took.Microseconds())/1000)
		run.DocumentRevisionAtEnd = uint64(rec.Revision)
	}
	after, sent, took := f.site.Store.Calls(), f.peerBytes()-bytes, now().Sub(began)
	f.measureIdle(ctx, &run)
	f.setPerChange(&run, after.Reads-calls.Reads, after.Writes-calls.Writes, sent, took)
	run.ConfirmP50Ms, run.ConfirmP95Ms = measure.Percentile(confirm, 50), measure.Percentile(confirm, 95)
	run.InForceP50Ms, run.InForceP95Ms = measure.Percentile(inForce, 50), measure.Percentile(inForce, 95)
	return run, nil
}

// measureIdle measures calls and bytes of the fleet while the configuration does not change.
func (f *fleet) measureIdle(ctx context.Context, run *spreadRun) {
	calls, bytes := f.site.Store.Calls(), f.peerBytes()
	sleep(ctx, f.site.Timer(), idleTime)
	after := f.site.Store.Calls()
	run.IdleStoreReadsPerSec = float64(after.Reads-calls.Reads) / idleTime.Seconds()
	run.IdlePeerBytesPerSec = float64(f.peerBytes()-bytes) / idleTime.Seconds()
	run.IdleWaitingWatches = after.WaitingNow
}

func (f *fleet) setPerChange(run *spreadRun, reads, writes int, bytes uint64, took time.Duration) {
	run.StoreReadsPerChange = (float64(reads) - run.IdleStoreReadsPerSec*took.Seconds()) / float64(run.Changes)
	run.StoreWritesPerChange = float64(writes) / float64(run.Changes)
	run.PeerBytesPerChange = (float64(bytes) - run.IdlePeerBytesPerSec*took.Seconds()) / float64(run.Changes)
}
