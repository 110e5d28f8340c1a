package emulator

import "time"

// Policy is the policy by which instances choose engines.
type Policy int

// Policies. Those below Random vary one element of Fleet; Random and those after it
// are naive policies that make no copies of runs.
const (
	Fleet               Policy = iota // the project's fleet package, with copies of runs in other failure domains
	FleetWithoutPrompts               // Fleet, but without knowledge of which engine has cached which prompt
	FleetRushingReturns               // Fleet, but waiting requests go to the first engines that return, idle or not
	FleetLateAsNew                    // Fleet, but streams that are late anyway are treated like new ones
	FleetWithoutQueue                 // Fleet, but new requests skip the queue regardless of the engines' backlog
	Random                            // any registered engine
	LeastLoaded                       // the engine with the lowest load in the last report
	PromptHash                        // one fixed engine for all requests with the same prompt
	SameDomain                        // any registered engine of the instance's own failure domain
)

// Scenario describes a deployment and its load.
type Scenario struct {
	Domains           int             // number of failure domains
	Engines           int             // engines in each failure domain
	Instances         int             // instances in each failure domain
	RequestsPerSecond float64         // requests per second over all instances
	PromptTokens      int             // prompt tokens of a request
	Events            int             // events of an answer
	CacheTokens       int             // tokens that an engine can cache
	Duration          time.Duration   // period in which requests arrive
	Surge             Surge           // period with a higher request rate
	HotPromptShare    float64         // share of the requests that have the same prompt
	ShiftedShare      float64         // share of the requests that are moved to the first failure domain
	CallerTimeout     time.Duration   // time without an event after which a caller disconnects; 0 means never
	MaxFirstEvent     time.Duration   // longest time to the first event that counts as on time
	MaxPause          time.Duration   // longest time between events that counts as on time
	InstanceKills     []time.Duration // times at which one instance of each domain is killed; its callers retry at another there
	RestartAt         time.Duration   // time at which all instances start again; their callers retry at any instance; 0 means never
	BurstAt           time.Duration   // time at which one additional request for every ten arrives at once; 0 means no burst
}

// Surge is a period in which requests arrive at a multiple of the usual rate.
type Surge struct {
	At       time.Duration
	Duration time.Duration
	Factor   float64 // multiple of the usual rate
}

// Loss is the simultaneous loss of the engines of one or all failure domains.
type Loss struct {
	At           time.Duration
	Domain       int
	AllDomains   bool // engines of all failure domains are lost
	Duration     time.Duration
	ReturnSpread time.Duration // period over which the engines return at random once Duration has passed
	Silent       bool          // connections fall silent instead of being reset
}

// Figures are the results of a run.
type Figures struct {
	Requests           int
	Late               int           // requests whose first event or any later event came too late
	Unfinished         int           `json:"Unended"` // requests without a complete answer
	Refused            int           // requests refused on the first attempt and on the only retry
	PromptTokensRead   int           `json:"Read"`  // prompt tokens that engines read
	RereadShare        float64       `json:"Again"` // prompt tokens read more than once, relative to one reading of each prompt
	FirstP95           time.Duration // 95th percentile of the time to the first event
	PauseP95           time.Duration // 95th percentile of the longest wait of each caller for an event, the first included
	MaxConcurrentReads int           `json:"MostReads"` // highest number of prompts that one engine read at once
}
