package standinsite

import (
	"bufio"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/claim"
	"crocuslug/ident"
	"crocuslug/standinkeyvalue"
	"crocuslug/standinservice"
	"crocuslug/store"
	"crocuslug/unit"
)

// actions runs the lines of one data file against a site of two failure domains
// with one instance and one plain service each:
//
//	book INSTANCE KEY BODY => OUTCOME     sends a booking, again while it is in progress
//	rebook INSTANCE KEY BODY => OUTCOME   the same, and again while its outcome is unknown
//	race KEY BODY BODY => OUTCOMES        sends two at once through both instances
//	look INSTANCE => OUTCOME              sends a look-up
//	kill INSTANCE at WRITE                when so many writes of claims from now on were made
//	kill INSTANCE before WRITE            instead of that write
//	store outage|lose|ok                  faults of the platform's service
//	service lose|ok                       faults of the plain services
//	runs KEY COUNT
//
// An OUTCOME is a status, with "replayed", or a code and what is said of the run.
type actions struct {
	t      *testing.T
	site   *Site
	armed  atomic.Pointer[trap]
	writes atomic.Int64
	dead   [2]atomic.Bool
}

// trap kills an instance at a write of claims.
type trap struct {
	victim int
	write  int64
	before bool
}

func TestActions(t *testing.T) {
	files, _ := filepath.Glob("testdata/actions/*.txt")
	if len(files) == 0 {
		t.Fatal("scripts: got none")
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			runActions(t, file)
		})
	}
}

func runActions(t *testing.T, file string) {
	a := &actions{t: t}
	cfg := Settings{Domains: []ident.Domain{"accra", "lagos"}, Instances: 1, Engines: 1, Services: 1, Seed: 1, Wrap: a.wrap}
	cfg.ServiceTimeout = unit.Duration(500 * time.Millisecond)
	cfg.Options.Claims.Claims = claim.Settings{MaxDeliveryDelay: unit.Duration(50 * time.Millisecond), Skew: unit.Duration(50 * time.Millisecond)}
	a.site = New(cfg)
	if err := a.site.Start(); err != nil {
		t.Fatal(err)
	}
	defer a.site.Stop()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	for n := 1; in.Scan(); n++ {
		line, _, _ := strings.Cut(in.Text(), "#")
		do, want, _ := strings.Cut(line, " => ")
		words := strings.Fields(do)
		if len(words) == 0 {
			continue
		}
		if got := a.line(words); got != want {
			t.Errorf("line %d: %s: got %q, want %q", n, do, got, want)
		}
	}
}

func (a *actions) line(words []string) string {
	switch words[0] {
	case "book":
		return a.book(a.number(words[1]), words[2], words[3])
	case "rebook":
		for {
			if got := a.book(a.number(words[1]), words[2], words[3]); got != "ActionUnknown/Unknown" {
				return got
			}
		}
	case "race":
		other := make(chan string)
		go func() { other <- a.book(1, words[1], words[3]) }()
		got := a.book(0, words[1], words[2])
		both := []string{got, <-other}
		slices.Sort(both)
		return strings.Join(both, " ")
	case "look":
		r := a.site.Send(a.address(words[1]), Call{Method: fasthttp.MethodGet, Path: "/records/x"})
		return strconv.Itoa(r.Status)
	case "kill":
		a.armed.Store(&trap{a.number(words[1]), a.writes.Load() + int64(a.number(words[3])), words[2] == "before"})
	case "store":
		a.site.Store.SetFaults(map[string]standinkeyvalue.Faults{"outage": {Outage: true}, "lose": {LoseAnswers: 2}}[words[1]])
	case "service":
		for _, v := range a.site.Services {
			v.SetFaults(map[string]standinservice.Faults{"lose": {LoseAnswers: 1}}[words[1]])
		}
	case "runs":
		if got, want := a.site.Services[0].Runs(words[1]), a.number(words[2]); got != want {
			a.t.Errorf("%v: got %d runs", words, got)
		}
	default:
		a.t.Fatalf("unknown line %v", words)
	}
	return ""
}

func (a *actions) number(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		a.t.Fatal(err)
	}
	return n
}

func (a *actions) address(word string) string {
	return a.site.Instances[a.number(word)].Addr()
}

// book sends a booking and repeats it while an earlier one is in progress.
func (a *actions) book(instance int, key, body string) string {
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		r := a.site.Book(a.site.Instances[instance].Addr(), key, body)
		got := strconv.Itoa(r.Status)
		if r.Replayed {
			got += " replayed"
		}
		if r.Problem.Code != 0 {
			got = r.Problem.Code.String() + "/" + string(r.Problem.Run)
		}
		if r.Status == 0 {
			got = "none"
		}
		if !strings.HasPrefix(got, "ActionInProgress") || time.Now().After(deadline) {
			return got
		}
	}
}

// wrap returns the store of an instance, with the trap.
func (a *actions) wrap(i int, p store.Store) store.Store {
	put := p.Put
	p.Put = func(ctx context.Context, key string, value []byte, expect store.Version, l store.Lease) (store.Version, error) {
		if !strings.HasPrefix(key, "claims/") {
			return put(ctx, key, value, expect, l)
		}
		if a.dead[i].Load() {
			return 0, store.Unavailable.New("killed")
		}
		n := a.writes.Add(1)
		trap := a.armed.Load()
		due := trap != nil && trap.write == n
		if due && trap.before {
			a.kill(trap.victim)
			return 0, store.Unavailable.New("killed")
		}
		v, err := put(ctx, key, value, expect, l)
		if due {
			a.kill(trap.victim)
		}
		return v, err
	}
	return p
}

func (a *actions) kill(i int) {
	a.dead[i].Store(true)
	a.site.KillInstance(a.site.Instances[i].Addr())
}
