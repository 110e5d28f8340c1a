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

// answerLen is the number of tokens of the answer in the tests.
const answerLen = 12

// world drives machines of one generation against fakes of engines and a
// replica. Messages wait in a bag and are delivered in any order, twice or never.
type world struct {
	t       *rapid.T
	now     time.Time
	spec    Spec
	store   *replica.Store
	nonces  int
	streams map[string]*fakeStream // by engine and stream
	owners  []*fakeOwner
	bag     []message
	caller  fakeCaller
}

// message is something on its way to an owner.
type message struct {
	owner int
	text  string
	f     func(m *Machine) []Action
}

// fakeStream is a stream that an engine has made.
type fakeStream struct {
	tokens []string
	dead   bool
}

// fakeOwner is an instance that runs a machine.
type fakeOwner struct {
	id      ident.Instance
	machine *Machine
	paused  bool
}

// fakeCaller reads from the newest owner and keeps all it received.
type fakeCaller struct {
	tokens []string
	cursor cursor.Cursor
	done   bool
	result *result.Error
}

func newWorld(t *rapid.T, cfg Settings, rcfg replica.Settings) *world {
	w := &world{
		t:       t,
		now:     time.Unix(1000, 0),
		spec:    Spec{Request: "r", Generation: "g", Workspace: "w", Model: "m", MaxTokens: answerLen},
		store:   replica.New(rcfg),
		streams: make(map[string]*fakeStream),
	}
	w.caller.cursor = cursor.New("g")
	w.owners = []*fakeOwner{{id: "a", machine: New(cfg, w.spec)}}
	w.act(0, w.owners[0].machine.Start(w.now))
	return w
}

// later puts an event into the bag.
func (w *world) later(owner int, text string, f func(m *Machine) []Action) {
	w.bag = append(w.bag, message{owner, text, f})
}

// act carries out the actions of an owner.
func (w *world) act(o int, acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case ChooseEngine:
			u := ident.Upstream(fmt.Sprintf("e%d", rapid.IntRange(0, 2).Draw(w.t, "engine")))
			w.act(o, w.owners[o].machine.EngineChosen(w.now, u))
		case StartStream:
			w.startStream(o, a)
		case ResumeStream:
			w.resumeStream(o, a)
		case ChooseReplica:
			id := ident.Instance("r")
			if rapid.IntRange(0, 9).Draw(w.t, "replica") == 0 {
				id = ""
			}
			w.act(o, w.owners[o].machine.ReplicaChosen(w.now, id))
		case Replicate:
			w.replicate(o, a)
		}
	}
}

func streamKey(a Action) string { return string(a.Upstream) + "/" + a.Stream }

// startStream makes the stream of an attempt. A new answer draws a nonce; a
// continuation reads it off the tokens held.
func (w *world) startStream(o int, a Action) {
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
	w.emit(o, a, s)
}

func (w *world) resumeStream(o int, a Action) {
	s, ok := w.streams[streamKey(a)]
	if !ok || s.dead {
		w.lose(o, a.Attempt, UnknownStream)
		return
	}
	w.emit(o, a, s)
}

// emit puts the events of a stream into the bag.
func (w *world) emit(o int, a Action, s *fakeStream) {
	now := func() time.Time { return w.now }
	w.later(o, "open", func(m *Machine) []Action { m.Opened(now(), a.Attempt); return nil })
	for i := a.From; i < len(s.tokens); i++ {
		w.later(o, "token", func(m *Machine) []Action {
			return m.Tokens(now(), a.Attempt, i, s.tokens[i:i+1])
		})
	}
	w.later(o, "finish", func(m *Machine) []Action {
		return m.Finished(now(), a.Attempt, len(s.tokens), "stop")
	})
}

func (w *world) lose(o int, a ident.Attempt, c Cause) {
	w.later(o, "lost", func(m *Machine) []Action { return m.StreamLost(w.now, a, c) })
}

// replicate delivers a batch to the replica when the message is drawn.
func (w *world) replicate(o int, a Action) {
	m := w.owners[o].machine
	n := min(a.Upto, m.Log().Len())
	e := batch.Append{Generation: "g", Attempt: a.Attempt, From: min(a.From, n), Base: a.Base, Origin: a.Origin}
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
	w.later(o, "append", func(*Machine) []Action {
		ack := w.store.Append(w.now, w.owners[o].id, e, replica.Name{Workspace: "w", Request: "r"})
		w.later(o, "ack", func(m *Machine) []Action {
			switch ack.Status {
			case batch.Needs:
				return m.ReplicaNeeds(w.now, "r")
			case batch.Fenced:
				return m.Fenced()
			}
			return m.ReplicaAck(w.now, "r", ack.Attempt, ack.Upto)
		})
		return nil
	})
}

// deliver gives message i to its owner and forgets it unless keep is set.
func (w *world) deliver(i int, keep bool) {
	msg := w.bag[i]
	if !keep {
		w.bag = append(w.bag[:i:i], w.bag[i+1:]...)
	}
	if w.owners[msg.owner].paused {
		return
	}
	w.act(msg.owner, msg.f(w.owners[msg.owner].machine))
	w.read()
}

// read lets the caller take what the newest owner released.
func (w *world) read() {
	m := w.owners[len(w.owners)-1].machine
	n := min(m.Released(), m.Log().Len())
	for i := w.caller.cursor.Count; i < n; i++ {
		t := m.Log().Token(i)
		w.caller.tokens = append(w.caller.tokens, t)
		w.caller.cursor = w.caller.cursor.Next([]byte(t))
	}
	if m.Whole() && w.caller.cursor.Count == m.Log().Len() {
		w.caller.done = true
	}
	w.caller.result = m.Result()
}

// tick moves the time on for all owners that are not paused.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for i, o := range w.owners {
		if !o.paused {
			w.act(i, o.machine.Tick(w.now))
		}
	}
	w.read()
}

// takeOver moves the generation to a new owner from the replica, as a caller's
// reconnect does. The former owner is paused and may come back.
func (w *world) takeOver(cfg Settings) {
	s, ok := w.store.Look("g")
	var log tokenlog.Log
	log.Append(0, 0, s.Tokens)
	if !ok || !log.Holds(w.caller.cursor) {
		w.mayBeLost()
		return // an honest end: the caller is told to discard
	}
	id := ident.Instance(fmt.Sprintf("b%d", len(w.owners)))
	s, _ = w.store.Take(w.now, "g", id)
	w.owners[len(w.owners)-1].paused = true
	m := Adopt(cfg, w.spec, Adopted{
		Upstream: s.Upstream, Stream: s.Stream, Tokens: s.Tokens,
		Attempt: s.Attempt, Finish: s.Finish, Done: s.Done,
	})
	w.owners = append(w.owners, &fakeOwner{id: id, machine: m})
	w.act(len(w.owners)-1, m.Start(w.now))
}

// mayBeLost fails if the replica lacks what the caller has although all of it
// was released with a replica in reach.
func (w *world) mayBeLost() {
	for _, o := range w.owners {
		if o.machine.Stats().Unreplicated > 0 {
			return
		}
	}
	if got := w.caller.cursor.Count; got > 0 {
		w.t.Fatalf("replica cannot go on with the answer: got %d tokens delivered, want 0", got)
	}
}

// check holds the caller's tokens against the naive answer: the tokens of one
// nonce in order.
func (w *world) check() {
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
