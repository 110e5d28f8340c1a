package standinsite

import (
	"strings"
	"sync/atomic"

	"crocuslug/ident"
)

// cuts are the pairs of failure domains that have lost each other.
type cuts struct {
	pairs atomic.Pointer[map[[2]ident.Domain]bool]
}

// Cut makes everything that instances of two failure domains send each other
// get lost, both ways, until Heal.
func (s *Site) Cut(a, b ident.Domain) {
	pairs := map[[2]ident.Domain]bool{{a, b}: true, {b, a}: true}
	if old := s.cuts.pairs.Load(); old != nil {
		for p := range *old {
			pairs[p] = true
		}
	}
	s.cuts.pairs.Store(&pairs)
}

// Heal ends all cuts.
func (s *Site) Heal() {
	s.cuts.pairs.Store(nil)
}

// lost returns whether what passes between an instance of a failure domain and
// another instance is lost.
func (s *Site) lost(domain ident.Domain) func(other ident.Instance) bool {
	return func(id ident.Instance) bool {
		other := domainOf(id)
		pairs := s.cuts.pairs.Load()
		return pairs != nil && (*pairs)[[2]ident.Domain{domain, other}] || !s.passes(domain, other)
	}
}

// domainOf returns the failure domain of an instance, whose name begins with it.
func domainOf(id ident.Instance) ident.Domain {
	name := string(id)
	return ident.Domain(name[:max(0, strings.LastIndexByte(name, '-'))])
}

// AddressesIn returns where the instances of a failure domain that were not
// killed take callers.
func (s *Site) AddressesIn(domain ident.Domain) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for i, d := range s.Instances {
		if s.alive[i] && d.Domain() == domain {
			out = append(out, d.Addr())
		}
	}
	return out
}
