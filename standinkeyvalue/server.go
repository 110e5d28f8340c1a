package standinkeyvalue

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"crocuslug/standinnetwork"
	"crocuslug/store"
	"crocuslug/unit"
)

// Server serves a Store over HTTP. The content of the store survives a Kill.
type Server struct {
	*standinnetwork.Server
	store *Store

	mu   sync.Mutex
	copy *Copy // taken by the last fault of kind "Copy", or nil
}

// NewServer returns a server of s that listens on the address listen from Start
// on; "" means a loopback address that is reserved until Stop. After Kill it calls exit, unless exit is nil.
func NewServer(s *Store, listen string, exit func()) *Server {
	srv := &Server{store: s}
	srv.Server = standinnetwork.NewServer(standinnetwork.Settings{
		Listen: listen,
		Handle: srv.handle,
		Fault:  srv.applyFault,
		Calls:  func() any { return s.Calls() },
		Exit:   exit,
	})
	return srv
}

// faultBody is the JSON body of a fault of kind "Faults".
type faultBody struct {
	Outage        bool
	LoseAnswers   int
	Delay         unit.Duration
	StaleReads    bool
	RejectWrites  bool
	WatchWait     unit.Duration
	ReadsPerSec   int
	WritesPerSec  int
	MaxValueBytes int
	HistoryLimit  int
}

func (s *Server) applyFault(kind string, body []byte) error {
	switch kind {
	case "Faults":
	case "Copy":
		s.mu.Lock()
		defer s.mu.Unlock()
		c := s.store.Copy()
		s.copy = &c
		return nil
	case "Restore":
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.copy == nil {
			return nil
		}
		s.store.Restore(*s.copy)
		return nil
	default:
		return errs.New("unknown fault kind %q, want Faults, Copy or Restore", kind)
	}
	var b faultBody
	if err := json.Unmarshal(body, &b); err != nil {
		return errs.Wrap(err)
	}
	s.store.SetFaults(Faults{
		Outage: b.Outage, LoseAnswers: b.LoseAnswers, Delay: b.Delay.Std(),
		StaleReads: b.StaleReads, RejectWrites: b.RejectWrites, WatchWait: b.WatchWait.Std(),
		ReadsPerSec: b.ReadsPerSec, WritesPerSec: b.WritesPerSec,
		MaxValueBytes: b.MaxValueBytes, HistoryLimit: b.HistoryLimit,
	})
	return nil
}

// JSON bodies of the service's responses.

type entriesBody struct {
	Entries []store.Entry
	Version store.Version
}

type versionBody struct {
	Version store.Version
}

type leaseBody struct {
	Lease store.Lease
}

// eraField is the header field that holds the era of the store.
const eraField = "Store-Era"

// Paths of the service.
const (
	keysPath   = "/v1/keys"
	watchPath  = "/v1/watch"
	leasesPath = "/v1/leases"
)

// handle answers a call with the era of the store. A call during which the store is restored gets no
// answer.
func (s *Server) handle(life context.Context, ctx *fasthttp.RequestCtx) {
	era := s.store.Era()
	s.answer(life, ctx)
	switch {
	case s.store.Era() != era:
		standinnetwork.CloseUnanswered(ctx)
	case era > 0:
		ctx.Response.Header.Set(eraField, strconv.FormatUint(era, 10))
	}
}

func (s *Server) answer(life context.Context, ctx *fasthttp.RequestCtx) {
	path := string(ctx.URI().PathOriginal())
	method := string(ctx.Method())
	switch {
	case path == keysPath && ctx.IsGet():
		s.list(life, ctx)
	case strings.HasPrefix(path, keysPath+"/"):
		key, err := url.PathUnescape(strings.TrimPrefix(path, keysPath+"/"))
		if err != nil {
			standinnetwork.Fail(ctx, http.StatusBadRequest, err.Error())
			return
		}
		s.handleKey(life, ctx, method, key)
	case path == watchPath && ctx.IsGet():
		s.watch(life, ctx)
	case path == leasesPath && ctx.IsPost():
		s.grant(life, ctx)
	case strings.HasPrefix(path, leasesPath+"/"):
		s.handleLease(life, ctx, method, strings.TrimPrefix(path, leasesPath+"/"))
	default:
		standinnetwork.Fail(ctx, http.StatusNotFound, "no such path")
	}
}

func (s *Server) handleKey(life context.Context, ctx *fasthttp.RequestCtx, method, key string) {
	expect := store.Version(queryNumber(ctx, "expect"))
	switch method {
	case http.MethodGet:
		e, err := s.store.Get(life, key)
		writeResult(ctx, e, err)
	case http.MethodPut:
		v, err := s.store.Put(life, key, ctx.PostBody(), expect, store.Lease(queryNumber(ctx, "lease")))
		writeResult(ctx, versionBody{v}, err)
	case http.MethodDelete:
		writeResult(ctx, nil, s.store.Delete(life, key, expect))
	default:
		standinnetwork.Fail(ctx, http.StatusMethodNotAllowed, method)
	}
}

func (s *Server) list(life context.Context, ctx *fasthttp.RequestCtx) {
	entries, v, err := s.store.Scan(life, string(ctx.QueryArgs().Peek("prefix")))
	writeResult(ctx, entriesBody{entries, v}, err)
}

func (s *Server) watch(life context.Context, ctx *fasthttp.RequestCtx) {
	after := store.Version(queryNumber(ctx, "after"))
	var wait time.Duration
	if text := ctx.QueryArgs().Peek("wait"); len(text) > 0 {
		d, err := time.ParseDuration(string(text))
		if err != nil || d <= 0 {
			standinnetwork.Fail(ctx, http.StatusBadRequest, "wait is not a positive duration")
			return
		}
		wait = d
	}
	entries, v, err := s.store.watch(life, string(ctx.QueryArgs().Peek("prefix")), after, wait)
	if store.Trimmed.Has(err) {
		standinnetwork.WriteJSON(ctx, http.StatusGone, versionBody{v})
		return
	}
	writeResult(ctx, entriesBody{entries, v}, err)
}

func (s *Server) grant(life context.Context, ctx *fasthttp.RequestCtx) {
	ttl, err := time.ParseDuration(string(ctx.QueryArgs().Peek("ttl")))
	if err != nil || ttl <= 0 {
		standinnetwork.Fail(ctx, http.StatusBadRequest, "ttl is not a positive duration")
		return
	}
	l, err := s.store.Grant(life, ttl)
	writeResult(ctx, leaseBody{l}, err)
}

func (s *Server) handleLease(life context.Context, ctx *fasthttp.RequestCtx, method, path string) {
	text, renew := strings.CutSuffix(path, "/renew")
	id, err := strconv.ParseUint(text, 10, 64)
	switch {
	case err != nil:
		standinnetwork.Fail(ctx, http.StatusNotFound, "no such lease")
	case renew && method == http.MethodPost:
		writeResult(ctx, nil, s.store.Renew(life, store.Lease(id)))
	case !renew && method == http.MethodDelete:
		writeResult(ctx, nil, s.store.Revoke(life, store.Lease(id)))
	default:
		standinnetwork.Fail(ctx, http.StatusMethodNotAllowed, method)
	}
}

// queryNumber returns a query argument, or 0 if it is missing or not a number.
func queryNumber(ctx *fasthttp.RequestCtx, name string) uint64 {
	n, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek(name)), 10, 64)
	return n
}

// writeResult writes the result of a call: body, no content if body is nil, or the
// status of err. For store.Unknown it closes the connection without an answer.
func writeResult(ctx *fasthttp.RequestCtx, body any, err error) {
	switch {
	case store.Unknown.Has(err):
		standinnetwork.CloseUnanswered(ctx)
	case err != nil:
		standinnetwork.Fail(ctx, statusOf(err), err.Error())
	case body == nil:
		ctx.SetStatusCode(http.StatusNoContent)
	default:
		standinnetwork.WriteJSON(ctx, http.StatusOK, body)
	}
}

func statusOf(err error) int {
	switch {
	case store.Absent.Has(err):
		return http.StatusNotFound
	case store.Conflict.Has(err):
		return http.StatusPreconditionFailed
	case store.TooLarge.Has(err):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errRateExceeded):
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
