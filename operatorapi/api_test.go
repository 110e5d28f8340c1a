package operatorapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/configuration"
	"crocuslug/problem"
	"crocuslug/result"
	"crocuslug/revision"
	"crocuslug/rollout"
	"crocuslug/standinkeyvalue"
	"crocuslug/timer"
)

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// fixture is the API of one instance with a store in memory.
type fixture struct {
	store   *standinkeyvalue.Store
	ledger  *revision.Store
	current configuration.Document
	api     *API
}

func newFixture() *fixture {
	f := &fixture{store: standinkeyvalue.New(timer.NewVirtual(time.Unix(0, 0)))}
	f.ledger = revision.New(f.store.Port(), func() time.Time { return time.Unix(0, 0) }, revision.Settings{})
	f.api = New(Ports{
		Current: func() *configuration.Document { return &f.current },
		Newest:  f.ledger.NewestDocument,
		Confirm: f.ledger.Confirm,
		At:      f.ledger.DocumentAt,
		History: f.ledger.List,
		Status: func(context.Context) []rollout.Report {
			return []rollout.Report{{Instance: "a", Revision: 2, Answered: true}, {Instance: "b", Revision: 1, Answered: true, CutOff: true}, {Instance: "c"}}
		},
	}, Settings{BootstrapKeyHash: hash("first"), MaxBodyBytes: 4096})
	return f
}

func (f *fixture) request(method, path, key, body string) (int, result.Code, string) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI("http://x" + path)
	if key != "" {
		ctx.Request.Header.Set("Authorization", "Bearer "+key)
	}
	ctx.Request.SetBodyString(body)
	f.api.Handle(&ctx)
	out := ctx.Response.Body()
	if e, ok := problem.Read(out); ok {
		return ctx.Response.StatusCode(), e.Code, e.Detail
	}
	return ctx.Response.StatusCode(), result.OK, string(out)
}

// TestOnlyOperatorKeysAreAccepted checks which keys are accepted before and
// after the first operator is configured. The bootstrap key must not be accepted
// afterwards, even by an instance that has no document yet, nor while the store
// cannot be read.
func TestOnlyOperatorKeysAreAccepted(t *testing.T) {
	f := newFixture()
	want := func(key string, code result.Code) {
		t.Helper()
		if _, got, detail := f.request("GET", "/v1/operator/history", key, ""); got != code {
			t.Errorf("key %q: got %v (%s), want %v", key, got, detail, code)
		}
	}
	want("", result.Unauthorized)
	want("wrong", result.Unauthorized)
	want("first", result.OK)
	f.store.SetFaults(standinkeyvalue.Faults{Outage: true})
	want("first", result.PlatformUnavailable)
	f.store.SetFaults(standinkeyvalue.Faults{})

	intent := `{"Set": {"Operators": [{"Name": "ama", "KeyHashes": ["` + hash("second") + `"]}]}}`
	_, code, p := f.request("POST", "/v1/operator/plans", "first", intent)
	if code != result.OK {
		t.Fatalf("plan: got %v %s, want OK", code, p)
	}
	if _, code, detail := f.request("POST", "/v1/operator/confirmations", "first", p); code != result.OK {
		t.Fatalf("confirm: got %v %s, want OK", code, detail)
	}
	want("first", result.Unauthorized) // although this instance has no document yet
	want("second", result.OK)
	f.current, _ = f.ledger.NewestDocument(context.Background())
	want("first", result.Unauthorized)
	want("second", result.OK)
}

func TestRefusedRequests(t *testing.T) {
	f := newFixture()
	large := string(make([]byte, 5000))
	for _, c := range []struct {
		method, path, body string
		want               result.Code
	}{
		{"GET", "/v1/operator/nothing", "", result.NotFound},
		{"GET", "/v1/operator/plans", "", result.MethodNotAllowed},
		{"POST", "/v1/operator/plans", large, result.TooLarge},
		{"POST", "/v1/operator/plans", `{"Sett": 1}`, result.Malformed},
		{"POST", "/v1/operator/plans", `{}`, result.IntentInvalid},
		{"POST", "/v1/operator/confirmations", `{"ID": "x"}`, result.PlanDigest},
		{"POST", "/v1/operator/rollbacks", `{"Revision": 9}`, result.NotFound},
		{"GET", "/v1/operator/configuration", "", result.ConfigurationMissing},
		{"GET", "/v1/operator/history?newest=-1", "", result.Malformed},
		{"GET", "/v1/operator/status", "", result.OK},
	} {
		status, got, detail := f.request(c.method, c.path, "first", c.body)
		if got != c.want || status != c.want.Info().Status {
			t.Errorf("%s %s: got %d %v (%s), want %v", c.method, c.path, status, got, detail, c.want)
		}
	}
}
