package quota

import (
	"time"

	"crocuslug/ident"
	"crocuslug/unit"
)

// Settings of Shares. The zero value takes the defaults.
type Settings struct {
	Fanout   int     // peers that a tick sends to; 0 means 2
	MaxRows  int     // workspaces in one message; 0 means 16
	Headroom float64 // share that an instance wants for its demand; 0 means 1.25
	Reserve  float64 // part of its base that an instance never lends; 0 means 0.05
	Smooth   float64 // weight of the newest demand; 0 means 0.3

	// Keep is the time for which exchanges with a removed member are remembered,
	// in case that the list of instances names it again; 0 means 1h.
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

// Row is what one instance tells another about one workspace. Amounts are parts
// of the limit, so that a change of the limit needs no message. Given and Taken
// only rise: a row that is lost, repeated or late does no harm.
type Row struct {
	Workspace ident.Workspace
	Demand    float64 // what the sender could use
	Share     float64 // what the sender may use
	Given     float64 // all that the sender has ever given to the receiver
	Taken     float64 // all that the sender has ever taken from the receiver
}

// Message goes from one instance to another.
type Message struct {
	From   ident.Instance
	To     ident.Instance
	Answer bool // answers a message, and is not answered
	Rows   []Row
}
