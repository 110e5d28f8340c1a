package edge

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"crocuslug/builds"
	"crocuslug/ident"
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
	maxRetold         = 64                     // streams that are told of again at the same time
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

// handleFindOrigin answers findOriginMethod.
func (e *Edge) handleFindOrigin(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var q findOriginRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	return e.builds.Find(q.Origin, q.Service, e.timer.Now()), nil
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
	if !several && e.inSync(now) {
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
	origin = builds.OriginOf(origin)
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
