package routing

import (
	"fmt"
	"time"

	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/unit"
)

// Settings configures a Chooser. Zero fields take the defaults.
type Settings struct {
	Slots            int           // generations that an upstream decodes concurrently, if it does not report it; 0 means 64
	ReportHalfLife   unit.Duration // age at which the weight of a load report has halved; 0 means 2s
	PrefillRate      float64       // prompt tokens that an engine reads per second; 0 means 8000
	BlockTokens      float64       // tokens in a block of the prefix cache; 0 means 64
	ServiceTime      unit.Duration // time for which a generation of mean length occupies a slot; 0 means 10s
	Congestion       unit.Duration // extra time that an answer takes on a full engine compared with an idle one; 0 means 1s
	MaxHops          int           // number of times that a request may be passed to another failure domain; 0 means 1
	CapacityExpiry   unit.Duration // age at which a DomainCapacity is ignored; 0 means 20s
	FailurePenalty   unit.Duration // extra cost of an upstream right after a failure; 0 means 2s
	PenaltyHalfLife  unit.Duration // time in which that extra cost halves; 0 means 2s
	AnswerTokens     float64       // mean number of tokens of an answer; 0 means 400
	SlownessHalfLife unit.Duration // time in which the weight of observed slowness halves; 0 means 10s
	FarCost          unit.Duration // advantage in delay that an upstream that is not near must have; 0 means it is used only if no near one has capacity
	MinSaving        unit.Duration // time saved by a cached prefix below which it is ignored; 0 means that none is ignored
	AnswerTime       unit.Duration // time that a mean answer takes longer at an upstream of twice the median pace, as far as it counts; 0 means that only the waits count
	Choices          int           // number of upstreams sampled at random for a choice; 0 means 2
}

// Defaults of Settings.
const (
	defaultSlots            = 64
	defaultReportHalfLife   = 2 * time.Second
	defaultPrefillRate      = 8000
	defaultBlockTokens      = 64
	defaultServiceTime      = 10 * time.Second
	defaultCongestion       = time.Second
	defaultMaxHops          = 1
	defaultCapacityExpiry   = 20 * time.Second
	defaultFailurePenalty   = 2 * time.Second
	defaultPenaltyHalfLife  = 2 * time.Second
	defaultAnswerTokens     = 400
	defaultSlownessHalfLife = 10 * time.Second
	defaultChoices          = 2
)

func (cfg Settings) withDefaults() Settings {
	if cfg.Slots <= 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.PrefillRate <= 0 {
		cfg.PrefillRate = defaultPrefillRate
	}
	if cfg.BlockTokens <= 0 {
		cfg.BlockTokens = defaultBlockTokens
	}
	if cfg.AnswerTokens <= 0 {
		cfg.AnswerTokens = defaultAnswerTokens
	}
	if cfg.Choices <= 0 {
		cfg.Choices = defaultChoices
	}
	if cfg.MaxHops <= 0 {
		cfg.MaxHops = defaultMaxHops
	}
	setDuration(&cfg.ReportHalfLife, defaultReportHalfLife)
	setDuration(&cfg.ServiceTime, defaultServiceTime)
	setDuration(&cfg.Congestion, defaultCongestion)
	setDuration(&cfg.CapacityExpiry, defaultCapacityExpiry)
	setDuration(&cfg.FailurePenalty, defaultFailurePenalty)
	setDuration(&cfg.PenaltyHalfLife, defaultPenaltyHalfLife)
	setDuration(&cfg.SlownessHalfLife, defaultSlownessHalfLife)
	return cfg
}

func setDuration(d *unit.Duration, v time.Duration) {
	if *d <= 0 {
		*d = unit.Duration(v)
	}
}

// Model is what an engine must have loaded for a request. An empty Version or Adapter in a
// request matches any. The zero value matches all upstreams.
type Model struct {
	Name    string
	Version string
	Adapter string
}

// Candidate is an upstream that requests may be sent to.
type Candidate struct {
	Upstream ident.Upstream
	Slots    int          // generations that it decodes concurrently; 0 means the default
	Models   []Model      // loaded models
	Leaving  bool         // accepts no new work
	Domain   ident.Domain // failure domain; needed only for Request.ExcludeDomain
	Near     bool         // in this instance's subset, whose load is polled
	Build    ident.Build  // version of its software; needed only for Request.Build and Request.ExcludeBuild
	InShare  bool         // in this instance's share; needed only for Request.RequireIdle and Request.RespectShares
}

// Report is the load reported by an upstream.
type Report struct {
	Upstream ident.Upstream
	At       time.Time // time of the reported load: time of receipt minus age of the report
	Running  int
	Waiting  int
	Slots    int // 0 if not reported
}

// maxReported is the largest number of requests or slots of one upstream that is believed.
const maxReported = 1 << 20

// check returns an error if no upstream can have the numbers of r.
func (r *Report) check() error {
	for _, n := range []int{r.Running, r.Waiting, r.Slots} {
		if n < 0 || n > maxReported {
			return fmt.Errorf("load of %d running and %d waiting requests and %d slots: want 0 to %d of each", r.Running, r.Waiting, r.Slots, maxReported)
		}
	}
	return nil
}

// DomainCapacity is the free capacity reported by another failure domain.
type DomainCapacity struct {
	Domain ident.Domain
	Free   int // free slots there
	At     time.Time
}

// Request describes the request that an upstream is chosen for.
type Request struct {
	ID            ident.Request
	Model         Model
	Blocks        []prefix.Block   // blocks of the prompt
	Sizes         []int            // tokens of each of Blocks; nil means Settings.BlockTokens each
	PromptTokens  int              // tokens to read; for a resumed request including those generated before
	Exclude       []ident.Upstream // upstreams not to be chosen, such as engines just lost
	Only          ident.Upstream   // if set, no other upstream is chosen
	ExcludeDomain ident.Domain     // if set, no upstream of this failure domain is chosen
	Build         *ident.Build     // if not nil, only upstreams of this build are chosen, and none if it is ""
	ExcludeBuild  ident.Build      // if set, no upstream of this build is chosen
	Resumed       bool             // continues an answer that was interrupted
	// RequireIdle limits the choice to upstreams without unread prompt tokens that are in
	// this instance's share or have been idle for a while. It is set for requests that
	// wait together with others.
	RequireIdle  bool
	MinFreeShare float64 // fraction of the upstream's slots that must be free
	// MaxBacklog, if set, is the longest time that the upstream may need to read the
	// prompts already sent to it.
	MaxBacklog time.Duration
	// RespectShares, with MaxBacklog, excludes upstreams outside of this instance's share
	// that have any unread prompt tokens.
	RespectShares bool
	// Fits, if set, reports whether an upstream has room for the request. It is called with the
	// Chooser locked.
	Fits    func(u ident.Upstream) bool
	Visited []ident.Domain // failure domains that passed the request on, in order
}

// Kind is what to do with a request.
type Kind int

// Kinds of decisions.
const (
	NoUpstream Kind = iota // no available upstream serves the request
	Send                   // send it to Upstream, where it counts as in flight until Done or Failed is called
	Wait                   // all upstreams that serve it are full or busy; keep it queued
	SpillTo                // pass it to Domain, with this failure domain added to Visited
)

// Decision is the result of a choice.
type Decision struct {
	Kind        Kind
	Upstream    ident.Upstream
	Domain      ident.Domain
	SavedTokens float64 // prompt tokens expected to be in the prefix cache of the upstream
}
