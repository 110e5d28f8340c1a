package dispatch

import (
	"context"
	"errors"
	"time"

	"crocuslug/canary"
	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/routing"
	"crocuslug/work"
)

// Delivery limits which builds get attempts while a service is moved to another build, see package canary.
// Fields that are nil allow all builds and record nothing.
type Delivery struct {
	// InProgress reports whether a service is being moved.
	InProgress func(s ident.Service) bool
	// Choose returns which upstreams the next attempt of new work may be sent to, and the new build. It may
	// be asked again for the same attempt while that waits, and by attempts that are not sent.
	Choose func(s ident.Service, now time.Time) (canary.Choice, ident.Build)
	// Ended returns the build that a service was moved to whose other upstreams stop, and false if there are
	// none that stop.
	Ended func(s ident.Service) (to ident.Build, ended bool)
	// Allowed reports whether an attempt that must stay at a build may be sent to it.
	Allowed func(s ident.Service, b ident.Build, now time.Time) bool
	// Sent records an attempt that is sent to an upstream of a build. It is called when an upstream of the
	// new build is chosen, so that attempts at the same time do not use the same share of it, and when
	// there is a connection to one of another build.
	Sent func(s ident.Service, b ident.Build, now time.Time)
	// Observe records an answer, or the failure of one, with its latency to the first piece or to the answer. A
	// stream that breaks off after its first piece is recorded twice: its first piece must count before it ends.
	Observe func(s ident.Service, route string, b ident.Build, bad bool, latency time.Duration, now time.Time)
}

// withDefaults returns a Delivery without nil fields.
func (v Delivery) withDefaults() Delivery {
	if v.InProgress == nil {
		v.InProgress = func(ident.Service) bool { return false }
	}
	if v.Choose == nil {
		v.Choose = func(ident.Service, time.Time) (canary.Choice, ident.Build) { return canary.AnyBuild, "" }
	}
	if v.Ended == nil {
		v.Ended = func(ident.Service) (ident.Build, bool) { return "", false }
	}
	if v.Allowed == nil {
		v.Allowed = func(ident.Service, ident.Build, time.Time) bool { return true }
	}
	if v.Sent == nil {
		v.Sent = func(ident.Service, ident.Build, time.Time) {}
	}
	if v.Observe == nil {
		v.Observe = func(ident.Service, string, ident.Build, bool, time.Duration, time.Time) {}
	}
	return v
}

// side is which builds may get an attempt of new work. The zero value allows all.
type side struct {
	only    ident.Build // if set, no other build
	exclude ident.Build // if set, not this build
	prefer  ident.Build // if set, this build if it takes the attempt
	to      ident.Build // the new build, "" if there is none
}

// wanted returns the build that an attempt is limited to, nil if it is not. kept is the build at which the
// rest of an answer must be produced, or nil.
func (s side) wanted(kept *ident.Build) *ident.Build {
	if kept == nil && s.only != "" {
		return &s.only
	}
	return kept
}

// wantedBuild returns the build that the current attempt is limited to, or nil.
func (a *attempts) wantedBuild() *ident.Build { return a.side.wanted(a.build) }

// sideOf returns which builds may get an attempt. kept is the build at which the rest of the answer must be
// produced, or nil; such an attempt is no new work.
func (d *Dispatcher) sideOf(w *work.Work, kept *ident.Build, now time.Time) side {
	service := w.Service.Name
	if kept != nil {
		return side{}
	}
	if to, ended := d.endedAt(service); ended {
		return side{only: to}
	}
	choice, to := d.delivery.Choose(service, now)
	switch choice {
	case canary.FormerBuilds:
		if !d.fleet.HasBuildBesides(service, to) && d.delivery.Allowed(service, to, now) {
			return side{to: to}
		}
		return side{exclude: to, to: to}
	case canary.NewBuild:
		return side{prefer: to, to: to}
	}
	return side{}
}

// endedAt returns the build to which the service was moved, if its other upstreams stop and it has one that can
// be used.
func (d *Dispatcher) endedAt(s ident.Service) (ident.Build, bool) {
	to, ended := d.delivery.Ended(s)
	return to, ended && d.fleet.HasOther(s, &to, "", nil)
}

// mayUse reports whether a request may be sent to u as far as its build is concerned.
func (d *Dispatcher) mayUse(u directory.Upstream, now time.Time) bool {
	return d.mayUseBuild(u.Service, u.Build, now)
}

func (d *Dispatcher) mayUseBuild(s ident.Service, b ident.Build, now time.Time) bool {
	if !d.delivery.Allowed(s, b, now) {
		return false
	}
	to, ended := d.endedAt(s)
	return !ended || b == to
}

// checkDelivery refuses the rest of an answer whose build gets no more requests.
func (d *Dispatcher) checkDelivery(a *attempts, now time.Time) *result.Error {
	if a.build == nil || *a.build == "" || d.mayUseBuild(a.w.Service.Name, *a.build, now) {
		return nil
	}
	d.meters.Count("Origins.Gone", 1)
	e := d.refuse(a, result.BuildGone, "software version "+string(*a.build)+" gets no more requests")
	e.RetryAfter = 0 // the caller would get the same answer
	return e
}

// pickPlace picks the upstream of a queued stream.
func (d *Dispatcher) pickPlace(request fleet.PickRequest, s side, now time.Time) (directory.Upstream, routing.Kind) {
	request.Build, request.ExcludeBuild = s.wanted(request.Build), s.exclude
	if s.prefer != "" && request.Build == nil {
		narrowed := request
		narrowed.Build = &s.prefer
		if u, kind := d.fleet.Pick(narrowed, now); kind == routing.Send {
			return u, kind
		}
	}
	return d.fleet.Pick(request, now)
}

// countChosen records an attempt for which an upstream of the new build was chosen, and reports whether it did.
func (d *Dispatcher) countChosen(w *work.Work, s side, u directory.Upstream, now time.Time) bool {
	if s.to == "" || u.Build != s.to {
		return false
	}
	d.delivery.Sent(w.Service.Name, u.Build, now)
	return true
}

// observe records an answer of u, as it was registered when it was chosen.
func (d *Dispatcher) observe(a *attempts, u directory.Upstream, bad bool, latency time.Duration, now time.Time) {
	d.delivery.Observe(a.w.Service.Name, a.w.Route.Name, d.answeringBuild(u), bad, latency, now)
}

// observeLost records an attempt of a stream that failed, unless its caller has left. A stream without a first
// piece at its deadline counts as well.
func (d *Dispatcher) observeLost(ctx context.Context, s *stream, u directory.Upstream, v sendFailure, took time.Duration) {
	switch {
	case ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded) && !s.gotPiece:
		v = timeLimitPassed
	default:
		return
	}
	if s.gotPiece {
		took = s.firstPieceAfter
	}
	d.observeFailure(&s.attempts, u, v, took)
}

// observeFailure records that u did not give a whole answer, if that tells about its build. Upstreams of all builds
// crash or are cut off, so a lost connection and silence count only if u answers a probe afterwards.
func (d *Dispatcher) observeFailure(a *attempts, u directory.Upstream, v sendFailure, took time.Duration) {
	if !d.delivery.InProgress(a.w.Service.Name) {
		return
	}
	switch v.cause {
	case unsigned, ambiguous:
		d.observe(a, u, true, took, d.timer.Now())
	case broken, incorrect, silent, timedOut:
		if !v.mayHaveRun {
			return // no connection was made in time
		}
		if d.protocol.ProbePath == "" {
			d.observe(a, u, true, took, d.timer.Now())
			return
		}
		service, route := a.w.Service.Name, a.w.Route.Name
		go func() {
			err := d.probe(context.Background(), u, d.timer.Now())
			if now, ok := d.fleet.Upstream(u.ID); err == nil && ok && now.Born == u.Born {
				d.delivery.Observe(service, route, u.Build, true, took, d.timer.Now())
			}
		}()
	}
}
