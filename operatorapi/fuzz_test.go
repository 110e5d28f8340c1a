package operatorapi

import (
	"testing"

	"crocuslug/plan"
	"crocuslug/result"
)

// TestDecodeOneRefusesMalformedBodies checks that trailing content, unknown
// fields and values out of range are refused.
func TestDecodeOneRefusesMalformedBodies(t *testing.T) {
	for _, body := range []string{`{"Revision": 1}}`, `{"Revision": 1} {"Revision": 2}`, `{"Revision": 1, "Force": true}`, `{"Revision": -1}`} {
		var r RollbackRequest
		if err := decodeOne([]byte(body), &r); err == nil || err.Code != result.Malformed {
			t.Errorf("%q: got %v, want it refused as malformed", body, err)
		}
	}
}

// FuzzPlan checks that a plan whose digest does not match its content is never
// confirmed.
func FuzzPlan(f *testing.F) {
	f.Add([]byte(`{"ID": "x", "Digest": "y"}`))
	f.Add([]byte(`{"Changes": [{"Path": "p"}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var p plan.Plan
		if decodeOne(body, &p) != nil || p.Verify() == nil {
			return
		}
		api := newFixture()
		if status, _, _ := api.request("POST", "/v1/operator/confirmations", "first", string(body)); status == 200 {
			t.Errorf("plan %q: got it confirmed, want it refused", body)
		}
	})
}
