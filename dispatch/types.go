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
}

// Sink takes a stream for the caller.
type Sink struct {
	Begin func(status int, h http.Header) error // before the first piece
	Piece func(raw []byte) error
	End   func() error // the stream is whole
}

// Settings of a Dispatcher. The zero value takes the defaults.
type Settings struct {
	Sends        int           // sendings of one request, those included that cannot have arrived; 0 means 8
	FirstPiece   time.Duration // wait for the first piece after which an engine counts as lost; 0 means 6s
	GapShare     float64       // part of the route's longest pause after which a silent engine counts as lost; 0 means 0.55
	MostGapShare float64       // the same for an engine that was slow before; 0 means 0.75
	Gap          time.Duration // that wait if the route names no pause; 0 means 1s
	SafeShare    float64       // part of the remaining time that one of several attempts may take; 0 means 0.5
	MinRemaining time.Duration // least time with which a request is sent; 0 means 5ms
	MostBacklog  time.Duration // of prompts to be read at an upstream, up to which a new stream is sent there without waiting; 0 means 1.5s
	WaitShare    float64       // part of its route's objective that a new stream may wait for its turn; 0 means 0.65
	MostWaiting  int           // new streams that wait for a service; 0 means 128
	ResumeWait   time.Duration // longest wait of a stream that was lost until an upstream takes it; 0 means 12s
	PacedFor     time.Duration // part of that wait in which it goes only where no prompt is read; 0 means 10s
	RetryShare   float64       // part of its remaining time after which a refused caller may come back; 0 means 0.08
	LeastRetry   time.Duration // least such time; 0 means 100ms
	MostRetry    time.Duration // greatest such time; 0 means 2s
}

// Defaults of Settings.
const (
	defaultSends        = 8
	defaultFirstPiece   = 6 * time.Second // three prompts of the largest size read at once; probes find a dead engine sooner
	defaultGapShare     = 0.55            // the rest is for going on from a copy, which takes up to 300 ms on a busy engine
	defaultMostGapShare = 0.75            // going on from a copy mostly takes under 100 ms
	defaultGap          = time.Second
	defaultSafeShare    = 0.5
	defaultMinRemaining = 5 * time.Millisecond
	defaultMostBacklog  = 1500 * time.Millisecond // a prompt of the usual size after that is begun within three, before the usual objective
	defaultWaitShare    = 0.65                    // the rest is for reading the prompt
	defaultMostWaiting  = 128
	defaultResumeWait   = 12 * time.Second // callers leave after a silence of 18 s on the sheets
	defaultPacedFor     = 10 * time.Second // two until crashed upstreams are back, and eight prompts each that are read in one
	defaultRetryShare   = 0.08             // a third of the remaining time is the most that callers wait
	defaultLeastRetry   = 100 * time.Millisecond
	defaultMostRetry    = 2 * time.Second // then a prompt of the usual size is still begun in time
)

func (cfg Settings) withDefaults() Settings {
	unit.SetDefault(&cfg.Sends, defaultSends)
	unit.SetDefault(&cfg.FirstPiece, defaultFirstPiece)
	unit.SetDefault(&cfg.GapShare, defaultGapShare)
	unit.SetDefault(&cfg.MostGapShare, defaultMostGapShare)
	unit.SetDefault(&cfg.Gap, defaultGap)
	unit.SetDefault(&cfg.SafeShare, defaultSafeShare)
	unit.SetDefault(&cfg.MinRemaining, defaultMinRemaining)
	unit.SetDefault(&cfg.MostBacklog, defaultMostBacklog)
	unit.SetDefault(&cfg.WaitShare, defaultWaitShare)
	unit.SetDefault(&cfg.MostWaiting, defaultMostWaiting)
	unit.SetDefault(&cfg.ResumeWait, defaultResumeWait)
	unit.SetDefault(&cfg.PacedFor, defaultPacedFor)
	unit.SetDefault(&cfg.RetryShare, defaultRetryShare)
	unit.SetDefault(&cfg.LeastRetry, defaultLeastRetry)
	unit.SetDefault(&cfg.MostRetry, defaultMostRetry)
	return cfg
}
