package prefix

import (
	"slices"
	"strconv"
	"strings"
	"testing"
)

func TestChain(t *testing.T) {
	parts := []Part{{"a", 200}, {"b", 5000}}
	first := Chain("m", parts)
	tests := []struct {
		name  string
		model string
		parts []Part
		same  int // leading blocks in common with first
	}{
		{"the same", "m", parts, 2},
		{"other sizes", "m", []Part{{"a", 1}, {"b", 1}}, 2},
		{"another last part", "m", []Part{{"a", 200}, {"c", 5000}}, 1},
		{"another first part", "m", []Part{{"c", 200}, {"b", 5000}}, 0},
		{"another model", "n", parts, 0},
		{"longer", "m", append(slices.Clone(parts), Part{"c", 10}), 2},
		{"none", "m", nil, 0},
	}
	for _, tc := range tests {
		got := Chain(tc.model, tc.parts)
		if len(got) != len(tc.parts) {
			t.Errorf("%s: got %d blocks, want %d", tc.name, len(got), len(tc.parts))
		}
		same := 0
		for same < min(len(got), len(first)) && got[same] == first[same] {
			same++
		}
		if same != tc.same {
			t.Errorf("%s: got %d blocks in common, want %d", tc.name, same, tc.same)
		}
	}
}

func TestParseParts(t *testing.T) {
	tests := []struct {
		in   string
		want []Part
	}{
		{"", nil},
		{"a:200", []Part{{"a", 200}}},
		{"a:200, b:0", []Part{{"a", 200}, {"b", 0}}},
		{"a", nil},
		{"a:", nil},
		{":3", nil},
		{"a:3,", nil},
		{"a:3,b:-1", nil},
	}
	for _, tc := range tests {
		if got := ParseParts(tc.in); !slices.Equal(got, tc.want) {
			t.Errorf("%q: got %v, want %v", tc.in, got, tc.want)
		}
	}
}

// TestManyParts guards against prompts whose parts take many times the memory of their header field.
func TestManyParts(t *testing.T) {
	entries := make([]string, 2700)
	for i := range entries {
		entries[i] = strconv.Itoa(i) + ":2"
	}
	tests := []struct {
		n, parts, tokens int // tokens of the last part
		name             string
	}{
		{255, 255, 2, "254"},
		{256, 256, 2, "255"},
		{257, 256, 4, "255:2,256:2"},
		{2700, 256, 4890, strings.Join(entries[255:], ",")},
	}
	for _, tc := range tests {
		got := ParseParts(strings.Join(entries[:tc.n], ","))
		if len(got) != tc.parts {
			t.Errorf("%d entries: got %d parts, want %d", tc.n, len(got), tc.parts)
			continue
		}
		if last := got[len(got)-1]; last.Tokens != tc.tokens || last.Name != tc.name {
			t.Errorf("%d entries: got the last part %+v, want %s with %d tokens", tc.n, last, tc.name, tc.tokens)
		}
	}
	if got := ParseParts(strings.Join(entries, ",") + ",x"); got != nil {
		t.Errorf("malformed entry after many: got %d parts, want none", len(got))
	}
}
