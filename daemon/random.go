package daemon

import (
	"math/rand/v2"
	"sync"
)

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{rng: rand.New(rand.NewPCG(seed, 0))}
}

// Uint64 returns 64 random bits.
func (r *lockedRand) Uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Uint64()
}
