package measurecontrol

import (
	"context"
	"fmt"
	"slices"
	"time"

	"crocuslug/access"
	"crocuslug/configuration"
	"crocuslug/daemon"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/plan"
	"crocuslug/revision"
	"crocuslug/standinsite"
)

// workspaces returns n workspaces, each with a key of its own.
func workspaces(n int) []configuration.Workspace {
	out := make([]configuration.Workspace, n)
	for i := range out {
		name := numbered("workspace", i)
		out[i] = configuration.Workspace{
			Name:            ident.Workspace(name),
			KeyHashes:       []string{access.Hash([]byte(name))},
			MaxConcurrent:   1000,
			TokensPerSecond: 1e5,
		}
	}
	return out
}

// changer confirms changes of configuration through the platform's service.
type changer struct {
	ledger    *revision.Store
	base      configuration.Document // of the site
	instances []*daemon.Daemon
	doc       configuration.Document
	n         int
}

func newChanger(site *standinsite.Site) *changer {
	return &changer{
		ledger:    revision.New(site.Store.Port(), time.Now, revision.Settings{}),
		base:      site.Document(),
		instances: site.Instances,
	}
}

// confirm puts workspaces, beside all that the site has, in force everywhere.
func (c *changer) confirm(ctx context.Context, set []configuration.Workspace) error {
	in := intent.Intent{Author: "measure"}
	in.Set.Workspaces = set
	if c.n == 0 {
		in.Set.Workspaces = append(in.Set.Workspaces, c.base.Workspaces...)
		in.Set.Services, in.Set.Upstreams = c.base.Services, c.base.Upstreams
	}
	c.n++
	p, problems := plan.Make(c.doc, in, plan.Usage{})
	if len(problems) > 0 {
		return fmt.Errorf("plan: %s", plan.FormatProblems(problems))
	}
	if _, err := c.ledger.Confirm(ctx, p, "measure"); err != nil {
		return err
	}
	doc, err := c.ledger.NewestDocument(ctx)
	if err != nil {
		return err
	}
	c.doc = doc
	return c.awaitForce(ctx, doc.Revision)
}

// forcePoll is the interval of asking instances for their revision.
const forcePoll = 2 * time.Millisecond

func (c *changer) awaitForce(ctx context.Context, rev ident.Revision) error {
	for ctx.Err() == nil {
		if !slices.ContainsFunc(c.instances, func(d *daemon.Daemon) bool { return d.Revision() < rev }) {
			return nil
		}
		wait(ctx, forcePoll)
	}
	return ctx.Err()
}

// repeat makes n changes of one workspace each.
func (c *changer) repeat(ctx context.Context, n int) error {
	for range n {
		w := workspaces(1)[0]
		w.TokensPerSecond += float64(c.n)
		if err := c.confirm(ctx, []configuration.Workspace{w}); err != nil {
			return err
		}
	}
	return nil
}
