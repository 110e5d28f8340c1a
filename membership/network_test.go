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
	step      = 20 * time.Millisecond // one-way delay between two instances
	tickSteps = 10                    // steps between two ticks of a node
)

// packet is a message in flight.
type packet struct {
	from, to ident.Instance
	message  Message
}

// node runs one table. A node without a table only answers pings.
type node struct {
	Member
	table        *Table
	heartbeats   *heartbeatDetector
	dead, frozen bool
	tickPhase    int // offset of its ticks in steps
}

// network delivers messages in virtual time, with losses and cut links.
type network struct {
	t               testing.TB
	now             time.Time
	steps           int
	rand            *rand.Rand
	loss            float64
	replay          float64 // fraction of steps that deliver an old message again
	delivered       []packet
	cuts            map[[2]string]bool // cut links, as pairs of instances or domains
	nodes           map[ident.Instance]*node
	sorted          []*node
	inFlight        []packet
	beatsInFlight   []heartbeat
	messages        int
	maxMessageBytes int
	maxTickMessages int // most messages sent by one tick
}

func newNetwork(t testing.TB) *network {
	return &network{
		t:     t,
		now:   time.Unix(1000, 0),
		rand:  rand.New(rand.NewSource(1)),
		cuts:  map[[2]string]bool{},
		nodes: map[ident.Instance]*node{},
	}
}

// add starts a run of a name. Its table knows no other members yet.
func (net *network) add(name string, run uint64, domain ident.Domain, stub bool) *node {
	m := Member{Instance: ident.Instance(name), Name: name, Incarnation: run * 1000, Domain: domain, PeerAddress: "10.0.0.1:7000", State: Live}
	if run > 1 {
		m.Instance = ident.Instance(fmt.Sprintf("%s/%d", name, run))
	}
	n := &node{Member: m, tickPhase: net.rand.Intn(tickSteps)}
	if !stub {
		n.table = New(Settings{}, m, net.rand.Intn)
	}
	net.nodes[m.Instance] = n
	net.sorted = append(net.sorted, n)
	slices.SortFunc(net.sorted, func(a, b *node) int { return cmp.Compare(a.Instance, b.Instance) })
	return n
}

// applyInstanceList applies a list of all running members to the table of n.
func (net *network) applyInstanceList(n *node) {
	var all []Member
	for _, o := range net.sorted {
		if !o.dead {
			all = append(all, o.Member)
		}
	}
	n.table.ApplyInstanceList(all, net.now)
}

func (net *network) isCut(from, to *node) bool {
	return net.cuts[[2]string{string(from.Instance), string(to.Instance)}] || net.cuts[[2]string{string(from.Domain), string(to.Domain)}]
}

func (net *network) send(from *node, out []Envelope) {
	for _, s := range out {
		net.messages++
		if net.messages%17 == 0 && s.Message.Kind != SyncPage {
			text, _ := json.Marshal(s.Message)
			net.maxMessageBytes = max(net.maxMessageBytes, len(text))
		}
		net.inFlight = append(net.inFlight, packet{from: from.Instance, to: s.To, message: s.Message})
	}
}

// running returns the node of an instance, or nil if it is dead, frozen or unknown.
func (net *network) running(id ident.Instance) *node {
	n := net.nodes[id]
	if n == nil || n.dead || n.frozen {
		return nil
	}
	return n
}

func (net *network) deliver(w packet) {
	to := net.running(w.to)
	if to == nil || net.isCut(net.nodes[w.from], to) || net.rand.Float64() < net.loss {
		return
	}
	if to.table != nil {
		net.send(to, to.table.Receive(w.message, net.now))
		return
	}
	if w.message.Kind == Ping {
		net.send(to, []Envelope{{To: w.from, Message: Message{Kind: Ack, Sender: to.Member, Seq: w.message.Seq, Digest: w.message.Digest}}})
	}
}

// step advances the time, delivers the messages in flight and runs the due ticks.
func (net *network) step() {
	net.now = net.now.Add(step)
	net.steps++
	inFlight := net.inFlight
	net.inFlight = nil
	for _, w := range inFlight {
		net.deliver(w)
	}
	net.replayOld(inFlight)
	net.deliverHeartbeats()
	for _, n := range net.sorted {
		if n.dead || n.frozen || (net.steps+n.tickPhase)%tickSteps != 0 {
			continue
		}
		if n.table != nil {
			out := n.table.Tick(net.now)
			net.maxTickMessages = max(net.maxTickMessages, len(out))
			net.send(n, out)
		}
		net.sendHeartbeats(n)
	}
}

func (net *network) run(d time.Duration) {
	for end := net.now.Add(d); net.now.Before(end); {
		net.step()
	}
}

// replayOld keeps some delivered messages and delivers one of them again from time to
// time.
func (net *network) replayOld(flight []packet) {
	if net.replay == 0 {
		return
	}
	if len(flight) > 0 {
		net.delivered = append(net.delivered, flight[0])
	}
	if len(net.delivered) > 0 && net.rand.Float64() < net.replay {
		net.deliver(net.delivered[net.rand.Intn(len(net.delivered))])
	}
}

// state returns the state of a member in the view of n, or "Gone" if the view does
// not contain it.
func (n *node) state(id ident.Instance) State {
	m, ok := n.table.View().Find(id)
	if !ok {
		return "Gone"
	}
	return m.State
}

// heartbeatDetector is a simple reference failure detector. Each instance sends the
// counters of all instances to all others in each tick.
type heartbeatDetector struct {
	counters map[ident.Instance]counter
}

// counter is the heartbeat counter of one instance.
type counter struct {
	value   int
	leaving bool
	at      time.Time // when this value was first received
}

// heartbeat carries the counters of one node to another.
type heartbeat struct {
	from, to *node
	counters map[ident.Instance]counter
}

// heartbeatTimeout is the time without a new counter after which a member is gone.
const heartbeatTimeout = 8 * time.Second

func (net *network) sendHeartbeats(n *node) {
	if n.heartbeats == nil {
		return
	}
	self := n.heartbeats.counters[n.Instance]
	n.heartbeats.counters[n.Instance] = counter{value: self.value + 1, leaving: self.leaving, at: net.now}
	counters := maps.Clone(n.heartbeats.counters)
	for _, o := range net.sorted {
		net.beatsInFlight = append(net.beatsInFlight, heartbeat{from: n, to: o, counters: counters})
	}
}

func (net *network) deliverHeartbeats() {
	inFlight := net.beatsInFlight
	net.beatsInFlight = nil
	for _, b := range inFlight {
		if net.running(b.to.Instance) == nil || net.isCut(b.from, b.to) {
			continue
		}
		for id, s := range b.counters {
			if s.value > b.to.heartbeats.counters[id].value {
				b.to.heartbeats.counters[id] = counter{value: s.value, leaving: s.leaving, at: net.now}
			}
		}
	}
}

// heartbeatState returns the state of a member according to the heartbeats of n.
func (net *network) heartbeatState(n *node, id ident.Instance) State {
	s := n.heartbeats.counters[id]
	switch {
	case net.now.Sub(s.at) > heartbeatTimeout:
		return "Gone"
	case s.leaving:
		return Leaving
	default:
		return Live
	}
}
