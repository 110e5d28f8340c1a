package directory

import (
	"time"

	"crocuslug/ident"
)

// Kind states whether the requests of a route may be repeated.
type Kind int

// Kinds of routes.
const (
	Unsafe    Kind = iota // runs at most once for each attempt of a caller
	Safe                  // may run more than once
	Streaming             // answered with numbered pieces; runs at most once unless Resumable
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	}
	return "unsafe"
}

// Share is the share of the requests of a route that goes to one service.
type Share struct {
	Service ident.Service
	Weight  int // relative to the weights of the other shares of the route
}

// Route defines which services answer the requests below a path prefix, and how.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a caller waits; 0 means no bound
	Target      time.Duration // latency objective: time to the whole answer, or to the first piece of a stream
	TargetGap   time.Duration // longest pause between pieces that meets the objective; 0 means none is set
	Priority    int           // 0 is the most urgent
	Services    []Share
	MaxAttempts int  // number of upstreams that one attempt of a caller may be sent to
	Public      bool // requires no key
	Resumable   bool // a stream may be resumed at another upstream after any piece
}

// Repeatable reports whether a request of r may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service is the configuration of a service whose upstreams register themselves.
type Service struct {
	Name           ident.Service
	HealthPath     string
	MaxConnections int           // connections that one upstream accepts in total; 0 means no bound
	Memory         int           // tokens that the memory of one engine holds; 0 if this is not a model engine
	Backups        bool          // engines copy the memory of a run to another engine
	CopyLife       time.Duration // time for which a copy is kept after its last part arrived
}

// Limits bounds the size and duration of requests. 0 means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // longest time that a connection may be idle between requests
}

// Workspace is a workspace and its keys.
type Workspace struct {
	Name        ident.Workspace
	Keys        []string
	Priority    int
	HasPriority bool // Priority overrides that of the route
}

// Document is one version of the configuration.
type Document struct {
	Version    uint64 // increases with each change, in uneven steps; 0 means none
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
	// KeysRequired states that routes that are not public require the key of a workspace although
	// Workspaces may be empty. Workspaces require keys in any case.
	KeysRequired bool `json:",omitempty"`
}
