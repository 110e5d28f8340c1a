// Package builds knows the software versions of upstreams, and at which of them the streams of
// callers began.
//
// What two builds write does not fit together, so a stream that has brought a piece may go on only at
// the build that wrote it. Within an answer its instance knows that build. A caller that takes a
// stream up comes to any instance, while the one that served it may be gone. Each stream therefore
// has some holders, instances that are told its build before its first piece is passed on and that
// are asked when it is taken up.
//
// Only services with several builds need this. Instances tell holders of a stream from the time at
// which they know of a second build. A holder that does not know a stream, although it has run since
// before that time, states the only build that there was before. It may not be one of those that were told,
// so that this counts only if a quorum of the holders states the same: then the stream began at that build.
// No other build is ever assumed.
package builds

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/unit"
)

// Settings configures a Tracker. Zero fields take the defaults.
type Settings struct {
	Life       time.Duration // longest time for which a stream may be taken up after it began; 0 means 2m
	ReturnTime time.Duration // time for which a build whose upstreams disappeared without leaving may come back; 0 means 2s
	Settle     time.Duration // time after its start from which an instance has heard of all recent builds; 0 means 2s
	MaxRecords int           // streams of which a holder keeps the build; 0 means 100,000
}

// Defaults of Settings.
const (
	defaultLife       = 2 * time.Minute
	defaultReturnTime = 2 * time.Second // crashed engines start again within this time
	defaultSettle     = 2 * time.Second // several rounds of digests
	defaultMaxRecords = 100_000
)

// Record says at which build a stream began.
type Record struct {
	Origin  ident.Request // attempt of the caller that brings the first piece, as by OriginOf
	Service ident.Service
	Build   ident.Build
	Age     unit.Duration `json:",omitempty"` // time since the first piece
}

// maxOrigin is the length of an id in bytes up to which it names its stream itself. Callers choose the ids.
const maxOrigin = 2 * sha256.Size

// OriginOf returns the name under which the stream is known whose first piece came with an attempt of a caller: its
// id, or a hash of it that is 64 bytes long if the id is longer.
func OriginOf(id ident.Request) ident.Request {
	if len(id) <= maxOrigin {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return ident.Request(hex.EncodeToString(sum[:]))
}

// State says that a service has or had several builds, as one instance tells another.
type State struct {
	Service   ident.Service
	Since     unit.Duration // time since the sender knows of a second build
	LastKnown unit.Duration // time since it last knew of two
}

// Change is a change of the builds of a service, for the log.
type Change struct {
	Service ident.Service
	Builds  []ident.Build // of its registered upstreams, sorted
	Several bool          // streams are told to holders
	Before  ident.Build   // the only build before; "" if not known
}

// Tracker knows the builds of all services on behalf of one instance. Its methods are safe for
// concurrent use.
type Tracker struct {
	cfg Settings

	mu       sync.Mutex
	started  time.Time
	services map[ident.Service]*service
	records  map[ident.Request]record
	order    []ident.Request // keys of records, in the order in which they came
	forgot   time.Time       // when a record yielded last though its stream may be taken up; zero if none did
	changes  []Change
}

// record is a Record as a holder keeps it.
type record struct {
	service ident.Service
	build   ident.Build
	at      time.Time // of the first piece
}

// service is the state of one service.
type service struct {
	builds  []ident.Build // of its registered upstreams, sorted
	present map[ident.Build]presence
	only    ident.Build // the only build of its registered upstreams; "" if there are several
	since   time.Time   // when only became that

	several   bool // streams are told to holders
	began     time.Time
	lastKnown time.Time   // when two builds were last known
	before    ident.Build // the only build before began; "" if not known
}

// presence is whether upstreams of a build serve.
type presence struct {
	serving  bool      // an upstream that does not leave is registered
	left     bool      // the last ones that were registered were leaving
	vanished time.Time // when the last one that served disappeared without leaving
}

// New returns a Tracker that knows no upstreams yet.
func New(cfg Settings, now time.Time) *Tracker {
	unit.SetDefault(&cfg.Life, defaultLife)
	unit.SetDefault(&cfg.ReturnTime, defaultReturnTime)
	unit.SetDefault(&cfg.Settle, defaultSettle)
	if cfg.MaxRecords <= 0 {
		cfg.MaxRecords = defaultMaxRecords
	}
	return &Tracker{cfg: cfg, started: now, services: make(map[ident.Service]*service), records: make(map[ident.Request]record)}
}

// service returns the state of a service and creates it if needed. t.mu must be held.
func (t *Tracker) service(name ident.Service) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{present: make(map[ident.Build]presence)}
		t.services[name] = s
	}
	return s
}

// SetUpstreams sets the registered upstreams, including those that leave.
func (t *Tracker) SetUpstreams(list []directory.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	serving := make(map[ident.Service]map[ident.Build]bool)
	for _, u := range list {
		if serving[u.Service] == nil {
			serving[u.Service] = make(map[ident.Build]bool)
		}
		serving[u.Service][u.Build] = serving[u.Service][u.Build] || !u.Draining
	}
	for name := range t.services {
		if serving[name] == nil {
			serving[name] = nil
		}
	}
	for name, builds := range serving {
		t.setBuilds(name, builds, now)
	}
}

// setBuilds sets the builds of the registered upstreams of a service, and whether any of each does
// not leave. t.mu must be held.
func (t *Tracker) setBuilds(name ident.Service, serving map[ident.Build]bool, now time.Time) {
	s := t.service(name)
	names := make([]ident.Build, 0, len(serving))
	for b, serves := range serving {
		names = append(names, b)
		s.present[b] = presence{serving: serves, left: !serves}
	}
	for b, p := range s.present {
		if _, registered := serving[b]; !registered && p.serving {
			s.present[b] = presence{vanished: now}
		}
	}
	slices.Sort(names)
	changed := !slices.Equal(names, s.builds)
	s.builds = names
	switch {
	case len(names) == 0:
	case len(names) > 1 || !s.several && s.only != "" && names[0] != s.only:
		s.enter(now)
		s.lastKnown = now
		if len(names) > 1 {
			s.only = ""
		}
	case names[0] != s.only:
		s.only, s.since = names[0], now
	}
	if changed && len(names) > 0 {
		t.changes = append(t.changes, Change{name, names, s.several, s.before})
	}
}

// enter begins the time in which streams are told to holders, since a second build became known at
// began.
func (s *service) enter(began time.Time) {
	if s.several {
		return
	}
	s.several, s.began, s.before = true, began, ""
	if s.only != "" && !s.since.After(began) {
		s.before = s.only
	}
	s.only = ""
	if len(s.builds) == 1 {
		s.only, s.since = s.builds[0], began
	}
}

// update ends that time if no stream that began while there were two builds can still be taken up.
func (s *service) update(life time.Duration, now time.Time) {
	switch {
	case len(s.builds) > 1:
		s.lastKnown = now
	case s.several && now.Sub(s.lastKnown) > life:
		s.several, s.before = false, ""
	}
}

// Several reports whether a service has several builds, or had within Settings.Life.
func (t *Tracker) Several(name ident.Service, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		return false
	}
	s.update(t.cfg.Life, now)
	return s.several
}

// Named reports whether upstreams of a service name their builds.
func (t *Tracker) Named(name ident.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	return ok && slices.ContainsFunc(s.builds, func(b ident.Build) bool { return b != "" })
}

// Only returns the build of the registered upstreams of a service, or "" if they have several or none.
func (t *Tracker) Only(name ident.Service) ident.Build {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.services[name]; ok {
		return s.only
	}
	return ""
}

// Settled reports whether this instance has run for long enough to know of all recent builds.
func (t *Tracker) Settled(now time.Time) bool { return now.Sub(t.started) >= t.cfg.Settle }

// Serving reports whether streams of a build may go on: an upstream of it is registered and does not
// leave, or the last ones disappeared a moment ago and may come back.
func (t *Tracker) Serving(name ident.Service, build ident.Build, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		return false
	}
	p, ok := s.present[build]
	return ok && !p.left && (p.serving || now.Sub(p.vanished) <= t.cfg.ReturnTime)
}

// Record keeps the build at which a stream began.
func (t *Tracker) Record(r Record, now time.Time) {
	if r.Origin == "" || r.Build == "" {
		return
	}
	r.Origin = OriginOf(r.Origin) // instances of earlier builds tell the id itself
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.records[r.Origin]; !ok {
		t.order = append(t.order, r.Origin)
	}
	t.records[r.Origin] = record{r.Service, r.Build, now.Add(-max(0, r.Age.Std()))}
	for len(t.order) > 0 {
		old := now.Sub(t.records[t.order[0]].at) > t.cfg.Life
		if !old && len(t.records) <= t.cfg.MaxRecords {
			break
		}
		if !old {
			t.forgot = now
		}
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
}

// Held returns the streams whose build is kept, as Record takes them.
func (t *Tracker) Held(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	for origin, r := range t.records {
		if age := now.Sub(r.at); age <= t.cfg.Life {
			out = append(out, Record{origin, r.service, r.build, unit.Duration(age)})
		}
	}
	return out
}

// Records returns the number of streams whose build is kept.
func (t *Tracker) Records() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Find returns what this instance knows of a stream.
func (t *Tracker) Find(origin ident.Request, name ident.Service, now time.Time) Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[OriginOf(origin)]; ok && r.service == name {
		return Statement{Known: true, Build: r.build}
	}
	s, ok := t.services[name]
	if !ok {
		return Statement{}
	}
	if !t.forgot.IsZero() && now.Sub(t.forgot) <= t.cfg.Life {
		return Statement{Several: s.several}
	}
	s.update(t.cfg.Life, now)
	switch {
	case !s.several && now.Sub(s.since) >= t.cfg.Settle:
		return Statement{Build: s.only}
	case s.several && now.Sub(s.began) <= t.cfg.Life:
		return Statement{Build: s.before, Several: true}
	}
	return Statement{Several: s.several}
}

// Before returns the only build of a service before it had several, or "" if it has one or that is not known.
func (t *Tracker) Before(name ident.Service) ident.Build {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.services[name]; ok && s.several {
		return s.before
	}
	return ""
}

// SeveralFor returns the time for which a service is known to have several builds, or 0 if it has one.
func (t *Tracker) SeveralFor(name ident.Service, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.services[name]; ok && s.several {
		return now.Sub(s.began)
	}
	return 0
}

// Report returns the services with several builds, for other instances.
func (t *Tracker) Report(now time.Time) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []State
	for name, s := range t.services {
		s.update(t.cfg.Life, now)
		if s.several {
			out = append(out, State{name, unit.Duration(now.Sub(s.began)), unit.Duration(now.Sub(s.lastKnown))})
		}
	}
	return out
}

// Merge adds what another instance knows of services with several builds.
func (t *Tracker) Merge(list []State, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		since, lastKnown := max(0, r.Since.Std()), max(0, r.LastKnown.Std())
		if lastKnown > t.cfg.Life {
			continue
		}
		s := t.service(r.Service)
		if at := now.Add(-lastKnown); at.After(s.lastKnown) {
			s.lastKnown = at
		}
		if s.several {
			continue
		}
		s.enter(now.Add(-since))
		t.changes = append(t.changes, Change{r.Service, s.builds, true, s.before})
	}
}

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.changes
	t.changes = nil
	return c
}
