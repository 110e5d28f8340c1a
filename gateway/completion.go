package gateway

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"

	"crocuslug/result"
)

// completion is the part of a chat completion request that the system reads.
type completion struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Version   string        `json:"version"`
	Adapter   string        `json:"adapter"`
}

// chatMessage is one message of a request.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// continueField is set by the system alone: it tells an engine what an answer
// begins with.
const continueField = "continue_from"

// readCompletion reads a request of a chat completion. The body goes on to an
// engine as it is, so what is read here must be what the engine reads: names
// count only as they are written, and those that differ in case from a known
// one are refused.
func readCompletion(body []byte, maxTokens int) (completion, *result.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return completion{}, result.New(result.Malformed, "body: want a chat completion in JSON")
	}
	c, err := fill(fields)
	switch {
	case err != nil:
		return completion{}, err
	case c.Model == "":
		return completion{}, result.New(result.Malformed, "model: want the name of a model")
	case len(c.Messages) == 0:
		return completion{}, result.New(result.Malformed, "messages: want at least one")
	case c.MaxTokens < 0 || c.MaxTokens > maxTokens:
		return completion{}, result.Newf(result.TooLarge, "max_tokens: want 1 to %d", maxTokens)
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = maxTokens
	}
	return c, nil
}

// fill sets the fields of a completion from those of a body.
func fill(fields map[string]json.RawMessage) (completion, *result.Error) {
	var c completion
	v := reflect.ValueOf(&c).Elem()
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if strings.EqualFold(name, continueField) {
			return c, result.Newf(result.Malformed, "%s: not for callers", continueField)
		}
		for i := range v.NumField() {
			want := v.Type().Field(i).Tag.Get("json")
			if !strings.EqualFold(name, want) {
				continue
			}
			if name != want {
				return c, result.Newf(result.Malformed, "%s: want it written so", want)
			}
			if err := json.Unmarshal(fields[name], v.Field(i).Addr().Interface()); err != nil {
				return c, result.Newf(result.Malformed, "%s: want what chat completions have there", want)
			}
		}
	}
	return c, nil
}
