package daemon

import (
	"slices"

	"github.com/valyala/fasthttp"

	"crocuslug/access"
	"crocuslug/configuration"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/problem"
	"crocuslug/result"
	"crocuslug/revision"
	"crocuslug/routing"
)

// document is a configuration with lookup tables for serving traffic. It is immutable.
type document struct {
	*configuration.Document
	addresses    map[ident.Upstream]string
	models       map[string]ident.Service // service that serves each model
	upstreams    map[ident.Upstream]configuration.Upstream
	workspaces   map[ident.Workspace]configuration.Workspace
	kinds        map[ident.Service]configuration.Kind
	serviceSlots int // concurrent calls that all upstreams of plain services accept
}

func newDocument(doc *configuration.Document) *document {
	d := &document{
		Document:   doc,
		addresses:  make(map[ident.Upstream]string, len(doc.Upstreams)),
		models:     make(map[string]ident.Service),
		upstreams:  make(map[ident.Upstream]configuration.Upstream, len(doc.Upstreams)),
		workspaces: make(map[ident.Workspace]configuration.Workspace, len(doc.Workspaces)),
		kinds:      make(map[ident.Service]configuration.Kind, len(doc.Services)),
	}
	for _, w := range doc.Workspaces {
		d.workspaces[w.Name] = w
	}
	for _, s := range doc.Services {
		d.kinds[s.Name] = s.Kind
	}
	for _, u := range doc.Upstreams {
		d.upstreams[u.Name] = u
		if d.kinds[u.Service] == configuration.Plain {
			d.serviceSlots += orDefault(u.Slots, defaultServiceSlots)
		}
		d.addresses[u.Name] = u.Address
		for _, m := range u.Models {
			d.models[m] = u.Service
		}
	}
	return d
}

// buildConfiguration wires the store of revisions, the rollout and the operator API, and puts
// the initial document in force.
func (d *Daemon) buildConfiguration(operatorKey []byte) {
	if len(operatorKey) > 0 {
		d.bootstrapKeyHash = access.Hash(operatorKey)
	}
	d.revisions = revision.New(d.store, d.opt.Timer.Now, revision.Settings{})
	d.changes = revision.New(d.operatorStore(), d.opt.Timer.Now, revision.Settings{})
	d.buildRollout()
	d.buildOperators()
	doc := d.opt.InitialDocument
	if doc == nil {
		doc = &configuration.Document{}
	}
	d.apply(doc)
}

// configured reports whether a configuration is in force.
func (d *Daemon) configured() bool {
	return d.opt.InitialDocument != nil || d.doc.Load().Revision > 0
}

// requireConfiguration wraps h to refuse callers while no configuration is in force, since
// valid keys cannot be told from invalid ones without it.
func (d *Daemon) requireConfiguration(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if d.configured() {
			h(ctx)
			return
		}
		problem.Write(ctx, result.New(result.ConfigurationMissing, "this instance has not received a configuration yet").After(busyRetry), "")
	}
}

// apply puts doc in force.
func (d *Daemon) apply(doc *configuration.Document) {
	current := newDocument(doc)
	d.doc.Store(current)
	d.keys.Store(access.New(doc, d.bootstrapKeyHash))
	d.updateCandidates(current)
	d.updateHealthUpstreams(current)
}

// updateCandidates passes the upstreams that this instance may use to the choosers and the
// poller.
func (d *Daemon) updateCandidates(doc *document) {
	list := d.engineCandidates(doc)
	d.engineChooser.SetCandidates(list)
	d.serviceChooser.SetCandidates(d.serviceCandidates(doc))
	var near []ident.Upstream
	for _, c := range list {
		if c.Near {
			near = append(near, c.Upstream)
		}
	}
	d.poller.setTargets(near, d.upstreamAddress)
	d.applyLeavingNotices(d.members.View())
}

// engineCandidates returns the engines of this failure domain. Those in this instance's subset
// are marked as Near.
func (d *Daemon) engineCandidates(doc *document) []routing.Candidate {
	var out []routing.Candidate
	var names []ident.Upstream
	for _, u := range doc.Upstreams {
		if u.Domain != d.cfg.Domain || doc.kinds[u.Service] == configuration.Plain {
			continue
		}
		names = append(names, u.Name)
		c := routing.Candidate{Upstream: u.Name, Slots: u.Slots, Leaving: u.Leaving}
		for _, m := range u.Models {
			c.Models = append(c.Models, routing.Model{Name: m})
		}
		out = append(out, c)
	}
	near := routing.Subset(d.live(), d.id, names, orDefault(d.cfg.Load.SubsetSize, defaultSubset))
	for i := range out {
		out[i].Near = slices.Contains(near, out[i].Upstream)
	}
	return out
}

func (d *Daemon) upstreamAddress(u ident.Upstream) (string, bool) {
	a, ok := d.doc.Load().addresses[u]
	return a, ok
}

// workspace returns the workspace whose key an Authorization header carries.
func (d *Daemon) workspace(authorization []byte) (ident.Workspace, bool) {
	return d.keys.Load().Workspace(authorization)
}

// completeSpec sets the service and the priority of spec from the configuration. It returns an
// error if no upstream serves the model.
func (d *Daemon) completeSpec(spec *generation.Spec) *result.Error {
	s, ok := d.doc.Load().models[spec.Model]
	if !ok {
		return result.Newf(result.NotFound, "model %q is not configured", spec.Model)
	}
	spec.Service = s
	rule := d.doc.Load().matchRule(spec.Workspace, s, "POST", completionsPath)
	spec.Priority = int(priorities[rule.Priority])
	return nil
}
