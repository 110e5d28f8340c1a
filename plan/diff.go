package plan

import (
	"encoding/json"
	"fmt"
	"reflect"

	"crocuslug/configuration"
)

// diff returns the differences between two documents, part by part.
func diff(before, after configuration.Document) []Change {
	var changes []Change
	changes = diffPart(changes, "Operators", "operator", before.Operators, after.Operators,
		func(o configuration.Operator) string { return o.Name })
	changes = diffPart(changes, "Workspaces", "workspace", before.Workspaces, after.Workspaces,
		func(w configuration.Workspace) string { return string(w.Name) })
	changes = diffPart(changes, "Services", "service", before.Services, after.Services,
		func(s configuration.Service) string { return string(s.Name) })
	changes = diffPart(changes, "Upstreams", "upstream", before.Upstreams, after.Upstreams,
		func(u configuration.Upstream) string { return string(u.Name) })
	changes = diffPart(changes, "Rules", "rule", before.Rules, after.Rules,
		func(r configuration.Rule) string { return r.Name })
	return diffPart(changes, "Placements", "placement", before.Placements, after.Placements,
		configuration.Placement.Name)
}

// diffPart appends the differences between two lists that are sorted by name. The
// argument noun is the word for an item in the effect of a change.
func diffPart[T any](changes []Change, part, noun string, before, after []T, name func(T) string) []Change {
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case j == len(after) || i < len(before) && name(before[i]) < name(after[j]):
			n := name(before[i])
			changes = append(changes, Change{
				Path: part + "." + n, Before: rawJSON(before[i]),
				Effect: fmt.Sprintf("Removes %s %s.", noun, n),
			})
			i++
		case i == len(before) || name(after[j]) < name(before[i]):
			n := name(after[j])
			changes = append(changes, Change{
				Path: part + "." + n, After: rawJSON(after[j]),
				Effect: fmt.Sprintf("Adds %s %s.", noun, n),
			})
			j++
		default:
			changes = diffFields(changes, part+"."+name(after[j]), noun, before[i], after[j])
			i++
			j++
		}
	}
	return changes
}

// diffFields appends a change for each field that differs.
func diffFields(changes []Change, path, noun string, before, after any) []Change {
	x, y := reflect.ValueOf(before), reflect.ValueOf(after)
	for f := range x.NumField() {
		old, now := x.Field(f).Interface(), y.Field(f).Interface()
		if reflect.DeepEqual(old, now) {
			continue
		}
		field := x.Type().Field(f).Name
		was, is := rawJSON(old), rawJSON(now)
		changes = append(changes, Change{
			Path: path + "." + field, Before: was, After: is,
			Effect: fmt.Sprintf("Changes %s of the %s from %s to %s.", field, noun, was, is),
		})
	}
	return changes
}

func rawJSON(v any) json.RawMessage {
	body, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage(`null`)
	}
	return body
}
