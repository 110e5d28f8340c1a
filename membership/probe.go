package membership

import (
	"maps"
	"slices"
	"time"

	"crocuslug/ident"
)

// probe is a ping that waits for its answer.
type probe struct {
	target   ident.Instance
	at       time.Time
	indirect bool // others have been asked
	acked    bool
}

// relay is a ping on behalf of another instance.
type relay struct {
	to  ident.Instance
	seq uint64
	at  time.Time
}

// pausedPeriods is the gap between ticks, in periods, after which the instance
// assumes that it was paused and that its clock says nothing about others.
const pausedPeriods = 3

// deadEvery is the number of periods between two probes of the dead.
const deadEvery = 10

// sweepInterval is the time between two clean-ups.
const sweepInterval = 10 * time.Second

// Tick does what is due at now. It should be called every PushInterval.
func (t *Table) Tick(now time.Time) []Send {
	out := t.forgivePause(now)
	t.lastTick = now
	out = append(out, t.checkProbes(now)...)
	out = append(out, t.probeDoubted(now)...)
	t.checkSuspects(now)
	if !now.Before(t.nextProbe) {
		t.nextProbe = now.Add(t.cfg.Period)
		out = append(out, t.probeAll(now)...)
	}
	out = append(out, t.pushDue(now)...)
	if !now.Before(t.nextSweep) {
		t.nextSweep = now.Add(sweepInterval)
		t.sweep(now)
	}
	return out
}

// forgivePause starts all waiting anew if the instance was paused, and probes
// those that it suspects: they may have refuted it in the meantime.
func (t *Table) forgivePause(now time.Time) []Send {
	gap := now.Sub(t.lastTick)
	if t.lastTick.IsZero() || gap < pausedPeriods*t.cfg.Period {
		return nil
	}
	clear(t.probes)
	var out []Send
	for _, id := range slices.Sorted(maps.Keys(t.suspects)) {
		t.suspects[id] = now.Add(t.cfg.Suspicion)
		if len(out) < t.cfg.Fanout {
			out = append(out, t.probe(id, now)...)
		}
	}
	return out
}

func (t *Table) probeAll(now time.Time) []Send {
	t.periods++
	out := t.probe(t.own.turn(), now)
	if t.periods%t.cfg.ForeignEvery == 0 {
		out = append(out, t.probe(t.foreignTurn(), now)...)
	}
	if t.periods%deadEvery == 0 {
		out = append(out, t.probe(t.dead.turn(), now)...)
	}
	return out
}

func (t *Table) probe(target ident.Instance, now time.Time) []Send {
	if target == "" {
		return nil
	}
	t.seq++
	t.probes[t.seq] = &probe{target: target, at: now}
	return []Send{t.message(target, Message{Kind: Ping, Seq: t.seq})}
}

// message completes m with the sender, the digest, rumours and what is held
// against the receiver, so that it can refute it.
func (t *Table) message(to ident.Instance, m Message) Send {
	m.Sender = t.self
	m.Digest = t.digest
	if e := t.entries[to]; e != nil && e.State != Live {
		m.Members = append(m.Members, e.Member)
	}
	t.attach(&m)
	return Send{To: to, Message: m}
}

// checkProbes asks others where no answer came and gives up what is overdue.
func (t *Table) checkProbes(now time.Time) []Send {
	var out []Send
	for _, seq := range slices.Sorted(maps.Keys(t.probes)) {
		p := t.probes[seq]
		age := now.Sub(p.at)
		e := t.entries[p.target]
		switch {
		case p.acked || e == nil || (age >= t.cfg.Period && e.State == Dead):
			delete(t.probes, seq)
		case age >= t.cfg.Period:
			delete(t.probes, seq)
			t.failed(e, now)
		case age >= t.cfg.ProbeTimeout && !p.indirect && e.Domain == t.self.Domain:
			p.indirect = true
			out = append(out, t.askOthers(seq, p.target)...)
		}
	}
	for seq, r := range t.relays {
		if now.Sub(r.at) >= t.cfg.Period {
			delete(t.relays, seq)
		}
	}
	return out
}

func (t *Table) askOthers(seq uint64, target ident.Instance) []Send {
	var out []Send
	for _, id := range t.own.pick(t.cfg.Indirect, target, t.rand) {
		out = append(out, t.message(id, Message{Kind: PingRequest, Seq: seq, Target: target}))
	}
	return out
}

// failed takes in that a probe had no answer.
func (t *Table) failed(e *entry, now time.Time) {
	if e.Domain == t.self.Domain {
		t.suspect(e, now)
		return
	}
	t.missed(e.Domain, now)
}

func (t *Table) suspect(e *entry, now time.Time) {
	switch e.State {
	case Live:
		t.pronounce(e.Member, Suspect, now)
	case Leaving:
		t.pronounce(e.Member, Dead, now)
	default:
	}
}

// checkSuspects pronounces members dead whose suspicion was not refuted.
func (t *Table) checkSuspects(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(t.suspects)) {
		if !now.Before(t.suspects[id]) {
			t.pronounce(t.entries[id].Member, Dead, now)
		}
	}
}

// pushDue pushes news if the last push is long enough ago.
func (t *Table) pushDue(now time.Time) []Send {
	if now.Before(t.nextPush) || !t.rumors.hot() {
		return nil
	}
	t.nextPush = now.Add(t.cfg.PushInterval)
	return t.push(t.cfg.Fanout)
}

// push sends rumours to n members of the own domain and one of another.
func (t *Table) push(n int) []Send {
	ids := t.own.pick(n, "", t.rand)
	if len(t.order) > 0 {
		d := t.order[t.rand(len(t.order))]
		ids = append(ids, t.domain(d).members.pick(1, "", t.rand)...)
	}
	if len(ids) == 0 {
		return nil
	}
	var out []Send
	for _, id := range ids {
		out = append(out, t.message(id, Message{Kind: Gossip}))
	}
	t.rumors.pushed()
	return out
}

// sweep forgets the dead and old notices.
func (t *Table) sweep(now time.Time) {
	for id, e := range t.entries {
		if e.State == Dead && now.Sub(e.since) >= t.cfg.TombstoneKeep {
			t.drop(id)
		}
	}
	for k, n := range t.notices {
		if now.Sub(n.since) >= t.cfg.TombstoneKeep {
			delete(t.notices, k)
			t.view = nil
		}
	}
}
