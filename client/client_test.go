package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"sloetrestle/internal/kserve"
)

// script answers one try after the other.
type script struct {
	mu    sync.Mutex
	steps []func(w http.ResponseWriter)
	asked []kserve.Request
	at    []time.Time
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ask, err := kserve.ReadGenerateRequest(r.Body)
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	s.mu.Lock()
	s.asked, s.at = append(s.asked, ask), append(s.at, time.Now())
	step := s.steps[min(len(s.asked)-1, len(s.steps)-1)]
	s.mu.Unlock()
	step(w)
}

func declined(ms int64, ticket string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		kserve.WriteFinalResponse(w, kserve.FinalResponse{Outcome: kserve.Rejected, SafeToRetry: true, RetryAfterMs: ms, RetryTicket: ticket})
	}
}

func forfeited(w http.ResponseWriter) {
	kserve.WriteFinalResponse(w, kserve.FinalResponse{Outcome: kserve.Failed})
}

func answered(w http.ResponseWriter) {
	kserve.WriteEvent(w, "", kserve.Token{Text: "yes"})
	kserve.WriteEvent(w, "end", kserve.FinalResponse{Outcome: kserve.Served})
}

func broken(w http.ResponseWriter) {
	kserve.WriteEvent(w, "", kserve.Token{Text: "y"})
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func TestTheAdviceIsFollowedAndHarmIsNotDone(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []func(http.ResponseWriter)
		safe  bool
		tries int
		final string
	}{
		{"declined, then answered", []func(http.ResponseWriter){declined(150, "seat-77"), answered}, false, 2, kserve.Served},
		{"forfeited, not safe", []func(http.ResponseWriter){forfeited, answered}, false, 1, kserve.Failed},
		{"forfeited, safe", []func(http.ResponseWriter){forfeited, answered}, true, 2, kserve.Served},
		{"broken mid-stream", []func(http.ResponseWriter){broken, answered}, true, 1, ""},
		{"declined for ever", []func(http.ResponseWriter){declined(20, "seat-5")}, true, 5, kserve.Rejected},
		{"no time to come back", []func(http.ResponseWriter){declined(60_000, "seat-5")}, true, 1, kserve.Rejected},
		{"senseless", []func(http.ResponseWriter){func(w http.ResponseWriter) { kserve.WriteError(w, &kserve.RequestError{Status: 400, Message: "no"}) }}, true, 1, ""},
	} {
		s := &script{steps: c.steps}
		server := httptest.NewServer(s)
		text := ""
		a, err := (&Client{BaseURLs: []string{server.URL}, MinBackoff: 10 * time.Millisecond}).Do(context.Background(),
			Request{Prompt: "free?", Timeout: 2 * time.Second, Idempotent: c.safe}, func(p string) { text += p })
		server.Close()
		if a.Attempts != c.tries || a.Outcome != c.final || (err == nil) != (c.final == kserve.Served) {
			t.Errorf("%s: %+v, %v", c.name, a, err)
		}
		if c.name == "declined, then answered" {
			if wait := s.at[1].Sub(s.at[0]); wait < 150*time.Millisecond || s.asked[1].RetryTicket != "seat-77" || !s.asked[1].IsRetry || text != "yes" {
				t.Errorf("came back after %v with ticket %q, again %v, and got %q", wait, s.asked[1].RetryTicket, s.asked[1].IsRetry, text)
			}
			raw, _ := json.Marshal(s.asked[1].Timeout)
			if s.asked[1].Timeout > 1900*time.Millisecond {
				t.Errorf("said it had %s left", raw)
			}
		}
	}
}

func TestWhereNobodyListensAnotherIsAsked(t *testing.T) {
	s := &script{steps: []func(http.ResponseWriter){answered}}
	server := httptest.NewServer(s)
	defer server.Close()
	a, err := (&Client{BaseURLs: []string{"http://127.0.0.1:1", server.URL}, MinBackoff: time.Millisecond}).Do(context.Background(),
		Request{Prompt: "free?", Timeout: 2 * time.Second}, func(string) {})
	if err != nil || a.Attempts != 2 {
		t.Errorf("%+v, %v", a, err)
	}
}
