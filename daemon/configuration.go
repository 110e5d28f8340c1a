package daemon

import (
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
	addresses map[ident.Upstream]string
	models    map[string]ident.Service // service that serves a model
}

func newDocument(doc *configuration.Document) *document {
	d := &document{
		Document:  doc,
		addresses: make(map[ident.Upstream]string, len(doc.Upstreams)),
		models:    make(map[string]ident.Service),
	}
	for _, u := range doc.Upstreams {
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
	doc := d.opt.Document
	if doc == nil {
		doc = &configuration.Document{}
	}
	d.apply(doc)
}

// configured reports whether there is any configuration to serve by.
func (d *Daemon) configured() bool {
	return d.opt.Document != nil || d.doc.Load().Revision > 0
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
	d.doc.Store(newDocument(doc))
	d.keys.Store(access.New(doc, d.bootstrap))
	d.chooser.SetCandidates(d.candidates(doc))
}

// candidates returns the upstreams of the own failure domain.
func (d *Daemon) candidates(doc *configuration.Document) []routing.Candidate {
	var out []routing.Candidate
	for _, u := range doc.Upstreams {
		if u.Domain != d.cfg.Domain {
			continue
		}
		c := routing.Candidate{Upstream: u.Name, Slots: u.Slots, Leaving: u.Leaving, Near: true}
		for _, m := range u.Models {
			c.Models = append(c.Models, routing.Model{Name: m})
		}
		out = append(out, c)
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
	return nil
}
