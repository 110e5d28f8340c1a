package generation

import (
	"time"

	"crocuslug/silence"
)

// Settings are the time limits of a Machine. Zero values mean the defaults.
type Settings struct {
	ProbeLimit    time.Duration // wait for an engine's answer to the request for a known stream
	ConnectLimit  time.Duration // wait for an engine's answer to a new stream
	ReplicaLimit  time.Duration // wait for the replica's acknowledgement
	ReplicaWait   time.Duration // how long tokens wait for a replica if none of those in reach answers
	ReplicaRetry  time.Duration // wait before a replica is looked for again
	EngineRetry   time.Duration // wait before an engine is looked for again
	ComeBack      time.Duration // when a caller may come back whose request no engine takes
	ResumeLimit   time.Duration // how long a resumed generation waits for an engine
	CallerLimit   time.Duration // how long a generation goes on without its caller
	EngineLosses  int           // losses after which the generation ends
	DisableProbe  bool          // a lost stream goes to another engine at once
	DisableFence  bool          // for tests that show what the fence prevents
	DisableReplic bool          // releases tokens without a replica
	Silence       silence.Settings
}

// Defaults of Settings.
const (
	defaultProbeLimit   = 250 * time.Millisecond
	defaultConnectLimit = 2 * time.Second
	defaultReplicaLimit = 150 * time.Millisecond
	defaultReplicaWait  = 2 * time.Second
	defaultReplicaRetry = time.Second
	defaultEngineRetry  = 50 * time.Millisecond
	defaultComeBack     = time.Second
	defaultResumeLimit  = 20 * time.Second
	defaultCallerLimit  = 15 * time.Second
	defaultEngineLosses = 8
)

func (cfg Settings) withDefaults() Settings {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&cfg.ProbeLimit, defaultProbeLimit)
	def(&cfg.ConnectLimit, defaultConnectLimit)
	def(&cfg.ReplicaLimit, defaultReplicaLimit)
	def(&cfg.ReplicaWait, defaultReplicaWait)
	def(&cfg.ReplicaRetry, defaultReplicaRetry)
	def(&cfg.EngineRetry, defaultEngineRetry)
	def(&cfg.ComeBack, defaultComeBack)
	def(&cfg.ResumeLimit, defaultResumeLimit)
	def(&cfg.CallerLimit, defaultCallerLimit)
	if cfg.EngineLosses == 0 {
		cfg.EngineLosses = defaultEngineLosses
	}
	return cfg
}
