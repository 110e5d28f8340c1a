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

const keep = 2

// faulty is a store that misbehaves as the draws say, and keeps all heads that
// were ever written. Before any call another operator may run.
type faulty struct {
	t       *rapid.T
	store   store.Store
	on      bool
	depth   int
	between func()
	heads   []store.Entry
	delayed []func()
}

func (f *faulty) draw(n int, what string) int {
	if !f.on {
		return n
	}
	return rapid.IntRange(0, n).Draw(f.t, what)
}

func (f *faulty) interleave() {
	const maxDepth = 2
	if f.depth >= maxDepth || f.draw(8, "other") != 0 {
		return
	}
	f.depth++
	f.between()
	f.depth--
}

func (f *faulty) port() store.Store {
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

// operators race over one faulty store.
type operators struct {
	t       *rapid.T
	f       *faulty
	ledgers []*Ledger
	plans   []plan.Plan
	ok      map[plan.ID]ident.Revision
	refused map[plan.ID]bool
}

func (o *operators) ledger() *Ledger {
	return rapid.SampledFrom(o.ledgers).Draw(o.t, "ledger")
}

// plan makes a plan on the newest document as the operator reads it.
func (o *operators) plan() {
	base, err := o.ledger().Newest(context.Background())
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
	o.confirmOne(rapid.SampledFrom(o.plans).Draw(o.t, "plan"))
}

func (o *operators) confirmOne(p plan.Plan) *result.Error {
	l := o.ledger()
	rec, err := l.Confirm(context.Background(), p, "op")
	switch {
	case err == nil:
		if rev, known := o.ok[p.ID]; known && rev != rec.Revision {
			o.t.Errorf("%s: got revision %d, want %d as before", p.ID, rec.Revision, rev)
		}
		o.ok[p.ID] = rec.Revision
		_ = l.Reclaim(context.Background(), rec)
	case err.Code == result.PlanStale:
		o.refused[p.ID] = true
	case err.Code != result.ConfirmUnknown:
		o.t.Errorf("%s: got %v, want OK, PlanStale or ConfirmUnknown", p.ID, err)
	}
	return err
}

// late has a write whose answer was lost take effect at last.
func (o *operators) late() {
	if len(o.f.delayed) == 0 {
		return
	}
	put := o.f.delayed[0]
	o.f.delayed = o.f.delayed[1:]
	put()
}

// check folds the accepted plans one after another, which is the naive version,
// and holds the ledger and all answers against it.
func (o *operators) check() {
	o.f.on = false
	for len(o.f.delayed) > 0 {
		o.late()
	}
	byID := make(map[plan.ID]plan.Plan)
	for _, p := range o.plans {
		byID[p.ID] = p
	}
	ctx := context.Background()
	l := New(o.f.port(), func() time.Time { return time.Unix(0, 0) }, Settings{Keep: keep})
	o.reclaim(l)
	var doc configuration.Document
	accepted := make(map[plan.ID]ident.Revision)
	for i, e := range o.f.heads {
		var rec Record
		decode(o.t, e.Value, &rec)
		p, known := byID[rec.Change]
		if !known || p.BaseRevision != doc.Revision || rec.Revision != ident.Revision(i+1) {
			o.t.Fatalf("head %d: got revision %d on base %d, want one winner for each base", i, rec.Revision, p.BaseRevision)
		}
		doc = intent.Merge(doc, p.Intent)
		doc.Revision++
		if got, want := rec.Digest, configuration.Digest(doc); got != want {
			o.t.Fatalf("revision %d: got digest %s, want %s", rec.Revision, got, want)
		}
		accepted[rec.Change] = rec.Revision
		if len(o.f.heads)-i > keep {
			continue
		}
		kept, err := l.At(ctx, rec.Revision)
		if err != nil || configuration.Digest(kept) != rec.Digest {
			o.t.Fatalf("revision %d: got %v, want its document", rec.Revision, err)
		}
	}
	for id, rev := range o.ok {
		if got := accepted[id]; got != rev {
			o.t.Errorf("%s was confirmed as %d: got %d in force", id, rev, got)
		}
	}
	for id := range o.refused {
		if rev, took := accepted[id]; took {
			o.t.Errorf("%s was refused: got it in force as %d", id, rev)
		}
	}
	o.checkAgain(accepted)
}

// reclaim runs once on the healthy store, after which nothing may be left of
// revisions that are not kept, but for chunks that kept ones inherit.
func (o *operators) reclaim(l *Ledger) {
	ctx := context.Background()
	head, err := l.Head(ctx)
	if err != nil {
		o.t.Fatal(err)
	}
	if err := l.Reclaim(ctx, head); err != nil {
		o.t.Fatal(err)
	}
	if head.Revision > keep {
		entries, _ := o.f.store.List(ctx, l.recordPrefix(head.Revision-keep))
		if got, want := len(entries), 0; got != want {
			o.t.Errorf("records of revision %d: got %d, want %d", head.Revision-keep, got, want)
		}
		if _, err := l.At(ctx, head.Revision-keep); err == nil || err.Code != result.NotFound {
			o.t.Errorf("revision %d: got %v, want NotFound", head.Revision-keep, err)
		}
	}
}

// checkAgain confirms each plan once more on a healthy store: the answer must
// be what the history says, as far as it reaches.
func (o *operators) checkAgain(accepted map[plan.ID]ident.Revision) {
	n := len(o.f.heads)
	for _, p := range o.plans {
		if int(p.BaseRevision) == n {
			continue
		}
		err := o.confirmOne(p)
		rev, took := accepted[p.ID]
		recent := n-int(p.BaseRevision) < keep
		if took && err != nil && (recent || err.Code != result.ConfirmUnknown) {
			o.t.Errorf("%s is revision %d of %d: got %v on confirming again, want OK", p.ID, rev, n, err)
		}
		if !took && (err == nil || recent && err.Code != result.PlanStale) {
			o.t.Errorf("%s lost on base %d: got %v on confirming again, want PlanStale", p.ID, p.BaseRevision, err)
		}
	}
	if got := len(o.f.heads); got != n {
		o.t.Errorf("confirming again: got %d revisions, want %d", got, n)
	}
}

func decode(t *rapid.T, body []byte, rec *Record) {
	if err := json.Unmarshal(body, rec); err != nil {
		t.Fatal(err)
	}
}

func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faulty{t: t, store: standinkeyvalue.New(timer.NewVirtual(time.Unix(0, 0))).Port(), on: true}
		o := &operators{t: t, f: f, ok: make(map[plan.ID]ident.Revision), refused: make(map[plan.ID]bool)}
		clock := func() time.Time { return time.Unix(0, 0) }
		for range 3 {
			o.ledgers = append(o.ledgers, New(f.port(), clock, Settings{Keep: keep, ChunkBytes: 64}))
		}
		f.between = o.confirm
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				o.plan()
			case 2, 3:
				o.confirm()
			case 4:
				o.late()
			}
		}
		o.check()
	})
}

// TestSizeOfValues holds the chunks of a document of the size to design for
// against the bound of a value, and a change of one part against one chunk.
func TestSizeOfValues(t *testing.T) {
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
	before := splitForTest(t, doc)
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
	for chunk := range splitForTest(t, doc) {
		if !before[chunk] {
			written++
		}
	}
	if got, want := written, 1; got != want {
		t.Errorf("chunks that a small change writes: got %d, want %d", got, want)
	}
}

func splitForTest(t *testing.T, doc configuration.Document) map[string]bool {
	chunks, err := split(doc, defaultChunkBytes)
	if err != nil {
		t.Fatal(err)
	}
	set := make(map[string]bool, len(chunks))
	for _, c := range chunks {
		set[string(c)] = true
	}
	return set
}

// TestWritesOfChange counts what a change of one part costs the service.
func TestWritesOfChange(t *testing.T) {
	store := standinkeyvalue.New(timer.NewVirtual(time.Unix(0, 0)))
	l := New(store.Port(), func() time.Time { return time.Unix(0, 0) }, Settings{ChunkBytes: 256})
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
		if _, err := l.Confirm(context.Background(), p, "ama"); err != nil {
			t.Fatal(err)
		}
		if got, want := store.Calls().Writes-before.Writes, 3; i == 1 && got != want {
			t.Errorf("writes of a small change: got %d, want %d: a chunk, a record, the head", got, want)
		}
		base, _ = l.Newest(context.Background())
	}
}
