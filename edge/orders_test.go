package edge

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"crocuslug/canary"
	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/settings"
	"crocuslug/standinkeyvalue"
	"crocuslug/store"
	"crocuslug/timer"
)

// Keys of the entries of these tests. The value of an order is a build, that of a status "STATE BUILD".
const (
	orderKey  = "orders/s"
	statusKey = "statuses/s"
)

func deliveryPorts() Ports {
	return Ports{
		UpstreamsPrefix: "u/", OrdersPrefix: "orders/", StatusesPrefix: "statuses/",
		DecodeUpstream: func(e store.Entry) (directory.Upstream, error) {
			id := strings.TrimPrefix(e.Key, "u/")
			return directory.Upstream{ID: ident.Upstream(id), Service: "s", Address: fmt.Sprint("127.0.0.1:", id[0]), Domain: "a", Build: ident.Build(e.Value), Slots: 1, Revision: e.Version}, nil
		},
		DecodeOrder: func(e store.Entry) (canary.Order, error) {
			if len(e.Value) == 0 {
				return canary.Order{}, errs.New("no build")
			}
			return canary.Order{Service: "s", To: ident.Build(e.Value), FinishBy: time.Minute, Version: e.Version}, nil
		},
		DecodeStatus: func(e store.Entry) (canary.Status, error) {
			state, to, ok := strings.Cut(string(e.Value), " ")
			if !ok {
				return canary.Status{}, errs.New("no state")
			}
			return canary.Status{Service: "s", State: canary.State(state), To: ident.Build(to), Version: e.Version}, nil
		},
		EncodeStatus: func(s canary.Status) ([]byte, error) { return []byte(string(s.State) + " " + string(s.To)), nil },
	}
}

// delivering is an instance whose tracker only records what it is told.
type delivering struct {
	*Edge
	log bytes.Buffer

	mu     sync.Mutex
	events []string
	writes []canary.Status // due until a status is known
}

func newDelivering(t *testing.T, listen string, kv *standinkeyvalue.Store, clock *timer.Service) *delivering {
	t.Helper()
	d := &delivering{}
	cfg := settings.Edge{Name: listen, Domain: "a", PeerListen: listen, Delivery: settings.Delivery{Share: 0.1}}
	d.Edge = New(cfg, deliveryPorts(), []byte("s"), clock, zerolog.New(zerolog.SyncWriter(&d.log)))
	t.Cleanup(d.exchange.Close)
	d.store = kv.Port()
	decisions := &d.deliveries.deliveryDecisions
	decisions.setOrder = func(o canary.Order, _ time.Time) { d.record(fmt.Sprint("order ", o.To)) }
	decisions.removeOrder = func(ident.Service, time.Time) { d.record("withdrawn") }
	decisions.setStatus = func(s canary.Status, _ time.Time) {
		d.record(strings.TrimSpace(fmt.Sprint("status ", s.State, " ", s.To)))
		if s.State != "" {
			d.due()
		}
	}
	decisions.writes = func(time.Time, func(ident.Service, ident.Build) int) []canary.Status {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.writes
	}
	if err := d.link.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.link.Stop)
	return d
}

func (d *delivering) record(event string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, event)
}

// due sets the statuses to be written.
func (d *delivering) due(list ...canary.Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes = list
}

// take returns the events since the last call.
func (d *delivering) take() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := strings.Join(d.events, ", ")
	d.events = nil
	return out
}

func newDeliveryClock(t *testing.T) *timer.Service {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	return clock
}

// put writes an entry whatever its version is.
func put(t *testing.T, kv *standinkeyvalue.Store, key, value string) {
	t.Helper()
	before, err := kv.Get(t.Context(), key)
	if err != nil && !store.Absent.Has(err) {
		t.Fatal(err)
	}
	if _, err := kv.Put(t.Context(), key, []byte(value), before.Version, 0); err != nil {
		t.Fatal(err)
	}
}

// TestOrdersReachInstances guards against orders, statuses and removals that an instance which watches the store, one
// that follows its peers, or one that reads all entries later does not learn, and against odd entries that are taken
// for orders.
func TestOrdersReachInstances(t *testing.T) {
	clock := newDeliveryClock(t)
	kv := standinkeyvalue.New(clock)
	put(t, kv, "u/x", "v1")
	watcher, follower := newDelivering(t, "127.0.0.1:0", kv, clock), newDelivering(t, "127.0.0.2:0", kv, clock)
	follower.link.SetAddress(watcher.self, watcher.link.Addr())
	if err := watcher.scan(); err != nil {
		t.Fatal(err)
	}
	follower.catchUp(watcher.self)
	steps := []struct {
		name   string
		change func()
		want   string
		later  string // what a scan finds that is the first to see the store
	}{
		{"order", func() { put(t, kv, orderKey, "v2") }, "order v2", "order v2"},
		{"status", func() { put(t, kv, statusKey, "Running v2") }, "status Running v2", "order v2, status Running v2"},
		{"odd order", func() { put(t, kv, orderKey, "") }, "withdrawn", "status Running v2"},
		{"changed order", func() { put(t, kv, orderKey, "v3") }, "order v3", "order v3, status Running v2"},
		{"withdrawn", func() {
			e, err := kv.Get(t.Context(), orderKey)
			if err == nil {
				err = kv.Delete(t.Context(), orderKey, e.Version)
			}
			if err != nil {
				t.Fatal(err)
			}
		}, "withdrawn", "status Running v2"},
	}
	for n, step := range steps {
		step.change()
		if err := watcher.watchChanges(); err != nil {
			t.Fatal(err)
		}
		follower.catchUp(watcher.self)
		if got := watcher.take(); got != step.want {
			t.Errorf("%s: watching instance: got %q, want %q", step.name, got, step.want)
		}
		if got := follower.take(); got != step.want {
			t.Errorf("%s: following instance: got %q, want %q", step.name, got, step.want)
		}
		later := newDelivering(t, fmt.Sprintf("127.0.0.%d:0", n+3), kv, clock)
		if err := later.scan(); err != nil {
			t.Fatal(err)
		}
		if got := later.take(); got != step.later {
			t.Errorf("%s: instance that scans: got %q, want %q", step.name, got, step.later)
		}
		if err := watcher.scan(); err != nil {
			t.Fatal(err)
		}
		if got := watcher.take(); got != "" {
			t.Errorf("%s: scan after the watch: got %q, want nothing", step.name, got)
		}
	}
}

// TestOrderBeforeUpstreams guards against a second build that can be chosen before its order is known.
func TestOrderBeforeUpstreams(t *testing.T) {
	clock := newDeliveryClock(t)
	kv := standinkeyvalue.New(clock)
	put(t, kv, "u/x", "v1")
	d := newDelivering(t, "127.0.0.1:0", kv, clock)
	follower := newDelivering(t, "127.0.0.2:0", kv, clock)
	follower.link.SetAddress(d.self, d.link.Addr())
	for _, e := range []*delivering{d, follower} {
		e.deliveries.setOrder = func(o canary.Order, _ time.Time) {
			e.record(fmt.Sprint("order ", o.To, " with v2 in use: ", e.fleet.HasBuildBesides("s", "v1")))
		}
	}
	if err := d.scan(); err != nil {
		t.Fatal(err)
	}
	follower.catchUp(d.self)
	put(t, kv, orderKey, "v2")
	put(t, kv, "u/y", "v2")
	if err := d.watchChanges(); err != nil {
		t.Fatal(err)
	}
	follower.catchUp(d.self)
	later := newDelivering(t, "127.0.0.3:0", kv, clock)
	later.deliveries.setOrder = func(o canary.Order, _ time.Time) {
		later.record(fmt.Sprint("order ", o.To, " with v2 in use: ", later.fleet.HasBuildBesides("s", "v1") || len(later.registry.All()) > 0))
	}
	if err := later.scan(); err != nil {
		t.Fatal(err)
	}
	for name, e := range map[string]*delivering{"watch": d, "peer": follower, "scan": later} {
		if got, want := e.take(), "order v2 with v2 in use: false"; got != want || !e.fleet.HasBuildBesides("s", "v1") {
			t.Errorf("%s: got %q, v2 in use afterwards %t, want %q, true", name, got, e.fleet.HasBuildBesides("s", "v1"), want)
		}
	}
}

// TestStatusWrittenOnce guards against a status that two instances write, against several writes of one instance at the
// same time, and against an instance that does not learn what another one has written.
func TestStatusWrittenOnce(t *testing.T) {
	clock := newDeliveryClock(t)
	kv := standinkeyvalue.New(clock)
	var instances []*delivering
	release := make(chan struct{})
	var mu sync.Mutex
	puts := make(map[*delivering]int)
	for n := range 2 {
		d := newDelivering(t, fmt.Sprintf("127.0.0.%d:0", n+1), kv, clock)
		write := d.store.Put
		d.store.Put = func(ctx context.Context, key string, value []byte, expect store.Version, lease store.Lease) (store.Version, error) {
			mu.Lock()
			puts[d]++
			mu.Unlock()
			<-release
			return write(ctx, key, value, expect, lease)
		}
		d.due(canary.Status{Service: "s", To: "v2", State: canary.Running})
		instances = append(instances, d)
	}
	for range 5 {
		for _, d := range instances {
			d.tickDeliveries(clock.Now())
		}
	}
	close(release)
	for _, d := range instances {
		d.tasks.Wait()
	}
	for n, d := range instances {
		if puts[d] != 1 {
			t.Errorf("instance %d: got %d writes, want 1", n, puts[d])
		}
		if got, want := d.take(), "status Running v2"; got != want {
			t.Errorf("instance %d: got %q, want %q", n, got, want)
		}
	}
	e, err := kv.Get(t.Context(), statusKey)
	if err != nil || string(e.Value) != "Running v2" || instances[0].deliveries.known[statusKey].Version != e.Version {
		t.Errorf("entry: got %q, %v at version %d, want it at the version known", e.Value, err, e.Version)
	}
}

// TestFormerBuildsEnd guards against requests to former builds once the delivery is known to be done, and against a
// later build that is left out because of it.
func TestFormerBuildsEnd(t *testing.T) {
	clock := newDeliveryClock(t)
	kv := standinkeyvalue.New(clock)
	d := newDelivering(t, "127.0.0.1:0", kv, clock)
	ended := func() string {
		to, ok := d.deliveryEnded("s")
		return fmt.Sprint(to, " ", ok)
	}
	var got []string
	for _, change := range []func(){
		func() { put(t, kv, orderKey, "v2") },
		func() { put(t, kv, "u/x", "v1") },
		func() { put(t, kv, "u/y", "v2") },
		func() { put(t, kv, statusKey, "Done v2") },
		func() { put(t, kv, orderKey, "v3") },
		func() { put(t, kv, orderKey, "v2") },
		func() { put(t, kv, "u/z", "v3") },
		func() { put(t, kv, "u/x", "v2") },
	} {
		change()
		if err := d.scan(); err != nil {
			t.Fatal(err)
		}
		got = append(got, ended())
	}
	want := []string{" false", " false", " false", "v2 true", " false", "v2 true", "v2 true", "v2 false"}
	if !slices.Equal(got, want) {
		t.Errorf("build that new work is limited to: got %q, want %q", got, want)
	}
}

// TestStatusWrittenAfterOutage guards against a status that is not written once the store answers again, and against a
// line of the log for each try while it does not.
func TestStatusWrittenAfterOutage(t *testing.T) {
	clock := newDeliveryClock(t)
	kv := standinkeyvalue.New(clock)
	d := newDelivering(t, "127.0.0.1:0", kv, clock)
	write, away := d.store.Put, true
	d.store.Put = func(ctx context.Context, key string, value []byte, expect store.Version, lease store.Lease) (store.Version, error) {
		if away {
			return 0, store.Unavailable.New("no answer")
		}
		return write(ctx, key, value, expect, lease)
	}
	d.due(canary.Status{Service: "s", To: "v2", State: canary.RolledBack})
	for n := range 6 {
		away = n < 5
		d.tickDeliveries(clock.Now())
		d.tasks.Wait()
	}
	if got, want := d.take(), "status RolledBack v2"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := strings.Count(d.log.String(), "status of delivery written"); got != 2 {
		t.Errorf("lines of the log: got %d, want one of the failures and one of the success; log:\n%s", got, &d.log)
	}
}
