package builds

import (
	"strings"
	"testing"
	"time"

	"crocuslug/ident"
)

// TestLongOrigins guards against holders whose memory grows with the length of the ids that callers choose.
func TestLongOrigins(t *testing.T) {
	now := time.Unix(0, 0)
	tr := New(Settings{}, now)
	const long = 15_500 // bytes, within the users' limit of a head
	ids := []ident.Request{"short", ident.Request(strings.Repeat("a", maxOrigin)), ident.Request(strings.Repeat("a", maxOrigin+1)), ident.Request(strings.Repeat("a", long)), ident.Request(strings.Repeat("b", long))}
	for i, id := range ids {
		tr.Record(Record{Origin: id, Service: "s", Build: ident.Build(rune('1' + i))}, now)
	}
	for i, id := range ids {
		want := Statement{Known: true, Build: ident.Build(rune('1' + i))}
		if got := tr.Find(id, "s", now); got != want {
			t.Errorf("id of %d bytes: got %+v, want %+v", len(id), got, want)
		}
		if got := tr.Find(OriginOf(id), "s", now); got != want {
			t.Errorf("name of an id of %d bytes: got %+v, want %+v", len(id), got, want)
		}
	}
	held := tr.Held(now)
	if len(held) != len(ids) {
		t.Errorf("streams held: got %d, want %d", len(held), len(ids))
	}
	for _, r := range held {
		if len(r.Origin) > maxOrigin {
			t.Errorf("stream held: got a name of %d bytes, want at most %d", len(r.Origin), maxOrigin)
		}
	}
}
