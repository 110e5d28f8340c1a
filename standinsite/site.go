// Package standinsite runs a small deployment in one process over loopback.
//
// It starts stand-ins for engines and entry instances of the system, so that the
// demo, the measure command and tests of the whole path have something to kill,
// freeze and cut. It is no simulator: all parts are the real ones.
package standinsite

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/trace"

	"crocuslug/access"
	"crocuslug/caller"
	"crocuslug/configuration"
	"crocuslug/daemon"
	"crocuslug/ident"
	"crocuslug/loopback"
	"crocuslug/settings"
	"crocuslug/standinengine"
	"crocuslug/standinkeyvalue"
	"crocuslug/standinservice"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Settings describe a site. Zero values mean the defaults.
type Settings struct {
	Domains   []ident.Domain // one "accra" if empty
	Instances int            // entry instances in each failure domain; 2 if 0
	Engines   int            // engines in each failure domain; 3 if 0
	Engine    standinengine.Settings
	Models    []string       // that the engines may serve beside Model
	Services  int            // plain services in each failure domain
	Options   daemon.Options // Timer, Log, InitialDocument, DropTo and DropFrom are filled in
	Daemon    settings.Settings
	Document  configuration.Document // what it lists is added to the site's own
	// Unconfigured instances start without any configuration; see Configure.
	Unconfigured bool
	Tracer       trace.Tracer
	Seed         uint64
	Log          zerolog.Logger
	// Wrap returns the store that instance i uses, given the platform's; the
	// instances call the stand-in over HTTP if it is nil.
	Wrap func(i int, p store.Store) store.Store
	// EngineAddress takes the place of the stand-ins for engines if it is set.
	EngineAddress  string
	Slots          int                   // of the engine at EngineAddress
	ServiceFaults  standinservice.Faults // of the plain services from the start
	ServiceTimeout unit.Duration         // of one call to them; the default if 0
	// OnEngineDeath is called when an engine was killed or crashed, with the
	// function that starts it again; it may be nil.
	OnEngineDeath func(revive func() error)
}

// Names of what every site has.
const (
	Model        = "m"
	Workspace    = ident.Workspace("w")
	WorkspaceKey = "workspace-key"
	OperatorKey  = "operator-key"
	secret       = "site-secret"
)

// Site is a running deployment.
type Site struct {
	cfg   Settings
	timer *timer.Service // of the system
	stand *timer.Service // of the stand-ins
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu        sync.Mutex
	Engines   []*standinengine.Engine
	Instances []*daemon.Daemon
	alive     []bool
	Store     *standinkeyvalue.Store                   // what the platform's key-value service holds
	KeyValue  map[ident.Domain]*standinkeyvalue.Server // by the failure domain that it answers
	cut       map[ident.Domain]bool
	Services  []*standinservice.Service
	client    fasthttp.Client
	doc       configuration.Document
	dir       string
	reserved  []*loopback.Address // of the instances, also of killed ones
	pairs     map[[2]ident.Domain]bool
}

// New returns a site that is not started.
func New(cfg Settings) *Site {
	if len(cfg.Domains) == 0 {
		cfg.Domains = []ident.Domain{"accra"}
	}
	if cfg.Instances == 0 {
		cfg.Instances = 2
	}
	if cfg.Engines == 0 {
		cfg.Engines = 3
	}
	return &Site{
		cfg: cfg, timer: timer.New(), stand: timer.New(),
		KeyValue: make(map[ident.Domain]*standinkeyvalue.Server),
		cut:      make(map[ident.Domain]bool),
		client:   fasthttp.Client{MaxIdemponentCallAttempts: 1},
		pairs:    make(map[[2]ident.Domain]bool),
	}
}

// Start starts the stand-ins and the instances.
func (s *Site) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	for _, t := range []*timer.Service{s.timer, s.stand} {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			t.Run(ctx)
		}()
	}
	dir, err := os.MkdirTemp("", "site")
	if err != nil {
		return err
	}
	s.dir = dir
	for name, v := range map[string]string{"secret": secret, "operator": OperatorKey} {
		if err := os.WriteFile(dir+"/"+name, []byte(v), 0o600); err != nil {
			return err
		}
	}
	s.Store = standinkeyvalue.New(s.stand)
	for _, domain := range s.cfg.Domains {
		s.KeyValue[domain] = standinkeyvalue.NewServer(s.Store, "", nil)
		if err := s.KeyValue[domain].Start(); err != nil {
			return err
		}
	}
	if err := s.startEngines(); err != nil {
		return err
	}
	if err := s.startServices(); err != nil {
		return err
	}
	return s.startInstances()
}

// Timer returns the time source of the system.
func (s *Site) Timer() *timer.Service {
	return s.timer
}

// Document returns the configuration that the instances start with. Call it
// after Start.
func (s *Site) Document() configuration.Document {
	return s.doc
}

func (s *Site) startEngines() error {
	s.doc = s.cfg.Document
	s.doc.Services = append(s.doc.Services, configuration.Service{Name: "assistant", Kind: configuration.Model})
	s.doc.Workspaces = append(s.doc.Workspaces, configuration.Workspace{
		Name:      Workspace,
		KeyHashes: []string{access.Hash([]byte(WorkspaceKey))},
	})
	if s.cfg.EngineAddress != "" {
		s.doc.Upstreams = append(s.doc.Upstreams, configuration.Upstream{
			Name: "engine", Service: "assistant", Address: s.cfg.EngineAddress,
			Domain: s.cfg.Domains[0], Models: []string{Model}, Slots: s.cfg.Slots,
		})
		return nil
	}
	for _, domain := range s.cfg.Domains {
		for i := range s.cfg.Engines {
			cfg := s.cfg.Engine
			cfg.Name = fmt.Sprintf("engine-%s-%d", domain, i)
			var e *standinengine.Engine
			if s.cfg.OnEngineDeath != nil {
				cfg.Exit = func() { s.cfg.OnEngineDeath(e.Restart) }
			}
			e = standinengine.New(cfg, s.stand)
			if err := e.Start(); err != nil {
				return err
			}
			s.Engines = append(s.Engines, e)
			s.doc.Upstreams = append(s.doc.Upstreams, configuration.Upstream{
				Name:          ident.Upstream(cfg.Name),
				Service:       "assistant",
				Address:       e.Addr(),
				Domain:        domain,
				Models:        append([]string{Model}, s.cfg.Models...),
				Slots:         cfg.Slots,
				ChecksFencing: cfg.ChecksFencing,
			})
		}
	}
	return nil
}

// instance returns the settings of instance i of a failure domain.
func (s *Site) instance(domain ident.Domain, i int) settings.Settings {
	cfg := s.cfg.Daemon
	cfg.Name = fmt.Sprintf("%s-%d", domain, i)
	cfg.Domain = domain
	cfg.Platform.KeyValue = s.KeyValue[domain].Addr()
	cfg.Secret = settings.Secret{File: s.dir + "/secret"}
	cfg.Operator = settings.Secret{File: s.dir + "/operator"}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, d := range s.Instances {
		if s.alive[i] {
			cfg.Peers = append(cfg.Peers, settings.Peer{Instance: d.ID(), Domain: d.Domain(), Address: d.Addr(), PeerAddr: d.PeerAddr()})
		}
	}
	return cfg
}

func (s *Site) startInstances() error {
	for _, domain := range s.cfg.Domains {
		for i := range s.cfg.Instances {
			if err := s.startInstance(s.instance(domain, i)); err != nil {
				return err
			}
		}
	}
	return s.meet()
}

// Limits of the wait until all instances know each other.
const (
	meetLimit = 10 * time.Second
	meetPoll  = 10 * time.Millisecond
)

// meet waits until the live instances of each failure domain know each other.
func (s *Site) meet() error {
	for deadline := s.timer.Now().Add(meetLimit); s.timer.Now().Before(deadline); time.Sleep(meetPoll) {
		if s.met() {
			return nil
		}
	}
	return errs.New("the instances did not get to know each other")
}

func (s *Site) met() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	alive := make(map[ident.Domain]int)
	for i, d := range s.Instances {
		if s.alive[i] {
			alive[d.Domain()]++
		}
	}
	for i, d := range s.Instances {
		if s.alive[i] && len(d.LiveInstances()) < alive[d.Domain()] {
			return false
		}
	}
	return true
}

func (s *Site) startInstance(cfg settings.Settings) error {
	for _, address := range []*string{&cfg.Listen, &cfg.PeerAddr} {
		if err := s.reserve(address); err != nil {
			return err
		}
	}
	opt := s.cfg.Options
	opt.Timer = s.timer
	if !s.cfg.Unconfigured {
		opt.InitialDocument = &s.doc
	}
	opt.Log, opt.Tracer = s.cfg.Log, s.cfg.Tracer
	opt.Seed = s.cfg.Seed + uint64(len(s.Instances)) + 1
	if opt.DropTo == nil && opt.DropFrom == nil {
		opt.DropTo, opt.DropFrom = s.lost(cfg.Domain), s.lost(cfg.Domain)
	}
	if s.cfg.Wrap != nil {
		opt.Store = s.cfg.Wrap(len(s.Instances), s.Store.Port())
	}
	d, err := daemon.New(cfg, opt)
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Instances = append(s.Instances, d)
	s.alive = append(s.alive, true)
	return nil
}

// reserve sets an address of an instance to one that nobody else gets until Stop, also
// after the instance was killed, since callers and other instances still try it.
func (s *Site) reserve(address *string) error {
	a, err := loopback.Reserve()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = append(s.reserved, a)
	*address = a.String()
	return nil
}

// AddInstance starts one more instance in the first failure domain.
func (s *Site) AddInstance() error {
	if err := s.startInstance(s.instance(s.cfg.Domains[0], len(s.Instances))); err != nil {
		return err
	}
	return s.meet()
}

// Addresses returns where the instances that were not killed take callers.
func (s *Site) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for i, d := range s.Instances {
		if s.alive[i] {
			out = append(out, d.Addr())
		}
	}
	return out
}

// Caller returns a caller of the site's workspace.
func (s *Site) Caller(cfg caller.Settings) *caller.Caller {
	if cfg.Key == "" {
		cfg.Key = WorkspaceKey
	}
	if len(cfg.Addresses) == 0 {
		cfg.Addresses = s.Addresses()
	}
	return caller.New(cfg, s.timer)
}

// Decoded returns the tokens that all engines have decoded and prefilled.
func (s *Site) Decoded() (decoded, prefilled uint64) {
	for _, e := range s.Engines {
		c := e.Counters()
		decoded += c.Decoded
		prefilled += c.PrefillTokens
	}
	return decoded, prefilled
}

// Stop ends everything that was started.
func (s *Site) Stop() {
	for i := range s.Instances {
		s.StopInstance(i)
	}
	for _, e := range s.Engines {
		e.Stop()
	}
	for _, k := range s.KeyValue {
		k.Stop()
	}
	for _, v := range s.Services {
		v.Stop()
	}
	s.client.CloseIdleConnections()
	s.stop()
	s.wg.Wait()
	for _, a := range s.reserved {
		a.Release()
	}
	_ = os.RemoveAll(s.dir)
}
