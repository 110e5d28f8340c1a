package plan

import (
	"encoding/json"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/result"
)

// load returns the base, the plan and the expected text of a script.
func load(t *testing.T, file string) (configuration.Document, Plan, string) {
	a, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var base configuration.Document
	if err := json.Unmarshal(a.Files[0].Data, &base); err != nil {
		t.Fatal(err)
	}
	in, err := intent.Decode(a.Files[1].Data)
	if err != nil {
		t.Fatal(err)
	}
	base = configuration.Sorted(base)
	p, problems := Make(base, in, Usage{
		Concurrent:    map[ident.Workspace]int{"busy": 7, "old": 2},
		CallerKeyHash: base.Operators[0].KeyHashes[0],
	})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return base, p, string(a.Files[2].Data)
}

func TestChangesAndWarnings(t *testing.T) {
	_, p, want := load(t, "testdata/breaks.txtar")
	var b strings.Builder
	for _, c := range p.Changes {
		b.WriteString(c.Path + ": " + c.Effect + "\n")
	}
	for _, w := range p.Warnings {
		b.WriteString("Warning: " + w + "\n")
	}
	if got := b.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// TestAlteredPlanIsRefused requires that a plan that was altered in any field is
// refused, even if its digest was computed again.
func TestAlteredPlanIsRefused(t *testing.T) {
	base, p, _ := load(t, "testdata/breaks.txtar")
	body, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	var read Plan
	if err := json.Unmarshal(body, &read); err != nil {
		t.Fatal(err)
	}
	doc, failed := read.Document(base)
	if failed != nil || doc.Revision != 5 {
		t.Fatalf("got revision %d, %v, want 5", doc.Revision, failed)
	}
	alter := map[string]func(p *Plan){
		"intent":   func(p *Plan) { p.Intent.Set.Workspaces[0].MaxConcurrent = 1 },
		"author":   func(p *Plan) { p.Author = "bat" },
		"base":     func(p *Plan) { p.BaseRevision = 5 },
		"warnings": func(p *Plan) { p.Warnings = nil },
		"id":       func(p *Plan) { p.ID = "0" },
		"changes":  func(p *Plan) { p.Changes = p.Changes[1:]; p.Digest = p.digest() },
		"empty":    func(p *Plan) { p.Digest = "" },
	}
	for name, f := range alter {
		var q Plan
		if err := json.Unmarshal(body, &q); err != nil {
			t.Fatal(err)
		}
		f(&q)
		if _, err := q.Document(base); err == nil || err.Code != result.PlanDigest {
			t.Errorf("%s altered: got %v, want PlanDigest", name, err)
		}
	}
	base.Revision++
	if _, err := p.Document(base); err == nil || err.Code != result.PlanStale {
		t.Errorf("later base: got %v, want PlanStale", err)
	}
}

func TestRollback(t *testing.T) {
	base, p, _ := load(t, "testdata/breaks.txtar")
	doc, err := p.Document(base)
	if err != nil {
		t.Fatal(err)
	}
	back, problems := Rollback(doc, base, "bat", Usage{})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	again, err := back.Document(doc)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := configuration.Digest(again), configuration.Digest(base); got != want || again.Revision != 6 {
		t.Errorf("got revision %d with digest %s, want 6 with %s", again.Revision, got, want)
	}
	if _, problems := Rollback(again, base, "bat", Usage{}); len(problems) == 0 {
		t.Error("nothing to roll back: got a plan, want a problem")
	}
}
