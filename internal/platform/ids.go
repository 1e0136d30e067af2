package platform

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	idsMost          = 1 << 15          // ids of one generation, 8 bytes each: over 1,000 requests a second are remembered for their span
	idRetentionSlack = 10 * time.Second // beyond the longest deadline, that an id is remembered for
)

// idRegister knows the ids of requests that are open or were so lately. Each request has an id of its own, a client's retry too, so one
// that comes again is not the client's: its own request may have run, and a refusal of the copy would say that it has not.
type idRegistry struct {
	span time.Duration // for which an id is remembered at least

	mu              sync.Mutex
	open            map[string]bool
	recent, earlier map[uint64]bool // hashes of those taken in the present span, and in the one before
	turned          time.Time       // when the present span began
}

func newIDRegistry(span time.Duration) *idRegistry {
	return &idRegistry{span: span, open: map[string]bool{}, recent: map[uint64]bool{}, earlier: map[uint64]bool{}, turned: time.Now()}
}

// known tells whether an id is open or was taken lately.
func (r *idRegistry) known(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownLocked(id)
}

func (r *idRegistry) knownLocked(id string) bool {
	hash := xxhash.Sum64String(id)
	return r.open[id] || r.recent[hash] || r.earlier[hash]
}

// claim opens an id; false: it is known.
func (r *idRegistry) claim(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.knownLocked(id) {
		return false
	}
	r.open[id] = true
	return true
}

// release closes an id. One that was taken is remembered.
func (r *idRegistry) release(id string, taken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	if !taken {
		return
	}
	if now := time.Now(); now.Sub(r.turned) >= r.span || len(r.recent) >= idsMost {
		r.earlier, r.recent, r.turned = r.recent, map[uint64]bool{}, now
	}
	r.recent[xxhash.Sum64String(id)] = true
}
