// Package estimate estimates the cost of requests in tokens.
//
// The cost of a request is the weighted number of its prompt tokens plus the number
// of tokens that it will produce. The latter is not known in advance, but requests of
// one workspace to one model tend to have answers of similar length. The estimate is
// a quantile of the past lengths for that workspace and model. It is tracked online
// in small steps and raised when an answer becomes longer than expected.
package estimate

import (
	"container/list"
	"math"
	"sync"

	"crocuslug/ident"
)

// Settings configures an Estimator. Zero values are replaced by defaults.
type Settings struct {
	PromptWeight  float64 // cost of a prompt token relative to a produced one; 0 means 0.1
	Quantile      float64 // fraction of answers that should not be longer than estimated; 0 means 0.6
	InitialTokens float64 // estimated tokens of an answer without past answers; 0 means 400
	MaxPairs      int     // pairs of workspace and model that are kept; 0 means 8192
}

// Defaults of Settings.
const (
	defaultPromptWeight  = 0.1
	defaultQuantile      = 0.6
	defaultInitialTokens = 400
	defaultMaxPairs      = 8192
)

// Estimator estimates costs from the lengths of past answers. Its methods are safe
// for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	cfg      Settings
	elements map[pair]*list.Element
	recent   *list.List // of *lengthEstimate, most recently used first
}

// pair identifies the answers of one model to one workspace.
type pair struct {
	workspace ident.Workspace
	model     string
}

// lengthEstimate is the current estimate for one pair.
type lengthEstimate struct {
	pair    pair
	tokens  float64
	samples int
}

// New returns an estimator without past answers.
func New(cfg Settings) *Estimator {
	if cfg.PromptWeight <= 0 {
		cfg.PromptWeight = defaultPromptWeight
	}
	if cfg.Quantile <= 0 || cfg.Quantile >= 1 {
		cfg.Quantile = defaultQuantile
	}
	if cfg.InitialTokens <= 0 {
		cfg.InitialTokens = defaultInitialTokens
	}
	if cfg.MaxPairs <= 0 {
		cfg.MaxPairs = defaultMaxPairs
	}
	return &Estimator{cfg: cfg, elements: make(map[pair]*list.Element), recent: list.New()}
}

// Request describes a request whose cost is estimated.
type Request struct {
	Workspace    ident.Workspace
	Model        string
	PromptTokens int
	MaxTokens    int // largest length of the answer; 0 means no bound
	Produced     int // tokens of the answer that have been produced already
}

// Cost returns the estimated remaining cost of r, in units of produced tokens. It is
// at least 1.
func (e *Estimator) Cost(r Request) float64 {
	return math.Max(1, e.cfg.PromptWeight*float64(r.PromptTokens)+e.Remaining(r))
}

// ActualCost returns the cost of a finished request, in units of produced tokens. It is
// at least 1.
func (e *Estimator) ActualCost(promptTokens, producedTokens int) float64 {
	return math.Max(1, e.cfg.PromptWeight*float64(promptTokens)+float64(producedTokens))
}

// Remaining returns the estimated number of tokens still to be produced. An answer
// that has reached its estimated length is expected to grow by another half of its
// current length.
func (e *Estimator) Remaining(r Request) float64 {
	const growth = 1.5
	total := math.Max(e.expectedTokens(r), 0)
	if float64(r.Produced) >= total {
		total = growth * float64(r.Produced)
	}
	if r.MaxTokens > 0 {
		total = math.Min(total, float64(r.MaxTokens))
	}
	return math.Max(0, total-float64(r.Produced))
}

// expectedTokens returns the estimated length of the whole answer.
func (e *Estimator) expectedTokens(r Request) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	el, ok := e.elements[pair{r.Workspace, r.Model}]
	if !ok {
		return e.cfg.InitialTokens
	}
	e.recent.MoveToFront(el)
	return el.Value.(*lengthEstimate).tokens
}

// Record updates the estimate with a complete answer of n tokens. Answers that were cut
// off must not be recorded.
func (e *Estimator) Record(w ident.Workspace, model string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := pair{w, model}
	el, ok := e.elements[k]
	if !ok {
		el = e.recent.PushFront(&lengthEstimate{pair: k, tokens: e.cfg.InitialTokens})
		e.elements[k] = el
	}
	e.recent.MoveToFront(el)
	el.Value.(*lengthEstimate).update(float64(n), e.cfg.Quantile)
	for len(e.elements) > e.cfg.MaxPairs {
		last := e.recent.Back()
		e.recent.Remove(last)
		delete(e.elements, last.Value.(*lengthEstimate).pair)
	}
}

// update moves the estimate towards the quantile q. It multiplies the estimate by a factor
// above 1 if n is larger and below 1 otherwise. The steps shrink over the first samples.
func (l *lengthEstimate) update(n, q float64) {
	const minStep, firstStep = 0.04, 0.5
	l.samples++
	step := math.Max(minStep, firstStep/math.Sqrt(float64(l.samples)))
	if n > l.tokens {
		l.tokens *= math.Exp(step * q)
		return
	}
	l.tokens = math.Max(1, l.tokens*math.Exp(-step*(1-q)))
}
