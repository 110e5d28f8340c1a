package engineclient

import (
	"encoding/json"
	"testing"

	"github.com/tmaxmax/go-sse"
)

// FuzzToken checks that no event of an engine is decoded to a negative index.
func FuzzToken(f *testing.F) {
	f.Add("7", `{"id": "s", "choices": [{"delta": {"content": "a"}, "finish_reason": null}]}`)
	f.Add("", `{"id": "s", "choices": [{"delta": {}, "finish_reason": "stop"}]}`)
	f.Add("-1", `{"id": "s", "choices": [{"delta": {"content": "a"}}]}`)
	f.Add("1", `{"id": "another", "choices": []}`)
	f.Fuzz(func(t *testing.T, id, data string) {
		s := &Stream{name: "s"}
		got, err := s.decodeEvent(sse.Event{LastEventID: id, Data: data})
		if err == nil && got.Index < 0 {
			t.Errorf("index of %q: got %d, want none below 0", id, got.Index)
		}
	})
}

// FuzzRequestBody checks that the fields that the system sets replace those of the caller's body.
func FuzzRequestBody(f *testing.F) {
	f.Add([]byte(`{"model": "m", "stream": false, "top_p": 0.5}`))
	f.Add([]byte(`{"continue_from": ["x"], "version": 7}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		out, err := requestBody(Request{Body: body, Version: "v", Prefix: []string{"a"}})
		if err != nil {
			return
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(out, &fields); err != nil {
			t.Fatal(err)
		}
		for name, want := range map[string]string{"stream": "true", "version": `"v"`, "continue_from": `["a"]`} {
			if got := string(fields[name]); got != want {
				t.Errorf("%s: got %s, want %s", name, got, want)
			}
		}
	})
}
