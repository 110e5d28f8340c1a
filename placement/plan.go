// Package placement decides which models each engine of a failure domain loads
// and unloads.
//
// Orders state the wanted state and are derived anew from what engines report,
// so that a lost, refused or undone order is repaired by the next round. Loads
// obey the rate of the weight store, and the last copy of a model that is in
// use is never unloaded.
package placement

import (
	"cmp"
	"slices"
	"time"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/unit"
)

// Settings of a Planner. Zero values mean the defaults.
type Settings struct {
	Loads      int           // loads begun within Window
	Window     unit.Duration // span over which Loads counts
	Concurrent int           // loads in progress
	LoadLimit  unit.Duration // after it a load that does not show is given up
	MaxModels  int           // models of one engine
}

// Defaults of Settings.
const (
	defaultLoads      = 6
	defaultWindow     = time.Minute
	defaultConcurrent = 2
	defaultLoadLimit  = 2 * time.Minute
	defaultMaxModels  = 2
)

// Model is a model with its version and adapter.
type Model struct {
	Name    string
	Version string
	Adapter string
}

// Covers reports whether o is what m asks for: an empty version stands for any.
func (m Model) Covers(o Model) bool {
	return m.Name == o.Name && m.Adapter == o.Adapter && (m.Version == "" || m.Version == o.Version)
}

// heldBy reports whether one of ms is what m asks for.
func (m Model) heldBy(ms []Model) bool {
	return slices.ContainsFunc(ms, m.Covers)
}

// usedBy reports whether one of the asked-for ms is m.
func (m Model) usedBy(ms []Model) bool {
	return slices.ContainsFunc(ms, func(o Model) bool { return o.Covers(m) })
}

// Engine is what is known of one engine.
type Engine struct {
	Name    ident.Upstream
	May     []string // models that it may serve
	Loaded  []Model
	InUse   []Model // models that generations run on or wait for
	Leaving bool
	Known   bool // Loaded was read back since the last order to it
}

// Kind tells orders apart.
type Kind string

// Kinds of orders, as engines know them.
const (
	Load        Kind = "load_model"
	Unload      Kind = "unload_model"
	LoadAdapter Kind = "load_adapter"
)

// Order is a wanted change of one engine.
type Order struct {
	Kind     Kind
	Upstream ident.Upstream
	Model    Model
}

// Planner derives orders. It is pure and not safe for concurrent use.
type Planner struct {
	cfg     Settings
	domain  ident.Domain
	begun   []time.Time // loads within the window
	loading map[target]time.Time
}

type target struct {
	upstream ident.Upstream
	model    Model
}

// New returns a planner for the engines of one failure domain.
func New(cfg Settings, domain ident.Domain) *Planner {
	setDefault(&cfg.Loads, defaultLoads)
	setDefault(&cfg.Window, unit.Duration(defaultWindow))
	setDefault(&cfg.Concurrent, defaultConcurrent)
	setDefault(&cfg.LoadLimit, unit.Duration(defaultLoadLimit))
	setDefault(&cfg.MaxModels, defaultMaxModels)
	return &Planner{cfg: cfg, domain: domain, loading: make(map[target]time.Time)}
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Plan returns the orders to give now. A planner counts the loads that it
// returns as begun. A new holder of the lease starts with a new planner and
// calls Resume first.
func (p *Planner) Plan(wanted []configuration.Placement, engines []Engine, now time.Time) []Order {
	p.forget(engines, now)
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	var orders []Order
	for _, w := range wanted {
		if w.Domain == "" || w.Domain == p.domain {
			orders = append(orders, p.load(w, engines, now)...)
		}
	}
	return append(orders, p.unload(wanted, engines, orders)...)
}

// Resume counts the whole rate of loads as used at now, since an earlier
// holder may have used it.
func (p *Planner) Resume(now time.Time) {
	for range p.cfg.Loads {
		p.begun = append(p.begun, now)
	}
}

// forget drops loads that have shown, have been given up, or left the window.
func (p *Planner) forget(engines []Engine, now time.Time) {
	p.begun = slices.DeleteFunc(p.begun, func(t time.Time) bool { return now.Sub(t) >= p.cfg.Window.Std() })
	for t, at := range p.loading {
		if now.Sub(at) >= p.cfg.LoadLimit.Std() || shows(engines, t) {
			delete(p.loading, t)
		}
	}
}

func shows(engines []Engine, t target) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool {
		return e.Name == t.upstream && t.model.heldBy(e.Loaded)
	})
}

// load orders copies of one model up to the number wanted.
func (p *Planner) load(w configuration.Placement, engines []Engine, now time.Time) []Order {
	m := Model{w.Model, w.Version, w.Adapter}
	copies := 0
	for _, e := range engines {
		if p.has(e, m) && !e.Leaving {
			copies++
		}
	}
	var orders []Order
	for copies < w.Copies && p.mayLoad() {
		i := p.choose(engines, m)
		if i < 0 {
			break
		}
		kind := Load
		if m.Adapter != "" && (Model{Name: m.Name, Version: m.Version}).heldBy(engines[i].Loaded) {
			kind = LoadAdapter
		}
		orders = append(orders, Order{kind, engines[i].Name, m})
		p.loading[target{engines[i].Name, m}] = now
		p.begun = append(p.begun, now)
		copies++
	}
	return orders
}

func (p *Planner) mayLoad() bool {
	return len(p.loading) < p.cfg.Concurrent && len(p.begun) < p.cfg.Loads
}

// has reports whether e holds m or is loading it.
func (p *Planner) has(e Engine, m Model) bool {
	_, loading := p.loading[target{e.Name, m}]
	return loading || m.heldBy(e.Loaded)
}

// choose returns the engine with the fewest models that may load m, or -1.
func (p *Planner) choose(engines []Engine, m Model) int {
	best, least := -1, p.cfg.MaxModels
	for i, e := range engines {
		if !e.Known || e.Leaving || !slices.Contains(e.May, m.Name) || p.has(e, m) {
			continue
		}
		if n := len(e.Loaded) + p.loadingOn(e.Name); n < least {
			best, least = i, n
		}
	}
	return best
}

func (p *Planner) loadingOn(name ident.Upstream) int {
	n := 0
	for t := range p.loading {
		if t.upstream == name {
			n++
		}
	}
	return n
}

// unload orders the copies away that are beyond the number wanted and not in
// use there, as long as one copy stays of a model that is in use anywhere.
func (p *Planner) unload(wanted []configuration.Placement, engines []Engine, given []Order) []Order {
	var orders []Order
	for _, m := range loaded(engines) {
		if !p.placed(wanted, m) {
			continue
		}
		stay := max(p.wantedCopies(wanted, m), least(engines, m))
		copies := count(engines, m)
		for _, e := range engines {
			if copies <= stay {
				break
			}
			if !e.Known || e.Leaving || ordered(given, e.Name) || !slices.Contains(e.Loaded, m) || needs(e, m) {
				continue
			}
			orders = append(orders, Order{Unload, e.Name, m})
			copies--
		}
	}
	return orders
}

// placed reports whether placements govern the copies of a model. Others were
// loaded by other means and are left alone.
func (p *Planner) placed(wanted []configuration.Placement, m Model) bool {
	return slices.ContainsFunc(wanted, func(w configuration.Placement) bool {
		return (w.Domain == "" || w.Domain == p.domain) && w.Model == m.Name
	})
}

func (p *Planner) wantedCopies(wanted []configuration.Placement, m Model) int {
	n := 0
	for _, w := range wanted {
		if (w.Domain == "" || w.Domain == p.domain) && (Model{w.Model, w.Version, w.Adapter}).Covers(m) {
			n += w.Copies
		}
	}
	return n
}

// least is 1 for a model that is in use anywhere in the failure domain.
func least(engines []Engine, m Model) int {
	if slices.ContainsFunc(engines, func(e Engine) bool { return m.usedBy(e.InUse) }) {
		return 1
	}
	return 0
}

// count returns the copies on engines that stay. What an engine held before
// an order to it that was not read back does not count.
func count(engines []Engine, m Model) int {
	n := 0
	for _, e := range engines {
		if e.Known && !e.Leaving && slices.Contains(e.Loaded, m) {
			n++
		}
	}
	return n
}

// needs reports whether an engine runs work on m or holds an adapter of it.
func needs(e Engine, m Model) bool {
	adapted := func(o Model) bool {
		return m.Adapter == "" && o.Adapter != "" && o.Name == m.Name && o.Version == m.Version
	}
	return m.usedBy(e.InUse) || slices.ContainsFunc(e.Loaded, adapted)
}

func loaded(engines []Engine) []Model {
	var ms []Model
	for _, e := range engines {
		for _, m := range e.Loaded {
			if !slices.Contains(ms, m) {
				ms = append(ms, m)
			}
		}
	}
	return ms
}

func ordered(given []Order, name ident.Upstream) bool {
	return slices.ContainsFunc(given, func(o Order) bool { return o.Upstream == name })
}
