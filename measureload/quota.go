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

// quotaFigures are the figures of a workspace's limit.
type quotaFigures struct {
	LimitTokensPerSec float64
	UsedAtFirst       float64 // share of the limit while the demand is at the first instance
	UsedWhenMoved     float64 // share after it moved to the second one
	UsedWhenCutOff    float64 // share while the second one is cut off
	Overshoot         float64 // greatest cost let through in a window over limit times window
	RefusedAtOnceMs   *float64
	Refused           map[string]int
}

var quotaShape = shape{
	domains:   []ident.Domain{"d1"},
	instances: 4,
	engines:   4,
	slots:     16,
	interval:  20 * time.Millisecond,
	kinds: []kind{
		{workspace: "case", priority: configuration.Normal, share: 1, part: 1, tokens: 20, prompt: 400, deadline: 4 * time.Second},
	},
}

// Shape of the moving demand.
const (
	quotaLimit  = 400.0 // tokens of cost in a second
	quotaLoad   = 0.4   // some three times the limit
	quotaStage  = 10 * time.Second
	quotaSettle = 4 * time.Second // of each stage that is not counted
	quotaWindow = 4 * time.Second
)

// runQuota sends far more than a workspace's limit to one instance, then to
// another, which is then cut off.
func runQuota(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var r measure.Report
	c := cut{}
	s := quotaShape
	settings := s.site(cfg.Seed)
	settings.Document.Workspaces[0].TokensPerSecond = quotaLimit
	settings.Options = daemon.Options{FixedShares: cfg.Baseline, DropTo: c.to, DropFrom: c.to}
	site := standinsite.New(settings)
	defer site.Stop()
	if err := site.Start(); err != nil {
		return r, err
	}
	list := plan(s, []phase{{3 * quotaStage, quotaLoad}}, cfg.Seed)
	for i := range list {
		list[i].first = min(int(list[i].at/quotaStage), 1)
	}
	second := site.Instances[1].ID()
	timer := time.AfterFunc(2*quotaStage, func() { c.instance.Store(&second) })
	defer timer.Stop()
	got := send(ctx, site, s, list)
	t := newTally(s, &r)
	for _, a := range got {
		t.take(a)
	}
	t.held(site)
	f := quotaFigures{LimitTokensPerSec: quotaLimit, Refused: t.f.Refused, RefusedAtOnceMs: measure.Quantile(t.refusal, 95)}
	f.UsedAtFirst = used(got, quotaSettle, quotaStage)
	f.UsedWhenMoved = used(got, quotaStage+quotaSettle, 2*quotaStage)
	f.UsedWhenCutOff = used(got, 2*quotaStage, 3*quotaStage)
	for _, a := range got {
		f.Overshoot = max(f.Overshoot, used(got, a.at, a.at+quotaWindow))
	}
	// The bucket saves up two seconds, and the last request may go beyond it.
	const burst = 2 * time.Second
	if most := 1 + (burst.Seconds()+0.5)/quotaWindow.Seconds(); f.Overshoot > most {
		r.Violate("the limit was exceeded")
	}
	if slices.ContainsFunc(got, func(a answered) bool { return a.Err != nil && a.Err.Code != result.WorkspaceLimit }) {
		r.Violate("a request was refused for another reason than the limit")
	}
	r.Figures = f
	return r, nil
}

// used returns the cost that began in a span over the limit.
func used(got []answered, from, to time.Duration) float64 {
	const bytesPerToken, promptWeight = 4, 0.1
	cost := 0.0
	for _, a := range got {
		if a.Whole && a.at >= from && a.at < to {
			cost += float64(len(a.Tokens)) + promptWeight*float64(len(a.prompt)/bytesPerToken)
		}
	}
	return cost / (quotaLimit * (to - from).Seconds())
}
