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

// message is a message in transit between two instances.
type message struct {
	from, to ident.Instance
	notice   *Notice
	request  *PullRequest
	response *PullResponse
}

// simulation holds instances, the links between them, and all accepted documents.
// As a reference, every instance must finally have the newest of these.
type simulation struct {
	fail         func(format string, args ...any)
	now          time.Time
	members      []Member
	distributors map[ident.Instance]*Distributor
	highest      map[ident.Instance]ident.Revision // highest revision that this run of the instance has put in force
	accepted     []configuration.Document
	queue        []message
	linkCut      map[ident.Domain]map[ident.Domain]bool
	storeDown    map[ident.Domain]bool
	reads        int
	runs         uint64
}

func newSimulation(fail func(format string, args ...any)) *simulation {
	return &simulation{
		fail: fail, now: time.Unix(1000, 0),
		distributors: make(map[ident.Instance]*Distributor),
		highest:      make(map[ident.Instance]ident.Revision),
		accepted:     []configuration.Document{{}},
		linkCut:      make(map[ident.Domain]map[ident.Domain]bool),
		storeDown:    make(map[ident.Domain]bool),
	}
}

func (w *simulation) start(m Member) {
	w.runs++
	w.members = append(w.members, m)
	w.distributors[m.Instance] = New(m, w.runs, w.now, Settings{})
	w.highest[m.Instance] = 0
	w.updateMembers()
}

// stop stops an instance, removes it from the members of all others and returns
// it.
func (w *simulation) stop(name ident.Instance) Member {
	for i, m := range w.members {
		if m.Instance == name {
			w.members = append(w.members[:i:i], w.members[i+1:]...)
			delete(w.distributors, name)
			w.updateMembers()
			return m
		}
	}
	panic("no instance " + name)
}

func (w *simulation) updateMembers() {
	for _, c := range w.distributors {
		c.SetMembers(w.members)
	}
}

func (w *simulation) newest() ident.Revision {
	return ident.Revision(len(w.accepted) - 1)
}

// accept accepts the next revision, confirmed at an instance unless at is empty.
func (w *simulation) accept(at ident.Instance) {
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
		w.perform(at, w.distributors[at].HandleDocument(w.now, doc))
	}
}

// readHead lets an instance read the head at revision rev. The read is stale if
// rev is not the newest revision.
func (w *simulation) readHead(at ident.Instance, rev ident.Revision) {
	c := w.distributors[at]
	if rev == w.newest() && w.storeDown[c.self.Domain] {
		return
	}
	w.reads++
	if rev == c.Revision() {
		c.HandleHead(w.now, rev)
		return
	}
	w.perform(at, c.HandleDocument(w.now, w.accepted[rev]))
}

func (w *simulation) perform(at ident.Instance, actions []Action) {
	for _, a := range actions {
		switch {
		case a.Publish != nil:
			w.checkPublished(at, a.Publish)
		case a.Notify != nil:
			w.queue = append(w.queue, message{from: at, to: a.To, notice: a.Notify})
		case a.Pull != nil:
			w.queue = append(w.queue, message{from: at, to: a.To, request: a.Pull})
		case a.ReadHead:
			w.readHead(at, w.newest())
		}
	}
}

func (w *simulation) checkPublished(at ident.Instance, doc *configuration.Document) {
	if doc.Revision <= w.highest[at] {
		w.fail("%s: got revision %d after %d, want a later one", at, doc.Revision, w.highest[at])
	}
	if doc.Revision > w.newest() || configuration.Digest(*doc) != configuration.Digest(w.accepted[doc.Revision]) {
		w.fail("%s: got a document as revision %d that was not accepted as such", at, doc.Revision)
	}
	w.highest[at] = doc.Revision
}

// deliver delivers message i, or drops it if the link is cut or an end is stopped.
func (w *simulation) deliver(i int) {
	m := w.queue[i]
	w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
	to, from := w.distributors[m.to], w.distributors[m.from]
	if to == nil || from == nil || w.linkCut[from.self.Domain][to.self.Domain] {
		return
	}
	switch {
	case m.notice != nil:
		w.perform(m.to, to.HandleNotice(w.now, m.from, *m.notice))
	case m.request != nil:
		answer := to.AnswerPull(*m.request)
		w.queue = append(w.queue, message{from: m.to, to: m.from, response: &answer})
	default:
		w.perform(m.to, to.HandlePullResponse(w.now, m.from, *m.response))
	}
}

// tick simulates one second of one instance.
func (w *simulation) tick(at ident.Instance) {
	w.perform(at, w.distributors[at].Tick(w.now))
	if w.distributors[at].ShouldWatch() {
		w.readHead(at, w.newest())
	}
}

// run simulates all instances for some seconds without further faults.
func (w *simulation) run(seconds int) {
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

func (w *simulation) setCut(a, b ident.Domain, cut bool) {
	for _, p := range [][2]ident.Domain{{a, b}, {b, a}} {
		if w.linkCut[p[0]] == nil {
			w.linkCut[p[0]] = make(map[ident.Domain]bool)
		}
		w.linkCut[p[0]][p[1]] = cut
	}
}

func (w *simulation) heal() {
	w.linkCut = make(map[ident.Domain]map[ident.Domain]bool)
	w.storeDown = make(map[ident.Domain]bool)
}

func (w *simulation) requireConverged(t interface{ Errorf(string, ...any) }) {
	for _, m := range w.members {
		if got, want := w.distributors[m.Instance].Revision(), w.newest(); got != want {
			t.Errorf("%s: got revision %d in force, want %d", m.Instance, got, want)
		}
	}
}
