package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/pieces"
	"crocuslug/result"
	"crocuslug/silence"
	"crocuslug/work"
)

// stream is one answer of numbered pieces on its way to a caller.
type stream struct {
	attempts
	sink     Sink
	begun    bool   // the caller has got the head
	last     uint64 // number of the last piece delivered
	resumes  bool   // the next leg starts after last
	keeper   *keeper
	gaps     *silence.Detector
	patience time.Duration  // longest wait between pieces
	at       ident.Upstream // of the last leg
	lost     time.Time      // when the leg was lost that the last piece came from; zero if the stream is well
	held     bool           // it has waited for an upstream
	whole    *Reply         // an answer that is no stream, to be passed on whole
}

// errCaller marks a failure to write to the caller.
var errCaller = errors.New("caller does not take the answer")

// Stream sends a request whose answer is passed on piece by piece. An answer
// that is no success is returned whole. Without reply and error the stream was
// passed on to its end, or the caller has gone. After an error with begun the
// caller has part of an answer, which must not look whole.
func (d *Dispatcher) Stream(ctx context.Context, w *work.Work, sink Sink) (reply *Reply, begun bool, refusal *result.Error) {
	d.budgetOf(w.Service.Name).AddRequest()
	s := &stream{attempts: attempts{w: w}, sink: sink, last: w.After, resumes: w.Resumes, keeper: newKeeper(d, w)}
	s.gaps, s.patience = d.detector(w)
	defer d.unhold(s)
	ctx, cancel := d.until(ctx, w.Deadline)
	defer cancel()
	var kept *work.Copy // of the run that was lost
	for {
		now := d.timer.Now()
		if w.Deadline.Sub(now) < d.cfg.MinRemaining {
			return nil, s.begun, d.refuse(&s.attempts, result.DeadlineInfeasible, "no time is left")
		}
		u, from, refusal := d.next(ctx, s, kept, now)
		if d.holds(s, refusal, now) {
			if !d.pause(ctx, resumePoll) {
				return nil, s.begun, d.left(ctx, s)
			}
			kept = nil
			continue
		}
		if refusal != nil || ctx.Err() != nil {
			return nil, s.begun, refusal
		}
		now = d.timer.Now() // the turn may have come late
		s.made++
		s.at = u.ID
		d.sent(s, from)
		d.suspects.RequestPlaced(now, u.ID, w.Fingerprint)
		forget := d.prompts.add(u.ID, w.Blocks)
		v, done := d.leg(ctx, s, u, from, now)
		forget()
		d.suspects.RequestRemoved(u.ID, w.Fingerprint)
		end := d.timer.Now()
		kept = s.keeper.end(end, done)
		switch {
		case done:
			d.fleet.ReportEnd(u.ID, fleet.Served, 0, end)
			d.suspects.Completed(w.Fingerprint)
			d.log.Info().Str("Request", string(w.ID)).Str("Upstream", string(u.ID)).Int("Attempt", s.made).
				Uint64("LastPiece", s.last).Dur("TookMs", end.Sub(now)).Msg("stream ended")
			return s.whole, s.begun, nil
		case ctx.Err() != nil || v.reason == errCaller.Error():
			d.fleet.ReportEnd(u.ID, fleet.Abandoned, 0, end)
			s.runs++
			return nil, s.begun, d.left(ctx, s)
		}
		d.note(&s.attempts, u, v, now, end)
		if s.lost.IsZero() {
			s.lost = end
		}
		if v.ran {
			d.crashed(&s.attempts, u, now, end)
		}
		if !w.Route.Repeatable() && s.runs > 0 {
			return nil, s.begun, d.refuse(&s.attempts, result.UpstreamFailed, "the stream broke off and may not go on")
		}
		refusal = d.mayRetry(&s.attempts, end, v.ran || v.unsent())
		switch {
		case d.holds(s, refusal, end):
			if !d.pause(ctx, resumePoll) {
				return nil, s.begun, d.left(ctx, s)
			}
		case refusal != nil:
			return nil, s.begun, refusal
		}
	}
}

// resumePoll is the time between two looks for an upstream of a lost stream.
const resumePoll = 100 * time.Millisecond

// holds reports whether a stream waits for an upstream although there is none
// now. Its run was lost with its engine, so the caller cannot be told that
// nothing has run, and has no second place to go on at: all of the service's
// upstreams are away, and those that crashed are back in moments.
func (d *Dispatcher) holds(s *stream, refusal *result.Error, now time.Time) bool {
	if refusal == nil || refusal.Code != result.NoUpstream || s.runs == 0 || s.runs >= d.cfg.Sends || now.Sub(s.lost) >= d.cfg.ResumeWait {
		return false
	}
	if !s.held {
		d.meters.Count("StreamsWaited", 1)
		d.wait(s.w.Service.Name, 1)
		d.log.Info().Str("Request", string(s.w.ID)).Uint64("LastPiece", s.last).Str("Reason", refusal.Detail).Msg("stream waits for an upstream")
	}
	s.held = true
	s.paced = now.Sub(s.lost) < d.cfg.PacedFor
	s.again()
	return true
}

// unhold notes that a stream waits no longer.
func (d *Dispatcher) unhold(s *stream) {
	if s.held {
		d.wait(s.w.Service.Name, -1)
	}
	s.held, s.paced = false, false
}

// pause waits and reports whether ctx goes on.
func (d *Dispatcher) pause(ctx context.Context, wait time.Duration) bool {
	over := make(chan struct{})
	sub := d.timer.After(wait, func(time.Time) { close(over) })
	defer sub.Stop()
	select {
	case <-over:
		return true
	case <-ctx.Done():
		return false
	}
}

// left ends a stream whose time is over, which is a failure, or whose caller
// has gone.
func (d *Dispatcher) left(ctx context.Context, s *stream) *result.Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return d.refuse(&s.attempts, result.DeadlineInfeasible, "no time is left")
	}
	d.log.Info().Str("Request", string(s.w.ID)).Str("Upstream", string(s.at)).Uint64("LastPiece", s.last).Msg("caller left")
	return nil
}

// detector returns the judge of silence for a request, and the longest silence
// between pieces whatever the judge says.
func (d *Dispatcher) detector(w *work.Work) (*silence.Detector, time.Duration) {
	least, most := d.cfg.Gap, 2*d.cfg.Gap
	if target := float64(w.Route.TargetGap); target > 0 {
		least, most = time.Duration(d.cfg.GapShare*target), time.Duration(d.cfg.MostGapShare*target)
	}
	return silence.New(silence.Settings{FirstFloor: d.cfg.FirstPiece, GapFloor: least, Ceiling: d.cfg.FirstPiece}), most
}

// next chooses where the stream starts or goes on: where a copy is, or anywhere.
func (d *Dispatcher) next(ctx context.Context, s *stream, kept *work.Copy, now time.Time) (directory.Upstream, *work.Copy, *result.Error) {
	if refusal := d.screen(&s.attempts, now); refusal != nil {
		return directory.Upstream{}, nil, refusal
	}
	if kept != nil && !d.fleet.MemoryLost(kept.Holder, now) {
		if u, ok := d.fleet.Reserve(kept.Holder, now); ok && u.Address == kept.Address {
			return u, kept, nil
		}
	}
	if s.runs == 0 {
		u, refusal := d.admit(ctx, s, now)
		return u, nil, refusal
	}
	u, refusal := d.pick(&s.attempts, now)
	return u, nil, refusal
}

// sent counts a sending by what it goes on from.
func (d *Dispatcher) sent(s *stream, from *work.Copy) {
	switch {
	case from != nil:
		d.meters.Count("Sent.FromCopy", 1)
	case s.made > 1 || s.w.Resumes:
		d.meters.Count("Sent.FromPrompt", 1)
	default:
		d.meters.Count("Sent.First", 1)
	}
}

// leg runs the stream at one upstream. It returns true if the stream, or the
// whole answer that came in its place, is complete.
func (d *Dispatcher) leg(ctx context.Context, s *stream, u directory.Upstream, from *work.Copy, now time.Time) (verdict, bool) {
	w := s.w
	leg := work.Leg{Upstream: u, Remaining: w.Deadline.Sub(now), After: s.last, Resumes: s.resumes, From: from, Rank: rank(w)}
	leg.CopyTo = s.keeper.begin(u, s.tried(), now)
	d.log.Info().Str("Request", string(w.ID)).Str("Upstream", string(u.ID)).Str("UpstreamDomain", string(u.Domain)).Int("Attempt", s.made).
		Uint64("After", s.last).Bool("FromCopy", from != nil).Str("CopyTo", leg.CopyTo).Msg("stream sent")
	r := d.request(w, &leg)
	r.AnswerBy = now.Add(s.gaps.FirstLimit())
	ctx, answered := d.probing(ctx, u)
	defer answered()
	ans, err := d.client.Do(ctx, u.Address, r)
	if from == nil {
		read := d.timer.Now()
		d.fleet.AddUnreadTokens(u.ID, -w.Prompt, read) // added by the choice
		d.lineOf(w.Service.Name).Pump(read)
	}
	answered()
	if err == nil {
		defer ans.Close()
	}
	if v, failed := d.judge(ctx, ans, err); failed {
		return v, false
	}
	if ans.Status != http.StatusOK {
		return d.readWhole(s, ans)
	}
	return d.relay(ctx, s, u.ID, ans, now)
}

// readWhole takes an answer that is no stream.
func (d *Dispatcher) readWhole(s *stream, ans *exchange.Answer) (verdict, bool) {
	body, err := ans.ReadBody()
	if err != nil {
		return verdict{kind: fleet.Failed, ran: true, cause: broken, reason: err.Error()}, false
	}
	if s.begun {
		reason := "the continuation was answered with status " + http.StatusText(ans.Status)
		return verdict{kind: fleet.Failed, ran: true, cause: status, reason: reason}, false
	}
	s.whole = &Reply{Status: ans.Status, Header: ans.Header, Body: body}
	return verdict{}, true
}

// relay passes pieces on as they come.
func (d *Dispatcher) relay(ctx context.Context, s *stream, id ident.Upstream, ans *exchange.Answer, began time.Time) (verdict, bool) {
	r := pieces.New(ans)
	limit := s.gaps.FirstLimit()
	before := began
	heard := d.timer.Uptime()
	defer func() { d.fleet.ReportAlive(id, heard) }()
	for first := true; ; first = false {
		ans.SetReadDeadline(before.Add(limit))
		p, err := r.Next()
		now := d.timer.Now()
		if err == io.EOF {
			return d.endOf(s)
		}
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return verdict{kind: fleet.Failed, ran: true, cause: silent, reason: "silent for " + now.Sub(before).String()}, false
			}
			return verdict{kind: fleet.Failed, ran: true, cause: broken, reason: err.Error()}, false
		}
		if first {
			d.fleet.ReportStreamStart(id, now)
		} else {
			s.gaps.Gap(now.Sub(before))
		}
		before, heard = now, d.timer.Uptime()
		limit = min(s.gaps.GapLimit(), s.patience)
		if v, ok := d.deliver(s, ans, p); !ok {
			return v, false
		}
		s.keeper.keep(ctx, now)
	}
}

// deliver passes one piece on, unless the caller has it.
func (d *Dispatcher) deliver(s *stream, ans *exchange.Answer, p pieces.Piece) (verdict, bool) {
	if p.Has {
		if p.Number <= s.last && s.resumes {
			return verdict{}, true
		}
		if s.resumes && p.Number != s.last+1 {
			return verdict{kind: fleet.Failed, ran: true, cause: incorrect, reason: "a piece is missing"}, false
		}
	}
	if !s.begun {
		s.begun = true
		if err := s.sink.Begin(ans.Status, ans.Header); err != nil {
			return verdict{reason: errCaller.Error()}, false
		}
	}
	if err := s.sink.Piece(p.Raw); err != nil {
		return verdict{reason: errCaller.Error()}, false
	}
	if !s.lost.IsZero() {
		d.log.Info().Str("Request", string(s.w.ID)).Int("Attempt", s.made).Uint64("Piece", p.Number).
			Dur("PauseMs", d.timer.Now().Sub(s.lost)).Msg("stream goes on")
		d.meters.Observe("PauseUs", d.timer.Now().Sub(s.lost))
		s.lost = time.Time{}
		d.unhold(s)
	}
	if p.Has {
		s.last = p.Number
		s.resumes = true
	}
	return verdict{}, true
}

// endOf ends a stream whose last piece has come.
func (d *Dispatcher) endOf(s *stream) (verdict, bool) {
	if !s.begun {
		return verdict{kind: fleet.Failed, ran: true, cause: incorrect, reason: "the stream ended without a piece"}, false
	}
	if err := s.sink.End(); err != nil {
		return verdict{reason: errCaller.Error()}, false
	}
	return verdict{}, true
}
