package keyvalue

import (
	"strconv"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"crocuslug/store"
)

// errEra is the class of errors of answers whose era cannot be used.
var errEra = errs.Class("era of the service")

// eraOf returns the era in the header of an answer, or the current one if there is none.
func (c *Client) eraOf(h *fasthttp.ResponseHeader) (uint64, error) {
	text := h.Peek(c.dialect.EraField)
	if len(text) == 0 {
		return c.currentEra(), nil
	}
	era, err := strconv.ParseUint(string(text), 10, 64)
	return era, errEra.Wrap(err)
}

// recordEra records the era of an answer. It returns an error for an answer from an earlier era
// than another one: what it says may no longer hold.
func (c *Client) recordEra(era uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era < c.era {
		return errEra.New("answer is of era %d, the service is in era %d", era, c.era)
	}
	c.era = era
	return nil
}

// currentEra returns the latest era of the service that an answer has shown.
func (c *Client) currentEra() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// restored reports whether the service was restored from a copy after it gave out v. The caller may
// have v from elsewhere, so its era may be later than those that the client has seen.
func (c *Client) restored(v store.Version) bool {
	return v != 0 && c.recordEra(v.Era()) != nil
}

// decodePage decodes an answer with entries and adds its era to the versions.
func (c *Client) decodePage(r reply) (Page, error) {
	page, err := c.dialect.DecodePage(r.body)
	if err != nil {
		return Page{}, err
	}
	if page.Version, err = store.NewVersion(r.era, uint64(page.Version)); err != nil {
		return Page{}, err
	}
	for i := range page.Entries {
		e := &page.Entries[i]
		if e.Version, err = store.NewVersion(r.era, uint64(e.Version)); err != nil {
			return Page{}, err
		}
	}
	return page, nil
}

// recordLease records the era in which a lease was granted.
func (c *Client) recordLease(l store.Lease, era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leases[l] = era
}

// forgetLease forgets the era of a lease that has ended.
func (c *Client) forgetLease(l store.Lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leases, l)
}

// leaseLost reports whether the service was restored from a copy after it granted a lease. It may
// have given the id of the lease to another one since.
func (c *Client) leaseLost(l store.Lease) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	era, known := c.leases[l]
	return known && era < c.era
}
