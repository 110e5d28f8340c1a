package standinsite

import "crocuslug/ident"

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
