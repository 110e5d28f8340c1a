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

// TestOddEntriesLoggedOnce guards against a log line each time that an entry is read which names nothing to use,
// and against a memory of such entries that only grows.
func TestOddEntriesLoggedOnce(t *testing.T) {
	e, log := newLogged(t)
	now := e.timer.Now()
	entries := []store.Entry{
		{Key: "u/a", Value: []byte("{"), Version: 3},
		{Key: instancesPrefix + "e2", Value: []byte(`{"Instance":"127.0.0.1:99999","Domain":"a"}`), Version: 4},
		{Key: instancesPrefix + "e3", Value: []byte(strings.Repeat("[", 20000)), Version: 5},
		{Key: buildsPrefix + "s", Value: []byte(`{"Service":"other"}`), Version: 6},
		{Key: "u/b", Value: []byte(`{"Slots":` + strings.Repeat("1", 1<<16) + `}`), Version: 7},
	}
	read := func() {
		e.decodeUpstream(entries[0], "scan", now)
		e.addInstance(entries[1], now)
		e.addInstance(entries[2], now)
		e.applyBuildRecord(entries[3], now)
		e.decodeUpstream(entries[4], "scan", now)
		e.forgetOddEntries(entries)
	}
	for range 5 {
		read()
	}
	if got := strings.Count(log.String(), `"level":"warn"`); got != len(entries) {
		t.Errorf("warnings of %d entries read 5 times: got %d, want one of each; log:\n%s", len(entries), got, log)
	}
	if got, most := log.Len(), 1000*len(entries); got > most {
		t.Errorf("log: got %d bytes, want at most %d", got, most)
	}
	if len(e.peers) != 0 {
		t.Errorf("peers: got %d, want none", len(e.peers))
	}
	entries[0].Version = 9
	read()
	if got, want := strings.Count(log.String(), `"level":"warn"`), len(entries)+1; got != want {
		t.Errorf("warnings once an entry was written again: got %d, want %d", got, want)
	}
	e.forgetOddEntry("u/a")
	e.forgetOddEntries(entries[1:2])
	if got := len(e.oddEntries); got != 1 {
		t.Errorf("entries remembered once others are gone: got %d, want 1", got)
	}
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
