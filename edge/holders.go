package edge

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"crocuslug/builds"
	"crocuslug/ident"
	"crocuslug/rendezvous"
	"crocuslug/unit"
)

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
	if len(e.peers) == 0 || e.inTouch(now) && now.Sub(e.untoldAt) > syncWindow {
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

// tellAgain tells the holders of a stream again while too few know it, of maxRetold streams at a time.
func (e *Edge) tellAgain(r builds.Record, holders []ident.Instance, confirmed chan ident.Instance, missing int) {
	if missing == 0 {
		return
	}
	defer e.retold.Add(-1)
	if e.retold.Add(1) > maxRetold {
		e.logTooFew(r, missing)
		return
	}
	for round := range maxRetells {
		if missing = e.awaitHolders(confirmed, missing, retellInterval); missing == 0 || e.ctx.Err() != nil {
			return
		}
		later, again := r, make(chan ident.Instance, len(holders))
		later.Age += unit.Duration(time.Duration(round+1) * retellInterval)
		for _, id := range holders {
			e.tasks.Go(func() { e.tellHolder(id, later, again) })
		}
		confirmed, missing = again, min(holdersTold, len(holders))
	}
	e.logTooFew(r, missing)
}

func (e *Edge) logTooFew(r builds.Record, missing int) {
	e.log.Info().Str("Request", string(r.Origin)).Str("Build", string(r.Build)).Int("Missing", missing).Msg("too few holders told of a stream")
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
