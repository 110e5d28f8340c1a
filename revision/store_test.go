package revision

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/plan"
	"crocuslug/result"
	"crocuslug/standinkeyvalue"
	"crocuslug/store"
	"crocuslug/timer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const keepRevisions = 2

// faultyStore wraps a store. It fails, loses or delays writes and returns stale
// heads at random, and keeps all heads that were ever written. Before any call it
// may run a confirmation of another operator.
type faultyStore struct {
	t        *rapid.T
	store    store.Store
	enabled  bool
	depth    int
	runOther func()
	heads    []store.Entry
	delayed  []func()
}

func (f *faultyStore) draw(n int, what string) int {
	if !f.enabled {
		return n
	}
	return rapid.IntRange(0, n).Draw(f.t, what)
}

func (f *faultyStore) interleave() {
	const maxDepth = 2
	if f.depth >= maxDepth || f.draw(8, "other") != 0 {
		return
	}
	f.depth++
	f.runOther()
	f.depth--
}

func (f *faultyStore) port() store.Store {
	s := f.store
	s.Get = func(ctx context.Context, key string) (store.Entry, error) {
		f.interleave()
		switch f.draw(12, "get") {
		case 0:
			return store.Entry{}, store.Unavailable.New("outage")
		case 1:
			if strings.HasSuffix(key, "head") && len(f.heads) > 1 {
				return f.heads[rapid.IntRange(0, len(f.heads)-1).Draw(f.t, "stale")], nil
			}
		}
		return f.store.Get(ctx, key)
	}
	s.List = func(ctx context.Context, prefix string) ([]store.Entry, error) {
		if f.draw(6, "list") == 0 {
			return nil, nil
		}
		return f.store.List(ctx, prefix)
	}
	s.Put = func(ctx context.Context, key string, value []byte, expect store.Version, l store.Lease) (store.Version, error) {
		f.interleave()
		put := func() (store.Version, error) {
			v, err := f.store.Put(ctx, key, value, expect, l)
			if err == nil && strings.HasSuffix(key, "head") {
				f.heads = append(f.heads, store.Entry{Key: key, Value: value, Version: v})
			}
			return v, err
		}
		switch f.draw(8, "put") {
		case 0:
			return 0, store.Unavailable.New("outage")
		case 1:
			if _, err := put(); err != nil {
				return 0, err
			}
			return 0, store.Unknown.New("answer lost")
		case 2:
			f.delayed = append(f.delayed, func() { _, _ = put() })
			return 0, store.Unknown.New("answer lost")
		}
		return put()
	}
	return s
}

// operators make and confirm plans concurrently on one faulty store.
type operators struct {
	t         *rapid.T
	kv        *faultyStore
	stores    []*Store
	plans     []plan.Plan
	confirmed map[plan.ID]ident.Revision
	refused   map[plan.ID]bool
}

func (o *operators) store() *Store {
	return rapid.SampledFrom(o.stores).Draw(o.t, "ledger")
}

// plan makes a plan based on the newest document that the operator reads, which
// may be stale.
func (o *operators) plan() {
	base, err := o.store().NewestDocument(context.Background())
	if err != nil {
		return
	}
	in := intent.Intent{Author: rapid.SampledFrom([]string{"ama", "bat"}).Draw(o.t, "author")}
	name := ident.Workspace(rapid.SampledFrom([]string{"w1", "w2", "w3", "w4"}).Draw(o.t, "name"))
	in.Set.Workspaces = []configuration.Workspace{{Name: name, MaxConcurrent: rapid.IntRange(0, 9).Draw(o.t, "limit")}}
	p, problems := plan.Make(base, in, plan.Usage{})
	if len(problems) == 0 {
		o.plans = append(o.plans, p)
	}
}

func (o *operators) confirm() {
	if len(o.plans) == 0 {
		return
	}
	o.confirmPlan(rapid.SampledFrom(o.plans).Draw(o.t, "plan"))
}

func (o *operators) confirmPlan(p plan.Plan) *result.Error {
	s := o.store()
	rec, err := s.Confirm(context.Background(), p, "op")
	switch {
	case err == nil:
		if rev, known := o.confirmed[p.ID]; known && rev != rec.Revision {
			o.t.Errorf("%s: got revision %d, want %d as before", p.ID, rec.Revision, rev)
		}
		o.confirmed[p.ID] = rec.Revision
		_ = s.Reclaim(context.Background(), rec)
	case err.Code == result.PlanStale:
		o.refused[p.ID] = true
	case err.Code != result.ConfirmUnknown:
		o.t.Errorf("%s: got %v, want OK, PlanStale or ConfirmUnknown", p.ID, err)
	}
	return err
}

// deliverDelayed performs a delayed write whose answer was lost.
func (o *operators) deliverDelayed() {
	if len(o.kv.delayed) == 0 {
		return
	}
	put := o.kv.delayed[0]
	o.kv.delayed = o.kv.delayed[1:]
	put()
}

// checkHistory applies the accepted plans one after another, as a reference, and
// compares the history and all answers with the result.
func (o *operators) checkHistory() {
	o.kv.enabled = false
	for len(o.kv.delayed) > 0 {
		o.deliverDelayed()
	}
	byID := make(map[plan.ID]plan.Plan)
	for _, p := range o.plans {
		byID[p.ID] = p
	}
	ctx := context.Background()
	s := New(o.kv.port(), func() time.Time { return time.Unix(0, 0) }, Settings{KeepRevisions: keepRevisions})
	o.reclaim(s)
	var doc configuration.Document
	accepted := make(map[plan.ID]ident.Revision)
	for i, e := range o.kv.heads {
		var rec Record
		decode(o.t, e.Value, &rec)
		p, known := byID[rec.Change]
		if !known || p.BaseRevision != doc.Revision || rec.Revision != ident.Revision(i+1) {
			o.t.Fatalf("head %d: got revision %d on base %d, want one accepted plan for each base", i, rec.Revision, p.BaseRevision)
		}
		doc = intent.Merge(doc, p.Intent)
		doc.Revision++
		if got, want := rec.Digest, configuration.Digest(doc); got != want {
			o.t.Fatalf("revision %d: got digest %s, want %s", rec.Revision, got, want)
		}
		accepted[rec.Change] = rec.Revision
		if len(o.kv.heads)-i > keepRevisions {
			continue
		}
		kept, err := s.DocumentAt(ctx, rec.Revision)
		if err != nil || configuration.Digest(kept) != rec.Digest {
			o.t.Fatalf("revision %d: got %v, want its document", rec.Revision, err)
		}
	}
	for id, rev := range o.confirmed {
		if got := accepted[id]; got != rev {
			o.t.Errorf("%s was confirmed as %d: got %d in force", id, rev, got)
		}
	}
	for id := range o.refused {
		if rev, inForce := accepted[id]; inForce {
			o.t.Errorf("%s was refused: got it in force as %d", id, rev)
		}
	}
	o.confirmAgain(accepted)
}

// reclaim runs Reclaim once without faults. Afterwards no records of revisions
// that are not kept may exist.
func (o *operators) reclaim(s *Store) {
	ctx := context.Background()
	head, err := s.Head(ctx)
	if err != nil {
		o.t.Fatal(err)
	}
	if err := s.Reclaim(ctx, head); err != nil {
		o.t.Fatal(err)
	}
	if head.Revision > keepRevisions {
		entries, _ := o.kv.store.List(ctx, s.recordPrefix(head.Revision-keepRevisions))
		if got, want := len(entries), 0; got != want {
			o.t.Errorf("records of revision %d: got %d, want %d", head.Revision-keepRevisions, got, want)
		}
		if _, err := s.DocumentAt(ctx, head.Revision-keepRevisions); err == nil || err.Code != result.NotFound {
			o.t.Errorf("revision %d: got %v, want NotFound", head.Revision-keepRevisions, err)
		}
	}
}

// confirmAgain confirms each plan once more without faults. The answer must agree
// with the history, as far back as revisions are kept.
func (o *operators) confirmAgain(accepted map[plan.ID]ident.Revision) {
	n := len(o.kv.heads)
	for _, p := range o.plans {
		if int(p.BaseRevision) == n {
			continue
		}
		err := o.confirmPlan(p)
		rev, inForce := accepted[p.ID]
		recent := n-int(p.BaseRevision) < keepRevisions
		if inForce && err != nil && (recent || err.Code != result.ConfirmUnknown) {
			o.t.Errorf("%s is revision %d of %d: got %v on confirming again, want OK", p.ID, rev, n, err)
		}
		if !inForce && (err == nil || recent && err.Code != result.PlanStale) {
			o.t.Errorf("%s lost on base %d: got %v on confirming again, want PlanStale", p.ID, p.BaseRevision, err)
		}
	}
	if got := len(o.kv.heads); got != n {
		o.t.Errorf("confirming again: got %d revisions, want %d", got, n)
	}
}

func decode(t *rapid.T, body []byte, rec *Record) {
	if err := json.Unmarshal(body, rec); err != nil {
		t.Fatal(err)
	}
}

// TestRacingOperators requires that for each base at most one plan is accepted,
// and that every answer agrees with the history, while operators race, writes are
// lost or delayed and reads are stale.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faultyStore{t: t, store: standinkeyvalue.New(timer.NewVirtual(time.Unix(0, 0))).Port(), enabled: true}
		o := &operators{t: t, kv: f, confirmed: make(map[plan.ID]ident.Revision), refused: make(map[plan.ID]bool)}
		clock := func() time.Time { return time.Unix(0, 0) }
		for range 3 {
			o.stores = append(o.stores, New(f.port(), clock, Settings{KeepRevisions: keepRevisions, ChunkBytes: 64}))
		}
		f.runOther = o.confirm
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				o.plan()
			case 2, 3:
				o.confirm()
			case 4:
				o.deliverDelayed()
			}
		}
		o.checkHistory()
	})
}

// TestChunkSizes requires that each chunk of a document of the size to design for
// fits into a value of 1 MiB, and that a change of one part changes one chunk.
func TestChunkSizes(t *testing.T) {
	var doc configuration.Document
	for i := range 7100 {
		doc.Upstreams = append(doc.Upstreams, configuration.Upstream{
			Name: ident.Upstream(fmt.Sprintf("engine-%d", i)), Service: "assistant", Address: "10.0.0.1:8000",
			Domain: ident.Domain(fmt.Sprintf("domain-%d", i%13)), Models: []string{"m"},
		})
	}
	for i := range 5500 {
		doc.Workspaces = append(doc.Workspaces, configuration.Workspace{
			Name: ident.Workspace(fmt.Sprintf("workspace-%d", i)), KeyHashes: []string{fmt.Sprintf("%064x", i)},
		})
	}
	before := chunkSet(t, doc)
	bytes, largest := 0, 0
	for chunk := range before {
		bytes += len(chunk)
		largest = max(largest, len(chunk))
	}
	if largest > 1<<20 {
		t.Errorf("got a chunk of %d bytes, want at most %d", largest, 1<<20)
	}
	t.Logf("chunks %d, bytes %d, largest %d", len(before), bytes, largest)
	doc.Workspaces[7].MaxConcurrent = 3
	written := 0
	for chunk := range chunkSet(t, doc) {
		if !before[chunk] {
			written++
		}
	}
	if got, want := written, 1; got != want {
		t.Errorf("chunks that a small change writes: got %d, want %d", got, want)
	}
}

func chunkSet(t *testing.T, doc configuration.Document) map[string]bool {
	chunks, err := splitDocument(doc, defaultChunkBytes)
	if err != nil {
		t.Fatal(err)
	}
	set := make(map[string]bool, len(chunks))
	for _, c := range chunks {
		set[string(c)] = true
	}
	return set
}

// TestWritesPerChange counts the writes that a change of one part causes.
func TestWritesPerChange(t *testing.T) {
	store := standinkeyvalue.New(timer.NewVirtual(time.Unix(0, 0)))
	s := New(store.Port(), func() time.Time { return time.Unix(0, 0) }, Settings{ChunkBytes: 256})
	var base configuration.Document
	for i := range 2 {
		in := intent.Intent{Author: "ama"}
		for n := range []int{20, 1}[i] {
			name := ident.Workspace(fmt.Sprint("w", n))
			in.Set.Workspaces = append(in.Set.Workspaces, configuration.Workspace{Name: name, MaxConcurrent: i})
		}
		p, problems := plan.Make(base, in, plan.Usage{})
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		before := store.Calls()
		if _, err := s.Confirm(context.Background(), p, "ama"); err != nil {
			t.Fatal(err)
		}
		if got, want := store.Calls().Writes-before.Writes, 3; i == 1 && got != want {
			t.Errorf("writes of a small change: got %d, want %d: a chunk, a record, the head", got, want)
		}
		base, _ = s.NewestDocument(context.Background())
	}
}
