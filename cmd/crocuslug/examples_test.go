package main

import (
	"os"
	"path/filepath"
	"testing"

	"crocuslug/configuration"
	"crocuslug/instancelist"
	"crocuslug/intent"
	"crocuslug/settings"
)

const examples = "../../docs/examples/"

// read returns the content of an example file.
func read(t *testing.T, name string) []byte {
	body, err := os.ReadFile(examples + name)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestExampleFilesAreValid checks that the example files named in docs/SEPARATE.md
// are accepted.
func TestExampleFilesAreValid(t *testing.T) {
	files, err := filepath.Glob(examples + "accra-*.json")
	if err != nil || len(files) != 3 {
		t.Fatalf("settings files: got %d, %v, want 3", len(files), err)
	}
	for _, f := range files {
		if _, problems, err := settings.Read(f); err != nil || len(problems) > 0 {
			t.Errorf("%s: got %v, %v, want no problem", f, problems, err)
		}
	}
	if l, err := instancelist.Parse(read(t, "instances.json")); err != nil || len(l.Instances) != 3 {
		t.Errorf("instances.json: got %d instances, %v, want 3", len(l.Instances), err)
	}
	var doc configuration.Document
	for _, name := range []string{"first.json", "limit.json"} {
		in, err := intent.Decode(read(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		next, problems := intent.Apply(doc, in)
		if len(problems) > 0 {
			t.Fatalf("%s: got %v, want no problem", name, problems)
		}
		doc = next
	}
}
