// Package prefixtable finds the longest prefix of a prompt that other sessions have sent too, for clients that do not
// name
// a shared prefix themselves. It hashes prompts in blocks, remembers a bounded number of them for a limited time, and
// does no I/O. Start with Table.SharedPrefix.
package prefixtable

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is some 256 tokens: caching a shorter prefix saves a prefill backend too little work.
	blockBytes = 1024
	// maxBlocks bounds the blocks of one prompt that are hashed.
	maxBlocks = 64
	// generationBlocks bounds each of the two generations; a full table takes a few MiB.
	generationBlocks = 1 << 16
	// generationTime is how long a generation is the current one. It stays for one generation more, then is dropped.
	generationTime = 60 * time.Second
	// bytesPerToken is a rule of thumb for English text.
	bytesPerToken = 4
)

// EstimateTokens estimates the length of a text in tokens.
func EstimateTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// Table remembers hashes of prompt blocks in two generations, the current and the previous one. The zero value is
// ready to use. It is not safe for concurrent use.
type Table struct {
	current, previous map[uint64]entry
	rotatedAt         time.Duration // when the current generation began
}

// entry is one block together with all the text before it.
type entry struct {
	session uint64 // the session that sent it first
	shared  bool   // another session has sent it too
}

// SharedPrefix records a prompt and returns a key for its longest prefix that another session has sent too, with the
// prefix's length in tokens; 0, 0 if there is none. now is the time on the caller's clock.
func (t *Table) SharedPrefix(now time.Duration, session uint64, text string) (key uint64, tokens int) {
	if t.current == nil || now-t.rotatedAt >= generationTime || len(t.current) >= generationBlocks {
		t.previous, t.current, t.rotatedAt = t.current, map[uint64]entry{}, now
	}
	var sum [8]byte
	hash := xxhash.New()
	for i := 0; i < maxBlocks && (i+1)*blockBytes <= len(text); i++ {
		hash.WriteString(text[i*blockBytes : (i+1)*blockBytes])
		blockKey := hash.Sum64()
		binary.BigEndian.PutUint64(sum[:], blockKey)
		hash.Write(sum[:]) // the same block further on in a text gets another key
		block, known := t.current[blockKey]
		if !known {
			block, known = t.previous[blockKey]
		}
		if !known {
			block = entry{session: session}
		}
		block.shared = block.shared || block.session != session
		t.current[blockKey] = block
		if block.shared {
			key, tokens = max(blockKey, 1), (i+1)*blockBytes/bytesPerToken
		}
	}
	return key, tokens
}
