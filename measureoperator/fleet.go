package measureoperator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"crocuslug/access"
	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/measure"
	"crocuslug/standinengine"
	"crocuslug/standinsite"
	"crocuslug/unit"
)

// fleet is a site, or in the naive version one instance for the operators and
// pollers beside it.
type fleet struct {
	cfg     measure.Settings
	site    *standinsite.Site
	pollers []*poller
	rng     *rand.Rand
	newest  map[int]ident.Revision // the highest that was seen at an instance
	report  *measure.Report
}

// spreadLimit is the time in which an accepted change is in force everywhere.
const spreadLimit = 16 * time.Second

// domains are the failure domains of a fleet.
var domains = []ident.Domain{"accra", "bamako", "cotonou"}

// shape says what a fleet is to be.
type shape struct {
	size        int           // instances, in three failure domains
	workspaces  int           // in the document, beside the site's own
	upstreams   int           // in the document, beside the site's own
	cutOffAfter time.Duration // without word of the service; 0 means the default
}

// document returns the parts that make a document as large as the shape says.
// Its upstreams are in a failure domain without instances.
func (h shape) document() configuration.Document {
	var doc configuration.Document
	for i := range h.workspaces {
		name := fmt.Sprintf("workspace-%04d", i)
		doc.Workspaces = append(doc.Workspaces, configuration.Workspace{Name: ident.Workspace(name), KeyHashes: []string{access.Hash([]byte(name))}})
	}
	for i := range h.upstreams {
		doc.Upstreams = append(doc.Upstreams, configuration.Upstream{
			Name: ident.Upstream(fmt.Sprintf("upstream-%04d", i)), Service: "assistant",
			Address: fmt.Sprintf("127.1.%d.%d:80", i/200, i%200+1), Domain: "dakar", Models: []string{standinsite.Model}, Slots: 16,
		})
	}
	return doc
}

// newFleet starts a fleet and has the site's own configuration confirmed.
func newFleet(ctx context.Context, cfg measure.Settings, h shape, report *measure.Report) (*fleet, error) {
	size := h.size
	s := standinsite.Settings{
		Document: h.document(),
		Domains:  domains, Instances: size / len(domains), Engines: 1, Seed: cfg.Seed, Unconfigured: true,
		Engine: standinengine.Settings{TokenInterval: 5 * time.Millisecond, Slots: 64},
	}
	s.Options.Rollout.Distribution.CutOffAfter = unit.Duration(h.cutOffAfter)
	if cfg.Baseline {
		s.Domains, s.Instances = domains[:1], 1
	}
	f := &fleet{
		cfg: cfg, site: standinsite.New(s), report: report, newest: make(map[int]ident.Revision),
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(size))),
	}
	if err := f.site.Start(); err != nil {
		return nil, err
	}
	for range size {
		if cfg.Baseline {
			f.addPoller()
		}
	}
	if _, err := f.site.Configure(ctx); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) addPoller() {
	delay := time.Duration(f.rng.Int64N(int64(pollInterval)))
	f.pollers = append(f.pollers, startPoller(f.site.Store.Port(), f.site.Timer(), delay))
}

func (f *fleet) stop() {
	for _, p := range f.pollers {
		p.end()
	}
	f.site.Stop()
}

// revisions returns what is in force by instance.
func (f *fleet) revisions() []ident.Revision {
	var out []ident.Revision
	if f.cfg.Baseline {
		for _, p := range f.pollers {
			out = append(out, p.Revision())
		}
		return out
	}
	for _, d := range f.site.Instances {
		out = append(out, d.Revision())
	}
	return out
}

// look counts a violation if an instance went back, and returns the lowest
// revision of all but the killed instances.
func (f *fleet) look(killed map[int]bool) ident.Revision {
	lowest := ^ident.Revision(0)
	for i, rev := range f.revisions() {
		if killed[i] {
			continue
		}
		if rev < f.newest[i] {
			f.report.AddViolation(fmt.Sprintf("instance %d went from revision %d back to %d", i, f.newest[i], rev))
		}
		f.newest[i] = rev
		lowest = min(lowest, rev)
	}
	return lowest
}

// await waits until rev is in force at all instances and returns the time that
// took.
func (f *fleet) await(ctx context.Context, rev ident.Revision, killed map[int]bool) time.Duration {
	now := f.site.Timer().Now
	began := now()
	for f.look(killed) < rev {
		took := now().Sub(began)
		if took > spreadLimit || ctx.Err() != nil {
			f.report.AddViolation(fmt.Sprintf("revision %d is not in force everywhere after %v", rev, took))
			return took
		}
		time.Sleep(500 * time.Microsecond)
	}
	return now().Sub(began)
}

// limitIntent changes the limit of a workspace of its own.
func limitIntent(n int) intent.Intent {
	in := intent.Intent{Note: fmt.Sprintf("change %d", n)}
	in.Set.Workspaces = []configuration.Workspace{{Name: "changing", MaxConcurrent: n + 1}}
	return in
}

// peerBytes sums what the instances have taken of configuration from each other.
func (f *fleet) peerBytes() uint64 {
	var sum uint64
	for _, d := range f.site.Instances {
		sum += d.ConfigurationBytesReceived()
	}
	return sum
}
