// Package outbox groups what goes to one instance into few frames.
//
// Tokens of many generations go to the same replica at about the same time.
// While one frame is being written the next ones gather, so frames grow with
// the load and no token waits for a timer.
package outbox

import (
	"sync"

	"crocuslug/batch"
	"crocuslug/ident"
)

// Send sends one encoded frame to an instance. It must not keep payload.
type Send func(to ident.Instance, payload []byte) error

// Outbox groups appends and acknowledgements by instance. Its methods may be
// called from any goroutine.
type Outbox struct {
	sendAppends Send
	sendAcks    Send
	failed      func(to ident.Instance, appends []batch.Append)

	mu     sync.Mutex
	queues map[ident.Instance]*queue
	closed bool
	wg     sync.WaitGroup
}

type queue struct {
	appends []batch.Append
	acks    []batch.Ack
	wake    chan struct{}
}

// New returns an outbox that sends through the functions given. It calls failed,
// from a goroutine of its own, with appends that could not be sent.
func New(sendAppends, sendAcks Send, failed func(ident.Instance, []batch.Append)) *Outbox {
	return &Outbox{
		sendAppends: sendAppends,
		sendAcks:    sendAcks,
		failed:      failed,
		queues:      make(map[ident.Instance]*queue),
	}
}

// Append queues an append for an instance.
func (o *Outbox) Append(to ident.Instance, e batch.Append) {
	o.add(to, func(q *queue) { q.appends = append(q.appends, e) })
}

// Ack queues an acknowledgement for an instance.
func (o *Outbox) Ack(to ident.Instance, a batch.Ack) {
	o.add(to, func(q *queue) { q.acks = append(q.acks, a) })
}

func (o *Outbox) add(to ident.Instance, f func(*queue)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	q, ok := o.queues[to]
	if !ok {
		q = &queue{wake: make(chan struct{}, 1)}
		o.queues[to] = q
		o.wg.Add(1)
		go o.drain(to, q)
	}
	f(q)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Forget ends the queue of an instance that is gone for good.
func (o *Outbox) Forget(to ident.Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q, ok := o.queues[to]; ok {
		delete(o.queues, to)
		close(q.wake)
	}
}

// Stop ends all queues and waits for their goroutines. What is queued may be lost.
func (o *Outbox) Stop() {
	o.mu.Lock()
	o.closed = true
	for to, q := range o.queues {
		delete(o.queues, to)
		close(q.wake)
	}
	o.mu.Unlock()
	o.wg.Wait()
}

func (o *Outbox) drain(to ident.Instance, q *queue) {
	defer o.wg.Done()
	var buf []byte
	for range q.wake {
		o.mu.Lock()
		appends, acks := q.appends, q.acks
		q.appends, q.acks = nil, nil
		o.mu.Unlock()
		buf = o.flush(to, appends, acks, buf)
	}
}

// maxEntries bounds the entries of one frame.
const maxEntries = 256

func (o *Outbox) flush(to ident.Instance, appends []batch.Append, acks []batch.Ack, buf []byte) []byte {
	for len(acks) > 0 {
		n := min(len(acks), maxEntries)
		buf = batch.EncodeAcks(buf[:0], acks[:n])
		// A lost acknowledgement is made up for by the owner's time limit.
		_ = o.sendAcks(to, buf)
		acks = acks[n:]
	}
	for len(appends) > 0 {
		n := min(len(appends), maxEntries)
		buf = batch.EncodeAppends(buf[:0], appends[:n])
		if err := o.sendAppends(to, buf); err != nil {
			o.failed(to, appends)
			return buf
		}
		appends = appends[n:]
	}
	return buf
}
