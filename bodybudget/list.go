package bodybudget

// claimList holds the claims that can be evicted, in the order of their last progress.
type claimList struct{ first, last *Claim }

// add puts a claim at the end, also if it is in the list.
func (l *claimList) add(c *Claim) {
	l.remove(c)
	c.previous = l.last
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

// remove removes a claim if it is in the list.
func (l *claimList) remove(c *Claim) {
	if c.previous == nil && c.next == nil && l.first != c {
		return
	}
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		l.last = c.previous
	}
	c.previous, c.next = nil, nil
}
