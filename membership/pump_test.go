package membership

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"crocuslug/ident"
)

const (
	step      = 20 * time.Millisecond // one way between two instances
	tickSteps = 10
)

type wire struct {
	from, to ident.Instance
	message  Message
}

// node runs one table. A node without a table answers pings and no more.
type node struct {
	Member
	table        *Table
	naive        *naive
	dead, frozen bool
	phase        int
}

// pump carries messages in virtual time, with losses and cuts.
type pump struct {
	t        testing.TB
	now      time.Time
	steps    int
	rand     *rand.Rand
	loss     float64
	replay   float64 // share of steps that deliver an old message again
	old      []wire
	cuts     map[[2]string]bool // instances or domains
	nodes    map[ident.Instance]*node
	order    []*node
	flight   []wire
	beats    []beat
	messages int
	largest  int
	busiest  int // most messages of one tick
}

func newPump(t testing.TB) *pump {
	return &pump{
		t:     t,
		now:   time.Unix(1000, 0),
		rand:  rand.New(rand.NewSource(1)),
		cuts:  map[[2]string]bool{},
		nodes: map[ident.Instance]*node{},
	}
}

// add starts a run of a name; the table is told of nobody yet.
func (p *pump) add(name string, run uint64, domain ident.Domain, stub bool) *node {
	m := Member{Instance: ident.Instance(name), Name: name, Incarnation: run * 1000, Domain: domain, PeerAddress: "10.0.0.1:7000", State: Live}
	if run > 1 {
		m.Instance = ident.Instance(fmt.Sprintf("%s/%d", name, run))
	}
	n := &node{Member: m, phase: p.rand.Intn(tickSteps)}
	if !stub {
		n.table = New(Settings{}, m, p.rand.Intn)
	}
	p.nodes[m.Instance] = n
	p.order = append(p.order, n)
	slices.SortFunc(p.order, func(a, b *node) int { return cmp.Compare(a.Instance, b.Instance) })
	return n
}

func (p *pump) list(n *node) {
	var all []Member
	for _, o := range p.order {
		if !o.dead {
			all = append(all, o.Member)
		}
	}
	n.table.Listing(all, p.now)
}

func (p *pump) cut(from, to *node) bool {
	return p.cuts[[2]string{string(from.Instance), string(to.Instance)}] || p.cuts[[2]string{string(from.Domain), string(to.Domain)}]
}

func (p *pump) send(from *node, out []Send) {
	for _, s := range out {
		p.messages++
		if p.messages%17 == 0 && s.Message.Kind != SyncPage {
			text, _ := json.Marshal(s.Message)
			p.largest = max(p.largest, len(text))
		}
		p.flight = append(p.flight, wire{from: from.Instance, to: s.To, message: s.Message})
	}
}

func (p *pump) runs(id ident.Instance) *node {
	n := p.nodes[id]
	if n == nil || n.dead || n.frozen {
		return nil
	}
	return n
}

func (p *pump) deliver(w wire) {
	to := p.runs(w.to)
	if to == nil || p.cut(p.nodes[w.from], to) || p.rand.Float64() < p.loss {
		return
	}
	if to.table != nil {
		p.send(to, to.table.Receive(w.message, p.now))
		return
	}
	if w.message.Kind == Ping {
		p.send(to, []Send{{To: w.from, Message: Message{Kind: Ack, Sender: to.Member, Seq: w.message.Seq, Digest: w.message.Digest}}})
	}
}

func (p *pump) step() {
	p.now = p.now.Add(step)
	p.steps++
	flight := p.flight
	p.flight = nil
	for _, w := range flight {
		p.deliver(w)
	}
	p.deliverOld(flight)
	p.deliverBeats()
	for _, n := range p.order {
		if n.dead || n.frozen || (p.steps+n.phase)%tickSteps != 0 {
			continue
		}
		if n.table != nil {
			out := n.table.Tick(p.now)
			p.busiest = max(p.busiest, len(out))
			p.send(n, out)
		}
		p.beat(n)
	}
}

func (p *pump) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.step()
	}
}

// deliverOld keeps some messages and delivers one of them again at times.
func (p *pump) deliverOld(flight []wire) {
	if p.replay == 0 {
		return
	}
	if len(flight) > 0 {
		p.old = append(p.old, flight[0])
	}
	if len(p.old) > 0 && p.rand.Float64() < p.replay {
		p.deliver(p.old[p.rand.Intn(len(p.old))])
	}
}

// state is what n believes of a member; "Gone" if it is not in its view.
func (n *node) state(id ident.Instance) State {
	m, ok := n.table.View().Find(id)
	if !ok {
		return "Gone"
	}
	return m.State
}

// naive hears of all others through everyone, all of the time.
type naive struct {
	heard map[ident.Instance]sign
}

type sign struct {
	count   int
	leaving bool
	at      time.Time // when this count was first heard
}

type beat struct {
	from, to *node
	heard    map[ident.Instance]sign
}

const naiveTimeout = 8 * time.Second

func (p *pump) beat(n *node) {
	if n.naive == nil {
		return
	}
	self := n.naive.heard[n.Instance]
	n.naive.heard[n.Instance] = sign{count: self.count + 1, leaving: self.leaving, at: p.now}
	heard := maps.Clone(n.naive.heard)
	for _, o := range p.order {
		p.beats = append(p.beats, beat{from: n, to: o, heard: heard})
	}
}

func (p *pump) deliverBeats() {
	beats := p.beats
	p.beats = nil
	for _, b := range beats {
		if p.runs(b.to.Instance) == nil || p.cut(b.from, b.to) {
			continue
		}
		for id, s := range b.heard {
			if s.count > b.to.naive.heard[id].count {
				b.to.naive.heard[id] = sign{count: s.count, leaving: s.leaving, at: p.now}
			}
		}
	}
}

func (p *pump) naiveState(n *node, id ident.Instance) State {
	s := n.naive.heard[id]
	switch {
	case p.now.Sub(s.at) > naiveTimeout:
		return "Gone"
	case s.leaving:
		return Leaving
	default:
		return Live
	}
}
