// Package members keeps an instance's membership table up to date.
//
// It is the adapter around package membership: one goroutine owns the table,
// takes messages from the peer link, ticks from the timer service and the
// platform's instance list, and publishes each new view for other goroutines
// to read without a lock. Messages may be lost; the table is made for it.
package members

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/ident"
	"crocuslug/membership"
	"crocuslug/peerlink"
	"crocuslug/result"
	"crocuslug/timer"
)

// Method is the name under which instances take messages of the membership.
const Method = "Members"

// Defaults of Settings.
const (
	defaultTick         = 200 * time.Millisecond
	defaultListInterval = 10 * time.Second
	defaultListTimeout  = 2 * time.Second
	defaultListMember   = 150 * time.Millisecond
)

// Bounds on what waits; above them messages are dropped.
const (
	maxEvents = 1024
	maxSends  = 128
)

// sendTimeout bounds the wait for a connection to send a message on.
const sendTimeout = time.Second

// forgetAfter is the time for which the address of a dead member is kept.
const forgetAfter = 15 * time.Minute

// listers is the number of members of a failure domain, the first by rank,
// that read the instance list again and again.
const listers = 2

// Settings describe Members. The zero value of a field but Self means its default.
type Settings struct {
	Self         membership.Member   // this instance; its incarnation is above those of earlier runs
	Seeds        []membership.Member // known while the instance list cannot be read
	Table        membership.Settings
	Tick         time.Duration // between two ticks of the table
	ListInterval time.Duration // between two reads of the instance list
	ListTimeout  time.Duration // bound on one read
	ListMember   time.Duration // after a list, time for each member that it holds until the next; bounds the bytes a second
}

// Members is the membership of one instance. Its methods may be called from
// any goroutine; OnChange and the fields come before Start.
type Members struct {
	// List reads the platform's instance list. nil means that there is none.
	List func(ctx context.Context) ([]membership.Member, error)

	cfg      Settings
	link     *peerlink.Link
	timer    *timer.Service
	log      zerolog.Logger
	rand     func(n int) int
	table    *membership.Table // control goroutine only
	view     atomic.Pointer[membership.View]
	onChange []func(v *membership.View)
	events   chan func(now time.Time) []membership.Envelope
	sends    chan struct{}
	listing  atomic.Bool
	busy     atomic.Int64 // nanoseconds
	nextList atomic.Int64 // Unix nanoseconds before which the list is not read again
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	ticks    []*timer.Subscription
}

// New returns members that know only themselves. It sets the handler of Method
// on link, which must not have been started yet. rand returns a number from 0
// to n-1 and is called from one goroutine.
func New(cfg Settings, link *peerlink.Link, t *timer.Service, rand func(n int) int, log zerolog.Logger) *Members {
	orDefault(&cfg.Tick, defaultTick)
	orDefault(&cfg.ListInterval, defaultListInterval)
	orDefault(&cfg.ListTimeout, defaultListTimeout)
	orDefault(&cfg.ListMember, defaultListMember)
	ctx, cancel := context.WithCancel(context.Background())
	m := &Members{
		cfg:    cfg,
		link:   link,
		timer:  t,
		log:    log,
		rand:   rand,
		events: make(chan func(now time.Time) []membership.Envelope, maxEvents),
		sends:  make(chan struct{}, maxSends),
		ctx:    ctx,
		cancel: cancel,
	}
	m.view.Store(&membership.View{Self: cfg.Self.Instance})
	link.Handle(Method, m.handle)
	return m
}

func orDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

// OnChange subscribes f to new views. It runs on the control goroutine and
// must not block.
func (m *Members) OnChange(f func(v *membership.View)) {
	m.onChange = append(m.onChange, f)
}

// View returns the present view.
func (m *Members) View() *membership.View {
	return m.view.Load()
}

// Start begins to probe and reads the instance list once. The link must have
// been started; its address is taken if Self has none.
func (m *Members) Start() {
	self := m.cfg.Self
	if self.PeerAddress == "" {
		self.PeerAddress = m.link.Addr()
	}
	m.table = membership.New(m.cfg.Table, self, m.rand)
	m.running.Go(m.run)
	m.post(m.seed)
	m.list()
	m.ticks = []*timer.Subscription{
		m.timer.Every(m.cfg.Tick, func(time.Time) { m.post(m.tick) }),
		m.timer.Every(m.cfg.ListInterval, m.listIfDue),
	}
}

// Stop ends probing. It does not say that this instance is leaving.
func (m *Members) Stop() {
	for _, s := range m.ticks {
		s.Stop()
	}
	m.cancel()
	m.running.Wait()
}

// Leave tells the others that this instance is leaving. It goes on to answer
// them until Stop.
func (m *Members) Leave() {
	m.post(func(now time.Time) []membership.Envelope { return m.table.Leave(now) })
}

// Announce spreads a notice to all instances.
func (m *Members) Announce(n membership.Notice) {
	m.post(func(now time.Time) []membership.Envelope { return m.table.Announce(n, now) })
}

func (m *Members) tick(now time.Time) []membership.Envelope {
	return m.table.Tick(now)
}

func (m *Members) seed(now time.Time) []membership.Envelope {
	m.table.ApplyInstanceList(m.cfg.Seeds, now)
	return nil
}

// handle takes a message of another instance.
func (m *Members) handle(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
	var msg membership.Message
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	if msg.Sender.Instance != from {
		return nil, result.Newf(result.Forbidden, "message of %s from %s", msg.Sender.Instance, from)
	}
	m.post(func(now time.Time) []membership.Envelope { return m.table.Receive(msg, now) })
	return nil, nil
}

// post hands an event to the control goroutine, or drops it if too many wait.
func (m *Members) post(f func(now time.Time) []membership.Envelope) {
	select {
	case m.events <- f:
	default:
		m.log.Warn().Int("Code", int(result.Overloaded)).Msg("membership event dropped")
	}
}

// Busy returns for how long the control goroutine has worked since the start.
func (m *Members) Busy() time.Duration {
	return time.Duration(m.busy.Load())
}

func (m *Members) run() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case f := <-m.events:
			began := m.timer.Now()
			out := f(began)
			m.publish()
			for _, s := range out {
				m.send(s)
			}
			m.busy.Add(int64(m.timer.Now().Sub(began)))
		}
	}
}

// publish makes a new view known, and its addresses to the link.
func (m *Members) publish() {
	old, v := m.view.Load(), m.table.View()
	if old == v {
		return
	}
	m.introduce(old, v)
	m.view.Store(v)
	for _, f := range m.onChange {
		f(v)
	}
}

func (m *Members) introduce(old, v *membership.View) {
	for _, o := range v.Members {
		before, known := old.Find(o.Instance)
		if o.Instance != v.Self && (!known || before.PeerAddress != o.PeerAddress) {
			m.link.SetAddress(o.Instance, o.PeerAddress)
		}
		if known && before.State != o.State {
			m.log.Info().Str("Member", string(o.Instance)).Str("State", string(o.State)).Msg("member changed")
		}
	}
	for _, o := range old.Members {
		if _, known := v.Find(o.Instance); !known {
			m.log.Info().Str("Member", string(o.Instance)).Str("State", string(membership.Dead)).Msg("member changed")
			m.timer.After(forgetAfter, func(time.Time) { m.forget(o.Instance) })
		}
	}
}

// forget drops the address of a member that has not come back.
func (m *Members) forget(id ident.Instance) {
	if _, known := m.View().Find(id); !known {
		m.link.Forget(id)
	}
}

// send delivers a message on a goroutine of its own, for the wait for a
// connection must not hold up the table.
func (m *Members) send(s membership.Envelope) {
	select {
	case m.sends <- struct{}{}:
	default:
		return
	}
	m.running.Go(func() {
		defer func() { <-m.sends }()
		ctx, cancel := context.WithTimeout(m.ctx, sendTimeout)
		defer cancel()
		if err := m.link.Notify(ctx, s.To, Method, s.Message); err != nil {
			m.log.Debug().Err(err).Msg("membership message not sent")
		}
	})
}

// listIfDue reads the instance list if that falls to this instance.
func (m *Members) listIfDue(now time.Time) {
	v := m.View()
	rank := v.Rank(v.Self)
	due := now.UnixNano() >= m.nextList.Load()
	if len(v.Members) == 1 || (due && rank >= 0 && rank < listers) {
		m.list()
	}
}

// list reads the instance list unless a read is in progress.
func (m *Members) list() {
	if m.List == nil || !m.listing.CompareAndSwap(false, true) {
		return
	}
	m.running.Go(func() {
		defer m.listing.Store(false)
		ctx, cancel := context.WithTimeout(m.ctx, m.cfg.ListTimeout)
		defer cancel()
		list, err := m.List(ctx)
		if err != nil {
			m.log.Warn().Err(err).Int("Code", int(result.PlatformUnavailable)).Msg("instance list not read")
			return
		}
		rest := time.Duration(len(list)) * m.cfg.ListMember
		m.nextList.Store(m.timer.Now().Add(rest).UnixNano())
		m.post(func(now time.Time) []membership.Envelope {
			m.table.ApplyInstanceList(list, now)
			return nil
		})
	})
}
