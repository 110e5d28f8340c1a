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

// Load of the relay experiments: relay has as many streams at the engines' decoding
// rate as one instance serves at the target size, relay-fast a few without pauses
// between tokens.
const (
	relayStreams  = 450
	relayTokens   = 400
	relayInterval = 26 * time.Millisecond
	fastStreams   = 64
	fastTokens    = 8000
)

// relayFigures are the figures of the relay experiments. Processor times are measured
// for the whole process, so those of a direct run, without any instance, are subtracted.
type relayFigures struct {
	Relayed, Direct        relayRun
	AddedLatencyP50Us      float64 // latency of a token beyond that of the direct run
	AddedLatencyP95Us      float64
	CPUPerTokenUs          float64 // owner and replica together
	TokensPerSecondPerCore float64 // of an instance that owns as many generations as it replicates
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

// runRelay measures the cost that an instance adds to each token at the engines'
// decoding rate. The baseline relays without a replica.
func runRelay(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	return compareRelay(ctx, cfg, relayStreams, relayTokens, relayInterval)
}

// runRelayFast measures the highest throughput of tokens.
func runRelayFast(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	return compareRelay(ctx, cfg, fastStreams, fastTokens, 0)
}

func compareRelay(ctx context.Context, cfg measure.Settings, streams, tokens int, interval time.Duration) (measure.Report, error) {
	var report measure.Report
	fig := relayFigures{}
	for _, direct := range []bool{true, false} {
		e := &timestampEngine{tokens: tokens, interval: interval}
		if err := e.start(); err != nil {
			return report, err
		}
		r, err := runRelayOnce(ctx, cfg, e, direct, streams, tokens, &report)
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

// unreachedSilence is a silence limit that no stream reaches.
const unreachedSilence = 30 * time.Second

func runRelayOnce(ctx context.Context, cfg measure.Settings, e *timestampEngine, direct bool, streams, tokens int, report *measure.Report) (relayRun, error) {
	s := standinsite.Settings{Instances: 2, Engines: 1, Seed: cfg.Seed, EngineAddress: e.addr(), Slots: 2 * streams}
	s.Options = daemon.Options{Owner: owner.Settings{Generation: generation.Settings{
		DisableReplication: cfg.Baseline,
		// The engine cannot continue a stream, so it must not be taken for lost.
		Silence: silence.Settings{MinFirstTimeout: unreachedSilence, MinGapTimeout: unreachedSilence, MaxTimeout: unreachedSilence},
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
			sleep(ctx, site, delay)
			streamLatency := measure.NewHistogram()
			c := site.Caller(caller.Settings{Addresses: addresses})
			a := c.Do(ctx, caller.Request{
				ID: ident.Request(fmt.Sprintf("relay-%d", i)), Model: standinsite.Model, Prompt: "relay", MaxTokens: tokens, First: i,
				OnToken: func(_ int, text string) { recordTokenAge(streamLatency, text) },
			})
			mu.Lock()
			defer mu.Unlock()
			latency.Merge(streamLatency)
			if !a.Whole || len(a.Tokens) != tokens {
				report.AddViolation(fmt.Sprintf("stream %d: whole %t, %d tokens, %v", i, a.Whole, len(a.Tokens), a.Err))
			}
		}()
	}
	wg.Wait()
	return summarizeRelay(latency, streams, site.Timer().Now().Sub(began), processorTime()-cpu), nil
}

// recordTokenAge records the age of a token by the time in its text.
func recordTokenAge(h *hdrhistogram.Histogram, text string) {
	_, at, _ := strings.Cut(strings.TrimSpace(text), "@")
	ns, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return
	}
	_ = h.RecordValue(max(1, time.Duration(time.Now().UnixNano()-ns).Microseconds()))
}

func summarizeRelay(h *hdrhistogram.Histogram, streams int, took, cpu time.Duration) relayRun {
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
