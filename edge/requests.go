package edge

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"crocuslug/directory"
	"crocuslug/dispatch"
	"crocuslug/ident"
	"crocuslug/ingress"
	"crocuslug/prefix"
	"crocuslug/result"
	"crocuslug/work"
)

// Bounds of a request that names none.
const (
	defaultPatience = 30 * time.Second
	// unconfigured is when a caller may come back to an instance that has no
	// configuration yet.
	unconfigured = 500 * time.Millisecond
	// elsewhere is when a caller may come back, to another instance.
	elsewhere = 20 * time.Millisecond
)

// limits returns the limits in force.
func (e *Edge) limits() directory.Limits {
	if d := e.current.Load(); d != nil {
		return d.Limits
	}
	return directory.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

func (e *Edge) rejected(caller string, status int) {
	e.meters.Count("Rejected."+http.StatusText(status), 1)
	e.log.Info().Str("Caller", caller).Int("Status", status).Msg("request could not be read")
}

// handle answers one request.
func (e *Edge) handle(c *ingress.Call) {
	desc := e.ports.Describe(c.Request.Header)
	d := e.current.Load()
	if d == nil {
		e.fail(c, &desc, 0, result.New(result.ConfigurationMissing, "no configuration is known yet").After(unconfigured))
		return
	}
	w, refusal := e.work(c, d, &desc)
	if refusal != nil {
		e.fail(c, &desc, d.Version, refusal)
		return
	}
	e.log.Info().Str("Request", string(w.ID)).Str("Route", w.Route.Name).Stringer("Kind", w.Route.Kind).Str("Service", string(w.Service.Name)).
		Str("Workspace", string(w.Workspace)).Uint64("Configuration", d.Version).Dur("ConfigurationAgeMs", c.Arrived.Sub(d.since)).
		Dur("LimitMs", w.Deadline.Sub(c.Arrived)).Uint64("Content", w.Fingerprint).Msg("request taken")
	if w.Route.Kind == directory.Streaming && e.late(c.Arrived) {
		e.fail(c, &desc, d.Version, result.New(result.InstanceLeaving, "this instance ends before the stream would").After(elsewhere))
		return
	}
	if w.Route.Kind == directory.Streaming {
		e.stream(c, d, w, &desc)
		return
	}
	reply, refusal := e.dispatcher.Call(c.Context(), w)
	switch {
	case refusal != nil:
		e.meters.Count("Service."+string(w.Service.Name)+".Refused", 1)
		e.fail(c, &desc, d.Version, refusal)
	case reply != nil:
		e.reply(c, w, reply)
	}
}

// work finds out what a request asks for and whether it may.
func (e *Edge) work(c *ingress.Call, d *inForce, desc *work.Description) (*work.Work, *result.Error) {
	path := c.Request.RequestURI
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	route := d.Route(hostOf(c.Request.Host), path)
	if route == nil {
		return nil, result.Newf(result.NotFound, "no route of host %q matches path %q", c.Request.Host, path)
	}
	var workspace ident.Workspace
	priority := route.Priority
	if !route.Public && len(d.Workspaces) > 0 {
		holder := d.Workspace(desc.Key)
		if holder == nil {
			return nil, result.Newf(result.Unauthorized, "the key is held by no workspace of configuration %d", d.Version)
		}
		workspace = holder.Name
		if holder.HasPriority {
			priority = holder.Priority
		}
	}
	name := route.ChooseService(randomSeed())
	service := d.Service(name)
	if service == nil {
		service = &directory.Service{Name: name}
	}
	patience := defaultPatience
	if desc.HasMaxWait {
		patience = desc.MaxWait
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	return &work.Work{
		ID:           desc.ID,
		Route:        route,
		Service:      service,
		Workspace:    workspace,
		Deadline:     c.Arrived.Add(patience),
		Fingerprint:  fingerprint(workspace, c),
		PromptTokens: desc.PromptTokens,
		Tokens:       desc.Tokens,
		Blocks:       prefix.Chain(desc.Model, desc.Parts),
		Sizes:        sizes(desc.Parts),
		LastPiece:    desc.LastPiece,
		Resumes:      desc.Resumes,
		Priority:     priority,
		Method:       c.Request.Method,
		Target:       c.Request.RequestURI,
		Host:         c.Request.Host,
		Header:       e.ports.Forwarded(c.Request.Header),
		Body:         c.Body,
	}, nil
}

// sizes returns the tokens of each part of a prompt.
func sizes(parts []prefix.Part) []int {
	out := make([]int, 0, len(parts))
	for _, p := range parts {
		out = append(out, p.Tokens)
	}
	return out
}

// hostOf returns a host without its port.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// fingerprint is the same for the same content of the same workspace.
func fingerprint(w ident.Workspace, c *ingress.Call) uint64 {
	h := xxh3.New()
	for _, s := range []string{string(w), "\n", c.Request.Host, c.Request.RequestURI, "\n"} {
		_, _ = h.WriteString(s) // a hash takes all
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// stream passes on an answer piece by piece.
func (e *Edge) stream(c *ingress.Call, d *inForce, w *work.Work, desc *work.Description) {
	first := true
	reply, begun, refusal := e.dispatcher.Stream(c.Context(), w, dispatch.Sink{
		Begin: func(status int, h http.Header) error {
			e.meters.Observe("FirstPieceUs", e.timer.Now().Sub(c.Arrived))
			return c.Begin(status, e.ports.Returned(h))
		},
		Piece: func(raw []byte) error {
			if !first {
				e.meters.Count("Pieces", 1)
			}
			first = false
			return c.Piece(raw)
		},
		End: func() error {
			e.answered(w, http.StatusOK, e.timer.Now().Sub(c.Arrived))
			return c.End()
		},
	})
	if refusal != nil {
		e.meters.Count("Service."+string(w.Service.Name)+".Refused", 1)
	}
	switch {
	case reply != nil:
		e.reply(c, w, reply)
	case refusal != nil && begun:
		e.meters.Count("StreamsCut", 1)
		e.log.Warn().Str("Request", string(w.ID)).Str("Reason", refusal.Detail).Msg("stream cut")
	case refusal != nil:
		e.fail(c, desc, d.Version, refusal)
	}
}

// reply passes on a whole answer.
func (e *Edge) reply(c *ingress.Call, w *work.Work, r *dispatch.Reply) {
	e.answered(w, r.Status, e.timer.Now().Sub(c.Arrived))
	if err := c.Answer(r.Status, e.ports.Returned(r.Header), r.Body); err != nil {
		e.log.Info().Str("Request", string(w.ID)).Err(err).Msg("the caller did not take the answer")
	}
}

// fail answers a request with a failure of the system's own.
func (e *Edge) fail(c *ingress.Call, desc *work.Description, version uint64, refusal *result.Error) {
	status := statusOf(refusal)
	e.meters.Count("Refused."+refusal.Code.String(), 1)
	e.log.Info().Str("Request", string(desc.ID)).Int("Status", status).Str("Code", refusal.Code.String()).Str("Run", string(refusal.Run)).
		Str("Reason", refusal.Detail).Uint64("Configuration", version).Dur("RetryAfterMs", refusal.RetryAfter).
		Dur("TookMs", e.timer.Now().Sub(c.Arrived)).Msg("refused")
	if err := c.Answer(status, refusalHeader(refusal.RetryAfter), nil); err != nil {
		e.log.Info().Str("Request", string(desc.ID)).Err(err).Msg("the caller did not take the answer")
	}
}

// refusalHeader says when to come back, if that makes sense.
func refusalHeader(after time.Duration) http.Header {
	h := http.Header{}
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	return h
}

// statusOf returns the status of a failure. Only a request that has not run and
// never will is answered with one that says so.
func statusOf(r *result.Error) int {
	switch {
	case r.Code == result.NotFound || r.Code == result.Unauthorized:
		return r.Code.Info().Status
	case r.Run == result.RunNot:
		return http.StatusServiceUnavailable
	case r.Code == result.DeadlineInfeasible:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
