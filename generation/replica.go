package generation

import (
	"slices"
	"time"

	"crocuslug/ident"
)

// replicaState is what the machine knows about the instance that stores the replica.
type replicaState struct {
	id           ident.Instance
	choosing     bool          // a choice of replica is pending
	needsBase    bool          // the next batch must contain the whole generation
	sent         int           // position sent
	acked        int           // position acknowledged
	baseAttempt  ident.Attempt // attempt of the last base; acknowledgements of earlier attempts do not count
	lastAck      time.Time     // last acknowledgement, or first send after everything was acknowledged
	retryAt      time.Time     // when to choose again after no replica was found
	exclude      []ident.Instance
	timedOut     bool             // an excluded replica did not acknowledge in time
	failingSince time.Time        // when reachable replicas stopped acknowledging; zero if they have not
	unheard      []ident.Instance // lost replicas, from which another instance may have taken the generation over
}

// resetToBase makes the next batch contain the whole log.
func (r *replicaState) resetToBase() {
	r.needsBase = true
	r.sent, r.acked = 0, 0
}

func (m *Machine) chooseReplica(now time.Time) []Action {
	if m.cfg.DisableReplication {
		return nil
	}
	m.replica.choosing = true
	m.replica.lastAck = now
	return []Action{{Kind: ChooseReplica, ExcludeReplicas: m.replica.exclude}}
}

// ReplicaChosen sets the instance that stores the replica. An empty id means that every
// candidate is excluded. Tokens are then released without a replica until one is found.
// However, if some candidates are connected and merely did not acknowledge in time, they are
// tried again in turn, and tokens are held back for at most ReplicaMaxWait.
func (m *Machine) ReplicaChosen(now time.Time, id ident.Instance) []Action {
	r := &m.replica
	r.choosing = false
	r.id = id
	r.lastAck = now
	r.resetToBase()
	if id == "" {
		return m.noReplica(now)
	}
	m.stats.ReplicaChanges++
	return m.replicate(now)
}

// noReplica handles the case that every candidate is excluded: it clears the exclusions,
// schedules the next choice, and releases tokens unless they must wait.
func (m *Machine) noReplica(now time.Time) []Action {
	r := &m.replica
	if r.timedOut && r.failingSince.IsZero() {
		r.failingSince = now
	}
	wait := r.timedOut && now.Sub(r.failingSince) < m.cfg.ReplicaMaxWait
	r.exclude, r.timedOut = nil, false
	if wait {
		r.retryAt = now.Add(m.cfg.EngineRetryDelay)
		return nil
	}
	r.failingSince = time.Time{}
	r.retryAt = now.Add(m.cfg.ReplicaRetryDelay)
	return m.release(m.log.Position())
}

// replicate sends the replica the tokens that it does not have, or releases them if there is
// no replica.
func (m *Machine) replicate(now time.Time) []Action {
	r := &m.replica
	if r.choosing {
		return nil
	}
	if r.id == "" && !r.failingSince.IsZero() {
		return nil
	}
	if r.id == "" {
		return m.release(m.log.Position())
	}
	upto := m.log.Position()
	if r.sent == upto && !r.needsBase {
		return nil
	}
	if r.acked == r.sent {
		r.lastAck = now
	}
	if r.needsBase {
		r.baseAttempt = m.log.Attempt()
	}
	act := Action{
		Kind:        Replicate,
		Replica:     r.id,
		Attempt:     m.log.Attempt(),
		From:        r.sent,
		Upto:        upto,
		Base:        r.needsBase,
		BaseAttempt: r.baseAttempt,
	}
	r.sent, r.needsBase = upto, false
	return []Action{act}
}

// ReplicaAcknowledged handles the acknowledgement of instance id that it stores the
// generation up to position upto, as sent in attempt a.
func (m *Machine) ReplicaAcknowledged(now time.Time, id ident.Instance, a ident.Attempt, upto int) []Action {
	r := &m.replica
	if id != r.id || r.choosing || m.phase == ended || upto > r.sent || a < r.baseAttempt {
		return nil
	}
	r.lastAck = now
	r.exclude, r.timedOut = nil, false
	r.failingSince = time.Time{}
	r.acked = max(r.acked, upto)
	r.unheard = slices.DeleteFunc(r.unheard, func(u ident.Instance) bool { return u == id })
	return m.release(r.acked)
}

// ReplicaNeedsBase sends the whole generation to instance id, which does not have the tokens
// before those that it was sent.
func (m *Machine) ReplicaNeedsBase(now time.Time, id ident.Instance) []Action {
	if id != m.replica.id || m.replica.choosing || m.phase == ended {
		return nil
	}
	m.replica.resetToBase()
	return m.replicate(now)
}

// ReplicaLost handles instance id having become unreachable.
func (m *Machine) ReplicaLost(now time.Time, id ident.Instance) []Action {
	if id != m.replica.id || m.replica.choosing || m.phase == ended || m.Complete() {
		return nil
	}
	m.replica.exclude = append(m.replica.exclude, id)
	if !slices.Contains(m.replica.unheard, id) {
		m.replica.unheard = append(m.replica.unheard, id)
	}
	m.replica.id = ""
	return m.chooseReplica(now)
}

// tickReplica abandons a replica that has not acknowledged in time, and chooses one if there
// is none.
func (m *Machine) tickReplica(now time.Time) []Action {
	r := &m.replica
	switch {
	case r.choosing || m.cfg.DisableReplication:
		return nil
	case r.id == "":
		due := !now.Before(r.retryAt)
		if due && (!m.Closed() || m.released < m.log.Position()) {
			return m.chooseReplica(now)
		}
		return nil
	case r.acked < r.sent && now.Sub(r.lastAck) > m.cfg.ReplicaAckTimeout:
		r.timedOut = true
		return m.ReplicaLost(now, r.id)
	}
	return nil
}

// release lets the caller receive the answer up to position upto.
func (m *Machine) release(upto int) []Action {
	if upto <= m.released {
		return nil
	}
	if m.replica.id == "" && !m.cfg.DisableReplication {
		m.stats.Unreplicated += upto - m.released
	}
	m.released = upto
	return []Action{{Kind: Release, Upto: upto}}
}
