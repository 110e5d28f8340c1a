package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/silence"
	"crocuslug/work"
)

// stream is the state of one answer that is passed to its caller piece by piece.
type stream struct {
	attempts
	sink      Sink
	started   bool   // the caller has received the response header
	lastPiece uint64 // number of the last piece delivered
	resumes   bool   // the next attempt starts after lastPiece
	copies    *copyManager
	gaps      *silence.Detector
	maxGap    time.Duration  // longest wait between pieces
	upstream  ident.Upstream // upstream of the last attempt
	lostAt    time.Time      // when the attempt was lost that delivered the last piece; zero while the stream runs
	waiting   bool           // the stream waits or has waited for an upstream since the loss
	whole     *Reply         // answer that is not a stream, to be returned whole

	sentTo     directory.Upstream // as registered when the current attempt was sent
	keepsBuild bool               // a piece was delivered, so that build is final
	buildMu    sync.Mutex         // held while build is set, and while a probe reads it

	ends int // attempts whose engine had no further piece

	gotPiece    bool      // the current attempt has received a piece
	passed      bool      // it has passed on a piece with a number
	cleared     bool      // its answer has cleared the parts of its prompt
	delimited   bool      // its answer says where it ends
	pausing     bool      // its engine is silent for longer than the limit, and the stream waits
	lastPieceAt time.Time // when it received the last piece; its start before that

	firstPieceAfter time.Duration // time of the current attempt to its first piece; 0 before
}

// errCallerWrite marks a failure to write to the caller.
var errCallerWrite = errors.New("writing to the caller failed")

// Stream sends a request whose answer is passed to sink piece by piece. An answer that is not
// a stream is returned whole. If both reply and refusal are nil, the stream was passed on to
// its end or the caller has disconnected. If refusal is not nil and started is true, the
// caller has received part of an answer, and its connection must not be ended like that of
// a whole answer.
func (d *Dispatcher) Stream(ctx context.Context, w *work.Work, sink Sink) (reply *Reply, started bool, refusal *result.Error) {
	d.retryBudget(w.Service.Name).AddRequest()
	s := &stream{attempts: attempts{w: w, claim: d.newClaim()}, sink: sink, lastPiece: w.LastPiece, resumes: w.Resumes, copies: newCopyManager(d, w)}
	s.gaps, s.maxGap = d.silenceDetector(w)
	defer d.endWait(s)
	defer func() { d.fleet.ReleaseMemory(s.claim, d.timer.Now()) }()
	defer d.untold.remove(s)
	ctx, cancel := d.withDeadline(ctx, w.Deadline)
	defer cancel()
	if refusal := d.findBuild(ctx, s); refusal != nil {
		return nil, false, refusal
	}
	if refusal := d.checkSize(&s.attempts); refusal != nil {
		return nil, false, refusal
	}
	d.recordArrival(s, d.timer.Now())
	var runCopy *work.Copy // copy of the lost run
	for {
		if !d.awaitSettled(ctx, &s.attempts) {
			return nil, s.started, d.contextEnded(ctx, s)
		}
		now := d.timer.Now()
		if w.Deadline.Sub(now) < d.cfg.MinRemaining {
			return nil, s.started, d.refuse(&s.attempts, result.DeadlineInfeasible, "the remaining time is too short")
		}
		u, from, refusal := d.chooseNext(ctx, s, runCopy, now)
		if d.shouldWait(s, refusal, now) {
			if !d.sleep(ctx, resumePoll) {
				return nil, s.started, d.contextEnded(ctx, s)
			}
			runCopy = nil
			continue
		}
		if refusal != nil {
			return nil, s.started, refusal
		}
		now = d.timer.Now() // the stream may have waited in the queue
		if ctx.Err() != nil {
			d.giveBack(u.ID, s, from, now)
			return nil, s.started, d.contextEnded(ctx, s)
		}
		if refusal := d.checkContent(&s.attempts, now); refusal != nil { // engines may have crashed meanwhile
			d.giveBack(u.ID, s, from, now)
			return nil, s.started, refusal
		}
		s.sends++
		s.upstream, s.sentTo = u.ID, u
		d.countSend(s, from)
		forget := d.prompts.add(u.ID, w.Blocks)
		v, done := d.attempt(ctx, s, u, from, now)
		forget()
		end := d.timer.Now()
		runCopy = s.copies.end(end, done)
		if !done && v.reason != errCallerWrite.Error() {
			d.observeLost(ctx, s, u, v, end.Sub(now))
		}
		switch {
		case done:
			d.recordAnswer(&s.attempts, u, s.whole == nil && s.delimited, 0, end)
			d.log.Info().Str("Request", string(w.ID)).Str("Upstream", string(u.ID)).Int("Attempt", s.sends).
				Uint64("LastPiece", s.lastPiece).Dur("TookMs", end.Sub(now)).Msg("stream ended")
			return s.whole, s.started, nil
		case ctx.Err() != nil || v.reason == errCallerWrite.Error():
			d.reportEnd(s.claim, u.ID, fleet.Abandoned, 0, end)
			s.runs++
			return nil, s.started, d.contextEnded(ctx, s)
		}
		if s.lostAt.IsZero() {
			s.lostAt = end
		}
		if !d.recordFailure(ctx, &s.attempts, u, v, now, end) {
			return nil, s.started, d.contextEnded(ctx, s)
		}
		if !v.mayHaveRun {
			s.settled = nil // there is no work to be left
		}
		if !w.Route.Repeatable() && s.runs > 0 {
			return nil, s.started, d.refuse(&s.attempts, result.UpstreamFailed, "the stream was interrupted and must not be resumed")
		}
		free := v.mayHaveRun || v.unsent()
		for refusal = d.checkRetry(&s.attempts, end, free); refusal != nil; refusal = d.checkRetry(&s.attempts, d.timer.Now(), free) {
			if !d.shouldWait(s, refusal, d.timer.Now()) {
				return nil, s.started, refusal
			}
			if refusal.Code == result.Overloaded && d.timer.Now().Sub(end) >= maxBudgetWait {
				break
			}
			if !d.sleep(ctx, resumePoll) {
				return nil, s.started, d.contextEnded(ctx, s)
			}
		}
	}
}

// awaitSettled waits until the upstream of the last attempt is left, so that two of them never work on one
// stream. It returns false if ctx ended before.
func (d *Dispatcher) awaitSettled(ctx context.Context, a *attempts) bool {
	if a.settled == nil {
		return true
	}
	began := d.timer.Now()
	select {
	case <-a.settled:
	case <-ctx.Done():
		return false
	}
	a.settled = nil
	waited := d.timer.Now().Sub(began)
	d.meters.Observe("SettledUs", waited)
	d.log.Info().Str("Request", string(a.w.ID)).Int("Attempt", a.sends).Dur("WaitedMs", waited).Msg("waited until another instance has left the upstream")
	return true
}

// giveBack gives back the place at an upstream that was chosen for s and is not used.
func (d *Dispatcher) giveBack(id ident.Upstream, s *stream, from *work.Copy, now time.Time) {
	d.reportEnd(s.claim, id, fleet.Abandoned, 0, now)
	if from == nil {
		d.fleet.AddUnreadTokens(id, -s.w.PromptTokens, now)
	}
}

// resumePoll is the time between two attempts to find an upstream for an interrupted stream.
const resumePoll = 100 * time.Millisecond

// maxBudgetWait is how long an interrupted stream waits for the retry budget. The budget grows
// only with new requests, and there may be none.
const maxBudgetWait = time.Second

// shouldWait reports whether a stream has to wait because no upstream is available or because
// the retry budget, which grows with each request, is exhausted. Its run was lost, so it cannot
// be refused as not run, and its caller cannot resume it elsewhere either: all upstreams of the
// service are unavailable, and crashed ones return within seconds.
func (d *Dispatcher) shouldWait(s *stream, refusal *result.Error, now time.Time) bool {
	if refusal == nil || !passes(refusal.Code) || s.runs == 0 || s.runs >= d.cfg.MaxSends || now.Sub(s.lostAt) >= d.cfg.MaxResumeWait {
		return false
	}
	if !s.waiting {
		d.meters.Count("StreamsWaited", 1)
		d.countWaiting(s.w.Service.Name, 1)
		d.log.Info().Str("Request", string(s.w.ID)).Uint64("LastPiece", s.lastPiece).Str("Reason", refusal.Detail).Msg("interrupted stream waits for an upstream")
	}
	s.waiting = true
	s.requireIdle = now.Sub(s.lostAt) < d.cfg.RequireIdleFor
	s.retryAll()
	return true
}

// passes reports whether the reason of a refusal may soon be gone.
func passes(c result.Code) bool {
	return c == result.NoUpstream || c == result.Overloaded || c == result.UpstreamLimit || c == result.UpstreamRest
}

// endWait marks a stream as not waiting any more.
func (d *Dispatcher) endWait(s *stream) {
	if s.waiting {
		d.countWaiting(s.w.Service.Name, -1)
	}
	s.waiting, s.requireIdle = false, false
}

// sleep waits for the given time and returns false if ctx ended before.
func (d *Dispatcher) sleep(ctx context.Context, wait time.Duration) bool {
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

// contextEnded returns the result of a stream whose context has ended: an error if the
// deadline has passed or the instance ends, and nil if the caller has disconnected.
func (d *Dispatcher) contextEnded(ctx context.Context, s *stream) *result.Error {
	refusal := d.refuseEnded(ctx, &s.attempts)
	if refusal == nil {
		d.log.Info().Str("Request", string(s.w.ID)).Str("Upstream", string(s.upstream)).Uint64("LastPiece", s.lastPiece).Msg("caller left")
	}
	return refusal
}

// silenceDetector returns the detector of silent engines for a request, and an upper bound
// of the silence between pieces that applies whatever the detector returns.
func (d *Dispatcher) silenceDetector(w *work.Work) (*silence.Detector, time.Duration) {
	least, most := d.cfg.DefaultGap, 2*d.cfg.DefaultGap
	if target := float64(w.Route.TargetGap); target > 0 {
		least, most = time.Duration(d.cfg.GapShare*target), time.Duration(d.cfg.MaxGapShare*target)
	}
	return silence.New(silence.Settings{MinFirstTimeout: d.cfg.FirstPieceTimeout, MinGapTimeout: least, MaxTimeout: d.cfg.FirstPieceTimeout}), most
}

// chooseNext chooses the upstream where the stream starts or resumes: the holder of its copy
// if possible, or any other. It returns the copy if the stream is resumed from it.
func (d *Dispatcher) chooseNext(ctx context.Context, s *stream, runCopy *work.Copy, now time.Time) (directory.Upstream, *work.Copy, *result.Error) {
	if refusal := d.checkContent(&s.attempts, now); refusal != nil {
		return directory.Upstream{}, nil, refusal
	}
	if refusal := d.checkDelivery(&s.attempts, now); refusal != nil {
		return directory.Upstream{}, nil, refusal
	}
	s.side, s.counted = side{}, false
	if runCopy != nil && !d.fleet.MemoryLost(runCopy.Holder, now) {
		u, ok := d.fleet.ReserveFor(runCopy.Holder, s.claim, s.w.Tokens, now)
		if ok && u.Address == runCopy.Address && u.Build.Continues(s.build) && d.mayUse(u, now) && d.takePermit(u.ID, s.claim, 0, now) {
			return u, runCopy, nil
		}
	}
	s.side = d.sideOf(s.w, s.build, now)
	d.awaitTrial(ctx, &s.attempts, now)
	if refusal := d.ensurePermit(ctx, &s.attempts, d.timer.Now()); refusal != nil {
		return directory.Upstream{}, nil, refusal
	}
	now = d.timer.Now() // the stream may have waited
	if s.runs == 0 && (s.build == nil || !d.builds.Several(s.w.Service.Name, now)) {
		u, refusal := d.admit(ctx, s, now)
		return u, nil, refusal
	}
	u, refusal := d.pick(&s.attempts, now)
	return u, nil, refusal
}

// countSend counts an attempt by what it starts from: a copy, a prompt again, or anew.
func (d *Dispatcher) countSend(s *stream, from *work.Copy) {
	switch {
	case from != nil:
		d.meters.Count("Sent.FromCopy", 1)
	case s.sends > 1 || s.w.Resumes:
		d.meters.Count("Sent.FromPrompt", 1)
	default:
		d.meters.Count("Sent.First", 1)
	}
}

// attempt runs the stream at one upstream. It returns true if the stream, or the whole answer
// returned in its place, is complete.
func (d *Dispatcher) attempt(ctx context.Context, s *stream, u directory.Upstream, from *work.Copy, now time.Time) (sendFailure, bool) {
	w := s.w
	attempt := work.Attempt{Upstream: u, Remaining: w.Deadline.Sub(now), LastPiece: s.lastPiece, Resumes: s.resumes, ResumeFrom: from, Rank: queueRank(w)}
	attempt.CopyTo = s.copies.start(u, s.excluded(), now)
	d.log.Info().Str("Request", string(w.ID)).Str("Upstream", string(u.ID)).Uint64("Revision", u.Revision.Revision()).Str("UpstreamDomain", string(u.Domain)).Str("Build", string(u.Build)).Int("Attempt", s.sends).
		Uint64("After", s.lastPiece).Str("Origin", string(w.Origin)).Bool("FromCopy", from != nil).Str("CopyTo", attempt.CopyTo).Msg("stream sent")
	r := d.exchangeRequest(w, &attempt)
	p := d.newPatience(s, u.ID)
	s.lastPieceAt, s.answering, s.gotPiece, s.passed, s.cleared, s.pausing = now, time.Time{}, false, false, false, false
	s.firstPieceAfter = 0
	r.AnswerBy = now.Add(s.gaps.FirstTimeout())
	r.Extend = func() time.Time { return d.extend(s, p) }
	ctx, answered := d.withProbes(ctx, u, p)
	defer answered()
	ans, err := d.do(ctx, &s.attempts, u, r, from == nil)
	if from == nil {
		d.queueOf(w.Service.Name).Grant(d.timer.Now())
	}
	answered()
	if err == nil {
		defer ans.Close()
	}
	if v, failed := d.classify(ctx, w, u.ID, ans, err); failed {
		return v, false
	}
	if ans.Status != http.StatusOK {
		return d.readWhole(s, ans)
	}
	return d.relay(ctx, s, u.ID, ans)
}

// extend returns until when the stream waits for an engine that has been silent for as long as
// it may be, or zero if the stream leaves the engine.
func (d *Dispatcher) extend(s *stream, p patience) time.Time {
	now := d.timer.Now()
	silent, leaves := now.Sub(s.lastPieceAt), p.beforeStart
	if s.gotPiece {
		leaves = p.midway
	}
	if leaves(silent) {
		return time.Time{}
	}
	if !s.pausing {
		s.pausing = true
		d.meters.Count("EnginesPaused", 1)
		d.log.Info().Str("Request", string(s.w.ID)).Str("Upstream", string(s.upstream)).Int("Attempt", s.sends).Uint64("LastPiece", s.lastPiece).
			Dur("SilentMs", silent).Bool("MayMove", p.mayMove).Bool("Early", p.early).Bool("HasCopy", p.hasCopy()).Msg("stream waits for its silent engine")
	}
	return now.Add(silenceCheckInterval)
}

// readWhole reads an answer that is not a stream.
func (d *Dispatcher) readWhole(s *stream, ans *exchange.Answer) (sendFailure, bool) {
	body, more, err := ans.ReadParts()
	if err != nil {
		return sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: broken, reason: err.Error()}, false
	}
	now := d.timer.Now()
	d.observe(&s.attempts, s.sentTo, ans.Status >= http.StatusInternalServerError, now.Sub(s.lastPieceAt), now)
	if s.started {
		reason := "the resumed stream was answered with status " + http.StatusText(ans.Status)
		return sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: status, reason: reason}, false
	}
	s.whole = &Reply{Status: ans.Status, Header: ans.Header, Body: body, More: more}
	return sendFailure{}, true
}
