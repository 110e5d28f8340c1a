package generation

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"crocuslug/batch"
	"crocuslug/cursor"
	"crocuslug/ident"
	"crocuslug/replica"
	"crocuslug/result"
	"crocuslug/tokenlog"
)

// answerLen is the number of tokens of the answer.
const answerLen = 12

// simulation runs the machines of one generation against fake engines and a replica store.
// Pending messages may be delivered in any order, twice or never.
type simulation struct {
	t       *rapid.T
	now     time.Time
	spec    Spec
	store   *replica.Store
	nonces  int
	streams map[string]*fakeStream // by engine and stream
	owners  []*fakeOwner
	pending []message
	caller  fakeCaller
}

// message is an event on its way to an owner.
type message struct {
	owner int
	label string
	event func(m *Machine) []Action
}

// fakeStream is a stream on a fake engine.
type fakeStream struct {
	tokens []string
	dead   bool
}

// fakeOwner is an instance that owns the generation or owned it before.
type fakeOwner struct {
	id      ident.Instance
	machine *Machine
	paused  bool
}

// fakeCaller reads from the newest owner and records what it received.
type fakeCaller struct {
	tokens []string
	cursor cursor.Cursor
	done   bool
	result *result.Error
}

func newSimulation(t *rapid.T, cfg Settings, rcfg replica.Settings) *simulation {
	w := &simulation{
		t:       t,
		now:     time.Unix(1000, 0),
		spec:    Spec{Request: "r", Generation: "g", Workspace: "w", Model: "m", MaxTokens: answerLen},
		store:   replica.New(rcfg),
		streams: make(map[string]*fakeStream),
	}
	w.caller.cursor = cursor.New("g")
	w.owners = []*fakeOwner{{id: "a", machine: New(cfg, w.spec)}}
	w.perform(0, w.owners[0].machine.Start(w.now))
	return w
}

// enqueue adds an event to the pending messages.
func (w *simulation) enqueue(owner int, label string, event func(m *Machine) []Action) {
	w.pending = append(w.pending, message{owner, label, event})
}

// perform executes the actions of an owner.
func (w *simulation) perform(o int, acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case ChooseEngine:
			u := ident.Upstream(fmt.Sprintf("e%d", rapid.IntRange(0, 2).Draw(w.t, "engine")))
			w.perform(o, w.owners[o].machine.EngineChosen(w.now, u))
		case StartStream:
			w.startStream(o, a)
		case ResumeStream:
			w.resumeStream(o, a)
		case ChooseReplica:
			id := ident.Instance("r")
			if rapid.IntRange(0, 9).Draw(w.t, "replica") == 0 {
				id = ""
			}
			w.perform(o, w.owners[o].machine.ReplicaChosen(w.now, id))
		case Replicate:
			w.replicate(o, a)
		}
	}
}

func streamKey(a Action) string { return string(a.Upstream) + "/" + a.Stream }

// startStream creates the stream of an attempt. A new answer gets a new nonce; a
// continuation uses the nonce of the tokens that it continues.
func (w *simulation) startStream(o int, a Action) {
	log := w.owners[o].machine.Log()
	s := &fakeStream{tokens: log.Tokens(0, a.From)}
	nonce := fmt.Sprintf("n%d", w.nonces)
	if a.From > 0 {
		nonce, _, _ = strings.Cut(s.tokens[0], ".")
	} else {
		w.nonces++
	}
	for i := a.From; i < answerLen; i++ {
		s.tokens = append(s.tokens, fmt.Sprintf("%s.%d", nonce, i))
	}
	w.streams[streamKey(a)] = s
	w.enqueueStream(o, a, s)
}

func (w *simulation) resumeStream(o int, a Action) {
	s, ok := w.streams[streamKey(a)]
	if !ok || s.dead {
		w.enqueueLoss(o, a.Attempt, UnknownStream)
		return
	}
	w.enqueueStream(o, a, s)
}

// enqueueStream adds the events of a stream to the pending messages.
func (w *simulation) enqueueStream(o int, a Action, s *fakeStream) {
	now := func() time.Time { return w.now }
	w.enqueue(o, "open", func(m *Machine) []Action { return m.StreamOpened(now(), a.Attempt) })
	for i := a.From; i < len(s.tokens); i++ {
		w.enqueue(o, "token", func(m *Machine) []Action {
			return m.TokensReceived(now(), a.Attempt, i, s.tokens[i:i+1])
		})
	}
	w.enqueue(o, "finish", func(m *Machine) []Action {
		return m.StreamFinished(now(), a.Attempt, len(s.tokens), "stop")
	})
}

func (w *simulation) enqueueLoss(o int, a ident.Attempt, c LossCause) {
	w.enqueue(o, "lost", func(m *Machine) []Action { return m.StreamLost(w.now, a, c) })
}

// replicate adds a batch to the pending messages. The replica stores it when the message is
// delivered, and its acknowledgement becomes pending in turn.
func (w *simulation) replicate(o int, a Action) {
	m := w.owners[o].machine
	n := min(a.Upto, m.Log().Len())
	e := batch.Append{Generation: "g", Attempt: a.Attempt, From: min(a.From, n), Base: a.Base, BaseAttempt: a.BaseAttempt}
	if a.From < n {
		e.Tokens = m.Log().Tokens(a.From, n)
	}
	e.Upstream, e.Stream = m.Engine()
	if a.Upto > m.Log().Len() {
		e.Finish, e.Done = m.Log().Finished()
	}
	if a.Base {
		e.Spec, _ = json.Marshal(w.spec)
	}
	w.enqueue(o, "append", func(*Machine) []Action {
		ack := w.store.Append(w.now, w.owners[o].id, e, replica.RequestKey{Workspace: "w", Request: "r"})
		w.enqueue(o, "ack", func(m *Machine) []Action {
			switch ack.Status {
			case batch.NeedsBase:
				return m.ReplicaNeedsBase(w.now, "r")
			case batch.Fenced:
				return m.OwnershipLost()
			}
			return m.ReplicaAcknowledged(w.now, "r", ack.Attempt, ack.Upto)
		})
		return nil
	})
}

// deliver passes message i to its owner and removes it unless keep is set.
func (w *simulation) deliver(i int, keep bool) {
	msg := w.pending[i]
	if !keep {
		w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	}
	if w.owners[msg.owner].paused {
		return
	}
	w.perform(msg.owner, msg.event(w.owners[msg.owner].machine))
	w.readAnswer()
}

// readAnswer lets the caller read what the newest owner released.
func (w *simulation) readAnswer() {
	m := w.owners[len(w.owners)-1].machine
	n := min(m.Released(), m.Log().Len())
	for i := w.caller.cursor.Count; i < n; i++ {
		t := m.Log().Token(i)
		w.caller.tokens = append(w.caller.tokens, t)
		w.caller.cursor = w.caller.cursor.Next([]byte(t))
	}
	if m.Complete() && w.caller.cursor.Count == m.Log().Len() {
		w.caller.done = true
	}
	w.caller.result = m.Result()
}

// tick advances the time for all owners that are not paused.
func (w *simulation) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for i, o := range w.owners {
		if !o.paused {
			w.perform(i, o.machine.Tick(w.now))
		}
	}
	w.readAnswer()
}

// takeOver moves the generation from the replica to a new owner, as a reconnecting caller
// does. The former owner is paused and may resume later.
func (w *simulation) takeOver(cfg Settings) {
	s, ok := w.store.Lookup("g")
	var log tokenlog.Log
	log.Append(0, 0, s.Tokens)
	if !ok || !log.ContainsCursor(w.caller.cursor) {
		w.checkLossAllowed()
		return // the caller is told to discard the answer
	}
	id := ident.Instance(fmt.Sprintf("b%d", len(w.owners)))
	s, _ = w.store.TakeOver(w.now, "g", id)
	w.owners[len(w.owners)-1].paused = true
	m := Adopt(cfg, w.spec, AdoptedState{
		Upstream: s.Upstream, Stream: s.Stream, Tokens: s.Tokens,
		Attempt: s.Attempt, Finish: s.Finish, Done: s.Done,
	})
	w.owners = append(w.owners, &fakeOwner{id: id, machine: m})
	w.perform(len(w.owners)-1, m.Start(w.now))
}

// checkLossAllowed fails if the replica lacks tokens that the caller received although all
// tokens were released with a replica.
func (w *simulation) checkLossAllowed() {
	for _, o := range w.owners {
		if o.machine.Stats().Unreplicated > 0 {
			return
		}
	}
	if got := w.caller.cursor.Count; got > 0 {
		w.t.Fatalf("replica cannot continue the answer: got %d tokens delivered, want 0", got)
	}
}

// checkDelivered compares the tokens of the caller with the expected answer: the tokens of
// one nonce in order.
func (w *simulation) checkDelivered() {
	if len(w.caller.tokens) == 0 {
		return
	}
	nonce, _, _ := strings.Cut(w.caller.tokens[0], ".")
	for i, got := range w.caller.tokens {
		if want := fmt.Sprintf("%s.%d", nonce, i); got != want {
			w.t.Fatalf("token %d: got %s, want %s", i, got, want)
		}
	}
	if w.caller.done && len(w.caller.tokens) != answerLen {
		w.t.Fatalf("answer ended: got %d tokens, want %d", len(w.caller.tokens), answerLen)
	}
}
