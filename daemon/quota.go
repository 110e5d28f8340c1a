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

// quotaTick is the interval of exchanging shares.
const quotaTick = time.Second

// buildQuota wires the fleet-wide limits of workspaces.
func (d *Daemon) buildQuota() {
	d.shares = quota.New(quota.Settings{}, d.id, nil, func(w ident.Workspace) float64 {
		return d.doc.Load().workspaces[w].TokensPerSecond
	})
}

// handleShares takes messages about shares.
func (d *Daemon) handleShares() {
	d.link.Handle(methodShares, func(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
		var m quota.Message
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, result.New(result.Malformed, err.Error())
		}
		if answer, ok := d.shares.Receive(m); ok {
			d.tellShares(answer)
		}
		return nil, nil
	})
	d.link.OnDown(d.shares.PeerLost)
	d.link.OnUp(d.shares.PeerFound)
}

// sharers returns all instances among which limits are shared: those that are
// out of reach as well, since they may still let requests through.
func (d *Daemon) sharers() []ident.Instance {
	out := []ident.Instance{d.id}
	for _, m := range d.members.View().Members {
		if m.Instance != d.id {
			out = append(out, m.Instance)
		}
	}
	return out
}

// exchangeShares moves shares to where the demand is.
func (d *Daemon) exchangeShares(now time.Time) {
	members := d.sharers()
	slices.Sort(members)
	if !slices.Equal(members, d.shared) {
		d.shared = members
		d.shares.SetMembers(members, now)
		d.offerCandidates(d.doc.Load())
	}
	if d.opt.FixedShares {
		return
	}
	for _, m := range d.shares.Tick(now) {
		d.tellShares(m)
	}
}

func (d *Daemon) tellShares(m quota.Message) {
	d.tasks.Go(func() {
		// A message that is lost does no harm: its totals come again.
		_ = d.link.Notify(d.ctx, m.To, methodShares, m)
	})
}

// limits returns what a workspace may use here now.
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
