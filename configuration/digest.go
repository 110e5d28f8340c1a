package configuration

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Digest returns the hexadecimal SHA-256 of the content of doc without its
// revision. It panics if doc contains a number that JSON cannot represent.
func Digest(doc Document) string {
	doc.Revision = 0
	body, err := json.Marshal(doc)
	if err != nil {
		panic(fmt.Sprintf("configuration: %v", err))
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Sorted returns a copy of doc whose lists are sorted by name; empty lists
// become nil. The lists inside the items are shared with doc.
func Sorted(doc Document) Document {
	doc.Operators = sorted(doc.Operators, func(o Operator) string { return o.Name })
	doc.Workspaces = sorted(doc.Workspaces, func(w Workspace) string { return string(w.Name) })
	doc.Services = sorted(doc.Services, func(s Service) string { return string(s.Name) })
	doc.Upstreams = sorted(doc.Upstreams, func(u Upstream) string { return string(u.Name) })
	doc.Rules = sorted(doc.Rules, func(r Rule) string { return r.Name })
	doc.Placements = sorted(doc.Placements, Placement.Name)
	for i := range doc.Operators {
		doc.Operators[i].KeyHashes = nilIfEmpty(doc.Operators[i].KeyHashes)
	}
	for i := range doc.Workspaces {
		doc.Workspaces[i].KeyHashes = nilIfEmpty(doc.Workspaces[i].KeyHashes)
	}
	for i := range doc.Upstreams {
		doc.Upstreams[i].Models = nilIfEmpty(doc.Upstreams[i].Models)
	}
	return doc
}

// Name returns the name of a placement in plans and intents: its model, version,
// adapter and failure domain, separated by "|".
func (p Placement) Name() string {
	return strings.Join([]string{p.Model, p.Version, p.Adapter, string(p.Domain)}, "|")
}

func sorted[T any](items []T, name func(T) string) []T {
	if len(items) == 0 {
		return nil
	}
	items = slices.Clone(items)
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return items
}

func nilIfEmpty(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return list
}
