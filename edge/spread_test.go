package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"crocuslug/ident"
	"crocuslug/poison"
)

// spreading is a fleet of instances that tell each other of crashes by digests, in virtual time and
// without the delay of the network.
type spreading struct {
	now       time.Time
	ids       []ident.Instance
	domains   map[ident.Instance]ident.Domain
	trackers  map[ident.Instance]*poison.Tracker
	rounds    map[ident.Instance]int
	near, far map[ident.Instance][]ident.Instance
}

func newSpreading(instances, domains int, random *rand.Rand) *spreading {
	s := &spreading{
		now: time.Unix(1000, 0), domains: make(map[ident.Instance]ident.Domain), trackers: make(map[ident.Instance]*poison.Tracker),
		rounds: make(map[ident.Instance]int), near: make(map[ident.Instance][]ident.Instance), far: make(map[ident.Instance][]ident.Instance),
	}
	for i := range instances {
		id := ident.Instance(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
		s.ids = append(s.ids, id)
		s.domains[id] = ident.Domain(fmt.Sprint("domain", i%domains))
		s.trackers[id] = poison.New()
		s.rounds[id] = random.IntN(maxDigestRound)
	}
	for _, id := range s.ids {
		for _, other := range s.ids {
			switch {
			case other == id:
			case s.domains[other] == s.domains[id]:
				s.near[id] = append(s.near[id], other)
			default:
				s.far[id] = append(s.far[id], other)
			}
		}
	}
	return s
}

// round passes the time of one round of digests.
func (s *spreading) round() {
	s.now = s.now.Add(digestInterval)
	type message struct {
		to     []ident.Instance
		report poison.Report
	}
	var messages []message
	for _, id := range s.ids {
		s.rounds[id]++
		to := append(digestTargets(s.far[id], farDigests, s.rounds[id]), digestTargets(s.near[id], nearDigests, s.rounds[id])...)
		messages = append(messages, message{to, s.trackers[id].Report(s.now)})
	}
	for _, m := range messages {
		for _, id := range m.to {
			s.trackers[id].Merge(m.report, s.now)
		}
	}
	for _, t := range s.trackers {
		t.Tick(s.now)
	}
}

// refusing returns the number of instances that refuse r.
func (s *spreading) refusing(r poison.Run) int {
	n := 0
	for _, t := range s.trackers {
		if _, refused := t.Refused(r, s.now); refused {
			n++
		}
	}
	return n
}

// TestSpreadOfRefusals has five engines crash, each with a run of one instance that holds the bad part
// and sound runs of two others, whose parts are answered elsewhere. All instances of fleets of
// several sizes, up to that of docs/CAPACITY.md, must refuse the part within stableTime after the last
// crash, and none may refuse the sound parts.
func TestSpreadOfRefusals(t *testing.T) {
	t.Parallel()
	const (
		stableTime = 3 * time.Second // the users' stable_ms
		crashes    = 5
		bad        = poison.Part(1)
	)
	for _, size := range []struct{ instances, domains int }{{8, 4}, {85, 4}, {300, 4}, {930, 13}} {
		for seed := range uint64(3) {
			random := rand.New(rand.NewPCG(seed, 0))
			s := newSpreading(size.instances, size.domains, random)
			pick := func() *poison.Tracker { return s.trackers[s.ids[random.IntN(len(s.ids))]] }
			for i := range crashes {
				e := poison.Engine{ID: ident.Upstream(fmt.Sprint("engine", i))}
				pick().EngineCrashed(e, poison.Run{Content: poison.Part(100 + i), Parts: []poison.Part{2, bad}}, s.now, s.now)
				for k := range 2 {
					sound := poison.Run{Content: poison.Part(200 + 10*i + k), Parts: []poison.Part{2, poison.Part(10 + k)}}
					pick().EngineCrashed(e, sound, s.now, s.now)
					sound.Content += crashes * 100
					pick().Answered(sound, s.now) // at another engine
				}
				s.round()
				s.round()
			}
			last := s.now.Add(-2 * digestInterval)
			next := poison.Run{Content: 1000, Parts: []poison.Part{2, bad}}
			for s.refusing(next) < size.instances && s.now.Sub(last) < time.Minute {
				s.round()
			}
			took := s.now.Sub(last)
			if took > stableTime {
				t.Errorf("%d instances, seed %d: refused everywhere %v after the last crash, want at most %v", size.instances, seed, took, stableTime)
			}
			if n := s.refusing(poison.Run{Content: 1001, Parts: []poison.Part{2, 10}}); n > 0 {
				t.Errorf("%d instances, seed %d: %d refuse a sound request, want none", size.instances, seed, n)
			}
			t.Logf("%d instances, seed %d: refused everywhere %v after the last crash", size.instances, seed, took)
		}
	}
}
