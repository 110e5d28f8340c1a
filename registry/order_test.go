package registry

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// history is a store that keeps all its changes.
type history struct {
	changes []change
	entries map[ident.Upstream]directory.Upstream
}

// change is one write or removal. The revision is its index plus 1.
type change struct {
	upstream directory.Upstream
	removed  bool
}

func (h *history) version() store.Version { return store.Version(len(h.changes)) }

// write makes a change to an entry: a registration, a report that it is leaving, or its removal.
func (h *history) write(t *rapid.T) {
	id := rapid.SampledFrom([]ident.Upstream{"a", "b", "c"}).Draw(t, "id")
	u, ok := h.entries[id]
	switch {
	case !ok:
		u = directory.Upstream{ID: id, Address: string(id) + ":1"}
	case u.Draining || rapid.Bool().Draw(t, "remove"):
		h.changes = append(h.changes, change{u, true})
		delete(h.entries, id)
		return
	default:
		u.Draining = true
	}
	u.Revision = h.version() + 1
	h.changes = append(h.changes, change{u, false})
	h.entries[id] = u
}

// list returns the present entries.
func (h *history) list() []directory.Upstream {
	var out []directory.Upstream
	for _, u := range h.entries {
		out = append(out, u)
	}
	return out
}

// follower is a Registry that learns of the changes in a history in several ways.
type follower struct {
	*Registry
	seen store.Version                    // changes applied by the watch, or known through a list or a peer
	left map[ident.Upstream]store.Version // highest version at which it was told that an upstream is leaving or gone
}

func newFollower() *follower {
	return &follower{New(Settings{}), 0, make(map[ident.Upstream]store.Version)}
}

// told records what a list of entries and its removals say.
func (f *follower) told(list []directory.Upstream, r Removals, at store.Version) {
	for _, u := range list {
		if u.Draining {
			f.left[u.ID] = max(f.left[u.ID], u.Revision)
		}
	}
	for _, id := range r.Gone {
		f.left[id] = max(f.left[id], at)
	}
	f.seen = max(f.seen, at)
}

// watch applies the next change.
func (f *follower) watch(h *history, now time.Time) {
	if f.seen >= h.version() {
		return
	}
	at := f.seen + 1
	c := h.changes[f.seen]
	if c.removed {
		f.told(nil, f.Remove(c.upstream.ID, at, now), at)
		return
	}
	f.Set(c.upstream)
	f.told([]directory.Upstream{c.upstream}, Removals{}, at)
}

// TestOlderKnowledgeUndoesNothing guards against requests at upstreams that have left: whatever the
// order in which changes, lists and the changes of a peer arrive, and whatever outages there are, an
// upstream that was known to be leaving or gone is not offered again by knowledge older than that.
func TestOlderKnowledgeUndoesNothing(t *testing.T) {
	type listing struct {
		entries []directory.Upstream
		at      store.Version
	}
	type report struct {
		changes Changes
		at      store.Version
	}
	rapid.Check(t, func(t *rapid.T) {
		h := &history{entries: make(map[ident.Upstream]directory.Upstream)}
		f, peer := newFollower(), newFollower()
		now := time.Unix(1000, 0)
		var listings []listing // read, not applied yet
		var reports []report   // sent by the peer, not applied yet
		t.Repeat(map[string]func(*rapid.T){
			"write":      func(t *rapid.T) { h.write(t) },
			"watch":      func(*rapid.T) { f.watch(h, now) },
			"peer watch": func(*rapid.T) { peer.watch(h, now) },
			"read":       func(*rapid.T) { listings = append(listings, listing{h.list(), h.version()}) },
			"list arrives": func(t *rapid.T) {
				if len(listings) == 0 {
					return
				}
				l := rapid.SampledFrom(listings).Draw(t, "list")
				f.told(l.entries, f.ReplaceAll(l.entries, l.at, now), l.at)
			},
			"peer reports": func(t *rapid.T) {
				since := store.Version(rapid.IntRange(0, len(h.changes)).Draw(t, "since"))
				reports = append(reports, report{peer.Since(since, now), peer.seen})
			},
			"report arrives": func(t *rapid.T) {
				if len(reports) == 0 {
					return
				}
				r := rapid.SampledFrom(reports).Draw(t, "report")
				f.told(r.changes.Upstreams, f.Merge(r.changes, r.at, now, now), r.at)
			},
			"outage begins": func(*rapid.T) { f.SetStoreUnavailable(true, now) },
			"outage ends":   func(*rapid.T) { f.SetStoreUnavailable(false, now) },
			"short outage":  func(*rapid.T) { peer.RecordOutage(now) },
			"time passes": func(*rapid.T) {
				now = now.Add(500 * time.Millisecond)
				f.Expire(now)
				peer.Expire(now)
			},
			"": func(t *rapid.T) {
				for _, u := range f.All() {
					if left := f.left[u.ID]; !u.Draining && u.Revision <= left {
						t.Fatalf("upstream %s: got offered by its entry of revision %d, want not after it was leaving or gone at %d", u.ID, u.Revision, left)
					}
				}
			},
		})
	})
}
