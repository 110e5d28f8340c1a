package standinsite

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"crocuslug/caller"
	"crocuslug/result"
)

// pageMetrics returns the names on docs/operators/metrics.md with their kinds.
func pageMetrics(t *testing.T) map[string]string {
	b, err := os.ReadFile("../docs/operators/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]string)
	for line := range strings.Lines(string(b)) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 6 || !strings.Contains(cells[1], "`") {
			continue
		}
		out[strings.Trim(cells[1], " `")] = strings.TrimSpace(cells[2])
	}
	return out
}

// kindOf tells the kind of a metric by its fields.
func kindOf(m map[string]json.RawMessage) string {
	switch {
	case m["value"] != nil:
		return "gauge"
	case m["95%"] != nil:
		return "histogram"
	}
	return "counter"
}

// pageName returns the name that a metric has on the page.
func pageName(name string) string {
	group, code, ok := strings.Cut(name, ".")
	for _, c := range result.Codes() {
		if ok && c.String() == code {
			return group + ".{result}"
		}
	}
	return name
}

// readMetrics returns the metrics of the instance at an address.
func readMetrics(t *testing.T, address string) map[string]map[string]json.RawMessage {
	t.Helper()
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	out := make(map[string]map[string]json.RawMessage)
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestMetricsPage holds docs/operators/metrics.md against the metrics of an
// instance that has answered, both ways.
func TestMetricsPage(t *testing.T) {
	site := New(Settings{Seed: 1})
	if err := site.Start(); err != nil {
		t.Fatal(err)
	}
	defer site.Stop()
	c := site.Caller(caller.Settings{Addresses: site.Addresses()[:1]})
	if a := c.Do(t.Context(), caller.Request{ID: "r0", Model: Model, Prompt: "p", MaxTokens: 3}); !a.Whole {
		t.Fatalf("answer: got %v, want a whole one", a.Err)
	}
	if a := c.Do(t.Context(), caller.Request{ID: "r1", Model: "none", Prompt: "p", MaxTokens: 3}); a.Err == nil {
		t.Fatal("answer of no model: got none, want a failure")
	}
	defer http.DefaultClient.CloseIdleConnections()
	got := readMetrics(t, site.Addresses()[0])
	// The end of a generation is counted after its caller has the whole answer; this name comes last.
	for end := time.Now().Add(10 * time.Second); got["TokensUnreplicated"] == nil; got = readMetrics(t, site.Addresses()[0]) {
		if time.Now().After(end) {
			break // the checks below say what is missing
		}
		time.Sleep(time.Millisecond)
	}
	want := pageMetrics(t)
	for name, m := range got {
		if kind, ok := want[pageName(name)]; !ok || kind != kindOf(m) {
			t.Errorf("%s: got a %s, want it on the page, which has kind %q", name, kindOf(m), kind)
		}
	}
	for name := range want {
		if got[name] == nil && !strings.Contains(name, "{") {
			t.Errorf("%s: got none from the instance, want what the page has", name)
		}
	}
	for _, name := range []string{"Answers.OK", "Answers.NotFound", "Generations.OK"} {
		if string(got[name]["count"]) != "1" {
			t.Errorf("%s: got %s, want 1", name, got[name]["count"])
		}
	}
}
