package settings

import (
	"strings"
	"testing"
	"time"
)

func TestParseEdge(t *testing.T) {
	const valid = `{"Name":"e1","Domain":"a","Listen":"127.0.0.1:1","ReadyListen":"127.0.0.1:2","PeerListen":"127.0.0.1:3","StoreAddress":"127.0.0.1:4","Grace":"8s"}`
	cfg, problems := ParseEdge([]byte(valid))
	if len(problems) > 0 || cfg.Name != "e1" || cfg.Grace.Std() != 8*time.Second {
		t.Errorf("got %+v, %v", cfg, problems)
	}
	tests := []struct{ old, new, path string }{
		{`"Name":"e1",`, ``, "Name"},
		{`"Domain":"a"`, `"Domain":""`, "Domain"},
		{`127.0.0.1:1"`, `nowhere"`, "Listen"},
		{`127.0.0.1:4"`, `"`, "StoreAddress"},
		{`"Grace":"8s"`, `"Grace":8`, "Grace"},
		{`"Grace":"8s"`, `"RetryShare":-1`, "RetryShare"},
		{`"Grace":"8s"`, `"Gracious":"8s"`, "Gracious"},
		{`"Grace":"8s"`, `"Delivery":{"Share":1.5}`, "Delivery.Share"},
		{`"Grace":"8s"`, `"Delivery":{"Share":0.1,"Slack":-1}`, "Delivery.Slack"},
		{`"Grace":"8s"`, `"Delivery":{"Share":0.1,"RollbackWithin":"-1s"}`, "Delivery.RollbackWithin"},
	}
	for _, tc := range tests {
		_, problems := ParseEdge([]byte(strings.Replace(valid, tc.old, tc.new, 1)))
		if len(problems) != 1 || problems[0].Path != tc.path {
			t.Errorf("%s: got %v, want one problem at %s", tc.new, problems, tc.path)
		}
	}
}
