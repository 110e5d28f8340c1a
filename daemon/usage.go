package daemon

import (
	"github.com/rcrowley/go-metrics"

	"crocuslug/keyvalue"
	"crocuslug/peerlink"
)

// Usage is what the control of an instance has used since its start.
type Usage struct {
	Link      peerlink.Counts // bytes of frames
	PollBytes int64           // of engines, both ways
	Platform  keyvalue.Calls
}

// Usage returns what the control of this instance has used since its start.
func (d *Daemon) Usage() Usage {
	return Usage{
		Link:      d.link.ByteCounts(),
		PollBytes: metrics.GetOrRegisterCounter("PollBytes", d.metrics.registry).Count(),
		Platform:  d.PlatformCalls(),
	}
}
