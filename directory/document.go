package directory

import (
	"time"

	"crocuslug/ident"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	Unsafe    Kind = iota // runs at most once for each attempt of a caller
	Safe                  // may run more than once
	Streaming             // answers with numbered pieces; runs at most once unless Resumable
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

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service ident.Service
	Weight  int // relative to the other shares of the route
}

// Route says which services answer the requests below a prefix and how.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest wait of a caller; 0 means no bound
	Target      time.Duration // latency objective: to the whole answer, or to the first piece
	TargetGap   time.Duration // longest pause between pieces that is on time; 0 means none is set
	Priority    int           // 0 is the most urgent
	Services    []Share
	MaxAttempts int  // upstreams that one attempt of a caller may be sent to
	Public      bool // needs no key
	Resumable   bool // a stream may go on at another upstream from a piece
}

// Repeatable reports whether a request of r may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service is what is known of a service whose upstreams register themselves.
type Service struct {
	Name           ident.Service
	HealthPath     string
	MaxConnections int           // that one upstream accepts from all callers; 0 means no bound
	Memory         int           // tokens that one engine holds at once; 0 if it is no model engine
	Backups        bool          // engines copy the memory of a run to another engine
	CopyLife       time.Duration // how long a copy outlives its last part
}

// Limits bound what callers may send, and how long they may take. 0 means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // of a connection between requests
}

// Workspace is the holder of keys.
type Workspace struct {
	Name        ident.Workspace
	Keys        []string
	Priority    int
	HasPriority bool // Priority goes before that of the route
}

// Document is one version of all that is configured.
type Document struct {
	Version    uint64 // rises with each change, in uneven steps; 0 means none
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
}
