package measureload

import (
	"context"
	"slices"
	"time"

	"crocuslug/configuration"
	"crocuslug/daemon"
	"crocuslug/ident"
	"crocuslug/measure"
	"crocuslug/result"
	"crocuslug/standinsite"
)

// quotaFigures are the figures of quota.
type quotaFigures struct {
	LimitTokensPerSec float64
	UsedAtFirst       float64 // used share of the limit while the demand is at the first instance
	UsedWhenMoved     float64 // used share after the demand moved to the second instance
	UsedWhenCutOff    float64 // used share while the second instance is isolated
	Overshoot         float64 // highest cost admitted in a sliding window, relative to limit times window
	RefusedAtOnceMs   *float64
	Refused           map[string]int
}

var quotaDeployment = deployment{
	domains:       []ident.Domain{"d1"},
	instances:     4,
	engines:       4,
	slots:         16,
	tokenInterval: 20 * time.Millisecond,
	requestKinds: []requestKind{
		{workspace: "case", priority: configuration.Normal, weight: 1, loadShare: 1, meanTokens: 20, promptBytes: 400, deadline: 4 * time.Second},
	},
}

// Limit, load and timing of quota.
const (
	quotaLimit       = 400.0 // cost in tokens per second
	quotaLoad        = 0.4   // share of capacity; about three times the limit
	quotaStageLength = 10 * time.Second
	quotaSettleTime  = 4 * time.Second // start of a stage that is not counted
	overshootWindow  = 4 * time.Second
)

// runQuota sends a load far above a workspace's limit in three stages: to one instance,
// to another, and to that other while it is isolated from its peers.
func runQuota(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var r measure.Report
	c := isolation{}
	d := quotaDeployment
	settings := d.siteSettings(cfg.Seed)
	settings.Document.Workspaces[0].TokensPerSecond = quotaLimit
	settings.Options = daemon.Options{FixedShares: cfg.Baseline, DropTo: c.isolates, DropFrom: c.isolates}
	site := standinsite.New(settings)
	defer site.Stop()
	if err := site.Start(); err != nil {
		return r, err
	}
	list := plan(d, []phase{{3 * quotaStageLength, quotaLoad}}, cfg.Seed)
	for i := range list {
		list[i].firstInstance = min(int(list[i].at/quotaStageLength), 1)
	}
	second := site.Instances[1].ID()
	timer := time.AfterFunc(2*quotaStageLength, func() { c.instance.Store(&second) })
	defer timer.Stop()
	got := sendArrivals(ctx, site, d, list)
	t := newTally(d, &r)
	for _, a := range got {
		t.record(a)
	}
	t.checkIdle(site)
	f := quotaFigures{LimitTokensPerSec: quotaLimit, Refused: t.figures.Refused, RefusedAtOnceMs: measure.Percentile(t.refusalTimes, 95)}
	f.UsedAtFirst = shareOfLimit(got, quotaSettleTime, quotaStageLength)
	f.UsedWhenMoved = shareOfLimit(got, quotaStageLength+quotaSettleTime, 2*quotaStageLength)
	f.UsedWhenCutOff = shareOfLimit(got, 2*quotaStageLength, 3*quotaStageLength)
	for _, a := range got {
		f.Overshoot = max(f.Overshoot, shareOfLimit(got, a.at, a.at+overshootWindow))
	}
	// The token bucket accumulates up to two seconds of the limit, and the last request may exceed it.
	const burst = 2 * time.Second
	if most := 1 + (burst.Seconds()+0.5)/overshootWindow.Seconds(); f.Overshoot > most {
		r.AddViolation("admitted cost exceeds the limit of the workspace")
	}
	if slices.ContainsFunc(got, func(a outcome) bool { return a.Err != nil && a.Err.Code != result.WorkspaceLimit }) {
		r.AddViolation("a request was refused for a reason other than the limit of the workspace")
	}
	r.Figures = f
	return r, nil
}

// shareOfLimit returns the cost of the completed requests that arrived in [from, to), relative to the
// limit in that span.
func shareOfLimit(got []outcome, from, to time.Duration) float64 {
	const bytesPerToken, promptWeight = 4, 0.1
	cost := 0.0
	for _, a := range got {
		if a.Whole && a.at >= from && a.at < to {
			cost += float64(len(a.Tokens)) + promptWeight*float64(len(a.prompt)/bytesPerToken)
		}
	}
	return cost / (quotaLimit * (to - from).Seconds())
}
