package telemetry

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
)

// pair returns a formatter that writes a part of a log line as name=value. The
// value is quoted if it would not be read back as one word of one line.
func pair(name string) func(any) string {
	return func(v any) string {
		text := fmt.Sprint(v)
		if text == "" || strings.ContainsFunc(text, awkward) {
			text = strconv.Quote(text)
		}
		return name + "=" + text
	}
}

func awkward(r rune) bool {
	return r == '=' || r == '"' || unicode.IsSpace(r) || !unicode.IsPrint(r)
}
