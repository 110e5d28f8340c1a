package soak

import (
	"maps"
	"strings"
	"testing"
)

// TestCountReasons guards against reasons that are counted apart because of a number or an address.
func TestCountReasons(t *testing.T) {
	log := `Time=2026-12-04T10:11:58Z Level=warn Event="stream cut" Instance=edge-0 Reason="crashed; previous failure: no data for 384.9ms" Request=s1-c8-r3
Time=2026-12-04T10:11:59Z Level=warn Event="stream cut" Instance=edge-0 Reason="crashed; previous failure: no data for 1.2s" Request=s1-c8-r4
Time=2026-12-04T10:11:59Z Level=info Event=refused Instance=edge-0 Reason="read \"tcp\" 127.0.0.1:40000->127.0.0.1:5: reset" Status=502
Time=2026-12-04T10:11:59Z Level=info Event="attempt failed" AfterMs=701.2 Attempt=1 Cause=NoProbe Reason="the engine did not answer a probe"
Time=2026-12-04T10:11:59Z Level=info Event=answered Instance=edge-0 Request=s1-c8-r5
`
	got := make(map[string]int)
	countReasons(strings.NewReader(log), got)
	want := map[string]int{
		"stream cut: crashed; previous failure: no data for N": 2,
		`refused: read "tcp" N: reset`:                         1,
		"attempt failed: NoProbe":                              1,
	}
	if !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
