package daemon

import (
	"context"
	"encoding/json"
	"time"

	"crocuslug/configuration"
	"crocuslug/distribution"
	"crocuslug/ident"
	"crocuslug/membership"
	"crocuslug/result"
	"crocuslug/rollout"
)

// Methods of the distribution of configurations between instances.
const (
	methodConfigurationNotice = "Configuration.Notice"
	methodConfigurationPage   = "Configuration.Page"
	methodConfigurationReport = "Configuration.Report"
)

// noticeTimeout limits the sending of a notice, which may have to open a connection first.
const noticeTimeout = 2 * time.Second

// buildRollout wires the distribution of accepted configurations.
func (d *Daemon) buildRollout() {
	self := distribution.Member{Instance: d.id, Domain: d.cfg.Domain}
	cfg := d.opt.Rollout
	cfg.HeadKey, cfg.Log = d.revisions.HeadKey(), d.log
	d.rollout = rollout.New(self, d.seed, d.opt.Timer, rollout.Dependencies{
		Head:   d.revisions.Head,
		Load:   d.revisions.Load,
		Watch:  d.store.Watch,
		Notify: d.notifyConfiguration,
		Pull:   d.pullConfiguration,
		Report: d.askReport,
	}, d.putInForce, cfg)
	d.link.Handle(methodConfigurationNotice, d.handleNotice)
	d.link.Handle(methodConfigurationPage, d.handlePage)
	d.link.Handle(methodConfigurationReport, func(context.Context, ident.Instance, json.RawMessage) (any, error) {
		return d.rollout.Report(), nil
	})
}

// putInForce applies a document of the rollout on the control loop.
func (d *Daemon) putInForce(doc *configuration.Document) {
	d.loop.Post(func() { d.apply(doc) })
}

// distributionMembers returns the live instances of all failure domains.
func distributionMembers(v *membership.View) []distribution.Member {
	var out []distribution.Member
	for _, m := range v.Members {
		if m.State == membership.Live {
			out = append(out, distribution.Member{Instance: m.Instance, Domain: m.Domain})
		}
	}
	return out
}

// notifyConfiguration sends a notice in the background, since it may have to open a connection.
func (d *Daemon) notifyConfiguration(to ident.Instance, n distribution.Notice) {
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, noticeTimeout)
		defer cancel()
		// The next random exchange makes up for a lost notice.
		_ = d.link.Notify(ctx, to, methodConfigurationNotice, n)
	}()
}

func (d *Daemon) pullConfiguration(ctx context.Context, to ident.Instance, a rollout.PageRequest) (rollout.Page, error) {
	var p rollout.Page
	err := d.link.Call(ctx, to, methodConfigurationPage, a, &p)
	d.configurationBytes.Add(uint64(len(p.Body)))
	return p, err
}

func (d *Daemon) askReport(ctx context.Context, to ident.Instance) (rollout.Report, error) {
	var r rollout.Report
	return r, d.link.Call(ctx, to, methodConfigurationReport, nil, &r)
}

func (d *Daemon) handleNotice(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
	d.configurationBytes.Add(uint64(len(params)))
	var n distribution.Notice
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	d.rollout.HandleNotice(from, n)
	return nil, nil
}

func (d *Daemon) handlePage(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var a rollout.PageRequest
	if err := json.Unmarshal(params, &a); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	return d.rollout.AnswerPull(a)
}

// Revision returns the revision of the configuration in force, or 0 if no revision was accepted
// yet.
func (d *Daemon) Revision() ident.Revision {
	return d.doc.Load().Revision
}

// ConfigurationBytesReceived returns the number of bytes of notices and documents received from
// other instances.
func (d *Daemon) ConfigurationBytesReceived() uint64 {
	return d.configurationBytes.Load()
}
