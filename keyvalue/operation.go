package keyvalue

import (
	"context"
	"time"

	"crocuslug/store"
)

// Get returns the entry under key, or store.Absent if there is none.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	r, err := c.read(ctx, c.dialect.Get(key))
	if err != nil {
		return store.Entry{}, err
	}
	e, err := c.dialect.DecodeEntry(r.body)
	if err == nil {
		e.Version, err = store.NewVersion(r.era, uint64(e.Version))
	}
	if err != nil {
		return store.Entry{}, store.Unavailable.Wrap(err)
	}
	return e, nil
}

// List returns the entries whose keys start with prefix, in the order of their keys.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, _, err := c.Scan(ctx, prefix)
	return entries, err
}

// maxPages is the maximum number of pages of one Scan.
const maxPages = 1000

// Scan returns the entries whose keys start with prefix, in the order of their keys, and a version
// such that a watch from it misses no later write. The pages are read one after another and are
// not a snapshot, so the version is that of the first page.
func (c *Client) Scan(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	var out []store.Entry
	var from store.Version
	after := ""
	for n := range maxPages {
		r, err := c.read(ctx, c.dialect.List(prefix, after))
		if err != nil {
			return nil, 0, err
		}
		page, err := c.decodePage(r)
		if err != nil {
			return nil, 0, store.Unavailable.Wrap(err)
		}
		if n == 0 {
			from = page.Version
		}
		if page.Version.Era() != from.Era() {
			return nil, 0, store.Unavailable.New("service was restored from a copy while its entries were read")
		}
		out = append(out, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return out, from, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	return nil, 0, store.Unavailable.New("prefix %q has more than %d pages", prefix, maxPages)
}

// read makes a read, which identical reads may share.
func (c *Client) read(ctx context.Context, m Request) (reply, error) {
	r, joined, err := c.coalescer.read(ctx, m.URI, func(sent func()) (reply, error) {
		return c.do(context.Background(), call{Request: m, kind: read, timeout: c.cfg.Timeout}, sent)
	})
	if joined {
		c.increment(&c.calls.Joined)
	}
	return r, err
}

// Put writes value under key if the current version of key is expect, and returns the new version.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect store.Version, l store.Lease) (store.Version, error) {
	if c.leaseLost(l) {
		return 0, store.Conflict.New("lease %d was lost when the service was restored from a copy", l)
	}
	r, err := c.writeAt(ctx, expect, func(revision store.Version) Request {
		return c.dialect.Put(key, value, revision, l)
	})
	if err != nil {
		return 0, err
	}
	v, err := c.dialect.DecodeVersion(r.body)
	if err == nil {
		v, err = store.NewVersion(r.era, uint64(v))
	}
	if err != nil {
		return 0, store.Unknown.Wrap(err)
	}
	return v, nil
}

// Delete removes key if its version is expect.
func (c *Client) Delete(ctx context.Context, key string, expect store.Version) error {
	_, err := c.writeAt(ctx, expect, func(revision store.Version) Request {
		return c.dialect.Delete(key, revision)
	})
	return err
}

// writeAt makes a write whose condition is the expected version of a key. If the service was
// restored from a copy since it gave out that version, the condition does not hold, though the
// service may have given out the same revision again.
func (c *Client) writeAt(ctx context.Context, expect store.Version, request func(revision store.Version) Request) (reply, error) {
	if c.restored(expect) {
		return reply{}, store.Conflict.New("service was restored from a copy after version %d", expect)
	}
	r, err := c.write(ctx, request(store.Version(expect.Revision())))
	if err == nil && expect != 0 && r.era != expect.Era() {
		return reply{}, store.Unknown.New("service was restored from a copy after version %d", expect)
	}
	return r, err
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	r, err := c.write(ctx, c.dialect.Grant(ttl))
	if err != nil {
		return 0, err
	}
	l, err := c.dialect.DecodeLease(r.body)
	if err != nil {
		return 0, store.Unknown.Wrap(err)
	}
	c.recordLease(l, r.era)
	return l, nil
}

// Renew restarts the ttl of a lease. It returns store.Absent if the lease has expired, or was lost
// when the service was restored from a copy.
func (c *Client) Renew(ctx context.Context, l store.Lease) error {
	var err error
	if !c.leaseLost(l) {
		_, err = c.write(ctx, c.dialect.Renew(l))
	}
	if c.leaseLost(l) { // the answer may have shown it
		err = store.Absent.New("lease %d was lost when the service was restored from a copy", l)
	}
	if store.Absent.Has(err) {
		c.forgetLease(l)
	}
	return err
}

// Revoke ends a lease and removes the keys that are attached to it.
func (c *Client) Revoke(ctx context.Context, l store.Lease) error {
	if c.leaseLost(l) {
		c.forgetLease(l)
		return store.Absent.New("lease %d was lost when the service was restored from a copy", l)
	}
	_, err := c.write(ctx, c.dialect.Revoke(l))
	if err == nil || store.Absent.Has(err) {
		c.forgetLease(l)
	}
	return err
}

// write sends a write once. If the caller cannot decode the reply, the write was accepted but its
// result is unknown.
func (c *Client) write(ctx context.Context, m Request) (reply, error) {
	return c.do(ctx, call{Request: m, kind: write, timeout: c.cfg.Timeout}, nil)
}

// Watch waits for writes after a version to keys that start with prefix, at most for WatchWait. A
// watch that gets no answer is repeated on another connection up to WatchAttempts. While the client
// backs off, Watch waits instead of failing at once, because callers watch in a loop.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Version) ([]store.Entry, store.Version, error) {
	if err := c.awaitService(ctx); err != nil {
		return nil, after, err
	}
	if c.restored(after) {
		return nil, after, store.Trimmed.New("service was restored from a copy after version %d", after)
	}
	q := call{Request: c.dialect.Watch(prefix, store.Version(after.Revision()), c.cfg.WatchWait), kind: watch}
	var r reply
	var err error
	for range c.cfg.WatchAttempts {
		q.timeout = c.watchTimeout()
		r, err = c.awaitWatch(ctx, q)
		if ctx.Err() != nil {
			break
		}
		silent := isTimeout(err)
		c.recordWatch(silent)
		if !silent {
			break
		}
	}
	if err != nil && !store.Trimmed.Has(err) {
		return nil, after, err
	}
	page, malformed := c.decodePage(r)
	switch {
	case err != nil:
		return nil, page.Version, err
	case malformed != nil:
		return nil, after, store.Unavailable.Wrap(malformed)
	case c.restored(after):
		return nil, page.Version, store.Trimmed.New("service was restored from a copy after version %d", after)
	}
	return page.Entries, page.Version, nil
}

// awaitWatch makes a watch. If it has no answer WatchMargin after WatchWait, it is sent once more on
// another connection, and the first answer of either counts: a connection on which an answer was lost
// brings nothing any more, while a slow service answers late.
func (c *Client) awaitWatch(ctx context.Context, q call) (reply, error) {
	if c.cfg.WatchMargin <= 0 {
		return c.do(ctx, q, nil)
	}
	type outcome struct {
		reply reply
		err   error
		first bool
	}
	const most = 2 // under way
	outcomes := make(chan outcome, most)
	send := func(first bool) {
		go func() {
			r, err := c.do(ctx, q, nil)
			outcomes <- outcome{r, err, first}
		}()
	}
	overdue := make(chan struct{})
	sub := c.timer.After(c.cfg.WatchWait+c.watchMargin(), func(time.Time) { close(overdue) })
	defer sub.Stop()
	send(true)
	underWay := 1
	for {
		select {
		case o := <-outcomes:
			underWay--
			if o.err != nil && !store.Trimmed.Has(o.err) && underWay > 0 {
				continue
			}
			c.recordLate(o.first && overdue == nil)
			return o.reply, o.err
		case <-overdue:
			overdue = nil
			c.increment(&c.calls.OverdueWatches)
			c.http.CloseIdleConnections() // they may have become silent as well
			if c.OnOverdueWatch != nil {
				c.OnOverdueWatch()
			}
			send(false)
			underWay++
		}
	}
}

// watchMargin returns the time after WatchWait after which a watch is sent once more: WatchMargin, or half
// of Timeout if the last watch was answered after that, because the service may be slow.
func (c *Client) watchMargin() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchLate {
		return max(c.cfg.WatchMargin, c.cfg.Timeout/2)
	}
	return c.cfg.WatchMargin
}

// recordLate records whether a watch was answered after it had been sent once more.
func (c *Client) recordLate(late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchLate = late
}

// watchTimeout returns the time limit of a watch: WatchWait and half of Timeout, or all of it if the
// last watch got no answer, because the service may be slow.
func (c *Client) watchTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchSilent {
		return c.cfg.WatchWait + c.cfg.Timeout
	}
	return c.cfg.WatchWait + c.cfg.Timeout/2
}

// recordWatch records whether a watch got no answer within its time limit.
func (c *Client) recordWatch(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchSilent = silent
	if silent {
		c.calls.SilentWatches++
	}
}

// probeKey is the key that is read to find out whether the service is available. It need not
// exist.
const probeKey = "probe"

// awaitService returns at once unless the client is backing off. Otherwise it waits until a call
// may be made and makes a short one as a probe. A watch as the probe would keep other calls
// waiting for its outcome.
func (c *Client) awaitService(ctx context.Context) error {
	wait := c.retryDelay()
	c.mu.Lock()
	open := c.breaker.open()
	c.mu.Unlock()
	if !open {
		return nil
	}
	if err := c.sleep(ctx, wait); err != nil {
		return store.Unavailable.Wrap(err)
	}
	_, err := c.Get(ctx, probeKey)
	if store.Absent.Has(err) {
		return nil
	}
	return err
}
