package canary

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuslug/ident"
)

// TestSites plays the scripts in testdata/site/*.txt in a simulated site, with several seeds. Times are in milliseconds
// from the start. Each line is one of
//
//	instances N
//	traffic SERVICE ROUTE RATE LATENCY LASTS_FROM LASTS_TO
//	order AT SERVICE BUILD FINISH_BY
//	withdraw AT SERVICE
//	fail SERVICE|* BUILD ROUTE|* FRACTION FROM TO [promoted]
//	slow SERVICE|* BUILD ROUTE|* FRACTION FACTOR FROM TO [promoted]
//	burst FACTOR SLOWER FROM TO
//	cut DOMAIN FROM TO                 cuts a failure domain off from the others and from the store
//	restart AT all|DOMAIN              restarts instances, which know nothing then
//	store-away FROM TO
//	silent                             no digests are exchanged
//	late-writer AT SERVICE             somebody else writes the status
//	run UNTIL
//	state SERVICE done|rolled_back|none
//	ended SERVICE BEFORE               the status was final by then
//	exposure SERVICE                   the new build got no more than the share and the slack
//	canary-exposure SERVICE            it got no more than the instances may choose by themselves
//	rollback SERVICE                   its last request was within the bound after the 50th bad answer
//	new SERVICE AT_LEAST AT_MOST       requests that it got
//	stopped SERVICE AT                 it got none later than that
//	stranded AT_MOST                   requests in progress on the former build at the end
//	refusals AT_LEAST                  writes whose condition failed
func TestSites(t *testing.T) {
	names, err := filepath.Glob("testdata/site/*.txt")
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", strings.TrimSuffix(filepath.Base(name), ".txt"), seed), func(t *testing.T) {
				t.Parallel()
				playSite(t, name, seed)
			})
		}
	}
}

// TestStreamsAtDone guards against streams that are cut because Done stops the former upstreams before they end. See
// KNOWN-RED.txt.
func TestStreamsAtDone(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := playSite(t, "testdata/site/good.txt", seed)
			if got, want := s.check(t, []string{"stranded", "60"}); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

// TestExposureAfterPromotion guards against a build that turns bad after all new work went to it, and so got more
// requests than the share and the slack allow. See KNOWN-RED.txt.
func TestExposureAfterPromotion(t *testing.T) {
	for _, name := range []string{"bad-late", "slow-under-load", "one-route"} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				s := playSite(t, filepath.Join("testdata/site", name+".txt"), seed)
				if got, want := s.check(t, []string{"exposure", "s"}); got != want {
					t.Errorf("got %s, want %s", got, want)
				}
			})
		}
	}
}

func playSite(t *testing.T, name string, seed uint64) *site {
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	var s *site
	for n, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		if w[0] == "instances" {
			s = newSite(int(number(t, w[1])), seed)
			continue
		}
		if s.setUp(t, w) {
			continue
		}
		if got, want := s.check(t, w); got != want {
			t.Errorf("line %d: %s: got %s, want %s", n+1, line, got, want)
		}
	}
	return s
}

func number(t *testing.T, text string) float64 {
	t.Helper()
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// setUp carries out a line that is no check.
func (s *site) setUp(t *testing.T, w []string) bool {
	ms := func(i int) time.Duration { return time.Duration(number(t, w[i])) * time.Millisecond }
	any := func(i int) string { return strings.TrimPrefix(w[i], "*") }
	promoted := w[len(w)-1] == "promoted"
	switch w[0] {
	case "traffic":
		s.traffic = append(s.traffic, traffic{ident.Service(w[1]), w[2], number(t, w[3]), ms(4), [2]time.Duration{ms(5), ms(6)}})
	case "order":
		s.after(ms(1)-s.elapsed(), func() { s.order(ident.Service(w[2]), ident.Build(w[3]), ms(4)) })
	case "withdraw":
		s.after(ms(1)-s.elapsed(), func() { s.withdraw(ident.Service(w[2])) })
	case "fail":
		s.faults = append(s.faults, fault{ident.Service(any(1)), ident.Build(w[2]), any(3), number(t, w[4]), 0, ms(5), ms(6), promoted})
	case "slow":
		s.faults = append(s.faults, fault{ident.Service(any(1)), ident.Build(w[2]), any(3), number(t, w[4]), number(t, w[5]), ms(6), ms(7), promoted})
	case "burst":
		s.bursts = append(s.bursts, burst{number(t, w[1]), ms(3), ms(4), number(t, w[2])})
	case "cut":
		s.cut[int(number(t, w[1]))] = [2]time.Duration{ms(2), ms(3)}
	case "restart":
		s.after(ms(1)-s.elapsed(), func() {
			for _, m := range s.members {
				if w[2] == "all" || strconv.Itoa(m.domain) == w[2] {
					s.begin(m, false)
				}
			}
		})
	case "store-away":
		s.storeDown = [2]time.Duration{ms(1), ms(2)}
	case "silent":
		s.quiet = true
	case "late-writer":
		s.after(ms(1)-s.elapsed(), func() {
			s.version++
			name := ident.Service(w[2])
			st := Status{Service: name, To: s.orders[name].To, State: Running, Version: s.version}
			s.entries[name] = entry{st, s.version} // the instances are not told of it
		})
	case "run":
		s.run(ms(1))
	default:
		return false
	}
	return true
}

// check compares what has come of a delivery.
func (s *site) check(t *testing.T, w []string) (got, want string) {
	atMost := func(what string, got, most float64) (string, string) {
		text := fmt.Sprintf("%s at most %.0f", what, most)
		if got > most {
			return fmt.Sprintf("%s %.0f", what, got), text
		}
		return text, text
	}
	if w[0] == "stranded" {
		return atMost("requests on the former build at Done", float64(s.stranded), number(t, w[1]))
	}
	if w[0] == "refusals" {
		return atMost("writes fewer than wanted", number(t, w[1])-float64(s.refusals), 0)
	}
	name := ident.Service(w[1])
	y := s.tallies[name]
	ms := func(at time.Time) float64 { return float64(at.Sub(s.start).Milliseconds()) }
	switch w[0] {
	case "state":
		got := map[State]string{Done: "done", RolledBack: "rolled_back"}[s.final[name]]
		if got == "" {
			got = "none"
		}
		return got, w[2]
	case "ended":
		return atMost("ended at", ms(s.ended[name]), number(t, w[2]))
	case "exposure":
		return atMost("requests to the new build", float64(y.sent), 0.1*float64(y.requests)+50)
	case "canary-exposure":
		return atMost("requests to the new build", float64(y.sent), 0.08*float64(y.requests)+25)
	case "rollback":
		if y.fiftieth.IsZero() {
			return "", ""
		}
		return atMost("last request at", ms(y.last), ms(y.fiftieth)+5000)
	case "new":
		if float64(y.sent) < number(t, w[2]) {
			return fmt.Sprintf("%d requests", y.sent), "at least " + w[2]
		}
		return atMost("requests to the new build", float64(y.sent), number(t, w[3]))
	case "stopped":
		return atMost("last request at", ms(y.last), number(t, w[2]))
	}
	t.Fatalf("unknown command %q", w[0])
	return "", ""
}
