package dispatch

import (
	"fmt"
	"maps"
	"time"

	"crocuslug/admission"
	"crocuslug/enginememory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/result"
)

// newClaim returns a name for the memory that one request, or the copy of its run, uses.
func (d *Dispatcher) newClaim() enginememory.Claim { return enginememory.Claim(d.claimSeq.Add(1)) }

// reportEnd records how an attempt ended at an upstream and releases the memory that it used there.
func (d *Dispatcher) reportEnd(claim enginememory.Claim, id ident.Upstream, outcome fleet.Outcome, latency time.Duration, now time.Time) {
	d.fleet.ReportEnd(id, outcome, latency, now)
	d.fleet.ReleaseMemory(claim, now)
}

// checkSize returns the refusal of a request that is larger than the memory of any engine, or nil.
// Such a request would wait in vain.
func (d *Dispatcher) checkSize(a *attempts) *result.Error {
	if !d.fleet.TooLarge(a.w.Service.Name, a.w.Tokens) {
		return nil
	}
	d.meters.Count("Memory.TooLarge", 1)
	d.log.Info().Str("Request", string(a.w.ID)).Int("Tokens", a.w.Tokens).Int("Memory", a.w.Service.Memory).Msg("request larger than the memory of an engine refused")
	return result.New(result.TooLarge, fmt.Sprintf("the request needs %d tokens of memory, and an engine of service %q has %d", a.w.Tokens, a.w.Service.Name, a.w.Service.Memory))
}

// lowestPriority returns the lowest priority with which a queued stream may start now.
func (d *Dispatcher) lowestPriority(s ident.Service, now time.Time) admission.Priority {
	if d.cfg.ByMemory && !d.fleet.Spare(s, now) {
		return admission.Urgent
	}
	return admission.Batch
}

// recordArrival records the arrival of a stream, from which the reserve for urgent ones follows.
func (d *Dispatcher) recordArrival(s *stream, now time.Time) {
	if w := s.w; d.cfg.ByMemory && priorityOf(w.Priority) == admission.Urgent {
		d.fleet.UrgentArrived(w.Service.Name, w.Tokens, w.PromptTokens, now)
	}
}

// reportUrgentWaiting tells the Fleet how much memory the urgent streams need that are queued.
func (d *Dispatcher) reportUrgentWaiting() {
	if !d.cfg.ByMemory {
		return
	}
	d.mu.Lock()
	queues := maps.Clone(d.queues)
	d.mu.Unlock()
	for s, q := range queues {
		d.fleet.SetUrgentWaiting(s, int(q.Admission.CostDownTo(admission.Urgent)))
	}
}

// shortage is why a stream has to wait for the memory of engines.
type shortage string

// Shortages.
const (
	noShortage     shortage = ""       // the memory suffices, or is not counted
	shortOfMemory  shortage = "Memory" // no engine has room
	shortForUrgent shortage = "Urgent" // the room is kept for urgent streams
)

// shortage returns why a stream that does not start now has to wait.
func (d *Dispatcher) shortage(s *stream, now time.Time) shortage {
	name := s.w.Service.Name
	switch {
	case !d.cfg.ByMemory:
		return noShortage
	case !d.fleet.HasRoom(name, s.w.Tokens, now):
		return shortOfMemory
	case s.yields && !d.fleet.Spare(name, now):
		return shortForUrgent
	}
	return noShortage
}

// recordWait counts a stream that was queued.
func (d *Dispatcher) recordWait(s *stream, q *line.Queue, v shortage) {
	if v == noShortage {
		return
	}
	d.fleet.SetUrgentWaiting(s.w.Service.Name, int(q.Admission.CostDownTo(admission.Urgent)))
	d.meters.Count("Memory.WaitedFor"+string(v), 1)
	d.log.Info().Str("Request", string(s.w.ID)).Str("For", string(v)).Int("Tokens", s.w.Tokens).Int("Priority", s.w.Priority).Msg("stream waits for the memory of engines")
}

// recordRefusedAtOnce counts a stream that was refused because it could not start in time.
func (d *Dispatcher) recordRefusedAtOnce(s *stream, v shortage, refusal *result.Error) {
	if !d.cfg.ByMemory {
		return
	}
	d.meters.Count("Memory.RefusedAtOnce", 1)
	d.log.Info().Str("Request", string(s.w.ID)).Str("For", string(v)).Int("Tokens", s.w.Tokens).Int("Priority", s.w.Priority).Dur("RetryAfterMs", refusal.RetryAfter).Msg("stream refused at once")
}
