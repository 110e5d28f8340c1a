package standinsite

import (
	"strings"

	"crocuslug/ident"
)

// CutBetween ends all traffic between two failure domains until HealBetween.
// Both keep their way to the others and to the platform.
func (s *Site) CutBetween(a, b ident.Domain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pairs[[2]ident.Domain{a, b}] = true
	s.pairs[[2]ident.Domain{b, a}] = true
}

// HealBetween ends all cuts that CutBetween made.
func (s *Site) HealBetween() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.pairs)
}

// lost returns whether what passes between an instance of a failure domain and
// another instance is lost.
func (s *Site) lost(domain ident.Domain) func(other ident.Instance) bool {
	return func(other ident.Instance) bool { return !s.passes(domain, domainOf(other)) }
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
