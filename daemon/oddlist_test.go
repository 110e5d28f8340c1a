package daemon

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"crocuslug/instancelist"
	"crocuslug/standininstances"
	"crocuslug/timer"
)

// TestOddInstancesOfList guards against an instance list that is not followed because of one of its entries, and
// against a log line each time that it is read.
func TestOddInstancesOfList(t *testing.T) {
	s := standininstances.New(standininstances.Settings{}, timer.New())
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	sound := instancelist.Instance{Instance: "a", Domain: "d", Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", State: instancelist.Live}
	odd := sound
	odd.Instance, odd.PeerAddress = "b", "127.0.0.1:99999"
	s.Set([]instancelist.Instance{odd, sound})
	var log bytes.Buffer
	d := &Daemon{log: zerolog.New(&log)}
	c := instancelist.New(instancelist.Settings{Address: s.Addr()})
	for range 3 {
		list, err := d.listMembers(context.Background(), c)
		if err != nil || len(list) != 1 || list[0].Instance != "a" {
			t.Errorf("got %+v, %v, want a", list, err)
		}
	}
	if got := strings.Count(log.String(), "\n"); got != 1 {
		t.Errorf("lines: got %d, want 1; log:\n%s", got, &log)
	}
}
