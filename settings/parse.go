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

// reader fills a value from JSON and notes all that does not fit. It is
// stricter than encoding/json, whose decoder stops at the first fault, takes
// names in any case and ignores null and repeated names.
type reader struct {
	problems []Problem
}

func (r *reader) bad(path, format string, args ...any) {
	r.problems = append(r.problems, Problem{path, fmt.Sprintf(format, args...)})
}

// faulty reports whether something in or around path did not fit, so that what
// stands there must not be checked further.
func (r *reader) faulty(path string) bool {
	return slices.ContainsFunc(r.problems, func(p Problem) bool {
		return p.Path == "" || p.Path == path || within(p.Path, path) || within(path, p.Path)
	})
}

// within reports whether path is a part of what outer names.
func within(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && outer != "" && rest != "" && (rest[0] == '.' || rest[0] == '[')
}

// fill reads raw, which is sound JSON, into v.
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
			r.bad(path, "want %s, got %s", wanted(v.Type()), kindOf(raw))
		}
	}
}

// text reads a value that is written as a string with a unit.
func (r *reader) text(u encoding.TextUnmarshaler, raw json.RawMessage, path string) {
	var s string
	if kindOf(raw) != "a string" || json.Unmarshal(raw, &s) != nil {
		r.bad(path, `want a string with a unit, as in "250ms" or "16s", got %s`, kindOf(raw))
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		r.bad(path, "%s", err)
	}
}

// array reads the elements of an array into a slice.
func (r *reader) array(v reflect.Value, raw json.RawMessage, path string) {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil || elements == nil {
		r.bad(path, "want an array, got %s", kindOf(raw))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(elements), len(elements)))
	for i, e := range elements {
		r.fill(v.Index(i), e, fmt.Sprintf("%s[%d]", path, i))
	}
}

// object reads the members of an object into a struct.
func (r *reader) object(v reflect.Value, raw json.RawMessage, path string) {
	if kindOf(raw) != "an object" {
		r.bad(path, "want an object with %s, got %s", strings.Join(fields(v.Type()), ", "), kindOf(raw))
		return
	}
	seen := make(map[string]bool)
	d := json.NewDecoder(bytes.NewReader(raw))
	_, _ = d.Token()
	for d.More() {
		name, value, ok := member(d)
		if !ok {
			r.bad(path, "want JSON")
			return
		}
		at := strings.TrimPrefix(path+"."+name, ".")
		f := v.FieldByName(name)
		switch {
		case !f.IsValid():
			r.bad(at, "unknown field; allowed here: %s", strings.Join(fields(v.Type()), ", "))
		case seen[name]:
			r.bad(at, "want it once")
		default:
			r.fill(f, value, at)
		}
		seen[name] = true
	}
}

// member reads the next name and value of an object.
func member(d *json.Decoder) (name string, value json.RawMessage, ok bool) {
	t, err := d.Token()
	if err != nil {
		return "", nil, false
	}
	name, ok = t.(string)
	return name, value, ok && d.Decode(&value) == nil
}

func fields(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}
	return names
}

// wanted names the values that a type takes.
func wanted(t reflect.Type) string {
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

// kindOf names the kind of raw. It never holds the value, which may be a
// secret in the wrong place.
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
		return "a truth value"
	case 'n':
		return "null"
	}
	return "a number"
}

// syntax says where text stops being JSON.
func syntax(text []byte, err error) Problem {
	var se *json.SyntaxError
	if !errors.As(err, &se) {
		return Problem{"", "want JSON"}
	}
	before := text[:min(int(se.Offset), len(text))]
	return Problem{"", fmt.Sprintf("want JSON; it breaks off in line %d", bytes.Count(before, []byte("\n"))+1)}
}
