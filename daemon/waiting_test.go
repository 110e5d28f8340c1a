package daemon

import (
	"testing"
	"time"

	"crocuslug/admission"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/placement"
)

// TestWaitedFor holds that a model counts as in use while a generation waits for it.
func TestWaitedFor(t *testing.T) {
	d := &Daemon{line: line.New(admission.Settings{}, func(ident.Workspace) admission.Limits { return admission.Limits{} })}
	it := admission.Item{ID: "g1", Workspace: "w", Priority: admission.Normal, Cost: 1}
	if _, err := d.line.Enqueue(it, &work{spec: generation.Spec{Model: "m"}}, time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	got := d.waitedFor()
	if want := (placement.Model{Name: "m"}); len(got) != 1 || got[0] != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
