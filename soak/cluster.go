package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/keyvalue"
	"crocuslug/loopback"
	"crocuslug/nativewire"
	"crocuslug/settings"
	"crocuslug/store"
	"crocuslug/unit"
)

// Layout and timing of a cluster.
const (
	domainCount               = 3
	enginesPerDomain          = 2
	pieceCount                = 160 // a stream lasts about 6 s without pauses, so that it meets several
	engineService             = ident.Service("engine")
	plainService              = ident.Service("plain")
	host                      = "soak.example"
	apiKey                    = "key-1"
	targetGap                 = 700 * time.Millisecond // of streams, on the users' sites
	grace                     = 16 * time.Second       // of instances; a stream that meets pauses ends within it
	startTimeout              = 10 * time.Second
	secretVariable            = "CROCUSLUG_PEER_SECRET"
	configurationDelay        = 3 * time.Second // until a change is in force at an instance that reaches the store
	configurationDelayByPeers = 6 * time.Second // until it is in force at an instance that learns of it only from peers
)

// upstream is an engine or a plain service behind a proxy.
type upstream struct {
	*process
	proxy *proxy
}

// buildFlag is the flag of engines that names their build.
const buildFlag = "--build"

// build returns the build that an engine was last started with, or "" for a plain service.
func (u *upstream) build() ident.Build { return ident.Build(u.argOf(buildFlag)) }

// instance is an edge process that reaches the store through its own proxy.
type instance struct {
	*process
	listen, ready string
	store         *proxy
}

// cluster is the set of all processes of a run.
type cluster struct {
	reserved     []*loopback.Address // of programs, also of those that are down
	clock        clock
	former       string // Settings.Former
	dir          string
	recorder     *recorder
	storeProcess *process
	storeAddress string
	client       *keyvalue.Client
	store        store.Store
	upstreams    []*upstream
	instances    []*instance
	document     directory.Document
	revision     store.Version
}

// reserveAddress returns a loopback address that nobody else gets until stop.
func (cl *cluster) reserveAddress() (string, error) {
	a, err := loopback.Reserve()
	if err != nil {
		return "", err
	}
	cl.reserved = append(cl.reserved, a)
	return a.String(), nil
}

// newProxy returns a proxy at a reserved address.
func (cl *cluster) newProxy(target string) (*proxy, error) {
	addr, err := cl.reserveAddress()
	if err != nil {
		return nil, err
	}
	return newProxy(cl.clock, addr, target)
}

// newCluster starts all programs from directory bin and waits until they serve.
func newCluster(ctx context.Context, c clock, bin, former, dir string) (*cluster, error) {
	cl := &cluster{clock: c, former: former, dir: dir}
	var err error
	if cl.recorder, err = newRecorder(c); err != nil {
		return nil, err
	}
	storeAddr, err := cl.reserveAddress()
	if err != nil {
		return cl, err
	}
	cl.storeAddress = storeAddr
	cl.storeProcess, err = newProcess(c, dir, "store", []string{filepath.Join(bin, "standin")}, nil, "--listen", storeAddr, "keyvalue")
	if err != nil {
		return cl, err
	}
	if err := cl.storeProcess.start(); err != nil {
		return cl, err
	}
	cl.client = keyvalue.New(keyvalue.Settings{Address: storeAddr}, c.Service)
	cl.store = cl.client.Store()
	if err := cl.writeFirstConfiguration(ctx); err != nil {
		return cl, err
	}
	for d := range domainCount {
		for n := range enginesPerDomain + 1 {
			if err := cl.addUpstream(bin, storeAddr, d, n); err != nil {
				return cl, err
			}
		}
	}
	if err := cl.addInstances(bin, storeAddr); err != nil {
		return cl, err
	}
	return cl, cl.awaitReady(ctx)
}

// writeFirstConfiguration writes the initial configuration. It retries while the store starts.
func (cl *cluster) writeFirstConfiguration(ctx context.Context) error {
	route := func(prefix string, kind directory.Kind, s ident.Service, attempts int) directory.Route {
		return directory.Route{
			Name: prefix, Host: host, Prefix: prefix, Kind: kind, Timeout: streamTimeout, TargetGap: targetGap,
			Services: []directory.Share{{Service: s, Weight: 1}}, MaxAttempts: attempts, Resumable: true,
		}
	}
	cl.document = directory.Document{
		Version: 1,
		Routes: []directory.Route{
			route("/stream/", directory.Streaming, engineService, 5),
			route("/unsafe/", directory.Unsafe, plainService, 1),
			route("/safe/", directory.Safe, plainService, 3),
		},
		Services:   []directory.Service{{Name: engineService, Memory: 100000, Backups: true}, {Name: plainService}},
		Limits:     directory.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Workspaces: []directory.Workspace{{Name: "w", Keys: []string{apiKey}}},
	}
	deadline := cl.clock.Now().Add(startTimeout)
	for {
		err := cl.writeConfiguration(ctx)
		if err == nil || cl.clock.Now().After(deadline) {
			return err
		}
		cl.clock.sleep(shortDelay)
	}
}

func (cl *cluster) writeConfiguration(ctx context.Context) error {
	b, err := json.Marshal(cl.document)
	if err != nil {
		return err
	}
	v, err := cl.store.Put(ctx, nativewire.ConfigurationKey, b, cl.revision, 0)
	if err == nil {
		cl.revision = v
	}
	return err
}

func (cl *cluster) addUpstream(bin, storeAddr string, domain, n int) error {
	addr, err := cl.reserveAddress()
	if err != nil {
		return err
	}
	p, err := cl.newProxy(addr)
	if err != nil {
		return err
	}
	args := []string{
		"--listen", addr, "registered", "--public", p.addr(), "--store", storeAddr, "--recorder", cl.recorder.addr(),
		"--domain", fmt.Sprint("d", domain), "--drain", "3s",
	}
	name := fmt.Sprintf("engine-%d-%d", domain, n)
	if n < enginesPerDomain {
		args = append(args, "--service", string(engineService), "--pieces", fmt.Sprint(pieceCount), "--interval", "30ms", "--prefill", "800ms", buildFlag, string(firstBuild))
	} else {
		name = fmt.Sprintf("plain-%d", domain)
		args = append(args, "--service", string(plainService), "--prefill", "40ms", "--crash-body", crashBody)
	}
	proc, err := newProcess(cl.clock, cl.dir, name, []string{filepath.Join(bin, "standin")}, nil, args...)
	if err != nil {
		return err
	}
	cl.upstreams = append(cl.upstreams, &upstream{proc, p})
	return proc.start()
}

func (cl *cluster) addInstances(bin, storeAddr string) error {
	var cfgs []settings.Edge
	for d := range domainCount {
		var addrs [3]string
		for i := range addrs {
			a, err := cl.reserveAddress()
			if err != nil {
				return err
			}
			addrs[i] = a
		}
		p, err := cl.newProxy(storeAddr)
		if err != nil {
			return err
		}
		cfgs = append(cfgs, settings.Edge{
			Name: fmt.Sprint("edge-", d), Domain: ident.Domain(fmt.Sprint("d", d)), Listen: addrs[0], ReadyListen: addrs[1],
			PeerListen: addrs[2], StoreAddress: p.addr(), RetryShare: 0.8, RetrySlack: 400, Grace: unit.Duration(grace),
		})
		cl.instances = append(cl.instances, &instance{listen: addrs[0], ready: addrs[1], store: p})
	}
	for i, cfg := range cfgs {
		cfg.Seeds = []string{cfgs[(i+1)%domainCount].PeerListen}
		b, err := json.Marshal(cfg)
		if err != nil {
			return err
		}
		file := filepath.Join(cl.dir, cfg.Name+".json")
		if err := os.WriteFile(file, b, 0o600); err != nil {
			return err
		}
		proc, err := newProcess(cl.clock, cl.dir, cfg.Name, cl.programs(bin, i), []string{secretVariable + "=soak"}, "edge", "--settings", file)
		if err != nil {
			return err
		}
		cl.instances[i].process = proc
		if err := proc.start(); err != nil {
			return err
		}
	}
	return nil
}

// programs returns the programs that the starts of the instance with an index use by turns. With a former
// program, the instances begin with different ones, and each restart replaces one by the other.
func (cl *cluster) programs(bin string, index int) []string {
	program := filepath.Join(bin, "crocuslug")
	switch {
	case cl.former == "":
		return []string{program}
	case index%2 == 0:
		return []string{cl.former, program}
	}
	return []string{program, cl.former}
}

// isReady asks an instance for its readiness, as a load balancer does.
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

// awaitReady waits until all instances are ready and all upstreams have registered.
func (cl *cluster) awaitReady(ctx context.Context) error {
	deadline := cl.clock.Now().Add(startTimeout)
	for cl.clock.Now().Before(deadline) {
		ready := 0
		for _, in := range cl.instances {
			if in.isReady() {
				ready++
			}
		}
		entries, err := cl.store.List(ctx, nativewire.UpstreamsPrefix)
		if err == nil && ready == len(cl.instances) && len(entries) == len(cl.upstreams) {
			cl.clock.sleep(time.Second) // until the instances' watches have delivered the last registrations
			return nil
		}
		cl.clock.sleep(shortDelay)
	}
	return fmt.Errorf("cluster is not ready after %v; logs in %s", startTimeout, cl.dir)
}

func (cl *cluster) stop() {
	for _, in := range cl.instances {
		if in.process != nil {
			in.stop()
		}
		in.store.close()
	}
	for _, u := range cl.upstreams {
		u.stop()
		u.proxy.close()
	}
	if cl.storeProcess != nil {
		cl.storeProcess.stop()
	}
	if cl.client != nil {
		cl.client.Close()
	}
	cl.recorder.close()
	for _, a := range cl.reserved {
		a.Release()
	}
}
