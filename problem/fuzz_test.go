package problem

import "testing"

// FuzzRead checks that Read accepts only known codes and returns no negative
// RetryAfter.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"Code": 201, "Run": "NotRun", "RetryAfterMs": 5}`))
	f.Add([]byte(`{"Code": 7}`))
	f.Add([]byte(`{"Code": 201, "RetryAfterMs": -9223372036854775808}`))
	f.Add([]byte(`{"Code": 201, "RetryAfterMs": 9223372036854775807}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		e, ok := Read(body)
		if !ok {
			return
		}
		e.Code.Info() // panics if the code is not known
		if e.RetryAfter < 0 {
			t.Errorf("RetryAfter: got %v, want at least 0", e.RetryAfter)
		}
	})
}
