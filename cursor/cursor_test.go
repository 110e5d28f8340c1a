package cursor

import (
	"fmt"
	"testing"
)

// ExampleCursor encodes and parses the cursor of an answer after two tokens.
func ExampleCursor() {
	c := New("g1").Next([]byte("Hel")).Next([]byte("lo"))
	back, err := Parse(c.String())
	fmt.Println(back == c, back.Count, err)
	// Output: true 2 <nil>
}

// TestNextIsUnique checks that the cursors of answers differ if the answers differ
// in a token, in where tokens are split, or in the generation.
func TestNextIsUnique(t *testing.T) {
	seen := make(map[Cursor]string)
	for _, g := range []string{"g", "h"} {
		for _, tokens := range [][]string{nil, {""}, {"a"}, {"ab", "c"}, {"a", "bc"}, {"abc", ""}, {"", "abc"}, {"c", "ab"}} {
			c := Cursor{Generation: "h"}
			if g == "g" {
				c = New("g")
			}
			for _, token := range tokens {
				c = c.Next([]byte(token))
			}
			name := fmt.Sprintf("%s %q", g, tokens)
			if other, ok := seen[c]; ok {
				t.Errorf("%s: got the cursor of %s, want one of its own", name, other)
			}
			seen[c] = name
		}
	}
}

// FuzzParse checks that Parse accepts only texts that String returns.
func FuzzParse(f *testing.F) {
	for _, text := range []string{New("g").Next([]byte("a")).String(), "g~1~0", "~1~0", "g~-1~0", "g~01~0", "g~1~A", "g~1", "a~b~1~0", ""} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse(text)
		switch {
		case err != nil:
		case c.String() != text:
			t.Errorf("text of %+v: got %q, want %q", c, c.String(), text)
		case c.Count < 0 || c.Generation == "":
			t.Errorf("cursor: got %+v, want a generation and a count", c)
		}
	})
}
