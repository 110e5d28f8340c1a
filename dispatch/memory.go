package dispatch

import (
	"fmt"
	"time"

	"crocuslug/enginememory"
	"crocuslug/fleet"
	"crocuslug/ident"
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
