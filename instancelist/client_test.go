package instancelist_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"crocuslug/ident"
	"crocuslug/instancelist"
	"crocuslug/standininstances"
	"crocuslug/timer"
)

func instances(state instancelist.State, names ...string) []instancelist.Instance {
	var out []instancelist.Instance
	for _, n := range names {
		out = append(out, instancelist.Instance{
			Instance: ident.Instance(n), Domain: "accra",
			Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", State: state,
		})
	}
	return out
}

// TestFetchWithLagAndFailures checks that a fetch returns the list as it was
// before the lag of the service, that it still works after older connections
// have become unresponsive, and that it returns an error if ctx has ended or the
// service is down.
func TestFetchWithLagAndFailures(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(100, 0))
	s := standininstances.New(standininstances.Settings{Lag: 5 * time.Second}, clock)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	c := instancelist.New(instancelist.Settings{Address: s.Addr()})
	first, second := instances(instancelist.Live, "a", "b"), instances(instancelist.Leaving, "b")
	s.Set(first)
	s.Set(second)
	for _, step := range []struct {
		advance time.Duration
		want    []instancelist.Instance
	}{{0, first}, {4 * time.Second, first}, {time.Second, second}} {
		clock.Advance(step.advance)
		got, err := c.Fetch(context.Background())
		if err != nil || !slices.Equal(got.Instances, step.want) {
			t.Errorf("after %v more: got %v, %v, want %v", step.advance, got.Instances, err, step.want)
		}
	}
	s.Silence()
	if _, err := c.Fetch(context.Background()); err != nil {
		t.Errorf("fetch after connections became unresponsive: got error %v, want none", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.Freeze()
	cancel()
	if _, err := c.Fetch(ctx); err == nil {
		t.Error("fetch when ctx has ended: got no error, want one")
	}
	s.Kill()
	if _, err := c.Fetch(context.Background()); err == nil {
		t.Error("fetch while down: got no error, want one")
	}
}

// FuzzParse checks that a list that was accepted is accepted again, with the same
// instances, after encoding.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Version":1,"Instances":[{"Instance":"a","Address":"h:1","PeerAddress":"h:2","State":"Live"}]}`))
	f.Add([]byte(`{"Instances":[{"Instance":"a"},{"Instance":"a"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		l, err := instancelist.Parse(body)
		if err != nil {
			return
		}
		again, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		got, err := instancelist.Parse(again)
		if err != nil || !slices.Equal(got.Instances, l.Instances) {
			t.Errorf("parsed again: got %v, %v, want %v", got, err, l)
		}
	})
}
