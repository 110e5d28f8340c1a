package membership

import (
	"strings"
	"time"

	"crocuslug/ident"
)

// recheckPrefix is the prefix of the keys of notices that ask the members of one
// domain to probe another one, because a member found that it became unreachable
// or reachable. The asking and the probed domain follow in the key. Members of
// other domains ignore these notices and do not pass them on.
const recheckPrefix = "Doubt/"

// recheckInterval is the shortest time between two such notices about a domain.
const recheckInterval = 5 * time.Second

// nextForeignMember returns the next member to probe in another domain. The
// domains take turns. It returns "" if there is none.
func (t *Table) nextForeignMember() ident.Instance {
	if len(t.foreignDomains) == 0 {
		return ""
	}
	d := t.foreignDomains[0]
	t.foreignDomains = append(t.foreignDomains[1:], d)
	return t.domain(d).members.advance()
}

// probeRechecks probes one member of each domain that has pending rechecks.
func (t *Table) probeRechecks(now time.Time) []Envelope {
	var out []Envelope
	for _, id := range t.foreignDomains {
		d := t.domain(id)
		if d.pendingRechecks > 0 {
			d.pendingRechecks--
			out = append(out, t.probe(d.members.advance(), now)...)
		}
	}
	return out
}

// foreignProbeFailed records that a member of another domain did not answer a probe.
// The first failure leads to immediate probes. After CutOffProbes failures in a row
// the domain counts as cut off. At failures in between, the other members of the own
// domain are asked to probe it too.
func (t *Table) foreignProbeFailed(id ident.Domain, now time.Time) {
	d := t.domain(id)
	d.failedProbes++
	if d.isCutOff() {
		return
	}
	if d.failedProbes >= t.cfg.CutOffProbes {
		d.cutOffSince = now
		t.view = nil
		return
	}
	if d.failedProbes == 1 {
		d.pendingRechecks = t.cfg.CutOffProbes
		return
	}
	t.requestRecheck(id, now)
}

// recordReachable records that a member has answered this instance directly, which
// means that its domain is not cut off.
func (t *Table) recordReachable(id ident.Instance, now time.Time) {
	e := t.entries[id]
	if e == nil || e.Domain == t.self.Domain {
		return
	}
	d := t.domain(e.Domain)
	d.failedProbes = 0
	d.pendingRechecks = 0
	if d.isCutOff() {
		d.cutOffSince = time.Time{}
		t.view = nil
		t.requestRecheck(e.Domain, now)
	}
}

// ownRecheckPrefix returns the prefix of the recheck notices of the own domain.
func (t *Table) ownRecheckPrefix() string {
	return recheckPrefix + string(t.self.Domain) + "/"
}

// isForeignRecheck reports whether n is a recheck notice of another domain.
func (t *Table) isForeignRecheck(n Notice) bool {
	return strings.HasPrefix(n.Key, recheckPrefix) && !strings.HasPrefix(n.Key, t.ownRecheckPrefix())
}

// requestRecheck asks the members of the own domain to probe the domain id, at most
// once per recheckInterval.
func (t *Table) requestRecheck(id ident.Domain, now time.Time) {
	key := t.ownRecheckPrefix() + string(id)
	if previous, ok := t.notices[key]; ok && now.Sub(previous.since) < recheckInterval {
		return
	}
	if t.applyNotice(Notice{Key: key, Version: uint64(now.UnixMilli())}, now) {
		t.spreadRumor(rumor{notice: key})
	}
}

// handleRecheck schedules probes if n is a recheck notice of the own domain.
func (t *Table) handleRecheck(n Notice) {
	id, ok := strings.CutPrefix(n.Key, t.ownRecheckPrefix())
	if d := t.domains[ident.Domain(id)]; ok && d != nil && ident.Domain(id) != t.self.Domain {
		d.pendingRechecks = t.cfg.CutOffProbes
	}
}
