package explain

import (
	"strings"
	"time"

	"crocuslug/telemetry"
)

// line is one log line.
type line struct {
	at     time.Time
	event  string
	fields map[string]string
	order  []string // names of the fields in the order of the line
	source string
}

// parseLine parses a log line. Text before the time, such as a prefix added by a
// log collector, is ignored. It returns false if the line has no valid time or no
// event, or is cut off.
func parseLine(text, source string) (line, bool) {
	i := strings.Index(text, "Time=")
	if i < 0 {
		return line{}, false
	}
	l := line{fields: make(map[string]string), source: source}
	for rest := text[i:]; rest != ""; {
		name, after, ok := strings.Cut(rest, "=")
		if !ok {
			return line{}, false
		}
		value, next, ok := cutValue(after)
		if !ok {
			return line{}, false
		}
		rest = next
		l.fields[name] = value
		if name != "Time" && name != "Level" && name != "Event" {
			l.order = append(l.order, name)
		}
	}
	at, err := time.Parse(telemetry.TimeFormat, l.fields["Time"])
	if err != nil || l.fields["Event"] == "" {
		return line{}, false
	}
	l.at, l.event = at, l.fields["Event"]
	return l, true
}

// cutValue returns the value at the start of s, which may be quoted, and the rest
// of s after the following space. It returns false if a closing quote is missing.
func cutValue(s string) (v, rest string, ok bool) {
	if !strings.HasPrefix(s, `"`) {
		v, rest, _ = strings.Cut(s, " ")
		return v, rest, true
	}
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return strings.ReplaceAll(s[1:i], `\"`, `"`), strings.TrimPrefix(s[i+1:], " "), true
		}
	}
	return "", "", false
}
