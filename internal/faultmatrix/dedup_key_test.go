package faultmatrix

import (
	"net/http"
	"sync"
	"testing"

	"sloetrestle/internal/kserve"
)

// Backends recognise a repeat of a deduplicated request by its deduplication key. Where the client gives none, the
// attempts must still carry one, and each request its own.
func TestEveryAttemptCarriesItsRequestsDedupKey(t *testing.T) {
	var mu sync.Mutex
	keys := map[string]string{}
	s := startCluster(t, func(s *testCluster) {
		s.eachBackend("writer", func(b *testBackend) {
			b.onAttempt = func(c *call) {
				c.countFault()
				mu.Lock()
				defer mu.Unlock()
				if previous, ok := keys[c.params.RequestKey()]; c.params.DedupKey == "" || ok && previous != c.params.DedupKey {
					t.Errorf("attempt %d of %s has the deduplication key %q, an earlier one %q",
						c.params.Attempt, c.params.RequestKey(), c.params.DedupKey, previous)
				}
				keys[c.params.RequestKey()] = c.params.DedupKey
				c.respond(http.StatusInternalServerError, kserve.OutcomeFailed)
			}
		})
	})
	for range 3 {
		s.post("generate", `{"text_input":"x","parameters":{"grade":"deduplicated","max_tokens":8}}`)
	}
	distinct := map[string]bool{}
	for _, key := range keys {
		distinct[key] = true
	}
	if len(distinct) != 3 || s.faultCount.Load() < 4 {
		t.Errorf("%d deduplication keys for 3 requests, %d attempts, want 3 and at least 4",
			len(distinct), s.faultCount.Load())
	}
}
