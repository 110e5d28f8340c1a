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

func (s *simulation) start(m Member) {
	s.runs++
	s.members = append(s.members, m)
	s.distributors[m.Instance] = New(m, s.runs, s.now, Settings{})
	s.highest[m.Instance] = 0
	s.updateMembers()
}

// stop stops an instance, removes it from the members of all others and returns
// it.
func (s *simulation) stop(name ident.Instance) Member {
	for i, m := range s.members {
		if m.Instance == name {
			s.members = append(s.members[:i:i], s.members[i+1:]...)
			delete(s.distributors, name)
			s.updateMembers()
			return m
		}
	}
	panic("no instance " + name)
}

func (s *simulation) updateMembers() {
	for _, d := range s.distributors {
		d.SetMembers(s.members)
	}
}

func (s *simulation) newest() ident.Revision {
	return ident.Revision(len(s.accepted) - 1)
}

// accept accepts the next revision, confirmed at an instance unless at is empty.
func (s *simulation) accept(at ident.Instance) {
	n := len(s.accepted)
	doc := s.accepted[n-1]
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
	s.accepted = append(s.accepted, doc)
	if at != "" {
		s.perform(at, s.distributors[at].HandleDocument(s.now, doc))
	}
}

// readHead lets an instance read the head at revision rev. The read is stale if
// rev is not the newest revision.
func (s *simulation) readHead(at ident.Instance, rev ident.Revision) {
	d := s.distributors[at]
	if rev == s.newest() && s.storeDown[d.self.Domain] {
		return
	}
	s.reads++
	if rev == d.Revision() {
		d.HandleHead(s.now, rev)
		return
	}
	s.perform(at, d.HandleDocument(s.now, s.accepted[rev]))
}

func (s *simulation) perform(at ident.Instance, actions []Action) {
	for _, a := range actions {
		switch {
		case a.Publish != nil:
			s.checkPublished(at, a.Publish)
		case a.Notify != nil:
			s.queue = append(s.queue, message{from: at, to: a.To, notice: a.Notify})
		case a.Pull != nil:
			s.queue = append(s.queue, message{from: at, to: a.To, request: a.Pull})
		case a.ReadHead:
			s.readHead(at, s.newest())
		}
	}
}

func (s *simulation) checkPublished(at ident.Instance, doc *configuration.Document) {
	if doc.Revision <= s.highest[at] {
		s.fail("%s: got revision %d after %d, want a later one", at, doc.Revision, s.highest[at])
	}
	if doc.Revision > s.newest() || configuration.Digest(*doc) != configuration.Digest(s.accepted[doc.Revision]) {
		s.fail("%s: got a document as revision %d that was not accepted as such", at, doc.Revision)
	}
	s.highest[at] = doc.Revision
}

// deliver delivers message i, or drops it if the link is cut or an end is stopped.
func (s *simulation) deliver(i int) {
	m := s.queue[i]
	s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
	to, from := s.distributors[m.to], s.distributors[m.from]
	if to == nil || from == nil || s.linkCut[from.self.Domain][to.self.Domain] {
		return
	}
	switch {
	case m.notice != nil:
		s.perform(m.to, to.HandleNotice(s.now, m.from, *m.notice))
	case m.request != nil:
		response := to.AnswerPull(*m.request)
		s.queue = append(s.queue, message{from: m.to, to: m.from, response: &response})
	default:
		s.perform(m.to, to.HandlePullResponse(s.now, m.from, *m.response))
	}
}

// tick simulates one second of one instance.
func (s *simulation) tick(at ident.Instance) {
	s.perform(at, s.distributors[at].Tick(s.now))
	if s.distributors[at].ShouldWatch() {
		s.readHead(at, s.newest())
	}
}

// run simulates all instances for some seconds without further faults.
func (s *simulation) run(seconds int) {
	for range seconds {
		s.now = s.now.Add(time.Second)
		for _, m := range s.members {
			s.tick(m.Instance)
		}
		for len(s.queue) > 0 {
			s.deliver(0)
		}
	}
}

func (s *simulation) setCut(a, b ident.Domain, cut bool) {
	for _, p := range [][2]ident.Domain{{a, b}, {b, a}} {
		if s.linkCut[p[0]] == nil {
			s.linkCut[p[0]] = make(map[ident.Domain]bool)
		}
		s.linkCut[p[0]][p[1]] = cut
	}
}

func (s *simulation) heal() {
	s.linkCut = make(map[ident.Domain]map[ident.Domain]bool)
	s.storeDown = make(map[ident.Domain]bool)
}

func (s *simulation) requireConverged(t interface{ Errorf(string, ...any) }) {
	for _, m := range s.members {
		if got, want := s.distributors[m.Instance].Revision(), s.newest(); got != want {
			t.Errorf("%s: got revision %d in force, want %d", m.Instance, got, want)
		}
	}
}
