package directory

import (
	"strings"

	"crocuslug/ident"
)

// Directory is the index of a Document. It is immutable.
type Directory struct {
	Document
	routes   map[string]map[string]*Route // by host and prefix
	keys     map[string]*Workspace
	services map[ident.Service]*Service
}

// New returns the index of doc, whose slices must not be modified afterwards.
func New(doc Document) *Directory {
	d := &Directory{
		Document: doc,
		routes:   make(map[string]map[string]*Route),
		keys:     make(map[string]*Workspace),
		services: make(map[ident.Service]*Service),
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		byPrefix := d.routes[r.Host]
		if byPrefix == nil {
			byPrefix = make(map[string]*Route)
			d.routes[r.Host] = byPrefix
		}
		byPrefix[r.Prefix] = r
	}
	for i := range doc.Workspaces {
		w := &doc.Workspaces[i]
		for _, key := range w.Keys {
			d.keys[key] = w
		}
	}
	for i := range doc.Services {
		d.services[doc.Services[i].Name] = &doc.Services[i]
	}
	return d
}

// Route returns the route of a request, or nil if none matches. The path must not include the
// query.
func (d *Directory) Route(host, path string) *Route {
	byPrefix := d.routes[host]
	if byPrefix == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace of a key, or nil if the key is unknown.
func (d *Directory) Workspace(key string) *Workspace {
	return d.keys[key]
}

// RequiresKey reports whether a request of r must carry the key of a workspace.
func (d *Directory) RequiresKey(r *Route) bool {
	return !r.Public && (d.KeysRequired || len(d.Workspaces) > 0)
}

// Service returns a service, or nil if it is not configured.
func (d *Directory) Service(name ident.Service) *Service {
	return d.services[name]
}

// ChooseService returns the service for one request of r, chosen according to the weights of
// its shares; random must be 64 random bits. It returns "" if no service of r has a positive
// weight.
func (r *Route) ChooseService(random uint64) ident.Service {
	total := 0
	for _, s := range r.Services {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return ""
	}
	remaining := int(random % uint64(total))
	for _, s := range r.Services {
		if remaining -= max(0, s.Weight); remaining < 0 {
			return s.Service
		}
	}
	return ""
}
