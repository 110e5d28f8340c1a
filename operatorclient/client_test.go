package operatorclient

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/plan"
	"crocuslug/problem"
	"crocuslug/result"
	"crocuslug/revision"
)

// response is the outcome of one call: a lost answer, a refusal, or success.
type response struct {
	lost    bool
	refusal result.Code
}

// TestConfirmRetries answers the calls of one confirmation with the listed
// responses and checks the result and the number of calls. A refusal after a
// lost answer is final only if it rules out that the plan took effect.
func TestConfirmRetries(t *testing.T) {
	lost, ok := response{lost: true}, response{}
	no := func(c result.Code) response { return response{refusal: c} }
	for name, c := range map[string]struct {
		answers []response
		want    result.Code
	}{
		"answer lost, then success":           {[]response{lost, ok}, result.OK},
		"unknown, then success":               {[]response{no(result.ConfirmUnknown), lost, ok}, result.OK},
		"answer lost, then stale":             {[]response{lost, no(result.PlanStale)}, result.PlanStale},
		"answer lost, then key no longer set": {[]response{lost, no(result.Unauthorized), lost, no(result.Unauthorized)}, result.ConfirmUnknown},
		"no operator":                         {[]response{no(result.Unauthorized)}, result.Unauthorized},
		"platform unavailable, then success":  {[]response{no(result.PlatformUnavailable), ok}, result.OK},
		"always unknown":                      {[]response{no(result.ConfirmUnknown), lost, lost, lost}, result.ConfirmUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			do := func(_ *fasthttp.Request, resp *fasthttp.Response, _ time.Duration) error {
				a := c.answers[calls]
				calls++
				if a.lost {
					return errors.New("connection lost")
				}
				if a.refusal != result.OK {
					e := result.New(a.refusal, "")
					if a.refusal == result.ConfirmUnknown {
						e = e.Ran(result.RunUnknown)
					}
					body, _ := json.Marshal(problem.New(e, ""))
					resp.SetStatusCode(a.refusal.Info().Status)
					resp.SetBody(body)
					return nil
				}
				body, _ := json.Marshal(revision.Record{Revision: 7})
				resp.SetBody(body)
				return nil
			}
			client, err := New(Settings{Addresses: []string{"a:1", "b:1"}, Key: "k", Rounds: 2, Do: do})
			if err != nil {
				t.Fatal(err)
			}
			rec, err := client.Confirm(context.Background(), plan.Plan{ID: "p"})
			got := result.OK
			if err != nil {
				got = err.Code
			}
			if got != c.want || got == result.OK && rec.Revision != 7 {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if calls != len(c.answers) {
				t.Errorf("got %d calls, want %d", calls, len(c.answers))
			}
		})
	}
}
