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
	sent := d.timer.Uptime()
	_, _, err := d.ask(ctx, u.Address, http.MethodGet, d.ports.ProbePath, nil, now.Add(probeLimit))
	if err == nil {
		d.fleet.ReportAlive(u.ID, sent)
	}
	return err == nil
}

// ask makes a call of the system's own at an upstream and returns the status
// and the body of the answer.
func (d *Dispatcher) ask(ctx context.Context, address, method, target string, body []byte, until time.Time) (int, []byte, error) {
	ctx, cancel := d.until(ctx, until)
	defer cancel()
	h := http.Header{}
	if len(body) > 0 {
		h.Set("Content-Type", "application/json")
	}
	ans, err := d.client.Do(ctx, address, &exchange.Request{
		Method:   method,
		Target:   target,
		Host:     address,
		Header:   h,
		Body:     body,
		AnswerBy: until,
	})
	if err != nil {
		return 0, nil, err
	}
	defer ans.Close()
	answer, err := ans.ReadBody()
	return ans.Status, answer, err
}
