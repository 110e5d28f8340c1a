package membership

import (
	"maps"
	"slices"
	"time"

	"crocuslug/ident"
)

// probe is a ping that has not been finished.
type probe struct {
	target   ident.Instance
	sentAt   time.Time
	indirect bool // other members have been asked to probe
	acked    bool
}

// relay is a ping sent on behalf of another instance.
type relay struct {
	to     ident.Instance
	seq    uint64
	sentAt time.Time
}

// pausedPeriods is the gap between ticks, in probe periods, after which the
// instance assumes that it was paused. Its timeouts then say nothing about others.
const pausedPeriods = 3

// deadProbePeriods is the number of probe periods between two probes of dead members.
const deadProbePeriods = 10

// cleanupInterval is the time between two removals of expired records.
const cleanupInterval = 10 * time.Second

// Tick performs the work that is due at now and returns the messages to send. It
// should be called every PushInterval.
func (t *Table) Tick(now time.Time) []Envelope {
	out := t.resetAfterPause(now)
	t.lastTick = now
	out = append(out, t.checkProbes(now)...)
	out = append(out, t.probeRechecks(now)...)
	t.expireSuspicions(now)
	if !now.Before(t.nextProbe) {
		t.nextProbe = now.Add(t.cfg.ProbePeriod)
		out = append(out, t.startProbes(now)...)
	}
	out = append(out, t.pushIfDue(now)...)
	if !now.Before(t.nextCleanup) {
		t.nextCleanup = now.Add(cleanupInterval)
		t.removeExpired(now)
	}
	return out
}

// resetAfterPause restarts all timeouts if the instance was paused. It also probes some
// of the suspects, which may have refuted the suspicion in the meantime.
func (t *Table) resetAfterPause(now time.Time) []Envelope {
	gap := now.Sub(t.lastTick)
	if t.lastTick.IsZero() || gap < pausedPeriods*t.cfg.ProbePeriod {
		return nil
	}
	clear(t.probes)
	var out []Envelope
	for _, id := range slices.Sorted(maps.Keys(t.suspects)) {
		t.suspects[id] = now.Add(t.cfg.SuspicionTimeout)
		if len(out) < t.cfg.Fanout {
			out = append(out, t.probe(id, now)...)
		}
	}
	return out
}

// startProbes sends the probes of one probe period.
func (t *Table) startProbes(now time.Time) []Envelope {
	t.periods++
	out := t.probe(t.ownMembers.advance(), now)
	if t.periods%t.cfg.ForeignProbePeriods == 0 {
		out = append(out, t.probe(t.nextForeignMember(), now)...)
	}
	if t.periods%deadProbePeriods == 0 {
		out = append(out, t.probe(t.deadMembers.advance(), now)...)
	}
	return out
}

// probe sends a ping to target, unless target is "".
func (t *Table) probe(target ident.Instance, now time.Time) []Envelope {
	if target == "" {
		return nil
	}
	t.seq++
	t.probes[t.seq] = &probe{target: target, sentAt: now}
	return []Envelope{t.message(target, Message{Kind: Ping, Seq: t.seq})}
}

// message completes m with the sender, the digest and rumors. If this table does
// not list the receiver as live, it adds that record so that the receiver can
// refute it.
func (t *Table) message(to ident.Instance, m Message) Envelope {
	m.Sender = t.self
	m.Digest = t.digest
	if e := t.entries[to]; e != nil && e.State != Live {
		m.Members = append(m.Members, e.Member)
	}
	t.attachRumors(&m)
	return Envelope{To: to, Message: m}
}

// checkProbes starts indirect probes after ProbeTimeout and ends probes without an
// answer after ProbePeriod. It also ends overdue relays.
func (t *Table) checkProbes(now time.Time) []Envelope {
	var out []Envelope
	for _, seq := range slices.Sorted(maps.Keys(t.probes)) {
		p := t.probes[seq]
		age := now.Sub(p.sentAt)
		e := t.entries[p.target]
		switch {
		case p.acked || e == nil || (age >= t.cfg.ProbePeriod && e.State == Dead):
			delete(t.probes, seq)
		case age >= t.cfg.ProbePeriod:
			delete(t.probes, seq)
			t.probeFailed(e, now)
		case age >= t.cfg.ProbeTimeout && !p.indirect && e.Domain == t.self.Domain:
			p.indirect = true
			out = append(out, t.requestIndirectProbes(seq, p.target)...)
		}
	}
	for seq, r := range t.relays {
		if now.Sub(r.sentAt) >= t.cfg.ProbePeriod {
			delete(t.relays, seq)
		}
	}
	return out
}

// requestIndirectProbes asks other members of the own domain to ping target.
func (t *Table) requestIndirectProbes(seq uint64, target ident.Instance) []Envelope {
	var out []Envelope
	for _, id := range t.ownMembers.pick(t.cfg.IndirectProbes, target, t.rand) {
		out = append(out, t.message(id, Message{Kind: PingRequest, Seq: seq, Target: target}))
	}
	return out
}

// probeFailed handles a probe without an answer.
func (t *Table) probeFailed(e *entry, now time.Time) {
	if e.Domain == t.self.Domain {
		t.suspect(e, now)
		return
	}
	t.foreignProbeFailed(e.Domain, now)
}

// suspect declares a live member suspect and a leaving member dead.
func (t *Table) suspect(e *entry, now time.Time) {
	switch e.State {
	case Live:
		t.declare(e.Member, Suspect, now)
	case Leaving:
		t.declare(e.Member, Dead, now)
	default:
	}
}

// expireSuspicions declares members dead whose suspicion was not refuted in time.
func (t *Table) expireSuspicions(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(t.suspects)) {
		if !now.Before(t.suspects[id]) {
			t.declare(t.entries[id].Member, Dead, now)
		}
	}
}

// pushIfDue pushes rumors if PushInterval has passed since the last push.
func (t *Table) pushIfDue(now time.Time) []Envelope {
	if now.Before(t.nextPush) || !t.rumors.hasPushes() {
		return nil
	}
	t.nextPush = now.Add(t.cfg.PushInterval)
	return t.push(t.cfg.Fanout)
}

// push sends rumors to n members of the own domain and one member of another domain.
func (t *Table) push(n int) []Envelope {
	ids := t.ownMembers.pick(n, "", t.rand)
	if len(t.foreignDomains) > 0 {
		d := t.foreignDomains[t.rand(len(t.foreignDomains))]
		ids = append(ids, t.domain(d).members.pick(1, "", t.rand)...)
	}
	if len(ids) == 0 {
		return nil
	}
	var out []Envelope
	for _, id := range ids {
		out = append(out, t.message(id, Message{Kind: Gossip}))
	}
	t.rumors.finishPush()
	return out
}

// removeExpired removes dead members and notices that are older than TombstoneRetention.
func (t *Table) removeExpired(now time.Time) {
	for id, e := range t.entries {
		if e.State == Dead && now.Sub(e.since) >= t.cfg.TombstoneRetention {
			t.remove(id)
		}
	}
	for k, n := range t.notices {
		if now.Sub(n.since) >= t.cfg.TombstoneRetention {
			delete(t.notices, k)
			t.view = nil
		}
	}
}
