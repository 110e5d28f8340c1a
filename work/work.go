// Package work describes requests to be answered and the sendings that this takes.
//
// It holds values only. The adapter to a platform fills them in and writes them
// out; package dispatch decides by them.
package work

import (
	"net/http"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/prefix"
)

// Description is what a caller says of its request beside what the protocol has
// a place for.
type Description struct {
	ID          ident.Request
	Key         string        // of its workspace; "" if there is none
	Patience    time.Duration // how long it waits; used if HasPatience
	HasPatience bool
	After       uint64 // number of the last piece that it holds; used if Resumes
	Resumes     bool
	Prompt      int // tokens of the prompt; 0 if it is for no model
	Tokens      int // of prompt and answer together at most
	Model       string
	Parts       []prefix.Part // of the prompt, in order; nil if the caller does not tell them
}

// Work is one request to be answered.
type Work struct {
	ID          ident.Request
	Route       *directory.Route
	Service     *directory.Service
	Workspace   ident.Workspace
	Deadline    time.Time      // when the caller or the route has no more time
	Fingerprint uint64         // of caller, path and body; the same for the same content
	Prompt      int            // tokens of the prompt; 0 if it is for no model
	Tokens      int            // of prompt and answer together at most
	Blocks      []prefix.Block // names of the parts of the prompt
	Sizes       []int          // tokens of each of Blocks
	After       uint64         // number of the last piece that the caller holds
	Resumes     bool           // After was given
	Priority    int            // 0 is the most urgent

	Method string
	Target string // path and query, verbatim
	Host   string
	Header http.Header // as the caller sent it, without what concerns its connection
	Body   []byte
}

// Copy is the memory of a run that an engine other than the run's own keeps.
type Copy struct {
	Holder  ident.Upstream
	Address string // of the holder
	Owner   string // address under which the copy is known
	Name    string // of the copy there
}

// Move asks the engine of a run to copy its memory to another engine, beside
// which the run goes on.
type Move struct {
	Run ident.Request
	To  string // address of the other engine
}

// Leg is one sending of a request to one upstream.
type Leg struct {
	Upstream  directory.Upstream
	Remaining time.Duration // time that the upstream may take
	After     uint64        // number of the last piece delivered
	Resumes   bool          // the answer is to start after that piece
	From      *Copy         // to go on from, or nil
	Rank      int           // in the upstream's queue, 0 to 9; 0 goes first
	CopyTo    string        // address of the engine that is to keep a copy, or ""
}

// Ports are how upstreams are spoken to.
type Ports struct {
	// Header returns the header of a leg.
	Header func(w *Work, leg *Leg) http.Header
	// Belongs reports whether an answer is one to w.
	Belongs func(w *Work, h http.Header) bool
	// NotRun reports whether an answer says that the upstream did not run the request.
	NotRun func(status int, h http.Header) bool
	// Replaced reports whether an answer says that another upstream has the address.
	Replaced func(status int, h http.Header) bool
	// ProbePath is where a model engine answers at once while it lives.
	ProbePath string
	// Move returns the target and the body of the call that makes a copy.
	Move func(m Move) (target string, body []byte)
	// Moved returns the name of the copy that such a call has made.
	Moved func(status int, body []byte) (name string, ok bool)
	// Drop returns the target of the call that frees a copy made by Move.
	Drop func(name string) (target string)
	// Genuine reports whether an answer bears the signature of an upstream.
	Genuine func(h http.Header) bool
}

// Prompt is a prompt that was sent to an upstream.
type Prompt struct {
	Upstream ident.Upstream
	Blocks   []prefix.Block
}

// Load is what an instance has under way at an upstream.
type Load struct {
	Requests int
	Reading  int `json:",omitempty"` // prompt tokens still to be read for them
}
