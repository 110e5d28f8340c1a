package keyvalue

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"crocuslug/store"
)

// kind tells calls apart by what they cost and what their failure means.
type kind int

const (
	read kind = iota
	write
	watch
)

// call is one request to the service.
type call struct {
	Message
	kind  kind
	limit time.Duration
}

// reply is an answer of the service.
type reply struct {
	status int
	body   []byte
}

// do makes a call within the budget unless the client is backing off. It calls
// sent, if any, just before the request leaves. A reply has a status below 300
// or is that of Trimmed.
func (c *Client) do(ctx context.Context, q call, sent func()) (reply, error) {
	probe, err := c.enter(ctx, q.kind)
	if err != nil {
		return reply{}, err
	}
	if sent != nil {
		sent()
	}
	type outcome struct {
		reply reply
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		r, err := c.roundTrip(q)
		err = classify(q.kind, r, err)
		c.leave(err, probe)
		done <- outcome{r, err}
	}()
	select {
	case o := <-done:
		return o.reply, o.err
	case <-ctx.Done():
		if q.kind == write {
			return reply{}, store.Unknown.Wrap(ctx.Err())
		}
		return reply{}, store.Unavailable.Wrap(ctx.Err())
	}
}

// errBackingOff marks a call that was refused here after failures.
var errBackingOff = errs.New("backing off")

// enter waits for the budget and asks the breaker, which may refuse before
// anything is spent.
func (c *Client) enter(ctx context.Context, k kind) (probe bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, store.Unavailable.Wrap(err)
	}
	if c.resumesIn() > 0 {
		return false, c.backOff()
	}
	if err := c.spend(ctx, k); err != nil {
		return false, err
	}
	c.mu.Lock()
	ok, probe := c.breaker.allow(c.timer.Now())
	if ok {
		*c.counter(k)++
	}
	c.mu.Unlock()
	if !ok {
		return false, c.backOff()
	}
	return probe, nil
}

// resumesIn returns the time until the breaker lets a call through.
func (c *Client) resumesIn() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.resumesIn(c.timer.Now())
}

// backOff counts a call that is refused here.
func (c *Client) backOff() error {
	c.count(&c.calls.BackedOff)
	return store.Unavailable.Wrap(errBackingOff)
}

func (c *Client) counter(k kind) *uint64 {
	switch k {
	case write:
		return &c.calls.Writes
	case watch:
		return &c.calls.Watches
	}
	return &c.calls.Reads
}

// spend takes one call from the budget, or returns store.Unavailable if
// that would take too long.
func (c *Client) spend(ctx context.Context, k kind) error {
	budget := c.reads
	if k == write {
		budget = c.writes
	}
	now := c.timer.Now()
	r := budget.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > c.cfg.BudgetWait {
		r.CancelAt(now)
		c.count(&c.calls.OverBudget)
		return store.Unavailable.New("budget is spent")
	}
	if err := c.sleep(ctx, wait); err != nil {
		return store.Unavailable.Wrap(err)
	}
	return nil
}

// leave reports the outcome of a call to the breaker and counts it.
func (c *Client) leave(err error, probe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unknown := store.Unknown.Has(err)
	if !unknown && !store.Unavailable.Has(err) {
		c.breaker.succeed()
		return
	}
	if unknown {
		c.calls.Unknown++
	} else {
		c.calls.Unavailable++
	}
	c.breaker.fail(c.timer.Now(), probe)
}

// roundTrip sends a request once. After a time-out it gives up all idle
// connections, for they may have gone silent with the one that was used.
func (c *Client) roundTrip(q call) (reply, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(q.Method)
	req.SetRequestURI("http://" + c.cfg.Address + q.URI)
	req.SetBody(q.Body)
	if len(q.Body) > 0 && c.cfg.ContentType != "" {
		req.Header.SetContentType(c.cfg.ContentType)
	}
	if err := c.http.DoTimeout(req, res, q.limit); err != nil {
		if isTimeout(err) {
			c.http.CloseIdleConnections()
		}
		return reply{}, errs.Wrap(err)
	}
	return reply{res.StatusCode(), append([]byte(nil), res.Body()...)}, nil
}

// isTimeout reports whether a request that was sent had no answer in time.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout() && !errDial.Has(err)
}

// classify returns the platform's error for the outcome of a call, or nil if
// the reply holds a result.
func classify(k kind, r reply, err error) error {
	switch {
	case errDial.Has(err) || errors.Is(err, fasthttp.ErrNoFreeConns):
		return store.Unavailable.Wrap(err)
	case err != nil && k == write:
		return store.Unknown.Wrap(err)
	case err != nil:
		return store.Unavailable.Wrap(err)
	case r.status < http.StatusMultipleChoices:
		return nil
	}
	return classifyStatus(k, r)
}

func classifyStatus(k kind, r reply) error {
	switch r.status {
	case http.StatusNotFound:
		return store.Absent.New("status 404")
	case http.StatusPreconditionFailed:
		return store.Conflict.New("status 412")
	case http.StatusRequestEntityTooLarge:
		return store.TooLarge.New("status 413")
	case http.StatusGone:
		return store.Trimmed.New("status 410")
	}
	refused := r.status < http.StatusInternalServerError || r.status == http.StatusServiceUnavailable
	if k == write && !refused {
		return store.Unknown.New("status %d", r.status)
	}
	return store.Unavailable.New("status %d", r.status)
}
