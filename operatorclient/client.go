// Package operatorclient calls the operators' interface of the system.
//
// It takes the addresses of several instances and goes to the next one when one
// is out of reach. A confirmation whose answer was lost is asked again with the
// same plan, which is safe, for a plan is one change however often it is
// confirmed.
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

// Settings are the arguments of a Client. Addresses and Key are required.
type Settings struct {
	Addresses []string      // host:port or URLs of instances, tried in order
	Key       string        // of an operator; never shown
	Timeout   unit.Duration // of one call; 0 means 20 s
	Rounds    int           // tries of a confirmation at all addresses; 0 means 5
	Pause     func(ctx context.Context, d time.Duration)
	Do        func(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error // nil means a client over TCP
}

// Defaults of Settings.
const (
	defaultTimeout  = 20 * time.Second
	defaultRounds   = 5
	maxResponseSize = 128 << 20
	defaultPause    = time.Second
)

// Client calls instances as one operator. Its methods may be called from any
// goroutine.
type Client struct {
	cfg Settings
}

// New returns a client. It returns Usage if there is no address or no key.
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

// Plan asks for the plan of an intent.
func (c *Client) Plan(ctx context.Context, in intent.Intent) (plan.Plan, *result.Error) {
	var p plan.Plan
	return p, c.call(ctx, http.MethodPost, "plans", in, &p)
}

// Rollback asks for a plan that brings the content of rev back.
func (c *Client) Rollback(ctx context.Context, rev ident.Revision) (plan.Plan, *result.Error) {
	var p plan.Plan
	return p, c.call(ctx, http.MethodPost, "rollbacks", operatorapi.RollbackRequest{Revision: rev}, &p)
}

// Status asks which revision is in force where.
func (c *Client) Status(ctx context.Context) (operatorapi.StatusResponse, *result.Error) {
	var s operatorapi.StatusResponse
	return s, c.call(ctx, http.MethodGet, "status", nil, &s)
}

// History asks for the newest n accepted changes.
func (c *Client) History(ctx context.Context, n int) (operatorapi.HistoryResponse, *result.Error) {
	var h operatorapi.HistoryResponse
	return h, c.call(ctx, http.MethodGet, fmt.Sprintf("history?newest=%d", n), nil, &h)
}

// Configuration asks for the document in force at the instance that answers.
func (c *Client) Configuration(ctx context.Context) (configuration.Document, *result.Error) {
	var doc configuration.Document
	return doc, c.call(ctx, http.MethodGet, "configuration", nil, &doc)
}

// Confirm confirms p, again and at other addresses while the outcome is
// unknown. It returns ConfirmUnknown if it stays so.
func (c *Client) Confirm(ctx context.Context, p plan.Plan) (revision.Record, *result.Error) {
	var rec revision.Record
	sent := false
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
			if last == nil || settles(last) || !sent && !undecided(last) {
				return rec, last
			}
			sent = sent || last.Run == result.RunUnknown
		}
	}
	if !sent && last != nil {
		return rec, last
	}
	return rec, result.Newf(result.ConfirmUnknown,
		"change %s: no instance could tell the outcome (%v); confirm again with the same plan", p.ID, last).Ran(result.RunUnknown)
}

// settles reports whether e says that the plan has not taken effect and never
// will. Other refusals say nothing about a confirmation sent before: the change
// itself may have taken the key away, for one.
func settles(e *result.Error) bool {
	switch e.Code {
	case result.PlanStale, result.PlanDigest, result.IntentInvalid:
		return true
	}
	return false
}

// undecided reports whether a confirmation that failed with e is to be asked
// again.
func undecided(e *result.Error) bool {
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

// call goes to the first address that answers.
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
	req.SetRequestURI(base(address) + "/v1/operator/" + path)
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
		return refusal(address, resp)
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return result.Newf(result.Fault, "%s: %v", address, err).Ran(result.RunUnknown)
	}
	return nil
}

func refusal(address string, resp *fasthttp.Response) *result.Error {
	if e, ok := problem.Read(resp.Body()); ok {
		return e
	}
	return result.Newf(result.PeerUnavailable, "%s: status %d without problem details", address, resp.StatusCode()).Ran(result.RunUnknown)
}

func base(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}
