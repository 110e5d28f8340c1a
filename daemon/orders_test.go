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

// TestQueuedModels checks that a model counts as in use while a generation waits for it.
func TestQueuedModels(t *testing.T) {
	d := &Daemon{generationQueue: line.New(admission.Settings{}, func(ident.Workspace) admission.Limits { return admission.Limits{} })}
	it := admission.Item{ID: "g1", Workspace: "w", Priority: admission.Normal, Cost: 1}
	if _, err := d.generationQueue.Enqueue(it, &pendingGeneration{spec: generation.Spec{Model: "m"}}, time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	got := d.queuedModels()
	if want := (placement.Model{Name: "m"}); len(got) != 1 || got[0] != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
