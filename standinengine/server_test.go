package standinengine

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"crocuslug/prefix"
)

func TestOrdersAndRefusals(t *testing.T) {
	const start = `{"model":"bench","stream":true,"max_tokens":100000,"messages":[]`
	for _, checks := range []bool{true, false} {
		r := newTestEngine(t, Settings{ChecksFencing: checks, Slots: 1, QueueLimit: -1, CannotContinue: true, LoadLag: time.Hour})
		old := 200
		if checks {
			old = 409
		}
		for _, step := range []struct {
			method, path, body string
			want               int
		}{
			{"POST", ordersPath, `{"kind":"load_model","model":"n","version":"2","fencing_number":5}`, 200},
			{"POST", ordersPath, `{"kind":"unload_model","model":"n","fencing_number":4}`, old},
			{"POST", ordersPath, `{"kind":"load_adapter","model":"n","adapter":"x","fencing_number":5}`, map[bool]int{true: 200, false: 400}[checks]},
			{"POST", ordersPath, `{"kind":"dance","fencing_number":6}`, 400},
			{"POST", ordersPath, `{"kind":"set_role","role":"spare","fencing_number":7}`, 200},
			{"POST", completionsPath, `{`, 400},
			{"POST", completionsPath, `{"model":"absent"}`, 404},
			{"POST", completionsPath, `{"model":"bench","adapter":"absent"}`, 404},
			{"POST", completionsPath, `{"model":"bench","continue_from":["a.0 ","b.1 "]}`, 400},
			{"POST", completionsPath, `{"model":"bench","continue_from":["a.0 ","a.1 "]}`, 501},
			{"POST", completionsPath, start + `}`, 200},
			{"POST", completionsPath, start + `}`, 429},
			{"GET", streamsPath + "absent", ``, 404},
			{"DELETE", streamsPath + "absent", ``, 204},
			{"POST", faultsPath, `{"Kind":"Leave"}`, 204},
			{"POST", completionsPath, start + `}`, 503},
		} {
			if got := r.call(step.method, step.path, step.body).StatusCode; got != step.want {
				t.Errorf("checks %v: %s %s: got %d, want %d", checks, step.path, step.body, got, step.want)
			}
		}
		body, _ := io.ReadAll(r.call("GET", statePath, "").Body)
		if got, want := string(body), `"role":"spare","fencing_number":7`; !strings.Contains(got, want) {
			t.Errorf("state: got %s, want %s in it", got, want)
		}
		body, _ = io.ReadAll(r.call("GET", loadPath, "").Body)
		if got, want := string(body), `"running":0`; !strings.Contains(got, want) {
			t.Errorf("lagging load: got %s, want %s in it", got, want)
		}
	}
}

func TestCacheEventsAreDelayedAndSomeLost(t *testing.T) {
	c := newCache(2, time.Second, 3)
	now := time.Unix(0, 0)
	for b := range 3 {
		c.touch(now, prefix.Block(b))
	}
	if got := c.eventsAfter(now, 0); len(got.Events) != 0 || got.Next != 0 {
		t.Errorf("at once: got %+v, want no events", got)
	}
	got, _ := json.Marshal(c.eventsAfter(now.Add(time.Second), 1))
	want := `{"next":4,"events":[{"seq":2,"kind":"stored","block":"0000000000000001"},` +
		`{"seq":4,"kind":"evicted","block":"0000000000000000"}]}`
	if string(got) != want {
		t.Errorf("late: got %s, want %s", got, want)
	}
}

// FuzzRequest checks that each accepted request gives a stream within bounds and
// that its continue_from holds tokens of one answer.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"model":"bench","messages":[{"role":"user","content":"x"}],"max_tokens":3}`))
	f.Add([]byte(`{"continue_from":["a.0 ","a.1 "],"max_tokens":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var r completionRequest
		if json.Unmarshal(body, &r) != nil {
			return
		}
		s, err := newStream(&r)
		if err != nil {
			return
		}
		if s.limit < 1 || s.limit > maxMaxTokens || s.base != len(r.ContinueFrom) {
			t.Errorf("stream: got limit %d, base %d, want them within bounds", s.limit, s.base)
		}
		for i, token := range r.ContinueFrom {
			if got, want := token, tokenText(s.nonce, i); got != want {
				t.Errorf("token %d: got %q, want %q", i, got, want)
			}
		}
	})
}
