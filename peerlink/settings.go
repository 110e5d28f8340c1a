package peerlink

import (
	"time"

	"crocuslug/ident"
)

// Defaults of Settings.
const (
	defaultMaxFrameBytes    = 4 << 20
	defaultMaxQueueBytes    = 16 << 20
	defaultDialTimeout      = time.Second
	defaultHandshakeTimeout = time.Second
	defaultIdlePing         = 500 * time.Millisecond
	defaultIdleTimeout      = 1500 * time.Millisecond
	defaultUnusedTimeout    = 3 * time.Second
	defaultListen           = "127.0.0.1:0"
)

// Settings configures a Link. Zero values are replaced by defaults, except in
// Instance, Domain and Secret.
type Settings struct {
	Instance         ident.Instance // this instance
	Domain           ident.Domain   // its failure domain
	Listen           string         // listening address as host:port; port 0 chooses a free port
	Secret           []byte         // secret shared by all instances
	MaxFrameBytes    int            // largest payload of a frame
	MaxQueueBytes    int            // bound on the bytes queued on a connection, in each direction
	DialTimeout      time.Duration  // longest wait for a TCP connection
	HandshakeTimeout time.Duration  // longest duration of the handshake after that
	IdlePing         time.Duration  // longest time without sending on a connection; a ping is sent before
	IdleTimeout      time.Duration  // time without receiving after which a connection is closed
	UnusedTimeout    time.Duration  // time without calls and data frames after which a connection is closed
}

func (cfg Settings) withDefaults() Settings {
	if cfg.Listen == "" {
		cfg.Listen = defaultListen
	}
	orDefaultInt(&cfg.MaxFrameBytes, defaultMaxFrameBytes)
	orDefaultInt(&cfg.MaxQueueBytes, defaultMaxQueueBytes)
	orDefaultDuration(&cfg.DialTimeout, defaultDialTimeout)
	orDefaultDuration(&cfg.HandshakeTimeout, defaultHandshakeTimeout)
	orDefaultDuration(&cfg.IdlePing, defaultIdlePing)
	orDefaultDuration(&cfg.IdleTimeout, defaultIdleTimeout)
	orDefaultDuration(&cfg.UnusedTimeout, defaultUnusedTimeout)
	return cfg
}

func orDefaultInt(n *int, def int) {
	if *n <= 0 {
		*n = def
	}
}

func orDefaultDuration(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
