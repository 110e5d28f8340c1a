package instancelist

import (
	"fmt"
	"strings"
	"testing"
)

// TestOddInstances guards against a list that is no longer followed because one of its entries names no instance.
func TestOddInstances(t *testing.T) {
	const sound = `{"Instance":"%s","Domain":"d","Address":"127.0.0.1:1","PeerAddress":"127.0.0.1:2","State":"Live"}`
	odd := []string{
		`null`, `3`, `1e999`, `[]`, `"a"`, strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		fmt.Sprintf(sound, ""), fmt.Sprintf(sound, "a"),
		strings.Replace(fmt.Sprintf(sound, "b"), "Live", "Sleeping", 1),
		strings.Replace(fmt.Sprintf(sound, "b"), ":2", ":99999", 1),
		strings.Replace(fmt.Sprintf(sound, "b"), ":2", ":-1", 1),
		strings.Replace(fmt.Sprintf(sound, "b"), ":1", ":0", 1),
		strings.Replace(fmt.Sprintf(sound, "b"), ":1", ":http", 1),
		strings.Replace(fmt.Sprintf(sound, "b"), "127.0.0.1:1", ":1", 1),
		strings.Replace(fmt.Sprintf(sound, "b"), `"127.0.0.1:1"`, "1e999", 1),
		strings.Replace(fmt.Sprintf(sound, "b"), "127.0.0.1:1", strings.Repeat("x", 1<<16), 1),
	}
	for _, entry := range odd {
		body := []byte(`{"Version":7,"Instances":[` + fmt.Sprintf(sound, "a") + "," + entry + "," + fmt.Sprintf(sound, "c") + "]}")
		l, err := ParseUsable(body)
		if err != nil || len(l.Instances) != 2 || l.Instances[0].Instance != "a" || l.Instances[1].Instance != "c" || len(l.Odd) != 1 {
			t.Errorf("%.80s: got %+v, %v, want a and c", entry, l, err)
		} else if n := len(l.Odd[0].Error()); n > 500 {
			t.Errorf("%.80s: got a reason of %d bytes, want a short one", entry, n)
		}
		if l, err := Parse(body); err == nil {
			t.Errorf("%.80s: Parse: got %+v, want an error", entry, l)
		}
	}
}
