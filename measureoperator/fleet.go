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

// fleet is a site. In the naive version the site has one instance, which operators
// use, and a poller stands for each instance that applies changes.
type fleet struct {
	cfg             measure.Settings
	site            *standinsite.Site
	pollers         []*poller
	rng             *rand.Rand
	highestRevision map[int]ident.Revision // highest revision observed, by index of the instance
	report          *measure.Report
}

// spreadLimit is the time within which an accepted change must be in force everywhere.
const spreadLimit = 16 * time.Second

// domains are the failure domains of a fleet.
var domains = []ident.Domain{"accra", "bamako", "cotonou"}

// fleetSize is the size of a fleet and of its document.
type fleetSize struct {
	instances   int           // number of instances, in three failure domains
	workspaces  int           // added to the site's own document
	upstreams   int           // added to the site's own document
	cutOffAfter time.Duration // time without contact to the service after which an instance counts as cut off; 0 means the default
}

// document returns the additional workspaces and upstreams. The upstreams are in a
// failure domain without instances.
func (size fleetSize) document() configuration.Document {
	var doc configuration.Document
	for i := range size.workspaces {
		name := fmt.Sprintf("workspace-%04d", i)
		doc.Workspaces = append(doc.Workspaces, configuration.Workspace{Name: ident.Workspace(name), KeyHashes: []string{access.Hash([]byte(name))}})
	}
	for i := range size.upstreams {
		doc.Upstreams = append(doc.Upstreams, configuration.Upstream{
			Name: ident.Upstream(fmt.Sprintf("upstream-%04d", i)), Service: "assistant",
			Address: fmt.Sprintf("127.1.%d.%d:80", i/200, i%200+1), Domain: "dakar", Models: []string{standinsite.Model}, Slots: 16,
		})
	}
	return doc
}

// newFleet starts a fleet and confirms the site's own configuration.
func newFleet(ctx context.Context, cfg measure.Settings, h fleetSize, report *measure.Report) (*fleet, error) {
	size := h.instances
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
		cfg: cfg, site: standinsite.New(s), report: report, highestRevision: make(map[int]ident.Revision),
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
		p.close()
	}
	f.site.Stop()
}

// revisions returns the revision in force at each instance.
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

// lowestRevision returns the lowest revision of all instances that were not killed. An instance
// that went back to an earlier revision is a violation.
func (f *fleet) lowestRevision(killed map[int]bool) ident.Revision {
	lowest := ^ident.Revision(0)
	for i, rev := range f.revisions() {
		if killed[i] {
			continue
		}
		if rev < f.highestRevision[i] {
			f.report.AddViolation(fmt.Sprintf("instance %d went from revision %d back to %d", i, f.highestRevision[i], rev))
		}
		f.highestRevision[i] = rev
		lowest = min(lowest, rev)
	}
	return lowest
}

// awaitRevision waits until rev is in force at all instances that were not killed, at most
// spreadLimit, and returns the duration of the wait.
func (f *fleet) awaitRevision(ctx context.Context, rev ident.Revision, killed map[int]bool) time.Duration {
	now := f.site.Timer().Now
	began := now()
	for f.lowestRevision(killed) < rev {
		took := now().Sub(began)
		if took > spreadLimit || ctx.Err() != nil {
			f.report.AddViolation(fmt.Sprintf("revision %d is not in force everywhere after %v", rev, took))
			return took
		}
		time.Sleep(500 * time.Microsecond)
	}
	return now().Sub(began)
}

// limitIntent returns the intent to set the limit of workspace changing to n+1.
func limitIntent(n int) intent.Intent {
	in := intent.Intent{Note: fmt.Sprintf("change %d", n)}
	in.Set.Workspaces = []configuration.Workspace{{Name: "changing", MaxConcurrent: n + 1}}
	return in
}

// peerBytes returns the bytes of configuration that all instances received from peers.
func (f *fleet) peerBytes() uint64 {
	var sum uint64
	for _, d := range f.site.Instances {
		sum += d.ConfigurationBytesReceived()
	}
	return sum
}
