package daemon

import (
	"github.com/rcrowley/go-metrics"

	"crocuslug/keyvalue"
	"crocuslug/peerlink"
)

// Usage counts what the control traffic of an instance has used since its start.
type Usage struct {
	Link      peerlink.Counts // bytes of frames exchanged with other instances
	PollBytes int64           // bytes exchanged with polled engines
	Platform  keyvalue.Calls
}

// Usage returns what the control traffic of this instance has used since its start.
func (d *Daemon) Usage() Usage {
	return Usage{
		Link:      d.link.ByteCounts(),
		PollBytes: metrics.GetOrRegisterCounter("PollBytes", d.metrics.registry).Count(),
		Platform:  d.PlatformCalls(),
	}
}
