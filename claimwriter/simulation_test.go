package claimwriter

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"crocuslug/claim"
	"crocuslug/claimstore"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/standinkeyvalue"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/unit"
)

// world is the naive version: it counts the runs of each key and keeps what
// callers were told, next to instances that interleave at every store call.
type world struct {
	timer   *timer.Service
	store   *standinkeyvalue.Store
	choices []byte
	nodes   []*node
	late    []func()
	depth   int
	moving  bool // time advances; Advance does not nest
	names   int
	runs    map[string]int
	told    map[string]string
	held    []granted
	sent    []granted
	refused map[claim.ID]bool
	faults  []string
}

type node struct {
	w      *world
	writer *Writer
	ledger *claimstore.Store
	busy   bool
	dead   bool
}

type granted struct {
	n   *node
	key string
	op  claim.Operation
}

const (
	keys      = 3
	nodeCount = 3
	callLimit = 5 * time.Second
)

var claims = claim.Settings{Buckets: 2, MaxTail: 700, Skew: unit.Duration(time.Second), MaxDeliveryDelay: unit.Duration(10 * time.Second)}

func (w *world) choose(n int) int {
	if len(w.choices) == 0 {
		return 0
	}
	c := int(w.choices[0]) % n
	w.choices = w.choices[1:]
	return c
}

func (w *world) start(i int) {
	w.names++
	n := &node{w: w}
	self := ident.Instance(fmt.Sprintf("i%d", w.names))
	n.ledger = claimstore.New(claimstore.Settings{Claims: claims, Interval: -1}, n.port(), w.timer, self)
	n.writer = New(Settings{Claims: claims}, Dependencies{
		Local:     n.local,
		Forward:   n.forward,
		Preferred: func(int) ident.Instance { return [...]ident.Instance{"", "", "peer"}[w.choose(3)] },
		Spawn:     n.spawn,
	}, w.timer, self)
	w.nodes[i] = n
}

func (n *node) spawn(f func()) {
	if !n.dead && !n.busy {
		n.busy = true
		f()
		n.busy = false
	}
}

// local waits for the end of an operation also when ctx ends before, so that a
// world has one goroutine that moves.
func (n *node) local(ctx context.Context, op claim.Operation) (claim.Decision, error) {
	v, err := n.ledger.Apply(context.WithoutCancel(ctx), op)
	if ctx.Err() != nil {
		return claim.Decision{}, store.Unknown.New("%v", ctx.Err())
	}
	return v, err
}

// forward has an idle node apply op; the answer may be lost or the call late.
func (n *node) forward(ctx context.Context, _ ident.Instance, op claim.Operation) (claim.Decision, error) {
	w := n.w
	p := w.nodes[w.choose(nodeCount)]
	if p.busy {
		return claim.Decision{}, fmt.Errorf("no answer")
	}
	call := func() (claim.Decision, error) {
		p.busy = true
		defer func() { p.busy = false }()
		return p.local(ctx, op)
	}
	switch w.choose(4) {
	case 0:
		w.late = append(w.late, func() {
			if !p.busy {
				p.busy = true
				_, _ = p.ledger.Apply(context.Background(), op)
				p.busy = false
			}
		})
		return claim.Decision{}, fmt.Errorf("no answer yet")
	case 1:
		_, _ = call()
		return claim.Decision{}, fmt.Errorf("answer lost")
	}
	v, err := call()
	w.interleave()
	return v, err
}

// port is the store with interleavings, lost answers, late writes and outages.
func (n *node) port() store.Store {
	w := n.w
	p := w.store.Port()
	get, put := p.Get, p.Put
	p.Get = func(ctx context.Context, key string) (store.Entry, error) {
		e, err := get(ctx, key)
		w.interleave()
		return e, err
	}
	p.Put = func(ctx context.Context, key string, value []byte, expect store.Version, l store.Lease) (store.Version, error) {
		w.interleave()
		switch w.choose(8) {
		case 1:
			_, err := put(ctx, key, value, expect, l)
			if store.Unavailable.Has(err) || store.Conflict.Has(err) {
				return 0, err
			}
			return 0, store.Unknown.New("answer lost")
		case 2:
			v := append([]byte(nil), value...)
			w.late = append(w.late, func() { _, _ = put(context.Background(), key, v, expect, l) })
			return 0, store.Unknown.New("no answer yet")
		case 3:
			return 0, store.Unavailable.New("outage")
		}
		return put(ctx, key, value, expect, l)
	}
	return p
}

func (w *world) interleave() {
	for w.depth < 2 && w.choose(3) == 1 {
		w.depth++
		w.step()
		w.depth--
	}
}

// live makes events until the choices are spent or a fault is found.
func (w *world) live() {
	for len(w.choices) > 0 && len(w.faults) == 0 {
		w.step()
	}
}

// step makes one event of the world.
func (w *world) step() {
	switch w.choose(9) {
	case 0, 1, 2:
		w.request()
	case 3:
		w.deliverLate()
	case 4:
		w.resume()
	case 5:
		w.execute()
	case 6:
		w.advance([]time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 30 * time.Second}[w.choose(4)])
	case 7:
		w.crash()
	case 8:
		w.store.SetFaults(standinkeyvalue.Faults{Outage: w.choose(3) == 0})
	}
}

func (w *world) request() {
	n := w.nodes[w.choose(nodeCount)]
	if n.busy {
		return
	}
	key := fmt.Sprintf("k%d", w.choose(keys))
	n.busy = true
	op, v := n.writer.Take(context.Background(), Request{
		Key: claim.KeyOf("w", "s", key), Limit: callLimit,
		Status: func(context.Context) (claim.State, claim.Answer) { return w.status(key) },
	})
	n.busy = false
	w.hear(key, op, v)
	if v.Granted && !n.dead {
		w.begin(granted{n, key, op})
	}
}

func (w *world) status(key string) (claim.State, claim.Answer) {
	w.interleave()
	if w.runs[key] > 0 {
		return claim.Done, w.answer(key)
	}
	return claim.NotRun, claim.Answer{}
}

func (w *world) answer(key string) claim.Answer {
	return claim.Answer{Status: 201, Body: fmt.Appendf(nil, "%s run %d", key, w.runs[key])}
}

// hear checks what a caller is told.
func (w *world) hear(key string, op claim.Operation, v claim.Decision) {
	if v.Err != nil && v.Err.Run == result.RunNot {
		w.refused[op.Claim] = true
	}
	if v.Answer == nil {
		return
	}
	got, want := string(v.Answer.Body), w.told[key]
	if want == "" {
		want = string(w.answer(key).Body)
		w.told[key] = want
	}
	if got != want || w.runs[key] == 0 {
		w.fail("replayed answer of %s after %d runs: got %q, want %q", key, w.runs[key], got, want)
	}
}

func (w *world) begin(g granted) {
	switch w.choose(6) {
	case 0, 1:
		w.run(g)
		g.settle(claim.Done)
	case 2:
		g.settle(claim.NotRun)
		w.refused[g.op.Claim] = true
	case 3:
		w.sent = append(w.sent, g)
		g.settle(claim.Unknown)
	case 4:
		w.held = append(w.held, g)
	case 5:
		w.sent = append(w.sent, g)
	}
}

func (g granted) settle(s claim.State) {
	if g.n.dead || g.n.busy {
		return
	}
	op := g.op
	op.State = s
	if s == claim.Done {
		op.Answer = g.n.w.answer(g.key)
	}
	g.n.busy = true
	g.n.writer.Settle(op)
	g.n.busy = false
}

func (w *world) run(g granted) {
	w.runs[g.key]++
	if w.refused[g.op.Claim] {
		w.fail("claim %s ran after its caller was told that it did not", g.op.Claim)
	}
	if got := w.runs[g.key]; got > 1 {
		w.fail("runs of %s: got %d, want at most 1", g.key, got)
	}
}

// resume wakes a paused claimer, which starts only in time.
func (w *world) resume() {
	if len(w.held) == 0 {
		return
	}
	g := w.held[0]
	w.held = w.held[1:]
	if g.n.dead || !w.timer.Now().Before(g.op.StartBy) {
		g.settle(claim.NotRun)
		return
	}
	w.run(g)
	g.settle(claim.Done)
}

// execute has the service begin what it received.
func (w *world) execute() {
	if len(w.sent) == 0 {
		return
	}
	g := w.sent[0]
	w.sent = w.sent[1:]
	w.run(g)
	g.settle(claim.Done)
}

// advance moves time in steps. The service begins what it received within
// Settle of Until.
func (w *world) advance(d time.Duration) {
	if w.moving {
		return
	}
	w.moving = true
	for ; d > 0; d -= time.Second {
		w.executeDue(w.timer.Now().Add(time.Second))
		w.timer.Advance(time.Second)
	}
	w.moving = false
}

func (w *world) executeDue(now time.Time) {
	due := func(g granted) bool { return now.After(g.op.Until.Add(claims.MaxDeliveryDelay.Std())) }
	for {
		i := slices.IndexFunc(w.sent, due)
		if i < 0 {
			return
		}
		g := w.sent[i]
		w.sent = slices.Delete(slices.Clone(w.sent), i, i+1)
		w.run(g)
		g.settle(claim.Done)
	}
}

func (w *world) deliverLate() {
	if len(w.late) == 0 {
		return
	}
	i := w.choose(len(w.late))
	f := w.late[i]
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	f()
}

func (w *world) crash() {
	i := w.choose(nodeCount)
	if !w.nodes[i].busy {
		w.nodes[i].dead = true
		w.start(i)
	}
}

func (w *world) fail(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// draw expands a seed to evenly spread choices.
func draw(seed uint64, n int) []byte {
	var key [32]byte
	binary.BigEndian.PutUint64(key[:], seed)
	out := make([]byte, n)
	_, _ = rand.NewChaCha8(key).Read(out)
	return out
}

func newWorld(choices []byte) *world {
	v := timer.NewVirtual(time.Unix(1_000_000, 0))
	w := &world{
		timer: v, store: standinkeyvalue.New(v), choices: choices, nodes: make([]*node, nodeCount),
		runs: make(map[string]int), told: make(map[string]string), refused: make(map[claim.ID]bool),
	}
	for i := range w.nodes {
		w.start(i)
	}
	return w
}
