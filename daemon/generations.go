package daemon

import (
	"encoding/json"
	"time"

	"crocuslug/batch"
	"crocuslug/engineclient"
	"crocuslug/gateway"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/outbox"
	"crocuslug/owner"
	"crocuslug/peerlink"
	"crocuslug/replica"
	"crocuslug/result"
	"crocuslug/takeover"
)

// Kinds of the frames that replicate tokens.
const (
	frameAppends peerlink.FrameKind = 2
	frameAcks    peerlink.FrameKind = 3
)

// buildGenerations wires the owner of generations, the replicas, the takeover of generations
// and the gateway.
func (d *Daemon) buildGenerations() {
	d.replicas = replica.New(d.opt.Replica)
	d.outbox = outbox.New(
		func(to ident.Instance, b []byte) error { return d.link.SendFrame(to, frameAppends, b) },
		func(to ident.Instance, b []byte) error { return d.link.SendFrame(to, frameAcks, b) },
		d.appendsFailed)
	d.owner = owner.New(d.ownerSettings(), owner.Ports{
		Instance:        d.id,
		Timer:           d.opt.Timer,
		Log:             d.log,
		Tracer:          d.opt.Tracer,
		Engines:         engineclient.New(engineclient.Settings{}),
		Outbox:          d.outbox,
		ChooseEngine:    d.chooseEngine,
		ReleaseEngine:   d.releaseEngine,
		Address:         d.upstreamAddress,
		ReportFailure:   d.engineLost,
		ChooseReplica:   d.chooseReplica,
		TokensReceived:  d.tokensReceived,
		StreamOpened:    d.streamOpened,
		PaceMeasured:    d.recordPace,
		Recovered:       d.recordRecovery,
		GenerationEnded: d.generationEnded,
	})
	d.takeover = takeover.New(d.opt.Takeover, takeover.Ports{
		Instance:         d.id,
		Timer:            d.opt.Timer,
		Log:              d.log,
		Owner:            d.owner,
		Replicas:         d.replicas,
		LocalCandidates:  d.likelyHolders,
		RemoteCandidates: d.likelyHoldersElsewhere,
		Call:             d.link.Call,
	})
	d.link.Handle(takeover.MethodFind, d.takeover.HandleFind)
	d.link.Handle(takeover.MethodTake, d.takeover.HandleTake)
	d.link.HandleFrame(frameAppends, d.handleAppends)
	d.link.HandleFrame(frameAcks, d.handleAcks)
	d.gateway = gateway.New(d.gatewaySettings(), gateway.Ports{
		Timer:        d.opt.Timer,
		Log:          d.log,
		Tracer:       d.opt.Tracer,
		Owner:        d.owner,
		Workspace:    d.workspace,
		FindEarlier:  d.takeover.FindLikely,
		Find:         d.takeover.Find,
		CompleteSpec: d.completeSpec,
		Admit:        d.admitGeneration,
		Leaving:      d.leaving.Load,
	})
}

// ownerSettings returns the options for the owner, with unset ones taken from the settings
// file.
func (d *Daemon) ownerSettings() owner.Settings {
	cfg := d.opt.Owner
	r := d.cfg.Resume
	setIfZero(&cfg.Generation.Silence.MinGapTimeout, r.GapFloor.Std())
	setIfZero(&cfg.Generation.ProbeTimeout, r.ProbeLimit.Std())
	setIfZero(&cfg.Generation.CallerTimeout, r.CallerLimit.Std())
	setIfZero(&cfg.Generation.ReplicaAckTimeout, r.ReplicaLimit.Std())
	return cfg
}

func (d *Daemon) gatewaySettings() gateway.Settings {
	cfg := d.opt.Gateway
	setIfZero(&cfg.WriteTimeout, d.cfg.Limits.WriteLimit.Std())
	if cfg.MaxTokens == 0 {
		cfg.MaxTokens = d.cfg.Limits.MaxTokens
	}
	return cfg
}

// setIfZero sets *limit to v if it is zero.
func setIfZero(limit *time.Duration, v time.Duration) {
	if *limit == 0 {
		*limit = v
	}
}

// handleAppends stores the tokens that another instance replicates here and acknowledges them.
func (d *Daemon) handleAppends(from ident.Instance, payload []byte) {
	entries, err := batch.DecodeAppends(payload)
	if err != nil {
		d.log.Warn().Int("Code", int(result.Malformed)).Str("From", string(from)).Err(err).Msg("discarded a malformed batch of replicated tokens")
		return
	}
	now := d.opt.Timer.Now()
	for _, e := range entries {
		var name replica.RequestKey
		if e.Base {
			var spec generation.Spec
			if err := json.Unmarshal(e.Spec, &spec); err != nil {
				d.log.Warn().Int("Code", int(result.Malformed)).Str("From", string(from)).Err(err).Msg("discarded replicated tokens with a malformed request")
				continue
			}
			name = replica.RequestKey{Workspace: spec.Workspace, Request: spec.Request}
		}
		d.outbox.Ack(from, d.replicas.Append(now, from, e, name))
	}
}

// handleAcks passes the acknowledgements of a replica to its generations.
func (d *Daemon) handleAcks(from ident.Instance, payload []byte) {
	acks, err := batch.DecodeAcks(payload)
	if err != nil {
		d.log.Warn().Int("Code", int(result.Malformed)).Str("From", string(from)).Err(err).Msg("discarded a malformed batch of acknowledgements")
		return
	}
	d.owner.HandleAcks(from, acks)
}

// appendsFailed reports to the generations that their replica could not be reached.
func (d *Daemon) appendsFailed(to ident.Instance, entries []batch.Append) {
	for _, e := range entries {
		d.owner.AppendFailed(e.Generation, to)
	}
}

func (d *Daemon) recordRecovery(t time.Duration) {
	d.metrics.resumeLatency.Update(t.Microseconds())
}

// generationEnded logs and counts a generation that ended.
func (d *Daemon) generationEnded(g *owner.Generation) {
	spec, stats := g.Spec(), g.Stats()
	if g.Complete() {
		d.suspects.Completed(spec.Fingerprint)
	}
	e := d.log.Info()
	if r := g.Result(); r != nil {
		e = e.Int("Code", int(r.Code)).Str("Detail", r.Detail)
	}
	at := g.Describe()
	e.Str("Request", string(spec.Request)).
		Str("Generation", string(spec.Generation)).
		Uint64("Attempt", uint64(at.Attempt)).
		Str("Workspace", string(spec.Workspace)).
		Int("Tokens", at.Position).
		Int("Streams", stats.Streams).
		Int("Resumes", stats.Resumes).
		Int("Continuations", stats.Continuations).
		Int("Stale", stats.StaleTokens).
		Int("Unreplicated", stats.Unreplicated).
		Msg("generation ended")
	d.metrics.generation(g.Result(), stats)
}

// HoldsCopy reports whether this instance holds a replica of a request's generation.
func (d *Daemon) HoldsCopy(w ident.Workspace, r ident.Request) bool {
	_, ok := d.replicas.Find(replica.RequestKey{Workspace: w, Request: r})
	return ok
}

// Progress returns how many tokens of a request's answer this instance holds as its owner, and
// how many of them were delivered to the caller. Both are 0 if it is not the owner.
func (d *Daemon) Progress(w ident.Workspace, r ident.Request) (held, delivered int) {
	g, ok := d.owner.Find(replica.RequestKey{Workspace: w, Request: r})
	if !ok {
		return 0, 0
	}
	return g.Progress()
}
