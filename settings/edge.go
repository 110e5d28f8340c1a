package settings

import (
	"net"

	"crocuslug/ident"
	"crocuslug/unit"
)

// Edge are the settings of an instance that serves routes before upstreams that
// register themselves. The file has the form of the other settings; the adapter
// to a platform may fill them in from a file of that platform's form instead.
type Edge struct {
	Name         string        // of the instance's place; a restart under it is a new instance
	Domain       ident.Domain  // failure domain of the instance
	Listen       string        // IP:port for callers
	ReadyListen  string        // IP:port at which the balancer asks for readiness; metrics are there too
	PeerListen   string        // IP:port for other instances
	Seeds        []string      `json:",omitempty"` // IP:port of some other instances, which may be down
	StoreAddress string        // IP:port of the platform's key-value service
	StoreReads   float64       `json:",omitempty"` // calls a second that all instances together may make; default if 0
	StoreWrites  float64       `json:",omitempty"`
	MinLease     unit.Duration `json:",omitempty"` // shortest lease that the service grants
	ReuseAfter   unit.Duration `json:",omitempty"` // for which the address of an ended upstream goes to no other service; 0 means that it may at once
	Drain        unit.Duration `json:",omitempty"` // within which a leaving upstream must get no more requests; 2s if 0
	Grace        unit.Duration `json:",omitempty"` // from the request to stop until the process is killed; 8s if 0
	RetryShare   float64       `json:",omitempty"` // repeats by requests that all instances together may send to a service; 0.2 if 0
	RetrySlack   float64       `json:",omitempty"` // repeats that are allowed besides, in a window of some seconds
	Descriptors  int           `json:",omitempty"` // that the process may have open; no bound if 0
	MemoryBytes  int64         `json:",omitempty"` // that the process may use; no bound if 0
}

// ReadEdge reads the settings of an Edge in file. Problems in its content are
// returned together; the error is of reading the file.
func ReadEdge(file string) (Edge, []Problem, error) {
	return readFile(file, Edge.check)
}

// ParseEdge reads settings and returns all problems in them, by path.
func ParseEdge(b []byte) (Edge, []Problem) {
	return parse(b, Edge.check)
}

func (cfg Edge) check() []Problem {
	var out []Problem
	bad := func(path, text string) { out = append(out, Problem{path, text}) }
	if cfg.Name == "" {
		bad("Name", "want the name of the instance's place")
	}
	if cfg.Domain == "" {
		bad("Domain", "want the failure domain of the instance")
	}
	for _, a := range []struct{ path, v string }{
		{"Listen", cfg.Listen}, {"ReadyListen", cfg.ReadyListen}, {"PeerListen", cfg.PeerListen}, {"StoreAddress", cfg.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(a.v); err != nil {
			bad(a.path, "want an address of the form IP:port")
		}
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
	} {
		if n.v < 0 {
			bad(n.path, "want no negative number")
		}
	}
	return out
}
