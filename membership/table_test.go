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
//	list                     apply the instance list to all tables
//	run DURATION | loss SHARE
//	kill | freeze | thaw | leave NAME
//	restart NAME RUN         start a new run NAME/RUN
//	notice NAME KEY VERSION VALUE
//	cut FROM TO | heal       cut one direction between members or domains, or restore all links
//	split DOMAIN N           cut the first N members of a domain from the rest, both ways
//	eventually NAME STATE DOMAIN DURATION  all other members of DOMAIN see the state within the time
//	always NAME STATE DOMAIN DURATION      all other members of DOMAIN see the state throughout
//	never NAME STATE DOMAIN DURATION       no other member of DOMAIN sees the state at any time
//	knows KEY VALUE DOMAIN DURATION        all members of DOMAIN have the notice within the time
//	max-message-bytes BYTES                bound on the size of a message so far
//	max-tick-messages MESSAGES             bound on the messages sent by one tick so far
//
// In eventually, always, never and knows, one member may take the place of DOMAIN.
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
			net := newNetwork(t)
			for i, line := range strings.Split(string(text), "\n") {
				if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
					net.command(i+1, f)
				}
			}
		})
	}
}

// command runs one line of a scenario.
func (net *network) command(line int, f []string) {
	net.t.Helper()
	arg := func(i int) string { return f[i] }
	name := func() *node { return net.nodes[ident.Instance(arg(1))] }
	switch f[0] {
	case "members", "stubs":
		for i := range int(net.number(arg(2))) {
			net.add(arg(1)+"."+strconv.Itoa(i), 1, ident.Domain(arg(1)), f[0] == "stubs")
		}
	case "list":
		for _, n := range net.sorted {
			if n.table != nil && !n.dead {
				net.applyInstanceList(n)
			}
		}
	case "run":
		net.run(net.duration(arg(1)))
	case "loss":
		net.loss = net.number(arg(1))
	case "kill":
		name().dead = true
	case "freeze", "thaw":
		name().frozen = f[0] == "freeze"
	case "leave":
		net.send(name(), name().table.Leave(net.now))
	case "restart":
		old := name()
		old.dead = true
		net.applyInstanceList(net.add(old.Name, uint64(net.number(arg(2))), old.Domain, false))
	case "notice":
		net.send(name(), name().table.Announce(Notice{Key: arg(2), Version: uint64(net.number(arg(3))), Value: arg(4)}, net.now))
	case "cut":
		net.cuts[[2]string{arg(1), arg(2)}] = true
	case "split":
		net.split(arg(1), int(net.number(arg(2))))
	case "heal":
		clear(net.cuts)
	case "eventually":
		net.await(line, net.duration(arg(4)), net.believes(arg(1), State(arg(2)), ident.Domain(arg(3))))
	case "always":
		net.checkThroughout(line, net.duration(arg(4)), net.believes(arg(1), State(arg(2)), ident.Domain(arg(3))))
	case "never":
		net.checkThroughout(line, net.duration(arg(4)), net.neverBelieves(arg(1), State(arg(2)), ident.Domain(arg(3))))
	case "knows":
		net.await(line, net.duration(arg(4)), net.knowsNotice(arg(1), arg(2), ident.Domain(arg(3))))
	case "max-message-bytes":
		net.checkAtMost(line, net.maxMessageBytes, int(net.number(arg(1))))
	case "max-tick-messages":
		net.checkAtMost(line, net.maxTickMessages, int(net.number(arg(1))))
	default:
		net.t.Fatalf("line %d: unknown command %s", line, f[0])
	}
}

// split cuts the first n members of a domain from its other members.
func (net *network) split(domain string, n int) {
	for _, from := range net.sorted {
		for _, to := range net.sorted {
			first := func(o *node) bool { return o.Instance < ident.Instance(domain+"."+strconv.Itoa(n)) }
			if string(from.Domain) == domain && string(to.Domain) == domain && first(from) != first(to) {
				net.cuts[[2]string{string(from.Instance), string(to.Instance)}] = true
			}
		}
	}
}

func (net *network) number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		net.t.Fatal(err)
	}
	return v
}

func (net *network) duration(text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		net.t.Fatal(err)
	}
	return v
}

func (net *network) checkAtMost(line, got, want int) {
	net.t.Helper()
	net.t.Logf("line %d: got %d", line, got)
	if got > want || got == 0 {
		net.t.Errorf("line %d: got %d, want at most %d", line, got, want)
	}
}

// check describes the first violation that it finds, or returns "".
type check func() string

func (net *network) checkEach(domain ident.Domain, f func(n *node) string) check {
	return func() string {
		for _, n := range net.sorted {
			if n.table == nil || (n.Domain != domain && n.Instance != ident.Instance(domain)) || net.running(n.Instance) == nil {
				continue
			}
			if got := f(n); got != "" {
				return got + " at " + string(n.Instance)
			}
		}
		return ""
	}
}

func (net *network) believes(id string, want State, domain ident.Domain) check {
	return net.checkEach(domain, func(n *node) string {
		if got := n.state(ident.Instance(id)); n.Instance != ident.Instance(id) && got != want {
			return id + " " + string(got) + " instead of " + string(want)
		}
		return ""
	})
}

func (net *network) neverBelieves(id string, never State, domain ident.Domain) check {
	return net.checkEach(domain, func(n *node) string {
		if n.Instance != ident.Instance(id) && n.state(ident.Instance(id)) == never {
			return id + " " + string(never)
		}
		return ""
	})
}

func (net *network) knowsNotice(key, value string, domain ident.Domain) check {
	return net.checkEach(domain, func(n *node) string {
		for _, held := range n.table.View().Notices {
			if held.Key == key && held.Value == value {
				return ""
			}
		}
		return "no notice " + key
	})
}

func (net *network) await(line int, d time.Duration, c check) {
	net.t.Helper()
	start := net.now
	for got := c(); got != ""; got = c() {
		if net.now.Sub(start) > d {
			net.t.Fatalf("line %d: after %v: got %s", line, d, got)
		}
		net.step()
	}
	net.t.Logf("line %d: after %v", line, net.now.Sub(start))
}

func (net *network) checkThroughout(line int, d time.Duration, c check) {
	net.t.Helper()
	for end := net.now.Add(d); net.now.Before(end); net.step() {
		if got := c(); got != "" {
			net.t.Fatalf("line %d: got %s", line, got)
		}
	}
}

// TestAgainstHeartbeats applies random faults, waits, and compares the tables with a
// reference detector that uses all-to-all heartbeats.
func TestAgainstHeartbeats(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		net := newNetwork(t)
		for i := range 5 {
			net.add("a."+strconv.Itoa(i), 1, "a", false).heartbeats = &heartbeatDetector{counters: map[ident.Instance]counter{}}
		}
		for _, n := range net.sorted {
			net.applyInstanceList(n)
		}
		net.run(time.Second)
		net.replay = 0.1
		for range rapid.IntRange(1, 6).Draw(rt, "faults") {
			net.fault(rt)
			net.run(time.Duration(rapid.IntRange(0, 8).Draw(rt, "seconds")) * time.Second)
		}
		net.run(25 * time.Second)
		for _, n := range net.sorted {
			for _, o := range net.sorted {
				if net.running(n.Instance) == nil {
					continue
				}
				if got, want := n.state(o.Instance), net.heartbeatState(n, o.Instance); got != want {
					rt.Fatalf("%s at %s: got %s, want %s", o.Instance, n.Instance, got, want)
				}
			}
		}
	})
}

func (net *network) fault(rt *rapid.T) {
	n := net.sorted[rapid.IntRange(0, len(net.sorted)-1).Draw(rt, "member")]
	o := net.sorted[rapid.IntRange(0, len(net.sorted)-1).Draw(rt, "other")]
	switch rapid.SampledFrom([]string{"kill", "freeze", "thaw", "cut", "heal", "leave"}).Draw(rt, "fault") {
	case "kill":
		n.dead = true
	case "freeze":
		n.frozen = true
	case "thaw":
		n.frozen = false
	case "cut": // one direction between two members; a second cut replaces the first
		clear(net.cuts)
		net.cuts[[2]string{string(n.Instance), string(o.Instance)}] = true
	case "heal":
		clear(net.cuts)
	case "leave":
		if net.running(n.Instance) != nil {
			net.send(n, n.table.Leave(net.now))
			self := n.heartbeats.counters[n.Instance]
			self.leaving = true
			n.heartbeats.counters[n.Instance] = self
		}
	}
}
