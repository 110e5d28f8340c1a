package edge

import (
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/registry"
)

// departureReportTime is the time for which digests report an upstream that has said in an answer to this
// instance that it is leaving, while its entry in the store does not say so.
const departureReportTime = 10 * time.Second

// recordLeaving records that u, as it was registered when a request was sent, has answered that it is
// leaving.
func (e *Edge) recordLeaving(u directory.Upstream, request ident.Request) {
	now := e.timer.Now()
	if !e.registry.RecordLeaving(u.ID, u.Born, now) {
		return
	}
	e.meters.Count("Upstreams.LeavingByAnswer", 1)
	e.log.Info().Str("Request", string(request)).Str("Upstream", string(u.ID)).Str("Address", u.Address).Uint64("Revision", u.Revision.Revision()).
		Str("Source", "answer").Msg("upstream is leaving")
	e.publish(now)
}

// mergeDepartures records the upstreams that a peer knows by answers to be leaving.
func (e *Edge) mergeDepartures(list []registry.Departure, from ident.Instance, now time.Time) {
	changed := false
	for _, d := range list {
		if !e.registry.RecordLeaving(d.Upstream, d.Born, time.Time{}) {
			continue
		}
		changed = true
		e.meters.Count("Upstreams.LeavingByPeer", 1)
		e.log.Info().Str("Upstream", string(d.Upstream)).Str("Source", "peer "+string(from)).Msg("upstream is leaving")
	}
	if changed {
		e.publish(now)
	}
}
