package suspect

import "time"

// Verdict says that a content is proven to make engines fail and is refused.
type Verdict struct {
	Fingerprint uint64
	Until       time.Time
}

// Proven returns the verdicts that have come up here since the last call. All
// instances are to be told of them, in all failure domains.
func (l *Ledger) Proven() []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.proven
	l.proven = nil
	return out
}

// Refuse takes in a verdict of another instance.
func (l *Ledger) Refuse(v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.cases[v.Fingerprint]
	if !ok {
		if len(l.cases) >= l.cfg.MaxCases {
			return
		}
		c = &content{}
		l.cases[v.Fingerprint] = c
	}
	if v.Until.After(c.refused) {
		c.refused = v.Until
	}
}
