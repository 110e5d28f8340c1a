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

// bench runs the lines of one data file:
//
//	engine NAME checks|ignores MODEL...  an engine with models loaded
//	place MODEL COPIES                   sets the placement of a model
//	use NAME MODEL | use -               another instance uses a model there
//	rounds SECONDS WHO...                advances and makes rounds of controls a and b
//	stall WHO SECONDS                    pauses WHO in its next round before it orders, while the other goes on
//	hold NAME SECONDS [place ...]        the next order to NAME takes so long, while b goes on after the line
//	cut WHO | heal WHO                   from the platform's service
//	want NAME MODEL...                   models loaded, - for none
//	refused NAME COUNT                   orders that NAME refused for their number
//	orders NAME COUNT                    orders that NAME has taken
type bench struct {
	t        *testing.T
	clock    *timer.Service
	doc      *configuration.Document
	engines  map[string]*engine
	controls map[string]*Control
	cut      map[string]*bool
	stall    map[string]func()
	used     placement.Order
	mu       sync.Mutex // of stall, while engines are read
}

func TestScripts(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("scripts: got none")
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { run(t, file) })
	}
}

// takeStall returns the stall that a control has before it, once.
func (b *bench) takeStall(who string) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.stall[who]
	delete(b.stall, who)
	return f
}

func run(t *testing.T, file string) {
	b := &bench{
		t: t, clock: timer.NewVirtual(time.Unix(0, 0)), doc: &configuration.Document{},
		engines: make(map[string]*engine), controls: make(map[string]*Control),
		cut: make(map[string]*bool), stall: make(map[string]func()),
	}
	store := standinkeyvalue.New(b.clock)
	for _, who := range []string{"a", "b"} {
		b.cut[who] = new(bool)
		c := control(b.clock, b.doc, store.Port(), ident.Instance(who), b.cut[who])
		// Engines are read at once, and the first read stalls.
		c.seams.InUse = func(ident.Upstream) []placement.Model {
			if f := b.takeStall(who); f != nil {
				f()
			}
			return nil
		}
		c.seams.MayUnload = func(_ context.Context, o placement.Order) bool {
			return b.used.Upstream != o.Upstream || b.used.Model != o.Model
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
			b.line(n, words)
		}
	}
}

func (b *bench) line(n int, words []string) {
	last, _ := strconv.Atoi(words[len(words)-1])
	switch words[0] {
	case "engine":
		e := &engine{checks: words[2] == "checks", loaded: words[3:]}
		b.engines[words[1]] = e
		b.doc.Upstreams = append(b.doc.Upstreams, configuration.Upstream{
			Name: ident.Upstream(words[1]), Address: listen(b.t, e.serve), Domain: "d", Models: []string{"m", "n"}, ChecksFencing: e.checks,
		})
	case "place":
		b.doc.Placements = slices.DeleteFunc(b.doc.Placements, func(p configuration.Placement) bool { return p.Model == words[1] })
		b.doc.Placements = append(b.doc.Placements, configuration.Placement{Model: words[1], Copies: last})
	case "use":
		b.used = placement.Order{Upstream: ident.Upstream(words[1])}
		if len(words) > 2 {
			b.used.Model.Name = words[2]
		}
	case "rounds":
		seconds, _ := strconv.Atoi(words[1])
		b.rounds(seconds, words[2:]...)
	case "stall":
		other := map[string]string{"a": "b", "b": "a"}[words[1]]
		b.stall[words[1]] = func() { b.rounds(last, other) }
	case "hold":
		seconds, _ := strconv.Atoi(words[2])
		b.engines[words[1]].delay = func() {
			if len(words) > 3 {
				b.line(n, words[3:])
			}
			b.rounds(seconds, "b")
		}
	case "cut", "heal":
		*b.cut[words[1]] = words[0] == "cut"
	default:
		b.check(n, words, last)
	}
}

func (b *bench) check(n int, words []string, last int) {
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
		got, want = len(e.numbers), last
	default:
		b.t.Fatalf("line %d: unknown %v", n, words)
	}
	if got != want {
		b.t.Errorf("line %d: %v: got %v, want %v", n, words, got, want)
	}
}

func (b *bench) rounds(seconds int, who ...string) {
	var cs []*Control
	for _, w := range who {
		cs = append(cs, b.controls[w])
	}
	rounds(b.clock, seconds, cs...)
}
