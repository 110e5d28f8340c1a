package generation

import (
	"crocuslug/ident"
	"crocuslug/result"
)

// Kind is what an Action asks the instance to do.
type Kind int

// Kinds of actions.
const (
	ChooseEngine  Kind = iota + 1 // choose an engine, then call EngineChosen or NoEngineAvailable
	StartStream                   // start Stream on Upstream from token From, as Attempt
	ResumeStream                  // resume Stream on Upstream from token From, as Attempt
	CancelStream                  // cancel Stream on Upstream; a failed cancellation needs no further action
	ChooseReplica                 // choose an instance as replica, then call ReplicaChosen
	Replicate                     // send tokens [From, Upto) to Replica, or the whole generation if Base
	Release                       // the caller may receive the answer up to position Upto
	ReportFailure                 // report that Upstream failed while it ran this generation
	End                           // the answer ends with Result
)

// Action is one thing for the instance to do. Kind determines which fields are set.
type Action struct {
	Kind            Kind
	Upstream        ident.Upstream
	ExcludeEngines  []ident.Upstream // engines that must not be chosen
	Attempt         ident.Attempt
	Stream          string
	From            int
	Upto            int
	Base            bool          // send the whole generation, which replaces what the replica stores
	BaseAttempt     ident.Attempt // attempt of the last base, to which Replicate adds tokens
	Resumed         bool          // the engine is for a generation already in progress
	Replica         ident.Instance
	ExcludeReplicas []ident.Instance // instances that must not be chosen as replica
	Result          *result.Error
}

// LossCause says how a stream was lost.
type LossCause int

// Causes of lost streams.
const (
	ConnectionRefused LossCause = iota + 1 // no connection was made, so the request was not sent
	ConnectionReset                        // the connection broke
	TokenTimeout                           // no token arrived within the time limit
	ResponseTimeout                        // the request was not answered within the time limit
	UnknownStream                          // the engine does not know the stream
	EngineFull                             // the engine accepts no more streams
	CannotContinue                         // the engine cannot continue from the tokens received so far
	RequestRejected                        // the engine rejects the request permanently
	CorruptStream                          // the stream is not the one that was requested
	EngineDraining                         // the engine is draining and accepts no new streams
)

// Spec holds the input of a generation. It does not change: every attempt runs the same
// model, version and adapter with the same settings.
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
	Fingerprint uint64 // hash of the content; equal content has the same value under every request id
	Body        []byte // the body of the caller's request, JSON
	Streamed    bool   // the caller asked for a streamed answer
}

// AdoptedState is the state of a generation that was taken over from another instance.
type AdoptedState struct {
	Upstream ident.Upstream
	Stream   string
	Tokens   []string
	Attempt  ident.Attempt // current attempt of the former owner
	Finish   string
	Done     bool
}
