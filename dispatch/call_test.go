package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/routing"
	"crocuslug/work"
)

// TestCallLeavesNoUnreadPrompt guards against calls with a prompt after which their upstream counts as
// busy reading for good.
func TestCallLeavesNoUnreadPrompt(t *testing.T) {
	engine := brittleEngine{head: "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nContent-Length: 2\r\n\r\n", body: []string{"ab"}}
	d, clock := engine.start(t)
	_, _ = d.Call(context.Background(), &work.Work{
		ID: "r1", Route: &directory.Route{Kind: directory.Safe, MaxAttempts: 1}, Service: &directory.Service{Name: "s"}, PromptTokens: 500,
		Deadline: clock.Now().Add(20 * time.Second), Method: http.MethodPost, Target: "/x", Header: http.Header{},
	})
	// An upstream with any unread tokens exceeds this bound.
	if _, got := d.fleet.Pick(fleet.PickRequest{Service: "s", MaxBacklog: time.Nanosecond}, clock.Now()); got != routing.Send {
		t.Errorf("choice after the call: got kind %v, want the upstream", got)
	}
}
