package generation

import (
	"time"

	"crocuslug/ident"
)

// copyState is what the machine knows of the instance that holds the copy.
type copyState struct {
	id      ident.Instance
	asked   bool          // a replica is being chosen
	base    bool          // the next batch carries all of the generation
	sent    int           // position sent
	acked   int           // position acknowledged
	origin  ident.Attempt // attempt under which the last base was sent; earlier acknowledgements do not count
	lastAck time.Time     // last acknowledgement, or last send after none was due
	retryAt time.Time     // when to look for one after none was found
	avoid   []ident.Instance
	overdue bool      // one of those to avoid did not answer in time
	failing time.Time // since when no replica answers although there are some; zero if not
}

// rebase makes the next batch carry the whole log.
func (r *copyState) rebase() {
	r.base = true
	r.sent, r.acked = 0, 0
}

func (m *Machine) chooseReplica(now time.Time) []Action {
	if m.cfg.DisableReplic {
		return nil
	}
	m.replica.asked = true
	m.replica.lastAck = now
	return []Action{{Kind: ChooseReplica, Avoid: m.replica.avoid}}
}

// ReplicaChosen tells which instance is to hold the copy. The empty id means
// that there is none besides those to avoid. Tokens are then released without a
// copy until one is found, but if some are connected and merely did not answer,
// they are tried again in turn and tokens wait, for a bounded time.
func (m *Machine) ReplicaChosen(now time.Time, id ident.Instance) []Action {
	r := &m.replica
	r.asked = false
	r.id = id
	r.lastAck = now
	r.rebase()
	if id == "" {
		return m.noReplica(now)
	}
	m.stats.ReplicaChanges++
	return m.replicate(now)
}

func (m *Machine) noReplica(now time.Time) []Action {
	r := &m.replica
	if r.overdue && r.failing.IsZero() {
		r.failing = now
	}
	wait := r.overdue && now.Sub(r.failing) < m.cfg.ReplicaWait
	r.avoid, r.overdue = nil, false
	if wait {
		r.retryAt = now.Add(m.cfg.EngineRetry)
		return nil
	}
	r.failing = time.Time{}
	r.retryAt = now.Add(m.cfg.ReplicaRetry)
	return m.release(m.log.Position())
}

// replicate sends what the replica lacks, or releases it if there is none.
func (m *Machine) replicate(now time.Time) []Action {
	r := &m.replica
	if r.asked {
		return nil
	}
	if r.id == "" && !r.failing.IsZero() {
		return nil
	}
	if r.id == "" {
		return m.release(m.log.Position())
	}
	upto := m.log.Position()
	if r.sent == upto && !r.base {
		return nil
	}
	if r.acked == r.sent {
		r.lastAck = now
	}
	if r.base {
		r.origin = m.log.Attempt()
	}
	act := Action{
		Kind:    Replicate,
		Replica: r.id,
		Attempt: m.log.Attempt(),
		From:    r.sent,
		Upto:    upto,
		Base:    r.base,
		Origin:  r.origin,
	}
	r.sent, r.base = upto, false
	return []Action{act}
}

// ReplicaAck takes in that instance id holds the generation up to a position,
// as sent under attempt a.
func (m *Machine) ReplicaAck(now time.Time, id ident.Instance, a ident.Attempt, upto int) []Action {
	r := &m.replica
	if id != r.id || r.asked || m.phase == ended || upto > r.sent || a < r.origin {
		return nil
	}
	r.lastAck = now
	r.avoid, r.overdue = nil, false
	r.failing = time.Time{}
	r.acked = max(r.acked, upto)
	return m.release(r.acked)
}

// ReplicaNeeds takes in that the replica lacks tokens before those sent.
func (m *Machine) ReplicaNeeds(now time.Time, id ident.Instance) []Action {
	if id != m.replica.id || m.replica.asked || m.phase == ended {
		return nil
	}
	m.replica.rebase()
	return m.replicate(now)
}

// ReplicaLost tells that instance id is out of reach.
func (m *Machine) ReplicaLost(now time.Time, id ident.Instance) []Action {
	if id != m.replica.id || m.replica.asked || m.phase == ended || m.Whole() {
		return nil
	}
	m.replica.avoid = append(m.replica.avoid, id)
	m.replica.id = ""
	return m.chooseReplica(now)
}

// tickReplica gives up on a replica that is overdue and looks for one if there is none.
func (m *Machine) tickReplica(now time.Time) []Action {
	r := &m.replica
	switch {
	case r.asked || m.cfg.DisableReplic:
		return nil
	case r.id == "":
		due := !now.Before(r.retryAt)
		if due && (!m.Over() || m.released < m.log.Position()) {
			return m.chooseReplica(now)
		}
		return nil
	case r.acked < r.sent && now.Sub(r.lastAck) > m.cfg.ReplicaLimit:
		r.overdue = true
		return m.ReplicaLost(now, r.id)
	}
	return nil
}

func (m *Machine) release(upto int) []Action {
	if upto <= m.released {
		return nil
	}
	if m.replica.id == "" && !m.cfg.DisableReplic {
		m.stats.Unreplicated += upto - m.released
	}
	m.released = upto
	return []Action{{Kind: Release, Upto: upto}}
}
