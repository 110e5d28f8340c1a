package emulator

import "time"

// Rule is how instances choose engines.
type Rule int

// Rules.
const (
	Fleet    Rule = iota // the project's own choice, with copies of runs in other failure domains
	Unaware              // the same, but nobody knows which engine has read which prompt
	Rushing              // the same, but what waits for engines goes to the first that are back
	Crowding             // the same, but new requests are sent at once, however much engines have to read
	Random               // any registered engine, without copies
	Least                // the engine with the least load in the last report, without copies
	Bound                // one engine for all requests of the same prompt
	Home                 // any registered engine of the own failure domain, without copies
)

// Shape is a deployment and its load.
type Shape struct {
	Domains   int
	Engines   int             // in each failure domain
	Instances int             // in each failure domain
	Rate      float64         // requests a second, over all
	Prompt    int             // tokens
	Pieces    int             // events of an answer
	Memory    int             // tokens that an engine holds
	Length    time.Duration   // in which requests come
	Surge     Surge           // more requests for a while
	Hot       float64         // part of the requests that have one and the same prompt
	Shifted   float64         // part of the callers of other failure domains that come to the first one
	Leaves    time.Duration   // silence after which a caller leaves; 0 means never
	Objective time.Duration   // to the first event
	Pause     time.Duration   // longest one between events that is on time
	Kills     []time.Duration // when one instance of each failure domain is killed; its callers go on at another one there
	Burst     time.Duration   // at the start of which a tenth of all requests come at once; 0 means none
}

// Surge is a time in which requests come more often.
type Surge struct {
	At     time.Duration
	For    time.Duration
	Factor float64 // of the usual rate
}

// Loss is the loss of the engines of a failure domain.
type Loss struct {
	At     time.Duration
	Domain int
	All    bool // of all failure domains
	For    time.Duration
	Spread time.Duration // over which they come back after that
	Dark   bool          // connections fall silent and are not reset
}

// Figures are what callers got.
type Figures struct {
	Requests  int
	Late      int     // whose first event was late, or that had a long pause
	Unended   int     // whose caller left, or that have no end
	Refused   int     // twice; a caller comes back once
	Read      int     // tokens of prompts read
	Again     float64 // part of them that was read before
	FirstP95  time.Duration
	PauseP95  time.Duration // of the longest pause that each caller sees, the wait for the first event included
	MostReads int           // prompts read at one engine at once, at the most
}
