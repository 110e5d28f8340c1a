package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/routing"
	"crocuslug/work"
)

// Times of copies that are made by a call, and the room that they need.
const (
	lookEvery   = 100 * time.Millisecond  // between two looks at the holder of a copy
	copyAgain   = 1500 * time.Millisecond // such a copy is brought up to date; engines keep it for some seconds
	copyLimit   = time.Second             // of one call
	copySpare   = 0.35                    // of a holder's room that must be free, or copies would leave none for runs when it is needed
	copyBackOff = 500 * time.Millisecond  // after a call that failed
)

// keeper sees to it that a run has a copy in another failure domain. The
// engine of the run keeps one up to date by itself at the holder that it was
// told at the start. If that holder is lost, the keeper has the run copied to
// another one, again and again, since such a copy does not grow by itself.
type keeper struct {
	d *Dispatcher
	w *work.Work

	mu      sync.Mutex
	leg     int                // number of the present leg; calls of earlier ones count no more
	run     directory.Upstream // where the run is
	holder  directory.Upstream // where its copy is to be; none if the id is empty
	copy    *work.Copy         // nil until there is one
	calling bool
	called  bool      // the copy was made by a call
	next    time.Time // of the next look
	fresh   time.Time // until when a copy made by a call is left as it is
	exclude []ident.Upstream
}

func newKeeper(d *Dispatcher, w *work.Work) *keeper {
	return &keeper{d: d, w: w}
}

// wanted reports whether a run of the request can go on elsewhere.
func (k *keeper) wanted() bool {
	return k.w.Service.Backups && k.w.Route.Repeatable()
}

// begin chooses the holder for a run at u and returns its address, or "". There
// is nothing to go on from until the run has made a piece.
func (k *keeper) begin(u directory.Upstream, exclude []ident.Upstream, now time.Time) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leg++
	k.run, k.exclude = u, exclude
	k.copy, k.calling, k.called = nil, false, false
	k.next = now
	if !k.wanted() || !k.choose(now) {
		return ""
	}
	return k.holder.Address
}

// choose claims room at a holder in another failure domain. The lock is held.
func (k *keeper) choose(now time.Time) bool {
	k.release(now)
	ask := fleet.PickRequest{
		Service: k.w.Service.Name, ExcludeDomain: k.run.Domain, Exclude: append([]ident.Upstream{k.run.ID}, k.exclude...), MinFreeShare: copySpare,
	}
	u, kind := k.d.fleet.Pick(ask, now)
	if kind != routing.Send {
		return false
	}
	k.holder = u
	return true
}

func (k *keeper) release(now time.Time) {
	if k.holder.ID != "" {
		k.d.fleet.Release(k.holder.ID, now)
		k.holder = directory.Upstream{}
	}
}

// end ends the leg and returns the copy to go on from, or nil. A copy that was
// made by a call and is not needed is dropped.
func (k *keeper) end(now time.Time, done bool) *work.Copy {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leg++
	k.release(now)
	c := k.copy
	k.copy = nil
	if c != nil && k.called && done {
		go k.drop(k.run.Address, c.Name)
	}
	return c
}

// keep looks after the copy, not more often than the holder's fate is known.
// It is called with each piece and does not block.
func (k *keeper) keep(ctx context.Context, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.next) || k.calling || !k.wanted() {
		return
	}
	k.next = now.Add(lookEvery)
	if k.holder.ID != "" && !k.d.fleet.MemoryLost(k.holder.ID, now) {
		if !k.called {
			k.copy = &work.Copy{Holder: k.holder.ID, Address: k.holder.Address, Owner: k.holder.Address, Name: string(k.w.ID)}
			return
		}
		if now.Before(k.fresh) {
			return
		}
	} else if k.copy = nil; k.d.ports.Move == nil || !k.choose(now) {
		k.next = now.Add(copyBackOff)
		return
	}
	k.calling = true
	go k.call(ctx, k.leg, k.run.Address, k.holder, now)
}

// call has the run copied to a holder.
func (k *keeper) call(ctx context.Context, leg int, run string, to directory.Upstream, now time.Time) {
	name, err := k.move(ctx, run, to.Address, now)
	end := k.d.timer.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if leg != k.leg {
		return
	}
	k.calling = false
	if err != nil {
		k.copy = nil
		k.release(end)
		k.next = end.Add(copyBackOff)
		k.d.log.Info().Str("Request", string(k.w.ID)).Str("CopyTo", string(to.ID)).Err(err).Msg("run not copied")
		return
	}
	if !k.called {
		k.d.log.Info().Str("Request", string(k.w.ID)).Str("CopyTo", string(to.ID)).Dur("TookMs", end.Sub(now)).Msg("run copied anew")
	}
	k.called = true
	k.fresh = end.Add(copyAgain)
	k.copy = &work.Copy{Holder: to.ID, Address: to.Address, Owner: run, Name: name}
}

// move makes the call.
func (k *keeper) move(ctx context.Context, run, to string, now time.Time) (string, error) {
	target, body := k.d.ports.Move(work.Move{Run: k.w.ID, To: to})
	status, answer, err := k.d.ask(ctx, run, http.MethodPost, target, body, now.Add(copyLimit))
	if err != nil {
		return "", err
	}
	name, ok := k.d.ports.Moved(status, answer)
	if !ok {
		return "", exchange.Broken.New("status %d", status)
	}
	return name, nil
}

// drop frees a copy that was made by a call.
func (k *keeper) drop(run, name string) {
	ctx := context.Background()
	status, _, err := k.d.ask(ctx, run, http.MethodDelete, k.d.ports.Drop(name), nil, k.d.timer.Now().Add(copyLimit))
	if err != nil || status >= http.StatusMultipleChoices {
		k.d.log.Debug().Str("Request", string(k.w.ID)).Int("Status", status).Err(err).Msg("copy not dropped; its time ends it")
	}
}
