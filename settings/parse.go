package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// reader fills a value from JSON and collects all problems. It is stricter than
// encoding/json, whose decoder stops at the first error, matches names without
// regard to case, and ignores null and repeated names.
type reader struct {
	problems []Problem
}

func (r *reader) addProblem(path, format string, args ...any) {
	r.problems = append(r.problems, Problem{path, fmt.Sprintf(format, args...)})
}

// hasProblemAt reports whether there is a problem at path, inside it or in a
// value around it. The value at path is then not checked further.
func (r *reader) hasProblemAt(path string) bool {
	return slices.ContainsFunc(r.problems, func(p Problem) bool {
		return p.Path == "" || p.Path == path || isPartOf(p.Path, path) || isPartOf(path, p.Path)
	})
}

// isPartOf reports whether path names a value inside the one at outer.
func isPartOf(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && outer != "" && rest != "" && (rest[0] == '.' || rest[0] == '[')
}

// fill decodes raw, which must be valid JSON, into v.
func (r *reader) fill(v reflect.Value, raw json.RawMessage, path string) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		r.text(u, raw, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		r.object(v, raw, path)
	case reflect.Slice:
		r.array(v, raw, path)
	default:
		if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil || string(raw) == "null" {
			r.addProblem(path, "want %s, got %s", expectedKind(v.Type()), kindOf(raw))
		}
	}
}

// text decodes a value that is written as a string with a unit.
func (r *reader) text(u encoding.TextUnmarshaler, raw json.RawMessage, path string) {
	var s string
	if kindOf(raw) != "a string" || json.Unmarshal(raw, &s) != nil {
		r.addProblem(path, `want a string with a unit, as in "250ms" or "16s", got %s`, kindOf(raw))
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		r.addProblem(path, "%s", err)
	}
}

// array decodes the elements of an array into a slice.
func (r *reader) array(v reflect.Value, raw json.RawMessage, path string) {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil || elements == nil {
		r.addProblem(path, "want an array, got %s", kindOf(raw))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(elements), len(elements)))
	for i, e := range elements {
		r.fill(v.Index(i), e, fmt.Sprintf("%s[%d]", path, i))
	}
}

// object decodes the members of an object into a struct.
func (r *reader) object(v reflect.Value, raw json.RawMessage, path string) {
	if kindOf(raw) != "an object" {
		r.addProblem(path, "want an object with %s, got %s", strings.Join(fieldNames(v.Type()), ", "), kindOf(raw))
		return
	}
	seen := make(map[string]bool)
	d := json.NewDecoder(bytes.NewReader(raw))
	_, _ = d.Token()
	for d.More() {
		name, value, ok := nextMember(d)
		if !ok {
			r.addProblem(path, "want JSON")
			return
		}
		at := strings.TrimPrefix(path+"."+name, ".")
		f := v.FieldByName(name)
		switch {
		case !f.IsValid():
			r.addProblem(at, "unknown field; allowed here: %s", strings.Join(fieldNames(v.Type()), ", "))
		case seen[name]:
			r.addProblem(at, "repeated field; want it once")
		default:
			r.fill(f, value, at)
		}
		seen[name] = true
	}
}

// nextMember returns the next name and value of an object; ok is false if there
// is none that is valid.
func nextMember(d *json.Decoder) (name string, value json.RawMessage, ok bool) {
	t, err := d.Token()
	if err != nil {
		return "", nil, false
	}
	name, ok = t.(string)
	return name, value, ok && d.Decode(&value) == nil
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}
	return names
}

// expectedKind describes the JSON values that fit type t.
func expectedKind(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return t.String()
}

// kindOf describes the kind of raw. The text never contains the value, which
// may be a secret in the wrong field.
func kindOf(raw json.RawMessage) string {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return "nothing"
	}
	switch raw[0] {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case 't', 'f':
		return "a boolean"
	case 'n':
		return "null"
	}
	return "a number"
}

// syntaxProblem returns the problem of text that is not valid JSON, with the
// line of the error.
func syntaxProblem(text []byte, err error) Problem {
	var se *json.SyntaxError
	if !errors.As(err, &se) {
		return Problem{"", "want JSON"}
	}
	before := text[:min(int(se.Offset), len(text))]
	return Problem{"", fmt.Sprintf("want JSON; syntax error in line %d", bytes.Count(before, []byte("\n"))+1)}
}
