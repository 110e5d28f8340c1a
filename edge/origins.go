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
	"crocuslug/work"
)

// Methods by which instances tell and ask each other at which build a stream began.
const (
	tellOriginMethod  = "Edge.TellOrigin"
	findOriginMethod  = "Edge.FindOrigin"
	holdOriginsMethod = "Edge.HoldOrigins" // hands over what a leaving holder knows
)

// Holders of a stream, see package builds. More are asked than were told, because the instances that
// this one knows may have changed since, and because the one that told is none of those it told.
const (
	holdersTold       = 3
	holdersAsked      = 6
	maxHoldersTold    = 2 // in one failure domain
	maxHoldersAsked   = 3
	tellOriginTimeout = 100 * time.Millisecond // for which the first piece of a stream waits at most
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
		for _, id := range e.holdersOf(r.Origin, false, holdersTold, maxHoldersTold) {
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

// tellOrigin records at which build a stream begins and tells its holders. The channel is closed once
// they know it, or after tellOriginTimeout.
func (e *Edge) tellOrigin(r builds.Record) <-chan struct{} {
	e.builds.Record(r, e.timer.Now())
	told := make(chan struct{})
	holders := e.holdersOf(r.Origin, false, holdersTold, maxHoldersTold)
	var calls sync.WaitGroup
	for _, id := range holders {
		calls.Add(1)
		e.tasks.Go(func() {
			defer calls.Done()
			ctx, cancel := context.WithTimeout(e.ctx, tellOriginTimeout)
			defer cancel()
			if err := e.link.Call(ctx, id, tellOriginMethod, r, nil); err != nil {
				e.meters.Count("Origins.Untold", 1)
				e.log.Info().Str("Request", string(r.Origin)).Str("Peer", string(id)).Str("Build", string(r.Build)).Err(err).Msg("holder of a stream not told")
			}
		})
	}
	e.tasks.Go(func() {
		defer close(told)
		calls.Wait()
	})
	return told
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
	if !e.builds.Several(service, now) && e.knowsBuilds(now) {
		only := e.builds.Only(service) // others may register before an upstream is chosen
		return &only, only != ""
	}
	if own := e.builds.Find(w.Origin, service, now); own.Known || w.Origin == "" {
		e.logOrigin(w, own.Build, own.Known, 0, 0, now)
		return &own.Build, own.Known
	}
	holders := e.holdersOf(w.Origin, true, holdersAsked, maxHoldersAsked)
	ctx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	answers := make(chan builds.Statement, len(holders))
	for _, id := range holders {
		e.tasks.Go(func() { answers <- e.askOrigin(ctx, id, findOriginRequest{w.Origin, service}) })
	}
	var statements []builds.Statement
collect:
	for range holders {
		select {
		case s := <-answers:
			statements = append(statements, s)
			if s.Known {
				break collect
			}
		case <-ctx.Done():
			break collect
		}
	}
	e.meters.Count("Origins.Asked", 1)
	build, found := builds.Conclude(statements, len(holders))
	e.logOrigin(w, build, found, len(holders), len(statements), now)
	return &build, found
}

// askOrigin asks an instance, which may be this one, for the build of a stream.
func (e *Edge) askOrigin(ctx context.Context, id ident.Instance, q findOriginRequest) builds.Statement {
	if id == e.self {
		return e.builds.Find(q.Origin, q.Service, e.timer.Now())
	}
	var s builds.Statement
	if err := e.link.Call(ctx, id, findOriginMethod, q, &s); err != nil {
		e.log.Debug().Str("Peer", string(id)).Str("Origin", string(q.Origin)).Err(err).Msg("holder of a stream did not answer")
		return builds.Statement{}
	}
	return s
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

// holdersOf returns the holders of a stream: the first n instances by rendezvous hashing of its
// origin, at most perDomain of each failure domain if there are several. With asked, they are chosen
// among this instance and all that may live; an instance that has just started has heard of few. Else
// they are chosen among the other instances that live.
func (e *Edge) holdersOf(origin ident.Request, asked bool, n, perDomain int) []ident.Instance {
	now := e.timer.Now()
	domains := make(map[ident.Instance]ident.Domain)
	several := false
	e.mu.Lock()
	for id, p := range e.peers {
		if e.peerAlive(p, now) || asked && e.unheard(p, now) {
			domains[id] = p.domain
			several = several || p.domain != e.cfg.Domain
		}
	}
	e.mu.Unlock()
	if asked {
		domains[e.self] = e.cfg.Domain
	}
	members := make([]ident.Instance, 0, len(domains))
	for id := range domains {
		members = append(members, id)
	}
	var out []ident.Instance
	in := make(map[ident.Domain]int)
	for _, id := range rendezvous.Order(string(origin), members) {
		if len(out) == n {
			break
		}
		if several && in[domains[id]] >= perDomain {
			continue
		}
		in[domains[id]]++
		out = append(out, id)
	}
	return out
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
