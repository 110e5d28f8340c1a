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

// kind is the kind of a call. It decides which budget the call uses and what its failure means.
type kind int

const (
	read kind = iota
	write
	watch
)

// call is one request to the service, with its time limit.
type call struct {
	Request
	kind    kind
	timeout time.Duration
}

// reply is an answer of the service.
type reply struct {
	status int
	era    uint64 // of the service
	body   []byte
}

// do makes a call within the budget, unless the client is backing off. If sent is not nil, do
// calls it just before the request is sent. The reply has a status below 300, or the one that
// stands for store.Trimmed.
func (c *Client) do(ctx context.Context, q call, sent func()) (reply, error) {
	probe, err := c.admit(ctx, q.kind)
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
		c.recordOutcome(err, probe)
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

// errBackingOff is the error of a call that the client refuses because it is backing off.
var errBackingOff = errs.New("backing off")

// admit waits for the budget and then asks the breaker. It refuses a call during the back-off
// before any budget is used.
func (c *Client) admit(ctx context.Context, k kind) (probe bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, store.Unavailable.Wrap(err)
	}
	if c.retryDelay() > 0 {
		return false, c.refuse()
	}
	if err := c.awaitBudget(ctx, k); err != nil {
		return false, err
	}
	c.mu.Lock()
	ok, probe := c.breaker.allow(c.timer.Now())
	if ok {
		*c.counter(k)++
	}
	c.mu.Unlock()
	if !ok {
		return false, c.refuse()
	}
	return probe, nil
}

// retryDelay returns the time until the breaker allows a call.
func (c *Client) retryDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.retryDelay(c.timer.Now())
}

// refuse counts a call that is refused during the back-off and returns its error.
func (c *Client) refuse() error {
	c.increment(&c.calls.BackedOff)
	return store.Unavailable.Wrap(errBackingOff)
}

// counter returns the counter of calls of kind k.
func (c *Client) counter(k kind) *uint64 {
	switch k {
	case write:
		return &c.calls.Writes
	case watch:
		return &c.calls.Watches
	}
	return &c.calls.Reads
}

// awaitBudget waits until the budget allows one call. It returns store.Unavailable if that would
// take longer than MaxBudgetWait or ctx ends.
func (c *Client) awaitBudget(ctx context.Context, k kind) error {
	budget := c.reads
	if k == write {
		budget = c.writes
	}
	now := c.timer.Now()
	r := budget.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > c.cfg.MaxBudgetWait {
		r.CancelAt(now)
		c.increment(&c.calls.OverBudget)
		return store.Unavailable.New("call rate is over the budget")
	}
	if err := c.sleep(ctx, wait); err != nil {
		return store.Unavailable.Wrap(err)
	}
	return nil
}

// recordOutcome reports the outcome of a call to the breaker and counts failures.
func (c *Client) recordOutcome(err error, probe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unknown := store.Unknown.Has(err)
	if !unknown && !store.Unavailable.Has(err) {
		c.breaker.recordSuccess()
		return
	}
	if unknown {
		c.calls.Unknown++
	} else {
		c.calls.Unavailable++
	}
	c.breaker.recordFailure(c.timer.Now(), probe)
}

// roundTrip sends a request once. After a time-out it closes all idle connections, because they
// may have become silent like the one that was used.
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
	if err := c.http.DoTimeout(req, res, q.timeout); err != nil {
		if isTimeout(err) {
			c.http.CloseIdleConnections()
		}
		return reply{}, errs.Wrap(err)
	}
	era, err := c.eraOf(&res.Header)
	if err == nil {
		err = c.recordEra(era)
	}
	if err != nil {
		return reply{}, err
	}
	return reply{res.StatusCode(), era, append([]byte(nil), res.Body()...)}, nil
}

// isTimeout reports whether a request was sent but not answered in time.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout() && !errDial.Has(err)
}

// classify returns the store error for the outcome of a call, or nil if the reply holds a result.
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

// classifyStatus returns the store error for a reply with a status of 300 or more.
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
