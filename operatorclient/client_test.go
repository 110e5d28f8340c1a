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

// answer is what one call gets: a lost answer, a refusal, or success.
type answer struct {
	lost    bool
	refusal result.Code
}

// TestConfirm answers confirmations one after another as listed.
func TestConfirm(t *testing.T) {
	lost, ok := answer{lost: true}, answer{}
	no := func(c result.Code) answer { return answer{refusal: c} }
	for name, c := range map[string]struct {
		answers []answer
		want    result.Code
	}{
		"lost, then told":                {[]answer{lost, ok}, result.OK},
		"unknown, then told":             {[]answer{no(result.ConfirmUnknown), lost, ok}, result.OK},
		"lost, then another won":         {[]answer{lost, no(result.PlanStale)}, result.PlanStale},
		"lost, and the key went with it": {[]answer{lost, no(result.Unauthorized), lost, no(result.Unauthorized)}, result.ConfirmUnknown},
		"no operator":                    {[]answer{no(result.Unauthorized)}, result.Unauthorized},
		"platform away":                  {[]answer{no(result.PlatformUnavailable), ok}, result.OK},
		"always unknown":                 {[]answer{no(result.ConfirmUnknown), lost, lost, lost}, result.ConfirmUnknown},
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
