package dispatch

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"time"

	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/pieces"
)

// relay passes pieces to the caller as they arrive.
func (d *Dispatcher) relay(ctx context.Context, s *stream, id ident.Upstream, ans *exchange.Answer) (sendFailure, bool) {
	r := pieces.New(ans)
	s.delimited = ans.Delimited()
	r.Reserve = ans.Reserve
	limit := s.gaps.FirstTimeout()
	pace := paceMeter{d: d, id: id}
	defer func() { d.fleet.ReportAlive(id, ans.AliveAt()) }()
	for {
		ans.SetReadDeadline(s.lastPieceAt.Add(limit))
		p, err := r.NextNew()
		now := d.timer.Now()
		if err == io.EOF {
			return d.finish(s, ans)
		}
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: silent, reason: "no data for " + now.Sub(s.lastPieceAt).String()}, false
			}
			return sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: broken, reason: err.Error()}, false
		}
		if s.gotPiece {
			s.gaps.ObserveGap(now.Sub(s.lastPieceAt))
		} else {
			s.answering, s.firstPieceAfter = now, now.Sub(s.lastPieceAt)
			d.observe(&s.attempts, s.sentTo, false, s.firstPieceAfter, now)
			d.fleet.ReportStreamStart(id, now)
		}
		s.gotPiece, s.pausing, s.lastPieceAt = true, false, now
		limit = min(s.gaps.GapTimeout(), s.maxGap)
		pace.received(now)
		if v, ok := d.deliver(ctx, s, id, ans, p); !ok {
			return v, false
		}
		pace.delivered()
		if !s.cleared && s.proven(now) {
			s.cleared = true
			d.poison.Answered(runOf(s.w), now)
		}
		s.copies.update(ctx, now)
	}
}

// deliver passes a piece to the caller, unless the caller already has it.
func (d *Dispatcher) deliver(ctx context.Context, s *stream, id ident.Upstream, ans *exchange.Answer, p pieces.Piece) (sendFailure, bool) {
	if p.HasNumber {
		if p.Number <= s.lastPiece && s.resumes {
			return sendFailure{}, true
		}
		if s.resumes && p.Number != s.lastPiece+1 {
			return sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: incorrect, reason: "a piece of the stream is missing"}, false
		}
	} else if s.resumes && !s.passed {
		return sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: incorrect, reason: "the answer goes on without a number"}, false
	}
	if !s.keepsBuild {
		d.keepBuild(ctx, s)
	}
	if !s.started {
		s.started = true
		if err := s.sink.Begin(ans.Status, ans.Header); err != nil {
			return sendFailure{reason: errCallerWrite.Error()}, false
		}
	}
	if err := s.sink.Piece(p.Raw); err != nil {
		return sendFailure{reason: errCallerWrite.Error()}, false
	}
	if !s.lostAt.IsZero() {
		d.log.Info().Str("Request", string(s.w.ID)).Int("Attempt", s.sends).Uint64("Piece", p.Number).
			Dur("PauseMs", d.timer.Now().Sub(s.lostAt)).Msg("stream resumed")
		d.meters.Observe("PauseUs", d.timer.Now().Sub(s.lostAt))
		s.lostAt = time.Time{}
		d.endWait(s)
	}
	if p.HasNumber {
		s.lastPiece = p.Number
		s.resumes, s.passed = true, true
	}
	return sendFailure{}, true
}

// finish ends a stream after the last piece of an answer.
func (d *Dispatcher) finish(s *stream, ans *exchange.Answer) (sendFailure, bool) {
	if !s.started && !s.resumes {
		return sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: incorrect, reason: "the stream ended without any piece"}, false
	}
	if s.resumes && !s.passed && !s.confirmEnd(ans) {
		return sendFailure{outcome: fleet.Failed, mayHaveRun: true, cause: incorrect, reason: "the stream ended without a further piece"}, false
	}
	if !s.started {
		s.started = true
		if err := s.sink.Begin(ans.Status, ans.Header); err != nil {
			return sendFailure{reason: errCallerWrite.Error()}, false
		}
	}
	if err := s.sink.End(); err != nil {
		return sendFailure{reason: errCallerWrite.Error()}, false
	}
	return sendFailure{}, true
}

// enoughEnds is the number of engines without a further piece that show that a stream is whole. One may
// have failed before its first piece.
const enoughEnds = 2

// confirmEnd counts an answer without a further piece and reports whether the stream is whole: its pieces
// can hold no more tokens, or enough engines have none. An answer that is no stream of events, or that an
// engine may have left by crashing, shows nothing.
func (s *stream) confirmEnd(ans *exchange.Answer) bool {
	if !ans.Delimited() || !isEventStream(ans.Header) {
		return false
	}
	s.ends++
	owed := max(0, s.w.Tokens-s.w.PromptTokens) // a piece holds one token or more
	return s.ends >= enoughEnds || owed > 0 && s.lastPiece >= uint64(owed)
}

// isEventStream reports whether a header names the type of a stream of server-sent events.
func isEventStream(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}
