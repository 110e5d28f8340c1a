package telemetry

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
)

// formatPair returns a formatter that writes a part of a log line as name=value.
// The value is quoted if it is empty or contains spaces, quotes, equals signs or
// characters that are not printable, so that each line parses unambiguously.
func formatPair(name string) func(any) string {
	return func(v any) string {
		text := fmt.Sprint(v)
		if text == "" || strings.ContainsFunc(text, needsQuotes) {
			text = strconv.Quote(text)
		}
		return name + "=" + text
	}
}

func needsQuotes(r rune) bool {
	return r == '=' || r == '"' || unicode.IsSpace(r) || !unicode.IsPrint(r)
}
