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

// requestKind is the one kind of request that a workspace sends.
type requestKind struct {
	workspace   ident.Workspace
	priority    configuration.Priority
	weight      float64       // weight of the workspace in fair sharing
	loadShare   float64       // share of the offered work
	meanTokens  int           // mean length of the answers in tokens
	promptBytes int           // length of the prompts in bytes
	deadline    time.Duration // for the start of the answer
	steady      bool          // arrival rate stays constant over all phases
	lookUp      bool          // short request that is reported separately and excluded from fair shares
}

// deployment is a deployment and its kinds of requests, scaled down to one machine.
type deployment struct {
	domains         []ident.Domain
	instances       int // in each failure domain
	engines         int // in each failure domain
	slots           int
	tokenInterval   time.Duration // between two tokens of an answer
	prefillPerToken time.Duration // time to read one prompt token
	requestKinds    []requestKind
}

// authority is a deployment with look-ups at gates.
var authority = deployment{
	domains:         []ident.Domain{"d1", "d2", "d3", "d4"},
	instances:       2,
	engines:         9,
	slots:           4,
	tokenInterval:   40 * time.Millisecond,
	prefillPerToken: 200 * time.Microsecond,
	requestKinds: []requestKind{
		{workspace: "gate", priority: configuration.Urgent, weight: 1, loadShare: 0.05, meanTokens: 6, promptBytes: 200, deadline: 2 * time.Second, steady: true, lookUp: true},
		{workspace: "case", priority: configuration.Normal, weight: 2, loadShare: 0.3, meanTokens: 50, promptBytes: 1200, deadline: 4 * time.Second},
		{workspace: "desk", priority: configuration.Normal, weight: 1, loadShare: 0.5, meanTokens: 50, promptBytes: 1200, deadline: 4 * time.Second},
		{workspace: "night", priority: configuration.Batch, weight: 1, loadShare: 0.15, meanTokens: 50, promptBytes: 1200, deadline: 8 * time.Second},
	},
}

// registry is a deployment with long briefs.
var registry = deployment{
	domains:         []ident.Domain{"d1", "d2", "d3"},
	instances:       2,
	engines:         8,
	slots:           4,
	tokenInterval:   40 * time.Millisecond,
	prefillPerToken: 200 * time.Microsecond,
	requestKinds: []requestKind{
		{workspace: "gate", priority: configuration.Urgent, weight: 1, loadShare: 0.05, meanTokens: 6, promptBytes: 200, deadline: 2 * time.Second, steady: true, lookUp: true},
		{workspace: "brief", priority: configuration.Normal, weight: 1, loadShare: 0.7, meanTokens: 90, promptBytes: 8000, deadline: 6 * time.Second},
		{workspace: "desk", priority: configuration.Normal, weight: 1, loadShare: 0.25, meanTokens: 40, promptBytes: 1200, deadline: 4 * time.Second},
	},
}

// capacity returns the tokens per second that all engines decode together.
func (d deployment) capacity() float64 {
	return float64(len(d.domains)*d.engines*d.slots) / d.tokenInterval.Seconds()
}

// serviceTime returns the mean time that a request of kind k occupies a slot.
func (d deployment) serviceTime(k requestKind) time.Duration {
	const bytesPerToken = 4
	return time.Duration(k.meanTokens)*d.tokenInterval + time.Duration(k.promptBytes/bytesPerToken)*d.prefillPerToken
}

// rate returns the requests per second of kind k at a load given as a share of capacity.
func (d deployment) rate(k requestKind, load float64) float64 {
	slots := float64(len(d.domains) * d.engines * d.slots)
	return load * k.loadShare * slots / d.serviceTime(k).Seconds()
}

// key returns the bearer key of a workspace.
func key(w ident.Workspace) string {
	return "key-" + string(w)
}

// document returns a configuration with the workspaces and rules of the deployment.
func (d deployment) document() configuration.Document {
	var doc configuration.Document
	for _, k := range d.requestKinds {
		doc.Workspaces = append(doc.Workspaces, configuration.Workspace{
			Name:      k.workspace,
			KeyHashes: []string{access.Hash([]byte(key(k.workspace)))},
			Share:     k.weight,
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

// siteSettings returns the settings of a site with this deployment.
func (d deployment) siteSettings(seed uint64) standinsite.Settings {
	return standinsite.Settings{
		Domains:   d.domains,
		Instances: d.instances,
		Engines:   d.engines,
		Engine: standinengine.Settings{
			Slots:           d.slots,
			QueueLimit:      4 * d.slots,
			TokenInterval:   d.tokenInterval,
			PrefillPerToken: d.prefillPerToken,
		},
		Document: d.document(),
		Seed:     seed,
	}
}
