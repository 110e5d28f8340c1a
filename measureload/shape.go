package measureload

import (
	"time"

	"crocuslug/access"
	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/standinengine"
	"crocuslug/standinsite"
	"crocuslug/unit"
)

// kind is one kind of request of a workspace.
type kind struct {
	workspace ident.Workspace
	priority  configuration.Priority
	share     float64       // weight in fair sharing
	part      float64       // of the work that is offered
	tokens    int           // mean length of the answers
	prompt    int           // bytes of the prompts
	deadline  time.Duration // to the start of the answer
	steady    bool          // its arrivals do not rise
	lookUp    bool
}

// shape is a deployment, scaled down to one machine.
type shape struct {
	domains   []ident.Domain
	instances int // in each failure domain
	engines   int // in each failure domain
	slots     int
	interval  time.Duration // between tokens
	prefill   time.Duration // of one token of a prompt
	kinds     []kind
}

// authority is the shape of a deployment with look-ups at its gates.
var authority = shape{
	domains:   []ident.Domain{"d1", "d2", "d3", "d4"},
	instances: 2,
	engines:   9,
	slots:     4,
	interval:  40 * time.Millisecond,
	prefill:   200 * time.Microsecond,
	kinds: []kind{
		{workspace: "gate", priority: configuration.Urgent, share: 1, part: 0.05, tokens: 6, prompt: 200, deadline: 2 * time.Second, steady: true, lookUp: true},
		{workspace: "case", priority: configuration.Normal, share: 2, part: 0.3, tokens: 50, prompt: 1200, deadline: 4 * time.Second},
		{workspace: "desk", priority: configuration.Normal, share: 1, part: 0.5, tokens: 50, prompt: 1200, deadline: 4 * time.Second},
		{workspace: "night", priority: configuration.Batch, share: 1, part: 0.15, tokens: 50, prompt: 1200, deadline: 8 * time.Second},
	},
}

// registry is the shape of a deployment with long briefs.
var registry = shape{
	domains:   []ident.Domain{"d1", "d2", "d3"},
	instances: 2,
	engines:   8,
	slots:     4,
	interval:  40 * time.Millisecond,
	prefill:   200 * time.Microsecond,
	kinds: []kind{
		{workspace: "gate", priority: configuration.Urgent, share: 1, part: 0.05, tokens: 6, prompt: 200, deadline: 2 * time.Second, steady: true, lookUp: true},
		{workspace: "brief", priority: configuration.Normal, share: 1, part: 0.7, tokens: 90, prompt: 8000, deadline: 6 * time.Second},
		{workspace: "desk", priority: configuration.Normal, share: 1, part: 0.25, tokens: 40, prompt: 1200, deadline: 4 * time.Second},
	},
}

// capacity returns the tokens that all engines decode in a second.
func (s shape) capacity() float64 {
	return float64(len(s.domains)*s.engines*s.slots) / s.interval.Seconds()
}

// service returns the mean time that a request of kind k holds a slot.
func (s shape) service(k kind) time.Duration {
	const bytesPerToken = 4
	return time.Duration(k.tokens)*s.interval + time.Duration(k.prompt/bytesPerToken)*s.prefill
}

// rate returns the requests of kind k in a second at a load, as a share of capacity.
func (s shape) rate(k kind, load float64) float64 {
	slots := float64(len(s.domains) * s.engines * s.slots)
	return load * k.part * slots / s.service(k).Seconds()
}

// key returns the bearer key of a workspace.
func key(w ident.Workspace) string {
	return "key-" + string(w)
}

// document returns the workspaces and rules of the shape.
func (s shape) document() configuration.Document {
	var doc configuration.Document
	for _, k := range s.kinds {
		doc.Workspaces = append(doc.Workspaces, configuration.Workspace{
			Name:      k.workspace,
			KeyHashes: []string{access.Hash([]byte(key(k.workspace)))},
			Share:     k.share,
		})
		doc.Rules = append(doc.Rules, configuration.Rule{
			Name:      string(k.workspace),
			Workspace: k.workspace,
			Priority:  k.priority,
			Deadline:  unit.Duration(k.deadline),
		})
	}
	return doc
}

// site returns the deployment, not started.
func (s shape) site(seed uint64) standinsite.Settings {
	return standinsite.Settings{
		Domains:   s.domains,
		Instances: s.instances,
		Engines:   s.engines,
		Engine: standinengine.Settings{
			Slots:           s.slots,
			QueueLimit:      4 * s.slots,
			TokenInterval:   s.interval,
			PrefillPerToken: s.prefill,
		},
		Document: s.document(),
		Seed:     seed,
	}
}
