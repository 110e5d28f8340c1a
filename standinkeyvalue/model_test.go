package standinkeyvalue_test

import (
	"context"
	"flag"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// referenceModel is a simple model of the service that scans all its state on
// each operation.
type referenceModel struct {
	now     time.Duration
	leases  []time.Duration // time to live; the id of a lease is its index plus 1
	expires []time.Duration // 0 means revoked
	keys    []modelKey
}

type modelKey struct {
	key, value string
	version    store.Version
	lease      store.Lease
}

func (n *referenceModel) live(l store.Lease) bool { return n.expires[l-1] > n.now }

func (n *referenceModel) find(key string) *modelKey {
	n.keys = slices.DeleteFunc(n.keys, func(k modelKey) bool { return k.lease != 0 && !n.live(k.lease) })
	for i := range n.keys {
		if n.keys[i].key == key {
			return &n.keys[i]
		}
	}
	return nil
}

func (n *referenceModel) version(key string) store.Version {
	if k := n.find(key); k != nil {
		return k.version
	}
	return 0
}

func (n *referenceModel) list() string {
	n.find("")
	keys := slices.SortedFunc(slices.Values(n.keys), func(a, b modelKey) int { return strings.Compare(a.key, b.key) })
	var out []store.Entry
	for _, k := range keys {
		out = append(out, store.Entry{Key: k.key, Value: []byte(k.value), Version: k.version})
	}
	return show(out)
}

func TestStoreMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, n := newStoreBench(), &referenceModel{}
		ctx := context.Background()
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		grant := func(t *rapid.T) {
			ttl := time.Duration(rapid.IntRange(1, 9).Draw(t, "ttl")) * time.Second
			l, err := b.port.Grant(ctx, ttl)
			n.leases, n.expires = append(n.leases, ttl), append(n.expires, n.now+ttl)
			if err != nil || int(l) != len(n.leases) {
				t.Fatalf("grant: got %d, %v, want %d", l, err, len(n.leases))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k, v := key.Draw(t, "key"), rapid.StringMatching("[a-z]").Draw(t, "value")
				l := store.Lease(rapid.IntRange(0, len(n.leases)).Draw(t, "lease"))
				expect := n.version(k) + store.Version(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "off"))
				want := ""
				if expect != n.version(k) || l != 0 && !n.live(l) {
					want = "conflict"
				}
				version, err := b.port.Put(ctx, k, []byte(v), expect, l)
				if got := result("", err); got != want {
					t.Fatalf("put: got %q, want %q", got, want)
				}
				if err == nil {
					n.keys = slices.DeleteFunc(n.keys, func(x modelKey) bool { return x.key == k })
					n.keys = append(n.keys, modelKey{k, v, version, l})
				}
			},
			"delete": func(t *rapid.T) {
				k := key.Draw(t, "key")
				want := "conflict"
				if n.find(k) != nil {
					want = ""
				}
				if got := result("", b.port.Delete(ctx, k, n.version(k))); got != want {
					t.Fatalf("delete: got %q, want %q", got, want)
				}
				n.keys = slices.DeleteFunc(n.keys, func(x modelKey) bool { return x.key == k })
			},
			"grant": grant,
			"renew or revoke": func(t *rapid.T) {
				if len(n.leases) == 0 {
					grant(t)
				}
				l := store.Lease(rapid.IntRange(1, len(n.leases)).Draw(t, "lease"))
				want, call, lapses := "absent", b.port.Renew, n.now+n.leases[l-1]
				if rapid.Bool().Draw(t, "revoke") {
					call, lapses = b.port.Revoke, 0
				}
				if n.live(l) {
					want, n.expires[l-1] = "", lapses
				}
				if got := result("", call(ctx, l)); got != want {
					t.Fatalf("lease %d: got %q, want %q", l, got, want)
				}
				n.find("")
			},
			"advance": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second
				b.clock.Advance(d)
				n.now += d
			},
			"": func(t *rapid.T) {
				entries, err := b.port.List(ctx, "")
				if got, want := show(entries), n.list(); err != nil || got != want {
					t.Fatalf("list: got %q, %v, want %q", got, err, want)
				}
			},
		})
		checkWatchReplay(t, b)
	})
}

// checkWatchReplay checks that applying all events of a watch from version 0 gives
// the entries that List returns.
func checkWatchReplay(t *rapid.T, b *bench) {
	ctx := context.Background()
	listed, _ := b.port.List(ctx, "")
	if len(listed) == 0 {
		return // the watch would wait if nothing was ever written
	}
	seen, _, err := b.port.Watch(ctx, "", 0)
	if err != nil {
		t.Fatal(err)
	}
	last := make(map[string]store.Entry)
	for _, e := range seen {
		last[e.Key] = e
	}
	var replayed []store.Entry
	for _, e := range last {
		if !e.Deleted {
			replayed = append(replayed, e)
		}
	}
	slices.SortFunc(replayed, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	if got, want := show(replayed), show(listed); got != want {
		t.Fatalf("replayed watch: got %q, want %q", got, want)
	}
}

func TestWatchReportsLeaseExpiryWhileWaiting(t *testing.T) {
	b := newHTTPBench(t)
	if got, want := b.run("grant 5s")+b.run("put k v 0 1"), "11"; got != want {
		t.Fatalf("key with a lease: got %q, want %q", got, want)
	}
	done := make(chan string)
	go func() { done <- b.run("watch k 1") }()
	for b.store.Calls().WaitingNow == 0 {
		runtime.Gosched()
	}
	b.clock.Advance(5 * time.Second)
	if got, want := <-done, "k deleted@2 now 2"; got != want {
		t.Errorf("watch: got %q, want %q", got, want)
	}
}
