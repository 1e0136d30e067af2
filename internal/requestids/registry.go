// Package requestids remembers which request ids are open or were used recently, in bounded memory. Begin with Registry.
package requestids

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxGenerationIDs bounds the ids of one generation, at 8 bytes each. It covers over 1,000 requests a second for
	// the whole retention time.
	maxGenerationIDs = 1 << 15
	// RetentionSlack is how long an id should be remembered beyond the longest deadline.
	RetentionSlack = 10 * time.Second
)

// Registry knows the ids of requests that are open or were used recently. A request with a known id may have run: it must
// not run again, and a rejection would wrongly state that it has not.
type Registry struct {
	retention time.Duration // for which an id is remembered at least

	mu                sync.Mutex
	open              map[string]bool
	current, previous map[uint64]bool // hashes of the ids admitted in the current generation and in the one before
	generationStart   time.Time
}

// New returns a registry that remembers ids for the given time at least, unless there are very many.
func New(retention time.Duration) *Registry {
	return &Registry{
		retention: retention, open: map[string]bool{},
		current: map[uint64]bool{}, previous: map[uint64]bool{}, generationStart: time.Now(),
	}
}

// Known reports whether an id is open or was used recently.
func (r *Registry) Known(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownLocked(id)
}

func (r *Registry) knownLocked(id string) bool {
	hash := xxhash.Sum64String(id)
	return r.open[id] || r.current[hash] || r.previous[hash]
}

// Claim opens an id. It returns false if the id is known.
func (r *Registry) Claim(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.knownLocked(id) {
		return false
	}
	r.open[id] = true
	return true
}

// Release closes an id, and remembers it if its request may have run.
func (r *Registry) Release(id string, remember bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	if !remember {
		return
	}
	if now := time.Now(); now.Sub(r.generationStart) >= r.retention || len(r.current) >= maxGenerationIDs {
		r.previous, r.current, r.generationStart = r.current, map[uint64]bool{}, now
	}
	r.current[xxhash.Sum64String(id)] = true
}

// OpenCount returns the number of open ids.
func (r *Registry) OpenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}
