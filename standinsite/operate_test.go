package standinsite

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/caller"
	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/operatorclient"
	"crocuslug/plan"
	"crocuslug/result"
	"crocuslug/revision"
	"crocuslug/standinengine"
	"crocuslug/standinkeyvalue"
)

// operation runs the lines of one data file against a site of two failure
// domains, accra and bamako, with two instances each:
//
//	start                      starts it without a configuration
//	configure                  confirms the site's own document, revision 1
//	outage on|off              of the key-value service
//	lose N                     the answers of the next N writes
//	cut|heal DOMAIN            from the other one and from the key-value service
//	kill N / add               an instance; the new one is in accra
//	plan NAME N                plans a change at instance N
//	confirm NAME N WANT        confirms it there; WANT is a revision or "code C"
//	race NAME N NAME N REV     confirms two at once; one must be revision REV and the other stale
//	inforce REV                waits until REV is in force at all live instances
//	have N REV                 wants REV at an instance now
//	ask N WANT                 asks there for an answer; WANT is "whole" or "code C"
//	refused N                  waits until the service has refused N calls since the outage began
type operation struct {
	t     *testing.T
	ctx   context.Context
	site  *Site
	plans map[string]plan.Plan
	asked int
	reads int // taken by the service before the outage
}

func TestOperations(t *testing.T) {
	files, err := filepath.Glob("testdata/*.operation")
	if err != nil || len(files) == 0 {
		t.Fatalf("operations: got %d files, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".operation"), func(t *testing.T) {
			t.Parallel()
			f, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
			defer cancel()
			o := &operation{t: t, ctx: ctx, plans: make(map[string]plan.Plan)}
			o.site = New(Settings{
				Domains: []ident.Domain{"accra", "bamako"}, Engines: 1, Seed: 1, Unconfigured: true,
				Engine: standinengine.Settings{TokenInterval: time.Millisecond},
			})
			defer o.site.Stop()
			for in := bufio.NewScanner(f); in.Scan(); {
				line, _, _ := strings.Cut(in.Text(), "#")
				if words := strings.Fields(line); len(words) > 0 {
					o.line(line, words)
				}
			}
		})
	}
}

func (o *operation) line(line string, words []string) {
	o.t.Helper()
	var err error
	switch words[0] {
	case "start":
		err = o.site.Start()
	case "configure":
		_, err = o.site.Configure(o.ctx)
	case "outage":
		o.reads = o.site.Store.Calls().Reads
		o.site.Store.SetFaults(standinkeyvalue.Faults{Outage: words[1] == "on"})
	case "lose":
		o.site.Store.SetFaults(standinkeyvalue.Faults{LoseAnswers: number(words[1])})
	case "cut", "heal":
		err = o.site.Isolate(ident.Domain(words[1]), words[0] == "cut")
	case "kill":
		o.site.KillInstance(o.site.Instances[number(words[1])].Addr())
	case "add":
		err = o.site.AddInstance()
	case "plan":
		in := intent.Intent{Note: words[1]}
		in.Set.Workspaces = []configuration.Workspace{{Name: ident.Workspace(words[1])}}
		p, refused := o.at(words[2]).Plan(o.ctx, in)
		if refused != nil {
			err = refused
		}
		o.plans[words[1]] = p
	case "confirm":
		rec, refused := o.at(words[2]).Confirm(o.ctx, o.plans[words[1]])
		o.want(line, outcome(rec, refused), strings.Join(words[3:], " "))
	case "race":
		o.race(line, words[1:])
	case "inforce":
		ctx, cancel := context.WithTimeout(o.ctx, 16*time.Second)
		defer cancel()
		err = o.site.AwaitInForce(ctx, ident.Revision(number(words[1])))
	case "have":
		o.want(line, fmt.Sprint(o.site.Instances[number(words[1])].Revision()), words[2])
	case "ask":
		o.ask(line, number(words[1]), strings.Join(words[2:], " "))
	case "refused":
		for o.site.Store.Calls().Reads < o.reads+number(words[1]) && o.ctx.Err() == nil {
			time.Sleep(meetPoll)
		}
	default:
		o.t.Fatalf("unknown line %q", line)
	}
	if err != nil {
		o.t.Fatalf("%s: %v", line, err)
	}
}

func (o *operation) at(word string) *operatorclient.Client {
	c, err := operatorclient.New(operatorclient.Settings{Addresses: []string{o.site.Instances[number(word)].Addr()}, Key: OperatorKey, Rounds: 1})
	if err != nil {
		o.t.Fatal(err)
	}
	return c
}

func outcome(rec revision.Record, refused *result.Error) string {
	if refused != nil {
		return fmt.Sprintf("code %d", refused.Code)
	}
	return fmt.Sprint(rec.Revision)
}

func (o *operation) want(line, got, want string) {
	o.t.Helper()
	if got != want {
		o.t.Errorf("%s: got %s, want %s", line, got, want)
	}
}

func (o *operation) race(line string, words []string) {
	var got [2]string
	var wg sync.WaitGroup
	for i := range got {
		wg.Go(func() { got[i] = outcome(o.at(words[2*i+1]).Confirm(o.ctx, o.plans[words[2*i]])) })
	}
	wg.Wait()
	won, stale := words[4], fmt.Sprintf("code %d", result.PlanStale)
	if got != [2]string{won, stale} && got != [2]string{stale, won} {
		o.t.Errorf("%s: got %v, want one of %s and one of %s", line, got, won, stale)
	}
}

func (o *operation) ask(line string, n int, want string) {
	const tokens = 20
	o.asked++
	c := o.site.Caller(caller.Settings{Addresses: []string{o.site.Instances[n].Addr()}, Reconnects: 1})
	a := c.Do(o.ctx, caller.Request{ID: ident.Request(fmt.Sprintf("r%d", o.asked)), Model: Model, Prompt: line, MaxTokens: tokens})
	got := "cut off"
	switch {
	case a.Whole && len(a.Tokens) == tokens:
		got = "whole"
	case a.Err != nil:
		got = fmt.Sprintf("code %d", a.Err.Code)
	}
	o.want(line, got, want)
}
