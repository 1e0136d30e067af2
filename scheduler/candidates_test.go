package scheduler

import (
	"slices"
	"testing"
	"time"
)

// newLargeFleet returns a dispatcher with 2,000 backends, of which a decision considers only some.
func newLargeFleet(t *testing.T, seed uint64) (*Dispatcher, *fakeRuntime) {
	t.Helper()
	runtime := &fakeRuntime{now: 100 * time.Second}
	d, err := New(testSettings(), seed, runtime)
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []Endpoint
	for i := range 2000 {
		endpoints = append(endpoints, Endpoint{Backend: &Backend{ID: uint32(i + 1), Kind: i % 2, Rack: i / 6}, State: Ready,
			CapacityUnits: 1})
	}
	d.UpdateEndpoints(endpoints, true)
	return d, runtime
}

func ids(backends []*Backend) (result []uint32) {
	for _, backend := range backends {
		result = append(result, backend.ID)
	}
	return result
}

// All dispatchers, whatever they sample, have the same two affinity candidates for a prefix: the first ones by
// hash over all backends.
func TestPrefixHasTheSameAffinityCandidatesInAllDispatchers(t *testing.T) {
	first, _ := newLargeFleet(t, 1)
	second, _ := newLargeFleet(t, 2)
	for prefix := range uint64(20) {
		req := newRequest(first)
		req.PrefixKey = prefix + 1
		other := *req
		candidates := first.affinityCandidates(req, RolePrefill, first.eligible(req, (*Backend).PrefillOnly))
		others := second.affinityCandidates(&other, RolePrefill, second.eligible(&other, (*Backend).PrefillOnly))
		ranked := Filter(first.backends, (*Backend).PrefillOnly)
		SortByHash(ranked, req.PrefixKey)
		if len(candidates) != 2 || !slices.Equal(ids(candidates), ids(others)) ||
			!slices.Equal(ids(candidates), ids(ranked[:2])) {
			t.Errorf("prefix %d: %v and %v, wanted %v", req.PrefixKey, ids(candidates), ids(others), ids(ranked[:2]))
		}
	}
}

// A prefix of a tenth of all requests has a matching share of a large fleet as affinity candidates: by chance,
// about that share of the sampled backends.
func TestCommonPrefixHasManyAffinityCandidates(t *testing.T) {
	d, runtime := newLargeFleet(t, 1)
	for range 1000 {
		d.prefillRequests.Add(runtime.now, 1)
	}
	d.prefixTable.Add(9, runtime.now, 100)
	used := map[uint32]bool{}
	for range 100 {
		runtime.now += time.Millisecond
		req := newRequest(d)
		for _, backend := range d.affinityCandidates(req, RolePrefill, d.eligible(req, (*Backend).PrefillOnly)) {
			used[backend.ID] = true
		}
	}
	if len(used) < 130 || len(used) > 260 {
		t.Errorf("a prefix of a tenth of the requests has %d affinity candidates of 1,000", len(used))
	}
}

// Backends that a request has a reason to go to are among its candidates, however few are sampled.
func TestCandidatesIncludePrefixHoldersAndTheKVHoldersRack(t *testing.T) {
	dispatcher, runtime := newLargeFleet(t, 1)
	holder := Filter(dispatcher.backends, (*Backend).Decodes)[700]
	dispatcher.recordCachedPrefix(&Attempt{Request: newRequest(dispatcher), Backend: holder}, 0)
	prefillBackend := Filter(dispatcher.backends, (*Backend).PrefillOnly)[300]
	for range 50 {
		runtime.now += time.Millisecond
		req := newRequest(dispatcher)
		if !slices.Contains(dispatcher.candidates(req), holder) {
			t.Fatal("the backend that has the session cached is not a candidate")
		}
		req.KVHolder = prefillBackend
		runtime.now += time.Millisecond
		inRack := Filter(dispatcher.candidates(req), func(b *Backend) bool {
			return b.Rack == prefillBackend.Rack &&
				b.Decodes()
		})
		if len(inRack) != 3 {
			t.Fatalf("%d backends of the KV holder's rack are candidates", len(inRack))
		}
		if count := len(dispatcher.candidates(req)); count > 400 || count < sampleSize {
			t.Fatalf("%d candidates", count)
		}
	}
}

// Over many requests most backends of a large fleet are used, and none too often.
func TestMostBackendsOfALargeFleetAreUsed(t *testing.T) {
	dispatcher, runtime := newLargeFleet(t, 1)
	used := map[*Backend]int{}
	const requests = 3000
	for number := range requests {
		runtime.now += 10 * time.Millisecond
		req := newRequest(dispatcher)
		req.SessionKey, req.PrefixKey = 0, uint64(number+1)
		req.KVHolder = Filter(dispatcher.backends, (*Backend).PrefillOnly)[number%1000]
		dispatcher.pickDecode(req)
		attempt := runtime.sent[len(runtime.sent)-1]
		used[attempt.Backend]++
		dispatcher.FirstToken(attempt, time.Millisecond)
		dispatcher.AttemptDone(attempt, Result{Outcome: Served, Finished: true})
	}
	maxUses := 0
	for _, uses := range used {
		maxUses = max(maxUses, uses)
	}
	if len(used) < 600 || maxUses > 60 {
		t.Errorf("%d of 1,000 backends are used, one of them %d times", len(used), maxUses)
	}
}

// A fleet that shrinks and grows across fullScanLimit keeps its order and all of its backends.
func TestFleetShrinksAndGrowsAcrossFullScanLimit(t *testing.T) {
	dispatcher, _ := newLargeFleet(t, 1)
	var endpoints []Endpoint
	for _, backend := range dispatcher.backends[100:] {
		endpoints = append(endpoints, Endpoint{Backend: backend, State: Removed})
	}
	dispatcher.UpdateEndpoints(endpoints, false)
	if len(dispatcher.backends) != 100 || dispatcher.isLarge() ||
		len(dispatcher.byRole[RolePrefill])+len(dispatcher.byRole[RoleDecode]) != 100 {
		t.Fatalf("%d backends remain, %d and %d by role", len(dispatcher.backends), len(dispatcher.byRole[RolePrefill]),
			len(dispatcher.byRole[RoleDecode]))
	}
	for i := range 100 {
		dispatcher.UpdateEndpoints([]Endpoint{{Backend: &Backend{ID: uint32(5000 + i), Kind: i % 2, Rack: 1000 + i/6},
			State:         Ready,
			CapacityUnits: 1}}, false)
	}
	if !dispatcher.isLarge() || !slices.IsSortedFunc(dispatcher.backends,
		func(a, b *Backend) int { return int(a.order>>1) - int(b.order>>1) }) {
		t.Errorf("%d backends, in order %v", len(dispatcher.backends), dispatcher.sorted)
	}
	if got := len(dispatcher.byRole[RolePrefill]) + len(dispatcher.byRole[RoleDecode]); got != 200 {
		t.Errorf("%d backends by role", got)
	}
}

// A request whose KV cache finds no decode backend starts over in the same instant. It then has its own
// affinity candidates, not those of the request considered before.
func TestRestartedRequestHasItsOwnAffinityCandidates(t *testing.T) {
	d, _ := newLargeFleet(t, 1)
	other := newRequest(d)
	other.PrefixKey = 77
	d.candidates(other)
	req := newRequest(d)
	req.KVHolder = Filter(d.backends, (*Backend).PrefillOnly)[0]
	d.candidates(req)
	req.KVHolder = nil
	ranked := Filter(d.backends, (*Backend).PrefillOnly)
	SortByHash(ranked, req.PrefixKey)
	if got := d.affinityCandidates(req, RolePrefill, d.eligible(req, (*Backend).PrefillOnly)); !slices.Equal(
		ids(got), ids(ranked[:2])) {
		t.Errorf("its affinity candidates are %v, wanted %v", ids(got), ids(ranked[:2]))
	}
}

// A prefix that all requests share has all backends as affinity candidates.
func TestPrefixOfAllRequestsHasAllAffinityCandidates(t *testing.T) {
	d, runtime := newLargeFleet(t, 1)
	d.prefillRequests.Add(runtime.now, 1e6)
	d.prefixTable.Add(9, runtime.now, 1e6)
	req := newRequest(d)
	eligible := d.eligible(req, (*Backend).PrefillOnly)
	if candidates := d.affinityCandidates(req, RolePrefill, slices.Clone(eligible)); len(candidates) != len(eligible) {
		t.Errorf("%d of %d eligible backends are affinity candidates", len(candidates), len(eligible))
	}
}
