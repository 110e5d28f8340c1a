// Package intent defines the changes of the configuration that operators request.
//
// An Intent lists the parts of the configuration to set and the names of parts to
// remove, or contains a whole new configuration. It is declarative: applied to a
// document it yields the next document, or all problems together, each with its
// path and with what is allowed there.
package intent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"

	"github.com/zeebo/errs"

	"crocuslug/configuration"
)

// Intent is a change that an operator requests. Parts in Set replace those of the
// same name.
type Intent struct {
	Author string                 `json:",omitempty"` // name of the operator; the system fills it in
	Note   string                 `json:",omitempty"` // reason for the change, shown in the history
	Whole  bool                   `json:",omitempty"` // Set is the whole document; other parts are removed
	Set    configuration.Document // its revision is ignored
	Remove Names
}

// Names lists the names of parts of a document. Placements are named by model,
// version, adapter and failure domain, separated by bars.
type Names struct {
	Operators  []string `json:",omitempty"`
	Workspaces []string `json:",omitempty"`
	Services   []string `json:",omitempty"`
	Upstreams  []string `json:",omitempty"`
	Rules      []string `json:",omitempty"`
	Placements []string `json:",omitempty"`
}

// Problem is a reason for which an intent is refused.
type Problem struct {
	Path string // for example Set.Rules.issue.Once
	Text string // what is wrong and what is allowed
}

// String returns the path and the text, separated by a colon.
func (p Problem) String() string {
	return p.Path + ": " + p.Text
}

// Decode reads an intent from JSON. It returns an error if body is not exactly one
// JSON object or has an unknown field.
func Decode(body []byte) (Intent, error) {
	var in Intent
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		return Intent{}, errs.New("intent: %v", err)
	}
	if _, err := d.Token(); err != io.EOF || !isObject(body) {
		return Intent{}, errs.New("intent: want one JSON object")
	}
	return in, nil
}

// isObject reports whether body starts with an object. It is needed since null
// decodes into a struct without an error.
func isObject(body []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{"))
}

// Apply returns the document that results from applying in to base, with the
// revision of base, or all problems that it finds. It does not modify its
// arguments.
func Apply(base configuration.Document, in Intent) (configuration.Document, []Problem) {
	doc := Merge(base, in)
	problems := checkParts(base, in)
	problems = append(problems, Check(doc)...)
	if len(problems) > 0 {
		return configuration.Document{}, problems
	}
	return doc, nil
}

// Merge returns the document that results from applying in to base, without any
// check.
func Merge(base configuration.Document, in Intent) configuration.Document {
	if in.Whole {
		doc := configuration.Sorted(in.Set)
		doc.Revision = base.Revision
		return doc
	}
	set, remove := in.Set, in.Remove
	return configuration.Sorted(configuration.Document{
		Revision:   base.Revision,
		Operators:  mergeParts(base.Operators, set.Operators, remove.Operators, operatorName),
		Workspaces: mergeParts(base.Workspaces, set.Workspaces, remove.Workspaces, workspaceName),
		Services:   mergeParts(base.Services, set.Services, remove.Services, serviceName),
		Upstreams:  mergeParts(base.Upstreams, set.Upstreams, remove.Upstreams, upstreamName),
		Rules:      mergeParts(base.Rules, set.Rules, remove.Rules, ruleName),
		Placements: mergeParts(base.Placements, set.Placements, remove.Placements, configuration.Placement.Name),
	})
}

// Difference returns the smallest intent that changes earlier into later.
func Difference(earlier, later configuration.Document) Intent {
	var in Intent
	set, remove := &in.Set, &in.Remove
	set.Operators, remove.Operators = partDifference(earlier.Operators, later.Operators, operatorName)
	set.Workspaces, remove.Workspaces = partDifference(earlier.Workspaces, later.Workspaces, workspaceName)
	set.Services, remove.Services = partDifference(earlier.Services, later.Services, serviceName)
	set.Upstreams, remove.Upstreams = partDifference(earlier.Upstreams, later.Upstreams, upstreamName)
	set.Rules, remove.Rules = partDifference(earlier.Rules, later.Rules, ruleName)
	set.Placements, remove.Placements = partDifference(earlier.Placements, later.Placements, configuration.Placement.Name)
	return in
}

func operatorName(o configuration.Operator) string   { return o.Name }
func workspaceName(w configuration.Workspace) string { return string(w.Name) }
func serviceName(s configuration.Service) string     { return string(s.Name) }
func upstreamName(u configuration.Upstream) string   { return string(u.Name) }
func ruleName(r configuration.Rule) string           { return r.Name }

func mergeParts[T any](base, set []T, remove []string, name func(T) string) []T {
	if len(set) == 0 && len(remove) == 0 {
		return base
	}
	byName := make(map[string]T, len(base)+len(set))
	for _, item := range base {
		byName[name(item)] = item
	}
	for _, n := range remove {
		delete(byName, n)
	}
	for _, item := range set {
		byName[name(item)] = item
	}
	return slices.Collect(maps.Values(byName))
}

func partDifference[T any](earlier, later []T, name func(T) string) (set []T, remove []string) {
	before := make(map[string]T, len(earlier))
	for _, item := range earlier {
		before[name(item)] = item
	}
	for _, item := range later {
		old, ok := before[name(item)]
		delete(before, name(item))
		if !ok || !reflect.DeepEqual(old, item) {
			set = append(set, item)
		}
	}
	if len(before) > 0 {
		remove = slices.Sorted(maps.Keys(before))
	}
	return set, remove
}

// checkParts returns the problems of in that cannot be seen in the merged document,
// such as removals of unknown names.
func checkParts(base configuration.Document, in Intent) []Problem {
	var problems []Problem
	set, remove := in.Set, in.Remove
	problems = append(problems, checkPart("Operators", base.Operators, set.Operators, remove.Operators, operatorName, in.Whole)...)
	problems = append(problems, checkPart("Workspaces", base.Workspaces, set.Workspaces, remove.Workspaces, workspaceName, in.Whole)...)
	problems = append(problems, checkPart("Services", base.Services, set.Services, remove.Services, serviceName, in.Whole)...)
	problems = append(problems, checkPart("Upstreams", base.Upstreams, set.Upstreams, remove.Upstreams, upstreamName, in.Whole)...)
	problems = append(problems, checkPart("Rules", base.Rules, set.Rules, remove.Rules, ruleName, in.Whole)...)
	problems = append(problems, checkPart("Placements", base.Placements, set.Placements, remove.Placements, configuration.Placement.Name, in.Whole)...)
	if len(in.Note) > maxNoteBytes {
		problems = append(problems, Problem{"Note", fmt.Sprintf("has %d bytes; allowed are at most %d", len(in.Note), maxNoteBytes)})
	}
	return problems
}

func checkPart[T any](part string, base, set []T, remove []string, name func(T) string, whole bool) []Problem {
	var problems []Problem
	known := make(map[string]bool, len(base))
	for _, item := range base {
		known[name(item)] = true
	}
	inSet := make(map[string]bool, len(set))
	for _, item := range set {
		n := name(item)
		if inSet[n] && !whole {
			problems = append(problems, Problem{"Set." + part + "." + n, "is listed more than once; allowed is once"})
		}
		inSet[n] = true
	}
	for _, n := range remove {
		path := "Remove." + part + "." + n
		switch {
		case whole:
			problems = append(problems, Problem{path, "an intent with Whole removes all parts that it does not set; allowed is no name here"})
		case inSet[n]:
			problems = append(problems, Problem{path, "is both set and removed; allowed is one of the two"})
		case !known[n]:
			problems = append(problems, Problem{path, "is unknown; allowed are names that exist"})
		}
	}
	return problems
}
