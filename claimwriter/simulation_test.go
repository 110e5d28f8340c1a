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
	timer        *timer.Service
	store        *standinkeyvalue.Store
	choices      []byte
	nodes        []*node
	delayed      []func()
	depth        int
	advancing    bool // set while the virtual time advances, since Advance must not be nested
	nodesStarted int
	runs         map[string]int
	replayed     map[string]string
	paused       []grantedClaim
	inFlight     []grantedClaim
	refused      map[claim.ID]bool
	violations   []string
}

// node is one instance.
type node struct {
	sim     *simulation
	writer  *Writer
	claims  *claimstore.Store
	busy    bool
	stopped bool
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
func (s *simulation) choose(n int) int {
	if len(s.choices) == 0 {
		return 0
	}
	c := int(s.choices[0]) % n
	s.choices = s.choices[1:]
	return c
}

func (s *simulation) start(i int) {
	s.nodesStarted++
	n := &node{sim: s}
	self := ident.Instance(fmt.Sprintf("i%d", s.nodesStarted))
	n.claims = claimstore.New(claimstore.Settings{Claims: claimSettings, Interval: -1}, n.port(), s.timer, self)
	n.writer = New(Settings{Claims: claimSettings}, Dependencies{
		ApplyLocal:      n.local,
		Forward:         n.forward,
		PreferredWriter: func(int) ident.Instance { return [...]ident.Instance{"", "", "peer"}[s.choose(3)] },
		Spawn:           n.spawn,
	}, s.timer, self)
	s.nodes[i] = n
}

func (n *node) spawn(f func()) {
	if !n.stopped && !n.busy {
		n.busy = true
		f()
		n.busy = false
	}
}

// local applies an operation and waits for its end even if ctx ends earlier, so
// that only one goroutine of a simulation runs at a time.
func (n *node) local(ctx context.Context, op claim.Operation) (claim.Decision, error) {
	v, err := n.claims.Apply(context.WithoutCancel(ctx), op)
	if ctx.Err() != nil {
		return claim.Decision{}, store.Unknown.New("%v", ctx.Err())
	}
	return v, err
}

// forward lets an idle node apply op. The answer may be lost, or the call may be
// delayed.
func (n *node) forward(ctx context.Context, _ ident.Instance, op claim.Operation) (claim.Decision, error) {
	s := n.sim
	p := s.nodes[s.choose(nodeCount)]
	if p.busy {
		return claim.Decision{}, fmt.Errorf("no answer")
	}
	call := func() (claim.Decision, error) {
		p.busy = true
		defer func() { p.busy = false }()
		return p.local(ctx, op)
	}
	switch s.choose(4) {
	case 0:
		s.delayed = append(s.delayed, func() {
			if !p.busy {
				p.busy = true
				_, _ = p.claims.Apply(context.Background(), op)
				p.busy = false
			}
		})
		return claim.Decision{}, fmt.Errorf("no answer yet")
	case 1:
		_, _ = call()
		return claim.Decision{}, fmt.Errorf("answer lost")
	}
	v, err := call()
	s.interleave()
	return v, err
}

// port returns the store with interleaved events, lost answers, delayed writes
// and outages.
func (n *node) port() store.Store {
	s := n.sim
	p := s.store.Port()
	get, put := p.Get, p.Put
	p.Get = func(ctx context.Context, key string) (store.Entry, error) {
		e, err := get(ctx, key)
		s.interleave()
		return e, err
	}
	p.Put = func(ctx context.Context, key string, value []byte, expect store.Version, l store.Lease) (store.Version, error) {
		s.interleave()
		switch s.choose(8) {
		case 1:
			_, err := put(ctx, key, value, expect, l)
			if store.Unavailable.Has(err) || store.Conflict.Has(err) {
				return 0, err
			}
			return 0, store.Unknown.New("answer lost")
		case 2:
			v := append([]byte(nil), value...)
			s.delayed = append(s.delayed, func() { _, _ = put(context.Background(), key, v, expect, l) })
			return 0, store.Unknown.New("no answer yet")
		case 3:
			return 0, store.Unavailable.New("outage")
		}
		return put(ctx, key, value, expect, l)
	}
	return p
}

// interleave runs further events in the middle of a store call.
func (s *simulation) interleave() {
	for s.depth < 2 && s.choose(3) == 1 {
		s.depth++
		s.step()
		s.depth--
	}
}

// run simulates events until no choices remain or a violation is found.
func (s *simulation) run() {
	for len(s.choices) > 0 && len(s.violations) == 0 {
		s.step()
	}
}

// step simulates one event.
func (s *simulation) step() {
	switch s.choose(9) {
	case 0, 1, 2:
		s.request()
	case 3:
		s.runDelayed()
	case 4:
		s.resumePaused()
	case 5:
		s.executeInFlight()
	case 6:
		s.advance([]time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 30 * time.Second}[s.choose(4)])
	case 7:
		s.restartNode()
	case 8:
		s.store.SetFaults(standinkeyvalue.Faults{Outage: s.choose(3) == 0})
	}
}

func (s *simulation) request() {
	n := s.nodes[s.choose(nodeCount)]
	if n.busy {
		return
	}
	key := fmt.Sprintf("k%d", s.choose(keys))
	n.busy = true
	op, v := n.writer.Claim(context.Background(), Request{
		Key: claim.KeyOf("w", "s", key), Timeout: callLimit,
		Status: func(context.Context) (claim.State, claim.Answer) { return s.status(key) },
	})
	n.busy = false
	s.checkDecision(key, op, v)
	if v.Granted && !n.stopped {
		s.startAction(grantedClaim{n, key, op})
	}
}

func (s *simulation) status(key string) (claim.State, claim.Answer) {
	s.interleave()
	if s.runs[key] > 0 {
		return claim.Done, s.answer(key)
	}
	return claim.NotRun, claim.Answer{}
}

func (s *simulation) answer(key string) claim.Answer {
	return claim.Answer{Status: 201, Body: fmt.Appendf(nil, "%s run %d", key, s.runs[key])}
}

// checkDecision checks the decision that a caller receives.
func (s *simulation) checkDecision(key string, op claim.Operation, v claim.Decision) {
	if v.Err != nil && v.Err.Run == result.RunNot {
		s.refused[op.Claim] = true
	}
	if v.Answer == nil {
		return
	}
	got, want := string(v.Answer.Body), s.replayed[key]
	if want == "" {
		want = string(s.answer(key).Body)
		s.replayed[key] = want
	}
	if got != want || s.runs[key] == 0 {
		s.fail("replayed answer of %s after %d runs: got %q, want %q", key, s.runs[key], got, want)
	}
}

// startAction decides what the claimer does with a granted claim: it runs the
// action, releases the claim, loses the answer of the service, or pauses.
func (s *simulation) startAction(g grantedClaim) {
	switch s.choose(6) {
	case 0, 1:
		s.runAction(g)
		g.settle(claim.Done)
	case 2:
		g.settle(claim.NotRun)
		s.refused[g.op.Claim] = true
	case 3:
		s.inFlight = append(s.inFlight, g)
		g.settle(claim.Unknown)
	case 4:
		s.paused = append(s.paused, g)
	case 5:
		s.inFlight = append(s.inFlight, g)
	}
}

func (g grantedClaim) settle(s claim.State) {
	if g.n.stopped || g.n.busy {
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

func (s *simulation) runAction(g grantedClaim) {
	s.runs[g.key]++
	if s.refused[g.op.Claim] {
		s.fail("claim %s ran after its caller was told that it would not run", g.op.Claim)
	}
	if got := s.runs[g.key]; got > 1 {
		s.fail("runs of %s: got %d, want at most 1", g.key, got)
	}
}

// resumePaused resumes a paused claimer, which runs the action unless StartBy has
// passed.
func (s *simulation) resumePaused() {
	if len(s.paused) == 0 {
		return
	}
	g := s.paused[0]
	s.paused = s.paused[1:]
	if g.n.stopped || !s.timer.Now().Before(g.op.StartBy) {
		g.settle(claim.NotRun)
		return
	}
	s.runAction(g)
	g.settle(claim.Done)
}

// executeInFlight lets the service run the oldest request that is in flight.
func (s *simulation) executeInFlight() {
	if len(s.inFlight) == 0 {
		return
	}
	g := s.inFlight[0]
	s.inFlight = s.inFlight[1:]
	s.runAction(g)
	g.settle(claim.Done)
}

// advance advances the time in steps of a second. The service runs each request
// that is in flight at the latest MaxDeliveryDelay after its Until.
func (s *simulation) advance(d time.Duration) {
	if s.advancing {
		return
	}
	s.advancing = true
	for ; d > 0; d -= time.Second {
		s.executeDue(s.timer.Now().Add(time.Second))
		s.timer.Advance(time.Second)
	}
	s.advancing = false
}

func (s *simulation) executeDue(now time.Time) {
	due := func(g grantedClaim) bool { return now.After(g.op.Until.Add(claimSettings.MaxDeliveryDelay.Std())) }
	for {
		i := slices.IndexFunc(s.inFlight, due)
		if i < 0 {
			return
		}
		g := s.inFlight[i]
		s.inFlight = slices.Delete(slices.Clone(s.inFlight), i, i+1)
		s.runAction(g)
		g.settle(claim.Done)
	}
}

func (s *simulation) runDelayed() {
	if len(s.delayed) == 0 {
		return
	}
	i := s.choose(len(s.delayed))
	f := s.delayed[i]
	s.delayed = append(s.delayed[:i:i], s.delayed[i+1:]...)
	f()
}

func (s *simulation) restartNode() {
	i := s.choose(nodeCount)
	if !s.nodes[i].busy {
		s.nodes[i].stopped = true
		s.start(i)
	}
}

func (s *simulation) fail(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
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
	s := &simulation{
		timer: v, store: standinkeyvalue.New(v), choices: choices, nodes: make([]*node, nodeCount),
		runs: make(map[string]int), replayed: make(map[string]string), refused: make(map[claim.ID]bool),
	}
	for i := range s.nodes {
		s.start(i)
	}
	return s
}
