package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/kserve"
)

// Box is a sound model host that speaks KServe v2: it reads and answers requests whole, answers with as many tokens as
// were asked for, and counts what each attempt cost by the ledger's page.
type Box struct {
	Name, Address string
	TokenTime     time.Duration
	OnAnswer      func(attempt kserve.AttemptParams) // called when an answer has ended

	mu     sync.Mutex
	counts map[string][]kserve.UsageRecord // by start of a dispatcher
	forgot map[string]uint64
	open   map[string]int
}

// StartBox starts a model host on a loopback address.
func StartBox(name string, tokenTime time.Duration, onAnswer func(kserve.AttemptParams)) *Box {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	box := &Box{
		Name: name, Address: listener.Addr().String(), TokenTime: tokenTime, OnAnswer: onAnswer,
		counts: map[string][]kserve.UsageRecord{}, forgot: map[string]uint64{}, open: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2", func(w http.ResponseWriter, _ *http.Request) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{"name": name})
	})
	mux.HandleFunc("POST /v2/models/lodge/generate_stream", box.answer)
	mux.HandleFunc("POST /v2/models/lodge/release", func(w http.ResponseWriter, _ *http.Request) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{})
	})
	mux.HandleFunc("POST /v2/models/lodge/counts", box.tell)
	go http.Serve(listener, mux)
	return box
}

// answer runs one attempt: the prompt is read anew, and each token of the answer is one event.
func (b *Box) answer(w http.ResponseWriter, r *http.Request) {
	attempt, _, err := kserve.ReadAttemptParams(r.Body)
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	b.mu.Lock()
	b.open[attempt.DispatcherEpoch]++
	b.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	made, whole := 0, true
	for ; made < attempt.MaxTokens; made++ {
		time.Sleep(b.TokenTime)
		if r.Context().Err() != nil ||
			kserve.WriteEvent(w, "", kserve.Token{Model: "lodge", Text: " bed"}) != nil ||
			http.NewResponseController(w).Flush() != nil {
			whole = false
			break
		}
	}
	end := kserve.OutcomeCompleted
	if !whole {
		end = "cancelled"
	}
	b.mu.Lock()
	epoch := attempt.DispatcherEpoch
	b.open[epoch]--
	count := kserve.UsageRecord{
		Number: b.forgot[epoch] + uint64(len(b.counts[epoch])) + 1, RequestKey: attempt.RequestKey(),
		Attempt: attempt.Attempt, DedupKey: attempt.DedupKey, Phase: attempt.Phase, Tenant: attempt.Tenant,
		Class: attempt.Class, PrefillTokens: attempt.PromptTokens, OutputTokens: made, EndReason: end,
	}
	b.counts[epoch] = append(b.counts[epoch], count)
	b.mu.Unlock()
	if whole {
		b.OnAnswer(attempt)
		kserve.WriteEvent(w, "end", kserve.AttemptResult{Outcome: end, Load: []float64{0.1, 0, 0.1}, Usage: &count})
	}
}

// tell answers a dispatcher's question for counts, and forgets those that it has.
func (b *Box) tell(w http.ResponseWriter, r *http.Request) {
	query, err := kserve.ReadUsageQuery(r.Body)
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	epoch := query.DispatcherEpoch
	for len(b.counts[epoch]) > 0 && b.counts[epoch][0].Number <= query.After {
		b.forgot[epoch] = b.counts[epoch][0].Number
		b.counts[epoch] = b.counts[epoch][1:]
	}
	records := b.counts[epoch][:min(len(b.counts[epoch]), kserve.MaxUsageRecords)]
	kserve.WriteJSON(w, http.StatusOK, kserve.UsageReport{
		Records: append([]kserve.UsageRecord{}, records...), More: len(records) < len(b.counts[epoch]),
		InFlight: b.open[epoch], ForgottenThrough: b.forgot[epoch],
	})
}

// StartList starts the list of model hosts and returns its address: the whole list once, then a heartbeat each second.
func StartList(boxes ...*Box) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	update := endpointlist.Update{Version: 1, Full: true}
	for _, box := range boxes {
		update.Endpoints = append(update.Endpoints, endpointlist.Endpoint{
			Name: box.Name, Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: box.Address}}, Kind: "mixed",
			Zone: "here", Rack: "rack-1", State: endpointlist.Ready, Units: 1, Incarnation: 1, UptimeMs: -1,
		})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/boxes/watch", func(w http.ResponseWriter, r *http.Request) {
		out := json.NewEncoder(w)
		for next := update; r.Context().Err() == nil; time.Sleep(time.Second) {
			if out.Encode(next) != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			next = endpointlist.Update{Version: 1, Base: 1}
		}
	})
	go http.Serve(listener, mux)
	return listener.Addr().String()
}
