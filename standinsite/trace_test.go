package standinsite

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"crocuslug/caller"
	"crocuslug/standinengine"
)

// Trace that the callers of the test are in.
const (
	traceID = "0af7651916cd43dd8448eb211c80319c"
	spanID  = "b7ad6b7169203331"
)

// TestTrace follows one answer through a killed engine and a killed instance,
// and one operator's call, and holds the tree of their spans.
func TestTrace(t *testing.T) {
	out := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(out))
	site := New(Settings{
		Instances: 3, Seed: 1, Tracer: provider.Tracer("test"),
		Engine: standinengine.Settings{TokenInterval: 5 * time.Millisecond},
	})
	if err := site.Start(); err != nil {
		t.Fatal(err)
	}
	stopped := false
	defer func() {
		if !stopped {
			site.Stop()
		}
	}()
	a := site.Caller(caller.Settings{Silence: 2 * time.Second}).Do(t.Context(), caller.Request{
		ID: "r0", Model: Model, Prompt: "debrief", MaxTokens: 80, Trace: "00-" + traceID + "-" + spanID + "-01",
		OnToken: func(i int, _ string) {
			switch i {
			case 20:
				site.KillServing(Workspace, "r0")
			case 50:
				site.KillOwner(Workspace, "r0")
			}
		},
	})
	if !a.Whole || a.Reconnects == 0 {
		t.Fatalf("answer: got whole %t after %d reconnects, %v, want a whole one after some", a.Whole, a.Reconnects, a.Err)
	}
	getHistory(t, site.Addresses()[0])
	site.Stop()
	stopped = true
	checkTree(t, out.GetSpans(), a.Reconnects)
}

func getHistory(t *testing.T, address string) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/v1/operator/history", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	req.Header.Set("traceparent", "00-"+traceID+"-"+spanID+"-01")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
}

// checkTree holds the edges of the tree and the number of spans of each kind.
func checkTree(t *testing.T, spans tracetest.SpanStubs, reconnects int) {
	byID := make(map[string]tracetest.SpanStub)
	for _, s := range spans {
		byID[s.SpanContext.SpanID().String()] = s
	}
	var edges []string
	count := make(map[string]int)
	for _, s := range spans {
		if s.SpanContext.TraceID().String() != traceID {
			if s.Name != "platform call" {
				t.Errorf("%s: got it outside the caller's trace, want only the instances' own calls there", s.Name)
			}
			continue
		}
		parent := "test"
		if p := s.Parent.SpanID().String(); p != spanID {
			parent = byID[p].Name
		}
		count[s.Name]++
		edges = append(edges, parent+" > "+label(s))
	}
	slices.Sort(edges)
	got := strings.Join(slices.Compact(edges), "\n")
	want := strings.Join([]string{
		"caller request > peer call Generation.Find",
		"caller request > upstream stream",
		"operator request > platform call Get",
		"peer call > peer request Generation.Find",
		"test > caller request r0",
		"test > operator request",
	}, "\n")
	// Where the copy was held is a matter of chance: it is taken from a peer or
	// found where the caller came back.
	for _, line := range []string{"caller request > peer call Generation.Take\n", "peer call > peer request Generation.Take\n"} {
		got = strings.Replace(got, line, "", 1)
	}
	if got != want {
		t.Errorf("tree: got\n%s\nwant\n%s", got, want)
	}
	if n := count["caller request"]; n < 2 || n > reconnects+1 {
		t.Errorf("caller requests: got %d, want one for each connection that was answered of %d", n, reconnects+1)
	}
	if n := count["upstream stream"]; n < 3 {
		t.Errorf("upstream streams: got %d, want at least those of two owners and two engines", n)
	}
}

// label names a span with what tells its kind apart.
func label(s tracetest.SpanStub) string {
	for _, a := range s.Attributes {
		if slices.Contains([]attribute.Key{"Method", "Kind", "Request"}, a.Key) {
			return fmt.Sprintf("%s %s", s.Name, a.Value.AsString())
		}
	}
	return s.Name
}
