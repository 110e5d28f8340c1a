package edge

import (
	"context"
	"encoding/json"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/unit"
)

// restMethod tells an instance that an upstream has asked it for a rest, in the answer to a request that
// it passed on as bytes.
const restMethod = "Edge.Rest"

// relayedRest is the message of restMethod.
type relayedRest struct {
	Upstream ident.Upstream
	Born     int64 `json:",omitempty"` // directory.Upstream.Born
	Rest     unit.Duration
}

// tellRest tells the instance that passed a request on that u has asked for a rest.
func (e *Edge) tellRest(helper ident.Instance, u directory.Upstream, rest time.Duration) {
	e.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
		defer cancel()
		if err := e.link.Notify(ctx, helper, restMethod, relayedRest{u.ID, u.Born, unit.Duration(rest)}); err != nil {
			e.log.Info().Str("Upstream", string(u.ID)).Str("Peer", string(helper)).Err(err).Msg("instance not told of a rest")
		}
	})
}

// handleRest answers restMethod.
func (e *Edge) handleRest(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
	var r relayedRest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	now := e.timer.Now()
	if e.rests.Asked(r.Upstream, r.Born, r.Rest.Std(), now) {
		e.meters.Count("Rests.Asked", 1)
		e.log.Info().Str("Upstream", string(r.Upstream)).Str("Peer", string(from)).Dur("RestMs", r.Rest.Std()).Msg("upstream asks for a rest")
	}
	return nil, nil
}
