package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"crocuslug/directory"
	"crocuslug/enginememory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/routing"
	"crocuslug/work"
)

// Times of copies that are made by a call, and the capacity that they need.
const (
	copyCheckInterval   = 100 * time.Millisecond  // between two checks of the holder of a copy
	copyRefreshInterval = 1500 * time.Millisecond // between two updates of such a copy; engines keep it for some seconds
	copyTimeout         = time.Second             // of one call
	copyBackOff         = 500 * time.Millisecond  // wait after a failed call

	// holderMinFreeShare is the fraction of a holder's slots that must be free. Otherwise
	// copies would use the capacity that runs need after a failure.
	holderMinFreeShare = 0.35
)

// copyManager maintains a copy of a run in another failure domain. The engine of the run
// updates the copy by itself at the holder that was named when the run started. If this
// holder is lost, the copyManager has the run copied to another one repeatedly, since such a
// copy is not updated by the engine.
type copyManager struct {
	d *Dispatcher
	w *work.Work

	claim enginememory.Claim // on the memory of the holder

	mu           sync.Mutex
	attempt      int                // number of the current attempt; results of calls of earlier attempts are ignored
	run          directory.Upstream // upstream of the run
	holder       directory.Upstream // upstream that is to hold the copy; none if the ID is empty
	copy         *work.Copy         // nil if there is no copy
	copying      bool
	copiedByCall bool      // the copy was made by a call, not by the engine itself
	nextCheck    time.Time // time of the next check
	freshUntil   time.Time // time until which a copy made by a call is not updated
	exclude      []ident.Upstream
}

func newCopyManager(d *Dispatcher, w *work.Work) *copyManager {
	return &copyManager{d: d, w: w, claim: d.newClaim()}
}

// canResume reports whether a run of the request can be resumed at another engine.
func (k *copyManager) canResume() bool {
	return k.w.Service.Backups && k.w.Route.Repeatable()
}

// start chooses the holder for a run at u and returns its address, or "". There is no copy to
// resume from until the run has produced a piece.
func (k *copyManager) start(u directory.Upstream, exclude []ident.Upstream, now time.Time) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempt++
	k.run, k.exclude = u, exclude
	k.copy, k.copying, k.copiedByCall = nil, false, false
	k.nextCheck = now
	if !k.canResume() || !k.reserveHolder(now) {
		return ""
	}
	return k.holder.Address
}

// reserveHolder reserves capacity at a holder in another failure domain. k.mu must be held.
func (k *copyManager) reserveHolder(now time.Time) bool {
	k.release(now)
	if !k.d.mayUse(k.run, now) {
		return false
	}
	exclude := append(k.d.limits.Limited(k.w.Service.Name), k.run.ID)
	exclude = append(exclude, k.d.rests.Closed(k.w.Service.Name, now)...)
	request := fleet.PickRequest{
		Service: k.w.Service.Name, Build: k.d.buildFor(k.w.Service.Name, k.run.Build, now), ExcludeDomain: k.run.Domain, Exclude: append(exclude, k.exclude...), MinFreeShare: holderMinFreeShare,
		Claim: k.claim, Copy: true,
	}
	if d := k.d; d.cfg.ByMemory {
		request.Tokens = k.w.Tokens
	}
	u, kind := k.d.fleet.Pick(request, now)
	if kind != routing.Send {
		return false
	}
	k.holder = u
	return true
}

// hasCopy reports whether there is a copy to resume the run from.
func (k *copyManager) hasCopy() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.copy != nil
}

// release gives up the capacity reserved at the holder. k.mu must be held.
func (k *copyManager) release(now time.Time) {
	if k.holder.ID != "" {
		k.d.reportEnd(k.claim, k.holder.ID, fleet.Abandoned, 0, now)
		k.holder = directory.Upstream{}
	}
}

// end ends the attempt and returns the copy to resume from, or nil. If the run is done, a copy
// made by a call is deleted.
func (k *copyManager) end(now time.Time, done bool) *work.Copy {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempt++
	k.release(now)
	c := k.copy
	k.copy = nil
	if c != nil && k.copiedByCall && done {
		go k.drop(k.run, c.Name)
	}
	return c
}

// update checks the holder and the copy at most once per copyCheckInterval, and starts a call
// if the run has to be copied. It is called with each piece and does not block.
func (k *copyManager) update(ctx context.Context, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.nextCheck) || k.copying || !k.canResume() {
		return
	}
	k.nextCheck = now.Add(copyCheckInterval)
	if k.holder.ID != "" && !k.d.fleet.MemoryLost(k.holder.ID, now) {
		if !k.copiedByCall {
			k.copy = &work.Copy{Holder: k.holder.ID, Address: k.holder.Address, Owner: k.holder.Address, Name: string(k.w.ID)}
			return
		}
		if now.Before(k.freshUntil) {
			return
		}
	} else if k.copy = nil; k.d.protocol.CopyRequest == nil || !k.reserveHolder(now) {
		k.nextCheck = now.Add(copyBackOff)
		return
	}
	k.copying = true
	go k.copyRun(ctx, k.attempt, k.run, k.holder, now)
}

// copyRun has the run copied to a holder and records the result.
func (k *copyManager) copyRun(ctx context.Context, attempt int, run, to directory.Upstream, now time.Time) {
	name, err := k.requestCopy(ctx, run, to.Address, now)
	end := k.d.timer.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if attempt != k.attempt {
		return
	}
	k.copying = false
	if err != nil {
		k.copy = nil
		k.release(end)
		k.nextCheck = end.Add(copyBackOff)
		k.d.log.Info().Str("Request", string(k.w.ID)).Str("CopyTo", string(to.ID)).Err(err).Msg("copying the run failed; it will be retried")
		return
	}
	if !k.copiedByCall {
		k.d.log.Info().Str("Request", string(k.w.ID)).Str("CopyTo", string(to.ID)).Dur("TookMs", end.Sub(now)).Msg("run copied to a new holder")
	}
	k.copiedByCall = true
	k.freshUntil = end.Add(copyRefreshInterval)
	k.copy = &work.Copy{Holder: to.ID, Address: to.Address, Owner: run.Address, Name: name}
}

// requestCopy makes the call that copies the run and returns the name of the copy.
func (k *copyManager) requestCopy(ctx context.Context, run directory.Upstream, to string, now time.Time) (string, error) {
	if k.d.rests.Left(run.ID, now) > 0 {
		return "", errResting
	}
	if !k.d.mayUse(run, now) {
		return "", errNoBuild
	}
	// The answer does not name the run, and a late one for another run would name that run's copy.
	target, body := k.d.protocol.CopyRequest(work.Move{Run: k.w.ID, To: to})
	r := &exchange.Request{Method: http.MethodPost, Target: target, Body: body, NewConnection: true}
	status, answer, err := k.d.callUpstream(ctx, run.Address, r, now.Add(copyTimeout))
	if err != nil {
		return "", err
	}
	name, ok := k.d.protocol.CopyName(status, answer)
	if !ok {
		return "", exchange.Broken.New("status %d", status)
	}
	return name, nil
}

// drop deletes a copy that was made by a call.
func (k *copyManager) drop(run directory.Upstream, name string) {
	now := k.d.timer.Now()
	if k.d.rests.Left(run.ID, now) > 0 || !k.d.mayUse(run, now) {
		return // the copy expires
	}
	r := &exchange.Request{Method: http.MethodDelete, Target: k.d.protocol.DropTarget(name)}
	status, _, err := k.d.callUpstream(context.Background(), run.Address, r, now.Add(copyTimeout))
	if err != nil || status >= http.StatusMultipleChoices {
		k.d.log.Debug().Str("Request", string(k.w.ID)).Int("Status", status).Err(err).Msg("deleting the copy failed; it will expire")
	}
}
