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
	"crocuslug/standinsite"
)

// Shape of the relay experiment: streams at the engine's cadence, then as fast
// as the relay goes.
const (
	relayStreams  = 200
	relayTokens   = 250
	relayInterval = 25 * time.Millisecond
	fastStreams   = 64
	fastTokens    = 4000
)

// relayFigures are what relay reports. The processor times are those of the
// whole process, so the direct run, without any instance, is taken off.
type relayFigures struct {
	Paced, PacedDirect     relayRun
	AddedLatencyP50Us      float64 // of a token, against the direct run
	AddedLatencyP95Us      float64
	InstanceCPUPerTokenUs  float64 // owner and replica together, paced
	Fast, FastDirect       relayRun
	FastCPUPerTokenUs      float64 // owner and replica together
	TokensPerSecondPerCore float64 // of one instance that owns and holds copies alike
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

// runRelay measures what the way through an instance adds to each token.
// The baseline relays without a replica.
func runRelay(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	fig := relayFigures{}
	for _, part := range []struct {
		run      *relayRun
		direct   bool
		streams  int
		tokens   int
		interval time.Duration
	}{
		{&fig.PacedDirect, true, relayStreams, relayTokens, relayInterval},
		{&fig.Paced, false, relayStreams, relayTokens, relayInterval},
		{&fig.FastDirect, true, fastStreams, fastTokens, 0},
		{&fig.Fast, false, fastStreams, fastTokens, 0},
	} {
		e := &clockEngine{tokens: part.tokens, interval: part.interval}
		if err := e.start(); err != nil {
			return report, err
		}
		r, err := relayOnce(ctx, cfg, e, part.direct, part.streams, part.tokens, &report)
		e.stop()
		if err != nil {
			return report, err
		}
		*part.run = r
		cfg.Log.Info().Bool("direct", part.direct).Float64("tokens/s", r.TokensPerSecond).Float64("cpu us/token", r.CPUPerTokenUs).Float64("p95 us", r.LatencyP95Us).Msg("part over")
	}
	fig.AddedLatencyP50Us = fig.Paced.LatencyP50Us - fig.PacedDirect.LatencyP50Us
	fig.AddedLatencyP95Us = fig.Paced.LatencyP95Us - fig.PacedDirect.LatencyP95Us
	fig.InstanceCPUPerTokenUs = fig.Paced.CPUPerTokenUs - fig.PacedDirect.CPUPerTokenUs
	fig.FastCPUPerTokenUs = fig.Fast.CPUPerTokenUs - fig.FastDirect.CPUPerTokenUs
	const microsPerSecond = 1e6
	fig.TokensPerSecondPerCore = microsPerSecond / fig.FastCPUPerTokenUs
	report.Figures = fig
	return report, nil
}

func relayOnce(ctx context.Context, cfg measure.Settings, e *clockEngine, direct bool, streams, tokens int, report *measure.Report) (relayRun, error) {
	s := standinsite.Settings{Instances: 2, Engines: 1, Seed: cfg.Seed, EngineAddress: e.addr(), Slots: 2 * streams}
	s.Options = daemon.Options{Owner: owner.Settings{Generation: generation.Settings{DisableReplic: cfg.Baseline}}}
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
