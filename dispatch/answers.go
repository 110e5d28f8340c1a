package dispatch

import (
	"context"
	"errors"
	"net/http"

	"crocuslug/cooldown"
	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/ident"
)

// do sends a request to an upstream and records what the answer says about the upstream: its limit, its
// leaving, and the rest that it asks for. With readsPrompt the prompt counts as read from then on; it was
// added to the unread tokens when u was picked.
func (d *Dispatcher) do(ctx context.Context, a *attempts, u directory.Upstream, r *exchange.Request, readsPrompt bool) (*exchange.Answer, error) {
	sent := d.timer.Now()
	r.Check = func(p exchange.Path) error {
		if err := d.checkOpen(u); err != nil {
			return err
		}
		if !a.counted {
			a.counted = true
			d.delivery.Sent(a.w.Service.Name, u.Build, d.timer.Now())
		}
		if p.Helper != "" {
			d.meters.Count("Sent.Relayed", 1)
			d.log.Info().Str("Request", string(a.w.ID)).Str("Upstream", string(u.ID)).Str("Peer", string(p.Helper)).Str("Connection", p.Local).Int("Attempt", a.sends).Msg("sent through another instance")
		}
		return nil
	}
	r.Closed = func(settled <-chan struct{}) { a.settled = settled }
	ans, err := d.client.Do(ctx, u.Address, r)
	if readsPrompt {
		d.fleet.AddUnreadTokens(u.ID, -a.w.PromptTokens, d.timer.Now())
	}
	if err == nil && !d.protocol.Replaced(ans.Status, ans.Header) {
		d.readLimit(a.w.ID, u, ans.Header, sent)
		if d.protocol.Leaving != nil && d.protocol.Leaving(ans.Header) {
			d.leaves(u, a.w.ID)
		}
		if text := d.restIn(ans); text != "" {
			d.readRest(a.w.ID, u, text, ans.Helper)
		} else {
			d.rests.Answered(u.ID, sent)
		}
	}
	return ans, err
}

// Errors of a request that was not sent because of what its upstream has said while the request waited for
// a connection.
var (
	errLeft    = errors.New("the upstream is leaving or gone since it was chosen")
	errResting = errors.New("the upstream has asked for a rest since it was chosen")
	errNoBuild = errors.New("the software version of the upstream gets no requests since it was chosen")
)

// checkOpen returns an error if no request may be sent to u any more.
func (d *Dispatcher) checkOpen(u directory.Upstream) error {
	if now, ok := d.fleet.Upstream(u.ID); !ok || now.Draining {
		return errLeft
	}
	if d.rests.Left(u.ID, d.timer.Now()) > 0 {
		return errResting
	}
	if !d.mayUse(u, d.timer.Now()) {
		return errNoBuild
	}
	return nil
}

// restIn returns the rest that an answer asks for, as text, or "".
func (d *Dispatcher) restIn(ans *exchange.Answer) string {
	if d.protocol.Rest == nil || ans.Status != http.StatusServiceUnavailable {
		return ""
	}
	return d.protocol.Rest(ans.Header)
}

// readRest records the rest that u, as it was registered when a request was sent, asks for in the answer.
// helper is the instance that passed the request on, or "".
func (d *Dispatcher) readRest(request ident.Request, u directory.Upstream, text string, helper ident.Instance) {
	now := d.timer.Now()
	rest, cut, err := cooldown.Parse(text)
	if err != nil || cut {
		if d.rests.Rejected(u.ID, text) {
			d.meters.Count("Rests.Rejected", 1)
			d.log.Warn().Str("Request", string(request)).Str("Upstream", string(u.ID)).Str("Value", text).Dur("RestMs", rest).Err(err).Msg("rest that the upstream asks for is ignored or shortened")
		}
		if err != nil {
			return
		}
	}
	if !d.rests.Asked(u.ID, u.Born, rest, now) {
		return
	}
	d.meters.Count("Rests.Asked", 1)
	d.log.Info().Str("Request", string(request)).Str("Upstream", string(u.ID)).Dur("RestMs", rest).Dur("LeftMs", d.rests.Left(u.ID, now)).Msg("upstream asks for a rest")
	if helper != "" {
		d.tellRest(helper, u, rest)
	}
}
