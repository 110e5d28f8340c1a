package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Story collects what logs say of one request. Read all logs, then Write.
type Story struct {
	request string
	own     []line // that name the request
	others  []line // that could matter
	lines   int
	broken  int
}

// New returns the story of a request, by its id.
func New(request string) *Story {
	return &Story{request: request}
}

// Events that begin and end the story of a request at an instance.
const begins = "request taken"

var ends = []string{"answered", "refused", "stream ended", "stream cut", "caller left", "the caller did not take the answer"}

// concerning are events that could decide any request at their instance.
var concerning = []string{
	"configuration in force", "store lost", "store regained", "leaving", "started", "failure domain hit; its upstreams are avoided",
	"caught up from a peer", "content refused: engines fail with it", "settings reloaded",
}

// aboutUpstreams are events that could decide it if it was sent to their upstream.
var aboutUpstreams = []string{
	"upstream health changed", "upstream removed", "upstream registered", "engine died alone while it ran the request",
	"upstream did not register again after the outage",
}

// maxLine bounds a line in bytes.
const maxLine = 1 << 20

// Read takes in one log, named source. Lines that cannot be read are counted.
func (s *Story) Read(r io.Reader, source string) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		text := strings.TrimSpace(sc.Text())
		if text == "" {
			continue
		}
		s.lines++
		l, ok := parse(text, source)
		switch {
		case !ok:
			s.broken++
		case l.fields["Request"] == s.request:
			s.own = append(s.own, l)
		case slices.Contains(concerning, l.event) || slices.Contains(aboutUpstreams, l.event):
			s.others = append(s.others, l)
		}
	}
	return sc.Err()
}

// around is the time before and after the request in which other lines count.
const around = time.Second

// Write prints the story in order of time, with what is missing.
func (s *Story) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	defer b.Flush()
	fmt.Fprintf(b, "request %s: %d of %d lines, %d lines cannot be read\n", s.request, len(s.own), s.lines, s.broken)
	if len(s.own) == 0 {
		fmt.Fprintln(b, "missing: no line names the request; it reached none of these instances, or their lines were dropped")
		return b.Flush()
	}
	byTime := func(x, y line) int { return x.at.Compare(y.at) }
	slices.SortStableFunc(s.own, byTime)
	first := s.own[0].at
	all := append(slices.Clone(s.own), s.relevant()...)
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

// relevant returns the other lines of the request's instances and time that
// could have decided it.
func (s *Story) relevant() []line {
	instances, upstreams := map[string]bool{}, map[string]bool{}
	for _, l := range s.own {
		instances[l.instance()] = true
		upstreams[l.fields["Upstream"]] = true
	}
	from, to := s.own[0].at.Add(-around), s.own[len(s.own)-1].at.Add(around)
	var out []line
	for _, l := range s.others {
		if !instances[l.instance()] || l.at.Before(from) || l.at.After(to) {
			continue
		}
		if slices.Contains(aboutUpstreams, l.event) && !upstreams[l.fields["Upstream"]] {
			continue
		}
		out = append(out, l)
	}
	return out
}

// missing returns what the logs should have and do not.
func (s *Story) missing() []string {
	var out []string
	begun, ended := map[string]bool{}, map[string]bool{}
	var order []string
	for _, l := range s.own {
		i := l.instance()
		if !slices.Contains(order, i) {
			order = append(order, i)
		}
		begun[i] = begun[i] || l.event == begins || l.event == "refused"
		ended[i] = ended[i] || slices.Contains(ends, l.event)
	}
	for _, i := range order {
		if !begun[i] {
			out = append(out, i+" has no line that it took the request; its log begins later or lines were dropped")
		}
		if !ended[i] {
			out = append(out, i+" has no line on the end; the process ended first, or its log ends here")
		}
	}
	return out
}

// end says how the request ended, by the last line that tells.
func (s *Story) end() string {
	for _, l := range slices.Backward(s.own) {
		if slices.Contains(ends, l.event) {
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

// detail returns the fields that are not shown elsewhere.
func (l line) detail() string {
	var b strings.Builder
	for _, name := range l.order {
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
