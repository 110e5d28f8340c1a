package edge

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/settings"
	"crocuslug/store"
	"crocuslug/timer"
)

// newLogged returns an instance that decodes entries in the form of directory.Upstream, and its log.
func newLogged(t *testing.T) (*Edge, *bytes.Buffer) {
	t.Helper()
	ports := Ports{UpstreamsPrefix: "u/", DecodeUpstream: func(e store.Entry) (directory.Upstream, error) {
		var u directory.Upstream
		err := json.Unmarshal(e.Value, &u)
		return u, err
	}}
	var log bytes.Buffer
	e := New(settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:1"}, ports, []byte("s"), timer.New(), zerolog.New(&log))
	t.Cleanup(e.exchange.Close)
	return e, &log
}

// TestOddUpstreamsOfPeers guards against upstreams that an instance of an older build takes over from the store
// although they name none to use, and tells to this one.
func TestOddUpstreamsOfPeers(t *testing.T) {
	e, log := newLogged(t)
	now := e.timer.Now()
	sound := directory.Upstream{ID: "a", Service: "s", Address: "192.0.2.1:1", Domain: "a", Slots: 9, Revision: 1}
	e.registry.Set(sound)
	odd, other := sound, sound
	odd.Address, odd.Revision = "192.0.2.1:99999", 3
	other.ID, other.Address = "b", "192.0.2.2:1"
	got := e.usableUpstreams([]directory.Upstream{odd, other}, "127.0.0.1:2", now)
	if len(got) != 1 || got[0] != other {
		t.Errorf("got %+v, want %+v", got, other)
	}
	if list := e.registry.All(); len(list) != 0 {
		t.Errorf("registered: got %+v, want none, since the entry names none any more", list)
	}
	e.usableUpstreams([]directory.Upstream{odd}, "127.0.0.1:2", now)
	if got := strings.Count(log.String(), `"level":"warn"`); got != 1 {
		t.Errorf("warnings: got %d, want 1; log:\n%s", got, log)
	}
}
