package connpool

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/addresses"
)

// Manager holds the connection pools of all backends that a dispatcher connects to. The exported fields must not change
// after the first use.
type Manager struct {
	DialTimeout        time.Duration        // for getting a connection, all addresses together
	MaxConnsPerBackend int                  // open connections to one backend
	Now                func() time.Duration // the time on a monotonic clock
	Context            context.Context      // its end (shutdown) closes idle connections and stops background attempts
	Group              *errgroup.Group      // runs the connection attempts

	// Dial opens a connection; nil means the operating system's.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// SkipVerify is for backends that cannot verify a connection: it counts as verified once it is established, takes
	// one request, and none is opened in the background.
	SkipVerify bool

	mu            sync.Mutex
	pools         map[string]*Pool
	ordered       []*Pool // in the order in which they were added
	hasRemoved    bool    // some of the pools belong to removed backends
	recheckBudget addresses.RecheckBudget
}

// SetAddresses sets the addresses of a backend and returns its pool; no addresses means that the backend was removed.
// Connections to addresses that it no longer has are closed if they are idle, and otherwise when their request ends.
// The seed is that of the random draws in the order of addresses.
func (m *Manager) SetAddresses(name string, specs []addresses.Spec, seed uint64) *Pool {
	m.mu.Lock()
	if m.pools == nil {
		m.pools = map[string]*Pool{}
	}
	pool := m.pools[name]
	if pool == nil {
		pool = &Pool{Name: name, manager: m, tracker: addresses.NewTracker(seed), changed: make(chan struct{})}
		m.pools[name] = pool
		m.ordered = append(m.ordered, pool)
	}
	m.hasRemoved = m.hasRemoved || len(specs) == 0
	pool.mu.Lock() // before m is unlocked, so that a removed pool that is in use again is not pruned in between
	defer pool.mu.Unlock()
	m.mu.Unlock()
	pool.tracker.Set(specs)
	pool.removed = len(specs) == 0
	pool.closeIdle(func(c *Conn) bool { return c.Address.Removed })
	return pool
}

// ForEach calls visit for each backend, with its address tracker and its numbers of open and idle connections. The
// tracker must not be used after visit returns.
func (m *Manager) ForEach(visit func(name string, tracker *addresses.Tracker, open, idle int)) {
	for _, p := range m.snapshot() {
		p.mu.Lock()
		visit(p.Name, p.tracker, p.open, len(p.idle))
		p.mu.Unlock()
	}
}

// Len returns the number of pools.
func (m *Manager) Len() int { return len(m.snapshot()) }

func (m *Manager) snapshot() []*Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.ordered)
}

// Run rechecks suspected addresses, keeps connections ready and closes idle ones until the manager's context ends.
func (m *Manager) Run() error {
	const interval = 250 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-m.Context.Done():
			for _, pool := range m.snapshot() {
				pool.mu.Lock()
				pool.closeIdle(func(*Conn) bool { return true })
				pool.mu.Unlock()
			}
			return nil
		case <-ticker.C:
		}
		m.pruneRemoved()
		if !m.SkipVerify {
			m.recheck()
		}
		for _, pool := range m.snapshot() {
			pool.maintainIdle()
		}
	}
}

// pruneRemoved forgets removed backends that have no connection left.
func (m *Manager) pruneRemoved() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasRemoved {
		return
	}
	m.hasRemoved = false
	m.ordered = slices.DeleteFunc(m.ordered, func(p *Pool) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.removed || p.open > 0 || p.dialing > 0 {
			m.hasRemoved = m.hasRemoved || p.removed
			return false
		}
		delete(m.pools, p.Name)
		return true
	})
}

// recheck connects to one suspected address, if one is due and the budget allows it.
func (m *Manager) recheck() {
	pools := m.snapshot()
	var trackers []*addresses.Tracker
	for _, pool := range pools {
		pool.mu.Lock()
		trackers = append(trackers, pool.tracker)
	}
	tracker, a := m.recheckBudget.Next(m.Now(), trackers)
	for _, pool := range pools {
		pool.mu.Unlock()
	}
	if a == nil {
		return
	}
	pool := pools[slices.Index(trackers, tracker)]
	m.dialInBackground(pool, a, func(now time.Duration, result addresses.Result, took time.Duration) {
		tracker.RecordRecheck(now, a, result, took)
	})
}

// dialInBackground opens one connection, passes its result to record and puts the connection among the idle ones.
func (m *Manager) dialInBackground(
	p *Pool, addr *addresses.Address, record func(time.Duration, addresses.Result, time.Duration),
) {
	p.mu.Lock()
	p.dialing++
	spec := addr.Spec
	p.mu.Unlock()
	m.Group.Go(func() error {
		ctx, cancel := context.WithTimeout(m.Context, m.DialTimeout)
		defer cancel()
		startedAt := m.Now()
		conn, reader, result, _ := p.connect(ctx, spec)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dialing--
		record(m.Now(), result, m.Now()-startedAt)
		if result == addresses.Verified {
			p.putIdle(&Conn{Conn: conn, Address: addr, pool: p, reader: reader}, true)
		}
		p.notify()
		return nil
	})
}
