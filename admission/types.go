package admission

import (
	"time"

	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/unit"
)

// Priority is the priority of a request. Lower values are served first.
type Priority int

// Priorities of requests. Resumed is for requests that continue an answer whose
// stream was lost.
const (
	Urgent Priority = iota
	Resumed
	Normal
	Batch
	priorities
)

// Settings configures a Queue. Zero values are replaced by defaults.
type Settings struct {
	MaxItems      int           // bound on waiting requests other than resumed ones; 0 means 512
	MaxCost       float64       // bound on their total cost in tokens; 0 means 400000
	MaxResumed    int           // bound on waiting resumed requests; 0 means 8192
	ResumedBypass int           // grants that may bypass waiting resumed requests; 0 means 8, at least 4
	NormalBypass  int           // grants that may bypass waiting normal requests; 0 means 32, at least 4
	BatchBypass   int           // grants that may bypass waiting batch requests; 0 means 128, at least 4
	Window        unit.Duration // window in which the drain rate is measured; 0 means 1s
	Margin        float64       // safety factor on estimated waits; 0 means 1.5
	MinRetry      unit.Duration // least RetryAfter; 0 means 500ms
	MaxRetry      unit.Duration // greatest RetryAfter; 0 means 1m
	Seed          uint64        // makes the RetryAfter for a request differ between instances
}

// Defaults of Settings.
const (
	defaultMaxItems      = 512
	defaultMaxCost       = 400_000
	defaultMaxResumed    = 8192
	defaultResumedBypass = 8
	defaultNormalBypass  = 32
	defaultBatchBypass   = 128
	minBypass            = int(priorities)
	defaultWindow        = time.Second
	defaultMargin        = 1.5
	defaultMinRetry      = 500 * time.Millisecond
	defaultMaxRetry      = time.Minute
)

func (cfg Settings) withDefaults() Settings {
	setInt(&cfg.MaxItems, defaultMaxItems, 1)
	setInt(&cfg.MaxResumed, defaultMaxResumed, 1)
	setInt(&cfg.ResumedBypass, defaultResumedBypass, minBypass)
	setInt(&cfg.NormalBypass, defaultNormalBypass, minBypass)
	setInt(&cfg.BatchBypass, defaultBatchBypass, minBypass)
	if cfg.MaxCost <= 0 {
		cfg.MaxCost = defaultMaxCost
	}
	if cfg.Margin <= 0 {
		cfg.Margin = defaultMargin
	}
	setDuration(&cfg.Window, defaultWindow)
	setDuration(&cfg.MinRetry, defaultMinRetry)
	setDuration(&cfg.MaxRetry, defaultMaxRetry)
	return cfg
}

// setInt replaces a value of 0 or less by the default and raises it to at least
// the minimum.
func setInt(n *int, byDefault, minimum int) {
	if *n <= 0 {
		*n = byDefault
	}
	*n = max(*n, minimum)
}

// setDuration replaces a value of 0 or less by v.
func setDuration(d *unit.Duration, v time.Duration) {
	if *d <= 0 {
		*d = unit.Duration(v)
	}
}

// Limits are the current limits of a workspace at this instance.
type Limits struct {
	Share      float64 // weight in fair sharing; 0 means 1
	Concurrent int     // requests that may run at once; 0 means no limit, negative means none
}

// Item is a request that asks for admission.
type Item struct {
	ID        ident.Generation
	Workspace ident.Workspace
	Priority  Priority
	Cost      float64   // estimated cost in tokens, at least 1
	Deadline  time.Time // latest start; the zero time means no deadline
}

// Grant allows a request to start. The request counts as running until Finish.
type Grant struct {
	Item
	Waited time.Duration // time spent in the queue
}

// Refusal is the final error of a request that will not start.
type Refusal struct {
	ID  ident.Generation
	Err *result.Error
}
