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

// Settings describe a link. The zero value of a field means its default.
type Settings struct {
	Instance         ident.Instance // this instance
	Domain           ident.Domain   // its failure domain
	Listen           string         // host:port; port 0 takes a free one
	Secret           []byte         // shared by all instances
	MaxFrameBytes    int            // bound on the payload of a frame
	MaxQueueBytes    int            // bound on what waits to be sent to a peer
	DialTimeout      time.Duration  // bound on the wait for a TCP connection
	HandshakeTimeout time.Duration  // bound on the handshake after it
	IdlePing         time.Duration  // longest silence that this side keeps on a connection
	IdleTimeout      time.Duration  // silence after which a connection is given up
	UnusedTimeout    time.Duration  // time without calls and frames after which a connection is closed
}

func (cfg Settings) withDefaults() Settings {
	if cfg.Listen == "" {
		cfg.Listen = defaultListen
	}
	orBytes(&cfg.MaxFrameBytes, defaultMaxFrameBytes)
	orBytes(&cfg.MaxQueueBytes, defaultMaxQueueBytes)
	orDuration(&cfg.DialTimeout, defaultDialTimeout)
	orDuration(&cfg.HandshakeTimeout, defaultHandshakeTimeout)
	orDuration(&cfg.IdlePing, defaultIdlePing)
	orDuration(&cfg.IdleTimeout, defaultIdleTimeout)
	orDuration(&cfg.UnusedTimeout, defaultUnusedTimeout)
	return cfg
}

func orBytes(n *int, def int) {
	if *n <= 0 {
		*n = def
	}
}

func orDuration(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
