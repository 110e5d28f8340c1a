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

// operatorPath is the path prefix of the operator API.
const operatorPath = "/v1/operator/"

// operatorBodyBytes limits the body of an operator's request. A plan for a whole document
// contains the document three times.
const operatorBodyBytes = 64 << 20

// methodUsage asks an instance for its requests in progress by workspace.
const methodUsage = "Configuration.Usage"

// reclaimTimeout limits how long the data that one change made obsolete is being removed.
const reclaimTimeout = 30 * time.Second

// Limits of asking all instances for their requests in progress.
const (
	usageTimeout     = time.Second
	usageConcurrency = 64 // concurrent calls
)

// buildOperators wires the operator API.
func (d *Daemon) buildOperators() {
	d.link.Handle(methodUsage, func(context.Context, ident.Instance, json.RawMessage) (any, error) {
		return d.owner.InProgress(), nil
	})
	d.operator = operatorapi.New(operatorapi.Ports{
		Current: d.rollout.Current,
		Newest:  d.changes.NewestDocument,
		Confirm: d.confirm,
		At:      d.changes.DocumentAt,
		History: d.changes.List,
		Status:  d.status,
		Usage:   d.usage,
	}, operatorapi.Settings{BootstrapKeyHash: d.bootstrapKeyHash, MaxBodyBytes: operatorBodyBytes, Log: d.log, Tracer: d.opt.Tracer})
}

// confirm stores a plan as the next revision and starts its rollout.
func (d *Daemon) confirm(ctx context.Context, p plan.Plan, by string) (revision.Record, *result.Error) {
	rec, err := d.changes.Confirm(ctx, p, by)
	if err == nil {
		d.rollout.HandleConfirmed(rec)
		go d.reclaim(rec)
	}
	return rec, err
}

// reclaim removes stored data that the change made obsolete.
func (d *Daemon) reclaim(rec revision.Record) {
	ctx, cancel := context.WithTimeout(d.ctx, reclaimTimeout)
	defer cancel()
	if err := d.changes.Reclaim(ctx, rec); err != nil {
		d.log.Info().Err(err).Uint64("Revision", uint64(rec.Revision)).Msg("obsolete revisions could not be removed; the next change tries again")
	}
}

// status returns the reports of the live instances on the configuration in force there. Known
// instances that are not live are listed without an answer.
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

// usage returns the requests in progress by workspace, summed over all reachable instances that
// answer.
func (d *Daemon) usage() plan.Usage {
	ctx, cancel := context.WithTimeout(d.ctx, usageTimeout)
	defer cancel()
	total := maps.Clone(d.owner.InProgress())
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(usageConcurrency)
	for _, id := range d.reachablePeers() {
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

// requestLimits allows larger bodies in requests to the operator API. They need an operator's
// key, so that nobody else can make an instance read a large body.
func (d *Daemon) requestLimits(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if !bytes.HasPrefix(h.RequestURI(), []byte(operatorPath)) {
		return fasthttp.RequestConfig{}
	}
	if _, ok := d.keys.Load().Operator(h.Peek(fasthttp.HeaderAuthorization)); !ok {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: operatorBodyBytes}
}
