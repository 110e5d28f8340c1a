package membership

import (
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/ident"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261203")
	os.Exit(m.Run())
}

// TestScenarios runs the scripts of testdata. Each line is a command:
//
//	members DOMAIN COUNT     start members DOMAIN.0, DOMAIN.1 and so on
//	stubs DOMAIN COUNT       the same, but they only answer pings
//	list                     give the instance list to all
//	run DURATION | loss SHARE
//	kill | freeze | thaw | leave NAME
//	restart NAME RUN         start a new run NAME/RUN
//	notice NAME KEY VERSION VALUE
//	cut FROM TO | heal       one way, between members or domains
//	halves DOMAIN N          cut the first N members of a domain from the rest, both ways
//	want NAME STATE DOMAIN DURATION   all others of DOMAIN come to believe it
//	always NAME STATE DOMAIN DURATION all others of DOMAIN believe it throughout
//	never NAME STATE DOMAIN DURATION  nobody else of DOMAIN believes it at any time
//	heard KEY VALUE DOMAIN DURATION   all of DOMAIN hold the notice
//	largest BYTES | busiest MESSAGES
//
// In the place of a DOMAIN that believes, one member may stand.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("scripts: got %v, %v", files, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := newPump(t)
			for i, line := range strings.Split(string(text), "\n") {
				if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
					p.command(i+1, f)
				}
			}
		})
	}
}

func (p *pump) command(line int, f []string) {
	p.t.Helper()
	arg := func(i int) string { return f[i] }
	name := func() *node { return p.nodes[ident.Instance(arg(1))] }
	switch f[0] {
	case "members", "stubs":
		for i := range int(p.number(arg(2))) {
			p.add(arg(1)+"."+strconv.Itoa(i), 1, ident.Domain(arg(1)), f[0] == "stubs")
		}
	case "list":
		for _, n := range p.order {
			if n.table != nil && !n.dead {
				p.list(n)
			}
		}
	case "run":
		p.run(p.duration(arg(1)))
	case "loss":
		p.loss = p.number(arg(1))
	case "kill":
		name().dead = true
	case "freeze", "thaw":
		name().frozen = f[0] == "freeze"
	case "leave":
		p.send(name(), name().table.Leave(p.now))
	case "restart":
		old := name()
		old.dead = true
		p.list(p.add(old.Name, uint64(p.number(arg(2))), old.Domain, false))
	case "notice":
		p.send(name(), name().table.Announce(Notice{Key: arg(2), Version: uint64(p.number(arg(3))), Value: arg(4)}, p.now))
	case "cut":
		p.cuts[[2]string{arg(1), arg(2)}] = true
	case "halves":
		p.halves(arg(1), int(p.number(arg(2))))
	case "heal":
		clear(p.cuts)
	case "want":
		p.await(line, p.duration(arg(4)), p.believes(arg(1), State(arg(2)), ident.Domain(arg(3))))
	case "always":
		p.throughout(line, p.duration(arg(4)), p.believes(arg(1), State(arg(2)), ident.Domain(arg(3))))
	case "never":
		p.throughout(line, p.duration(arg(4)), p.doubts(arg(1), State(arg(2)), ident.Domain(arg(3))))
	case "heard":
		p.await(line, p.duration(arg(4)), p.holds(arg(1), arg(2), ident.Domain(arg(3))))
	case "largest":
		p.atMost(line, p.largest, int(p.number(arg(1))))
	case "busiest":
		p.atMost(line, p.busiest, int(p.number(arg(1))))
	default:
		p.t.Fatalf("line %d: no command %s", line, f[0])
	}
}

func (p *pump) halves(domain string, n int) {
	for _, from := range p.order {
		for _, to := range p.order {
			first := func(o *node) bool { return o.Instance < ident.Instance(domain+"."+strconv.Itoa(n)) }
			if string(from.Domain) == domain && string(to.Domain) == domain && first(from) != first(to) {
				p.cuts[[2]string{string(from.Instance), string(to.Instance)}] = true
			}
		}
	}
}

func (p *pump) number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return v
}

func (p *pump) duration(text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		p.t.Fatal(err)
	}
	return v
}

func (p *pump) atMost(line, got, want int) {
	p.t.Helper()
	p.t.Logf("line %d: got %d", line, got)
	if got > want || got == 0 {
		p.t.Errorf("line %d: got %d, want at most %d", line, got, want)
	}
}

// check returns who does not agree and with what, or "".
type check func() string

func (p *pump) each(domain ident.Domain, f func(n *node) string) check {
	return func() string {
		for _, n := range p.order {
			if n.table == nil || (n.Domain != domain && n.Instance != ident.Instance(domain)) || p.runs(n.Instance) == nil {
				continue
			}
			if got := f(n); got != "" {
				return got + " at " + string(n.Instance)
			}
		}
		return ""
	}
}

func (p *pump) believes(id string, want State, domain ident.Domain) check {
	return p.each(domain, func(n *node) string {
		if got := n.state(ident.Instance(id)); n.Instance != ident.Instance(id) && got != want {
			return id + " " + string(got) + " instead of " + string(want)
		}
		return ""
	})
}

func (p *pump) doubts(id string, never State, domain ident.Domain) check {
	return p.each(domain, func(n *node) string {
		if n.Instance != ident.Instance(id) && n.state(ident.Instance(id)) == never {
			return id + " " + string(never)
		}
		return ""
	})
}

func (p *pump) holds(key, value string, domain ident.Domain) check {
	return p.each(domain, func(n *node) string {
		for _, held := range n.table.View().Notices {
			if held.Key == key && held.Value == value {
				return ""
			}
		}
		return "no notice " + key
	})
}

func (p *pump) await(line int, d time.Duration, c check) {
	p.t.Helper()
	start := p.now
	for got := c(); got != ""; got = c() {
		if p.now.Sub(start) > d {
			p.t.Fatalf("line %d: after %v: got %s", line, d, got)
		}
		p.step()
	}
	p.t.Logf("line %d: after %v", line, p.now.Sub(start))
}

func (p *pump) throughout(line int, d time.Duration, c check) {
	p.t.Helper()
	for end := p.now.Add(d); p.now.Before(end); p.step() {
		if got := c(); got != "" {
			p.t.Fatalf("line %d: got %s", line, got)
		}
	}
}

// TestAgainstHeartbeats lets faults happen in any order, waits, and compares
// with what all-to-all heartbeats say.
func TestAgainstHeartbeats(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPump(t)
		for i := range 5 {
			p.add("a."+strconv.Itoa(i), 1, "a", false).naive = &naive{heard: map[ident.Instance]sign{}}
		}
		for _, n := range p.order {
			p.list(n)
		}
		p.run(time.Second)
		p.replay = 0.1
		for range rapid.IntRange(1, 6).Draw(rt, "faults") {
			p.fault(rt)
			p.run(time.Duration(rapid.IntRange(0, 8).Draw(rt, "seconds")) * time.Second)
		}
		p.run(25 * time.Second)
		for _, n := range p.order {
			for _, o := range p.order {
				if p.runs(n.Instance) == nil {
					continue
				}
				if got, want := n.state(o.Instance), p.naiveState(n, o.Instance); got != want {
					rt.Fatalf("%s at %s: got %s, want %s", o.Instance, n.Instance, got, want)
				}
			}
		}
	})
}

func (p *pump) fault(rt *rapid.T) {
	n := p.order[rapid.IntRange(0, len(p.order)-1).Draw(rt, "member")]
	o := p.order[rapid.IntRange(0, len(p.order)-1).Draw(rt, "other")]
	switch rapid.SampledFrom([]string{"kill", "freeze", "thaw", "cut", "heal", "leave"}).Draw(rt, "fault") {
	case "kill":
		n.dead = true
	case "freeze":
		n.frozen = true
	case "thaw":
		n.frozen = false
	case "cut": // one way between two members; a second cut takes the place of the first
		clear(p.cuts)
		p.cuts[[2]string{string(n.Instance), string(o.Instance)}] = true
	case "heal":
		clear(p.cuts)
	case "leave":
		if p.runs(n.Instance) != nil {
			p.send(n, n.table.Leave(p.now))
			self := n.naive.heard[n.Instance]
			self.leaving = true
			n.naive.heard[n.Instance] = self
		}
	}
}
