package upstreamlimit

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
)

// script is the state of a script: several instances that know the same upstreams.
type script struct {
	t         *testing.T
	line      int
	upstreams []directory.Upstream
	instances map[string]*Limits
}

// TestScripts runs the scripts in testdata/*.txt. Each line is "upstreams ID[/BORN] ...", or a time,
// an instance and one of
//
//	named UPSTREAM TEXT            an answer names a limit
//	unnamed UPSTREAM SENT          an answer to a request sent at a time names none
//	tells INSTANCE                 sends its report
//	issues UPSTREAM COUNT N WAIT   wanted answer to a request for permits
//	held UPSTREAM N                is issued permits
//	takes UPSTREAM yes|no          wanted
//	blocked UPSTREAM ... | -       wanted
//	limit UPSTREAM RATE            wanted, 0 for none
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", files, err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{t: t, instances: make(map[string]*Limits)}
			for n, line := range strings.Split(string(text), "\n") {
				s.line = n + 1
				w := strings.Fields(line)
				if len(w) == 0 || w[0] == "#" {
					continue
				}
				if w[0] == "upstreams" {
					s.setUpstreams(w[1:])
					continue
				}
				s.run(s.instance(w[1]), s.time(w[0]), w[2], w[3:])
			}
		})
	}
}

func (s *script) setUpstreams(words []string) {
	s.upstreams = nil
	for _, w := range words {
		id, born, _ := strings.Cut(w, "/")
		n, _ := strconv.ParseInt(born, 10, 64)
		s.upstreams = append(s.upstreams, directory.Upstream{ID: ident.Upstream(id), Born: n, Service: "s"})
	}
	for _, l := range s.instances {
		l.SetUpstreams(s.upstreams)
	}
}

func (s *script) instance(name string) *Limits {
	if s.instances[name] == nil {
		s.instances[name] = New(ident.Instance(name))
		s.instances[name].SetUpstreams(s.upstreams)
	}
	return s.instances[name]
}

func (s *script) time(text string) time.Time { return time.Unix(1000, 0).Add(s.duration(text)) }

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return d
}

func (s *script) number(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return x
}

func (s *script) run(l *Limits, now time.Time, verb string, w []string) {
	s.t.Helper()
	id := ident.Upstream(w[0])
	check := func(what string, got, want any) {
		s.t.Helper()
		if got != want {
			s.t.Errorf("line %d: %s: got %v, want %v", s.line, what, got, want)
		}
	}
	switch verb {
	case "named":
		l.Named(id, s.number(w[1]), now)
	case "unnamed":
		l.NotNamed(id, s.time(w[1]), now)
	case "tells":
		s.instance(w[0]).Merge(l.Report(now), now)
	case "issues":
		a := l.Issue(id, int(s.number(w[1])), now)
		check("issued", a.Issued, int(s.number(w[2])))
		check("wait", a.Wait, s.duration(w[3]))
	case "held":
		n := int(s.number(w[1]))
		l.Issued(Request{Limit: Statement{Upstream: id}, Count: n}, Answer{Issued: n}, now, now)
	case "takes":
		check("permit", l.Take(id, now), w[1] == "yes")
	case "blocked":
		var got []string
		for _, id := range l.Blocked("s", now) {
			got = append(got, string(id))
		}
		check("blocked", strings.Join(got, " "), strings.TrimPrefix(strings.Join(w, " "), "-"))
	case "limit":
		st, _ := l.Statement(id, now)
		check("limit", st.Rate, s.number(w[1]))
	default:
		s.t.Fatalf("line %d: unknown command %q", s.line, verb)
	}
}

// TestParse guards against values of the field that are no rate and would stop or flood an upstream.
func TestParse(t *testing.T) {
	for _, text := range []string{"1", "1.1", "0.05", "2.", ".5", "1000000"} {
		if got, err := Parse(text); err != nil || got <= 0 {
			t.Errorf("%q: got %v, %v, want a rate", text, got, err)
		}
	}
	for _, text := range []string{"", "0", "0.0", "-1", "+1", "NaN", "Inf", "inf", "1e3", "0x10", "1_0", "1,2", "1 ", "1000001", "1.2.3", ".", "two", strings.Repeat("9", 400)} {
		if got, err := Parse(text); err == nil {
			t.Errorf("%q: got %v, want an error", text, got)
		}
	}
}
