package settings

import (
	"net"

	"crocuslug/ident"
	"crocuslug/unit"
)

// Edge holds the settings of an instance that proxies requests, by routes, to
// upstreams that register themselves. The file has the same form as that of
// Settings. An adapter to a platform may instead fill an Edge from a file in
// the platform's own form.
type Edge struct {
	Name         string        // stable name across restarts; each start under it is a new instance
	Domain       ident.Domain  // failure domain of the instance
	Listen       string        // IP:port for callers
	ReadyListen  string        // IP:port of the load balancer's readiness check and of the metrics
	PeerListen   string        // IP:port for other instances
	RelayListen  string        `json:",omitempty"` // IP:port at which other instances claim connections to upstreams; any port of PeerListen's IP if empty
	Seeds        []string      `json:",omitempty"` // IP:port of some other instances, which may be down
	StoreAddress string        // IP:port of the platform's key-value service
	StoreReads   float64       `json:",omitempty"` // reads per second of all instances together; default if 0
	StoreWrites  float64       `json:",omitempty"` // writes per second of all instances together; default if 0
	MinLease     unit.Duration `json:",omitempty"` // shortest lease that the key-value service grants
	ReuseAfter   unit.Duration `json:",omitempty"` // shortest time after which the address of an ended upstream may belong to another service; 0 means none
	Drain        unit.Duration `json:",omitempty"` // time after which a leaving upstream must get no new requests; 2s if 0
	Grace        unit.Duration `json:",omitempty"` // from the request to stop until the process is killed; 8s if 0
	RetryShare   float64       `json:",omitempty"` // retries per request that all instances together may send to a service; 0.2 if 0
	RetrySlack   float64       `json:",omitempty"` // retries allowed in addition, in a window of a few seconds
	Descriptors  int           `json:",omitempty"` // limit of open file descriptors; no limit if 0
	MemoryBytes  int64         `json:",omitempty"` // limit of the memory of the process; no limit if 0
	Delivery     Delivery      `json:",omitzero"`
	Admission    EdgeAdmission `json:",omitzero"`
	LearnPace    bool          `json:",omitempty"` // learns how fast upstreams are and how many requests each takes well
}

// Delivery holds the settings of the progressive delivery of software versions of upstreams.
type Delivery struct {
	Share          float64       `json:",omitempty"` // part of the requests of a service that a version under delivery may get until it is promoted; 0 switches the delivery off
	Slack          float64       `json:",omitempty"` // requests that it may get besides, from all instances together
	RollbackWithin unit.Duration `json:",omitempty"` // time after which a version with failures must get no requests
}

// EdgeAdmission holds the settings of an Edge for the admission of requests of model engines.
type EdgeAdmission struct {
	ByMemory bool `json:",omitempty"` // counts the memory of engines in tokens over the life of requests, and keeps some free for urgent ones
	// KeepShares, with ByMemory, has instances keep to their shares of the engines and take turns at others, so that no
	// engine is overfilled even if many streams start at once. It costs time while engines are unevenly used.
	KeepShares bool `json:",omitempty"`
}

// ReadEdge reads an Edge from file. It returns all problems in the content
// together, and an error if the file cannot be read.
func ReadEdge(file string) (Edge, []Problem, error) {
	return readFile(file, Edge.check)
}

// ParseEdge parses an Edge and returns all problems in it, sorted by path.
func ParseEdge(b []byte) (Edge, []Problem) {
	return parse(b, Edge.check)
}

func (cfg Edge) check() []Problem {
	var out []Problem
	addProblem := func(path, text string) { out = append(out, Problem{path, text}) }
	if cfg.Name == "" {
		addProblem("Name", "want a name that stays the same across restarts")
	}
	if cfg.Domain == "" {
		addProblem("Domain", "want the failure domain of the instance")
	}
	for _, a := range []struct{ path, v string }{
		{"Listen", cfg.Listen}, {"ReadyListen", cfg.ReadyListen}, {"PeerListen", cfg.PeerListen}, {"StoreAddress", cfg.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(a.v); err != nil {
			addProblem(a.path, "want an address of the form IP:port")
		}
	}
	if _, _, err := net.SplitHostPort(cfg.RelayListen); err != nil && cfg.RelayListen != "" {
		addProblem("RelayListen", "want an address of the form IP:port")
	}
	for _, n := range []struct {
		path string
		v    float64
	}{
		{"StoreReads", cfg.StoreReads},
		{"StoreWrites", cfg.StoreWrites},
		{"RetryShare", cfg.RetryShare},
		{"RetrySlack", cfg.RetrySlack},
		{"Descriptors", float64(cfg.Descriptors)},
		{"MemoryBytes", float64(cfg.MemoryBytes)},
		{"Delivery.Slack", cfg.Delivery.Slack},
		{"Delivery.RollbackWithin", float64(cfg.Delivery.RollbackWithin)},
	} {
		if n.v < 0 {
			addProblem(n.path, "want no negative number")
		}
	}
	if s := cfg.Delivery.Share; !(s >= 0 && s <= 1) {
		addProblem("Delivery.Share", "want a number from 0 to 1")
	}
	return out
}
