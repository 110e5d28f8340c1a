package settings

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"crocuslug/ident"
)

// addressUse is what an address is for.
type addressUse int

const (
	listens addressUse = iota // this instance opens a socket there
	own                       // others reach this instance there
	other                     // another instance is there
	service                   // a service is there; one address may have several
)

// address is one address of the settings with its path.
type address struct {
	path, text string
	use        addressUse
	required   bool
}

// addresses lists all addresses of cfg.
func (cfg Settings) addresses() []address {
	out := []address{
		{"Listen", cfg.Listen, listens, true},
		{"PeerAddr", cfg.PeerAddr, own, true},
		{"Public", cfg.Public, own, false},
		{"Platform.KeyValue", cfg.Platform.KeyValue, service, true},
		{"Platform.InstanceList", cfg.Platform.InstanceList, service, false},
		{"Trace.Endpoint", cfg.Trace.Endpoint, service, false},
	}
	for i, p := range cfg.Peers {
		path := fmt.Sprintf("Peers[%d]", i)
		out = append(out,
			address{path + ".Address", p.Address, other, true},
			address{path + ".PeerAddr", p.PeerAddr, other, true})
	}
	return out
}

// checkAddresses checks the form of all addresses, that no two are the same
// socket, and that peers are told apart.
func (cfg Settings) checkAddresses(bad func(path, text string)) {
	var taken []socket
	for _, a := range cfg.addresses() {
		at, text := a.parse()
		if text != "" {
			bad(a.path, text)
		}
		if !at.IsValid() || at.Port() == 0 || a.path == "Public" {
			continue // the port is chosen at the start, or Public names Listen
		}
		s := socket{a, at}
		if i := slices.IndexFunc(taken, s.clashes); i >= 0 {
			bad(a.path, "clashes with "+taken[i].path+"; want another port or host")
		}
		taken = append(taken, s)
	}
	if at, _ := netip.ParseAddrPort(cfg.Listen); at.Addr().IsUnspecified() && cfg.Public == "" {
		bad("Public", "want host:port under which callers reach the instance, since Listen takes any")
	}
	cfg.checkPeers(bad)
}

func (cfg Settings) checkPeers(bad func(path, text string)) {
	seen := make(map[ident.Instance]string)
	for i, p := range cfg.Peers {
		path := fmt.Sprintf("Peers[%d]", i)
		if p.Instance == "" {
			bad(path+".Instance", "want the name of the instance")
		}
		if p.Domain == "" {
			bad(path+".Domain", "want the failure domain of the instance")
		}
		if other, ok := seen[p.Instance]; ok && p.Instance != "" {
			bad(path+".Instance", "the same as "+other+"; want each instance once")
		}
		seen[p.Instance] = path + ".Instance"
	}
}

// socket is an address that was read.
type socket struct {
	address
	at netip.AddrPort
}

// clashes reports whether s and b cannot be two sockets.
func (s socket) clashes(b socket) bool {
	switch {
	case s.at.Port() != b.at.Port() || s.use == service && b.use == service:
		return false
	case s.at.Addr() == b.at.Addr():
		return true
	}
	return s.use <= own && b.use <= own && (s.at.Addr().IsUnspecified() || b.at.Addr().IsUnspecified())
}

// parse returns the address, and what is wrong with it.
func (a address) parse() (netip.AddrPort, string) {
	const form = "want host:port with an IP number as host, as in 10.0.0.1:8080"
	if a.text == "" {
		if a.required {
			return netip.AddrPort{}, form
		}
		return netip.AddrPort{}, ""
	}
	host, port, err := net.SplitHostPort(a.text)
	if err != nil {
		return netip.AddrPort{}, fmt.Sprintf("%s, got %q", form, a.text)
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return netip.AddrPort{}, fmt.Sprintf("%s, got %q", form, a.text)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return netip.AddrPort{}, fmt.Sprintf("want a port from 0 to 65535, got %q", port)
	}
	if a.use != listens && ip.IsUnspecified() {
		return netip.AddrPort{}, "want the IP number under which others reach it, got " + host
	}
	return netip.AddrPortFrom(ip, uint16(n)), ""
}
