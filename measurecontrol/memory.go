package measurecontrol

import (
	"context"
	"fmt"
	"sync"
	"time"

	"crocuslug/caller"
	"crocuslug/ident"
	"crocuslug/measure"
	"crocuslug/standinengine"
	"crocuslug/standinsite"
)

// Load of memory-stream. Its streams are blocked shortly before their last token, so
// that all of them are open at the same time.
const (
	memoryTokens   = 200
	memoryInterval = 5 * time.Millisecond
	memorySlots    = 2000
	barrierTimeout = 15 * time.Second
)

// memoryFigures are the figures of memory-stream. The heap is that of the whole
// process, so it includes the memory of callers and engine for each stream.
type memoryFigures struct {
	Points           []memoryPoint
	KBPerStream      fittedLine // heap against open streams of memoryTokens; the slope is the cost of a stream
	AddedBytesATok   float64
	KBPerKeptRequest float64 // after completion of the answers, owner and replica together
}

type memoryPoint struct {
	Streams    int
	HeapMB     float64 // above the idle site, while the streams are open
	KeptMB     float64 // above the idle site, after the answers are complete and retained
	Goroutines int     // above the idle site
	TokenBytes float64 // replication traffic per token, appends and acknowledgements
}

// runMemory measures the heap that open streams need in owner and replica.
func runMemory(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	var f memoryFigures
	var xs, ys, retained []float64
	for _, n := range []int{100, 400, 800} {
		p, err := holdStreams(ctx, cfg, n, memoryTokens, &report)
		if err != nil {
			return report, err
		}
		f.Points = append(f.Points, p)
		xs, ys, retained = append(xs, float64(n)), append(ys, p.HeapMB*kbPerMB), append(retained, p.KeptMB*kbPerMB)
	}
	const streamsOfOne = 450
	f.KBPerStream = fit(xs, ys, streamsOfOne)
	f.KBPerKeptRequest = fit(xs, retained, streamsOfOne).Slope
	long, err := holdStreams(ctx, cfg, 400, 5*memoryTokens, &report)
	if err != nil {
		return report, err
	}
	more := (long.HeapMB - f.Points[1].HeapMB) * kbPerMB * kbPerMB
	f.AddedBytesATok = more / float64(400*4*memoryTokens)
	f.Points = append(f.Points, long)
	report.Figures = f
	return report, nil
}

const kbPerMB = 1 << 10

// holdStreams starts n streams, measures the heap when all of them have reached their
// last token but one, and again after their answers are complete.
func holdStreams(ctx context.Context, cfg measure.Settings, n, tokens int, report *measure.Report) (memoryPoint, error) {
	site := standinsite.New(standinsite.Settings{
		Instances: 2, Engines: 1, Seed: cfg.Seed,
		Engine: standinengine.Settings{TokenInterval: memoryInterval, Slots: memorySlots},
	})
	if err := site.Start(); err != nil {
		return memoryPoint{}, err
	}
	defer site.Stop()
	heap, routines := liveHeap()
	atLastToken := newBarrier(n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			a := site.Caller(caller.Settings{}).Do(ctx, caller.Request{
				ID: ident.Request(fmt.Sprintf("held-%d", i)), Model: standinsite.Model, Prompt: "hold", MaxTokens: tokens, First: i,
				OnToken: func(index int, _ string) {
					if index == tokens-2 {
						atLastToken.arrive()
					}
				},
			})
			if !a.Whole || len(a.Tokens) != tokens {
				report.AddViolation(fmt.Sprintf("stream %d: complete %t, %d tokens, error %v", i, a.Whole, len(a.Tokens), a.Err))
			}
		})
	}
	if !atLastToken.wait(ctx) {
		report.AddViolation(fmt.Sprintf("%d of %d streams did not reach their last token but one", atLastToken.missing(), n))
	}
	during, more := liveHeap()
	atLastToken.release()
	wg.Wait()
	after, _ := liveHeap()
	var data uint64
	for _, d := range site.Instances {
		data += d.Usage().Link.DataSent
	}
	const bytesPerMB = 1 << 20
	p := memoryPoint{Streams: n, HeapMB: (during - heap) / bytesPerMB, KeptMB: (after - heap) / bytesPerMB, Goroutines: more - routines}
	p.TokenBytes = float64(data) / float64(n*tokens)
	cfg.Log.Info().Int("streams", n).Int("tokens", tokens).Float64("heap MB", p.HeapMB).Float64("kept MB", p.KeptMB).Msg("held")
	return p, ctx.Err()
}

// barrier blocks streams until all of them have arrived and release is called.
type barrier struct {
	mu        sync.Mutex
	remaining int
	arrived   chan struct{}
	released  chan struct{}
}

func newBarrier(n int) *barrier {
	return &barrier{remaining: n, arrived: make(chan struct{}), released: make(chan struct{})}
}

func (b *barrier) arrive() {
	b.mu.Lock()
	b.remaining--
	if b.remaining == 0 {
		close(b.arrived)
	}
	b.mu.Unlock()
	select {
	case <-b.released:
	case <-time.After(barrierTimeout):
	}
}

func (b *barrier) wait(ctx context.Context) bool {
	select {
	case <-b.arrived:
		return true
	case <-ctx.Done():
	case <-time.After(barrierTimeout):
	}
	return false
}

func (b *barrier) missing() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining
}

func (b *barrier) release() {
	close(b.released)
}
