package ident

import "testing"

// TestContinues guards against an upstream of an unknown build that is taken for one of any build.
func TestContinues(t *testing.T) {
	known, other, unknown := Build("v1"), Build("v2"), Build("")
	tests := []struct {
		begun *Build
		build Build
		want  bool
	}{
		{nil, known, true},
		{nil, unknown, true},
		{&known, known, true},
		{&known, other, false},
		{&known, unknown, false},
		{&unknown, unknown, false},
		{&unknown, known, false},
	}
	for _, tc := range tests {
		if got := tc.build.Continues(tc.begun); got != tc.want {
			t.Errorf("%q continues %v: got %t, want %t", tc.build, tc.begun, got, tc.want)
		}
	}
}
