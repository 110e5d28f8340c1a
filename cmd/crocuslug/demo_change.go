package main

import (
	"fmt"
	"time"

	"crocuslug/access"
	"crocuslug/caller"
	"crocuslug/configuration"
	"crocuslug/intent"
	"crocuslug/result"
	"crocuslug/standinsite"
)

// demoMaxSpread is the longest time from the acceptance of a change until it is in
// force at all instances.
const demoMaxSpread = 5 * time.Second

// change plans and confirms the first configuration and then a second workspace. It
// checks that confirming a plan twice makes one change and that a stale plan is
// refused.
func (d *demoRun) change() {
	fmt.Fprintln(d.w, "an operator plans and confirms the first configuration, then a second workspace")
	now := d.site.Timer().Now
	rec, err := d.site.Configure(d.ctx)
	if err != nil {
		d.check(false, "the first configuration is in force: %v", err)
		return
	}
	d.check(true, "revision %d is in force at both instances", rec.Revision)
	operator := d.site.Operator()
	in := intent.Intent{Note: "A workspace for the night shift"}
	in.Set.Workspaces = []configuration.Workspace{{Name: "night", KeyHashes: []string{access.Hash([]byte("night-key"))}}}
	p, planErr := operator.Plan(d.ctx, in)
	other, otherErr := operator.Plan(d.ctx, intent.Intent{Remove: intent.Names{Workspaces: []string{string(standinsite.Workspace)}}})
	if planErr != nil || otherErr != nil {
		d.check(false, "the changes are planned (%v, %v)", planErr, otherErr)
		return
	}
	for _, c := range p.Changes {
		fmt.Fprintf(d.w, "       plan: %s\n", c.Effect)
	}
	began := now()
	rec, confirmErr := operator.Confirm(d.ctx, p)
	accepted := now()
	err = d.site.AwaitInForce(d.ctx, rec.Revision)
	spread := now().Sub(accepted)
	d.check(confirmErr == nil && err == nil && spread < demoMaxSpread,
		"revision %d was accepted in %d ms and in force at both instances %d ms later", rec.Revision, accepted.Sub(began).Milliseconds(), spread.Milliseconds())
	again, againErr := d.site.Operator(d.site.Addresses()[1]).Confirm(d.ctx, p)
	d.check(againErr == nil && again.Revision == rec.Revision, "confirming the plan again at the other instance makes no other change: revision %d", again.Revision)
	_, staleErr := operator.Confirm(d.ctx, other)
	d.check(staleErr != nil && staleErr.Code == result.PlanStale, "a plan made before the change is refused: %v", errText(staleErr))
	a := d.site.Caller(caller.Settings{Key: "night-key"}).Do(d.ctx, caller.Request{ID: "demo-night", Model: standinsite.Model, Prompt: "Hand over.", MaxTokens: demoTokensPerLine, First: 1})
	d.check(a.Whole && inOrder(a.Tokens, demoTokensPerLine), "the second workspace gets an answer of %d tokens", len(a.Tokens))
	fmt.Fprintln(d.w)
}

// errText returns the text of err, or "no refusal" if it is nil.
func errText(err *result.Error) string {
	if err == nil {
		return "no refusal"
	}
	return err.Error()
}
