package stages

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"sloetrestle/internal/kserve"
)

// Boxes know a repeat of a deduplicated question by its mark. A client need not give one: its trips have one all the same, and
// each question its own.
func TestEveryTripOfAQuestionHasItsMark(t *testing.T) {
	var mu sync.Mutex
	marks := map[string]string{}
	s := open(t, func(s *site) {
		s.each("writer", func(b *box) {
			b.script = func(c *call) {
				c.strike()
				mu.Lock()
				defer mu.Unlock()
				if had, ok := marks[c.e.RequestKey()]; c.e.DedupKey == "" || ok && had != c.e.DedupKey {
					t.Errorf("trip %d of %s has the mark %q, another had %q", c.e.Attempt, c.e.RequestKey(), c.e.DedupKey, had)
				}
				marks[c.e.RequestKey()] = c.e.DedupKey
				c.told(http.StatusInternalServerError, kserve.OutcomeFailed)
			}
		})
	})
	for range 3 {
		resp, err := http.Post("http://"+s.base+"/v2/models/lodge/generate", "application/json", strings.NewReader(`{"text_input":"x","parameters":{"grade":"deduplicated","max_tokens":8}}`))
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	of := map[string]bool{}
	for _, m := range marks {
		of[m] = true
	}
	if len(of) != 3 || s.struck.Load() < 4 {
		t.Errorf("%d marks for 3 questions, %d trips", len(of), s.struck.Load())
	}
}
