package generation

import (
	"time"

	"crocuslug/silence"
)

// Settings holds the limits of a Machine. Zero values select the defaults.
type Settings struct {
	ProbeTimeout       time.Duration // limit for an engine's response to a probe
	ConnectTimeout     time.Duration // limit for an engine's response to a new stream
	ReplicaAckTimeout  time.Duration // limit for the replica's acknowledgement
	ReplicaMaxWait     time.Duration // how long tokens are held back while no reachable replica acknowledges
	ReplicaRetryDelay  time.Duration // delay before a replica is chosen again
	EngineRetryDelay   time.Duration // initial delay before an engine is chosen again
	RetryAfter         time.Duration // retry delay suggested to a caller whose request no engine accepts
	ResumeTimeout      time.Duration // how long a generation in progress waits for an engine
	CallerTimeout      time.Duration // how long a generation continues without its caller
	MaxEngineFailures  int           // number of engine failures after which the generation ends; silence does not count
	DisableProbe       bool          // moves a lost stream to another engine without a probe
	DisableFencing     bool          // accepts stale tokens; for tests that show what fencing prevents
	DisableReplication bool          // releases tokens without a replica
	Silence            silence.Settings
}

// Defaults of Settings.
const (
	defaultProbeTimeout      = 250 * time.Millisecond
	defaultConnectTimeout    = 2 * time.Second
	defaultReplicaAckTimeout = 150 * time.Millisecond
	defaultReplicaMaxWait    = 2 * time.Second
	defaultReplicaRetryDelay = time.Second
	defaultEngineRetryDelay  = 50 * time.Millisecond
	defaultRetryAfter        = time.Second
	defaultResumeTimeout     = 20 * time.Second
	defaultCallerTimeout     = 15 * time.Second
	defaultMaxEngineFailures = 8
)

func (cfg Settings) withDefaults() Settings {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&cfg.ProbeTimeout, defaultProbeTimeout)
	setDefault(&cfg.ConnectTimeout, defaultConnectTimeout)
	setDefault(&cfg.ReplicaAckTimeout, defaultReplicaAckTimeout)
	setDefault(&cfg.ReplicaMaxWait, defaultReplicaMaxWait)
	setDefault(&cfg.ReplicaRetryDelay, defaultReplicaRetryDelay)
	setDefault(&cfg.EngineRetryDelay, defaultEngineRetryDelay)
	setDefault(&cfg.RetryAfter, defaultRetryAfter)
	setDefault(&cfg.ResumeTimeout, defaultResumeTimeout)
	setDefault(&cfg.CallerTimeout, defaultCallerTimeout)
	if cfg.MaxEngineFailures == 0 {
		cfg.MaxEngineFailures = defaultMaxEngineFailures
	}
	return cfg
}
