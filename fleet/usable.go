package fleet

import (
	"slices"

	"crocuslug/directory"
	"crocuslug/ident"
)

// HasOther reports whether Usable returns an upstream.
func (f *Fleet) HasOther(service ident.Service, build *ident.Build, excludeBuild ident.Build, exclude []ident.Upstream) bool {
	return len(f.Usable(service, build, excludeBuild, exclude)) > 0
}

// Usable returns the upstreams of a service in rotation that are not in exclude and do not leave. If
// build is not nil, only upstreams of that build are returned. If excludeBuild is set, none of that
// build are.
func (f *Fleet) Usable(service ident.Service, build *ident.Build, excludeBuild ident.Build, exclude []ident.Upstream) []ident.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.services[service]
	if !ok {
		return nil
	}
	var out []ident.Upstream
	for _, u := range g.list {
		if !u.Build.Continues(build) || excludeBuild != "" && u.Build == excludeBuild {
			continue
		}
		if _, replaced := f.replaced[u.ID]; !replaced && !u.Draining && !g.tracker.Out(u.ID) && !slices.Contains(exclude, u.ID) {
			out = append(out, u.ID)
		}
	}
	return out
}

// HasBuildBesides reports whether an upstream of a service that does not leave is of another build, in
// rotation or not. One whose address another upstream has taken is gone.
func (f *Fleet) HasBuildBesides(service ident.Service, build ident.Build) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.services[service]
	return ok && slices.ContainsFunc(g.list, func(u directory.Upstream) bool {
		_, replaced := f.replaced[u.ID]
		return u.Build != build && !u.Draining && !replaced
	})
}
