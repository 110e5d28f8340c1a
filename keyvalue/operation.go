package keyvalue

import (
	"context"
	"time"

	"crocuslug/store"
)

// Get returns the entry under key, or store.Absent.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	body, err := c.read(ctx, c.dialect.Get(key))
	if err != nil {
		return store.Entry{}, err
	}
	e, err := c.dialect.Entry(body)
	if err != nil {
		return store.Entry{}, store.Unavailable.Wrap(err)
	}
	return e, nil
}

// List returns the entries whose keys start with prefix, by key.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, _, err := c.Scan(ctx, prefix)
	return entries, err
}

// maxPages bounds the pages of one Scan.
const maxPages = 1000

// Scan returns the entries whose keys start with prefix, by key, and a version
// from which a watch misses no later write. Pages are read one after another
// and are no snapshot, so the version is that of the first.
func (c *Client) Scan(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	var out []store.Entry
	var from store.Version
	after := ""
	for n := range maxPages {
		body, err := c.read(ctx, c.dialect.List(prefix, after))
		if err != nil {
			return nil, 0, err
		}
		page, err := c.dialect.Entries(body)
		if err != nil {
			return nil, 0, store.Unavailable.Wrap(err)
		}
		if n == 0 {
			from = page.Version
		}
		out = append(out, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return out, from, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	return nil, 0, store.Unavailable.New("prefix %q has more than %d pages", prefix, maxPages)
}

// read makes a read that others may join and returns the body of the reply.
func (c *Client) read(ctx context.Context, m Message) ([]byte, error) {
	r, joined, err := c.joiner.read(ctx, m.URI, func(sent func()) (reply, error) {
		return c.do(context.Background(), call{Message: m, kind: read, limit: c.cfg.Timeout}, sent)
	})
	if joined {
		c.count(&c.calls.Joined)
	}
	return r.body, err
}

// Put writes value if the version under key is expect.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect store.Version, l store.Lease) (store.Version, error) {
	body, err := c.write(ctx, c.dialect.Put(key, value, expect, l))
	if err != nil {
		return 0, err
	}
	v, err := c.dialect.Version(body)
	if err != nil {
		return 0, store.Unknown.Wrap(err)
	}
	return v, nil
}

// Delete removes key if its version is expect.
func (c *Client) Delete(ctx context.Context, key string, expect store.Version) error {
	_, err := c.write(ctx, c.dialect.Delete(key, expect))
	return err
}

// Grant makes a lease that lapses after ttl without renewal.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	body, err := c.write(ctx, c.dialect.Grant(ttl))
	if err != nil {
		return 0, err
	}
	l, err := c.dialect.Lease(body)
	if err != nil {
		return 0, store.Unknown.Wrap(err)
	}
	return l, nil
}

// Renew starts the ttl of a lease anew, or returns store.Absent if it has
// lapsed.
func (c *Client) Renew(ctx context.Context, l store.Lease) error {
	_, err := c.write(ctx, c.dialect.Renew(l))
	return err
}

// Revoke ends a lease and removes the keys that are tied to it.
func (c *Client) Revoke(ctx context.Context, l store.Lease) error {
	_, err := c.write(ctx, c.dialect.Revoke(l))
	return err
}

// write makes a write once and returns the body of the reply. A reply that
// cannot be read tells that the write was taken but not how.
func (c *Client) write(ctx context.Context, m Message) ([]byte, error) {
	r, err := c.do(ctx, call{Message: m, kind: write, limit: c.cfg.Timeout}, nil)
	return r.body, err
}

// watchTries is the number of connections that a watch is tried on.
const watchTries = 2

// Watch waits for writes after a version to keys that start with prefix. A
// watch whose connection has gone silent is replaced once. While the client
// backs off Watch waits too, because callers watch in a loop.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Version) ([]store.Entry, store.Version, error) {
	if err := c.awaitService(ctx); err != nil {
		return nil, after, err
	}
	q := call{Message: c.dialect.Watch(prefix, after), kind: watch, limit: c.cfg.WatchTimeout}
	var r reply
	var err error
	for range watchTries {
		r, err = c.do(ctx, q, nil)
		if !isTimeout(err) || ctx.Err() != nil {
			break
		}
		c.count(&c.calls.SilentWatches)
	}
	if err != nil && !store.Trimmed.Has(err) {
		return nil, after, err
	}
	page, malformed := c.dialect.Entries(r.body)
	if malformed != nil && err == nil {
		return nil, after, store.Unavailable.Wrap(malformed)
	}
	return page.Entries, page.Version, err
}

// probeKey is read to find out whether the service is back. It need not exist.
const probeKey = "probe"

// awaitService returns at once unless the client is backing off. Then it waits
// until a call may be made and makes a short one, because a watch would keep
// other calls waiting for its outcome.
func (c *Client) awaitService(ctx context.Context) error {
	wait := c.resumesIn()
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
