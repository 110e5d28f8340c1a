package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"crocuslug/admission"
	"crocuslug/ident"
	"crocuslug/quota"
	"crocuslug/result"
)

// methodShares carries a quota.Message to another instance.
const methodShares = "Quota.Message"

// quotaInterval is the interval between exchanges of quota shares.
const quotaInterval = time.Second

// buildQuota creates this instance's shares of the workspaces' limits, which apply across all
// instances.
func (d *Daemon) buildQuota() {
	d.shares = quota.New(quota.Settings{}, d.id, nil, func(w ident.Workspace) float64 {
		return d.doc.Load().workspaces[w].TokensPerSecond
	})
}

// handleShares registers the handlers for quota messages and for changes of peer connections.
func (d *Daemon) handleShares() {
	d.link.Handle(methodShares, func(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
		var m quota.Message
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, result.New(result.Malformed, err.Error())
		}
		if answer, ok := d.shares.Receive(m); ok {
			d.sendShares(answer)
		}
		return nil, nil
	})
	d.link.OnDown(d.shares.PeerLost)
	d.link.OnUp(d.shares.PeerFound)
}

// quotaMembers returns all instances that share the limits. Unreachable ones are included,
// since they may still admit requests.
func (d *Daemon) quotaMembers() []ident.Instance {
	out := []ident.Instance{d.id}
	for _, m := range d.members.View().Members {
		if m.Instance != d.id {
			out = append(out, m.Instance)
		}
	}
	return out
}

// exchangeShares moves shares to the instances with more demand.
func (d *Daemon) exchangeShares(now time.Time) {
	members := d.quotaMembers()
	slices.Sort(members)
	if !slices.Equal(members, d.shareMembers) {
		d.shareMembers = members
		d.shares.SetMembers(members, now)
		d.updateCandidates(d.doc.Load())
	}
	if d.opt.FixedShares {
		return
	}
	for _, m := range d.shares.Tick(now) {
		d.sendShares(m)
	}
}

// sendShares sends a quota message in the background.
func (d *Daemon) sendShares(m quota.Message) {
	d.tasks.Go(func() {
		// A lost message does no harm, since its totals are sent again.
		_ = d.link.Notify(d.ctx, m.To, methodShares, m)
	})
}

// limits returns what a workspace may use on this instance now.
func (d *Daemon) limits(w ident.Workspace) admission.Limits {
	ws := d.doc.Load().workspaces[w]
	l := admission.Limits{Share: ws.Share}
	if ws.MaxConcurrent > 0 {
		l.Concurrent = d.shares.ConcurrencyLimit(w, ws.MaxConcurrent)
		if l.Concurrent <= 0 {
			l.Concurrent = -1
		}
	}
	return l
}
