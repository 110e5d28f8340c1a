package edge_test

import (
	"fmt"
	"testing"
	"time"

	"crocuslug/nativewire"
	"crocuslug/standinregistered"
)

// upstreamsCrashed is the number of upstreams under which a content has to be known as crashing.
const upstreamsCrashed = 3

// sendCall sends a request to a plain service. Its content is a path and a body.
func sendCall(address, kind, content string, n int) (int, error) {
	var path, body string
	if _, err := fmt.Sscan(content, &path, &body); err != nil {
		return 0, err
	}
	id := fmt.Sprintf("%s-%d", kind, n)
	if body == "own" {
		body = id
	}
	status, _, err := post(address, path, body, nativewire.RequestField, id, nativewire.KeyField, "k", nativewire.TimeoutField, "2s")
	return status, err
}

// TestCallThatCrashesUpstreams guards against a request to a plain service that crashes each upstream
// that runs it and is sent on again and again.
func TestCallThatCrashesUpstreams(t *testing.T) {
	tests := []struct {
		name      string
		bad       traffic
		instances int
		domains   int // upstreams in each failure domain
	}{
		{"safe", traffic{contents: []string{"/safe/x bad"}, interval: 300 * time.Millisecond}, crashingInstances, 1},
		{"unsafe", traffic{contents: []string{"/unsafe/x bad"}, interval: 300 * time.Millisecond}, crashingInstances, 1},
		{"at several instances at once", traffic{contents: []string{"/safe/x bad"}, interval: 400 * time.Millisecond, atOnce: 4}, crashingInstances, 1},
		{"at many instances", traffic{contents: []string{"/safe/x bad"}, interval: 100 * time.Millisecond, atOnce: 2}, 3 * crashingInstances, 3},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := &crashing{
				upstream: standinregistered.Settings{Service: "plain", CrashBody: badPart, Prefill: 40 * time.Millisecond},
				downTime: stableTime, instances: tc.instances, request: sendCall,
			}
			c.start(t, tc.domains)
			sound := traffic{kind: "sound", contents: []string{"/safe/x own", "/safe/x hot", "/unsafe/x hot"}, interval: 30 * time.Millisecond}
			tc.bad.kind = "bad"
			began := time.Now()
			c.run(began.Add(time.Second), sound)
			troubled := time.Now()
			for end := troubled.Add(troubleTime); c.crashCount() < upstreamsCrashed && time.Now().Before(end); {
				c.run(time.Now().Add(50*time.Millisecond), sound, tc.bad)
			}
			known := c.crashTime(upstreamsCrashed)
			c.run(known.Add(recoveryTime+2*time.Second), sound, tc.bad)
			last := time.Now()
			c.callers.Wait()
			before, _ := c.begun("sound", began, troubled)
			after, n := c.begun("sound", known.Add(recoveryTime), last)
			sent := c.sendsAfter("bad", known.Add(blameTime))
			t.Logf("%d upstreams crashed; crashing requests sent later than %v after the third: %d; sound requests answered: %.2f before, %.2f after", c.crashCount(), blameTime, sent, before, after)
			if sent > maxSendsAfter {
				t.Errorf("crashing requests sent later than %v after the third crash: got %d, want at most %d", blameTime, sent, maxSendsAfter)
			}
			if after < minSoundShare*before || n < minSoundSample {
				t.Errorf("sound requests answered: got a share of %.2f of %d, want at least half of %.2f", after, n, before)
			}
			if got, err := sendCall(c.listen[0], "bad", tc.bad.contents[0], 0); got != 503 || c.sendsAfter("bad", last) > 0 {
				t.Errorf("crashing request: got %d, %v, want 503 without a send", got, err)
			}
		})
	}
}
