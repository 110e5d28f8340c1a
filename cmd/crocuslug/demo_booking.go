package main

import (
	"fmt"
	"net/http"
	"time"

	"crocuslug/result"
	"crocuslug/standinkeyvalue"
	"crocuslug/standinsite"
)

// demoMaxRefusal is the longest time until an action is refused during an outage of
// the platform's key-value service.
const demoMaxRefusal = 2 * time.Second

// booking sends an action with one key three times, through two instances and
// after the first of them was killed. It then sends another action during an
// outage of the platform's key-value service.
func (d *demoRun) booking() {
	fmt.Fprintln(d.w, "\na booking is sent twice with one Idempotency-Key, and once more after its instance was killed")
	if err := d.site.AddInstance(); err != nil {
		d.check(false, "a third instance starts: %v", err)
		return
	}
	if err := d.site.AwaitInForce(d.ctx, 1); err != nil {
		d.check(false, "the configuration is in force at the third instance: %v", err)
		return
	}
	const key = "debrief-4-booking"
	addresses := d.site.Addresses()
	first := d.site.Book(addresses[0], key, "crane 4, Monday 9:00")
	second := d.site.Book(addresses[1], key, "crane 4, Monday 9:00")
	d.site.KillInstance(addresses[0])
	third := d.site.Book(addresses[1], key, "crane 4, Monday 9:00")
	fmt.Fprintln(d.w, first.Body)
	d.check(first.Status == http.StatusCreated && d.runCount(key) == 1, "the booking ran once")
	d.check(second.Replayed && second.Body == first.Body, "the other instance returns the same answer")
	d.check(third.Replayed && third.Body == first.Body, "it returns the same answer after the first instance was killed")
	d.bookingDuringOutage(addresses[1])
}

func (d *demoRun) bookingDuringOutage(at string) {
	const key = "debrief-5-booking"
	fmt.Fprintln(d.w, "\nthe platform's key-value service is unavailable")
	d.site.Store.SetFaults(standinkeyvalue.Faults{Outage: true})
	lookup := d.site.Send(at, standinsite.Call{Method: http.MethodGet, Path: "/records/crane-4"})
	d.check(lookup.Status == http.StatusOK, "a look-up is answered")
	began := d.site.Timer().Now()
	refused := d.site.Book(at, key, "crane 5")
	took := d.site.Timer().Now().Sub(began)
	p := refused.Problem
	d.check(p.Code == result.ActionNotRun && p.Run == result.RunNot && d.runCount(key) == 0, "a booking is refused as not run, and was not run")
	d.check(took < demoMaxRefusal && p.RetryAfterMs > 0, "the refusal came after %d ms and asks for a retry after %d ms", took.Milliseconds(), p.RetryAfterMs)
	d.site.Store.SetFaults(standinkeyvalue.Faults{})
	again := d.bookUntilRun(at, key)
	d.check(again.Status == http.StatusCreated && d.runCount(key) == 1, "after the outage the booking runs exactly once")
}

// bookUntilRun repeats a booking until it is not refused as not run, after the time
// that each refusal asks for.
func (d *demoRun) bookUntilRun(at, key string) standinsite.Reply {
	for {
		r := d.site.Book(at, key, "crane 5")
		if r.Problem.Code != result.ActionNotRun || d.ctx.Err() != nil {
			return r
		}
		time.Sleep(time.Duration(r.Problem.RetryAfterMs) * time.Millisecond)
	}
}

// runCount returns how often the plain services ran the action with the given key.
func (d *demoRun) runCount(key string) int {
	return d.site.Services[0].Runs(key)
}
