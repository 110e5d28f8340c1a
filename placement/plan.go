// Package placement decides which models each engine of a failure domain loads
// and unloads.
//
// In each round the orders are derived from the wanted placements and from the
// models that the engines report. An order that was lost, refused or undone is
// therefore repeated in a later round. The rate of loads is limited to what the
// weight store can serve, and the last copy of a model that is in use is never
// unloaded.
package placement

import (
	"cmp"
	"slices"
	"time"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/unit"
)

// Settings are the settings of a Planner. Zero values mean the defaults.
type Settings struct {
	MaxLoads           int           // largest number of loads that start within Window
	Window             unit.Duration // period over which MaxLoads counts
	MaxConcurrentLoads int           // largest number of loads in progress
	LoadTimeout        unit.Duration // a load that the engine does not report by then counts as failed
	MaxModelsPerEngine int           // largest number of models of one engine
}

// Defaults of Settings.
const (
	defaultMaxLoads           = 6
	defaultWindow             = time.Minute
	defaultMaxConcurrentLoads = 2
	defaultLoadTimeout        = 2 * time.Minute
	defaultMaxModelsPerEngine = 2
)

// Model is a model with its version and adapter.
type Model struct {
	Name    string
	Version string
	Adapter string
}

// Matches reports whether o has the name and adapter that m asks for, and its
// version. An empty version of m matches any version.
func (m Model) Matches(o Model) bool {
	return m.Name == o.Name && m.Adapter == o.Adapter && (m.Version == "" || m.Version == o.Version)
}

// matchesAny reports whether m matches one of ms.
func (m Model) matchesAny(ms []Model) bool {
	return slices.ContainsFunc(ms, m.Matches)
}

// matchedByAny reports whether one of ms matches m.
func (m Model) matchedByAny(ms []Model) bool {
	return slices.ContainsFunc(ms, func(o Model) bool { return o.Matches(m) })
}

// Engine is the last known state of one engine.
type Engine struct {
	Name       ident.Upstream
	Servable   []string // names of the models that the configuration allows on it
	Loaded     []Model
	InUse      []Model // models that generations use or wait for
	Leaving    bool
	StateKnown bool // Loaded was read after the last order to the engine
}

// Kind is the kind of an order.
type Kind string

// Kinds of orders, as they are named in the engines' interface.
const (
	Load        Kind = "load_model"
	Unload      Kind = "unload_model"
	LoadAdapter Kind = "load_adapter"
)

// Order tells one engine to load or unload a model.
type Order struct {
	Kind     Kind
	Upstream ident.Upstream
	Model    Model
}

// Planner derives orders for the engines of one failure domain. It does no I/O
// and is not safe for concurrent use.
type Planner struct {
	cfg         Settings
	domain      ident.Domain
	recentLoads []time.Time // start times of the loads within the window
	loading     map[target]time.Time
}

type target struct {
	upstream ident.Upstream
	model    Model
}

// New returns a planner for the engines of one failure domain.
func New(cfg Settings, domain ident.Domain) *Planner {
	setDefault(&cfg.MaxLoads, defaultMaxLoads)
	setDefault(&cfg.Window, unit.Duration(defaultWindow))
	setDefault(&cfg.MaxConcurrentLoads, defaultMaxConcurrentLoads)
	setDefault(&cfg.LoadTimeout, unit.Duration(defaultLoadTimeout))
	setDefault(&cfg.MaxModelsPerEngine, defaultMaxModelsPerEngine)
	return &Planner{cfg: cfg, domain: domain, loading: make(map[target]time.Time)}
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Plan returns the orders to send now. Loads that it returns count as started.
// An instance that newly holds the lease of the failure domain must use a new
// Planner and call ExhaustLoadRate first.
func (p *Planner) Plan(wanted []configuration.Placement, engines []Engine, now time.Time) []Order {
	p.updateLoads(engines, now)
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	var orders []Order
	for _, w := range wanted {
		if w.Domain == "" || w.Domain == p.domain {
			orders = append(orders, p.planLoads(w, engines, now)...)
		}
	}
	return append(orders, p.planUnloads(wanted, engines, orders)...)
}

// ExhaustLoadRate counts MaxLoads loads as started at now, since an earlier
// holder of the lease may have started as many.
func (p *Planner) ExhaustLoadRate(now time.Time) {
	for range p.cfg.MaxLoads {
		p.recentLoads = append(p.recentLoads, now)
	}
}

// updateLoads removes loads that the engines report as done, that have timed
// out, or that started before the window.
func (p *Planner) updateLoads(engines []Engine, now time.Time) {
	p.recentLoads = slices.DeleteFunc(p.recentLoads, func(t time.Time) bool { return now.Sub(t) >= p.cfg.Window.Std() })
	for t, at := range p.loading {
		if now.Sub(at) >= p.cfg.LoadTimeout.Std() || isLoaded(engines, t) {
			delete(p.loading, t)
		}
	}
}

func isLoaded(engines []Engine, t target) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool {
		return e.Name == t.upstream && t.model.matchesAny(e.Loaded)
	})
}

// planLoads returns orders to load one model until the wanted number of copies
// is reached.
func (p *Planner) planLoads(w configuration.Placement, engines []Engine, now time.Time) []Order {
	m := Model{w.Model, w.Version, w.Adapter}
	copies := 0
	for _, e := range engines {
		if p.hasOrLoads(e, m) && !e.Leaving {
			copies++
		}
	}
	var orders []Order
	for copies < w.Copies && p.mayLoad() {
		i := p.chooseEngine(engines, m)
		if i < 0 {
			break
		}
		kind := Load
		if m.Adapter != "" && (Model{Name: m.Name, Version: m.Version}).matchesAny(engines[i].Loaded) {
			kind = LoadAdapter
		}
		orders = append(orders, Order{kind, engines[i].Name, m})
		p.loading[target{engines[i].Name, m}] = now
		p.recentLoads = append(p.recentLoads, now)
		copies++
	}
	return orders
}

func (p *Planner) mayLoad() bool {
	return len(p.loading) < p.cfg.MaxConcurrentLoads && len(p.recentLoads) < p.cfg.MaxLoads
}

// hasOrLoads reports whether e has loaded m or is loading it.
func (p *Planner) hasOrLoads(e Engine, m Model) bool {
	_, loading := p.loading[target{e.Name, m}]
	return loading || m.matchesAny(e.Loaded)
}

// chooseEngine returns the index of the engine with the fewest models among
// those that may load m, or -1 if there is none.
func (p *Planner) chooseEngine(engines []Engine, m Model) int {
	best, fewest := -1, p.cfg.MaxModelsPerEngine
	for i, e := range engines {
		if !e.StateKnown || e.Leaving || !slices.Contains(e.Servable, m.Name) || p.hasOrLoads(e, m) {
			continue
		}
		if n := len(e.Loaded) + p.loadingOn(e.Name); n < fewest {
			best, fewest = i, n
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

// planUnloads returns orders to unload surplus copies of models from engines on
// which they are not in use. Of a model that is in use anywhere, at least one
// copy is kept.
func (p *Planner) planUnloads(wanted []configuration.Placement, engines []Engine, loads []Order) []Order {
	var orders []Order
	for _, m := range loadedModels(engines) {
		if !p.isPlaced(wanted, m) {
			continue
		}
		keep := max(p.wantedCopies(wanted, m), minCopies(engines, m))
		copies := countCopies(engines, m)
		for _, e := range engines {
			if copies <= keep {
				break
			}
			if !e.StateKnown || e.Leaving || hasOrder(loads, e.Name) || !slices.Contains(e.Loaded, m) || isNeeded(e, m) {
				continue
			}
			orders = append(orders, Order{Unload, e.Name, m})
			copies--
		}
	}
	return orders
}

// isPlaced reports whether a placement in this failure domain names the model.
// Models without a placement were loaded by other means and are never unloaded.
func (p *Planner) isPlaced(wanted []configuration.Placement, m Model) bool {
	return slices.ContainsFunc(wanted, func(w configuration.Placement) bool {
		return (w.Domain == "" || w.Domain == p.domain) && w.Model == m.Name
	})
}

func (p *Planner) wantedCopies(wanted []configuration.Placement, m Model) int {
	n := 0
	for _, w := range wanted {
		if (w.Domain == "" || w.Domain == p.domain) && (Model{w.Model, w.Version, w.Adapter}).Matches(m) {
			n += w.Copies
		}
	}
	return n
}

// minCopies returns 1 for a model that is in use anywhere in the failure domain,
// and 0 for others.
func minCopies(engines []Engine, m Model) int {
	if slices.ContainsFunc(engines, func(e Engine) bool { return m.matchedByAny(e.InUse) }) {
		return 1
	}
	return 0
}

// countCopies returns the number of copies of m on engines that are not leaving.
// Copies on an engine whose state was not read after the last order to it are
// not counted, since that order may have unloaded them.
func countCopies(engines []Engine, m Model) int {
	n := 0
	for _, e := range engines {
		if e.StateKnown && !e.Leaving && slices.Contains(e.Loaded, m) {
			n++
		}
	}
	return n
}

// isNeeded reports whether an engine runs work on m or has loaded an adapter of
// it.
func isNeeded(e Engine, m Model) bool {
	adapted := func(o Model) bool {
		return m.Adapter == "" && o.Adapter != "" && o.Name == m.Name && o.Version == m.Version
	}
	return m.matchedByAny(e.InUse) || slices.ContainsFunc(e.Loaded, adapted)
}

func loadedModels(engines []Engine) []Model {
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

func hasOrder(orders []Order, name ident.Upstream) bool {
	return slices.ContainsFunc(orders, func(o Order) bool { return o.Upstream == name })
}
