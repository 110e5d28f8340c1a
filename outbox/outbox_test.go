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

// TestGroupsEntriesInOrder blocks the first frame until all entries are queued, and checks
// that the entries are then sent in order and in as few frames as maxEntries allows.
func TestGroupsEntriesInOrder(t *testing.T) {
	const entries = 2*maxEntries + 10
	release, received := make(chan struct{}), make(chan struct{})
	var sizes []int
	var got []int
	once := sync.OnceFunc(func() { <-release })
	o := New(func(_ ident.Instance, payload []byte) error {
		once()
		es, err := batch.DecodeAppends(payload)
		if err != nil {
			t.Errorf("frame: got %v, want no error", err)
		}
		sizes = append(sizes, len(es))
		for _, e := range es {
			got = append(got, e.From)
		}
		if len(got) == entries {
			close(received)
		}
		return nil
	}, nil, nil)
	want := make([]int, entries)
	for i := range entries {
		want[i] = i
		o.Append("b", batch.Append{Generation: "g", From: i})
	}
	close(release)
	<-received
	o.Stop()
	if !slices.Equal(got, want) {
		t.Errorf("entries: got %v, want all in order", got)
	}
	if len(sizes) > 4 || slices.Max(sizes) > maxEntries {
		t.Errorf("frames: got %v entries each, want at most 4 frames of at most %d", sizes, maxEntries)
	}
}

// TestSendFailure checks that appends that cannot be sent are reported, that other instances
// are not affected, and that nothing is sent after Stop.
func TestSendFailure(t *testing.T) {
	failed, sent := make(chan int, 1), make(chan ident.Instance, 1)
	o := New(func(to ident.Instance, _ []byte) error {
		if to == "gone" {
			return errors.New("connection refused")
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
	o.RemoveQueue("b")
	o.Stop()
	o.Append("b", batch.Append{Generation: "g"})
	if len(sent) != 0 {
		t.Error("after Stop: got a frame, want none")
	}
}
