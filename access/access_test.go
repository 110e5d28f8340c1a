package access

import (
	"strings"
	"testing"

	"crocuslug/configuration"
	"crocuslug/ident"
)

// TestKeys checks to whom the key in each header belongs, and that the keys of
// workspaces and operators are not accepted for each other.
func TestKeys(t *testing.T) {
	doc := &configuration.Document{
		Workspaces: []configuration.Workspace{
			{Name: "w1", KeyHashes: []string{strings.ToUpper(Hash([]byte("one"))), Hash([]byte("old"))}},
			{Name: "w2", KeyHashes: []string{Hash([]byte("two")), ""}},
		},
		Operators: []configuration.Operator{{Name: "ama", KeyHashes: []string{Hash([]byte("op"))}}},
	}
	k, fresh := New(doc, Hash([]byte("first"))), New(nil, Hash([]byte("first")))
	for _, c := range []struct {
		header    string
		keys      *Keys
		workspace ident.Workspace
		operator  string
	}{
		{"Bearer one", k, "w1", ""},
		{"Bearer old", k, "w1", ""},
		{"Bearer two", k, "w2", ""},
		{"Bearer op", k, "", "ama"},
		{"Bearer first", k, "", ""},
		{"Bearer first", fresh, "", BootstrapOperator},
		{"Bearer one", fresh, "", ""},
		{"Bearer one ", k, "", ""},
		{"bearer one", k, "", ""},
		{"Bearer " + Hash([]byte("one")), k, "", ""},
		{"Bearer ", k, "", ""},
		{"Bearer", k, "", ""},
		{"", k, "", ""},
		{"", New(nil, ""), "", ""},
	} {
		w, known := c.keys.Workspace([]byte(c.header))
		o, operates := c.keys.Operator([]byte(c.header))
		if w != c.workspace || o != c.operator || known != (c.workspace != "") || operates != (c.operator != "") {
			t.Errorf("%q: got workspace %q and operator %q, want %q and %q", c.header, w, o, c.workspace, c.operator)
		}
	}
}
