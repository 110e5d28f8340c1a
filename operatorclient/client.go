// Package operatorclient is a client of the operators' HTTP interface.
//
// It is given the addresses of several instances and tries the next one when
// one cannot be reached. A confirmation whose answer was lost is sent again with
// the same plan. This is safe because confirming is idempotent: a plan takes
// effect once, however often it is confirmed.
package operatorclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/operatorapi"
	"crocuslug/plan"
	"crocuslug/problem"
	"crocuslug/result"
	"crocuslug/revision"
	"crocuslug/unit"
)

// Settings configures a Client. Addresses and Key are required.
type Settings struct {
	Addresses []string      // host:port or URLs of instances, tried in order
	Key       string        // key of an operator; never printed
	Timeout   unit.Duration // of one call; 0 means 20 s
	Rounds    int           // number of rounds in which a confirmation is tried at all addresses; 0 means 5
	// Pause waits for d between two rounds; nil means no wait.
	Pause func(ctx context.Context, d time.Duration)
	// Do makes an HTTP call; nil means a client over TCP.
	Do func(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error
}

// Defaults of Settings.
const (
	defaultTimeout  = 20 * time.Second
	defaultRounds   = 5
	maxResponseSize = 128 << 20
	defaultPause    = time.Second
)

// Client calls instances as one operator. It is safe for concurrent use.
type Client struct {
	cfg Settings
}

// New returns a client. It returns an error with code Usage if there is no
// address or no key.
func New(cfg Settings) (*Client, *result.Error) {
	if len(cfg.Addresses) == 0 {
		return nil, result.New(result.Usage, "want at least one address")
	}
	if cfg.Key == "" {
		return nil, result.New(result.Usage, "want the key of an operator")
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = unit.Duration(defaultTimeout)
	}
	if cfg.Rounds <= 0 {
		cfg.Rounds = defaultRounds
	}
	if cfg.Pause == nil {
		cfg.Pause = func(context.Context, time.Duration) {}
	}
	if cfg.Do == nil {
		c := &fasthttp.Client{MaxResponseBodySize: maxResponseSize, MaxIdemponentCallAttempts: 1}
		cfg.Do = c.DoTimeout
	}
	return &Client{cfg}, nil
}

// Plan returns the plan of an intent.
func (c *Client) Plan(ctx context.Context, in intent.Intent) (plan.Plan, *result.Error) {
	var p plan.Plan
	return p, c.call(ctx, http.MethodPost, "plans", in, &p)
}

// Rollback returns a plan that restores the content of revision rev.
func (c *Client) Rollback(ctx context.Context, rev ident.Revision) (plan.Plan, *result.Error) {
	var p plan.Plan
	return p, c.call(ctx, http.MethodPost, "rollbacks", operatorapi.RollbackRequest{Revision: rev}, &p)
}

// Status returns the revision in force at each instance.
func (c *Client) Status(ctx context.Context) (operatorapi.StatusResponse, *result.Error) {
	var s operatorapi.StatusResponse
	return s, c.call(ctx, http.MethodGet, "status", nil, &s)
}

// History returns the newest n accepted changes.
func (c *Client) History(ctx context.Context, n int) (operatorapi.HistoryResponse, *result.Error) {
	var h operatorapi.HistoryResponse
	return h, c.call(ctx, http.MethodGet, fmt.Sprintf("history?newest=%d", n), nil, &h)
}

// Configuration returns the document in force at the instance that answers.
func (c *Client) Configuration(ctx context.Context) (configuration.Document, *result.Error) {
	var doc configuration.Document
	return doc, c.call(ctx, http.MethodGet, "configuration", nil, &doc)
}

// Confirm confirms p. While the outcome is unknown, it retries at all addresses
// for a bounded number of rounds. It returns an error with code ConfirmUnknown
// if the outcome is still unknown then.
func (c *Client) Confirm(ctx context.Context, p plan.Plan) (revision.Record, *result.Error) {
	var rec revision.Record
	outcomeUnknown := false
	var last *result.Error
	for i := range c.cfg.Rounds {
		if i > 0 {
			c.cfg.Pause(ctx, pauseAfter(last))
		}
		if ctx.Err() != nil {
			break
		}
		for _, address := range c.cfg.Addresses {
			last = c.callOne(address, http.MethodPost, "confirmations", p, &rec)
			if last == nil || hasNoEffect(last) || !outcomeUnknown && !shouldRetry(last) {
				return rec, last
			}
			outcomeUnknown = outcomeUnknown || last.Run == result.RunUnknown
		}
	}
	if !outcomeUnknown && last != nil {
		return rec, last
	}
	return rec, result.Newf(result.ConfirmUnknown,
		"change %s: no instance reported the outcome (last error: %v); confirm again with the same plan", p.ID, last).Ran(result.RunUnknown)
}

// hasNoEffect reports whether e means that the plan has not taken effect and
// never will. Other refusals say nothing about the outcome of a confirmation
// sent before: for example, Unauthorized may mean that the change took effect
// and removed the operator's key.
func hasNoEffect(e *result.Error) bool {
	switch e.Code {
	case result.PlanStale, result.PlanDigest, result.IntentInvalid:
		return true
	}
	return false
}

// shouldRetry reports whether a confirmation that failed with e is to be sent
// again.
func shouldRetry(e *result.Error) bool {
	switch e.Code {
	case result.ConfirmUnknown, result.PeerUnavailable, result.PlatformUnavailable, result.PlatformBudget,
		result.InstanceLeaving, result.Overloaded, result.Fault:
		return true
	}
	return false
}

func pauseAfter(e *result.Error) time.Duration {
	if e != nil && e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return defaultPause
}

// call tries the addresses in order until one answers. Instances that cannot be
// reached or are leaving are passed over.
func (c *Client) call(ctx context.Context, method, path string, in, out any) *result.Error {
	var last *result.Error
	for _, address := range c.cfg.Addresses {
		if ctx.Err() != nil {
			return result.New(result.PeerUnavailable, ctx.Err().Error())
		}
		last = c.callOne(address, method, path, in, out)
		if last == nil || last.Code != result.PeerUnavailable && last.Code != result.InstanceLeaving {
			return last
		}
	}
	return last
}

func (c *Client) callOne(address, method, path string, in, out any) *result.Error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(baseURL(address) + "/v1/operator/" + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.cfg.Key)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return result.New(result.Malformed, err.Error())
		}
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := c.cfg.Do(req, resp, c.cfg.Timeout.Std()); err != nil {
		return result.Newf(result.PeerUnavailable, "%s: %v", address, err).Ran(result.RunUnknown)
	}
	if resp.StatusCode() != http.StatusOK {
		return responseError(address, resp)
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return result.Newf(result.Fault, "%s: %v", address, err).Ran(result.RunUnknown)
	}
	return nil
}

// responseError returns the error that a response with a status other than 200
// describes.
func responseError(address string, resp *fasthttp.Response) *result.Error {
	if e, ok := problem.Read(resp.Body()); ok {
		return e
	}
	return result.Newf(result.PeerUnavailable, "%s: status %d without problem details", address, resp.StatusCode()).Ran(result.RunUnknown)
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}
