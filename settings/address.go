package settings

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"crocuslug/ident"
)

// addressUse says what an address is for.
type addressUse int

const (
	listenAddress  addressUse = iota // this instance opens a socket there
	ownAddress                       // others reach this instance there
	peerAddress                      // another instance is there
	serviceAddress                   // a service is there; one address may have several
)

// address is one address in the settings, with the path of its field.
type address struct {
	path, text string
	use        addressUse
	required   bool
}

// addresses returns all addresses in cfg.
func (cfg Settings) addresses() []address {
	out := []address{
		{"Listen", cfg.Listen, listenAddress, true},
		{"PeerAddr", cfg.PeerAddr, ownAddress, true},
		{"Public", cfg.Public, ownAddress, false},
		{"Platform.KeyValue", cfg.Platform.KeyValue, serviceAddress, true},
		{"Platform.InstanceList", cfg.Platform.InstanceList, serviceAddress, false},
		{"Trace.Endpoint", cfg.Trace.Endpoint, serviceAddress, false},
	}
	for i, p := range cfg.Peers {
		path := fmt.Sprintf("Peers[%d]", i)
		out = append(out,
			address{path + ".Address", p.Address, peerAddress, true},
			address{path + ".PeerAddr", p.PeerAddr, peerAddress, true})
	}
	return out
}

// checkAddresses checks that all addresses are well formed, that no two name
// the same socket, and that the peers have different names.
func (cfg Settings) checkAddresses(bad func(path, text string)) {
	var used []socket
	for _, a := range cfg.addresses() {
		at, text := a.parse()
		if text != "" {
			bad(a.path, text)
		}
		if !at.IsValid() || at.Port() == 0 || a.path == "Public" {
			continue // the port is chosen at the start, or Public is another address of Listen
		}
		s := socket{a, at}
		if i := slices.IndexFunc(used, s.conflictsWith); i >= 0 {
			bad(a.path, "is the same socket as "+used[i].path+"; want another port or host")
		}
		used = append(used, s)
	}
	if at, _ := netip.ParseAddrPort(cfg.Listen); at.Addr().IsUnspecified() && cfg.Public == "" {
		bad("Public", "want host:port at which callers reach the instance, since Listen has an unspecified host")
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
			bad(path+".Instance", "is the same as "+other+"; want each instance once")
		}
		seen[p.Instance] = path + ".Instance"
	}
}

// socket is an address in its parsed form.
type socket struct {
	address
	at netip.AddrPort
}

// conflictsWith reports whether s and b cannot both be in use, because they are
// the same socket. Addresses of services never conflict with each other.
func (s socket) conflictsWith(b socket) bool {
	switch {
	case s.at.Port() != b.at.Port() || s.use == serviceAddress && b.use == serviceAddress:
		return false
	case s.at.Addr() == b.at.Addr():
		return true
	}
	return s.use <= ownAddress && b.use <= ownAddress && (s.at.Addr().IsUnspecified() || b.at.Addr().IsUnspecified())
}

// parse returns the parsed address, and a text that describes what is wrong
// with it, or "". The address is invalid if it is empty or malformed.
func (a address) parse() (netip.AddrPort, string) {
	const form = "want host:port with an IP address as host, as in 10.0.0.1:8080"
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
	if a.use != listenAddress && ip.IsUnspecified() {
		return netip.AddrPort{}, "want the IP address at which others reach it, got " + host
	}
	return netip.AddrPortFrom(ip, uint16(n)), ""
}
