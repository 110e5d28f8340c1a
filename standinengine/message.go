package standinengine

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Messages of the engine's protocol, with the field names of that protocol.

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model        string    `json:"model"`
	Messages     []message `json:"messages"`
	Stream       bool      `json:"stream"`
	MaxTokens    int       `json:"max_tokens"`
	Seed         uint64    `json:"seed"`
	Priority     int       `json:"priority"`
	Version      string    `json:"version"`
	Adapter      string    `json:"adapter"`
	ContinueFrom []string  `json:"continue_from"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *delta   `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type modelState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

type stateReport struct {
	Models        []modelState `json:"models"`
	Role          string       `json:"role"`
	FencingNumber uint64       `json:"fencing_number"`
}

type loadReport struct {
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	Slots           int     `json:"slots"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	AgeMs           int64   `json:"age_ms"`
	stateReport
}

type order struct {
	Kind          string `json:"kind"`
	Model         string `json:"model"`
	Version       string `json:"version"`
	Adapter       string `json:"adapter"`
	Role          string `json:"role"`
	FencingNumber uint64 `json:"fencing_number"`
}

type cacheEvent struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"`
	Block string `json:"block"`
}

type cacheEvents struct {
	Next   uint64       `json:"next"`
	Events []cacheEvent `json:"events"`
}

type errorBody struct {
	Error errorText `json:"error"`
}

type errorText struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// prompt returns the text of all messages, which is the key of the prefix cache.
func (r *completionRequest) prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte(':')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// tokenText returns the token at index of the answer identified by nonce.
func tokenText(nonce string, index int) string {
	return nonce + "." + strconv.Itoa(index) + " "
}

// readNonce returns the nonce of the answer that starts with tokens. It returns an
// error unless they are the first tokens of one answer, in order.
func readNonce(tokens []string) (string, error) {
	nonce, _, ok := strings.Cut(tokens[0], ".")
	if !ok || nonce == "" {
		return "", errs.New("continue_from: token %q has no nonce, want one before the first dot", tokens[0])
	}
	for i, t := range tokens {
		if t != tokenText(nonce, i) {
			return "", errs.New("continue_from: token %d is %q, want %q", i, t, tokenText(nonce, i))
		}
	}
	return nonce, nil
}
