package upstreamcontrol

import (
	"bufio"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/placement"
	"crocuslug/standinkeyvalue"
	"crocuslug/timer"
)

// scenario is the state of one running script. NAME is an engine; WHO is the
// control a or b. The lines of a script are:
//
//	engine NAME checks|ignores MODEL...  adds an engine with loaded models, which checks or ignores fencing numbers
//	place MODEL COPIES                   sets the placement of a model
//	use NAME MODEL | use -               makes another instance use a model at NAME, or none
//	rounds SECONDS WHO...                runs a round of each control after each of so many seconds
//	stall WHO SECONDS                    pauses WHO in its next round before it sends orders; the other control continues
//	hold NAME SECONDS [place ...]        delays the next order to NAME; the place line applies and b continues meanwhile
//	cut WHO | heal WHO                   disconnects WHO from the platform's key-value service, or reconnects it
//	want NAME MODEL...                   checks the loaded models; - means none
//	refused NAME COUNT                   checks the number of orders refused for their fencing number
//	orders NAME COUNT                    checks the number of orders that were carried out
type scenario struct {
	t             *testing.T
	clock         *timer.Service
	doc           *configuration.Document
	engines       map[string]*engine
	controls      map[string]*Control
	cut           map[string]*bool
	stalls        map[string]func()
	usedElsewhere placement.Order
	mu            sync.Mutex // guards stalls, since engines are read concurrently
}

func TestScripts(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("scripts: got none")
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runScript(t, file) })
	}
}

// takeStall returns the pause that is set for a control, or nil, and clears it.
func (b *scenario) takeStall(who string) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.stalls[who]
	delete(b.stalls, who)
	return f
}

func runScript(t *testing.T, file string) {
	b := &scenario{
		t: t, clock: timer.NewVirtual(time.Unix(0, 0)), doc: &configuration.Document{},
		engines: make(map[string]*engine), controls: make(map[string]*Control),
		cut: make(map[string]*bool), stalls: make(map[string]func()),
	}
	store := standinkeyvalue.New(b.clock)
	for _, who := range []string{"a", "b"} {
		b.cut[who] = new(bool)
		c := newTestControl(b.clock, b.doc, store.Port(), ident.Instance(who), b.cut[who])
		// Engines are read concurrently, and only the first read pauses.
		c.ports.InUse = func(ident.Upstream) []placement.Model {
			if f := b.takeStall(who); f != nil {
				f()
			}
			return nil
		}
		c.ports.MayUnload = func(_ context.Context, o placement.Order) bool {
			return b.usedElsewhere.Upstream != o.Upstream || b.usedElsewhere.Model != o.Model
		}
		b.controls[who] = c
	}
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	for n := 1; in.Scan(); n++ {
		line, _, _ := strings.Cut(in.Text(), "#")
		if words := strings.Fields(line); len(words) > 0 {
			b.runLine(n, words)
		}
	}
}

func (b *scenario) runLine(n int, words []string) {
	last, _ := strconv.Atoi(words[len(words)-1])
	switch words[0] {
	case "engine":
		e := &engine{checksFencing: words[2] == "checks", loaded: words[3:]}
		b.engines[words[1]] = e
		b.doc.Upstreams = append(b.doc.Upstreams, configuration.Upstream{
			Name: ident.Upstream(words[1]), Address: listen(b.t, e.serve), Domain: "d", Models: []string{"m", "n"}, ChecksFencing: e.checksFencing,
		})
	case "place":
		b.doc.Placements = slices.DeleteFunc(b.doc.Placements, func(p configuration.Placement) bool { return p.Model == words[1] })
		b.doc.Placements = append(b.doc.Placements, configuration.Placement{Model: words[1], Copies: last})
	case "use":
		b.usedElsewhere = placement.Order{Upstream: ident.Upstream(words[1])}
		if len(words) > 2 {
			b.usedElsewhere.Model.Name = words[2]
		}
	case "rounds":
		seconds, _ := strconv.Atoi(words[1])
		b.rounds(seconds, words[2:]...)
	case "stall":
		other := map[string]string{"a": "b", "b": "a"}[words[1]]
		b.stalls[words[1]] = func() { b.rounds(last, other) }
	case "hold":
		seconds, _ := strconv.Atoi(words[2])
		b.engines[words[1]].delay = func() {
			if len(words) > 3 {
				b.runLine(n, words[3:])
			}
			b.rounds(seconds, "b")
		}
	case "cut", "heal":
		*b.cut[words[1]] = words[0] == "cut"
	default:
		b.check(n, words, last)
	}
}

func (b *scenario) check(n int, words []string, last int) {
	e := b.engines[words[1]]
	e.mu.Lock()
	defer e.mu.Unlock()
	var got, want any
	switch words[0] {
	case "want":
		got, want = strings.Join(e.loaded, " "), strings.TrimPrefix(strings.Join(words[2:], " "), "-")
	case "refused":
		got, want = e.refused, last
	case "orders":
		got, want = len(e.fencingNumbers), last
	default:
		b.t.Fatalf("line %d: unknown %v", n, words)
	}
	if got != want {
		b.t.Errorf("line %d: %v: got %v, want %v", n, words, got, want)
	}
}

func (b *scenario) rounds(seconds int, who ...string) {
	var cs []*Control
	for _, w := range who {
		cs = append(cs, b.controls[w])
	}
	runRounds(b.clock, seconds, cs...)
}
