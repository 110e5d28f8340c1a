// Package problem writes failures as problem details.
//
// Callers and operators get every failure in one form, RFC 9457, so that a
// program can read the numbered code, whether the request was run, and when
// coming back makes sense, without reading prose.
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

// Details is the body of a failed response. The fields that RFC 9457 names
// keep its names.
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

// New returns the problem details of e for the request named requestID, which
// may be empty.
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
		RetryAfterMs: ceil(e.RetryAfter, time.Millisecond),
	}
}

// Write makes e the response of ctx: its status, its problem details, and the
// Retry-After header in whole seconds rounded up if e has a time to come back.
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
		seconds := ceil(e.RetryAfter, time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	ctx.SetBody(body)
}

// Read returns the failure that a response body with problem details tells.
// It returns false if body is no such thing or its code is unknown.
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
		RetryAfter: time.Duration(min(max(d.RetryAfterMs, 0), maxRetryMs)) * time.Millisecond,
	}, true
}

// maxRetryMs bounds what is read, so that it fits a time.Duration.
const maxRetryMs = int64(24 * time.Hour / time.Millisecond)

// ceil returns d in whole units, rounded up.
func ceil(d, unit time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + unit - 1) / unit)
}
