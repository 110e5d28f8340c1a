package membership

import "time"

// Defaults of Settings.
const (
	defaultProbePeriod         = time.Second
	defaultProbeTimeout        = 400 * time.Millisecond
	defaultPushInterval        = 200 * time.Millisecond
	defaultSuspicionTimeout    = 3 * time.Second
	defaultTombstoneRetention  = 10 * time.Minute
	defaultUnlistedRetention   = time.Hour
	defaultIndirectProbes      = 3
	defaultFanout              = 3
	defaultPushRounds          = 4
	defaultRumorSends          = 16
	defaultCutOffProbes        = 3
	defaultForeignProbePeriods = 3
	defaultPiggybackBytes      = 1200
)

// Settings configures a Table. Zero values are replaced by defaults.
type Settings struct {
	ProbePeriod         time.Duration // time between two probes in the own failure domain
	ProbeTimeout        time.Duration // wait for a direct answer before other members are asked to probe
	PushInterval        time.Duration // time between two pushes of rumors and between calls of Tick
	SuspicionTimeout    time.Duration // time for a suspected member to refute before it is declared dead
	TombstoneRetention  time.Duration // time for which dead members and notices are kept
	UnlistedRetention   time.Duration // time until members of a cut-off domain that are not listed are dead
	IndirectProbes      int           // members that are asked to probe indirectly
	Fanout              int           // members of the own domain that a push is sent to
	PushRounds          int           // pushes of a rumor by one instance
	RumorSends          int           // messages in which one instance sends a rumor
	CutOffProbes        int           // consecutive failed probes after which a domain counts as cut off
	ForeignProbePeriods int           // probe periods between two probes of other domains
	PiggybackBytes      int           // bound on the rumors in a message, in bytes
}

func (cfg Settings) withDefaults() Settings {
	orDefault(&cfg.ProbePeriod, defaultProbePeriod)
	orDefault(&cfg.ProbeTimeout, defaultProbeTimeout)
	orDefault(&cfg.PushInterval, defaultPushInterval)
	orDefault(&cfg.SuspicionTimeout, defaultSuspicionTimeout)
	orDefault(&cfg.TombstoneRetention, defaultTombstoneRetention)
	orDefault(&cfg.UnlistedRetention, defaultUnlistedRetention)
	orDefault(&cfg.IndirectProbes, defaultIndirectProbes)
	orDefault(&cfg.Fanout, defaultFanout)
	orDefault(&cfg.PushRounds, defaultPushRounds)
	orDefault(&cfg.RumorSends, defaultRumorSends)
	orDefault(&cfg.CutOffProbes, defaultCutOffProbes)
	orDefault(&cfg.ForeignProbePeriods, defaultForeignProbePeriods)
	orDefault(&cfg.PiggybackBytes, defaultPiggybackBytes)
	return cfg
}

func orDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}
