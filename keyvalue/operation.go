package keyvalue

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"crocuslug/store"
)

// Messages of the service.

type entriesBody struct {
	Entries []store.Entry
	Version store.Version
}

type versionBody struct {
	Version store.Version
}

type leaseBody struct {
	Lease store.Lease
}

// Get returns the entry under key, or store.Absent.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	var e store.Entry
	err := c.read(ctx, keyURI(key), &e)
	return e, err
}

// List returns the entries whose keys start with prefix, by key.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	var b entriesBody
	err := c.read(ctx, "/v1/keys?prefix="+url.QueryEscape(prefix), &b)
	return b.Entries, err
}

// read makes a read that others may join, and decodes the reply into v.
func (c *Client) read(ctx context.Context, uri string, v any) error {
	r, joined, err := c.joiner.read(ctx, uri, func(sent func()) (reply, error) {
		q := call{kind: read, method: http.MethodGet, uri: uri, limit: c.cfg.Timeout}
		return c.do(context.Background(), q, sent)
	})
	if joined {
		c.count(&c.calls.Joined)
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return store.Unavailable.Wrap(err)
	}
	return nil
}

// Put writes value if the version under key is expect.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect store.Version, l store.Lease) (store.Version, error) {
	uri := keyURI(key) + "?expect=" + strconv.FormatUint(uint64(expect), 10)
	if l != 0 {
		uri += "&lease=" + strconv.FormatUint(uint64(l), 10)
	}
	var b versionBody
	err := c.write(ctx, http.MethodPut, uri, value, &b)
	return b.Version, err
}

// Delete removes key if its version is expect.
func (c *Client) Delete(ctx context.Context, key string, expect store.Version) error {
	uri := keyURI(key) + "?expect=" + strconv.FormatUint(uint64(expect), 10)
	return c.write(ctx, http.MethodDelete, uri, nil, nil)
}

// Grant makes a lease that lapses after ttl without renewal.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	var b leaseBody
	err := c.write(ctx, http.MethodPost, "/v1/leases?ttl="+ttl.String(), nil, &b)
	return b.Lease, err
}

// Renew starts the ttl of a lease anew, or returns store.Absent if it has
// lapsed.
func (c *Client) Renew(ctx context.Context, l store.Lease) error {
	return c.write(ctx, http.MethodPost, leaseURI(l)+"/renew", nil, nil)
}

// Revoke ends a lease and removes the keys that are tied to it.
func (c *Client) Revoke(ctx context.Context, l store.Lease) error {
	return c.write(ctx, http.MethodDelete, leaseURI(l), nil, nil)
}

// write makes a write once, and decodes the reply into v unless that is nil. A
// reply that cannot be read tells that the write was taken but not how.
func (c *Client) write(ctx context.Context, method, uri string, body []byte, v any) error {
	q := call{kind: write, method: method, uri: uri, body: body, limit: c.cfg.Timeout}
	r, err := c.do(ctx, q, nil)
	if err != nil || v == nil {
		return err
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return store.Unknown.Wrap(err)
	}
	return nil
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
	uri := "/v1/watch?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatUint(uint64(after), 10)
	q := call{kind: watch, method: http.MethodGet, uri: uri, limit: c.cfg.WatchTimeout}
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
	var b entriesBody
	if malformed := json.Unmarshal(r.body, &b); malformed != nil {
		return nil, after, store.Unavailable.Wrap(malformed)
	}
	return b.Entries, b.Version, err
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

func keyURI(key string) string { return "/v1/keys/" + url.PathEscape(key) }

func leaseURI(l store.Lease) string {
	return "/v1/leases/" + strconv.FormatUint(uint64(l), 10)
}
