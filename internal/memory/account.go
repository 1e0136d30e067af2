// Package memory divides a process's memory limit and keeps account of what clients make the process hold. Whoever is
// about to hold memory for a client reserves it first, and releases it on every way out. When there is no room, the
// account names the holder that takes most and can be given up. The package does no I/O and reads no clock. Begin with
// Account and Divide.
package memory

import (
	"errors"
	"fmt"
	"sync"
)

// Use is what memory is held for.
type Use int

const (
	Connections Use = iota // connections with their buffers and goroutines
	Incoming               // requests that have not been received whole
	Pipelined              // what clients send behind an open request
	Requests               // open requests with their heads, bodies and attempts
	Answers                // parts of answers that have not been written to their clients
	uses
)

// String returns the name of the use in logs.
func (u Use) String() string {
	return [...]string{"connections", "incoming", "pipelined", "requests", "answers"}[u]
}

// evictable reports whether what is held for a use can be given up: no request is open that needs it.
func (u Use) evictable() bool { return u == Incoming || u == Pipelined }

const (
	// smallBytes is what a holder gets for one evictable use even when there is no room, so that small requests can
	// always be read and answered.
	smallBytes = 4 << 10
	// fixedUseShare bounds connections, and requests, as a share of the limit: neither may keep out the other.
	fixedUseShare = 0.6
)

// ErrEvicting reports that there is no room yet: what another holder gives up is on its way.
var ErrEvicting = errors.New("memory is being given up by another client")

// LimitError reports that there is no room, and that no other client could give up more.
type LimitError struct {
	Use           Use
	Wanted, Limit int64 // bytes
}

// Error tells which use was refused.
func (e *LimitError) Error() string {
	return fmt.Sprintf("no memory for %d bytes of %v, the limit is %d", e.Wanted, e.Use, e.Limit)
}

// Account knows what is held in a process on behalf of clients.
type Account struct {
	mu       sync.Mutex
	limit    int64 // bytes
	held     [uses]int64
	total    int64
	peak     int64 // largest total so far
	refused  [uses]int64
	evicted  int64
	evicting int64                // bytes that chosen holders are about to release
	holders  map[*Holder]struct{} // those that can give something up
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, holders: map[*Holder]struct{}{}}
}

// Holder is one client's connection, or another owner of memory, in an account.
type Holder struct {
	account *Account
	evict   func(wait bool) bool // makes it give up what can be
	// The account's lock guards the fields below.
	bytes    [uses]int64
	evicting int64 // bytes that it was asked to give up and still holds
	closed   bool
}

// NewHolder returns a holder of nothing. evict makes it release what can be given up, and reports whether it did: with wait
// false it must not wait for a lock. A nil evict means that nothing can be given up.
func (a *Account) NewHolder(evict func(wait bool) bool) *Holder {
	h := &Holder{account: a, evict: evict}
	if evict != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.holders[h] = struct{}{}
	}
	return h
}

// Reserve takes further bytes for a use. If there is no room, nothing is taken and the error is a *LimitError, or
// ErrEvicting if room is being made: then the caller must call Evict on the victim, if there is one, and may try again.
func (h *Holder) Reserve(use Use, bytes int64) (victim *Holder, err error) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := h.bytes[use] + bytes
	switch {
	case h.closed:
		return nil, &LimitError{use, wanted, a.limit}
	case use.evictable() && wanted <= smallBytes, a.hasRoom(use, bytes):
		h.add(use, bytes)
		return nil, nil
	case a.evicting > 0 && a.total-a.evicting+bytes <= a.limit:
		return nil, ErrEvicting
	}
	if victim = a.largest(h, use, bytes); victim == nil {
		a.refused[use]++
		return nil, &LimitError{use, wanted, a.limit}
	}
	a.evicted++
	victim.evicting = victim.evictableBytes()
	a.evicting += victim.evicting
	return victim, ErrEvicting
}

// hasRoom reports whether there is room for further bytes of a use. The caller holds the lock.
func (a *Account) hasRoom(use Use, bytes int64) bool {
	if !use.evictable() && use != Answers && float64(a.held[use]+bytes) > fixedUseShare*float64(a.limit) {
		return false
	}
	return a.total+bytes <= a.limit
}

// largest returns the holder that can give up most, if that is more than the asking one would hold of what can be given
// up, or nil. The caller holds the lock.
func (a *Account) largest(asking *Holder, use Use, bytes int64) (victim *Holder) {
	most := asking.evictableBytes()
	if use.evictable() {
		most += bytes
	}
	most = max(most, smallBytes)
	for h := range a.holders {
		if size := h.evictableBytes(); h != asking && h.evicting == 0 && size > most {
			victim, most = h, size
		}
	}
	return victim
}

// evictableBytes returns how many bytes the holder can give up. The caller holds the account's lock.
func (h *Holder) evictableBytes() int64 { return h.bytes[Incoming] + h.bytes[Pipelined] }

// Evict makes the holder release what can be given up.
func (h *Holder) Evict() { h.evict(true) }

// EvictFrom is Evict for a caller that has locked another holder's owner, which must not wait for a second one: the holder
// releases at once if it can, and soon otherwise.
func (h *Holder) EvictFrom() {
	if !h.evict(false) {
		go h.evict(true)
	}
}

// Take takes further bytes whether or not there is room: they are held already.
func (h *Holder) Take(use Use, bytes int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(use, bytes)
}

// Release gives bytes of a use back.
func (h *Holder) Release(use Use, bytes int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(use, -bytes)
}

// ReleaseAll gives all bytes of a use back.
func (h *Holder) ReleaseAll(use Use) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(use, -h.bytes[use])
}

// MoveTo hands all bytes of one use over to another holder of the account, for another use.
func (h *Holder) MoveTo(other *Holder, from, to Use) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	bytes := h.bytes[from]
	h.add(from, -bytes)
	other.add(to, bytes)
}

// Held returns how many bytes the holder has for a use.
func (h *Holder) Held(use Use) int64 {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.bytes[use]
}

// Close gives everything back. From then on the holder is refused what it reserves, and nothing else has an effect.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for use := range uses {
		h.add(use, -h.bytes[use])
	}
	h.closed = true
	delete(a.holders, h)
}

// add counts bytes of a use, and settles what the holder was asked to give up. The caller holds the account's lock.
func (h *Holder) add(use Use, bytes int64) {
	if h.closed {
		return
	}
	a := h.account
	h.bytes[use] += bytes
	a.held[use] += bytes
	a.total += bytes
	a.peak = max(a.peak, a.total)
	if left := min(h.evicting, h.evictableBytes()); left < h.evicting {
		a.evicting -= h.evicting - left
		h.evicting = left
	}
}

// Snapshot is the state of an account.
type Snapshot struct {
	Limit, Total, Peak int64 // bytes
	Held               [uses]int64
	Refused            [uses]int64 // calls of Reserve, by use
	Evicted            int64       // holders that were asked to give up memory
}

// Snapshot returns the state of the account.
func (a *Account) Snapshot() Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Snapshot{a.limit, a.total, a.peak, a.held, a.refused, a.evicted}
}
