package membership

import (
	"slices"
	"strings"

	"crocuslug/ident"
)

// View is an immutable snapshot of the membership as seen by one instance.
type View struct {
	Self    ident.Instance
	Members []Member // sorted by instance, without dead members
	Notices []Notice // sorted by key
}

// Find returns the member id. It returns false if the member is unknown or dead.
func (v *View) Find(id ident.Instance) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id ident.Instance) int {
		return strings.Compare(string(m.Instance), string(id))
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Live returns the live members of a failure domain, sorted. It omits suspected,
// leaving and unreachable members.
func (v *View) Live(domain ident.Domain) []ident.Instance {
	var ids []ident.Instance
	for _, m := range v.Members {
		if m.Domain == domain && m.State == Live {
			ids = append(ids, m.Instance)
		}
	}
	return ids
}

// Rank returns the index of id among the sorted live members of its failure domain,
// or -1 if it is not one of them.
func (v *View) Rank(id ident.Instance) int {
	m, ok := v.Find(id)
	if !ok {
		return -1
	}
	return slices.Index(v.Live(m.Domain), id)
}
