package measuregeneration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"crocuslug/caller"
	"crocuslug/daemon"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/measure"
	"crocuslug/owner"
	"crocuslug/silence"
	"crocuslug/standinsite"
)

// Shape of the relay experiments: as many streams at the engine's cadence as
// one instance has at the target size, and a few as fast as the relay goes.
const (
	relayStreams  = 450
	relayTokens   = 400
	relayInterval = 26 * time.Millisecond
	fastStreams   = 64
	fastTokens    = 8000
)

// relayFigures are what the relay experiments report. The processor times are
// those of the whole process, so the direct run, without any instance, is taken off.
type relayFigures struct {
	Relayed, Direct        relayRun
	AddedLatencyP50Us      float64 // of a token, against the direct run
	AddedLatencyP95Us      float64
	CPUPerTokenUs          float64 // owner and replica together
	TokensPerSecondPerCore float64 // of an instance that owns and holds copies alike
}

// relayRun is one run of the relay.
type relayRun struct {
	Streams         int
	Tokens          int64
	Seconds         float64
	TokensPerSecond float64
	CPUPerTokenUs   float64
	LatencyP50Us    float64
	LatencyP95Us    float64
	LatencyP99Us    float64
}

// runRelay measures what the way through an instance adds to each token at the
// engine's cadence. The baseline relays without a replica.
func runRelay(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	return relay(ctx, cfg, relayStreams, relayTokens, relayInterval)
}

// runRelayFast measures how fast tokens go through.
func runRelayFast(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	return relay(ctx, cfg, fastStreams, fastTokens, 0)
}

func relay(ctx context.Context, cfg measure.Settings, streams, tokens int, interval time.Duration) (measure.Report, error) {
	var report measure.Report
	fig := relayFigures{}
	for _, direct := range []bool{true, false} {
		e := &clockEngine{tokens: tokens, interval: interval}
		if err := e.start(); err != nil {
			return report, err
		}
		r, err := relayOnce(ctx, cfg, e, direct, streams, tokens, &report)
		e.stop()
		if err != nil {
			return report, err
		}
		if direct {
			fig.Direct = r
		} else {
			fig.Relayed = r
		}
	}
	fig.AddedLatencyP50Us = fig.Relayed.LatencyP50Us - fig.Direct.LatencyP50Us
	fig.AddedLatencyP95Us = fig.Relayed.LatencyP95Us - fig.Direct.LatencyP95Us
	fig.CPUPerTokenUs = fig.Relayed.CPUPerTokenUs - fig.Direct.CPUPerTokenUs
	const microsPerSecond = 1e6
	fig.TokensPerSecondPerCore = microsPerSecond / fig.CPUPerTokenUs
	report.Figures = fig
	return report, nil
}

// unhurried is a limit of silence that no stream comes to.
const unhurried = 30 * time.Second

func relayOnce(ctx context.Context, cfg measure.Settings, e *clockEngine, direct bool, streams, tokens int, report *measure.Report) (relayRun, error) {
	s := standinsite.Settings{Instances: 2, Engines: 1, Seed: cfg.Seed, EngineAddress: e.addr(), Slots: 2 * streams}
	s.Options = daemon.Options{Owner: owner.Settings{Generation: generation.Settings{
		DisableReplication: cfg.Baseline,
		Silence:            silence.Settings{MinFirstTimeout: unhurried, MinGapTimeout: unhurried, MaxTimeout: unhurried}, // the engine knows no resumes
	}}}
	site := standinsite.New(s)
	if err := site.Start(); err != nil {
		return relayRun{}, err
	}
	defer site.Stop()
	addresses := site.Addresses()
	if direct {
		addresses = []string{e.addr()}
	}
	latency := measure.NewHistogram()
	var mu sync.Mutex
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	cpu, began := processorTime(), site.Timer().Now()
	for i := range streams {
		delay := time.Duration(rng.Int64N(int64(relayInterval)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			pause(ctx, site, delay)
			own := measure.NewHistogram()
			c := site.Caller(caller.Settings{Addresses: addresses})
			a := c.Do(ctx, caller.Request{
				ID: ident.Request(fmt.Sprintf("relay-%d", i)), Model: standinsite.Model, Prompt: "relay", MaxTokens: tokens, First: i,
				OnToken: func(_ int, text string) { observe(own, text) },
			})
			mu.Lock()
			defer mu.Unlock()
			latency.Merge(own)
			if !a.Whole || len(a.Tokens) != tokens {
				report.Violate(fmt.Sprintf("stream %d: whole %t, %d tokens, %v", i, a.Whole, len(a.Tokens), a.Err))
			}
		}()
	}
	wg.Wait()
	return summary(latency, streams, site.Timer().Now().Sub(began), processorTime()-cpu), nil
}

// observe takes the age of a token from the time in its text.
func observe(h *hdrhistogram.Histogram, text string) {
	_, at, _ := strings.Cut(strings.TrimSpace(text), "@")
	ns, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return
	}
	_ = h.RecordValue(max(1, time.Duration(time.Now().UnixNano()-ns).Microseconds()))
}

func summary(h *hdrhistogram.Histogram, streams int, took, cpu time.Duration) relayRun {
	n := h.TotalCount()
	return relayRun{
		Streams:         streams,
		Tokens:          n,
		Seconds:         took.Seconds(),
		TokensPerSecond: float64(n) / took.Seconds(),
		CPUPerTokenUs:   float64(cpu.Microseconds()) / float64(n),
		LatencyP50Us:    float64(h.ValueAtQuantile(50)),
		LatencyP95Us:    float64(h.ValueAtQuantile(95)),
		LatencyP99Us:    float64(h.ValueAtQuantile(99)),
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
