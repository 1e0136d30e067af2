package platform

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxGenerationIDs bounds the ids of one generation, at 8 bytes each. It covers over 1,000 requests a second for
	// the whole retention time.
	maxGenerationIDs = 1 << 15
	// idRetentionSlack is how long an id is remembered beyond the longest deadline.
	idRetentionSlack = 10 * time.Second
)

// idRegistry knows the ids of requests that are open or were admitted recently. Every request has its own id, and so
// has a client's retry. A request with a known id is therefore a copy that the client did not make: the original may
// have run, so a rejection of the copy would wrongly state that it has not.
type idRegistry struct {
	retention time.Duration // for which an id is remembered at least

	mu                sync.Mutex
	open              map[string]bool
	current, previous map[uint64]bool // hashes of the ids admitted in the current generation and in the one before
	generationStart   time.Time
}

func newIDRegistry(retention time.Duration) *idRegistry {
	return &idRegistry{
		retention: retention, open: map[string]bool{},
		current: map[uint64]bool{}, previous: map[uint64]bool{}, generationStart: time.Now(),
	}
}

// known reports whether an id is open or was admitted recently.
func (r *idRegistry) known(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownLocked(id)
}

func (r *idRegistry) knownLocked(id string) bool {
	hash := xxhash.Sum64String(id)
	return r.open[id] || r.current[hash] || r.previous[hash]
}

// claim opens an id. It returns false if the id is known.
func (r *idRegistry) claim(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.knownLocked(id) {
		return false
	}
	r.open[id] = true
	return true
}

// release closes an id, and remembers it if its request was admitted.
func (r *idRegistry) release(id string, admitted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	if !admitted {
		return
	}
	if now := time.Now(); now.Sub(r.generationStart) >= r.retention || len(r.current) >= maxGenerationIDs {
		r.previous, r.current, r.generationStart = r.current, map[uint64]bool{}, now
	}
	r.current[xxhash.Sum64String(id)] = true
}
