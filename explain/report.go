package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Report collects the log lines about one request. Read is called for each log,
// then Write.
type Report struct {
	request      string
	requestLines []line // lines that name the request
	contextLines []line // lines on events that may have affected it
	lines        int    // number of all lines
	unreadable   int    // number of lines that could not be parsed
}

// New returns an empty report on the request with the given id.
func New(request string) *Report {
	return &Report{request: request}
}

// Events of the first and the last log line of a request at an instance.
const startEvent = "request taken"

var endEvents = []string{"answered", "refused", "stream ended", "stream cut", "caller left", "the caller did not take the answer"}

// instanceEvents are events that may affect any request at their instance.
var instanceEvents = []string{
	"configuration in force", "store lost", "store regained", "leaving", "started", "failure domain hit; its upstreams are avoided",
	"caught up from a peer", "parts of prompts refused: engines crash with them", "parts of prompts refused no more", "settings reloaded", "software versions of service changed",
	"delivery ordered", "delivery withdrawn", "phase of delivery changed", "status of delivery known", "status of delivery written",
	"cut off from upstreams; using other instances", "upstreams reached again",
}

// upstreamEvents are events that may affect the requests sent to their upstream.
var upstreamEvents = []string{
	"upstream health changed", "upstream removed", "upstream registered", "engine died alone while it ran the request", "engine crashed while it ran the request", "lost run is no evidence of a crash",
	"upstream did not register again after the outage", "upstream did not register after its restart", "limit of upstream changed", "limit named by the upstream ignored",
}

// maxLineBytes is the largest length of a log line in bytes.
const maxLineBytes = 1 << 20

// Read reads one log. Source names the log and stands for the instance in lines
// that name none. Lines that cannot be parsed are counted and skipped. Read
// returns an error if r fails or a line is longer than maxLineBytes.
func (s *Report) Read(r io.Reader, source string) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		text := strings.TrimSpace(sc.Text())
		if text == "" {
			continue
		}
		s.lines++
		l, ok := parseLine(text, source)
		switch {
		case !ok:
			s.unreadable++
		case l.fields["Request"] == s.request:
			s.requestLines = append(s.requestLines, l)
		case slices.Contains(instanceEvents, l.event) || slices.Contains(upstreamEvents, l.event):
			s.contextLines = append(s.contextLines, l)
		}
	}
	return sc.Err()
}

// contextMargin is the time before and after the request in which the other
// events of its instances belong to the report.
const contextMargin = time.Second

// Write writes the lines of the report in order of time, then which lines are
// missing and how the request ended. Lines that name the request are marked with
// an asterisk.
func (s *Report) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	defer b.Flush()
	fmt.Fprintf(b, "request %s: %d of %d lines, %d lines cannot be read\n", s.request, len(s.requestLines), s.lines, s.unreadable)
	if len(s.requestLines) == 0 {
		fmt.Fprintln(b, "missing: no line names the request; it reached none of these instances, or their lines were dropped")
		return b.Flush()
	}
	byTime := func(x, y line) int { return x.at.Compare(y.at) }
	slices.SortStableFunc(s.requestLines, byTime)
	first := s.requestLines[0].at
	all := append(slices.Clone(s.requestLines), s.relevant()...)
	slices.SortStableFunc(all, byTime)
	for _, l := range all {
		mark := " "
		if l.fields["Request"] == s.request {
			mark = "*"
		}
		fmt.Fprintf(b, "%s %+9.3f s  %-16s %s%s\n", mark, l.at.Sub(first).Seconds(), l.instance(), l.event, l.detail())
	}
	for _, m := range s.missing() {
		fmt.Fprintln(b, "missing: "+m)
	}
	fmt.Fprintln(b, "end: "+s.end())
	return b.Flush()
}

// relevant returns the context lines of the instances that handled the request,
// from contextMargin before its first line to contextMargin after its last one.
// Lines on upstreams are included only if the request was sent to that upstream, or was not because of
// its limit.
func (s *Report) relevant() []line {
	instances, upstreams := map[string]bool{}, map[string]bool{}
	for _, l := range s.requestLines {
		instances[l.instance()] = true
		upstreams[l.fields["Upstream"]] = true
		for limited := range strings.SplitSeq(l.fields["Upstreams"], ",") {
			id, _, _ := strings.Cut(limited, "@") // the limit follows
			upstreams[id] = true
		}
	}
	from, until := s.requestLines[0].at.Add(-contextMargin), s.requestLines[len(s.requestLines)-1].at.Add(contextMargin)
	var out []line
	for _, l := range s.contextLines {
		if !instances[l.instance()] || l.at.Before(from) || l.at.After(until) {
			continue
		}
		if slices.Contains(upstreamEvents, l.event) && !upstreams[l.fields["Upstream"]] {
			continue
		}
		out = append(out, l)
	}
	return out
}

// missing describes the lines that the logs should contain and do not.
func (s *Report) missing() []string {
	var out []string
	begun, ended := map[string]bool{}, map[string]bool{}
	var order []string
	for _, l := range s.requestLines {
		i := l.instance()
		if !slices.Contains(order, i) {
			order = append(order, i)
		}
		begun[i] = begun[i] || l.event == startEvent || l.event == "refused"
		ended[i] = ended[i] || slices.Contains(endEvents, l.event)
	}
	for _, i := range order {
		if !begun[i] {
			out = append(out, i+" has no line on the start of the request; its log begins later or lines were dropped")
		}
		if !ended[i] {
			out = append(out, i+" has no line on the end of the request; the process ended first, or its log ends earlier")
		}
	}
	return out
}

// end describes how the request ended, from the last of its lines with an end
// event.
func (s *Report) end() string {
	for _, l := range slices.Backward(s.requestLines) {
		if slices.Contains(endEvents, l.event) {
			if reason := l.fields["Reason"]; reason != "" {
				return l.event + ": " + reason
			}
			return l.event
		}
	}
	return "not in these logs"
}

func (l line) instance() string {
	if i := l.fields["Instance"]; i != "" {
		return i
	}
	return l.source
}

// detail returns the fields that Write does not print elsewhere.
func (l line) detail() string {
	var b strings.Builder
	for _, name := range l.fieldNames {
		if name == "Instance" || name == "Domain" || name == "Request" {
			continue
		}
		v := l.fields[name]
		if strings.Contains(v, " ") {
			v = `"` + v + `"`
		}
		fmt.Fprintf(&b, " %s=%s", name, v)
	}
	return b.String()
}
