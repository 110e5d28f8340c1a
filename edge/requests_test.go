package edge

import (
	"testing"
	"time"
)

func TestRefusalHeader(t *testing.T) {
	if got := refusalHeader(1250 * time.Millisecond).Get("Retry-After"); got != "1.250" {
		t.Errorf("got %q, want 1.250", got)
	}
	if got := refusalHeader(0); len(got) > 0 {
		t.Errorf("got %v, want nothing", got)
	}
}
