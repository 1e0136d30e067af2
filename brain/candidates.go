package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Candidates: which backends are considered for a request. In a small fleet these are all backends. In a fleet
// of thousands, looking at all of them would delay the event loop and all timers due meanwhile, so the
// candidates are the backends that the request has a reason to go to and a random sample of the rest. The best
// of a sample of some hundred is about as good as the best of all.

const (
	// fullScanLimit is the fleet size up to which all backends are considered.
	smallFleet = 128
	// sampleSize is the number of backends sampled in a larger fleet.
	stretch = 128
	// In a large fleet maxAffinity is how many affinity candidates of a prefix are considered, and affinityRacks
	// is for how many of them the backends of their rack are considered too.
	homesMost = 16
	homeRacks = 4
	// maxPrefixHolders is how many backends are remembered to have cached a prefix or session.
	keepersMost = 8
	// rankSpace is the number of distinct ranks.
	ranks = 1 << 64
	// capacityComparisonInterval is the shortest time between comparisons of capacities in a large fleet; each
	// comparison visits all backends.
	sizesAge = 250 * time.Millisecond
)

// candidateSet is the candidates for one request at one time. They are reused while nothing of it changes.
type candidateSet struct {
	request  *Request
	at       time.Duration
	attempts int      // number of the request's attempts
	state    *Backend // holder of the request's KV cache
	hosts    []*Backend
	homes    [3][]*Backend // affinity candidates of the request's prefix, by role
	mark     uint64        // stored in the backends of the set to avoid duplicates
}

// roleMember is a backend with its id beside it, as ranking reads the ids of all backends of a role.
type listedHost struct {
	id   uint64
	host *Backend
}

// rankedBackend is a backend with its rank for a key.
type ranked struct {
	host *Backend
	rank uint64
}

// isLarge reports whether the fleet is too large to consider all of it for each request.
func (d *Dispatcher) large() bool { return len(d.backends) > smallFleet }

// candidates returns the backends to consider for a request.
func (d *Dispatcher) candidates(q *Request) []*Backend {
	if !d.large() {
		return d.backends
	}
	c, now := &d.chosenFrom, d.runtime.Now()
	if c.request == q && c.at == now && c.attempts == len(q.Attempts) && c.state == q.State {
		return c.hosts
	}
	c.request, c.at, c.attempts, c.state, c.hosts = q, now, len(q.Attempts), q.State, c.hosts[:0]
	c.mark++
	first := int(d.rng.Float() * float64(len(d.backends)))
	for i := range stretch {
		c.add(d.backends[(first+i)%len(d.backends)])
	}
	if q.State != nil {
		d.addRack(c, q.State) // only decode remains
		return c.hosts
	}
	for _, role := range []Role{Reads, Both} {
		c.homes[role] = d.firstHomes(cmp.Or(q.Shared, q.Session), role)
		for i, home := range c.homes[role] {
			c.add(home)
			if i < homeRacks {
				d.addRack(c, home)
			}
		}
	}
	for _, key := range []uint64{q.Session, q.Shared} {
		for _, h := range d.keepers[key] {
			c.add(h)
		}
	}
	return c.hosts
}

// add adds a backend unless it is in the set.
func (c *candidateSet) add(h *Backend) {
	if h.mark != c.mark {
		h.mark = c.mark
		c.hosts = append(c.hosts, h)
	}
}

// addRack adds the decode backends in a backend's rack, to which its KV cache can be moved at the lowest cost.
func (d *Dispatcher) addRack(c *candidateSet, h *Backend) {
	for _, o := range d.racks[h.Rack] {
		c.add(o)
	}
}

// affinityOrder returns the ready backends of a role by their rank for the request's prefix, which is the same
// in every dispatcher: all of a small fleet, and the first ones of a large fleet.
func (d *Dispatcher) homesInOrder(q *Request, role Role) []*Backend {
	if !d.large() {
		all := Only(d.backends, func(h *Backend) bool { return h.Role == role && h.Standing == Ready })
		Order(all, cmp.Or(q.Shared, q.Session))
		return all
	}
	d.candidates(q)
	return slices.Clone(d.chosenFrom.homes[role])
}

// topRanked returns the first ready backends of a role by rank for a key (rendezvous hashing).
func (d *Dispatcher) firstHomes(key uint64, role Role) []*Backend {
	first := d.firstRanks[:0]
	for _, l := range d.byRole[role] {
		rank := Mix(key, l.id)
		if len(first) == homesMost && rank >= first[homesMost-1].rank || l.host.Standing != Ready {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, rank, func(r ranked, rank uint64) int { return cmp.Compare(r.rank, rank) })
		if len(first) == homesMost {
			first = first[:homesMost-1]
		}
		first = slices.Insert(first, i, ranked{l.host, rank})
	}
	d.firstRanks = first
	homes := make([]*Backend, len(first))
	for i, r := range first {
		homes[i] = r.host
	}
	return homes
}

// affinityCount is the number of affinity candidates of a prefix: two, or more in proportion to its share of
// requests.
func (d *Dispatcher) homesWanted(key uint64, role Role, homes []*Backend) int {
	share := d.begins.Sum(key, d.runtime.Now()) / (d.asked.Sum(d.runtime.Now()) + 10)
	count := len(homes)
	if d.large() {
		count = len(d.byRole[role])
	}
	return max(2, int(2*share*float64(count)))
}

// extendAffinity handles a prefix of a large fleet that has more affinity candidates than were ranked: it adds
// those among the eligible backends. A backend is one of them if its rank is below the matching share of the
// rank space.
func (d *Dispatcher) withMoreHomes(homes []*Backend, key uint64, role Role, wanted int, able []*Backend) []*Backend {
	if !d.large() || wanted <= homesMost {
		return homes
	}
	share := float64(wanted) / float64(len(d.byRole[role]))
	for _, h := range able {
		if float64(Mix(key, uint64(h.ID))) < share*ranks && !slices.Contains(homes, h) {
			homes = append(homes, h)
		}
	}
	return homes
}

// recordPrefixHolder records that a backend of a large fleet has cached a prefix or session.
func (d *Dispatcher) keeperOf(key uint64, h *Backend) {
	if key == 0 || !d.large() {
		return
	}
	if d.keepers == nil {
		d.keepers = map[uint64][]*Backend{}
	}
	known := slices.DeleteFunc(d.keepers[key], func(o *Backend) bool { return o == h })
	if len(known) >= keepersMost {
		known = known[1:]
	}
	d.keepers[key] = append(known, h)
}

// dropStaleHolders drops backends that no longer have the prefix cached.
func (d *Dispatcher) forgetKeepers() {
	for key, known := range d.keepers {
		known = slices.DeleteFunc(known, func(h *Backend) bool { return !h.Held || h.Kept[key] == (Kept{}) })
		if len(known) == 0 || !d.large() {
			delete(d.keepers, key)
			continue
		}
		d.keepers[key] = known
	}
}

// addBackend adds a new backend: in a large fleet at its place in the dispatcher's order, unless many are
// added at once.
func (d *Dispatcher) addHost(h *Backend, many bool) {
	h.Held, h.order = true, Mix(d.own, uint64(h.ID))
	d.ordered = d.ordered && !many
	i := len(d.backends)
	if d.large() && d.ordered {
		i, _ = slices.BinarySearchFunc(d.backends, h.order, func(o *Backend, order uint64) int { return cmp.Compare(o.order, order) })
	}
	d.backends = slices.Insert(d.backends, i, h)
	d.byRole[h.Role] = append(d.byRole[h.Role], listedHost{uint64(h.ID), h})
	if h.Answers() {
		if d.racks == nil {
			d.racks = map[int][]*Backend{}
		}
		d.racks[h.Rack] = append(d.racks[h.Rack], h)
	}
}

// sortBackends restores the dispatcher's order of backends.
func (d *Dispatcher) orderHosts() {
	if d.large() && d.ordered {
		return
	}
	slices.SortFunc(d.backends, func(a, b *Backend) int { return cmp.Compare(a.order, b.order) })
	d.ordered = d.large()
}

// dropRemoved drops removed backends that have no attempts in flight.
func (d *Dispatcher) dropHosts() {
	gone := func(l listedHost) bool { return !l.host.Held }
	d.backends = slices.DeleteFunc(d.backends, func(h *Backend) bool {
		h.Held = h.Standing != Gone || h.Streams > 0 || h.Tokens >= 1 // its load still counts
		if !h.Held && h.Answers() {
			if d.racks[h.Rack] = slices.DeleteFunc(d.racks[h.Rack], func(o *Backend) bool { return o == h }); len(d.racks[h.Rack]) == 0 {
				delete(d.racks, h.Rack)
			}
		}
		return !h.Held
	})
	for role := range d.byRole {
		d.byRole[role] = slices.DeleteFunc(d.byRole[role], gone)
	}
}

// compareCapacities compares the backends' capacities, at limited frequency in a large fleet.
func (d *Dispatcher) compareSizes() {
	now := d.runtime.Now()
	if d.large() && d.compared > 0 && now-d.compared < sizesAge {
		return
	}
	d.compared = max(now, 1)
	d.answering = Compare(d.backends)
}

// minCostByRack returns the lowest cost of the backends in each rack.
func freestByRack(hosts []*Backend, cost func(*Backend) float64) map[int]float64 {
	freest := map[int]float64{}
	for _, h := range hosts {
		least, known := freest[h.Rack]
		if c := cost(h); !known || c < least {
			freest[h.Rack] = c
		}
	}
	return freest
}

// freeKVTokens is how many more KV cache tokens this dispatcher may use at decode backends, less those of
// requests in prefill, which will need them for decode. In a large fleet it is extrapolated from the
// candidates.
func (d *Dispatcher) freeMemory(q *Request) float64 {
	free, looked := 0.0, 0.0
	candidates := d.candidates(q)
	for _, h := range candidates {
		if !h.Answers() {
			continue
		}
		looked++
		if !d.barred(q, h) {
			free += max(h.Room-h.Tokens, 0)
		}
	}
	if d.large() && !math.IsInf(free, 1) {
		free *= max(float64(len(d.byRole[Writes])+len(d.byRole[Both]))/max(looked, 1), 1)
	}
	return free - d.reading()
}

// prefillKVTokens is the number of own KV cache tokens at prefill-only backends.
func (d *Dispatcher) reading() float64 {
	if d.large() {
		return d.atReaders
	}
	sum := 0.0
	for _, h := range d.backends {
		if h.Role == Reads {
			sum += h.Tokens
		}
	}
	return sum
}
