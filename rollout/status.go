package rollout

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"crocuslug/distribution"
)

// Limits of the calls that Status makes.
const (
	statusTimeout = 2 * time.Second
	statusCalls   = 64 // concurrent calls
)

// Status returns the reports of all live instances, sorted by failure domain and
// name. For an instance that does not answer within 2 s, Answered is false.
func (r *Rollout) Status(ctx context.Context) []Report {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r.mu.Lock()
	members := slices.Clone(r.members)
	r.mu.Unlock()
	members = slices.DeleteFunc(members, func(m distribution.Member) bool { return m.Instance == r.self.Instance })
	reports := make([]Report, len(members), len(members)+1)
	var g errgroup.Group
	g.SetLimit(statusCalls)
	for i, m := range members {
		g.Go(func() error {
			reports[i] = r.requestReport(ctx, m)
			return nil
		})
	}
	_ = g.Wait()
	reports = append(reports, r.Report())
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Instance, b.Instance))
	})
	return reports
}

func (r *Rollout) requestReport(ctx context.Context, m distribution.Member) Report {
	report, err := r.deps.Report(ctx, m.Instance)
	if err != nil {
		return Report{Instance: m.Instance, Domain: m.Domain}
	}
	report.Instance, report.Domain, report.Answered = m.Instance, m.Domain, true
	return report
}
