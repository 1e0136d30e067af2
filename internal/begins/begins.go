// Package begins finds how much of a prompt's text is a beginning that other sessions share, where a client does
// not say so. It hashes the text in blocks, each with all before it, and remembers for a while which sessions
// opened with which; it holds a bounded number of blocks and does no I/O. Begin with Table.Find.
package begins

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	block  = 1024             // bytes, some 256 tokens: shorter beginnings are not worth a reader's keeping
	most   = 64               // blocks of one prompt that are looked at
	room   = 1 << 16          // blocks in each of two generations: a few MiB
	turn   = 60 * time.Second // after which a generation is old; one older is dropped
	toEach = 4                // bytes of text to a token, as a rule of thumb for English
)

// Tokens guesses a text's length in tokens.
func EstimateTokens(text string) int { return (len(text) + toEach - 1) / toEach }

// Table remembers blocks in two generations. The zero value is ready.
type Table struct {
	young, old map[uint64]entry
	since      time.Duration
}

type entry struct {
	session uint64
	shared  bool // by another session too
}

// Find returns a key for the longest beginning that another session was seen with, and its tokens; none: 0, 0.
func (t *Table) SharedPrefix(now time.Duration, session uint64, text string) (key uint64, tokens int) {
	if t.young == nil || now-t.since >= turn || len(t.young) >= room {
		t.old, t.young, t.since = t.young, map[uint64]entry{}, now
	}
	var sum [8]byte
	h := xxhash.New()
	for i := 0; i < most && (i+1)*block <= len(text); i++ {
		h.WriteString(text[i*block : (i+1)*block])
		at := h.Sum64()
		binary.BigEndian.PutUint64(sum[:], at)
		h.Write(sum[:]) // blocks of the same text further on have other keys
		e, known := t.young[at]
		if !known {
			e, known = t.old[at]
		}
		if !known {
			e = entry{session: session}
		}
		e.shared = e.shared || e.session != session
		t.young[at] = e
		if e.shared {
			key, tokens = max(at, 1), (i+1)*block/toEach
		}
	}
	return key, tokens
}
