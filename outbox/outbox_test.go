package outbox

import (
	"errors"
	"slices"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"crocuslug/batch"
	"crocuslug/ident"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestGroups holds the first frame back until all is queued: what gathered
// meanwhile goes in order and in as few frames as the bound allows.
func TestGroups(t *testing.T) {
	const entries = 2*maxEntries + 10
	hold, all := make(chan struct{}), make(chan struct{})
	var sizes []int
	var got []int
	once := sync.OnceFunc(func() { <-hold })
	o := New(func(_ ident.Instance, payload []byte) error {
		once()
		es, err := batch.DecodeAppends(payload)
		if err != nil {
			t.Errorf("frame: got %v, want it readable", err)
		}
		sizes = append(sizes, len(es))
		for _, e := range es {
			got = append(got, e.From)
		}
		if len(got) == entries {
			close(all)
		}
		return nil
	}, nil, nil)
	want := make([]int, entries)
	for i := range entries {
		want[i] = i
		o.Append("b", batch.Append{Generation: "g", From: i})
	}
	close(hold)
	<-all
	o.Stop()
	if !slices.Equal(got, want) {
		t.Errorf("entries: got %v, want all in order", got)
	}
	if len(sizes) > 4 || slices.Max(sizes) > maxEntries {
		t.Errorf("frames: got %v entries each, want at most 4 frames of at most %d", sizes, maxEntries)
	}
}

// TestFailed tells of all appends that could not be sent, and sends to other
// instances all the same. After Stop nothing is sent.
func TestFailed(t *testing.T) {
	failed, sent := make(chan int, 1), make(chan ident.Instance, 1)
	o := New(func(to ident.Instance, _ []byte) error {
		if to == "gone" {
			return errors.New("out of reach")
		}
		sent <- to
		return nil
	}, nil, func(to ident.Instance, es []batch.Append) {
		if to != "gone" {
			t.Errorf("failed: got instance %s, want gone", to)
		}
		failed <- len(es)
	})
	o.Append("gone", batch.Append{Generation: "g"})
	o.Append("b", batch.Append{Generation: "g"})
	if got := <-failed; got != 1 {
		t.Errorf("failed appends: got %d, want 1", got)
	}
	if got := <-sent; got != "b" {
		t.Errorf("sent: got to %s, want b", got)
	}
	o.Forget("b")
	o.Stop()
	o.Append("b", batch.Append{Generation: "g"})
	if len(sent) != 0 {
		t.Error("after Stop: got a frame, want none")
	}
}
