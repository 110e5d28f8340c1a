package dispatch

import (
	"context"
	"time"

	"crocuslug/builds"
	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/unit"
	"crocuslug/work"
)

// buildFor returns the build at which what an upstream of the given build has begun may go on, or nil
// if the service has one build only.
func (d *Dispatcher) buildFor(service ident.Service, build ident.Build, now time.Time) *ident.Build {
	if build == "" && !d.builds.Several(service, now) {
		return nil
	}
	return &build
}

// findBuild finds the build of a stream whose caller already has pieces of it, or refuses the stream.
func (d *Dispatcher) findBuild(ctx context.Context, s *stream) *result.Error {
	if !s.w.Resumes || s.w.LastPiece == 0 {
		return nil
	}
	build, found := d.findOrigin(ctx, s.w)
	if !found {
		d.meters.Count("Origins.Unknown", 1)
		return d.refuse(&s.attempts, result.BuildUnknown, "the software version that began the stream is not known")
	}
	s.build, s.keepsBuild = build, build != nil
	return d.checkBuild(&s.attempts, d.timer.Now())
}

// checkBuild refuses a stream that no upstream can go on with, because those of its build have left.
func (d *Dispatcher) checkBuild(a *attempts, now time.Time) *result.Error {
	service := a.w.Service.Name
	switch {
	case a.build == nil || !d.builds.Several(service, now):
		return nil
	case *a.build == "":
		d.meters.Count("Origins.Unknown", 1)
		return d.refuse(a, result.BuildUnknown, "the software version that began the stream is not known")
	case d.builds.Serving(service, *a.build, now):
		return nil
	}
	d.meters.Count("Origins.Gone", 1)
	e := d.refuse(a, result.BuildGone, "no upstream of software version "+string(*a.build)+" is left")
	e.RetryAfter = 0 // the caller would get the same answer
	return e
}

// originOf returns the attempt of the caller that brings or brought the first piece of a stream.
func originOf(w *work.Work) ident.Request {
	if w.Resumes && w.LastPiece > 0 && w.Origin != "" {
		return w.Origin
	}
	return w.ID
}

// tellBuild tells other instances the build of the upstream that may begin the stream, if the service
// has several. It does not wait until they know it.
func (d *Dispatcher) tellBuild(s *stream, u directory.Upstream) {
	s.told = nil
	if s.keepsBuild || u.Build == "" || !s.w.Route.Resumable || !d.builds.Several(s.w.Service.Name, d.timer.Now()) {
		return
	}
	remaining := unit.Duration(s.w.Deadline.Sub(d.timer.Now()))
	s.told = d.tellOrigin(builds.Record{Origin: originOf(s.w), Service: s.w.Service.Name, Build: u.Build, Remaining: remaining})
	d.meters.Count("Origins.Told", 1)
}

// keepBuild fixes the build of a stream that has received its first piece, and waits until other
// instances know it.
func (d *Dispatcher) keepBuild(ctx context.Context, s *stream, id ident.Upstream) {
	build := s.sentTo.Build
	// A connection does not outlast the process that accepted it, so that an upstream that has
	// started again since it was chosen wrote the piece after that.
	if u, ok := d.fleet.Upstream(id); ok && u.Born != s.sentTo.Born {
		build = u.Build
	}
	s.build, s.keepsBuild = d.buildFor(s.w.Service.Name, build, d.timer.Now()), true
	if s.told == nil {
		return
	}
	began := d.timer.Now()
	select {
	case <-s.told:
	case <-ctx.Done():
	}
	d.meters.Observe("OriginToldUs", d.timer.Now().Sub(began))
}
