package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"crocuslug/directory"
	"crocuslug/exchange"
)

// Times of probes. An engine that reads a prompt sends nothing for a second or more, and
// only a probe shows whether it is alive.
const (
	probeInterval = 450 * time.Millisecond // time of waiting for an answer before each probe
	probeTimeout  = 250 * time.Millisecond // probes are answered at once, without a slot
)

// Causes with which the context of an attempt ends if its engine is left after a probe.
var (
	errProbeFailed = errors.New("the engine did not answer a probe")
	errUnreachable = errors.New("no connection to the engine could be made for a probe")
)

// withProbes returns a context that ends when u is to be left because it does not answer probes.
// Probes are sent periodically until the returned function is called.
func (d *Dispatcher) withProbes(ctx context.Context, u directory.Upstream, p patience) (context.Context, context.CancelFunc) {
	if d.protocol.ProbePath == "" {
		return ctx, func() {}
	}
	probed, lost := context.WithCancelCause(ctx)
	waiting, stop := context.WithCancel(ctx)
	var answered atomic.Int64 // when the last probe that was answered was sent, in Unix nanoseconds
	answered.Store(d.timer.Now().UnixNano())
	sub := d.timer.Every(probeInterval, func(now time.Time) {
		go func() {
			switch err := d.probe(waiting, u, now); {
			case waiting.Err() != nil:
			case errors.Is(err, errResting) || errors.Is(err, errNoBuild):
				// Nothing is known about the engine.
			case err == nil:
				answered.Store(max(answered.Load(), now.UnixNano()))
			case !p.beforeStart(time.Duration(now.UnixNano() - answered.Load())):
			case exchange.NotSent.Has(err):
				lost(errUnreachable)
			default:
				lost(errProbeFailed)
			}
		}()
	})
	return probed, func() {
		sub.Stop()
		stop()
	}
}

// probe returns nil if u answers a probe, and errResting or errNoBuild if none may be sent. The answer does not say which
// upstream gave it, so it is no sign of life of u: another one may have the address by now.
func (d *Dispatcher) probe(ctx context.Context, u directory.Upstream, now time.Time) error {
	if !d.mayUse(u, now) {
		return errNoBuild
	}
	if !d.rests.TakeProbe(u.ID, now) {
		return errResting
	}
	_, _, err := d.callUpstream(ctx, u.Address, &exchange.Request{Method: http.MethodGet, Target: d.protocol.ProbePath}, now.Add(probeTimeout))
	return err
}

// maxCallAnswer bounds the answer to a call of this instance in bytes; reports and names of copies
// are far smaller.
const maxCallAnswer = 64 << 10

// callUpstream makes a call that is not on behalf of a caller, and returns the status and
// the body of the answer. The answer does not name the call, so a call whose answer matters sets NewConnection in r.
func (d *Dispatcher) callUpstream(ctx context.Context, address string, r *exchange.Request, until time.Time) (int, []byte, error) {
	ctx, cancel := d.withDeadline(ctx, until)
	defer cancel()
	r.Host = address
	r.Header = http.Header{}
	if len(r.Body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	r.AnswerBy = until
	r.MaxBody = maxCallAnswer
	ans, err := d.client.Do(ctx, address, r)
	if err != nil {
		return 0, nil, err
	}
	defer ans.Close()
	answer, err := ans.ReadBody()
	return ans.Status, answer, err
}
