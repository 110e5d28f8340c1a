package prefix

import (
	"slices"
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
