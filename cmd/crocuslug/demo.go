package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"crocuslug/caller"
	"crocuslug/result"
	"crocuslug/standinengine"
	"crocuslug/standinsite"
)

// demoLimit bounds the whole demo.
const demoLimit = 20 * time.Second

func demoCommand(app *kingpin.Application) command {
	c := app.Command("demo", "Show the system at work on embedded stand-ins; exits 0 only if everything held.")
	return command{c, func() error { return demo(os.Stdout) }}
}

// demonstration is one run of the demo.
type demonstration struct {
	w      io.Writer
	site   *standinsite.Site
	ctx    context.Context
	failed int
}

func demo(w io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
	defer cancel()
	d := &demonstration{w: w, ctx: ctx}
	d.site = standinsite.New(standinsite.Settings{
		Instances: 2,
		Engines:   3,
		Services:  2,
		Engine:    standinengine.Settings{TokenInterval: 20 * time.Millisecond},
		Seed:      1,
		// The first configuration is an operator's, too.
		Unconfigured: true,
		Log:          zerolog.Nop(),
	})
	if err := d.site.Start(); err != nil {
		return err
	}
	defer d.site.Stop()
	d.change()
	d.generation()
	d.booking()
	if d.failed > 0 {
		return result.Newf(result.Fault, "%d of the checks did not hold", d.failed)
	}
	fmt.Fprintln(w, "everything held")
	return nil
}

// check prints whether something held.
func (d *demonstration) check(held bool, format string, args ...any) {
	mark := "held  "
	if !held {
		mark = "FAILED"
		d.failed++
	}
	fmt.Fprintf(d.w, "%s %s\n", mark, fmt.Sprintf(format, args...))
}

// Shape of the demo's answer.
const (
	demoTokens       = 120
	demoKillEngine   = 40
	demoKillInstance = 80
	demoLine         = 10 // tokens a line
)

// generation streams an answer, kills the engine and then the instance that
// serve it, and checks the answer token by token.
func (d *demonstration) generation() {
	fmt.Fprintf(d.w, "an answer of %d tokens; its engine is killed at token %d and its instance at token %d\n\n",
		demoTokens, demoKillEngine, demoKillInstance)
	before, _ := d.site.Decoded()
	var resume []time.Duration
	var killed, last time.Time
	now := d.site.Timer().Now
	c := d.site.Caller(caller.Settings{})
	a := c.Do(d.ctx, caller.Request{
		ID: "demo-1", Model: standinsite.Model, Prompt: "Debrief the incident on scaffold 4.", MaxTokens: demoTokens,
		OnToken: func(i int, text string) {
			d.print(i, text)
			if !killed.IsZero() {
				resume = append(resume, now().Sub(killed))
				killed = time.Time{}
			}
			last = now()
			switch i {
			case demoKillEngine:
				killed = last
				d.site.KillServing(standinsite.Workspace, "demo-1")
			case demoKillInstance:
				killed = last
				d.site.KillOwner(standinsite.Workspace, "demo-1")
			}
		},
	})
	after, _ := d.site.Decoded()
	fmt.Fprintln(d.w)
	d.check(a.Whole && a.Err == nil, "the answer is whole: %d tokens over %d connections", len(a.Tokens), a.Reconnects+1)
	d.check(inOrder(a.Tokens, demoTokens), "no token is missing, repeated or from another answer")
	for i, r := range resume {
		d.check(r < 5*time.Second, "resume latency %d: %d ms until the caller had tokens again", i+1, r.Milliseconds())
	}
	d.check(len(resume) == 2, "both kills were felt")
	d.check(after-before >= demoTokens, "tokens computed again: %d", int(after-before)-demoTokens)
}

func (d *demonstration) print(i int, text string) {
	fmt.Fprint(d.w, text)
	if i%demoLine == demoLine-1 {
		fmt.Fprintln(d.w)
	}
}

// inOrder reports whether tokens are n tokens of one answer in order.
func inOrder(tokens []string, n int) bool {
	if len(tokens) != n {
		return false
	}
	nonce, _, _ := strings.Cut(tokens[0], ".")
	for i, t := range tokens {
		if t != fmt.Sprintf("%s.%d ", nonce, i) {
			return false
		}
	}
	return true
}
