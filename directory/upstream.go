package directory

import (
	"net/netip"

	"github.com/zeebo/errs"

	"crocuslug/ident"
	"crocuslug/store"
)

// Upstream is an upstream as it registered itself.
type Upstream struct {
	ID       ident.Upstream
	Service  ident.Service
	Address  string // IP:port
	Domain   ident.Domain
	Slots    int           // requests that it runs at once; 0 if not known
	Build    ident.Build   // version of its software; "" if not known
	Draining bool          // accepts no new work and will leave
	Born     int64         // start of this incarnation in Unix milliseconds by its own clock; 0 if not reported
	Revision store.Version // revision of the entry in the store
}

// Bounds of the fields of an Upstream.
const (
	maxSlots     = 1 << 20
	maxNameBytes = 128 // of the service, the failure domain and the build, which instances tell each other and write to store keys
)

// Check returns an error if u names no upstream to use: its id or service is missing, its
// service, failure domain or build is longer than 128 bytes, its slots are not from 0 to 1,048,576, or no connection can be opened to its address.
func (u *Upstream) Check() error {
	if u.ID == "" || u.Service == "" {
		return errs.New("id %q, service %q: want both", u.ID, shorten(string(u.Service)))
	}
	for _, name := range []string{string(u.Service), string(u.Domain), string(u.Build)} {
		if len(name) > maxNameBytes {
			return errs.New("name %q has %d bytes, want at most %d", shorten(name), len(name), maxNameBytes)
		}
	}
	if u.Slots < 0 || u.Slots > maxSlots {
		return errs.New("slots %d: want 0 to %d", u.Slots, maxSlots)
	}
	return CheckAddress(u.Address)
}

// CheckAddress returns an error unless an address is an IP address and a port to which a connection can be
// opened.
func CheckAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return errs.New("address %q: want IP:port with a port from 1 to 65535", shorten(address))
	}
	if ip := a.Addr().Unmap(); a.Port() == 0 || !ip.IsGlobalUnicast() && !ip.IsLoopback() && !ip.IsLinkLocalUnicast() {
		return errs.New("address %q: want the IP address of one machine and a port from 1 to 65535", shorten(address))
	}
	return nil
}

// shorten returns the beginning of a text for an error.
func shorten(text string) string { return text[:min(len(text), maxNameBytes)] }
