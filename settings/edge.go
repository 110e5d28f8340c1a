package settings

import (
	"time"

	"crocuslug/ident"
)

// Edge are the settings of an instance that serves a platform with routes and
// registered upstreams. The adapter to the platform reads and checks them.
type Edge struct {
	Name          string       // of the instance's place; a restart under it is a new instance
	Domain        ident.Domain // failure domain of the instance
	Listen        string       // IP:port for callers
	ReadyListen   string       // IP:port at which the balancer asks for readiness
	PeerListen    string       // IP:port for other instances
	MetricsListen string       // IP:port of the metrics
	Seeds         []string     // IP:port of some other instances, which may be down
	StoreAddress  string       // IP:port of the platform's key-value service
	StoreReads    float64      // calls a second that all instances together may make
	StoreWrites   float64
	MinLease      time.Duration // shortest lease that the service grants
	Drain         time.Duration // within which a leaving upstream must get no more requests
	Grace         time.Duration // from the request to stop until the process is killed
	RetryShare    float64       // repeats by requests that all instances together may send to a service
	RetrySlack    float64       // repeats that are allowed besides, in a window of some seconds
	Descriptors   int           // that the process may have open
	MemoryBytes   int64         // that the process may use
}
