package main

import (
	"fmt"
	"net/http"
	"time"

	"crocuslug/result"
	"crocuslug/standinkeyvalue"
	"crocuslug/standinsite"
)

// demoAtOnce is how soon an instance answers while the platform is away.
const demoAtOnce = 2 * time.Second

// booking sends an action several times through instances of which one is
// killed, and then takes the platform's key-value service away.
func (d *demonstration) booking() {
	fmt.Fprintln(d.w, "\na booking is sent twice with one Idempotency-Key, and once more after its instance was killed")
	if err := d.site.AddInstance(); err != nil {
		d.check(false, "another instance starts: %v", err)
		return
	}
	if err := d.site.AwaitInForce(d.ctx, 1); err != nil {
		d.check(false, "the configuration reaches it: %v", err)
		return
	}
	const key = "debrief-4-booking"
	at := d.site.Addresses()
	first := d.site.Book(at[0], key, "crane 4, Monday 9:00")
	second := d.site.Book(at[1], key, "crane 4, Monday 9:00")
	d.site.KillInstance(at[0])
	third := d.site.Book(at[1], key, "crane 4, Monday 9:00")
	fmt.Fprintln(d.w, first.Body)
	d.check(first.Status == http.StatusCreated && d.runs(key) == 1, "the booking ran once")
	d.check(second.Replayed && second.Body == first.Body, "the other instance gives the same answer")
	d.check(third.Replayed && third.Body == first.Body, "so it does after the first instance was killed")
	d.bookingAway(at[1])
}

func (d *demonstration) bookingAway(at string) {
	const key = "debrief-5-booking"
	fmt.Fprintln(d.w, "\nthe platform's key-value service is away")
	d.site.Store.SetFaults(standinkeyvalue.Faults{Outage: true})
	look := d.site.Send(at, standinsite.Call{Method: http.MethodGet, Path: "/records/crane-4"})
	d.check(look.Status == http.StatusOK, "a look-up is answered")
	began := d.site.Timer().Now()
	refused := d.site.Book(at, key, "crane 5")
	took := d.site.Timer().Now().Sub(began)
	p := refused.Problem
	d.check(p.Code == result.ActionNotRun && p.Run == result.RunNot && d.runs(key) == 0, "a booking is answered as not run, and was not run")
	d.check(took < demoAtOnce && p.RetryAfterMs > 0, "after %d ms, with when to come back: %d ms", took.Milliseconds(), p.RetryAfterMs)
	d.site.Store.SetFaults(standinkeyvalue.Faults{})
	again := d.bookUntilRun(at, key)
	d.check(again.Status == http.StatusCreated && d.runs(key) == 1, "once the service is back the booking is run, once")
}

// bookUntilRun repeats a booking, as its answers ask for.
func (d *demonstration) bookUntilRun(at, key string) standinsite.Reply {
	for {
		r := d.site.Book(at, key, "crane 5")
		if r.Problem.Code != result.ActionNotRun || d.ctx.Err() != nil {
			return r
		}
		time.Sleep(time.Duration(r.Problem.RetryAfterMs) * time.Millisecond)
	}
}

// runs returns how often the services ran an action.
func (d *demonstration) runs(key string) int {
	return d.site.Services[0].Runs(key)
}
