package quota

import (
	"time"

	"crocuslug/ident"
	"crocuslug/unit"
)

// Settings configures Shares. Zero values are replaced by defaults.
type Settings struct {
	Fanout   int     // peers that are sent a message per tick; 0 means 2
	MaxRows  int     // most workspaces in one message; 0 means 16
	Headroom float64 // share that an instance requests, as a multiple of its demand; 0 means 1.25
	Reserve  float64 // fraction of its base that an instance never lends; 0 means 0.05
	Smooth   float64 // weight of the newest sample of demand; 0 means 0.3

	// Keep is the time for which the balance with a removed member is kept, in case
	// it is listed again; 0 means 1h.
	Keep unit.Duration
}

// Defaults of Settings.
const (
	defaultFanout   = 2
	defaultMaxRows  = 16
	defaultHeadroom = 1.25
	defaultReserve  = 0.05
	defaultSmooth   = 0.3
	defaultKeep     = time.Hour
)

func (cfg Settings) withDefaults() Settings {
	if cfg.Fanout <= 0 {
		cfg.Fanout = defaultFanout
	}
	if cfg.MaxRows <= 0 {
		cfg.MaxRows = defaultMaxRows
	}
	if cfg.Headroom <= 0 {
		cfg.Headroom = defaultHeadroom
	}
	if cfg.Reserve <= 0 {
		cfg.Reserve = defaultReserve
	}
	if cfg.Smooth <= 0 {
		cfg.Smooth = defaultSmooth
	}
	if cfg.Keep <= 0 {
		cfg.Keep = unit.Duration(defaultKeep)
	}
	return cfg
}

// Row is what one instance reports to another about one workspace. Amounts are
// fractions of the limit, so a change of the limit needs no message. Given and
// Taken never decrease, so lost, repeated or late rows do no harm.
type Row struct {
	Workspace ident.Workspace
	Demand    float64 // demand at the sender
	Share     float64 // current share of the sender
	Given     float64 // total that the sender has given to the receiver
	Taken     float64 // total that the sender has received from the receiver
}

// Message carries rows from one instance to another.
type Message struct {
	From   ident.Instance
	To     ident.Instance
	Answer bool // is an answer, which is not answered in turn
	Rows   []Row
}
