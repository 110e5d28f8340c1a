package membership

import "time"

// Defaults of Settings.
const (
	defaultPeriod         = time.Second
	defaultProbeTimeout   = 400 * time.Millisecond
	defaultPushInterval   = 200 * time.Millisecond
	defaultSuspicion      = 3 * time.Second
	defaultTombstoneKeep  = 10 * time.Minute
	defaultUnlistedKeep   = time.Hour
	defaultIndirect       = 3
	defaultFanout         = 3
	defaultPushRounds     = 4
	defaultRumorSends     = 16
	defaultCutProbes      = 3
	defaultForeignEvery   = 3
	defaultPiggybackBytes = 1200
)

// Settings tune a Table. The zero value of a field means its default.
type Settings struct {
	Period         time.Duration // between two probes of the own failure domain
	ProbeTimeout   time.Duration // wait for a direct answer before others are asked to probe
	PushInterval   time.Duration // between two pushes of news; the caller's ticks should be as close
	Suspicion      time.Duration // from suspicion to the verdict
	TombstoneKeep  time.Duration // how long the dead and notices are remembered
	UnlistedKeep   time.Duration // how long members of a cut-off domain are kept that the list lacks
	Indirect       int           // members that are asked to probe
	Fanout         int           // members that a push goes to
	PushRounds     int           // pushes of one piece of news by one instance
	RumorSends     int           // messages in which one instance passes a piece of news on
	CutProbes      int           // failed probes in a row after which a domain counts as cut off
	ForeignEvery   int           // periods between two probes of other domains
	PiggybackBytes int           // bound on the rumours in a message
}

func (cfg Settings) withDefaults() Settings {
	orDefault(&cfg.Period, defaultPeriod)
	orDefault(&cfg.ProbeTimeout, defaultProbeTimeout)
	orDefault(&cfg.PushInterval, defaultPushInterval)
	orDefault(&cfg.Suspicion, defaultSuspicion)
	orDefault(&cfg.TombstoneKeep, defaultTombstoneKeep)
	orDefault(&cfg.UnlistedKeep, defaultUnlistedKeep)
	orDefault(&cfg.Indirect, defaultIndirect)
	orDefault(&cfg.Fanout, defaultFanout)
	orDefault(&cfg.PushRounds, defaultPushRounds)
	orDefault(&cfg.RumorSends, defaultRumorSends)
	orDefault(&cfg.CutProbes, defaultCutProbes)
	orDefault(&cfg.ForeignEvery, defaultForeignEvery)
	orDefault(&cfg.PiggybackBytes, defaultPiggybackBytes)
	return cfg
}

func orDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}
