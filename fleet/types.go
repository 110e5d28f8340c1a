package fleet

import (
	"time"

	"crocuslug/enginememory"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/routing"
)

// Settings configures a Fleet. Zero fields take the defaults.
type Settings struct {
	Self    ident.Instance // this instance; needed only for SetInstances
	Domain  ident.Domain   // failure domain of this instance
	Routing routing.Settings
	Health  health.Settings
	// ByMemory has the requests of services with a memory counted in tokens, see package
	// enginememory. Otherwise the number of slots follows from their mean size.
	ByMemory bool
	// KeepShares, with ByMemory, has instances keep to their shares of the engines once much memory is used.
	KeepShares bool
}

// defaultChoices is the number of upstreams sampled for a choice. Counts of requests
// in flight are exact for this instance and recent for the others, so three samples
// instead of two do not make instances converge on the same upstream.
const defaultChoices = 3

// defaultPrefillRate is the number of prompt tokens that an engine reads per second,
// as specified in the platform's data sheets.
const defaultPrefillRate = 5000

// defaultFarCost prefers an upstream of this failure domain until it has about two
// requests more than one in another domain. A run in this domain survives a partition
// from the other domains, and its copy in another domain survives the loss of this one.
const defaultFarCost = 200 * time.Millisecond

// defaultMinSaving is the time that a cached prompt prefix must save to influence
// the choice. A prefix common to all prompts is soon cached everywhere; if it counted,
// many requests would go to the few upstreams that cached it first.
const defaultMinSaving = 100 * time.Millisecond

// defaultAnswerTime is half of the time of a usual answer: its first piece counts for more than its end.
const defaultAnswerTime = 2 * time.Second

// maxSharingInstances is the number of instances in a failure domain up to which each
// receives the load of the others several times a second. Up to this number, an
// instance uses an upstream of another instance's share only if it has no prompts to
// read; with more instances the load reports are too old to tell.
const maxSharingInstances = 12

// Outcome is how a request ended at an upstream.
type Outcome int

// Outcomes of requests.
const (
	Served    Outcome = iota // answered, or ended for a reason unrelated to the upstream
	Failed                   // connection broken, time limit exceeded or invalid answer
	Dead                     // no connection could be made
	Replaced                 // another upstream now has its address
	Abandoned                // the caller disconnected; gives no information about the upstream
)

// PickRequest describes the request that an upstream is chosen for.
type PickRequest struct {
	Service ident.Service
	Tokens  int              // tokens of memory that the request needs at a model engine; 0 if unknown
	Blocks  []prefix.Block   // blocks of the prompt
	Sizes   []int            // tokens of each of Blocks
	Exclude []ident.Upstream // upstreams not to be chosen
	Build   *ident.Build     // if not nil, only upstreams of this build are chosen, and none if it is ""

	ExcludeBuild ident.Build // if set, no upstream of this build is chosen

	ExcludeDomain ident.Domain // if set, no upstream of this failure domain is chosen
	AllowFull     bool         // a full upstream may be chosen
	// RequireIdle limits the choice to upstreams without unread prompt tokens that are in
	// this instance's share or have been idle for a while. It is set for requests that
	// wait together with others.
	RequireIdle  bool
	MinFreeShare float64 // fraction of the upstream's slots that must be free
	// MaxBacklog, if set, is the longest time that the upstream may need to read the
	// prompts already sent to it.
	MaxBacklog time.Duration
	// UnreadTokens is added to the unread prompt tokens of the chosen upstream.
	// AddUnreadTokens subtracts them again.
	UnreadTokens int
	// Claim names the request, or the copy of its run, while it uses memory of an upstream. It
	// is needed only with Settings.ByMemory.
	Claim enginememory.Claim
	Copy  bool // the request stores a copy of a run
	// Yields is set for a less urgent request, which leaves the room that urgent ones need.
	Yields bool
}
