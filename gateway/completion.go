package gateway

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"

	"crocuslug/result"
)

// completion holds the fields of a chat completion request that the system reads.
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

// continueField is the field that tells an engine how an answer begins. Only the system may set
// it.
const continueField = "continue_from"

// readCompletion decodes a chat completion request. The body is forwarded to an engine unchanged,
// so the fields must be read here as the engine reads them: names must match exactly, and a name
// that differs from a known one only in case is refused.
func readCompletion(body []byte, maxTokens int) (completion, *result.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return completion{}, result.New(result.Malformed, "body: want a chat completion in JSON")
	}
	c, err := decodeFields(fields)
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

// decodeFields returns the completion with the known ones of the fields of a body.
func decodeFields(fields map[string]json.RawMessage) (completion, *result.Error) {
	var c completion
	v := reflect.ValueOf(&c).Elem()
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if strings.EqualFold(name, continueField) {
			return c, result.Newf(result.Malformed, "%s: want it absent from callers' requests", continueField)
		}
		for i := range v.NumField() {
			want := v.Type().Field(i).Tag.Get("json")
			if !strings.EqualFold(name, want) {
				continue
			}
			if name != want {
				return c, result.Newf(result.Malformed, "%s: want the name of this field in exactly this form", want)
			}
			if err := json.Unmarshal(fields[name], v.Field(i).Addr().Interface()); err != nil {
				return c, result.Newf(result.Malformed, "%s: want the type that chat completions have", want)
			}
		}
	}
	return c, nil
}
