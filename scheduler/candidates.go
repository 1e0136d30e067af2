package scheduler

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
	fullScanLimit = 128
	// sampleSize is the number of backends sampled in a larger fleet.
	sampleSize = 128
	// In a large fleet maxAffinity is how many affinity candidates of a prefix are considered, and affinityRacks
	// is for how many of them the backends of their rack are considered too.
	maxAffinity   = 16
	affinityRacks = 4
	// maxPrefixHolders is how many backends are remembered to have cached a prefix or session.
	maxPrefixHolders = 8
	// rankSpace is the number of distinct ranks.
	rankSpace = 1 << 64
	// capacityComparisonInterval is the shortest time between comparisons of capacities in a large fleet; each
	// comparison visits all backends.
	capacityComparisonInterval = 250 * time.Millisecond
)

// candidateSet is the candidates for one request at one time. They are reused while nothing of it changes.
type candidateSet struct {
	request  *Request
	time     time.Duration
	attempts int      // number of the request's attempts
	kvHolder *Backend // holder of the request's KV cache
	backends []*Backend
	affinity [3][]*Backend // affinity candidates of the request's prefix, by role
	mark     uint64        // stored in the backends of the set to avoid duplicates
}

// roleMember is a backend with its id beside it, as ranking reads the ids of all backends of a role.
type roleMember struct {
	id      uint64
	backend *Backend
}

// rankedBackend is a backend with its rank for a key.
type rankedBackend struct {
	backend *Backend
	rank    uint64
}

// isLarge reports whether the fleet is too large to consider all of it for each request.
func (d *Dispatcher) isLarge() bool { return len(d.backends) > fullScanLimit }

// candidates returns the backends to consider for a request.
func (d *Dispatcher) candidates(req *Request) []*Backend {
	if !d.isLarge() {
		return d.backends
	}
	set, now := &d.lastCandidates, d.runtime.Now()
	if set.request == req && set.time == now && set.attempts == len(req.Attempts) && set.kvHolder == req.KVHolder {
		return set.backends
	}
	set.request, set.time, set.attempts, set.kvHolder, set.backends =
		req, now, len(req.Attempts), req.KVHolder, set.backends[:0]
	set.mark++
	start := int(d.rng.Float() * float64(len(d.backends)))
	for i := range sampleSize {
		set.add(d.backends[(start+i)%len(d.backends)])
	}
	if req.KVHolder != nil {
		d.addRack(set, req.KVHolder) // only decode remains
		return set.backends
	}
	for _, role := range []Role{RolePrefill, RoleMixed} {
		set.affinity[role] = d.topRanked(cmp.Or(req.PrefixKey, req.SessionKey), role)
		for i, candidate := range set.affinity[role] {
			set.add(candidate)
			if i < affinityRacks {
				d.addRack(set, candidate)
			}
		}
	}
	for _, key := range []uint64{req.SessionKey, req.PrefixKey} {
		for _, backend := range d.prefixHolders[key] {
			set.add(backend)
		}
	}
	return set.backends
}

// add adds a backend unless it is in the set.
func (c *candidateSet) add(backend *Backend) {
	if backend.candidateMark != c.mark {
		backend.candidateMark = c.mark
		c.backends = append(c.backends, backend)
	}
}

// addRack adds the decode backends in a backend's rack, to which its KV cache can be moved at the lowest cost.
func (d *Dispatcher) addRack(set *candidateSet, backend *Backend) {
	for _, other := range d.decodeByRack[backend.Rack] {
		set.add(other)
	}
}

// affinityOrder returns the ready backends of a role by their rank for the request's prefix, which is the same
// in every dispatcher: all of a small fleet, and the first ones of a large fleet.
func (d *Dispatcher) affinityOrder(req *Request, role Role) []*Backend {
	if !d.isLarge() {
		all := Filter(d.backends, func(b *Backend) bool { return b.Role == role && b.State == Ready })
		SortByHash(all, cmp.Or(req.PrefixKey, req.SessionKey))
		return all
	}
	d.candidates(req)
	return slices.Clone(d.lastCandidates.affinity[role])
}

// topRanked returns the first ready backends of a role by rank for a key (rendezvous hashing).
func (d *Dispatcher) topRanked(key uint64, role Role) []*Backend {
	top := d.rankBuffer[:0]
	for _, member := range d.byRole[role] {
		rank := Mix(key, member.id)
		if len(top) == maxAffinity && rank >= top[maxAffinity-1].rank || member.backend.State != Ready {
			continue
		}
		i, _ := slices.BinarySearchFunc(top, rank, func(r rankedBackend, rank uint64) int {
			return cmp.Compare(r.rank, rank)
		})
		if len(top) == maxAffinity {
			top = top[:maxAffinity-1]
		}
		top = slices.Insert(top, i, rankedBackend{member.backend, rank})
	}
	d.rankBuffer = top
	backends := make([]*Backend, len(top))
	for i, r := range top {
		backends[i] = r.backend
	}
	return backends
}

// affinityCount is the number of affinity candidates of a prefix: two, or more in proportion to its share of
// requests.
func (d *Dispatcher) affinityCount(key uint64, role Role, ranked []*Backend) int {
	share := d.prefixTable.Sum(key, d.runtime.Now()) / (d.prefillRequests.Sum(d.runtime.Now()) + 10)
	count := len(ranked)
	if d.isLarge() {
		count = len(d.byRole[role])
	}
	return max(2, int(2*share*float64(count)))
}

// extendAffinity handles a prefix of a large fleet that has more affinity candidates than were ranked: it adds
// those among the eligible backends. A backend is one of them if its rank is below the matching share of the
// rank space.
func (d *Dispatcher) extendAffinity(
	candidates []*Backend, key uint64, role Role, count int, eligible []*Backend,
) []*Backend {
	if !d.isLarge() || count <= maxAffinity {
		return candidates
	}
	share := float64(count) / float64(len(d.byRole[role]))
	for _, backend := range eligible {
		if float64(Mix(key, uint64(backend.ID))) < share*rankSpace && !slices.Contains(candidates, backend) {
			candidates = append(candidates, backend)
		}
	}
	return candidates
}

// recordPrefixHolder records that a backend of a large fleet has cached a prefix or session.
func (d *Dispatcher) recordPrefixHolder(key uint64, backend *Backend) {
	if key == 0 || !d.isLarge() {
		return
	}
	if d.prefixHolders == nil {
		d.prefixHolders = map[uint64][]*Backend{}
	}
	holders := slices.DeleteFunc(d.prefixHolders[key], func(b *Backend) bool { return b == backend })
	if len(holders) >= maxPrefixHolders {
		holders = holders[1:]
	}
	d.prefixHolders[key] = append(holders, backend)
}

// dropStaleHolders drops backends that no longer have the prefix cached.
func (d *Dispatcher) dropStaleHolders() {
	for key, holders := range d.prefixHolders {
		holders = slices.DeleteFunc(holders, func(b *Backend) bool {
			return !b.Tracked || b.CachedPrefixes[key] == (CachedPrefix{})
		})
		if len(holders) == 0 || !d.isLarge() {
			delete(d.prefixHolders, key)
			continue
		}
		d.prefixHolders[key] = holders
	}
}

// addBackend adds a new backend: in a large fleet at its place in the dispatcher's order, unless many are
// added at once.
func (d *Dispatcher) addBackend(backend *Backend, bulk bool) {
	backend.Tracked, backend.order = true, Mix(d.orderSeed, uint64(backend.ID))
	d.sorted = d.sorted && !bulk
	position := len(d.backends)
	if d.isLarge() && d.sorted {
		position, _ = slices.BinarySearchFunc(d.backends, backend.order,
			func(b *Backend, order uint64) int { return cmp.Compare(b.order, order) })
	}
	d.backends = slices.Insert(d.backends, position, backend)
	d.byRole[backend.Role] = append(d.byRole[backend.Role], roleMember{uint64(backend.ID), backend})
	if backend.Decodes() {
		if d.decodeByRack == nil {
			d.decodeByRack = map[int][]*Backend{}
		}
		d.decodeByRack[backend.Rack] = append(d.decodeByRack[backend.Rack], backend)
	}
}

// sortBackends restores the dispatcher's order of backends.
func (d *Dispatcher) sortBackends() {
	if d.isLarge() && d.sorted {
		return
	}
	slices.SortFunc(d.backends, func(a, b *Backend) int { return cmp.Compare(a.order, b.order) })
	d.sorted = d.isLarge()
}

// dropRemoved drops removed backends that have no attempts in flight.
func (d *Dispatcher) dropRemoved() {
	isRemoved := func(l roleMember) bool { return !l.backend.Tracked }
	d.backends = slices.DeleteFunc(d.backends, func(backend *Backend) bool {
		backend.Tracked = backend.State != Removed || backend.Streams > 0 || backend.KVTokens >= 1 // its load still counts
		if !backend.Tracked && backend.Decodes() {
			if d.decodeByRack[backend.Rack] = slices.DeleteFunc(d.decodeByRack[backend.Rack],
				func(b *Backend) bool { return b == backend }); len(d.decodeByRack[backend.Rack]) == 0 {
				delete(d.decodeByRack, backend.Rack)
			}
		}
		return !backend.Tracked
	})
	for role := range d.byRole {
		d.byRole[role] = slices.DeleteFunc(d.byRole[role], isRemoved)
	}
}

// compareCapacities compares the backends' capacities, at limited frequency in a large fleet.
func (d *Dispatcher) compareCapacities() {
	now := d.runtime.Now()
	if d.isLarge() && d.capacitiesComparedAt > 0 && now-d.capacitiesComparedAt < capacityComparisonInterval {
		return
	}
	d.capacitiesComparedAt = max(now, 1)
	d.decodeCount = CompareCapacities(d.backends)
}

// minCostByRack returns the lowest cost of the backends in each rack.
func minCostByRack(backends []*Backend, cost func(*Backend) float64) map[int]float64 {
	minCost := map[int]float64{}
	for _, backend := range backends {
		lowest, known := minCost[backend.Rack]
		if c := cost(backend); !known || c < lowest {
			minCost[backend.Rack] = c
		}
	}
	return minCost
}

// freeKVTokens is how many more KV cache tokens this dispatcher may use at decode backends, less those of
// requests in prefill, which will need them for decode. In a large fleet it is extrapolated from the
// candidates.
func (d *Dispatcher) freeKVTokens(req *Request) float64 {
	free, considered := 0.0, 0.0
	candidates := d.candidates(req)
	for _, backend := range candidates {
		if !backend.Decodes() {
			continue
		}
		considered++
		if !d.disallowed(req, backend) {
			free += max(backend.TokenLimit-backend.KVTokens, 0)
		}
	}
	if d.isLarge() && !math.IsInf(free, 1) {
		free *= max(float64(len(d.byRole[RoleDecode])+len(d.byRole[RoleMixed]))/max(considered, 1), 1)
	}
	return free - d.prefillKVTokens()
}

// prefillKVTokens is the number of own KV cache tokens at prefill-only backends.
func (d *Dispatcher) prefillKVTokens() float64 {
	if d.isLarge() {
		return d.prefillOnlyTokens
	}
	sum := 0.0
	for _, backend := range d.backends {
		if backend.Role == RolePrefill {
			sum += backend.KVTokens
		}
	}
	return sum
}
