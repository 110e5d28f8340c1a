package edge

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"crocuslug/work"
)

// recordAnswer counts an answer that was passed on completely and its latency.
func (e *Edge) recordAnswer(w *work.Work, status int, took time.Duration) {
	e.meters.Count(fmt.Sprintf("Answered.%s.%d", w.Route.Kind, status), 1)
	e.meters.Count("Service."+string(w.Service.Name)+".Answered", 1)
	e.meters.Observe("AnswerUs."+w.Route.Kind.String(), took)
}

// writeMetrics writes all metrics as text, one on each line.
func (e *Edge) writeMetrics(w io.Writer) {
	line := func(name string, v any) { fmt.Fprintf(w, "%s %v\n", name, v) }
	e.meters.WriteText(w)
	now := e.timer.Now()
	if cur := e.current.Load(); cur != nil {
		line("Configuration.Version", cur.Version)
		line("Configuration.AgeMs", now.Sub(cur.since).Milliseconds())
	}
	calls := e.client.Calls()
	line("Store.Reads", calls.Reads)
	line("Store.Writes", calls.Writes)
	line("Store.Watches", calls.Watches)
	line("Store.Unavailable", calls.Unavailable)
	line("Store.Unknown", calls.Unknown)
	line("Store.SilentWatches", calls.SilentWatches)
	line("Store.OverdueWatches", calls.OverdueWatches)
	line("Store.Seen", e.view.Seen().Revision())
	line("Store.Era", e.view.Seen().Era())
	line("Store.AgeMs", e.view.Age(e.timer.Uptime()).Milliseconds())
	line("Store.Watcher", e.view.Watcher())
	if e.DroppedLogLines != nil {
		line("Log.Dropped", e.DroppedLogLines())
	}
	line("Upstream.Dials", e.exchange.Dials())
	line("Parts.Refused", e.poison.Bans())
	permits := e.upstreamLimits.Counts()
	line("Permits.Used", permits.Used)
	line("Permits.Expired", permits.Expired)
	line("Permits.Issued", permits.Issued)
	line("Permits.Denied", permits.Denied)
	for _, s := range e.limitMetrics(now) {
		line("Limit."+string(s.Upstream)+".PerSecond", s.Rate)
		line("Limit."+string(s.Upstream)+".AgeMs", s.Age.Std().Milliseconds())
	}
	resting := e.rests.InForce(now)
	for _, id := range slices.Sorted(maps.Keys(resting)) {
		line("Rest."+string(id)+".LeftMs", resting[id].Milliseconds())
	}
	e.writeDeliveryMetrics(line, now)
	if e.cfg.LearnPace {
		line("Pace.Limited", e.pacedLimits.Load())
	}
	line("Origins.Held", e.builds.Records())
	cut, _ := e.reach.CutDomains()
	line("Reach.CutDomains", len(cut))
	line("Relays.Open", e.relays.Open())
	callers := e.server.Connections()
	line("Connections.Open", callers.Open)
	line("Connections.GaveWay", callers.GaveWay)
	line("Connections.Refused", callers.Refused)
	if e.bodies != nil {
		c := e.bodies.Counts()
		line("Bodies.Bytes", c.Bytes)
		line("Bodies.Limit", c.Limit)
		line("Bodies.Waited", c.Waited)
		line("Bodies.GaveWay", c.GaveWay)
		line("Bodies.Refused", c.Refused)
		line("Bodies.Exceeded", c.Exceeded)
		line("Bodies.Collects", c.Collects)
	}
	line("Upstreams.Registered", len(e.registry.All()))
	for _, name := range e.fleet.Services() {
		n := e.fleet.Count(name)
		prefix := "Service." + string(name) + "."
		line(prefix+"Registered", n.Registered)
		line(prefix+"Leaving", n.Leaving)
		line(prefix+"Out", n.Out)
		line(prefix+"Replaced", n.Replaced)
		line(prefix+"UnderWay", n.InFlight)
		line(prefix+"Unread", n.UnreadTokens)
		if used, ok := e.fleet.MemoryUsed(name); ok {
			line(prefix+"MemoryUsed", used)
		}
		line(prefix+"Waiting", e.dispatcher.Waiting(name))
		for build, count := range n.Builds {
			line(prefix+"Builds."+string(build), count)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	alive := 0
	for _, p := range e.peers {
		if e.peerAlive(p, now) {
			alive++
		}
	}
	line("Peers.Heard", alive)
}
