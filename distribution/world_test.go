package distribution

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"crocuslug/configuration"
	"crocuslug/ident"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// message is one message under way between instances.
type message struct {
	from, to ident.Instance
	notice   *Notice
	ask      *Ask
	answer   *Answer
}

// world holds instances, the links between them, and the accepted documents,
// which are the naive version: every instance is to have the newest.
type world struct {
	fail     func(format string, args ...any)
	now      time.Time
	members  []Member
	cores    map[ident.Instance]*Core
	highest  map[ident.Instance]ident.Revision // put in force by this run of the instance
	accepted []configuration.Document
	queue    []message
	cut      map[ident.Domain]map[ident.Domain]bool
	noStore  map[ident.Domain]bool
	reads    int
	runs     uint64
}

func newWorld(fail func(format string, args ...any)) *world {
	return &world{
		fail: fail, now: time.Unix(1000, 0),
		cores:    make(map[ident.Instance]*Core),
		highest:  make(map[ident.Instance]ident.Revision),
		accepted: []configuration.Document{{}},
		cut:      make(map[ident.Domain]map[ident.Domain]bool),
		noStore:  make(map[ident.Domain]bool),
	}
}

func (w *world) start(m Member) {
	w.runs++
	w.members = append(w.members, m)
	w.cores[m.Instance] = New(m, w.runs, w.now, Settings{})
	w.highest[m.Instance] = 0
	w.tellMembers()
}

// stop ends an instance; others see it gone.
func (w *world) stop(name ident.Instance) Member {
	for i, m := range w.members {
		if m.Instance == name {
			w.members = append(w.members[:i:i], w.members[i+1:]...)
			delete(w.cores, name)
			w.tellMembers()
			return m
		}
	}
	panic("no instance " + name)
}

func (w *world) tellMembers() {
	for _, c := range w.cores {
		c.SetMembers(w.members)
	}
}

func (w *world) newest() ident.Revision {
	return ident.Revision(len(w.accepted) - 1)
}

// accept has an instance confirm the next revision.
func (w *world) accept(at ident.Instance) {
	n := len(w.accepted)
	doc := w.accepted[n-1]
	doc.Revision++
	doc.Workspaces = append([]configuration.Workspace(nil), doc.Workspaces...)
	name := ident.Workspace(fmt.Sprintf("w%d", n%5))
	kept := doc.Workspaces[:0]
	for _, v := range doc.Workspaces {
		if v.Name != name {
			kept = append(kept, v)
		}
	}
	doc.Workspaces = append(kept, configuration.Workspace{Name: name, MaxConcurrent: n})
	doc = configuration.Sorted(doc)
	w.accepted = append(w.accepted, doc)
	if at != "" {
		w.do(at, w.cores[at].Accepted(w.now, doc))
	}
}

// readHead has an instance read the head as of a revision, stale if it is old.
func (w *world) readHead(at ident.Instance, rev ident.Revision) {
	c := w.cores[at]
	if rev == w.newest() && w.noStore[c.self.Domain] {
		return
	}
	w.reads++
	if rev == c.Revision() {
		c.HeadSeen(w.now, rev)
		return
	}
	w.do(at, c.Accepted(w.now, w.accepted[rev]))
}

func (w *world) do(at ident.Instance, actions []Action) {
	for _, a := range actions {
		switch {
		case a.Publish != nil:
			w.published(at, a.Publish)
		case a.Notify != nil:
			w.queue = append(w.queue, message{from: at, to: a.To, notice: a.Notify})
		case a.Pull != nil:
			w.queue = append(w.queue, message{from: at, to: a.To, ask: a.Pull})
		case a.ReadHead:
			w.readHead(at, w.newest())
		}
	}
}

func (w *world) published(at ident.Instance, doc *configuration.Document) {
	if doc.Revision <= w.highest[at] {
		w.fail("%s: got revision %d after %d, want a later one", at, doc.Revision, w.highest[at])
	}
	if doc.Revision > w.newest() || configuration.Digest(*doc) != configuration.Digest(w.accepted[doc.Revision]) {
		w.fail("%s: got another document as revision %d than was accepted", at, doc.Revision)
	}
	w.highest[at] = doc.Revision
}

// deliver hands message i over, unless its way is cut.
func (w *world) deliver(i int) {
	m := w.queue[i]
	w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
	to, from := w.cores[m.to], w.cores[m.from]
	if to == nil || from == nil || w.cut[from.self.Domain][to.self.Domain] {
		return
	}
	switch {
	case m.notice != nil:
		w.do(m.to, to.Received(w.now, m.from, *m.notice))
	case m.ask != nil:
		answer := to.Asked(*m.ask)
		w.queue = append(w.queue, message{from: m.to, to: m.from, answer: &answer})
	default:
		w.do(m.to, to.Answered(w.now, m.from, *m.answer))
	}
}

// tick is one second of one instance.
func (w *world) tick(at ident.Instance) {
	w.do(at, w.cores[at].Tick(w.now))
	if w.cores[at].Watching() {
		w.readHead(at, w.newest())
	}
}

// run lets all instances run undisturbed.
func (w *world) run(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		for _, m := range w.members {
			w.tick(m.Instance)
		}
		for len(w.queue) > 0 {
			w.deliver(0)
		}
	}
}

func (w *world) setCut(a, b ident.Domain, cut bool) {
	for _, p := range [][2]ident.Domain{{a, b}, {b, a}} {
		if w.cut[p[0]] == nil {
			w.cut[p[0]] = make(map[ident.Domain]bool)
		}
		w.cut[p[0]][p[1]] = cut
	}
}

func (w *world) heal() {
	w.cut = make(map[ident.Domain]map[ident.Domain]bool)
	w.noStore = make(map[ident.Domain]bool)
}

func (w *world) converged(t interface{ Errorf(string, ...any) }) {
	for _, m := range w.members {
		if got, want := w.cores[m.Instance].Revision(), w.newest(); got != want {
			t.Errorf("%s: got revision %d in force, want %d", m.Instance, got, want)
		}
	}
}
