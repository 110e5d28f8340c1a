package timer

import (
	"testing"
	"time"
)

func TestAdvanceCallsInOrderOfTime(t *testing.T) {
	s := NewVirtual(time.Unix(0, 0))
	var got []string
	s.After(3*time.Second, func(time.Time) { got = append(got, "c") })
	s.After(time.Second, func(time.Time) {
		got = append(got, "a")
		s.After(time.Second, func(time.Time) { got = append(got, "b") })
	})
	stopped := s.After(2*time.Second, func(time.Time) { got = append(got, "x") })
	stopped.Stop()
	s.Advance(5 * time.Second)
	want := []string{"a", "b", "c"}
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("call %d: got %s, want %s", i, got[i], want[i])
		}
	}
}

func TestStopInsideCall(t *testing.T) {
	s := NewVirtual(time.Unix(0, 0))
	n := 0
	var sub *Subscription
	sub = s.Every(time.Second, func(time.Time) {
		n++
		if n == 3 {
			sub.Stop()
		}
	})
	s.Advance(10 * time.Second)
	if got, want := n, 3; got != want {
		t.Errorf("calls: got %d, want %d", got, want)
	}
}
