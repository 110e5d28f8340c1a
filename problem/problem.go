// Package problem encodes errors as problem details (RFC 9457).
//
// Callers and operators get every error in this form, so that a program can read
// the numbered code, whether the request was run, and when to retry, without
// parsing text.
package problem

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/ident"
	"crocuslug/result"
)

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// Details is the body of an error response. The fields that RFC 9457 defines
// have its names.
type Details struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	Instance     string `json:"instance,omitempty"` // the request id
	Code         result.Code
	Run          result.Run
	RetryAfterMs int64 `json:",omitempty"` // milliseconds
}

// New returns the problem details of e for the request with the id requestID,
// which may be empty. If e does not say whether the request was run, the details
// say that it was not.
func New(e *result.Error, requestID ident.Request) Details {
	info := e.Code.Info()
	run := e.Run
	if run == "" {
		run = result.RunNot
	}
	return Details{
		Type:         fmt.Sprintf("urn:crocuslug:result:%d", int(e.Code)),
		Title:        info.Text,
		Status:       info.Status,
		Detail:       e.Detail,
		Instance:     string(requestID),
		Code:         e.Code,
		Run:          run,
		RetryAfterMs: ceilUnits(e.RetryAfter, time.Millisecond),
	}
}

// Write sets the response of ctx to the status and problem details of e. If
// e.RetryAfter is positive, it sets the Retry-After header in whole seconds,
// rounded up.
func Write(ctx *fasthttp.RequestCtx, e *result.Error, requestID ident.Request) {
	body, err := json.Marshal(New(e, requestID))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.ResetBody()
	ctx.SetStatusCode(e.Code.Info().Status)
	ctx.SetContentType(ContentType)
	if e.RetryAfter > 0 {
		seconds := ceilUnits(e.RetryAfter, time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	ctx.SetBody(body)
}

// Read returns the error that the problem details in body describe. It returns
// false if body is not valid problem details or its code is OK or unknown. A
// RetryAfterMs below 0 counts as 0 and one above a day as a day.
func Read(body []byte) (*result.Error, bool) {
	var d Details
	if err := json.Unmarshal(body, &d); err != nil || d.Code == result.OK {
		return nil, false
	}
	if d.Code.String() == fmt.Sprintf("Code%d", int(d.Code)) {
		return nil, false
	}
	return &result.Error{
		Code:       d.Code,
		Run:        d.Run,
		Detail:     d.Detail,
		RetryAfter: time.Duration(min(max(d.RetryAfterMs, 0), maxRetryAfterMs)) * time.Millisecond,
	}, true
}

// maxRetryAfterMs is the largest RetryAfterMs that Read returns, so that it fits
// in a time.Duration.
const maxRetryAfterMs = int64(24 * time.Hour / time.Millisecond)

// ceilUnits returns d in whole units, rounded up.
func ceilUnits(d, unit time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + unit - 1) / unit)
}
