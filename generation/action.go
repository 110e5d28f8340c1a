package generation

import (
	"crocuslug/ident"
	"crocuslug/result"
)

// Kind tells what an Action asks for.
type Kind int

// Kinds of actions.
const (
	ChooseEngine  Kind = iota + 1 // call EngineChosen or NoEngine
	StartStream                   // start Stream on Upstream from token From, under Attempt
	ResumeStream                  // resume Stream on Upstream from token From, under Attempt
	CancelStream                  // cancel Stream on Upstream; failure does not matter
	ChooseReplica                 // call ReplicaChosen
	Replicate                     // send tokens [From, Upto) to Replica; all of the generation if Base
	Release                       // the caller may receive up to position Upto
	Blame                         // Upstream died while it ran this generation
	End                           // the answer ends with Result
)

// Action is one thing that the instance is to do. Which fields are set depends on Kind.
type Action struct {
	Kind     Kind
	Upstream ident.Upstream
	Exclude  []ident.Upstream // engines not to choose
	Attempt  ident.Attempt
	Stream   string
	From     int
	Upto     int
	Base     bool
	Origin   ident.Attempt // attempt under which the base was sent that Replicate adds to
	Resumed  bool          // the engine is for a generation that was under way
	Replica  ident.Instance
	Avoid    []ident.Instance // replicas not to choose
	Result   *result.Error
}

// Cause tells how a stream was lost.
type Cause int

// Causes of lost streams.
const (
	Refused        Cause = iota + 1 // no connection: the request has not left
	Reset                           // the connection broke
	Silence                         // no token within the limit
	TimedOut                        // no answer to the request within the limit
	UnknownStream                   // the engine does not know the stream
	Full                            // the engine takes no more streams
	CannotContinue                  // the engine cannot go on from tokens held
	Rejected                        // the engine refuses the request for good
	Corrupt                         // the stream is not the one that was asked for
	Leaving                         // the engine takes no new streams any more
)

// Spec is what a generation is made from. It is pinned: every attempt runs the
// same model, version and adapter with the same settings.
type Spec struct {
	Request     ident.Request
	Generation  ident.Generation
	Workspace   ident.Workspace
	Service     ident.Service
	Model       string
	Version     string `json:",omitempty"`
	Adapter     string `json:",omitempty"`
	MaxTokens   int
	Priority    int
	Fingerprint uint64 // of the content, the same for the same content under another id
	Body        []byte // the caller's request, JSON
	Streamed    bool   // the caller asked for a stream
}

// Adopted is the state of a generation that was taken over from another instance.
type Adopted struct {
	Upstream ident.Upstream
	Stream   string
	Tokens   []string
	Attempt  ident.Attempt // highest that was in force
	Finish   string
	Done     bool
}
