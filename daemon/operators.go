package daemon

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"crocuslug/ident"
	"crocuslug/membership"
	"crocuslug/operatorapi"
	"crocuslug/plan"
	"crocuslug/result"
	"crocuslug/revision"
	"crocuslug/rollout"
)

// operatorPath is where operators call.
const operatorPath = "/v1/operator/"

// operatorBodyBytes bounds what an operator sends. A plan of a whole document
// holds it three times.
const operatorBodyBytes = 64 << 20

// methodUsage asks an instance for its requests in progress by workspace.
const methodUsage = "Configuration.Usage"

// reclaimTimeout bounds the reclaiming after one change.
const reclaimTimeout = 30 * time.Second

// Bounds of asking for the present use.
const (
	usageTimeout = time.Second
	usageCalls   = 64 // calls at once
)

// buildOperators wires what operators call.
func (d *Daemon) buildOperators() {
	d.link.Handle(methodUsage, func(context.Context, ident.Instance, json.RawMessage) (any, error) {
		return d.owner.InProgress(), nil
	})
	d.operator = operatorapi.New(operatorapi.Ports{
		Current: d.rollout.Current,
		Newest:  d.ledger.NewestDocument,
		Confirm: d.confirm,
		At:      d.ledger.DocumentAt,
		History: d.ledger.List,
		Status:  d.status,
		Usage:   d.usage,
	}, operatorapi.Settings{BootstrapKeyHash: d.bootstrap, MaxBodyBytes: operatorBodyBytes, Log: d.log, Tracer: d.opt.Tracer})
}

// confirm makes a plan the next revision and begins to spread it.
func (d *Daemon) confirm(ctx context.Context, p plan.Plan, by string) (revision.Record, *result.Error) {
	rec, err := d.ledger.Confirm(ctx, p, by)
	if err == nil {
		d.rollout.HandleConfirmed(rec)
		go d.reclaim(rec)
	}
	return rec, err
}

// reclaim drops what the change made superfluous.
func (d *Daemon) reclaim(rec revision.Record) {
	ctx, cancel := context.WithTimeout(d.ctx, reclaimTimeout)
	defer cancel()
	if err := d.ledger.Reclaim(ctx, rec); err != nil {
		d.log.Info().Err(err).Uint64("Revision", uint64(rec.Revision)).Msg("old revisions not reclaimed; the next change tries again")
	}
}

// status asks the live instances what is in force there. The others that are
// known are listed as without an answer.
func (d *Daemon) status(ctx context.Context) []rollout.Report {
	reports := d.rollout.Status(ctx)
	for _, m := range d.members.View().Members {
		if m.State != membership.Live && m.Instance != d.id {
			reports = append(reports, rollout.Report{Instance: m.Instance, Domain: m.Domain})
		}
	}
	slices.SortStableFunc(reports, func(a, b rollout.Report) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Instance, b.Instance))
	})
	return slices.CompactFunc(reports, func(a, b rollout.Report) bool { return a.Instance == b.Instance })
}

// usage sums the requests in progress of all live instances that answer.
func (d *Daemon) usage() plan.Usage {
	ctx, cancel := context.WithTimeout(d.ctx, usageTimeout)
	defer cancel()
	total := maps.Clone(d.owner.InProgress())
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(usageCalls)
	for _, id := range d.everyone() {
		g.Go(func() error {
			var n map[ident.Workspace]int
			if err := d.link.Call(ctx, id, methodUsage, nil, &n); err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			for w, k := range n {
				total[w] += k
			}
			return nil
		})
	}
	_ = g.Wait()
	return plan.Usage{Concurrent: total}
}

// bounds lets an operator send larger bodies than callers. The key decides, so
// that nobody else makes an instance read them.
func (d *Daemon) bounds(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if !bytes.HasPrefix(h.RequestURI(), []byte(operatorPath)) {
		return fasthttp.RequestConfig{}
	}
	if _, ok := d.keys.Load().Operator(h.Peek(fasthttp.HeaderAuthorization)); !ok {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: operatorBodyBytes}
}
