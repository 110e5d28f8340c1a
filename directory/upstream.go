package directory

import (
	"crocuslug/ident"
	"crocuslug/store"
)

// Upstream is an upstream as it registered itself.
type Upstream struct {
	ID       ident.Upstream
	Service  ident.Service
	Address  string // IP:port
	Domain   ident.Domain
	Slots    int
	Build    ident.Build   // version of its software; "" if not known
	Draining bool          // accepts no new work and will leave
	Born     int64         // start of this incarnation in Unix milliseconds by its own clock; 0 if not reported
	Revision store.Version // revision of the entry in the store
}
