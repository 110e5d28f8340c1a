package owner

import (
	"crocuslug/cursor"
	"crocuslug/result"
)

// Reader reads the answer of a generation for one caller.
type Reader struct {
	g          *Generation
	pos        int
	keepAlives uint64
}

// Read returns a reader that starts at cursor c. It returns an error if c is not a cursor of
// this answer.
func (g *Generation) Read(c cursor.Cursor) (*Reader, *result.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Generation != g.machine.Spec().Generation || !g.machine.Log().ContainsCursor(c) {
		return nil, result.New(result.CursorAhead, "the cursor does not belong to this answer; discard what was delivered").Ran(result.RunUnknown)
	}
	g.readers++
	g.machine.CallerReconnected()
	g.delivered = max(g.delivered, c.Count)
	return &Reader{g: g, pos: c.Count, keepAlives: g.keepAlives}, nil
}

// Close closes the reader. The generation counts its caller as disconnected when the last
// reader is closed.
func (r *Reader) Close() {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	if g.readers == 0 {
		g.machine.CallerDisconnected(g.owner.ports.Timer.Now())
	}
}

// Part is a part of an answer.
type Part struct {
	Tokens []string
	Done   bool   // the answer is complete after these tokens
	Finish string // the engine's reason for stopping, if Done
	Result *result.Error
}

// Next waits for more of the answer and returns it. A part without tokens, end or result is
// a keep-alive.
func (r *Reader) Next() Part {
	p := r.next()
	r.g.owner.pause.RLock()
	defer r.g.owner.pause.RUnlock()
	return p
}

func (r *Reader) next() Part {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordDelivered(r.pos)
	for {
		if p, ok := r.part(); ok {
			return p
		}
		g.changed.Wait()
	}
}

// recordDelivered records what the caller has received and lets a paused stream continue.
func (g *Generation) recordDelivered(pos int) {
	if pos <= g.delivered {
		return
	}
	g.delivered = pos
	if g.stream != nil && g.stream.paused {
		g.changed.Broadcast()
	}
}

func (r *Reader) part() (Part, bool) {
	g := r.g
	log := g.machine.Log()
	released := g.machine.Released()
	n := min(released, log.Len())
	reason, done := log.Finished()
	done = done && released > log.Len()
	switch {
	case r.pos < n || done:
		p := Part{Done: done}
		if r.pos < n {
			p.Tokens = log.Tokens(r.pos, n)
			r.pos = n
		}
		if done {
			p.Finish = reason
		}
		return p, true
	case g.abandoned:
		return Part{Result: result.New(result.GenerationMoved, "the instance is stopping").Ran(result.RunUnknown)}, true
	case g.machine.Result() != nil:
		return Part{Result: g.machine.Result()}, true
	case r.keepAlives != g.keepAlives:
		r.keepAlives = g.keepAlives
		return Part{}, true
	}
	return Part{}, false
}

// tooFarAhead reports whether the generation is ahead of its caller by MaxUnreadTokens or
// more.
func (g *Generation) tooFarAhead() bool {
	return g.machine.Log().Len()-g.delivered >= g.owner.cfg.MaxUnreadTokens
}
