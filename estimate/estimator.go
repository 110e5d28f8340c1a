// Package estimate guesses how many tokens a request will cost.
//
// The cost of a request is its prompt tokens, weighted, and the tokens that it
// will produce. The latter are not known before, but workspaces ask alike things
// of a model: the estimate is a quantile of the past lengths of the workspace
// and model, followed by small steps, and is corrected as tokens come.
package estimate

import (
	"container/list"
	"math"
	"sync"

	"crocuslug/ident"
)

// Settings of an Estimator. The zero value takes the defaults.
type Settings struct {
	PromptWeight float64 // cost of a prompt token by that of a produced one; 0 means 0.1
	Quantile     float64 // share of answers that are to be no longer than estimated; 0 means 0.6
	Initial      float64 // tokens of an answer of which nothing is known; 0 means 400
	Pairs        int     // pairs of workspace and model remembered; 0 means 8192
}

// Defaults of Settings.
const (
	defaultPromptWeight = 0.1
	defaultQuantile     = 0.6
	defaultInitial      = 400
	defaultPairs        = 8192
)

// Estimator follows the lengths of answers. Its methods may be called from any
// goroutine.
type Estimator struct {
	mu     sync.Mutex
	cfg    Settings
	pairs  map[pair]*list.Element
	recent *list.List // of *length, most recently used first
}

type pair struct {
	workspace ident.Workspace
	model     string
}

type length struct {
	pair   pair
	tokens float64
	seen   int
}

// New returns an estimator that knows nothing.
func New(cfg Settings) *Estimator {
	if cfg.PromptWeight <= 0 {
		cfg.PromptWeight = defaultPromptWeight
	}
	if cfg.Quantile <= 0 || cfg.Quantile >= 1 {
		cfg.Quantile = defaultQuantile
	}
	if cfg.Initial <= 0 {
		cfg.Initial = defaultInitial
	}
	if cfg.Pairs <= 0 {
		cfg.Pairs = defaultPairs
	}
	return &Estimator{cfg: cfg, pairs: make(map[pair]*list.Element), recent: list.New()}
}

// Request is what a cost is estimated for.
type Request struct {
	Workspace    ident.Workspace
	Model        string
	PromptTokens int
	MaxTokens    int // greatest length of the answer; 0 means no bound
	Produced     int // tokens of the answer that are there already
}

// Cost returns the estimated cost of the rest of r in produced tokens. It is at
// least 1.
func (e *Estimator) Cost(r Request) float64 {
	return math.Max(1, e.cfg.PromptWeight*float64(r.PromptTokens)+e.Remaining(r))
}

// Spent returns the cost of an answer of n tokens to a prompt of p tokens.
func (e *Estimator) Spent(p, n int) float64 {
	return math.Max(1, e.cfg.PromptWeight*float64(p)+float64(n))
}

// Remaining returns the estimated number of tokens still to come. An answer that
// is longer than its estimate is expected to go on for half of what it has.
func (e *Estimator) Remaining(r Request) float64 {
	const growth = 1.5
	total := math.Max(e.expected(r), 0)
	if float64(r.Produced) >= total {
		total = growth * float64(r.Produced)
	}
	if r.MaxTokens > 0 {
		total = math.Min(total, float64(r.MaxTokens))
	}
	return math.Max(0, total-float64(r.Produced))
}

func (e *Estimator) expected(r Request) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	el, ok := e.pairs[pair{r.Workspace, r.Model}]
	if !ok {
		return e.cfg.Initial
	}
	e.recent.MoveToFront(el)
	return el.Value.(*length).tokens
}

// Note records an answer of n tokens that ended by itself.
func (e *Estimator) Note(w ident.Workspace, model string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := pair{w, model}
	el, ok := e.pairs[k]
	if !ok {
		el = e.recent.PushFront(&length{pair: k, tokens: e.cfg.Initial})
		e.pairs[k] = el
	}
	e.recent.MoveToFront(el)
	el.Value.(*length).follow(float64(n), e.cfg.Quantile)
	for len(e.pairs) > e.cfg.Pairs {
		last := e.recent.Back()
		e.recent.Remove(last)
		delete(e.pairs, last.Value.(*length).pair)
	}
}

// follow moves the estimate towards the quantile q by a factor, up if n is
// longer and down if it is not, in steps that shrink at first.
func (l *length) follow(n, q float64) {
	const smallest, first = 0.04, 0.5
	l.seen++
	step := math.Max(smallest, first/math.Sqrt(float64(l.seen)))
	if n > l.tokens {
		l.tokens *= math.Exp(step * q)
		return
	}
	l.tokens = math.Max(1, l.tokens*math.Exp(-step*(1-q)))
}
