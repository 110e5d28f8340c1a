package edge_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuslug/nativewire"
	"crocuslug/standinregistered"
)

// Bounds of the users' platform for upstreams that ask an instance for a rest: from restStart after such an
// answer until the end of the rest, maxInRest requests of that instance may reach the upstream.
const (
	restStart = 500 * time.Millisecond
	maxInRest = 2

	retrySlack = 150 // retries of all instances together, beside a share of the requests
)

// mostInRest returns the largest number of requests of one instance that reached an upstream within a rest
// that it had asked that instance for. The upstream turned away all requests until the time end.
func (l *limited) mostInRest(u *standinregistered.Server, rest time.Duration, end time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := make(map[string][]time.Time) // by instance
	for _, a := range l.arrivals {
		if instance, _, _ := strings.Cut(a.request, "-"); a.upstream == string(u.ID()) {
			times[instance] = append(times[instance], a.at)
		}
	}
	most := 0
	for _, at := range times {
		for _, asked := range at {
			n := 0
			for _, other := range at {
				if other.After(asked.Add(restStart)) && other.Before(asked.Add(rest)) && asked.Before(end) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// TestRestKept guards against an instance that sends requests to an upstream within the time for which it
// has asked that instance for none, and against requests that fail while other upstreams are idle.
func TestRestKept(t *testing.T) {
	plain, engine := standinregistered.Settings{Service: "plain", Prefill: 5 * time.Millisecond}, standinregistered.Settings{Service: "engine", Prefill: 5 * time.Millisecond, Pieces: 3}
	tests := []struct {
		name     string
		upstream standinregistered.Settings
		paths    []string
		resting  int // upstreams of four
	}{
		{"calls", plain, []string{"/unsafe/x", "/safe/x"}, 1},
		{"streams", engine, []string{"/stream/x"}, 1},
		{"three of four upstreams", plain, []string{"/unsafe/x", "/safe/x"}, 3},
	}
	const rest = 3 * time.Second
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(t)
			s.slack = retrySlack
			l := newLimitedAt(s, 4, 4, tc.upstream, tc.paths)
			for _, u := range l.upstreams[:tc.resting] {
				u.SetRest("3")
			}
			sent := l.load(time.Now().Add(2*rest), 80, 0, 1, 2, 3)
			end := time.Now()
			for _, u := range l.upstreams[:tc.resting] {
				if got := l.mostInRest(u, rest, end); got > maxInRest {
					t.Errorf("requests of an instance within the rest: got %d, want at most %d", got, maxInRest)
				}
				u.SetRest("")
			}
			checkServed(t, sent)
			l.awaitEnd(80)
		})
	}
}

// TestAllUpstreamsRest guards against requests that wait or are sent though all upstreams have asked for a
// rest: they are refused at once with the time at which the first one ends.
func TestAllUpstreamsRest(t *testing.T) {
	l := newLimited(t, 4, 4, standinregistered.Settings{Service: "plain", Prefill: 5 * time.Millisecond}, []string{"/unsafe/x", "/safe/x"})
	for _, u := range l.upstreams {
		u.SetRest("2")
	}
	const rest = 2 * time.Second
	sent := l.load(time.Now().Add(2*rest), 80, 0, 1, 2, 3)
	end := time.Now()
	late, refused := 0, 0
	for _, r := range sent {
		if r.status != http.StatusServiceUnavailable {
			t.Errorf("request while all upstreams rest: got status %d, want 503", r.status)
			continue
		}
		refused++
		after, err := strconv.ParseFloat(r.header.Get(nativewire.RestField), 64)
		if least, most := 0.1, 1.5*rest.Seconds(); err != nil || after < least || after > most {
			t.Errorf("refused request: got Retry-After %q, want between %v and %v", r.header.Get(nativewire.RestField), least, most)
		}
		if r.ended.Sub(r.at) > 500*time.Millisecond {
			late++
		}
	}
	if late > refused/20 {
		t.Errorf("refused later than after 500 ms: got %d of %d requests, want few", late, refused)
	}
	for _, u := range l.upstreams {
		if got := l.mostInRest(u, rest, end); got > maxInRest {
			t.Errorf("requests of an instance within the rest: got %d, want at most %d", got, maxInRest)
		}
		u.SetRest("")
	}
	time.Sleep(rest + 300*time.Millisecond)
	checkServed(t, l.load(time.Now().Add(time.Second), 80, 0, 1, 2, 3))
}
