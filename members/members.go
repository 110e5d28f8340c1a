// Package members runs the membership table of an instance.
//
// It connects package membership to the peer link, the timer service and the
// platform's instance list. One goroutine owns the table. It processes messages,
// ticks and instance lists, and publishes each new view for other goroutines to read
// without a lock. Messages may be lost, which the protocol of the table tolerates.
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

// Method is the name of the peer link method that receives membership messages.
const Method = "Members"

// Defaults of Settings.
const (
	defaultTickInterval          = 200 * time.Millisecond
	defaultListInterval          = 10 * time.Second
	defaultListTimeout           = 2 * time.Second
	defaultListIntervalPerMember = 150 * time.Millisecond
)

// Bounds on queued events and concurrent sends. Events and messages beyond them are
// dropped.
const (
	maxEvents = 1024
	maxSends  = 128
)

// sendTimeout is the longest wait for a connection on which to send a message.
const sendTimeout = time.Second

// addressRetention is the time for which the address of a dead member is kept.
const addressRetention = 15 * time.Minute

// maxListReaders is the number of members of a failure domain that read the instance
// list periodically. These are the members with the lowest ranks.
const maxListReaders = 2

// Settings configures Members. Zero values are replaced by defaults, except in Self
// and Seeds.
type Settings struct {
	Self                  membership.Member   // this instance; its incarnation exceeds those of earlier runs
	Seeds                 []membership.Member // members to contact before the instance list has been read
	Table                 membership.Settings
	TickInterval          time.Duration // time between two ticks of the table
	ListInterval          time.Duration // shortest time between two reads of the instance list
	ListTimeout           time.Duration // longest duration of one read
	ListIntervalPerMember time.Duration // pause after a read, per listed member; limits the bytes per second
}

// Members maintains the membership of one instance. Its methods are safe for
// concurrent use, except that OnChange must be called and the fields be set before
// Start.
type Members struct {
	// List reads the platform's instance list. It is nil if there is none.
	ReadInstanceList func(ctx context.Context) ([]membership.Member, error)

	cfg           Settings
	link          *peerlink.Link
	timer         *timer.Service
	log           zerolog.Logger
	rand          func(n int) int
	table         *membership.Table // used only by the control goroutine
	view          atomic.Pointer[membership.View]
	onChange      []func(v *membership.View)
	events        chan func(now time.Time) []membership.Envelope
	sendSlots     chan struct{}
	readingList   atomic.Bool
	busyTime      atomic.Int64 // in nanoseconds
	nextList      atomic.Int64 // earliest time of the next list read, in Unix nanoseconds
	ctx           context.Context
	cancel        context.CancelFunc
	running       sync.WaitGroup
	subscriptions []*timer.Subscription
}

// New returns the membership of an instance that knows only itself. It registers the
// handler of Method on link, which must not have been started yet. The function rand
// returns a random number in [0, n) and is called from one goroutine only.
func New(cfg Settings, link *peerlink.Link, t *timer.Service, rand func(n int) int, log zerolog.Logger) *Members {
	orDefault(&cfg.TickInterval, defaultTickInterval)
	orDefault(&cfg.ListInterval, defaultListInterval)
	orDefault(&cfg.ListTimeout, defaultListTimeout)
	orDefault(&cfg.ListIntervalPerMember, defaultListIntervalPerMember)
	ctx, cancel := context.WithCancel(context.Background())
	m := &Members{
		cfg:       cfg,
		link:      link,
		timer:     t,
		log:       log,
		rand:      rand,
		events:    make(chan func(now time.Time) []membership.Envelope, maxEvents),
		sendSlots: make(chan struct{}, maxSends),
		ctx:       ctx,
		cancel:    cancel,
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

// OnChange registers f to be called with each new view. It is called on the control
// goroutine and must not block.
func (m *Members) OnChange(f func(v *membership.View)) {
	m.onChange = append(m.onChange, f)
}

// View returns the current view.
func (m *Members) View() *membership.View {
	return m.view.Load()
}

// Start starts probing and reads the instance list once. The link must have been
// started. If Self has no peer address, the address of the link is used.
func (m *Members) Start() {
	self := m.cfg.Self
	if self.PeerAddress == "" {
		self.PeerAddress = m.link.Addr()
	}
	m.table = membership.New(m.cfg.Table, self, m.rand)
	m.running.Go(m.run)
	m.enqueue(m.applySeeds)
	m.readList()
	m.subscriptions = []*timer.Subscription{
		m.timer.Every(m.cfg.TickInterval, func(time.Time) { m.enqueue(m.tick) }),
		m.timer.Every(m.cfg.ListInterval, m.readListIfDue),
	}
}

// Stop ends probing. It does not announce that this instance is leaving.
func (m *Members) Stop() {
	for _, s := range m.subscriptions {
		s.Stop()
	}
	m.cancel()
	m.running.Wait()
}

// Leave announces to the other instances that this instance is leaving. The
// instance still answers messages until Stop.
func (m *Members) Leave() {
	m.enqueue(func(now time.Time) []membership.Envelope { return m.table.Leave(now) })
}

// Announce spreads a notice to all instances.
func (m *Members) Announce(n membership.Notice) {
	m.enqueue(func(now time.Time) []membership.Envelope { return m.table.Announce(n, now) })
}

func (m *Members) tick(now time.Time) []membership.Envelope {
	return m.table.Tick(now)
}

func (m *Members) applySeeds(now time.Time) []membership.Envelope {
	m.table.ApplyInstanceList(m.cfg.Seeds, now)
	return nil
}

// handle checks a message from another instance and enqueues it.
func (m *Members) handle(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
	var msg membership.Message
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	if msg.Sender.Instance != from {
		return nil, result.Newf(result.Forbidden, "membership message names sender %s but came from %s", msg.Sender.Instance, from)
	}
	m.enqueue(func(now time.Time) []membership.Envelope { return m.table.Receive(msg, now) })
	return nil, nil
}

// enqueue passes an event to the control goroutine. It drops the event if the queue is
// full.
func (m *Members) enqueue(f func(now time.Time) []membership.Envelope) {
	select {
	case m.events <- f:
	default:
		m.log.Warn().Int("Code", int(result.Overloaded)).Msg("membership event dropped: the event queue is full")
	}
}

// BusyTime returns the total time that the control goroutine has spent on events.
func (m *Members) BusyTime() time.Duration {
	return time.Duration(m.busyTime.Load())
}

// run processes events on the control goroutine until Stop.
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
			m.busyTime.Add(int64(m.timer.Now().Sub(began)))
		}
	}
}

// publish stores a new view, updates the addresses of the link and calls the
// functions registered with OnChange.
func (m *Members) publish() {
	old, v := m.view.Load(), m.table.View()
	if old == v {
		return
	}
	m.updateAddresses(old, v)
	m.view.Store(v)
	for _, f := range m.onChange {
		f(v)
	}
}

// updateAddresses passes the new addresses in v to the link, logs changes of states,
// and schedules the removal of the addresses of members that are no longer in v.
func (m *Members) updateAddresses(old, v *membership.View) {
	for _, o := range v.Members {
		previous, known := old.Find(o.Instance)
		if o.Instance != v.Self && (!known || previous.PeerAddress != o.PeerAddress) {
			m.link.SetAddress(o.Instance, o.PeerAddress)
		}
		if known && previous.State != o.State {
			m.log.Info().Str("Member", string(o.Instance)).Str("State", string(o.State)).Msg("member changed")
		}
	}
	for _, o := range old.Members {
		if _, known := v.Find(o.Instance); !known {
			m.log.Info().Str("Member", string(o.Instance)).Str("State", string(membership.Dead)).Msg("member changed")
			m.timer.After(addressRetention, func(time.Time) { m.forgetAddress(o.Instance) })
		}
	}
}

// forgetAddress removes the address of a member that is still not in the view.
func (m *Members) forgetAddress(id ident.Instance) {
	if _, known := m.View().Find(id); !known {
		m.link.RemovePeer(id)
	}
}

// send delivers a message on a separate goroutine, because waiting for a connection
// must not block the table. It drops the message if maxSends sends are in progress.
func (m *Members) send(s membership.Envelope) {
	select {
	case m.sendSlots <- struct{}{}:
	default:
		return
	}
	m.running.Go(func() {
		defer func() { <-m.sendSlots }()
		ctx, cancel := context.WithTimeout(m.ctx, sendTimeout)
		defer cancel()
		if err := m.link.Notify(ctx, s.To, Method, s.Message); err != nil {
			m.log.Debug().Err(err).Msg("membership message could not be sent")
		}
	})
}

// readListIfDue reads the instance list if it is due and this instance is one of its
// readers, or if this instance knows no other member.
func (m *Members) readListIfDue(now time.Time) {
	v := m.View()
	rank := v.Rank(v.Self)
	due := now.UnixNano() >= m.nextList.Load()
	if len(v.Members) == 1 || (due && rank >= 0 && rank < maxListReaders) {
		m.readList()
	}
}

// readList reads the instance list in the background, unless a read is in progress.
func (m *Members) readList() {
	if m.ReadInstanceList == nil || !m.readingList.CompareAndSwap(false, true) {
		return
	}
	m.running.Go(func() {
		defer m.readingList.Store(false)
		ctx, cancel := context.WithTimeout(m.ctx, m.cfg.ListTimeout)
		defer cancel()
		list, err := m.ReadInstanceList(ctx)
		if err != nil {
			m.log.Warn().Err(err).Int("Code", int(result.PlatformUnavailable)).Msg("instance list could not be read; keeping the known members")
			return
		}
		pause := time.Duration(len(list)) * m.cfg.ListIntervalPerMember
		m.nextList.Store(m.timer.Now().Add(pause).UnixNano())
		m.enqueue(func(now time.Time) []membership.Envelope {
			m.table.ApplyInstanceList(list, now)
			return nil
		})
	})
}
