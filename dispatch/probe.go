package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"crocuslug/directory"
	"crocuslug/exchange"
)

// Times of probes. An engine that reads a prompt says nothing for a second and
// more, and nothing else tells whether it lives.
const (
	probeAfter = 450 * time.Millisecond // of waiting for an answer
	probeLimit = 250 * time.Millisecond // for an answer that needs no slot
)

// errNoProbe is the cause of the end of a leg whose engine does not answer.
var errNoProbe = errors.New("the engine does not answer a probe")

// probing returns a context that ends if u does not answer probes, which are
// sent again and again until answered is called.
func (d *Dispatcher) probing(ctx context.Context, u directory.Upstream) (context.Context, context.CancelFunc) {
	if d.ports.ProbePath == "" {
		return ctx, func() {}
	}
	probed, lost := context.WithCancelCause(ctx)
	waiting, stop := context.WithCancel(ctx)
	sub := d.timer.Every(probeAfter, func(now time.Time) {
		go func() {
			if waiting.Err() == nil && !d.probe(waiting, u, now) && waiting.Err() == nil {
				lost(errNoProbe)
			}
		}()
	})
	return probed, func() {
		sub.Stop()
		stop()
	}
}

// probe reports whether u answers.
func (d *Dispatcher) probe(ctx context.Context, u directory.Upstream, now time.Time) bool {
	until := now.Add(probeLimit)
	ctx, cancel := d.until(ctx, until)
	defer cancel()
	ans, err := d.client.Do(ctx, u.Address, &exchange.Request{
		Method:   http.MethodGet,
		Target:   d.ports.ProbePath,
		Host:     u.Address,
		Header:   http.Header{},
		AnswerBy: until,
	})
	if err != nil {
		return false
	}
	defer ans.Close()
	_, err = ans.Whole()
	return err == nil
}
