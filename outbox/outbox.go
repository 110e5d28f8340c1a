// Package outbox combines replication messages to one instance into few frames.
//
// Tokens of many generations are sent to the same replica at about the same time.
// Messages that arrive while a frame is being sent are combined into the next
// one. Frames therefore grow with the load, and no token waits for a timer.
package outbox

import (
	"sync"

	"crocuslug/batch"
	"crocuslug/ident"
)

// SendFunc sends one encoded frame to an instance. It must not retain payload.
type SendFunc func(to ident.Instance, payload []byte) error

// Outbox queues appends and acknowledgements for each instance. It is safe for concurrent
// use.
type Outbox struct {
	sendAppends SendFunc
	sendAcks    SendFunc
	onFailed    func(to ident.Instance, appends []batch.Append)

	mu     sync.Mutex
	queues map[ident.Instance]*queue
	closed bool
	wg     sync.WaitGroup
}

// queue holds the messages for one instance that have not been sent.
type queue struct {
	appends []batch.Append
	acks    []batch.Ack
	wake    chan struct{} // signals new messages; closed when the queue is removed
}

// New returns an outbox that sends frames with the given functions. It calls onFailed, from
// the goroutine of the queue, with appends that could not be sent.
func New(sendAppends, sendAcks SendFunc, onFailed func(ident.Instance, []batch.Append)) *Outbox {
	return &Outbox{
		sendAppends: sendAppends,
		sendAcks:    sendAcks,
		onFailed:    onFailed,
		queues:      make(map[ident.Instance]*queue),
	}
}

// Append queues an append to an instance.
func (o *Outbox) Append(to ident.Instance, e batch.Append) {
	o.enqueue(to, func(q *queue) { q.appends = append(q.appends, e) })
}

// Ack queues an acknowledgement to an instance.
func (o *Outbox) Ack(to ident.Instance, a batch.Ack) {
	o.enqueue(to, func(q *queue) { q.acks = append(q.acks, a) })
}

// enqueue changes the queue of an instance with f and wakes its goroutine, which is started
// if necessary.
func (o *Outbox) enqueue(to ident.Instance, f func(*queue)) {
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
		go o.sendQueued(to, q)
	}
	f(q)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// RemoveQueue removes the queue of an instance that has left permanently.
func (o *Outbox) RemoveQueue(to ident.Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q, ok := o.queues[to]; ok {
		delete(o.queues, to)
		close(q.wake)
	}
}

// Stop removes all queues and waits for their goroutines. Queued messages may be lost.
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

// sendQueued sends the queued messages to an instance until its queue is removed.
func (o *Outbox) sendQueued(to ident.Instance, q *queue) {
	defer o.wg.Done()
	var buf []byte
	for range q.wake {
		o.mu.Lock()
		appends, acks := q.appends, q.acks
		q.appends, q.acks = nil, nil
		o.mu.Unlock()
		buf = o.sendFrames(to, appends, acks, buf)
	}
}

// maxEntries is the maximum number of entries in one frame.
const maxEntries = 256

// sendFrames sends acknowledgements and then appends, and returns buf for reuse. Appends
// that remain after an error are passed to onFailed.
func (o *Outbox) sendFrames(to ident.Instance, appends []batch.Append, acks []batch.Ack, buf []byte) []byte {
	for len(acks) > 0 {
		n := min(len(acks), maxEntries)
		buf = batch.EncodeAcks(buf[:0], acks[:n])
		// The error is ignored: if an acknowledgement is lost, the owner chooses another
		// replica after its timeout.
		_ = o.sendAcks(to, buf)
		acks = acks[n:]
	}
	for len(appends) > 0 {
		n := min(len(appends), maxEntries)
		buf = batch.EncodeAppends(buf[:0], appends[:n])
		if err := o.sendAppends(to, buf); err != nil {
			o.onFailed(to, appends)
			return buf
		}
		appends = appends[n:]
	}
	return buf
}
