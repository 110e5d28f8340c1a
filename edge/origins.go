package edge

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"crocuslug/builds"
	"crocuslug/ident"
	"crocuslug/rendezvous"
	"crocuslug/unit"
	"crocuslug/work"
)

// Methods by which instances tell and ask each other at which build a stream began.
const (
	tellOriginMethod  = "Edge.TellOrigin"
	findOriginMethod  = "Edge.FindOrigin"
	holdOriginsMethod = "Edge.HoldOrigins" // hands over what a leaving holder knows
)

// Holders of a stream, see package builds. The instance that serves a stream tells some of its holders, and others
// in place of those that do not answer.
const (
	holdersAsked      = 6                      // holders of a stream
	holdersTold       = 3                      // of them, besides the instance that tells
	maxOfDomain       = 3                      // holders in one failure domain
	tellOriginTimeout = 100 * time.Millisecond // for which the first piece of a stream waits at most
	retellInterval    = 500 * time.Millisecond // between two rounds in which holders are told, after that
	maxRetells        = 8                      // of these rounds
	findOriginTimeout = 250 * time.Millisecond
	handOverTimeout   = time.Second

	buildsCheckInterval = 25 * time.Millisecond // between two checks whether the builds of a service are known
	maxHandedOver       = 500                   // streams in one message
)

// findOriginRequest asks for the build at which a stream began.
type findOriginRequest struct {
	Origin  ident.Request
	Service ident.Service
}

// handleTellOrigin answers tellOriginMethod.
func (e *Edge) handleTellOrigin(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var r builds.Record
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	e.builds.Record(r, e.timer.Now())
	return nil, nil
}

// handleHoldOrigins answers holdOriginsMethod.
func (e *Edge) handleHoldOrigins(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var list []builds.Record
	if err := json.Unmarshal(params, &list); err != nil {
		return nil, err
	}
	now := e.timer.Now()
	for _, r := range list {
		e.builds.Record(r, now)
	}
	return nil, nil
}

// handOverOrigins tells the streams of which this instance is a holder to those that are holders without
// it. It returns when they know them, or after handOverTimeout.
func (e *Edge) handOverOrigins() {
	held := e.builds.Held(e.timer.Now())
	byHolder := make(map[ident.Instance][]builds.Record)
	for _, r := range held {
		holders := e.holdersToTell(r.Origin)
		for _, id := range holders[:min(len(holders), holdersTold)] {
			byHolder[id] = append(byHolder[id], r)
		}
	}
	ctx, cancel := context.WithTimeout(e.ctx, handOverTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for id, list := range byHolder {
		for part := range slices.Chunk(list, maxHandedOver) {
			calls.Go(func() {
				if err := e.link.Call(ctx, id, holdOriginsMethod, part, nil); err != nil {
					e.log.Info().Str("Peer", string(id)).Int("Streams", len(part)).Err(err).Msg("streams not handed over to another holder")
				}
			})
		}
	}
	calls.Wait()
	if len(held) > 0 {
		e.log.Info().Int("Streams", len(held)).Int("Peers", len(byHolder)).Msg("streams handed over to other holders")
	}
}

// handleFindOrigin answers findOriginMethod.
func (e *Edge) handleFindOrigin(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var q findOriginRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	return e.builds.Find(q.Origin, q.Service, e.timer.Now()), nil
}

// tellOrigin records at which build a stream begins and tells holdersTold of its holders, or others in place of
// those that do not answer. The channel is closed once enough know it, or after tellOriginTimeout.
func (e *Edge) tellOrigin(r builds.Record) <-chan struct{} {
	e.builds.Record(r, e.timer.Now())
	told := make(chan struct{})
	e.tasks.Go(func() {
		holders := e.holdersToTell(r.Origin)
		first := min(holdersTold, len(holders))
		confirmed := make(chan ident.Instance, len(holders))
		tell := func(list []ident.Instance) {
			for _, id := range list {
				e.tasks.Go(func() { e.tellHolder(id, r, confirmed) })
			}
		}
		tell(holders[:first])
		missing := e.awaitHolders(confirmed, first, tellOriginTimeout/2)
		if missing > 0 {
			tell(holders[first:])
			missing = e.awaitHolders(confirmed, missing, tellOriginTimeout/2)
		}
		if missing > 0 {
			e.recordUntold()
		}
		close(told)
		e.tellAgain(r, holders, confirmed, missing)
	})
	return told
}

// recordUntold records that too few holders of a stream were told before its first piece was passed on.
func (e *Edge) recordUntold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.untoldAt = e.timer.Now()
}

// preferredBuild returns the build at which new streams begin while this instance can tell too few holders: the
// only one before the service had several, which holders state of streams that they were not told of. It returns
// nil if any build will do.
func (e *Edge) preferredBuild(service ident.Service) *ident.Build {
	before := e.builds.Before(service)
	if before == "" {
		return nil
	}
	now := e.timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.peers) == 0 || e.inTouch(now) && now.Sub(e.untoldAt) > inStepWindow {
		return nil
	}
	return &before
}

// tellHolder tells an instance of a stream and passes it on to confirmed if it knows the stream then.
func (e *Edge) tellHolder(id ident.Instance, r builds.Record, confirmed chan<- ident.Instance) {
	ctx, cancel := context.WithTimeout(e.ctx, retellInterval)
	defer cancel()
	if err := e.link.Call(ctx, id, tellOriginMethod, r, nil); err != nil {
		e.meters.Count("Origins.Untold", 1)
		e.log.Info().Str("Request", string(r.Origin)).Str("Peer", string(id)).Str("Build", string(r.Build)).Err(err).Msg("holder of a stream not told")
		return
	}
	confirmed <- id
}

// awaitHolders waits until n holders have confirmed a stream, or for the time limit. It returns how many of them
// are missing then.
func (e *Edge) awaitHolders(confirmed <-chan ident.Instance, n int, limit time.Duration) (missing int) {
	over := make(chan struct{})
	sub := e.timer.After(limit, func(time.Time) { close(over) })
	defer sub.Stop()
	for ; n > 0; n-- {
		select {
		case <-confirmed:
		case <-over:
			return n
		case <-e.ctx.Done():
			return n
		}
	}
	return 0
}

// tellAgain tells the holders of a stream again while too few know it.
func (e *Edge) tellAgain(r builds.Record, holders []ident.Instance, confirmed chan ident.Instance, missing int) {
	for range maxRetells {
		if missing = e.awaitHolders(confirmed, missing, retellInterval); missing == 0 || e.ctx.Err() != nil {
			return
		}
		confirmed = make(chan ident.Instance, len(holders))
		missing = min(holdersTold, len(holders))
		r.Age += unit.Duration(retellInterval)
		for _, id := range holders {
			e.tasks.Go(func() { e.tellHolder(id, r, confirmed) })
		}
	}
	e.log.Info().Str("Request", string(r.Origin)).Str("Build", string(r.Build)).Int("Missing", missing).Msg("too few holders told of a stream")
}

// findOrigin returns the build at which a stream began that its caller takes up, nil if the upstreams of
// the service name none, and false if the holders of the stream do not tell.
func (e *Edge) findOrigin(ctx context.Context, w *work.Work) (*ident.Build, bool) {
	service := w.Service.Name
	if !e.builds.Named(service) {
		return nil, true
	}
	e.waitForBuilds(ctx, service)
	now := e.timer.Now()
	several := e.builds.Several(service, now)
	if !several && e.inStep(now) {
		only := e.builds.Only(service) // others may register before an upstream is chosen
		return &only, only != ""
	}
	if own := e.builds.Find(w.Origin, service, now); own.Known || several && w.Origin == "" {
		e.logOrigin(w, own.Build, own.Known, 0, 0, now)
		return &own.Build, own.Known
	}
	origin := w.Origin
	if origin == "" {
		origin = w.ID
	}
	holders := e.holdersOf(origin)
	statements := e.askHolders(ctx, holders, findOriginRequest{origin, service})
	quorum := builds.Quorum(len(holders), holdersTold)
	several = several || slices.ContainsFunc(statements, func(s builds.Statement) bool { return s.Several || s.Known })
	var build ident.Build
	found := false
	if several {
		e.meters.Count("Origins.Asked", 1)
		build, found = builds.Conclude(statements, quorum)
		found = found && (isKnown(statements) || e.builds.SeveralFor(service, now) <= streamLife(w))
	} else { // none of those that answer knows of a second build
		e.meters.Count("Origins.Checked", 1)
		build = e.builds.Only(service)
		found = build != "" && len(statements) >= quorum
	}
	e.logOrigin(w, build, found, len(holders), len(statements), now)
	return &build, found
}

func isKnown(statements []builds.Statement) bool {
	return slices.ContainsFunc(statements, func(s builds.Statement) bool { return s.Known })
}

// streamLife returns the time for which a stream of the route of w may last. One that is taken up later than
// that after a second build became known began after that.
func streamLife(w *work.Work) time.Duration {
	if w.Route != nil && w.Route.Timeout > 0 {
		return w.Route.Timeout
	}
	return defaultTimeout
}

// askHolders asks the holders of a stream for its build. It returns the statements of those that answer within
// findOriginTimeout, up to the first that knows.
func (e *Edge) askHolders(ctx context.Context, holders []ident.Instance, q findOriginRequest) []builds.Statement {
	ctx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	type answer struct {
		builds.Statement
		ok bool
	}
	answers := make(chan answer, len(holders))
	for _, id := range holders {
		e.tasks.Go(func() {
			s, ok := e.askOrigin(ctx, id, q)
			answers <- answer{s, ok}
		})
	}
	var statements []builds.Statement
	for range holders {
		select {
		case a := <-answers:
			if a.ok {
				statements = append(statements, a.Statement)
			}
			if a.Known {
				return statements
			}
		case <-ctx.Done():
			return statements
		}
	}
	return statements
}

// askOrigin asks an instance, which may be this one, for the build of a stream. It returns false if that does not
// answer.
func (e *Edge) askOrigin(ctx context.Context, id ident.Instance, q findOriginRequest) (builds.Statement, bool) {
	if id == e.self {
		return e.builds.Find(q.Origin, q.Service, e.timer.Now()), true
	}
	var s builds.Statement
	if err := e.link.Call(ctx, id, findOriginMethod, q, &s); err != nil {
		e.log.Debug().Str("Peer", string(id)).Str("Origin", string(q.Origin)).Err(err).Msg("holder of a stream did not answer")
		return builds.Statement{}, false
	}
	return s, true
}

// logOrigin logs at which build a stream began that is taken up.
func (e *Edge) logOrigin(w *work.Work, build ident.Build, found bool, asked, answered int, began time.Time) {
	event := "origin of stream found"
	if !found {
		event = "origin of stream not found"
	}
	e.log.Info().Str("Request", string(w.ID)).Str("Origin", string(w.Origin)).Str("Service", string(w.Service.Name)).Str("Build", string(build)).
		Int("Asked", asked).Int("Answered", answered).Dur("TookMs", e.timer.Now().Sub(began)).Msg(event)
}

// knowsBuilds reports whether this instance would know of a second build of a service: a live peer or
// the store would have told it.
func (e *Edge) knowsBuilds(now time.Time) bool {
	fresh := !e.view.Unavailable(e.timer.Uptime()) && e.builds.Settled(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.peers) == 0 {
		return true
	}
	for _, p := range e.peers {
		if e.peerAlive(p, now) {
			return true
		}
	}
	return fresh
}

// inStepWindow is the time within which an instance hears of a second build that others use, by digests.
const inStepWindow = time.Second

// pauseLimit is the time without a tick from which the process counts as paused.
const pauseLimit = 500 * time.Millisecond

// inStep reports whether this instance knows of builds what the others know: its knowledge of the store is
// current, or it hears at least half of the digests that it expects. After a pause of the process neither is
// known: digests and answers of the store have waited meanwhile.
func (e *Edge) inStep(now time.Time) bool {
	up := e.timer.Uptime()
	age := e.view.Age(up)
	current := age > 0 && age <= maxAge(e.cfg.Drain.Std()) && e.builds.Settled(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.peers) == 0 {
		return true
	}
	if up-e.lastTick > pauseLimit && e.lastTick > 0 || up-e.resumed < inStepWindow && e.resumed > 0 {
		return false
	}
	if current {
		return true
	}
	return e.inTouch(now)
}

// inTouch reports whether this instance hears at least half of the digests that it expects. The caller holds
// e.mu.
func (e *Edge) inTouch(now time.Time) bool {
	const rounds = int(inStepWindow / digestInterval)
	near, far, heard := 0, 0, 0
	for _, p := range e.peers {
		if p.domain == e.cfg.Domain {
			near++
		} else {
			far++
		}
		if !p.lastDigest.IsZero() && now.Sub(p.lastDigest) <= inStepWindow {
			heard++
		}
	}
	farHeard := min(far, rounds*farDigests)
	if far > maxSingleTurnPeers {
		farHeard = farDigests
	}
	return 2*heard >= min(near, rounds*nearDigests)+farHeard
}

// recordTick records that this process runs.
func (e *Edge) recordTick() {
	up := e.timer.Uptime()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastTick > 0 && up-e.lastTick > pauseLimit {
		e.resumed = up
	}
	e.lastTick = up
}

// waitForBuilds returns once this instance would know of a second build of a service or knows of one,
// but no later than it has settled. After all instances have started again at once, their callers take
// their streams up before any instance has heard another one, and most callers try again only once.
func (e *Edge) waitForBuilds(ctx context.Context, service ident.Service) {
	began := e.timer.Now()
	now := began
	for ctx.Err() == nil && e.ctx.Err() == nil && !e.builds.Several(service, now) && !e.knowsBuilds(now) && !e.builds.Settled(now) {
		e.sleep(buildsCheckInterval)
		now = e.timer.Now()
	}
	if now.After(began) {
		e.meters.Observe("BuildsAwaitedUs", now.Sub(began))
	}
}

// holdersOf returns the holders of a stream: the first instances by rendezvous hashing of its origin, at most
// maxOfDomain of each failure domain if there are several. They are chosen among all instances that are known,
// whether they live or not, so that the instance that tells and the one that asks choose the same.
func (e *Edge) holdersOf(origin ident.Request) []ident.Instance {
	domains := map[ident.Instance]ident.Domain{e.self: e.cfg.Domain}
	members := []ident.Instance{e.self}
	several := false
	e.mu.Lock()
	for id, p := range e.peers {
		domains[id] = p.domain
		members = append(members, id)
		several = several || p.domain != e.cfg.Domain
	}
	e.mu.Unlock()
	var out []ident.Instance
	in := make(map[ident.Domain]int)
	for _, id := range rendezvous.Order(string(origin), members) {
		if len(out) == holdersAsked {
			break
		}
		if several && in[domains[id]] >= maxOfDomain {
			continue
		}
		in[domains[id]]++
		out = append(out, id)
	}
	return out
}

// holdersToTell returns the other holders of a stream, in the order in which they are told: those that live first.
func (e *Edge) holdersToTell(origin ident.Request) []ident.Instance {
	holders := slices.DeleteFunc(e.holdersOf(origin), func(id ident.Instance) bool { return id == e.self })
	now := e.timer.Now()
	alive := make(map[ident.Instance]bool)
	e.mu.Lock()
	for _, id := range holders {
		if p, ok := e.peers[id]; ok {
			alive[id] = e.peerAlive(p, now)
		}
	}
	e.mu.Unlock()
	slices.SortStableFunc(holders, func(a, b ident.Instance) int {
		switch {
		case alive[a] == alive[b]:
			return 0
		case alive[a]:
			return -1
		}
		return 1
	})
	return holders
}

// logBuilds logs which builds of services came or went since the last call.
func (e *Edge) logBuilds() {
	for _, c := range e.builds.TakeChanges() {
		names := make([]string, 0, len(c.Builds))
		for _, b := range c.Builds {
			names = append(names, string(b))
		}
		e.log.Info().Str("Service", string(c.Service)).Str("Builds", strings.Join(names, ",")).Bool("Several", c.Several).Str("Before", string(c.Before)).
			Msg("software versions of service changed")
	}
}
