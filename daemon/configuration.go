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

// document is a configuration with indices for traffic. It is immutable.
type document struct {
	*configuration.Document
	addresses  map[ident.Upstream]string
	models     map[string]ident.Service // service that serves a model
	upstreams  map[ident.Upstream]configuration.Upstream
	workspaces map[ident.Workspace]configuration.Workspace
	kinds      map[ident.Service]configuration.Kind
	calls      int // that upstreams of plain services take at once
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
			d.calls += orDefault(u.Slots, serviceCalls)
		}
		d.addresses[u.Name] = u.Address
		for _, m := range u.Models {
			d.models[m] = u.Service
		}
	}
	return d
}

// buildConfiguration wires the accepted configurations and what operators call.
func (d *Daemon) buildConfiguration(operatorKey []byte) {
	if len(operatorKey) > 0 {
		d.bootstrap = access.Hash(operatorKey)
	}
	d.ledger = revision.New(d.store, d.opt.Timer.Now, revision.Settings{})
	d.buildRollout()
	d.buildOperators()
	doc := d.opt.InitialDocument
	if doc == nil {
		doc = &configuration.Document{}
	}
	d.apply(doc)
}

// configured reports whether there is any configuration to serve by.
func (d *Daemon) configured() bool {
	return d.opt.InitialDocument != nil || d.doc.Load().Revision > 0
}

// needConfiguration refuses callers while there is no configuration, since
// their keys cannot be told from wrong ones.
func (d *Daemon) needConfiguration(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if d.configured() {
			h(ctx)
			return
		}
		problem.Write(ctx, result.New(result.ConfigurationMissing, "no configuration has reached this instance").After(busyRetry), "")
	}
}

// apply puts a configuration in force.
func (d *Daemon) apply(doc *configuration.Document) {
	current := newDocument(doc)
	d.doc.Store(current)
	d.keys.Store(access.New(doc, d.bootstrap))
	d.offerCandidates(current)
	d.followHealth(current)
}

// offerCandidates tells the choosers and the polls of the upstreams in reach.
func (d *Daemon) offerCandidates(doc *document) {
	list := d.candidates(doc)
	d.chooser.SetCandidates(list)
	d.plain.SetCandidates(d.plainCandidates(doc))
	var near []ident.Upstream
	for _, c := range list {
		if c.Near {
			near = append(near, c.Upstream)
		}
	}
	d.polls.follow(near, d.upstreamAddress)
	d.readNotices(d.members.View())
}

// candidates returns the engines of the own failure domain, those of the
// instance's subset as near ones.
func (d *Daemon) candidates(doc *document) []routing.Candidate {
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

func (d *Daemon) workspace(authorization []byte) (ident.Workspace, bool) {
	return d.keys.Load().Workspace(authorization)
}

// pin completes a spec from the configuration.
func (d *Daemon) pin(spec *generation.Spec) *result.Error {
	s, ok := d.doc.Load().models[spec.Model]
	if !ok {
		return result.Newf(result.NotFound, "model %q is not configured", spec.Model)
	}
	spec.Service = s
	rule := d.doc.Load().ruleOf(spec.Workspace, s, "POST", completionsPath)
	spec.Priority = int(priorities[rule.Priority])
	return nil
}
