package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/keyvalue"
	"crocuslug/nativewire"
	"crocuslug/settings"
	"crocuslug/store"
)

// Shape of a world.
const (
	domains          = 3
	enginesEach      = 2
	pieceCount       = 120
	engineService    = ident.Service("engine")
	plainService     = ident.Service("plain")
	host             = "soak.example"
	apiKey           = "key-1"
	startLimit       = 10 * time.Second
	secretVariable   = "CROCUSLUG_PEER_SECRET"
	configurationAt  = 3 * time.Second // by then a configuration is in force where the store is in reach
	configurationFar = 6 * time.Second // and where only peers tell of it
)

// upstream is an engine or a plain service behind a proxy.
type upstream struct {
	*process
	proxy *proxy
}

// instance is an edge with its own way to the store.
type instance struct {
	*process
	listen, ready string
	store         *proxy
}

// world is all processes of a run.
type world struct {
	given     map[string]bool // addresses, to programs that may not listen yet
	clock     clock
	dir       string
	recorder  *recorder
	storeProc *process
	client    *keyvalue.Client
	port      store.Store
	upstreams []*upstream
	instances []*instance
	doc       directory.Document
	revision  store.Version
}

// Ports that programs get, below those that the kernel gives to connections: a
// program needs its port again at each start.
const (
	leastPort = 12000
	mostPort  = 30000
	portTries = 100
)

// freePort returns an address that is free now and was not given before.
func (w *world) freePort() (string, error) {
	var err error
	for range portTries {
		addr := fmt.Sprintf("127.0.0.1:%d", leastPort+rand.IntN(mostPort-leastPort))
		if w.given[addr] {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp", addr); err == nil {
			w.given[addr] = true
			return addr, l.Close()
		}
	}
	return "", err
}

// newWorld starts all programs, which are in bin, and waits until they serve.
func newWorld(ctx context.Context, c clock, bin, dir string) (*world, error) {
	w := &world{given: make(map[string]bool), clock: c, dir: dir}
	var err error
	if w.recorder, err = newRecorder(); err != nil {
		return nil, err
	}
	storeAddr, err := w.freePort()
	if err != nil {
		return w, err
	}
	w.storeProc, err = newProcess(c, dir, "store", filepath.Join(bin, "standin"), nil, "--listen", storeAddr, "keyvalue")
	if err != nil {
		return w, err
	}
	if err := w.storeProc.start(); err != nil {
		return w, err
	}
	w.client = keyvalue.New(keyvalue.Settings{Address: storeAddr}, c.Service)
	w.port = w.client.Store()
	if err := w.firstConfiguration(ctx); err != nil {
		return w, err
	}
	for d := range domains {
		for n := range enginesEach + 1 {
			if err := w.addUpstream(bin, storeAddr, d, n); err != nil {
				return w, err
			}
		}
	}
	if err := w.addInstances(bin, storeAddr); err != nil {
		return w, err
	}
	return w, w.await(ctx)
}

// firstConfiguration writes the routes. The store may need a moment to start.
func (w *world) firstConfiguration(ctx context.Context) error {
	route := func(prefix string, kind directory.Kind, s ident.Service, attempts int) directory.Route {
		return directory.Route{
			Name: prefix, Host: host, Prefix: prefix, Kind: kind, Timeout: 15 * time.Second, TargetGap: time.Second,
			Services: []directory.Share{{Service: s, Weight: 1}}, MaxAttempts: attempts, Resumable: true,
		}
	}
	w.doc = directory.Document{
		Version: 1,
		Routes: []directory.Route{
			route("/stream/", directory.Streaming, engineService, 6),
			route("/unsafe/", directory.Unsafe, plainService, 1),
			route("/safe/", directory.Safe, plainService, 3),
		},
		Services:   []directory.Service{{Name: engineService, Memory: 100000, Backups: true}, {Name: plainService}},
		Limits:     directory.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Workspaces: []directory.Workspace{{Name: "w", Keys: []string{apiKey}}},
	}
	deadline := w.clock.Now().Add(startLimit)
	for {
		err := w.writeConfiguration(ctx)
		if err == nil || w.clock.Now().After(deadline) {
			return err
		}
		w.clock.sleep(slowBy)
	}
}

func (w *world) writeConfiguration(ctx context.Context) error {
	b, err := json.Marshal(w.doc)
	if err != nil {
		return err
	}
	v, err := w.port.Put(ctx, nativewire.ConfigurationKey, b, w.revision, 0)
	if err == nil {
		w.revision = v
	}
	return err
}

func (w *world) addUpstream(bin, storeAddr string, domain, n int) error {
	addr, err := w.freePort()
	if err != nil {
		return err
	}
	p, err := newProxy(w.clock, addr)
	if err != nil {
		return err
	}
	args := []string{
		"--listen", addr, "registered", "--public", p.addr(), "--store", storeAddr, "--recorder", w.recorder.addr(),
		"--domain", fmt.Sprint("d", domain), "--drain", "3s",
	}
	name := fmt.Sprintf("engine-%d-%d", domain, n)
	if n < enginesEach {
		args = append(args, "--service", string(engineService), "--pieces", fmt.Sprint(pieceCount), "--interval", "30ms")
	} else {
		name = fmt.Sprintf("plain-%d", domain)
		args = append(args, "--service", string(plainService), "--prefill", "40ms")
	}
	proc, err := newProcess(w.clock, w.dir, name, filepath.Join(bin, "standin"), nil, args...)
	if err != nil {
		return err
	}
	w.upstreams = append(w.upstreams, &upstream{proc, p})
	return proc.start()
}

func (w *world) addInstances(bin, storeAddr string) error {
	var cfgs []settings.Edge
	for d := range domains {
		var addrs [3]string
		for i := range addrs {
			a, err := w.freePort()
			if err != nil {
				return err
			}
			addrs[i] = a
		}
		p, err := newProxy(w.clock, storeAddr)
		if err != nil {
			return err
		}
		cfgs = append(cfgs, settings.Edge{
			Name: fmt.Sprint("edge-", d), Domain: ident.Domain(fmt.Sprint("d", d)), Listen: addrs[0], ReadyListen: addrs[1],
			PeerListen: addrs[2], StoreAddress: p.addr(), RetryShare: 0.8, RetrySlack: 400,
		})
		w.instances = append(w.instances, &instance{listen: addrs[0], ready: addrs[1], store: p})
	}
	for i, cfg := range cfgs {
		cfg.Seeds = []string{cfgs[(i+1)%domains].PeerListen}
		b, err := json.Marshal(cfg)
		if err != nil {
			return err
		}
		file := filepath.Join(w.dir, cfg.Name+".json")
		if err := os.WriteFile(file, b, 0o600); err != nil {
			return err
		}
		proc, err := newProcess(w.clock, w.dir, cfg.Name, filepath.Join(bin, "crocuslug"), []string{secretVariable + "=soak"}, "edge", "--settings", file)
		if err != nil {
			return err
		}
		w.instances[i].process = proc
		if err := proc.start(); err != nil {
			return err
		}
	}
	return nil
}

// isReady asks an instance as a balancer does.
func (in *instance) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	defer c.CloseIdleConnections()
	res, err := c.Get("http://" + in.ready + nativewire.ReadinessPath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// await waits until all instances are ready and upstreams have registered.
func (w *world) await(ctx context.Context) error {
	deadline := w.clock.Now().Add(startLimit)
	for w.clock.Now().Before(deadline) {
		ready := 0
		for _, in := range w.instances {
			if in.isReady() {
				ready++
			}
		}
		entries, err := w.port.List(ctx, nativewire.UpstreamsPrefix)
		if err == nil && ready == len(w.instances) && len(entries) == len(w.upstreams) {
			w.clock.sleep(time.Second) // until the watches have brought the last ones
			return nil
		}
		w.clock.sleep(slowBy)
	}
	return fmt.Errorf("the world is not ready after %v; logs in %s", startLimit, w.dir)
}

func (w *world) stop() {
	for _, in := range w.instances {
		if in.process != nil {
			in.stop()
		}
		in.store.close()
	}
	for _, u := range w.upstreams {
		u.stop()
		u.proxy.close()
	}
	if w.storeProc != nil {
		w.storeProc.stop()
	}
	if w.client != nil {
		w.client.Close()
	}
	w.recorder.close()
}
