package telemetry

import (
	"fmt"
	"strconv"
	"strings"
)

// pair returns a formatter that writes a part of a log line as name=value.
func pair(name string) func(any) string {
	return func(v any) string {
		text := fmt.Sprint(v)
		if strings.ContainsAny(text, " =\"") {
			text = strconv.Quote(text)
		}
		return name + "=" + text
	}
}
