package brain

import (
	"slices"
	"testing"
	"time"
)

// newLargeFleet returns a dispatcher with 2,000 backends, of which a decision considers only some.
func largeFleet(t *testing.T, seed uint64) (*Dispatcher, *door) {
	t.Helper()
	out := &door{now: 100 * time.Second}
	d, err := New(facts(), seed, out)
	if err != nil {
		t.Fatal(err)
	}
	var lines []Listing
	for i := range 2000 {
		lines = append(lines, Listing{Host: &Backend{ID: uint32(i + 1), Kind: i % 2, Rack: i / 6}, Standing: Ready, Units: 1})
	}
	d.Listed(lines, true)
	return d, out
}

func ids(hosts []*Backend) (numbers []uint32) {
	for _, h := range hosts {
		numbers = append(numbers, h.ID)
	}
	return numbers
}

// All dispatchers, whatever they sample, have the same two affinity candidates for a prefix: the first ones by
// hash over all backends.
func TestABeginningHasTheSameHomesInALargeFleet(t *testing.T) {
	first, _ := largeFleet(t, 1)
	second, _ := largeFleet(t, 2)
	for beginning := range uint64(20) {
		q := ask(first)
		q.Shared = beginning + 1
		other := *q
		homes := first.homes(q, Reads, first.able(q, (*Backend).ReadsOnly))
		also := second.homes(&other, Reads, second.able(&other, (*Backend).ReadsOnly))
		all := Only(first.backends, (*Backend).ReadsOnly)
		Order(all, q.Shared)
		if len(homes) != 2 || !slices.Equal(ids(homes), ids(also)) || !slices.Equal(ids(homes), ids(all[:2])) {
			t.Errorf("beginning %d: %v and %v, wanted %v", q.Shared, ids(homes), ids(also), ids(all[:2]))
		}
	}
}

// A prefix of a tenth of all requests has a matching share of a large fleet as affinity candidates: by chance,
// about that share of the sampled backends.
func TestACommonBeginningHasManyHomesInALargeFleet(t *testing.T) {
	d, out := largeFleet(t, 1)
	for range 1000 {
		d.asked.Add(out.now, 1)
	}
	d.begins.Add(9, out.now, 100)
	used := map[uint32]bool{}
	for range 100 {
		out.now += time.Millisecond
		q := ask(d)
		for _, h := range d.homes(q, Reads, d.able(q, (*Backend).ReadsOnly)) {
			used[h.ID] = true
		}
	}
	if len(used) < 130 || len(used) > 260 {
		t.Errorf("%d backends of 1,000 are homes to a tenth of the requests", len(used))
	}
}

// Backends that a request has a reason to go to are among its candidates, however few are sampled.
func TestCandidatesOfALargeFleetHaveWhatSpeaksForThem(t *testing.T) {
	d, out := largeFleet(t, 1)
	keeper := Only(d.backends, (*Backend).Answers)[700]
	d.remember(&Attempt{Request: ask(d), Backend: keeper}, 0)
	reader := Only(d.backends, (*Backend).ReadsOnly)[300]
	for range 50 {
		out.now += time.Millisecond
		q := ask(d)
		if !slices.Contains(d.candidates(q), keeper) {
			t.Fatal("the backend that keeps the session is not among them")
		}
		q.State = reader
		out.now += time.Millisecond
		near := Only(d.candidates(q), func(h *Backend) bool { return h.Rack == reader.Rack && h.Answers() })
		if len(near) != 3 {
			t.Fatalf("%d backends of the state's rack are among them", len(near))
		}
		if n := len(d.candidates(q)); n > 400 || n < stretch {
			t.Fatalf("%d candidates", n)
		}
	}
}

// Over many requests most backends of a large fleet are used, and none too often.
func TestEveryBackendOfALargeFleetIsUsed(t *testing.T) {
	d, out := largeFleet(t, 1)
	used := map[*Backend]int{}
	const requests = 3000
	for number := range requests {
		out.now += 10 * time.Millisecond
		q := ask(d)
		q.Session, q.Shared = 0, uint64(number+1)
		q.State = Only(d.backends, (*Backend).ReadsOnly)[number%1000]
		d.pickDecode(q)
		trip := out.sent[len(out.sent)-1]
		used[trip.Backend]++
		d.Began(trip, time.Millisecond)
		d.Ended(trip, Result{Outcome: Served, Over: true})
	}
	most := 0
	for _, n := range used {
		most = max(most, n)
	}
	if len(used) < 600 || most > 60 {
		t.Errorf("%d of 1,000 backends are used, one of them %d times", len(used), most)
	}
}

// A fleet that shrinks and grows across fullScanLimit keeps its order and all of its backends.
func TestAFleetGrowsAndShrinksOverTheBound(t *testing.T) {
	d, _ := largeFleet(t, 1)
	var lines []Listing
	for _, h := range d.backends[100:] {
		lines = append(lines, Listing{Host: h, Standing: Gone})
	}
	d.Listed(lines, false)
	if len(d.backends) != 100 || d.large() || len(d.byRole[Reads])+len(d.byRole[Writes]) != 100 {
		t.Fatalf("%d backends are left, %d and %d by role", len(d.backends), len(d.byRole[Reads]), len(d.byRole[Writes]))
	}
	for i := range 100 {
		d.Listed([]Listing{{Host: &Backend{ID: uint32(5000 + i), Kind: i % 2, Rack: 1000 + i/6}, Standing: Ready, Units: 1}}, false)
	}
	if !d.large() || !slices.IsSortedFunc(d.backends, func(a, b *Backend) int { return int(a.order>>1) - int(b.order>>1) }) {
		t.Errorf("%d backends, in order %v", len(d.backends), d.ordered)
	}
	if got := len(d.byRole[Reads]) + len(d.byRole[Writes]); got != 200 {
		t.Errorf("%d backends by role", got)
	}
}

// A request whose KV cache finds no decode backend starts over in the same instant. It then has its own
// affinity candidates, not those of the request considered before.
func TestARequestThatStartsOverHasItsOwnHomes(t *testing.T) {
	d, _ := largeFleet(t, 1)
	other := ask(d)
	other.Shared = 77
	d.candidates(other)
	q := ask(d)
	q.State = Only(d.backends, (*Backend).ReadsOnly)[0]
	d.candidates(q)
	q.State = nil
	all := Only(d.backends, (*Backend).ReadsOnly)
	Order(all, q.Shared)
	if got := d.homes(q, Reads, d.able(q, (*Backend).ReadsOnly)); !slices.Equal(ids(got), ids(all[:2])) {
		t.Errorf("its homes are %v, wanted %v", ids(got), ids(all[:2]))
	}
}

// A prefix that all requests share has all backends as affinity candidates.
func TestABeginningOfAllRequestsIsAtHomeEverywhere(t *testing.T) {
	d, out := largeFleet(t, 1)
	d.asked.Add(out.now, 1e6)
	d.begins.Add(9, out.now, 1e6)
	q := ask(d)
	able := d.able(q, (*Backend).ReadsOnly)
	if homes := d.homes(q, Reads, slices.Clone(able)); len(homes) != len(able) {
		t.Errorf("%d of %d backends that were looked at are homes", len(homes), len(able))
	}
}
