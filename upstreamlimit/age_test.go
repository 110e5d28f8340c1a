package upstreamlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/unit"
)

// crowd is a set of instances that tell each other what they know, in virtual time, over links that take
// some time.
type crowd struct {
	instances []*Limits
	random    *rand.Rand
	delay     time.Duration // greatest time that a report takes
	now       time.Time
	under     []report // on their way
}

// report is a report on its way to an instance.
type report struct {
	to   *Limits
	list []Statement
	at   time.Time // of its arrival
}

func newCrowd(instances int, delay time.Duration) *crowd {
	c := &crowd{random: rand.New(rand.NewPCG(1, 2)), delay: delay, now: time.Unix(1000, 0)}
	for i := range instances {
		l := New(ident.Instance(rune('A' + i)))
		l.SetUpstreams([]directory.Upstream{{ID: "u", Service: "s"}})
		c.instances = append(c.instances, l)
	}
	return c
}

// run lets each instance tell eight others every 250 ms, each at a moment of its own, as instances do.
func (c *crowd) run(length time.Duration) {
	const step, interval, told = 5 * time.Millisecond, 250 * time.Millisecond, 8
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(step) {
		var under []report
		for _, r := range c.under {
			if r.at.After(c.now) {
				under = append(under, r)
				continue
			}
			r.to.Merge(r.list, c.now)
		}
		c.under = under
		for i, l := range c.instances {
			if (c.now.UnixNano()/int64(step)+int64(i))%int64(interval/step) != 0 {
				continue
			}
			for range told {
				arrival := c.now.Add(time.Duration(c.random.Int64N(int64(c.delay))))
				c.under = append(c.under, report{c.instances[c.random.IntN(len(c.instances))], l.Report(c.now), arrival})
			}
		}
	}
}

// TestAge guards against a limit that stays in force after it has ended, because instances that tell each
// other of it take it for newer each time, by the time that reports take.
func TestAge(t *testing.T) {
	const (
		silent = 10 * time.Second // without an answer of the upstream
		spread = 2 * time.Second  // in which all instances know
	)
	for _, tc := range []struct {
		instances, sources int
		delay              time.Duration
	}{{8, 1, 100 * time.Millisecond}, {40, 1, 50 * time.Millisecond}, {40, 4, 50 * time.Millisecond}, {40, 4, 200 * time.Millisecond}, {40, 40, 200 * time.Millisecond}} {
		c := newCrowd(tc.instances, tc.delay)
		for i := range tc.sources {
			c.instances[i].Named("u", 2.5, c.now)
			c.run(10 * time.Millisecond)
		}
		c.run(silent)
		least := silent
		for _, l := range c.instances {
			s, _ := l.Statement("u", c.now)
			least = min(least, s.Age.Std())
		}
		if want := silent - 5*tc.delay; least < want {
			t.Errorf("%d instances, %d answers, delay %v: after %v without an answer got age %v, want at least %v", tc.instances, tc.sources, tc.delay, silent, least, want)
		}
		const answered = 100 * time.Millisecond // from the request
		c.instances[0].NotNamed("u", c.now.Add(-answered), c.now)
		c.run(spread)
		limited := 0
		for _, l := range c.instances {
			limited += len(l.Limited("s"))
		}
		if limited > 0 {
			t.Errorf("%d instances, %d answers, delay %v: instances with the limit %v after its end: got %d, want none", tc.instances, tc.sources, tc.delay, spread, limited)
		}
	}
}

// TestUnnamedAnswer guards against statements of instances of earlier versions, which do not say which answer
// they are of, that do not count by their age any more.
func TestUnnamedAnswer(t *testing.T) {
	c := newCrowd(1, time.Millisecond)
	l := c.instances[0]
	for _, tc := range []struct {
		rate float64
		age  time.Duration
		want float64
	}{{2, 2 * time.Second, 2}, {3, time.Second, 3}, {2, 2 * time.Second, 3}, {0, time.Millisecond, 0}} {
		l.Merge([]Statement{{Upstream: "u", Rate: tc.rate, Age: unit.Duration(tc.age)}}, c.now)
		if s, _ := l.Statement("u", c.now); s.Rate != tc.want {
			t.Errorf("after a limit of %v %v ago: got %v, want %v", tc.rate, tc.age, s.Rate, tc.want)
		}
	}
}
