package daemon

import (
	"slices"

	"crocuslug/ident"
	"crocuslug/owner"
	"crocuslug/result"
)

// nextEngine takes the engines of the failure domain that have the model in
// turn, whatever their load. It is the baseline of experiments.
func (d *Daemon) nextEngine(q owner.EngineQuery) (ident.Upstream, *result.Error) {
	for _, exclude := range [][]ident.Upstream{q.Exclude, nil} {
		var names []ident.Upstream
		for _, u := range d.doc.Load().Upstreams {
			if u.Domain == d.cfg.Domain && slices.Contains(u.Models, q.Spec.Model) && !slices.Contains(exclude, u.Name) {
				names = append(names, u.Name)
			}
		}
		if len(names) > 0 {
			n := d.turn.Add(1)
			return names[n%uint64(len(names))], nil
		}
	}
	return "", noUpstream(q.Spec.Model)
}
