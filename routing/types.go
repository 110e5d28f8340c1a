package routing

import (
	"time"

	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/unit"
)

// Settings of a Chooser. The zero value takes the defaults.
type Settings struct {
	Slots           int           // generations an upstream decodes at once, if it does not say; 0 means 64
	ReportHalfLife  unit.Duration // age at which a load report counts half; 0 means 2s
	PrefillRate     float64       // prompt tokens an engine reads per second; 0 means 8000
	BlockTokens     float64       // tokens in a block of the prefix cache; 0 means 64
	ServiceTime     unit.Duration // time that a slot is held by a generation of the mean length; 0 means 10s
	Congestion      unit.Duration // delay of a token that a full engine adds to an idle one's, over an answer; 0 means 1s
	MaxHops         int           // failure domains that a request may be spilled to; 0 means 1
	RoomExpiry      unit.Duration // age at which a Room is ignored; 0 means 20s
	FailurePenalty  unit.Duration // extra cost of an upstream right after a failure; 0 means 2s
	PenaltyHalfLife unit.Duration // time in which that cost halves; 0 means 2s
	AnswerTokens    float64       // tokens of an answer of the mean length; 0 means 400
	PaceHalfLife    unit.Duration // time in which an observed slowness halves; 0 means 10s
	FarCost         unit.Duration // expected delay by which an upstream that is not near must be better; 0 means that it is taken only when no near one has room
	LeastSaving     unit.Duration // time saved by a cached prefix below which it does not count; 0 means that any does
	Choices         int           // upstreams drawn at random for a choice; 0 means 2
}

// Defaults of Settings.
const (
	defaultSlots           = 64
	defaultReportHalfLife  = 2 * time.Second
	defaultPrefillRate     = 8000
	defaultBlockTokens     = 64
	defaultServiceTime     = 10 * time.Second
	defaultCongestion      = time.Second
	defaultMaxHops         = 1
	defaultRoomExpiry      = 20 * time.Second
	defaultFailurePenalty  = 2 * time.Second
	defaultPenaltyHalfLife = 2 * time.Second
	defaultAnswerTokens    = 400
	defaultPaceHalfLife    = 10 * time.Second
	defaultChoices         = 2
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
	setDuration(&cfg.RoomExpiry, defaultRoomExpiry)
	setDuration(&cfg.FailurePenalty, defaultFailurePenalty)
	setDuration(&cfg.PenaltyHalfLife, defaultPenaltyHalfLife)
	setDuration(&cfg.PaceHalfLife, defaultPaceHalfLife)
	return cfg
}

func setDuration(d *unit.Duration, v time.Duration) {
	if *d <= 0 {
		*d = unit.Duration(v)
	}
}

// Model names what a request needs an engine to hold. An empty Version or
// Adapter in a request is met by any. The zero value is met by all upstreams.
type Model struct {
	Name    string
	Version string
	Adapter string
}

// Candidate is an upstream of the own failure domain.
type Candidate struct {
	Upstream ident.Upstream
	Slots    int          // generations that it decodes at once; 0 means the default
	Models   []Model      // models at hand
	Leaving  bool         // takes no new work
	Domain   ident.Domain // failure domain; needed only for Request.Apart
	Near     bool         // belongs to the instance's subset and is polled
	Own      bool         // belongs to the instance's share; needed only for Request.Paced
}

// Report is the load that an upstream reported.
type Report struct {
	Upstream ident.Upstream
	At       time.Time // when the load was so: time of receipt less the report's age
	Running  int
	Waiting  int
	Slots    int // 0 if not told
}

// Room is the capacity that another failure domain reported.
type Room struct {
	Domain ident.Domain
	Free   int // free slots there
	At     time.Time
}

// Request is what a choice is made for.
type Request struct {
	ID           ident.Request
	Model        Model
	Blocks       []prefix.Block   // blocks of the prompt
	Sizes        []int            // tokens of each of Blocks; nil means Settings.BlockTokens each
	PromptTokens int              // tokens to read, for a resume with those produced
	Exclude      []ident.Upstream // never chosen, such as engines just lost
	Only         ident.Upstream   // if set, no other is chosen
	Apart        ident.Domain     // if set, none in this failure domain is chosen
	Resumed      bool             // continues an answer that was lost
	Paced        bool             // one of many that wait: only an upstream is chosen where no prompt is read, of the own share or idle for a while
	Spare        float64          // part of an upstream's slots that must be free
	MostBacklog  time.Duration    // if set, none is chosen that takes longer to read the prompts that it has
	Shared       bool             // with MostBacklog, none outside of the own share that has any
	Visited      []ident.Domain   // failure domains that it was spilled from, in order
}

// Kind tells what to do with a request.
type Kind int

// Kinds of decisions.
const (
	NoUpstream Kind = iota // nothing in reach serves the request
	Send                   // send it to Upstream; it counts as in flight until Done or Failed
	Wait                   // all that serve it are full or too busy; keep it queued
	SpillTo                // pass it to Domain, with the own domain added to Visited
)

// Decision is the answer to a request.
type Decision struct {
	Kind        Kind
	Upstream    ident.Upstream
	Domain      ident.Domain
	SavedTokens float64 // prompt tokens expected in the upstream's prefix cache
}
