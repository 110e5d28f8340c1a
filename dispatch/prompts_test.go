package dispatch

import (
	"strings"
	"testing"

	"crocuslug/prefix"
)

// TestPartNames checks that the log names the parts of a prompt and that long lists are cut.
func TestPartNames(t *testing.T) {
	if got, want := partNames([]prefix.Part{{Name: "5c1e07a2", Tokens: 800}, {Name: "91bd3f06"}}), "5c1e07a2,91bd3f06"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	var many []prefix.Part
	for range 1000 {
		many = append(many, prefix.Part{Name: strings.Repeat("x", 1000)})
	}
	if got, want := len(partNames(many)), maxNamedParts*(maxPartName+1)-1; got != want {
		t.Errorf("1000 long names: got %d bytes, want %d", got, want)
	}
}
