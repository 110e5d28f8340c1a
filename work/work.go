// Package work describes the requests of callers and the attempts to send them to
// upstreams.
//
// It contains data types only. The adapter to a platform converts them from and to its
// wire format; package dispatch bases its decisions on them.
package work

import (
	"net/http"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/poison"
	"crocuslug/prefix"
)

// Description is what a caller states about its request beyond the fields of the HTTP
// protocol.
type Description struct {
	ID           ident.Request
	Key          string        // key of the workspace; "" if there is none
	MaxWait      time.Duration // longest time that the caller waits; used if HasMaxWait
	HasMaxWait   bool
	LastPiece    uint64 // number of the last piece that the caller has
	Resumes      bool
	Origin       ident.Request // attempt of the caller that brought the first piece; "" if not stated
	PromptTokens int           // tokens of the prompt; 0 if the request is not for a model
	Tokens       int           // upper bound of prompt and answer together
	Model        string
	Parts        []prefix.Part // parts of the prompt, in order; nil if the caller does not state them
}

// Work is a request to be answered.
type Work struct {
	ID           ident.Request
	Route        *directory.Route
	Service      *directory.Service
	Workspace    ident.Workspace
	Deadline     time.Time      // end of the time allowed by the caller or the route
	Fingerprint  uint64         // hash of caller, path, prompt and body; equal for equal content
	PromptTokens int            // tokens of the prompt; 0 if the request is not for a model
	Tokens       int            // upper bound of prompt and answer together
	Blocks       []prefix.Block // names of the parts of the prompt, each with those before it
	Sizes        []int          // tokens of each of Blocks
	Parts        []prefix.Part  // parts of the prompt as the caller names them
	Shared       []poison.Part  // parts of the prompt that other requests may share
	LastPiece    uint64         // number of the last piece that the caller has
	Resumes      bool           // LastPiece was given
	Origin       ident.Request  // attempt of the caller that brought the first piece; "" if not stated
	Priority     int            // 0 is the most urgent

	Method string
	Target string // path and query, verbatim
	Host   string
	Header http.Header // as sent by the caller, without the headers of its connection
	Body   []byte
	More   [][]byte // of the body, after Body

	// Take and Give take memory for the answer and return it, see exchange.Request. They are nil if it is
	// not bounded.
	Take func(n int64) error
	Give func(n int64)
}

// Copy is a copy of the memory of a run, stored by another engine than the one that runs it.
type Copy struct {
	Holder  ident.Upstream
	Address string // address of Holder
	Owner   string // address under which the copy is registered
	Name    string // name of the copy at Owner
}

// Move asks the engine of a run to copy the memory of the run to another engine. The run
// continues meanwhile.
type Move struct {
	Run ident.Request
	To  string // address of the other engine
}

// Attempt is one attempt to send a request to an upstream.
type Attempt struct {
	Upstream   directory.Upstream
	Remaining  time.Duration // time within which the upstream must answer
	LastPiece  uint64        // number of the last piece delivered to the caller
	Resumes    bool          // the answer is to start after LastPiece
	ResumeFrom *Copy         // copy to resume from, or nil
	Rank       int           // rank in the queue of the upstream, 0 to 9; 0 is served first
	CopyTo     string        // address of the engine that is to store a copy, or ""
}

// Protocol converts requests and answers to and from the wire format of upstreams.
type Protocol struct {
	// Header returns the header of an attempt.
	Header func(w *Work, attempt *Attempt) http.Header
	// Matches reports whether an answer with header h belongs to w.
	Matches func(w *Work, h http.Header) bool
	// NotRun reports whether an answer states that the upstream did not run the request.
	NotRun func(status int, h http.Header) bool
	// Replaced reports whether an answer states that another upstream now has the
	// address.
	Replaced func(status int, h http.Header) bool
	// UpstreamID returns the upstream that an answer to a health check, or one for which Replaced is
	// true, says it comes from, or "" if it does not name it.
	UpstreamID func(h http.Header) ident.Upstream
	// ProbePath is a path at which a live model engine answers at once. If it is empty,
	// no probes are sent.
	ProbePath string
	// CopyRequest returns the target and the body of the call that creates a copy. It may be
	// nil, and then no calls are made.
	CopyRequest func(m Move) (target string, body []byte)
	// CopyName returns the name of the copy that such a call has created.
	CopyName func(status int, body []byte) (name string, ok bool)
	// DropTarget returns the target of the call that deletes a copy created by CopyRequest.
	DropTarget func(name string) (target string)
	// Limit returns, as text, the requests a second that an answer says its upstream takes from all
	// instances together, or "". It may be nil, and then no answer says so.
	Limit func(h http.Header) string
	// Rest returns, as text, the seconds for which an upstream that answers with status 503 wants no
	// requests from this instance, or "". It may be nil, and then no answer says so.
	Rest func(h http.Header) string
	// Leaving reports whether an answer states that its upstream is leaving. It may be nil, and then no
	// answer states it.
	Leaving func(h http.Header) bool
	// Signed reports whether an answer carries the signature of an upstream.
	Signed func(h http.Header) bool
}

// Prompt is a prompt that was sent to an upstream.
type Prompt struct {
	Upstream ident.Upstream
	Blocks   []prefix.Block
}

// Load is the load that one instance, or several, have at an upstream.
type Load struct {
	Requests int
	Reading  int `json:",omitempty"` // prompt tokens of these requests that are not read yet
	Tokens   int `json:",omitempty"` // memory of these requests in tokens; 0 if the instance does not count it
	// Untold is, in a sum over instances, the number of requests of those that do not count the
	// memory.
	Untold int `json:"-"`
}

// Plus returns the sum of a and the load of one further instance.
func (a Load) Plus(one Load) Load {
	sum := Load{Requests: a.Requests + one.Requests, Reading: a.Reading + one.Reading, Tokens: a.Tokens + one.Tokens, Untold: a.Untold}
	if one.Tokens == 0 {
		sum.Untold += one.Requests
	}
	return sum
}

// Aged returns a load after a time in which an engine reads prompts at a rate in tokens per second.
func (a Load) Aged(rate float64, age time.Duration) Load {
	a.Reading = max(0, a.Reading-int(rate*age.Seconds()))
	return a
}

// Demand is the demand of one instance, or several, for the memory of the engines of a service, in
// tokens.
type Demand struct {
	Started int `json:",omitempty"` // of the requests sent per second
	Urgent  int `json:",omitempty"` // of the urgent requests that arrive per second
	Waiting int `json:",omitempty"` // of the urgent requests that wait
}

// Plus returns the sum of d and the demand of other instances.
func (d Demand) Plus(other Demand) Demand {
	return Demand{Started: d.Started + other.Started, Urgent: d.Urgent + other.Urgent, Waiting: d.Waiting + other.Waiting}
}
