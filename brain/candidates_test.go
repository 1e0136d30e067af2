package brain

import (
	"slices"
	"testing"
	"time"
)

// largeFleet makes a dispatcher of a fleet of which a choice looks at some backends only.
func newLargeFleet(t *testing.T, seed uint64) (*Dispatcher, *fakeRuntime) {
	t.Helper()
	out := &fakeRuntime{now: 100 * time.Second}
	d, err := New(testSettings(), seed, out)
	if err != nil {
		t.Fatal(err)
	}
	var lines []Endpoint
	for i := range 2000 {
		lines = append(lines, Endpoint{Backend: &Backend{ID: uint32(i + 1), Kind: i % 2, Rack: i / 6}, State: Ready, CapacityUnits: 1})
	}
	d.UpdateEndpoints(lines, true)
	return d, out
}

func ids(hosts []*Backend) (numbers []uint32) {
	for _, h := range hosts {
		numbers = append(numbers, h.ID)
	}
	return numbers
}

// Whatever each dispatcher draws, a beginning has the same two homes in all of them, and they are those that its hash comes to over all.
func TestPrefixHasTheSameAffinityCandidatesInAllDispatchers(t *testing.T) {
	first, _ := newLargeFleet(t, 1)
	second, _ := newLargeFleet(t, 2)
	for beginning := range uint64(20) {
		q := newRequest(first)
		q.PrefixKey = beginning + 1
		other := *q
		homes := first.affinityCandidates(q, RolePrefill, first.eligible(q, (*Backend).PrefillOnly))
		also := second.affinityCandidates(&other, RolePrefill, second.eligible(&other, (*Backend).PrefillOnly))
		all := Filter(first.backends, (*Backend).PrefillOnly)
		SortByHash(all, q.PrefixKey)
		if len(homes) != 2 || !slices.Equal(ids(homes), ids(also)) || !slices.Equal(ids(homes), ids(all[:2])) {
			t.Errorf("beginning %d: %v and %v, wanted %v", q.PrefixKey, ids(homes), ids(also), ids(all[:2]))
		}
	}
}

// A beginning that a tenth of the requests share has as large a part of a large fleet: by chance, about as many of those that are drawn.
func TestCommonPrefixHasManyAffinityCandidates(t *testing.T) {
	d, out := newLargeFleet(t, 1)
	for range 1000 {
		d.prefillRequests.Add(out.now, 1)
	}
	d.prefixTable.Add(9, out.now, 100)
	used := map[uint32]bool{}
	for range 100 {
		out.now += time.Millisecond
		q := newRequest(d)
		for _, h := range d.affinityCandidates(q, RolePrefill, d.eligible(q, (*Backend).PrefillOnly)) {
			used[h.ID] = true
		}
	}
	if len(used) < 130 || len(used) > 260 {
		t.Errorf("%d backends of 1,000 are homes to a tenth of the requests", len(used))
	}
}

// What a request has a reason to go to is among its candidates, however few are drawn.
func TestCandidatesIncludePrefixHoldersAndTheKVHoldersRack(t *testing.T) {
	d, out := newLargeFleet(t, 1)
	keeper := Filter(d.backends, (*Backend).Decodes)[700]
	d.recordCachedPrefix(&Attempt{Request: newRequest(d), Backend: keeper}, 0)
	reader := Filter(d.backends, (*Backend).PrefillOnly)[300]
	for range 50 {
		out.now += time.Millisecond
		q := newRequest(d)
		if !slices.Contains(d.candidates(q), keeper) {
			t.Fatal("the backend that keeps the session is not among them")
		}
		q.KVHolder = reader
		out.now += time.Millisecond
		near := Filter(d.candidates(q), func(h *Backend) bool { return h.Rack == reader.Rack && h.Decodes() })
		if len(near) != 3 {
			t.Fatalf("%d backends of the state's rack are among them", len(near))
		}
		if n := len(d.candidates(q)); n > 400 || n < sampleSize {
			t.Fatalf("%d candidates", n)
		}
	}
}

// Over many requests each backend of a large fleet has its turn.
func TestMostBackendsOfALargeFleetAreUsed(t *testing.T) {
	d, out := newLargeFleet(t, 1)
	used := map[*Backend]int{}
	const requests = 3000
	for number := range requests {
		out.now += 10 * time.Millisecond
		q := newRequest(d)
		q.SessionKey, q.PrefixKey = 0, uint64(number+1)
		q.KVHolder = Filter(d.backends, (*Backend).PrefillOnly)[number%1000]
		d.pickDecode(q)
		trip := out.sent[len(out.sent)-1]
		used[trip.Backend]++
		d.FirstToken(trip, time.Millisecond)
		d.AttemptDone(trip, Result{Outcome: Served, Finished: true})
	}
	most := 0
	for _, n := range used {
		most = max(most, n)
	}
	if len(used) < 600 || most > 60 {
		t.Errorf("%d of 1,000 backends are used, one of them %d times", len(used), most)
	}
}

// A fleet that shrinks and grows over the bound keeps its order and loses nobody.
func TestFleetShrinksAndGrowsAcrossFullScanLimit(t *testing.T) {
	d, _ := newLargeFleet(t, 1)
	var lines []Endpoint
	for _, h := range d.backends[100:] {
		lines = append(lines, Endpoint{Backend: h, State: Removed})
	}
	d.UpdateEndpoints(lines, false)
	if len(d.backends) != 100 || d.isLarge() || len(d.byRole[RolePrefill])+len(d.byRole[RoleDecode]) != 100 {
		t.Fatalf("%d backends are left, %d and %d by role", len(d.backends), len(d.byRole[RolePrefill]), len(d.byRole[RoleDecode]))
	}
	for i := range 100 {
		d.UpdateEndpoints([]Endpoint{{Backend: &Backend{ID: uint32(5000 + i), Kind: i % 2, Rack: 1000 + i/6}, State: Ready, CapacityUnits: 1}}, false)
	}
	if !d.isLarge() || !slices.IsSortedFunc(d.backends, func(a, b *Backend) int { return int(a.order>>1) - int(b.order>>1) }) {
		t.Errorf("%d backends, in order %v", len(d.backends), d.sorted)
	}
	if got := len(d.byRole[RolePrefill]) + len(d.byRole[RoleDecode]); got != 200 {
		t.Errorf("%d backends by role", got)
	}
}

// A state that finds no backend to take it starts its request over in the same moment: its homes are then its own, not those of whoever
// was looked at before.
func TestRestartedRequestHasItsOwnAffinityCandidates(t *testing.T) {
	d, _ := newLargeFleet(t, 1)
	other := newRequest(d)
	other.PrefixKey = 77
	d.candidates(other)
	q := newRequest(d)
	q.KVHolder = Filter(d.backends, (*Backend).PrefillOnly)[0]
	d.candidates(q)
	q.KVHolder = nil
	all := Filter(d.backends, (*Backend).PrefillOnly)
	SortByHash(all, q.PrefixKey)
	if got := d.affinityCandidates(q, RolePrefill, d.eligible(q, (*Backend).PrefillOnly)); !slices.Equal(ids(got), ids(all[:2])) {
		t.Errorf("its homes are %v, wanted %v", ids(got), ids(all[:2]))
	}
}

// A beginning that all requests share is at home everywhere.
func TestPrefixOfAllRequestsHasAllAffinityCandidates(t *testing.T) {
	d, out := newLargeFleet(t, 1)
	d.prefillRequests.Add(out.now, 1e6)
	d.prefixTable.Add(9, out.now, 1e6)
	q := newRequest(d)
	able := d.eligible(q, (*Backend).PrefillOnly)
	if homes := d.affinityCandidates(q, RolePrefill, slices.Clone(able)); len(homes) != len(able) {
		t.Errorf("%d of %d backends that were looked at are homes", len(homes), len(able))
	}
}
