package admission

import (
	"time"

	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/unit"
)

// Priority orders requests. Lower values go first.
type Priority int

// Priorities. Resumed continues an answer that was lost.
const (
	Urgent Priority = iota
	Resumed
	Normal
	Batch
	priorities
)

// Settings of a Queue. The zero value takes the defaults.
type Settings struct {
	MaxItems      int           // requests that wait, but for resumed ones; 0 means 512
	MaxCost       float64       // their cost in tokens; 0 means 400000
	MaxResumed    int           // resumed requests that wait; 0 means 8192
	ResumedBypass int           // grants that may go past waiting resumed requests; 0 means 8, at least 4
	NormalBypass  int           // grants that may go past waiting normal requests; 0 means 32, at least 4
	BatchBypass   int           // grants that may go past waiting batch requests; 0 means 128, at least 4
	Window        unit.Duration // time over which the drain rate is taken; 0 means 1s
	Margin        float64       // factor by which an estimated wait is taken to be longer; 0 means 1.5
	MinRetry      unit.Duration // least RetryAfter; 0 means 500ms
	MaxRetry      unit.Duration // greatest RetryAfter; 0 means 1m
	Seed          uint64        // spreads the RetryAfter of instances
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

func setInt(n *int, byDefault, least int) {
	if *n <= 0 {
		*n = byDefault
	}
	*n = max(*n, least)
}

func setDuration(d *unit.Duration, v time.Duration) {
	if *d <= 0 {
		*d = unit.Duration(v)
	}
}

// Limits are what a workspace may use at this instance now.
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
	Deadline  time.Time // when it must have started; zero means never
}

// Grant lets a request start. It counts as running until Finish.
type Grant struct {
	Item
	Waited time.Duration
}

// Answer is the final answer to a request that will not start.
type Answer struct {
	ID  ident.Generation
	Err *result.Error
}
