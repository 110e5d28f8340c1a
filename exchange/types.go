package exchange

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/unit"
)

// Request is what an upstream is sent.
type Request struct {
	Method string
	Target string // path and query, verbatim
	Host   string
	Header http.Header // without those of the connection and of the framing
	Body   []byte

	// AnswerBy is when the head of the answer must be there; zero means no bound.
	AnswerBy time.Time
	// Fresh asks for a connection that was not used before, or was just now.
	Fresh bool
	// Belongs reports whether an answer is one to this request. nil means yes.
	Belongs func(h http.Header) bool
}

// Errors of an exchange. NotSent means that no byte of the request can have
// reached the upstream; after Broken it may have run.
var (
	NotSent = errs.Class("not sent")
	Broken  = errs.Class("exchange broken")
)

// Settings of a Client. The zero value takes the defaults.
type Settings struct {
	DialTimeout time.Duration // bound on making a connection; 0 means 250ms
	Unanswered  time.Duration // time after which a peer that acknowledges no packet is given up; 0 means 600ms
	KeepIdle    time.Duration // for which an idle connection is kept if the upstream names no time; 0 means 3s
	FreshFor    time.Duration // idle time up to which a connection counts as just used; 0 means 500ms
	MaxIdle     int           // idle connections kept for each upstream; 0 means 32
	MaxHeader   int           // bytes of the head of an answer; 0 means 64 KiB
	MaxBody     int64         // bytes of a whole answer; 0 means 64 MiB
}

// Defaults of Settings.
const (
	defaultDialTimeout = 250 * time.Millisecond // many times a handshake with a busy upstream in another failure domain
	defaultUnanswered  = 600 * time.Millisecond // three retransmissions of TCP at its least time-out of 200 ms
	defaultKeepIdle    = 3 * time.Second        // below the least idle time-out in common use, 5 s
	defaultFreshFor    = 500 * time.Millisecond
	defaultMaxIdle     = 32
	defaultMaxHeader   = 64 << 10
	defaultMaxBody     = 64 << 20
)

func (cfg Settings) withDefaults() Settings {
	unit.Fallback(&cfg.DialTimeout, defaultDialTimeout)
	unit.Fallback(&cfg.Unanswered, defaultUnanswered)
	unit.Fallback(&cfg.KeepIdle, defaultKeepIdle)
	unit.Fallback(&cfg.FreshFor, defaultFreshFor)
	unit.Fallback(&cfg.MaxIdle, defaultMaxIdle)
	unit.Fallback(&cfg.MaxHeader, defaultMaxHeader)
	unit.Fallback(&cfg.MaxBody, defaultMaxBody)
	return cfg
}
