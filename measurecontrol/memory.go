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

// Shape of the experiment on memory: streams that are held open with all of
// their tokens, at an engine that is slower than the experiment is long.
const (
	memoryTokens   = 200
	memoryInterval = 5 * time.Millisecond
	memorySlots    = 2000
	memoryLimit    = 15 * time.Second
)

// memoryFigures report the heap of the whole process, so that the caller's and
// the engine's part of a stream are in it.
type memoryFigures struct {
	Points           []memoryPoint
	KBPerStream      line // by the number of streams held at memoryTokens; the slope counts
	AddedBytesATok   float64
	KBPerKeptRequest float64 // after the end of the answers, owner and replica together
}

type memoryPoint struct {
	Streams    int
	HeapMB     float64 // above the idle site, streams in progress
	KeptMB     float64 // above the idle site, answers complete and kept
	Goroutines int     // above the idle site
	TokenBytes float64 // of replication, appends and acknowledgements, for a token
}

// runMemory holds streams in an owner and a replica and reads the heap.
func runMemory(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	var f memoryFigures
	var xs, ys, kept []float64
	for _, n := range []int{100, 400, 800} {
		p, err := holdStreams(ctx, cfg, n, memoryTokens, &report)
		if err != nil {
			return report, err
		}
		f.Points = append(f.Points, p)
		xs, ys, kept = append(xs, float64(n)), append(ys, p.HeapMB*kbPerMB), append(kept, p.KeptMB*kbPerMB)
	}
	const streamsOfOne = 450
	f.KBPerStream = fit(xs, ys, streamsOfOne)
	f.KBPerKeptRequest = fit(xs, kept, streamsOfOne).Slope
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

// holdStreams starts streams, reads the heap when all have their last tokens but
// one, and again when their answers are complete.
func holdStreams(ctx context.Context, cfg measure.Settings, n, tokens int, report *measure.Report) (memoryPoint, error) {
	site := standinsite.New(standinsite.Settings{
		Instances: 2, Engines: 1, Seed: cfg.Seed,
		Engine: standinengine.Settings{TokenInterval: memoryInterval, Slots: memorySlots},
	})
	if err := site.Start(); err != nil {
		return memoryPoint{}, err
	}
	defer site.Stop()
	heap, routines := memory()
	hold := newBarrier(n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			a := site.Caller(caller.Settings{}).Do(ctx, caller.Request{
				ID: ident.Request(fmt.Sprintf("held-%d", i)), Model: standinsite.Model, Prompt: "hold", MaxTokens: tokens, First: i,
				OnToken: func(index int, _ string) {
					if index == tokens-2 {
						hold.arrive()
					}
				},
			})
			if !a.Whole || len(a.Tokens) != tokens {
				report.Violate(fmt.Sprintf("stream %d: whole %t, %d tokens, %v", i, a.Whole, len(a.Tokens), a.Err))
			}
		})
	}
	if !hold.wait(ctx) {
		report.Violate(fmt.Sprintf("%d of %d streams did not get so far", hold.missing(), n))
	}
	during, more := memory()
	hold.release()
	wg.Wait()
	after, _ := memory()
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

// barrier holds streams until all have arrived and they are released.
type barrier struct {
	mu   sync.Mutex
	left int
	all  chan struct{}
	open chan struct{}
}

func newBarrier(n int) *barrier {
	return &barrier{left: n, all: make(chan struct{}), open: make(chan struct{})}
}

func (b *barrier) arrive() {
	b.mu.Lock()
	b.left--
	if b.left == 0 {
		close(b.all)
	}
	b.mu.Unlock()
	select {
	case <-b.open:
	case <-time.After(memoryLimit):
	}
}

func (b *barrier) wait(ctx context.Context) bool {
	select {
	case <-b.all:
		return true
	case <-ctx.Done():
	case <-time.After(memoryLimit):
	}
	return false
}

func (b *barrier) missing() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

func (b *barrier) release() {
	close(b.open)
}
