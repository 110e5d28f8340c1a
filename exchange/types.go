package exchange

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/ident"
	"crocuslug/unit"
)

// Request is a request to an upstream.
type Request struct {
	Method string
	Target string // path and query, verbatim
	Host   string
	Header http.Header // without the fields for the connection and for framing
	Body   []byte
	More   [][]byte // of the body, after Body

	// Take, if it is not nil, is called before memory is allocated for n bytes of the answer, from the goroutine
	// that reads it. It may wait, and may return an error, with which reading fails. Give returns such bytes
	// when the answer is closed, unless ReadParts has returned them.
	Take func(n int64) error
	Give func(n int64)

	// AnswerBy is the time by which the head of the answer must arrive; zero means no bound.
	AnswerBy time.Time
	// Extend is called when AnswerBy or the read deadline of the body has passed without data, and
	// returns the time until which to wait on, or zero to give up. It is called from the goroutine
	// that reads the answer and may be nil, which means to give up.
	Extend func() time.Time
	// Check, if it is not nil, is called once there is a connection, before anything is written to it. If
	// it returns an error, nothing is sent, and Do returns that error with class NotSent.
	Check func(p Path) error
	// Closed, if it is not nil, is called from Do or Answer.Close when the exchange has ended and its
	// connection was closed, if that passes through another instance. The channel is closed once the other
	// instance has closed its connection to the upstream.
	Closed func(settled <-chan struct{})
	// MaxBody is the size of a complete body in bytes; 0 means Settings.MaxBody.
	MaxBody int64
	// Fresh asks for a new connection, or one that was in use within Settings.FreshTime.
	Fresh bool
	// NewConnection asks for a connection on which nothing was sent before, so that no answer to an earlier request
	// can arrive. A request that its answer does not name needs one if it matters whose answer it gets.
	NewConnection bool
	// IsAnswer reports from the header of an answer whether it answers this request. If it is nil,
	// every answer does.
	IsAnswer func(h http.Header) bool
}

// Path is how a connection reaches the upstream.
type Path struct {
	Helper ident.Instance // instance that passes the connection on; "" if it is direct
	Local  string         // address of this instance's end; "" if it is direct
}

// Errors of an exchange. NotSent means that no byte of the request can have reached the upstream.
// Broken means that the exchange failed later, and the request may have run.
var (
	NotSent = errs.Class("not sent")
	Broken  = errs.Class("exchange broken")
)

// Settings of a Client. The zero value takes the defaults.
type Settings struct {
	DialTimeout time.Duration // limit for opening a connection; 0 means 250ms
	AckTimeout  time.Duration // limit for data to be acknowledged before the connection is closed; 0 means 2s
	IdleTimeout time.Duration // how long an idle connection is kept if the upstream names no time; 0 means 3s
	FreshTime   time.Duration // longest idle time of a connection that counts as recently used; 0 means 500ms
	MaxIdle     int           // idle connections kept to each upstream; 0 means 32
	MaxHeader   int           // size of the head of an answer in bytes; 0 means 64 KiB
	MaxBody     int64         // size of a complete body in bytes, unless the request sets one; 0 means 64 MiB
	MaxBuffered int64         // size in bytes of all bodies that are being read into memory; 0 means 68 MiB
}

// Defaults of Settings.
const (
	defaultDialTimeout = 250 * time.Millisecond // many times a handshake with a busy upstream in another failure domain
	defaultAckTimeout  = 2 * time.Second        // a sound upstream may pause for a second without reading, and keepAlive takes as long
	defaultIdleTimeout = 3 * time.Second        // below the smallest idle time-out in common use, 5 s
	defaultFreshTime   = 500 * time.Millisecond
	defaultMaxIdle     = 32
	defaultMaxHeader   = 64 << 10
	defaultMaxBody     = 64 << 20
	defaultMaxBuffered = defaultMaxBody + 4<<20 // one body of the greatest size and some small ones
)

func (cfg Settings) withDefaults() Settings {
	unit.SetDefault(&cfg.DialTimeout, defaultDialTimeout)
	unit.SetDefault(&cfg.AckTimeout, defaultAckTimeout)
	unit.SetDefault(&cfg.IdleTimeout, defaultIdleTimeout)
	unit.SetDefault(&cfg.FreshTime, defaultFreshTime)
	unit.SetDefault(&cfg.MaxIdle, defaultMaxIdle)
	unit.SetDefault(&cfg.MaxHeader, defaultMaxHeader)
	unit.SetDefault(&cfg.MaxBody, defaultMaxBody)
	unit.SetDefault(&cfg.MaxBuffered, defaultMaxBuffered)
	return cfg
}
