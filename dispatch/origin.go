package dispatch

import (
	"context"
	"sync"
	"time"

	"crocuslug/builds"
	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/result"
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
	if refusal := d.checkDelivery(a, now); refusal != nil {
		return refusal
	}
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

// originOf returns the name of a stream: the attempt of the caller that brings or brought its first piece, see
// builds.OriginOf.
func originOf(w *work.Work) ident.Request {
	if w.Resumes && w.LastPiece > 0 && w.Origin != "" {
		return builds.OriginOf(w.Origin)
	}
	return builds.OriginOf(w.ID)
}

// setBuild sets the build at which the rest of the answer must be produced, while probes may read it.
func (s *stream) setBuild(build *ident.Build) {
	s.buildMu.Lock()
	defer s.buildMu.Unlock()
	s.build = build
}

// currentBuild returns that build. The goroutine of the stream, which alone sets it, reads the field.
func (s *stream) currentBuild() *ident.Build {
	s.buildMu.Lock()
	defer s.buildMu.Unlock()
	return s.build
}

// answeringBuild returns the build of u, as it was registered when it was chosen, that writes its answer. A
// connection does not outlast the process that accepted it, so that an upstream that has started again
// since it was chosen writes the answer after that.
func (d *Dispatcher) answeringBuild(u directory.Upstream) ident.Build {
	if now, ok := d.fleet.Upstream(u.ID); ok && now.Born != u.Born {
		return now.Build
	}
	return u.Build
}

// keepBuild fixes the build of a stream that has received its first piece. If the service has several, it
// waits until other instances know the build. They are told no earlier: an attempt may fail before its
// first piece and the next one begin at another build, and a holder that missed the correction would
// name the wrong one.
func (d *Dispatcher) keepBuild(ctx context.Context, s *stream) {
	build := d.answeringBuild(s.sentTo)
	now, service := d.timer.Now(), s.w.Service.Name
	s.setBuild(d.buildFor(service, build, now))
	s.keepsBuild = true
	if build == "" || !s.w.Route.Resumable {
		return
	}
	record := builds.Record{Origin: originOf(s.w), Service: service, Build: build}
	if !d.builds.Several(service, now) {
		d.untold.add(s, record)
		return
	}
	d.meters.Count("Origins.Told", 1)
	select {
	case <-d.tellOrigin(record):
	case <-ctx.Done():
	}
	d.meters.Observe("OriginToldUs", d.timer.Now().Sub(now))
}

// untold holds the streams in progress whose holders were not told, because their service had one
// build when they began.
type untold struct {
	mu      sync.Mutex
	records map[*stream]builds.Record
}

func (u *untold) add(s *stream, r builds.Record) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.records[s] = r
}

func (u *untold) remove(s *stream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.records, s)
}

// take removes and returns up to n records of services for which several is true.
func (u *untold) take(n int, several func(ident.Service) bool) []builds.Record {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []builds.Record
	for s, r := range u.records {
		if len(out) == n {
			break
		}
		if several(r.Service) {
			out = append(out, r)
			delete(u.records, s)
		}
	}
	return out
}

// maxToldPerTick is the number of streams in progress whose holders are told in one Tick after a second
// build has become known. An instance has some hundreds of them.
const maxToldPerTick = 50

// tellUntold tells holders of the streams that began before their service got a second build. The
// instances that could state the only build of that time may end one after the other in a rollout.
func (d *Dispatcher) tellUntold(now time.Time) {
	list := d.untold.take(maxToldPerTick, func(s ident.Service) bool { return d.builds.Several(s, now) })
	for _, r := range list {
		d.tellOrigin(r)
	}
	if len(list) > 0 {
		d.meters.Count("Origins.ToldLater", len(list))
		d.log.Info().Int("Streams", len(list)).Msg("holders told of streams that began before the second software version")
	}
}
