package gateway

import (
	"encoding/json"
	"testing"

	"crocuslug/result"
)

// TestReadCompletion checks that a request is refused if an engine could read it differently, or
// if it is out of bounds.
func TestReadCompletion(t *testing.T) {
	const messages = `"messages": [{"role": "user", "content": "a"}]`
	for body, want := range map[string]result.Code{
		`{"model": "m", "max_tokens": 5, "top_p": 1, ` + messages + `}`: result.OK,
		`{"model": "m", "Model": "other", ` + messages + `}`:            result.Malformed,
		`{"model": "m", "MAX_TOKENS": 5, ` + messages + `}`:             result.Malformed,
		`{"model": "m", "continue_from": ["b"], ` + messages + `}`:      result.Malformed,
		`{"model": "m", "max_tokens": 11, ` + messages + `}`:            result.TooLarge,
		`{"model": "m", "max_tokens": "5", ` + messages + `}`:           result.Malformed,
		`{"model": "m", "messages": []}`:                                result.Malformed,
		`{` + messages + `}`:                                            result.Malformed,
		`null`:                                                          result.Malformed,
		`[]`:                                                            result.Malformed,
	} {
		got := result.OK
		if _, err := readCompletion([]byte(body), 10); err != nil {
			got = err.Code
		}
		if got != want {
			t.Errorf("%s: got %s, want %s", body, got, want)
		}
	}
}

// FuzzCompletion checks that the model that is read is the one under its exact name in the body,
// and that the bounds hold.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model": "m", "stream": true, "max_tokens": 5, "messages": [{"role": "user", "content": "a"}]}`))
	f.Add([]byte(`{"model": "m", "Model": "n", "messages": [{}]}`))
	f.Add([]byte(`{"model": "m", "ſtream": true, "messages": [{}]}`))
	f.Add([]byte(`{"model": null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := readCompletion(body, 10)
		if err != nil {
			if err.Run != result.RunNot {
				t.Errorf("refused: got run %q, want NotRun", err.Run)
			}
			return
		}
		if c.Model == "" || len(c.Messages) == 0 || c.MaxTokens < 1 || c.MaxTokens > 10 {
			t.Errorf("completion: got %+v, want a model, messages and tokens within the bound", c)
		}
		var fields struct {
			Model string `json:"model"`
		}
		if json.Unmarshal(body, &fields) == nil && fields.Model != c.Model {
			t.Errorf("model: got %q, want %q", c.Model, fields.Model)
		}
	})
}
