package membership

import (
	"slices"

	"crocuslug/ident"
)

// ring is a set of instances in random order. It returns them in round-robin order,
// so that each is returned once per round. The zero value is empty.
type ring struct {
	ids  []ident.Instance
	next int
}

// insert adds id at a random position.
func (r *ring) insert(id ident.Instance, rand func(n int) int) {
	i := rand(len(r.ids) + 1)
	r.ids = slices.Insert(r.ids, i, id)
	if i < r.next {
		r.next++
	}
}

func (r *ring) remove(id ident.Instance) {
	i := slices.Index(r.ids, id)
	if i < 0 {
		return
	}
	r.ids = slices.Delete(r.ids, i, i+1)
	if i < r.next {
		r.next--
	}
}

// advance returns the next instance in round-robin order, or "" if the ring is empty.
func (r *ring) advance() ident.Instance {
	if len(r.ids) == 0 {
		return ""
	}
	if r.next >= len(r.ids) {
		r.next = 0
	}
	r.next++
	return r.ids[r.next-1]
}

// pick returns up to n different random instances other than excluded. It may return
// fewer even if there are enough, since the number of tries is limited.
func (r *ring) pick(n int, excluded ident.Instance, rand func(n int) int) []ident.Instance {
	var ids []ident.Instance
	for range 2 * n {
		if len(r.ids) == 0 || len(ids) == n {
			break
		}
		id := r.ids[rand(len(r.ids))]
		if id != excluded && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}
