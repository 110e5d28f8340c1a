package dispatch

import (
	"fmt"
	"time"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/routing"
)

// pickRequest returns what the Fleet needs to pick the upstream of the next attempt.
func (d *Dispatcher) pickRequest(a *attempts, now time.Time) fleet.PickRequest {
	return fleet.PickRequest{
		Service: a.w.Service.Name, Tokens: a.w.Tokens, Blocks: a.w.Blocks, Sizes: a.w.Sizes,
		Exclude: d.unavailable(a, now), Build: a.wantedBuild(), ExcludeBuild: a.side.exclude, ExcludeDomain: a.lostDomain, RequireIdle: a.requireIdle, UnreadTokens: a.w.PromptTokens, Claim: a.claim, Yields: a.yields,
	}
}

// pick chooses the upstream of the next attempt, whatever the backlogs of the upstreams.
func (d *Dispatcher) pick(a *attempts, now time.Time) (directory.Upstream, *result.Error) {
	u, refusal, _ := d.pickWithin(a, 0, now)
	return u, refusal
}

// pickWithin chooses the upstream of the next attempt. If backlog is positive and all
// upstreams are full or have more prompts to read than that, it reports busy. If backlog is
// 0, a full upstream is chosen if there is no other.
func (d *Dispatcher) pickWithin(a *attempts, backlog time.Duration, now time.Time) (u directory.Upstream, refusal *result.Error, busy bool) {
	if refusal := d.checkContent(a, now); refusal != nil {
		return directory.Upstream{}, refusal, false
	}
	if refusal := d.checkRests(a, now); refusal != nil {
		return directory.Upstream{}, refusal, false
	}
	request := d.pickRequest(a, now)
	request.MaxBacklog = backlog
	u, kind := d.pickWithPermit(request, a.side, a.lostDomain, now)
	switch {
	case kind == routing.Send:
		a.counted = d.countChosen(a.w, a.side, u, now)
		return u, nil, false
	case kind == routing.Wait && backlog > 0:
		return directory.Upstream{}, nil, true
	}
	if usable, blocked := d.blocked(a, now); len(blocked) > 0 && len(blocked) == len(usable) {
		return directory.Upstream{}, d.refuseAtLimit(a, blocked, now), false
	}
	if refusal := d.checkBuild(a, now); refusal != nil {
		return directory.Upstream{}, refusal, false
	}
	n := d.fleet.Count(a.w.Service.Name)
	detail := fmt.Sprintf("no upstream of service %q accepts the request: %d registered, %d leaving, %d out, %d replaced, %d excluded",
		a.w.Service.Name, n.Registered, n.Leaving, n.Out, n.Replaced, len(request.Exclude))
	return directory.Upstream{}, d.refuse(a, result.NoUpstream, detail), false
}

// pickWithPermit picks an upstream and uses a permit for it, if it has a limit. If another request has
// used the last one meanwhile, it picks another upstream.
func (d *Dispatcher) pickWithPermit(request fleet.PickRequest, s side, avoid ident.Domain, now time.Time) (directory.Upstream, routing.Kind) {
	if u, ok := d.pickStale(request, now); ok {
		return u, routing.Send
	}
	for {
		u, kind := d.pickSide(request, s, avoid, now)
		if kind != routing.Send || d.takePermit(u.ID, request.Claim, request.UnreadTokens, now) {
			return u, kind
		}
		request.Exclude = append(request.Exclude, u.ID)
	}
}

// pickSide picks an upstream of the preferred build, or any if none of that build takes the request.
func (d *Dispatcher) pickSide(request fleet.PickRequest, s side, avoid ident.Domain, now time.Time) (directory.Upstream, routing.Kind) {
	if s.prefer != "" && request.Build == nil {
		narrowed := request
		narrowed.Build = &s.prefer
		if u, kind := d.pickOutside(narrowed, avoid, now); kind == routing.Send {
			return u, kind
		}
	} else if preferred := d.prefer(request.Service); preferred != nil && request.Build == nil {
		narrowed := request
		narrowed.Build = preferred
		if u, kind := d.fleet.Pick(narrowed, now); kind == routing.Send {
			return u, kind
		}
	}
	u, kind := d.pickOutside(request, avoid, now)
	if kind == routing.Wait && request.MaxBacklog == 0 {
		request.AllowFull, request.ExcludeDomain = true, ""
		u, kind = d.fleet.Pick(request, now)
	}
	return u, kind
}

// pickOutside picks an upstream outside a failure domain, or in it if there is no other.
func (d *Dispatcher) pickOutside(request fleet.PickRequest, avoid ident.Domain, now time.Time) (directory.Upstream, routing.Kind) {
	u, kind := d.fleet.Pick(request, now)
	if kind != routing.Send && avoid != "" {
		request.ExcludeDomain = ""
		u, kind = d.fleet.Pick(request, now)
	}
	return u, kind
}
