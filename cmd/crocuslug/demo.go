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

// demoTimeout is the time limit of the whole demo.
const demoTimeout = 20 * time.Second

func demoCommand(app *kingpin.Application) command {
	c := app.Command("demo", "Demonstrate the system with embedded stand-ins; exits 0 only if all checks passed.")
	return command{c, func() error { return demo(os.Stdout) }}
}

// demoRun is one run of the demo.
type demoRun struct {
	w      io.Writer
	site   *standinsite.Site
	ctx    context.Context
	failed int
}

func demo(w io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d := &demoRun{w: w, ctx: ctx}
	d.site = standinsite.New(standinsite.Settings{
		Instances: 2,
		Engines:   3,
		Services:  2,
		Engine:    standinengine.Settings{TokenInterval: 20 * time.Millisecond},
		Seed:      1,
		// The first configuration is made by an operator as well.
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
		return result.Newf(result.Fault, "%d checks failed, want none", d.failed)
	}
	fmt.Fprintln(w, "everything held")
	return nil
}

// check prints the result of a check and counts it if it failed.
func (d *demoRun) check(held bool, format string, args ...any) {
	mark := "held  "
	if !held {
		mark = "FAILED"
		d.failed++
	}
	fmt.Fprintf(d.w, "%s %s\n", mark, fmt.Sprintf(format, args...))
}

// Number of tokens of the demo's answer, the tokens at which its engine and its
// instance are killed, and the number of tokens per line of output.
const (
	demoTokens        = 120
	demoKillEngine    = 40
	demoKillInstance  = 80
	demoTokensPerLine = 10
)

// generation streams an answer, kills first the engine and then the instance that
// serve it, and checks each token of the answer.
func (d *demoRun) generation() {
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
	d.check(a.Whole && a.Err == nil, "the answer is complete: %d tokens over %d connections", len(a.Tokens), a.Reconnects+1)
	d.check(inOrder(a.Tokens, demoTokens), "no token is missing, repeated or from another answer")
	for i, r := range resume {
		d.check(r < 5*time.Second, "resume latency %d: %d ms until the caller received the next token", i+1, r.Milliseconds())
	}
	d.check(len(resume) == 2, "the caller received tokens after both kills")
	d.check(after-before >= demoTokens, "tokens computed again: %d", int(after-before)-demoTokens)
}

func (d *demoRun) print(i int, text string) {
	fmt.Fprint(d.w, text)
	if i%demoTokensPerLine == demoTokensPerLine-1 {
		fmt.Fprintln(d.w)
	}
}

// inOrder reports whether tokens are the n tokens of one answer in their order.
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
