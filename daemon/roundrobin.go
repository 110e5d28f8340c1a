package daemon

import (
	"slices"

	"crocuslug/ident"
	"crocuslug/owner"
	"crocuslug/result"
)

// nextRoundRobin returns the next engine of the failure domain that has the model, in
// round-robin order and regardless of load. Excluded engines are used only if no other has the
// model. It is the baseline of experiments.
func (d *Daemon) nextRoundRobin(q owner.EngineQuery) (ident.Upstream, *result.Error) {
	for _, exclude := range [][]ident.Upstream{q.Exclude, nil} {
		var names []ident.Upstream
		for _, u := range d.doc.Load().Upstreams {
			if u.Domain == d.cfg.Domain && slices.Contains(u.Models, q.Spec.Model) && !slices.Contains(exclude, u.Name) {
				names = append(names, u.Name)
			}
		}
		if len(names) > 0 {
			n := d.roundRobinNext.Add(1)
			return names[n%uint64(len(names))], nil
		}
	}
	return "", noUpstream(q.Spec.Model)
}
