package distribution

import (
	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/unit"
)

// Member is one live instance of the system.
type Member struct {
	Instance ident.Instance
	Domain   ident.Domain
}

// Delta is the difference between the documents of two revisions.
type Delta struct {
	Base     ident.Revision
	Revision ident.Revision
	Digest   string // digest of the resulting document
	Intent   intent.Intent
}

// Notice tells a peer the revision of the sender. The sender does not wait for an
// answer.
type Notice struct {
	Revision ident.Revision
	SeenAgo  unit.Duration `json:",omitempty"` // age of the last known contact to the key-value service; 0 means none
	Delta    *Delta        `json:",omitempty"`
}

// PullRequest asks a peer for its document if that is later than revision Have.
type PullRequest struct {
	Have ident.Revision
}

// PullResponse answers a PullRequest with a difference, with a document, or with
// neither if the peer has no later revision.
type PullResponse struct {
	Revision ident.Revision
	Digest   string                  `json:",omitempty"`
	Delta    *Delta                  `json:",omitempty"`
	Document *configuration.Document `json:",omitempty"`
}

// Action is a step that a Distributor asks its caller to take. Exactly one of the
// fields other than To is set.
type Action struct {
	Publish  *configuration.Document // put this document in force
	Notify   *Notice                 // send this notice to To
	Pull     *PullRequest            // send this to To, then call HandlePullResponse or HandlePullFailure
	ReadHead bool                    // read the head, then call HandleDocument or HandleHead
	To       ident.Instance
}
