package result

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// pageRows returns the rows of the table in docs/RESULTS.md by code.
func pageRows(t *testing.T) map[string][]string {
	b, err := os.ReadFile("../docs/RESULTS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string][]string)
	for line := range strings.Lines(string(b)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if len(cells) < 7 || cells[0] == "code" || strings.HasPrefix(cells[0], "--") {
			continue
		}
		if _, ok := rows[cells[0]]; ok {
			t.Errorf("docs/RESULTS.md: got code %s twice, want it once", cells[0])
		}
		rows[cells[0]] = cells
	}
	return rows
}

// TestPageMatchesTable checks that docs/RESULTS.md has one row for each code, with
// the values of the table, and no other rows.
func TestPageMatchesTable(t *testing.T) {
	rows := pageRows(t)
	for _, c := range Codes() {
		i := c.Info()
		want := []string{fmt.Sprint(int(c)), i.Name, fmt.Sprint(i.Status), fmt.Sprint(i.Exit)}
		got, ok := rows[want[0]]
		if !ok {
			t.Errorf("docs/RESULTS.md: got no row of %d %s, want one", int(c), c)
			continue
		}
		delete(rows, want[0])
		if strings.Join(got[:4], "|") != strings.Join(want, "|") || got[5] != i.Text {
			t.Errorf("docs/RESULTS.md: got %q, want %q and the text %q", got, want, i.Text)
		}
		if got[4] == "" || got[6] == "" {
			t.Errorf("docs/RESULTS.md: got an empty cell in the row of %s, want its run and what to do", c)
		}
	}
	for code, cells := range rows {
		t.Errorf("docs/RESULTS.md: got a row %s %s, want only codes of the package", code, cells[1])
	}
}

// TestTableIsConsistent checks that names are unique, that all codes but OK have
// the status and exit code of an error, and that Codes returns all codes.
func TestTableIsConsistent(t *testing.T) {
	seen := make(map[string]Code)
	for _, c := range Codes() {
		i := c.Info()
		if other, ok := seen[i.Name]; ok {
			t.Errorf("name %s: got it for %d and %d, want it once", i.Name, int(other), int(c))
		}
		seen[i.Name] = c
		if failed := i.Status >= 400 && i.Exit > 0; failed != (c != OK) {
			t.Errorf("%s: got status %d and exit %d, want those of a failure for all but OK", c, i.Status, i.Exit)
		}
	}
	if got, want := len(seen), len(table); got != want {
		t.Errorf("Codes: got %d, want all %d", got, want)
	}
}
