package suspect

import "time"

// Ban refuses a content that has been found to make engines fail.
type Ban struct {
	Fingerprint uint64
	Until       time.Time
}

// TakeNewBans returns the bans issued here since the last call. The caller sends them to all
// instances in all failure domains.
func (l *Tracker) TakeNewBans() []Ban {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.newBans
	l.newBans = nil
	return out
}

// AddBan adds a ban issued by another instance.
func (l *Tracker) AddBan(v Ban) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.contents[v.Fingerprint]
	if !ok {
		if len(l.contents) >= l.cfg.MaxContents {
			return
		}
		c = &content{}
		l.contents[v.Fingerprint] = c
	}
	if v.Until.After(c.bannedUntil) {
		c.bannedUntil = v.Until
	}
}
