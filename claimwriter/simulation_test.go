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

// simulation runs instances whose store calls interleave as choices decide. As a
// reference it counts the runs of each key and keeps the answers that callers
// received.
type simulation struct {
	timer      *timer.Service
	store      *standinkeyvalue.Store
	choices    []byte
	nodes      []*node
	lateWrites []func()
	depth      int
	advancing  bool // set while the virtual time advances, since Advance must not be nested
	started    int
	runs       map[string]int
	replayed   map[string]string
	paused     []grantedClaim
	inFlight   []grantedClaim
	refused    map[claim.ID]bool
	violations []string
}

// node is one instance.
type node struct {
	sim    *simulation
	writer *Writer
	ledger *claimstore.Store
	busy   bool
	dead   bool
}

// grantedClaim is a claim that node n was granted.
type grantedClaim struct {
	n   *node
	key string
	op  claim.Operation
}

const (
	keys      = 3
	nodeCount = 3
	callLimit = 5 * time.Second
)

var claimSettings = claim.Settings{Buckets: 2, MaxTail: 700, Skew: unit.Duration(time.Second), MaxDeliveryDelay: unit.Duration(10 * time.Second)}

// choose consumes the next choice and returns a number below n, or 0 if no
// choices remain.
func (w *simulation) choose(n int) int {
	if len(w.choices) == 0 {
		return 0
	}
	c := int(w.choices[0]) % n
	w.choices = w.choices[1:]
	return c
}

func (w *simulation) start(i int) {
	w.started++
	n := &node{sim: w}
	self := ident.Instance(fmt.Sprintf("i%d", w.started))
	n.ledger = claimstore.New(claimstore.Settings{Claims: claimSettings, Interval: -1}, n.port(), w.timer, self)
	n.writer = New(Settings{Claims: claimSettings}, Dependencies{
		ApplyLocal:      n.local,
		Forward:         n.forward,
		PreferredWriter: func(int) ident.Instance { return [...]ident.Instance{"", "", "peer"}[w.choose(3)] },
		Spawn:           n.spawn,
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

// local applies an operation and waits for its end even if ctx ends earlier, so
// that only one goroutine of a simulation runs at a time.
func (n *node) local(ctx context.Context, op claim.Operation) (claim.Decision, error) {
	v, err := n.ledger.Apply(context.WithoutCancel(ctx), op)
	if ctx.Err() != nil {
		return claim.Decision{}, store.Unknown.New("%v", ctx.Err())
	}
	return v, err
}

// forward lets an idle node apply op. The answer may be lost, or the call may be
// delayed.
func (n *node) forward(ctx context.Context, _ ident.Instance, op claim.Operation) (claim.Decision, error) {
	w := n.sim
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
		w.lateWrites = append(w.lateWrites, func() {
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

// port returns the store with interleaved events, lost answers, delayed writes
// and outages.
func (n *node) port() store.Store {
	w := n.sim
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
			w.lateWrites = append(w.lateWrites, func() { _, _ = put(context.Background(), key, v, expect, l) })
			return 0, store.Unknown.New("no answer yet")
		case 3:
			return 0, store.Unavailable.New("outage")
		}
		return put(ctx, key, value, expect, l)
	}
	return p
}

// interleave runs further events in the middle of a store call.
func (w *simulation) interleave() {
	for w.depth < 2 && w.choose(3) == 1 {
		w.depth++
		w.step()
		w.depth--
	}
}

// run simulates events until no choices remain or a violation is found.
func (w *simulation) run() {
	for len(w.choices) > 0 && len(w.violations) == 0 {
		w.step()
	}
}

// step simulates one event.
func (w *simulation) step() {
	switch w.choose(9) {
	case 0, 1, 2:
		w.request()
	case 3:
		w.deliverLate()
	case 4:
		w.resumePaused()
	case 5:
		w.executeInFlight()
	case 6:
		w.advance([]time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 30 * time.Second}[w.choose(4)])
	case 7:
		w.restartNode()
	case 8:
		w.store.SetFaults(standinkeyvalue.Faults{Outage: w.choose(3) == 0})
	}
}

func (w *simulation) request() {
	n := w.nodes[w.choose(nodeCount)]
	if n.busy {
		return
	}
	key := fmt.Sprintf("k%d", w.choose(keys))
	n.busy = true
	op, v := n.writer.Claim(context.Background(), Request{
		Key: claim.KeyOf("w", "s", key), Timeout: callLimit,
		Status: func(context.Context) (claim.State, claim.Answer) { return w.status(key) },
	})
	n.busy = false
	w.checkDecision(key, op, v)
	if v.Granted && !n.dead {
		w.startAction(grantedClaim{n, key, op})
	}
}

func (w *simulation) status(key string) (claim.State, claim.Answer) {
	w.interleave()
	if w.runs[key] > 0 {
		return claim.Done, w.answer(key)
	}
	return claim.NotRun, claim.Answer{}
}

func (w *simulation) answer(key string) claim.Answer {
	return claim.Answer{Status: 201, Body: fmt.Appendf(nil, "%s run %d", key, w.runs[key])}
}

// checkDecision checks the decision that a caller receives.
func (w *simulation) checkDecision(key string, op claim.Operation, v claim.Decision) {
	if v.Err != nil && v.Err.Run == result.RunNot {
		w.refused[op.Claim] = true
	}
	if v.Answer == nil {
		return
	}
	got, want := string(v.Answer.Body), w.replayed[key]
	if want == "" {
		want = string(w.answer(key).Body)
		w.replayed[key] = want
	}
	if got != want || w.runs[key] == 0 {
		w.fail("replayed answer of %s after %d runs: got %q, want %q", key, w.runs[key], got, want)
	}
}

// startAction decides what the claimer does with a granted claim: it runs the
// action, releases the claim, loses the answer of the service, or pauses.
func (w *simulation) startAction(g grantedClaim) {
	switch w.choose(6) {
	case 0, 1:
		w.runAction(g)
		g.settle(claim.Done)
	case 2:
		g.settle(claim.NotRun)
		w.refused[g.op.Claim] = true
	case 3:
		w.inFlight = append(w.inFlight, g)
		g.settle(claim.Unknown)
	case 4:
		w.paused = append(w.paused, g)
	case 5:
		w.inFlight = append(w.inFlight, g)
	}
}

func (g grantedClaim) settle(s claim.State) {
	if g.n.dead || g.n.busy {
		return
	}
	op := g.op
	op.State = s
	if s == claim.Done {
		op.Answer = g.n.sim.answer(g.key)
	}
	g.n.busy = true
	g.n.writer.Settle(op)
	g.n.busy = false
}

func (w *simulation) runAction(g grantedClaim) {
	w.runs[g.key]++
	if w.refused[g.op.Claim] {
		w.fail("claim %s ran after its caller was told that it would not run", g.op.Claim)
	}
	if got := w.runs[g.key]; got > 1 {
		w.fail("runs of %s: got %d, want at most 1", g.key, got)
	}
}

// resumePaused resumes a paused claimer, which runs the action unless StartBy has
// passed.
func (w *simulation) resumePaused() {
	if len(w.paused) == 0 {
		return
	}
	g := w.paused[0]
	w.paused = w.paused[1:]
	if g.n.dead || !w.timer.Now().Before(g.op.StartBy) {
		g.settle(claim.NotRun)
		return
	}
	w.runAction(g)
	g.settle(claim.Done)
}

// executeInFlight lets the service run the oldest request that is in flight.
func (w *simulation) executeInFlight() {
	if len(w.inFlight) == 0 {
		return
	}
	g := w.inFlight[0]
	w.inFlight = w.inFlight[1:]
	w.runAction(g)
	g.settle(claim.Done)
}

// advance advances the time in steps of a second. The service runs each request
// that is in flight at the latest MaxDeliveryDelay after its Until.
func (w *simulation) advance(d time.Duration) {
	if w.advancing {
		return
	}
	w.advancing = true
	for ; d > 0; d -= time.Second {
		w.executeDue(w.timer.Now().Add(time.Second))
		w.timer.Advance(time.Second)
	}
	w.advancing = false
}

func (w *simulation) executeDue(now time.Time) {
	due := func(g grantedClaim) bool { return now.After(g.op.Until.Add(claimSettings.MaxDeliveryDelay.Std())) }
	for {
		i := slices.IndexFunc(w.inFlight, due)
		if i < 0 {
			return
		}
		g := w.inFlight[i]
		w.inFlight = slices.Delete(slices.Clone(w.inFlight), i, i+1)
		w.runAction(g)
		g.settle(claim.Done)
	}
}

func (w *simulation) deliverLate() {
	if len(w.lateWrites) == 0 {
		return
	}
	i := w.choose(len(w.lateWrites))
	f := w.lateWrites[i]
	w.lateWrites = append(w.lateWrites[:i:i], w.lateWrites[i+1:]...)
	f()
}

func (w *simulation) restartNode() {
	i := w.choose(nodeCount)
	if !w.nodes[i].busy {
		w.nodes[i].dead = true
		w.start(i)
	}
}

func (w *simulation) fail(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// expandSeed returns n uniformly distributed choices.
func expandSeed(seed uint64, n int) []byte {
	var key [32]byte
	binary.BigEndian.PutUint64(key[:], seed)
	out := make([]byte, n)
	_, _ = rand.NewChaCha8(key).Read(out)
	return out
}

func newSimulation(choices []byte) *simulation {
	v := timer.NewVirtual(time.Unix(1_000_000, 0))
	w := &simulation{
		timer: v, store: standinkeyvalue.New(v), choices: choices, nodes: make([]*node, nodeCount),
		runs: make(map[string]int), replayed: make(map[string]string), refused: make(map[claim.ID]bool),
	}
	for i := range w.nodes {
		w.start(i)
	}
	return w
}
