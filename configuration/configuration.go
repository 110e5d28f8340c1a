// Package configuration defines the configuration that operators accept.
//
// A Document is immutable once it has a revision. The parts of a daemon read
// the newest one through an atomic pointer and never change it.
package configuration

import (
	"crocuslug/ident"
	"crocuslug/unit"
)

// Document is one accepted configuration. Its lists are sorted by name.
type Document struct {
	Revision   ident.Revision `json:",omitempty"`
	Operators  []Operator     `json:",omitempty"`
	Workspaces []Workspace    `json:",omitempty"`
	Services   []Service      `json:",omitempty"`
	Upstreams  []Upstream     `json:",omitempty"`
	Rules      []Rule         `json:",omitempty"`
	Placements []Placement    `json:",omitempty"`
}

// Operator may read and change the configuration.
type Operator struct {
	Name      string
	KeyHashes []string // hexadecimal SHA-256 of the bearer keys
}

// Workspace is one unit of isolation, with its keys, share and limits.
type Workspace struct {
	Name            ident.Workspace
	KeyHashes       []string // hexadecimal SHA-256 of the bearer keys
	Share           float64  `json:",omitempty"` // weight in fair sharing; 0 means 1
	MaxConcurrent   int      `json:",omitempty"` // requests in progress fleet-wide; 0 means no limit
	TokensPerSecond float64  `json:",omitempty"` // fleet-wide rate of cost; 0 means no limit
}

// Service is a model service or a plain service.
type Service struct {
	Name       ident.Service
	Kind       Kind
	StatusPath string        `json:",omitempty"` // path that returns the outcome of an action by its key, called if the outcome is unknown; "" if there is none
	Timeout    unit.Duration `json:",omitempty"` // time limit of one call to a plain service; 0 means the default
}

// Kind is the kind of a service.
type Kind string

// Kinds of services.
const (
	Model Kind = "Model"
	Plain Kind = "Plain"
)

// Upstream is a model engine or one instance of a plain service.
type Upstream struct {
	Name          ident.Upstream
	Service       ident.Service
	Address       string // host:port
	Domain        ident.Domain
	Models        []string `json:",omitempty"` // models that it may serve; empty for plain services
	Slots         int      `json:",omitempty"` // generations that it decodes concurrently; 0 means the default
	ChecksFencing bool     `json:",omitempty"` // whether it refuses orders with an old fencing number
	Leaving       bool     `json:",omitempty"` // whether it is to get no new work
}

// Rule sets how matching requests are handled. The first rule whose Workspace,
// Service, Method and PathPrefix match applies; an empty one matches all.
type Rule struct {
	Name       string
	Workspace  ident.Workspace `json:",omitempty"`
	Service    ident.Service   `json:",omitempty"`
	Method     string          `json:",omitempty"`
	PathPrefix string          `json:",omitempty"`
	Priority   Priority        `json:",omitempty"`
	Deadline   unit.Duration   `json:",omitempty"` // time to the start of the answer
	Repeatable bool            `json:",omitempty"` // whether the request may be run more than once
	Once       bool            `json:",omitempty"` // whether it is an at-most-once action, which needs an Idempotency-Key
}

// Priority orders requests in the admission queue.
type Priority string

// Priorities, highest first. Resumed generations come between Urgent and Normal.
const (
	Urgent Priority = "Urgent"
	Normal Priority = "Normal"
	Batch  Priority = "Batch"
)

// Placement asks for copies of a model in a failure domain.
type Placement struct {
	Model   string
	Version string       `json:",omitempty"`
	Adapter string       `json:",omitempty"`
	Domain  ident.Domain `json:",omitempty"` // empty means every failure domain
	Copies  int
}
