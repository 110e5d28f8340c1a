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

// Kinds of frames of the token path.
const (
	frameAppends peerlink.FrameKind = 2
	frameAcks    peerlink.FrameKind = 3
)

// buildGenerations wires the parts that make and keep answers.
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
		ReportFailure:   d.blame,
		ChooseReplica:   d.chooseReplica,
		TokensReceived:  d.progress,
		StreamOpened:    d.opened,
		PaceMeasured:    d.paced,
		Recovered:       d.recovered,
		GenerationEnded: d.ended,
	})
	d.taker = takeover.New(d.opt.Takeover, takeover.Ports{
		Instance:         d.id,
		Timer:            d.opt.Timer,
		Log:              d.log,
		Owner:            d.owner,
		Replicas:         d.replicas,
		LocalCandidates:  d.holders,
		RemoteCandidates: d.farHolders,
		Call:             d.link.Call,
	})
	d.link.Handle(takeover.MethodFind, d.taker.HandleFind)
	d.link.Handle(takeover.MethodTake, d.taker.HandleTake)
	d.link.HandleFrame(frameAppends, d.takeAppends)
	d.link.HandleFrame(frameAcks, d.takeAcks)
	d.gateway = gateway.New(d.gatewaySettings(), gateway.Ports{
		Timer:        d.opt.Timer,
		Log:          d.log,
		Tracer:       d.opt.Tracer,
		Owner:        d.owner,
		Workspace:    d.workspace,
		FindEarlier:  d.taker.FindLikely,
		Find:         d.taker.Find,
		CompleteSpec: d.pin,
		Admit:        d.admit,
		Leaving:      d.leaving.Load,
	})
}

// ownerSettings joins the options with the settings file.
func (d *Daemon) ownerSettings() owner.Settings {
	cfg := d.opt.Owner
	r := d.cfg.Resume
	setLimit(&cfg.Generation.Silence.MinGapTimeout, r.GapFloor.Std())
	setLimit(&cfg.Generation.ProbeTimeout, r.ProbeLimit.Std())
	setLimit(&cfg.Generation.CallerTimeout, r.CallerLimit.Std())
	setLimit(&cfg.Generation.ReplicaAckTimeout, r.ReplicaLimit.Std())
	return cfg
}

func (d *Daemon) gatewaySettings() gateway.Settings {
	cfg := d.opt.Gateway
	setLimit(&cfg.WriteTimeout, d.cfg.Limits.WriteLimit.Std())
	if cfg.MaxTokens == 0 {
		cfg.MaxTokens = d.cfg.Limits.MaxTokens
	}
	return cfg
}

// setLimit gives a limit that is not set the value of the settings file.
func setLimit(limit *time.Duration, v time.Duration) {
	if *limit == 0 {
		*limit = v
	}
}

// takeAppends holds what another instance replicates and answers it.
func (d *Daemon) takeAppends(from ident.Instance, payload []byte) {
	entries, err := batch.DecodeAppends(payload)
	if err != nil {
		d.log.Warn().Int("Code", int(result.Malformed)).Str("From", string(from)).Err(err).Msg("append refused")
		return
	}
	now := d.opt.Timer.Now()
	for _, e := range entries {
		var name replica.RequestKey
		if e.Base {
			var spec generation.Spec
			if err := json.Unmarshal(e.Spec, &spec); err != nil {
				d.log.Warn().Int("Code", int(result.Malformed)).Str("From", string(from)).Err(err).Msg("append refused")
				continue
			}
			name = replica.RequestKey{Workspace: spec.Workspace, Request: spec.Request}
		}
		d.outbox.Ack(from, d.replicas.Append(now, from, e, name))
	}
}

// takeAcks gives a replica's answers to the generations.
func (d *Daemon) takeAcks(from ident.Instance, payload []byte) {
	acks, err := batch.DecodeAcks(payload)
	if err != nil {
		d.log.Warn().Int("Code", int(result.Malformed)).Str("From", string(from)).Err(err).Msg("acknowledgement refused")
		return
	}
	d.owner.HandleAcks(from, acks)
}

// appendsFailed tells the generations that their replica cannot be reached.
func (d *Daemon) appendsFailed(to ident.Instance, entries []batch.Append) {
	for _, e := range entries {
		d.owner.AppendFailed(e.Generation, to)
	}
}

func (d *Daemon) recovered(t time.Duration) {
	d.metrics.resume.Update(t.Microseconds())
}

func (d *Daemon) ended(g *owner.Generation) {
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

// Holds reports whether this instance holds a copy of a request's generation.
func (d *Daemon) Holds(w ident.Workspace, r ident.Request) bool {
	_, ok := d.replicas.Find(replica.RequestKey{Workspace: w, Request: r})
	return ok
}

// Progress returns how many tokens of a request's answer this instance holds as
// its owner, and how many the caller has taken.
func (d *Daemon) Progress(w ident.Workspace, r ident.Request) (held, delivered int) {
	g, ok := d.owner.Find(replica.RequestKey{Workspace: w, Request: r})
	if !ok {
		return 0, 0
	}
	return g.Progress()
}
