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
	smallFleet = 128
	// stretch is how many are drawn of a larger fleet.
	stretch = 128
	// homesMost is how many homes of a beginning are looked at there, and homeRacks of how many of them the racks are.
	homesMost = 16
	homeRacks = 4
	// keepersMost is how many backends are remembered to keep one beginning or session there.
	keepersMost = 8
	// ranks is how many places there are in the order of a key.
	ranks = 1 << 64
	// sizesAge is how old the comparison of backends' sizes may be there: it walks all of them.
	sizesAge = 250 * time.Millisecond
)

// candidateSet are the candidates of one choice.
type candidateSet struct {
	request  *Request
	at       time.Duration
	attempts int      // that the request had
	state    *Backend // that waited for it
	hosts    []*Backend
	homes    [3][]*Backend // of the request's beginning, by role
	mark     uint64        // that the backends among them bear
}

// listedHost is a backend of a role, with its number beside it: all of a large fleet are gone through for their ranks.
type listedHost struct {
	id   uint64
	host *Backend
}

// ranked is a backend with its place in the order of a key.
type ranked struct {
	host *Backend
	rank uint64
}

// large tells whether the fleet is too large for a choice to look at all of it.
func (d *Dispatcher) large() bool { return len(d.backends) > smallFleet }

// candidates are the backends that a choice for the request looks at.
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
		d.addRack(c, q.State) // it only has to be answered
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

// add puts a backend among the candidates, once.
func (c *candidateSet) add(h *Backend) {
	if h.mark != c.mark {
		h.mark = c.mark
		c.hosts = append(c.hosts, h)
	}
}

// addRack puts the backends of a backend's rack that answer among the candidates, to which a state is moved at least cost.
func (d *Dispatcher) addRack(c *candidateSet, h *Backend) {
	for _, o := range d.racks[h.Rack] {
		c.add(o)
	}
}

// homesInOrder are the ready backends of a role in the order of the request's beginning, alike in every dispatcher: all of a small
// fleet, and the first ones of a large one.
func (d *Dispatcher) homesInOrder(q *Request, role Role) []*Backend {
	if !d.large() {
		all := Only(d.backends, func(h *Backend) bool { return h.Role == role && h.Standing == Ready })
		Order(all, cmp.Or(q.Shared, q.Session))
		return all
	}
	d.candidates(q)
	return slices.Clone(d.chosenFrom.homes[role])
}

// firstHomes are the first ready backends of a role in the order of a key.
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

// homesWanted is how many homes a beginning has: two, or as many as its share of the requests asks for.
func (d *Dispatcher) homesWanted(key uint64, role Role, homes []*Backend) int {
	share := d.begins.Sum(key, d.runtime.Now()) / (d.asked.Sum(d.runtime.Now()) + 10)
	count := len(homes)
	if d.large() {
		count = len(d.byRole[role])
	}
	return max(2, int(2*share*float64(count)))
}

// withMoreHomes adds, where a beginning of a large fleet has more homes than were ordered, those among the candidates: a home's rank is
// under the same part of all ranks as homes are of all backends.
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

// keeperOf takes note that a backend of a large fleet keeps a beginning or session.
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

// forgetKeepers drops those that keep nothing any more.
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

// addHost puts a backend that is new among the others: in a large fleet in this dispatcher's own order, unless many are added at once.
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

// orderHosts puts the backends in this dispatcher's own order, if they are not in it.
func (d *Dispatcher) orderHosts() {
	if d.large() && d.ordered {
		return
	}
	slices.SortFunc(d.backends, func(a, b *Backend) int { return cmp.Compare(a.order, b.order) })
	d.ordered = d.large()
}

// dropHosts forgets the backends that are gone and have nothing out.
func (d *Dispatcher) dropHosts() {
	gone := func(l listedHost) bool { return !l.host.Held }
	d.backends = slices.DeleteFunc(d.backends, func(h *Backend) bool {
		h.Held = h.Standing != Gone || h.Streams > 0 || h.Tokens >= 1 // what is out there still counts
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

// compareSizes compares the backends' capacities, less often where the fleet is large.
func (d *Dispatcher) compareSizes() {
	now := d.runtime.Now()
	if d.large() && d.compared > 0 && now-d.compared < sizesAge {
		return
	}
	d.compared = max(now, 1)
	d.answering = Compare(d.backends)
}

// freestByRack is the least cost of the backends in each rack.
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

// freeMemory is how many tokens this dispatcher may still have at backends that answer, less those that are being read and will need
// room to be answered. Of a large fleet the candidates stand for all.
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

// reading is how many own tokens are at backends that only read.
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
