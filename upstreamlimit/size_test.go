package upstreamlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
)

// TestManyInstances lets instances send to one upstream with a limit, in virtual time. In no window
// may they together send more than the limit allows, and they must use most of it, whether one of
// them has all the requests or each has few. The issuing instance changes on the way, and for a second
// half of the others do not know it.
func TestManyInstances(t *testing.T) {
	const (
		window  = 4 * time.Second
		length  = 60 * time.Second
		step    = 5 * time.Millisecond
		handed  = 30 * time.Second // when another instance becomes the issuing one
		known   = handed + time.Second
		message = 2 * time.Millisecond
	)
	for _, tc := range []struct {
		instances, busy int
		rate, perSecond float64 // of the limit; requests of all busy instances
	}{
		{1, 1, 1.1, 20}, {2, 2, 1.1, 20}, {30, 30, 1.1, 30}, {300, 300, 2.8, 60}, {8, 8, 1.1, 20}, {8, 1, 2.8, 20}, {85, 85, 1.1, 50}, {930, 930, 1.1, 60}, {930, 3, 1.1, 60}, {930, 930, 40, 400}, {930, 930, 0.2, 60},
	} {
		t.Run(fmt.Sprintf("%d of %d instances, limit %v", tc.busy, tc.instances, tc.rate), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(1, 2))
			begin := time.Unix(1000, 0)
			instances := make([]*Limits, tc.instances)
			for i := range instances {
				instances[i] = New(ident.Instance(fmt.Sprint(i)))
				instances[i].SetUpstreams([]directory.Upstream{{ID: "u", Service: "s"}})
				instances[i].Named("u", tc.rate, begin)
			}
			var sent []time.Duration
			for at := time.Duration(0); at < length; at += step {
				now := begin.Add(at)
				if random.Float64() >= tc.perSecond*step.Seconds() {
					continue
				}
				i := random.IntN(tc.busy)
				l, issuer := instances[i], 0
				if at >= known || at >= handed && i%2 == 0 {
					issuer = tc.instances - 1
				}
				l.CountRequest("s", now)
				if len(l.Blocked("s", now)) > 0 {
					if r, ok := l.Ask([]ident.Upstream{"u"}, now); ok {
						a := instances[issuer].Issue("u", r.Count, now.Add(message))
						l.Issued(r, a, now, now.Add(2*message))
					}
				}
				if l.Take("u", now.Add(2*message)) {
					sent = append(sent, at)
				}
			}
			most := 0
			for i := range sent {
				n := 0
				for n < len(sent)-i && sent[i+n]-sent[i] <= window {
					n++
				}
				most = max(most, n)
			}
			allowed := 1.5*tc.rate*window.Seconds() + 5
			used := float64(len(sent)) / (tc.rate * length.Seconds())
			t.Logf("most %d in %v, allowed %.1f; %.2f of the limit used", most, window, allowed, used)
			if float64(most) > allowed {
				t.Errorf("requests in %v: got %d, want at most %.1f", window, most, allowed)
			}
			const least = 0.7
			if used < least {
				t.Errorf("used share of the limit: got %.2f, want %.2f or more", used, least)
			}
		})
	}
}

// TestReportBound guards against reports that grow with the number of limits. Those told must be the
// newest.
func TestReportBound(t *testing.T) {
	l := New("a")
	now := time.Unix(1000, 0)
	var list []directory.Upstream
	for i := range 3 * maxTold {
		list = append(list, directory.Upstream{ID: ident.Upstream(fmt.Sprint("u", i)), Service: "s"})
	}
	l.SetUpstreams(list)
	for i, u := range list {
		l.Named(u.ID, 1, now.Add(time.Duration(i)*time.Millisecond))
	}
	now = now.Add(time.Second)
	got := l.Report(now)
	if len(got) != maxTold {
		t.Errorf("statements: got %d, want %d", len(got), maxTold)
	}
	oldest := now.Sub(time.Unix(1000, 0).Add(2 * maxTold * time.Millisecond))
	for _, s := range got {
		if s.Age.Std() > oldest {
			t.Errorf("statement of %s: got an age of %v, want at most %v", s.Upstream, s.Age.Std(), oldest)
		}
	}
}
