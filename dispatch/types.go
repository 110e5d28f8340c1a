package dispatch

import (
	"net/http"
	"time"

	"crocuslug/unit"
)

// Reply is a whole answer of an upstream.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	More   [][]byte // of the body, after Body

	delimited bool // the answer says where it ends
}

// Sink receives a stream for the caller.
type Sink struct {
	Begin func(status int, h http.Header) error // called before the first piece
	Piece func(raw []byte) error
	End   func() error // called after the last piece of a whole stream
}

// Settings configures a Dispatcher. Zero fields take the defaults.
type Settings struct {
	MaxSends          int           // attempts to send one request, including those that cannot have arrived; 0 means 8
	FirstPieceTimeout time.Duration // wait for the first piece after which an engine is left for another; 0 means 6s
	GapShare          float64       // fraction of the longest pause of the route after which a silent engine is left for another; 0 means 0.55
	MaxGapShare       float64       // same fraction for an engine that was slow before; 0 means 0.75
	DefaultGap        time.Duration // wait after which a silent engine is left if the route sets no longest pause; 0 means 1s
	MaxPause          time.Duration // silence of an engine after which a stream is resumed elsewhere though no copy or only one attempt is left; 0 means 1.5s
	AttemptShare      float64       // fraction of the remaining time that one attempt may take if more are allowed; 0 means 0.5
	MinRemaining      time.Duration // least remaining time with which a request is sent; 0 means 5ms
	MaxBacklog        time.Duration // reading time of the prompts at an upstream up to which a new stream is sent there without queueing; 0 means 1.5s
	QueueWaitShare    float64       // fraction of the objective of its route that a new stream may spend in the queue; 0 means 0.65
	ByMemory          bool          // the memory of engines is counted, see package enginememory; the same as fleet.Settings.ByMemory
	MaxQueued         int           // new streams queued for one service; 0 means 128
	MaxResumeWait     time.Duration // longest wait of an interrupted stream for an upstream; 0 means 12s
	RequireIdleFor    time.Duration // part of MaxResumeWait during which only upstreams without unread prompts are chosen; 0 means 10s
	RetryAfterShare   float64       // fraction of its remaining time after which a refused caller may retry; 0 means 0.08
	MinRetryAfter     time.Duration // least time after which a refused caller may retry; 0 means 100ms
	MaxRetryAfter     time.Duration // greatest time after which a refused caller may retry; 0 means 2s
}

// Defaults of Settings.
const (
	defaultMaxSends          = 8
	defaultFirstPieceTimeout = 6 * time.Second // time to read three prompts of the largest size at once; probes detect a dead engine sooner
	defaultGapShare          = 0.55            // the rest of the pause is needed to resume from a copy, up to 300 ms on a busy engine
	defaultMaxGapShare       = 0.75            // resuming from a copy mostly takes less than 100 ms
	defaultGap               = time.Second
	defaultMaxPause          = 1500 * time.Millisecond // sound engines pause for about a second
	defaultAttemptShare      = 0.5
	defaultMinRemaining      = 5 * time.Millisecond
	defaultMaxBacklog        = 1500 * time.Millisecond // the answer to a prompt of the usual size sent then begins within 3 s, before the usual objective
	defaultQueueWaitShare    = 0.65                    // the rest of the objective is needed to read the prompt
	defaultMaxQueued         = 128
	defaultMaxResumeWait     = 12 * time.Second // according to the data sheets, callers disconnect after 18 s of silence
	defaultRequireIdleFor    = 10 * time.Second // crashed upstreams restart within 2 s, then each reads eight prompts of 1 s
	defaultRetryAfterShare   = 0.08             // callers wait at most a third of their remaining time
	defaultMinRetryAfter     = 100 * time.Millisecond
	defaultMaxRetryAfter     = 2 * time.Second // a prompt of the usual size can still be answered in time after that
)

// withDefaults returns cfg with defaults in place of zero fields.
func (cfg Settings) withDefaults() Settings {
	unit.SetDefault(&cfg.MaxSends, defaultMaxSends)
	unit.SetDefault(&cfg.FirstPieceTimeout, defaultFirstPieceTimeout)
	unit.SetDefault(&cfg.GapShare, defaultGapShare)
	unit.SetDefault(&cfg.MaxGapShare, defaultMaxGapShare)
	unit.SetDefault(&cfg.DefaultGap, defaultGap)
	unit.SetDefault(&cfg.MaxPause, defaultMaxPause)
	unit.SetDefault(&cfg.AttemptShare, defaultAttemptShare)
	unit.SetDefault(&cfg.MinRemaining, defaultMinRemaining)
	unit.SetDefault(&cfg.MaxBacklog, defaultMaxBacklog)
	unit.SetDefault(&cfg.QueueWaitShare, defaultQueueWaitShare)
	unit.SetDefault(&cfg.MaxQueued, defaultMaxQueued)
	unit.SetDefault(&cfg.MaxResumeWait, defaultMaxResumeWait)
	unit.SetDefault(&cfg.RequireIdleFor, defaultRequireIdleFor)
	unit.SetDefault(&cfg.RetryAfterShare, defaultRetryAfterShare)
	unit.SetDefault(&cfg.MinRetryAfter, defaultMinRetryAfter)
	unit.SetDefault(&cfg.MaxRetryAfter, defaultMaxRetryAfter)
	return cfg
}
