package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Which backends a choice looks at. In a small fleet these are all. In one of thousands a choice that walked all of them would hold up
// the event loop, and everything that is due with it; there these are the backends that the request has a reason to go to, and a stretch
// that chance draws from the rest. The best of some hundreds that were drawn is about as good as the best of all.

const (
	// smallFleet is up to how many backends all are looked at.
	fullScanLimit = 128
	// stretch is how many are drawn of a larger fleet.
	sampleSize = 128
	// homesMost is how many homes of a beginning are looked at there, and homeRacks of how many of them the racks are.
	maxAffinity   = 16
	affinityRacks = 4
	// keepersMost is how many backends are remembered to keep one beginning or session there.
	maxPrefixHolders = 8
	// ranks is how many places there are in the order of a key.
	rankSpace = 1 << 64
	// sizesAge is how old the comparison of backends' sizes may be there: it walks all of them.
	capacityComparisonInterval = 250 * time.Millisecond
)

// candidateSet are the candidates of one choice.
type candidateSet struct {
	request  *Request
	time     time.Duration
	attempts int      // that the request had
	kvHolder *Backend // that waited for it
	backends []*Backend
	affinity [3][]*Backend // of the request's beginning, by role
	mark     uint64        // that the backends among them bear
}

// listedHost is a backend of a role, with its number beside it: all of a large fleet are gone through for their ranks.
type roleMember struct {
	id      uint64
	backend *Backend
}

// ranked is a backend with its place in the order of a key.
type rankedBackend struct {
	backend *Backend
	rank    uint64
}

// large tells whether the fleet is too large for a choice to look at all of it.
func (d *Dispatcher) isLarge() bool { return len(d.backends) > fullScanLimit }

// candidates are the backends that a choice for the request looks at.
func (d *Dispatcher) candidates(q *Request) []*Backend {
	if !d.isLarge() {
		return d.backends
	}
	c, now := &d.lastCandidates, d.runtime.Now()
	if c.request == q && c.time == now && c.attempts == len(q.Attempts) && c.kvHolder == q.KVHolder {
		return c.backends
	}
	c.request, c.time, c.attempts, c.kvHolder, c.backends = q, now, len(q.Attempts), q.KVHolder, c.backends[:0]
	c.mark++
	first := int(d.rng.Float() * float64(len(d.backends)))
	for i := range sampleSize {
		c.add(d.backends[(first+i)%len(d.backends)])
	}
	if q.KVHolder != nil {
		d.addRack(c, q.KVHolder) // it only has to be answered
		return c.backends
	}
	for _, role := range []Role{RolePrefill, RoleMixed} {
		c.affinity[role] = d.topRanked(cmp.Or(q.PrefixKey, q.SessionKey), role)
		for i, home := range c.affinity[role] {
			c.add(home)
			if i < affinityRacks {
				d.addRack(c, home)
			}
		}
	}
	for _, key := range []uint64{q.SessionKey, q.PrefixKey} {
		for _, h := range d.prefixHolders[key] {
			c.add(h)
		}
	}
	return c.backends
}

// add puts a backend among the candidates, once.
func (c *candidateSet) add(h *Backend) {
	if h.candidateMark != c.mark {
		h.candidateMark = c.mark
		c.backends = append(c.backends, h)
	}
}

// addRack puts the backends of a backend's rack that answer among the candidates, to which a state is moved at least cost.
func (d *Dispatcher) addRack(c *candidateSet, h *Backend) {
	for _, o := range d.decodeByRack[h.Rack] {
		c.add(o)
	}
}

// homesInOrder are the ready backends of a role in the order of the request's beginning, alike in every dispatcher: all of a small
// fleet, and the first ones of a large one.
func (d *Dispatcher) affinityOrder(q *Request, role Role) []*Backend {
	if !d.isLarge() {
		all := Filter(d.backends, func(h *Backend) bool { return h.Role == role && h.State == Ready })
		SortByHash(all, cmp.Or(q.PrefixKey, q.SessionKey))
		return all
	}
	d.candidates(q)
	return slices.Clone(d.lastCandidates.affinity[role])
}

// firstHomes are the first ready backends of a role in the order of a key.
func (d *Dispatcher) topRanked(key uint64, role Role) []*Backend {
	first := d.rankBuffer[:0]
	for _, l := range d.byRole[role] {
		rank := Mix(key, l.id)
		if len(first) == maxAffinity && rank >= first[maxAffinity-1].rank || l.backend.State != Ready {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, rank, func(r rankedBackend, rank uint64) int { return cmp.Compare(r.rank, rank) })
		if len(first) == maxAffinity {
			first = first[:maxAffinity-1]
		}
		first = slices.Insert(first, i, rankedBackend{l.backend, rank})
	}
	d.rankBuffer = first
	homes := make([]*Backend, len(first))
	for i, r := range first {
		homes[i] = r.backend
	}
	return homes
}

// homesWanted is how many homes a beginning has: two, or as many as its share of the requests asks for.
func (d *Dispatcher) affinityCount(key uint64, role Role, homes []*Backend) int {
	share := d.prefixTable.Sum(key, d.runtime.Now()) / (d.prefillRequests.Sum(d.runtime.Now()) + 10)
	count := len(homes)
	if d.isLarge() {
		count = len(d.byRole[role])
	}
	return max(2, int(2*share*float64(count)))
}

// withMoreHomes adds, where a beginning of a large fleet has more homes than were ordered, those among the candidates: a home's rank is
// under the same part of all ranks as homes are of all backends.
func (d *Dispatcher) extendAffinity(homes []*Backend, key uint64, role Role, wanted int, able []*Backend) []*Backend {
	if !d.isLarge() || wanted <= maxAffinity {
		return homes
	}
	share := float64(wanted) / float64(len(d.byRole[role]))
	for _, h := range able {
		if float64(Mix(key, uint64(h.ID))) < share*rankSpace && !slices.Contains(homes, h) {
			homes = append(homes, h)
		}
	}
	return homes
}

// keeperOf takes note that a backend of a large fleet keeps a beginning or session.
func (d *Dispatcher) recordPrefixHolder(key uint64, h *Backend) {
	if key == 0 || !d.isLarge() {
		return
	}
	if d.prefixHolders == nil {
		d.prefixHolders = map[uint64][]*Backend{}
	}
	known := slices.DeleteFunc(d.prefixHolders[key], func(o *Backend) bool { return o == h })
	if len(known) >= maxPrefixHolders {
		known = known[1:]
	}
	d.prefixHolders[key] = append(known, h)
}

// forgetKeepers drops those that keep nothing any more.
func (d *Dispatcher) dropStaleHolders() {
	for key, known := range d.prefixHolders {
		known = slices.DeleteFunc(known, func(h *Backend) bool { return !h.Tracked || h.CachedPrefixes[key] == (CachedPrefix{}) })
		if len(known) == 0 || !d.isLarge() {
			delete(d.prefixHolders, key)
			continue
		}
		d.prefixHolders[key] = known
	}
}

// addHost puts a backend that is new among the others: in a large fleet in this dispatcher's own order, unless many are added at once.
func (d *Dispatcher) addBackend(h *Backend, many bool) {
	h.Tracked, h.order = true, Mix(d.orderSeed, uint64(h.ID))
	d.sorted = d.sorted && !many
	i := len(d.backends)
	if d.isLarge() && d.sorted {
		i, _ = slices.BinarySearchFunc(d.backends, h.order, func(o *Backend, order uint64) int { return cmp.Compare(o.order, order) })
	}
	d.backends = slices.Insert(d.backends, i, h)
	d.byRole[h.Role] = append(d.byRole[h.Role], roleMember{uint64(h.ID), h})
	if h.Decodes() {
		if d.decodeByRack == nil {
			d.decodeByRack = map[int][]*Backend{}
		}
		d.decodeByRack[h.Rack] = append(d.decodeByRack[h.Rack], h)
	}
}

// orderHosts puts the backends in this dispatcher's own order, if they are not in it.
func (d *Dispatcher) sortBackends() {
	if d.isLarge() && d.sorted {
		return
	}
	slices.SortFunc(d.backends, func(a, b *Backend) int { return cmp.Compare(a.order, b.order) })
	d.sorted = d.isLarge()
}

// dropHosts forgets the backends that are gone and have nothing out.
func (d *Dispatcher) dropRemoved() {
	gone := func(l roleMember) bool { return !l.backend.Tracked }
	d.backends = slices.DeleteFunc(d.backends, func(h *Backend) bool {
		h.Tracked = h.State != Removed || h.Streams > 0 || h.KVTokens >= 1 // what is out there still counts
		if !h.Tracked && h.Decodes() {
			if d.decodeByRack[h.Rack] = slices.DeleteFunc(d.decodeByRack[h.Rack], func(o *Backend) bool { return o == h }); len(d.decodeByRack[h.Rack]) == 0 {
				delete(d.decodeByRack, h.Rack)
			}
		}
		return !h.Tracked
	})
	for role := range d.byRole {
		d.byRole[role] = slices.DeleteFunc(d.byRole[role], gone)
	}
}

// compareSizes compares the backends' capacities, less often where the fleet is large.
func (d *Dispatcher) compareCapacities() {
	now := d.runtime.Now()
	if d.isLarge() && d.capacitiesComparedAt > 0 && now-d.capacitiesComparedAt < capacityComparisonInterval {
		return
	}
	d.capacitiesComparedAt = max(now, 1)
	d.decodeCount = CompareCapacities(d.backends)
}

// freestByRack is the least cost of the backends in each rack.
func minCostByRack(hosts []*Backend, cost func(*Backend) float64) map[int]float64 {
	freest := map[int]float64{}
	for _, h := range hosts {
		least, known := freest[h.Rack]
		if c := cost(h); !known || c < least {
			freest[h.Rack] = c
		}
	}
	return freest
}

// freeMemory is how many tokens this dispatcher may still have at backends that answer, less those that are being read and will need
// room to be answered. Of a large fleet the candidates stand for all.
func (d *Dispatcher) freeKVTokens(q *Request) float64 {
	free, looked := 0.0, 0.0
	candidates := d.candidates(q)
	for _, h := range candidates {
		if !h.Decodes() {
			continue
		}
		looked++
		if !d.disallowed(q, h) {
			free += max(h.TokenLimit-h.KVTokens, 0)
		}
	}
	if d.isLarge() && !math.IsInf(free, 1) {
		free *= max(float64(len(d.byRole[RoleDecode])+len(d.byRole[RoleMixed]))/max(looked, 1), 1)
	}
	return free - d.prefillKVTokens()
}

// reading is how many own tokens are at backends that only read.
func (d *Dispatcher) prefillKVTokens() float64 {
	if d.isLarge() {
		return d.prefillOnlyTokens
	}
	sum := 0.0
	for _, h := range d.backends {
		if h.Role == RolePrefill {
			sum += h.KVTokens
		}
	}
	return sum
}
