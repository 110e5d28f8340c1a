package soak

import (
	"bufio"
	"io"
	"os"
	"regexp"
	"strconv"
)

// Parts of the lines that instances log when they cut a stream, refuse a request or lose an attempt.
var (
	eventField  = regexp.MustCompile(`\bEvent=("(?:[^"\\]|\\.)*"|\S+)`)
	reasonField = regexp.MustCompile(`\bReason=("(?:[^"\\]|\\.)*"|\S+)`)
	causeField  = regexp.MustCompile(`\bCause=(\S+)`)
	variable    = regexp.MustCompile(`[0-9]+(?:(?:[.:]|->)[0-9]+)*(?:ns|µs|ms|s\b|m\b)?`)
)

// Events of the log that count by reason or cause.
const (
	cutEvent     = "stream cut"
	refusedEvent = "refused"
	failedEvent  = "attempt failed"
)

// countReasons adds the cut streams, refused requests and failed attempts of a log to counts, by
// event and reason. Numbers and addresses in reasons are replaced by N.
func countReasons(log io.Reader, counts map[string]int) {
	for sc := bufio.NewScanner(log); sc.Scan(); {
		line := sc.Text()
		field := reasonField
		event := fieldOf(line, eventField)
		switch event {
		case cutEvent, refusedEvent:
		case failedEvent:
			field = causeField
		default:
			continue
		}
		counts[event+": "+variable.ReplaceAllString(fieldOf(line, field), "N")]++
	}
}

// fieldOf returns the value of a field of a log line, without quotes.
func fieldOf(line string, field *regexp.Regexp) string {
	m := field.FindStringSubmatch(line)
	if m == nil {
		return ""
	}
	if text, err := strconv.Unquote(m[1]); err == nil {
		return text
	}
	return m[1] // written without quotes
}

// countInstanceReasons counts the reasons in the logs of all instances.
func (s *Soak) countInstanceReasons() map[string]int {
	counts := make(map[string]int)
	for _, in := range s.cluster.instances {
		f, err := os.Open(in.log.Name())
		if err != nil {
			s.reportViolation("log of %s: %v", in.name, err)
			continue
		}
		countReasons(f, counts)
		_ = f.Close()
	}
	return counts
}
