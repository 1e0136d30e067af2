// Package connpool holds the connection pools of the backends. It races connection attempts in the order that package
// addresses gives, verifies that the far side of a connection reads requests and is the backend that is meant, keeps
// verified connections for reuse, and sends a request over exactly one of them. It decides nothing about order,
// timeouts or trust, and never resends a request of which a byte was sent. Start with Manager and Pool.Get.
package connpool

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/system"
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

// Pool is the connection pool of one backend.
type Pool struct {
	Name    string
	manager *Manager

	mu       sync.Mutex
	tracker  *addresses.Tracker
	idle     []*Conn
	open     int // connections, in use or idle, and one for each race under way, which its winner takes over
	dialing  int // races and background attempts under way
	lastUsed time.Duration
	changed  chan struct{} // closed when a connection, or capacity for one, becomes free
	removed  bool          // the backend was removed
}

// Conn is one use of a verified connection.
type Conn struct {
	net.Conn
	Address   *addresses.Address
	pool      *Pool
	reader    *responseReader
	idleSince time.Duration
	written   int64 // bytes of the current request
}

// responseReader reads a connection. It limits the bytes that it reads for the head of a response.
type responseReader struct {
	*bufio.Reader
	limited io.LimitedReader
}

func newResponseReader(conn net.Conn) *responseReader {
	r := &responseReader{limited: io.LimitedReader{R: conn, N: math.MaxInt64}}
	r.Reader = bufio.NewReader(&r.limited)
	return r
}

// readHead reads the head of the response to a request.
func (r *responseReader) readHead(request *http.Request) (*http.Response, error) {
	r.limited.N = maxHeadBytes
	resp, err := http.ReadResponse(r.Reader, request)
	if err != nil && r.limited.N == 0 {
		err = errHeadTooLong
	}
	r.limited.N = math.MaxInt64
	return resp, err
}

var (
	// ErrUnreachable means that no address of the backend gave a verified connection in time, or that the backend was
	// removed.
	ErrUnreachable = errors.New("no address of the backend accepts and verifies a connection")
	// ErrLocal means that this machine could not start to connect, which says nothing of the backend.
	ErrLocal = errors.New("this machine cannot open a connection at present")
	// ErrNotSent means that the request may be sent over another connection.
	ErrNotSent     = errors.New("no byte of the request was sent")
	errHeadTooLong = fmt.Errorf("the head of a response is longer than %d bytes", maxHeadBytes)
)

const (
	maxIdleTime    = 20 * time.Second // then an idle connection is closed; the timeout of backends should be longer
	keepWarmTime   = 30 * time.Second // since the last request to a backend; then no connection is kept ready
	maxVerifyBytes = 4096             // of the body of a verification response
	maxHeadBytes   = 64 << 10         // of the head of a response
	maxDrainTime   = 50 * time.Millisecond
	maxDrainBytes  = 64 << 10 // that may follow the last event of a response
)

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

// Addresses returns the backend's addresses as text, in the order in which they would be tried now.
func (p *Pool) Addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var texts []string
	for _, a := range p.tracker.Order(p.manager.Now()) {
		texts = append(texts, a.Spec.String())
	}
	return texts
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

// closeIdle closes the idle connections that a condition holds for. The pool must be locked.
func (p *Pool) closeIdle(condition func(*Conn) bool) {
	if len(p.idle) == 0 {
		return
	}
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		if !condition(c) {
			return false
		}
		c.Conn.Close()
		p.open--
		return true
	})
	p.notify()
}

// notify wakes the goroutines that wait for a connection. The pool must be locked.
func (p *Pool) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Get returns a verified connection: an idle one, or the first that a race of the addresses gives.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	return p.getUntil(ctx, p.manager.Now()+p.manager.DialTimeout)
}

// getUntil is Get with a deadline.
func (p *Pool) getUntil(ctx context.Context, deadline time.Duration) (*Conn, error) {
	timer := time.NewTimer(deadline - p.manager.Now())
	defer timer.Stop()
	for {
		p.mu.Lock()
		if p.removed {
			p.mu.Unlock()
			return nil, ErrUnreachable
		}
		if p.manager.Now() >= deadline {
			p.mu.Unlock()
			return nil, ErrUnreachable
		}
		if err := ctx.Err(); err != nil {
			p.mu.Unlock()
			return nil, err
		}
		p.lastUsed = p.manager.Now()
		if c := p.takeIdle(); c != nil {
			fresh, timeout := p.lastUsed-c.idleSince < addresses.VerificationTTL, p.tracker.Stagger()
			p.mu.Unlock()
			if fresh || c.reverify(ctx, timeout) {
				return c, nil
			}
			continue
		}
		if p.open < p.manager.MaxConnsPerBackend && p.dialing < addresses.MaxRaces {
			p.open++
			p.dialing++
			race := p.tracker.Race(p.manager.Now(), deadline)
			p.mu.Unlock()
			return p.race(ctx, race)
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return nil, fmt.Errorf("%w: the backend's limit of open connections or of races is reached", ErrLocal)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// takeIdle returns the most recently used idle connection that is still alive, at the best address that has one. It
// returns nil if there is none. The pool must be locked.
func (p *Pool) takeIdle() *Conn {
	now := p.manager.Now()
	for _, addr := range p.tracker.Order(now) {
		for i := len(p.idle) - 1; i >= 0; i-- {
			c := p.idle[i]
			if c.Address != addr {
				continue
			}
			p.idle = slices.Delete(p.idle, i, i+1)
			if now-c.idleSince < maxIdleTime && c.alive() {
				// Each use has a Conn of its own, since the previous user may still call Sent for its request.
				return &Conn{Conn: c.Conn, Address: c.Address, pool: p, reader: c.reader, idleSince: c.idleSince}
			}
			c.Conn.Close()
			p.open--
		}
		if addr.Suspected(now) {
			break // a race is preferred to idle connections at the addresses after a suspected one
		}
	}
	return nil
}

// alive tells whether the far side of an idle connection has neither closed it nor sent anything.
func (c *Conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, e := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n < 0 && (e == syscall.EAGAIN || e == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// race runs one race. The caller has counted its connection as open.
func (p *Pool) race(ctx context.Context, race *addresses.Race) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.manager.DialTimeout)
	defer cancel()
	winner, ended := make(chan *Conn, 1), make(chan struct{}, 16)
	var localErr error // of the last attempt, if this machine could not start it; guarded by the pool's lock
	finish := func(c *Conn) (*Conn, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		race.End(p.manager.Now())
		p.dialing--
		if c == nil {
			select {
			case c = <-winner: // an attempt has won since the caller last looked
			default:
				p.open--
				p.notify()
				if localErr != nil {
					return nil, fmt.Errorf("%w: %w", ErrLocal, localErr)
				}
				return nil, ErrUnreachable
			}
		}
		p.notify()
		return c, nil
	}
	for {
		p.mu.Lock()
		addr, wait, over := race.Next(p.manager.Now())
		var spec addresses.Spec
		if addr != nil {
			spec = addr.Spec
		}
		p.mu.Unlock()
		if addr != nil {
			p.manager.Group.Go(func() error {
				startedAt := p.manager.Now()
				conn, reader, result, err := p.connect(ctx, spec)
				p.mu.Lock()
				defer p.mu.Unlock()
				localErr = nil
				if result == addresses.LocalError {
					localErr = err
				}
				now := p.manager.Now()
				won := race.Record(now, addr, result, now-startedAt)
				switch {
				case won:
					winner <- &Conn{Conn: conn, Address: addr, pool: p, reader: reader}
				case result == addresses.Verified:
					p.putIdle(&Conn{Conn: conn, Address: addr, pool: p, reader: reader}, true)
				}
				select {
				case ended <- struct{}{}:
				default:
				}
				return nil
			})
			continue
		}
		if over {
			return finish(nil)
		}
		timer := time.NewTimer(wait)
		select {
		case c := <-winner:
			timer.Stop()
			return finish(c)
		case <-ended:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return finish(nil)
		}
		timer.Stop()
	}
}

// putIdle puts a verified connection among the idle ones, or closes it if its address or its backend was removed, the
// manager's context has ended, or the connection is new and the backend already has MaxConnsPerBackend. A new
// connection is one that p.open does not count yet: putIdle adds it to p.open if it keeps it. Another one is taken off
// p.open if it is closed. In all cases putIdle wakes those who wait for a connection. The pool must be locked.
func (p *Pool) putIdle(conn *Conn, isNew bool) {
	if conn.Address.Removed || p.removed || p.manager.Context.Err() != nil ||
		isNew && p.open >= p.manager.MaxConnsPerBackend {
		conn.Conn.Close()
		if !isNew {
			p.open--
		}
		p.notify()
		return
	}
	if isNew {
		p.open++
	}
	conn.idleSince = p.manager.Now()
	p.idle = append(p.idle, conn)
	p.notify()
}

// connect opens a connection to an address and verifies it, unless SkipVerify is set: the server must answer a request
// with the backend's name. It returns the connection, the reader to use for it, which may have buffered bytes, and
// Verified. Otherwise connection and reader are nil, and the result says what counts for the address. The error is not
// nil only if dialing failed; after a failed verification connection and error are both nil. If the context ends
// during verification, the connection is closed and the result is TimedOut, or WrongBackend if the response already
// showed that.
func (p *Pool) connect(
	ctx context.Context, spec addresses.Spec,
) (net.Conn, *responseReader, addresses.Result, error) {
	dial := p.manager.Dial
	if dial == nil {
		dial = system.Real().Dial
	}
	conn, err := dial(ctx, spec.Network, spec.Addr)
	if err != nil {
		return nil, nil, dialFailure(ctx, err), err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	reader := newResponseReader(conn)
	result := addresses.Verified
	if !p.manager.SkipVerify {
		result = verify(conn, reader, p.Name)
	}
	// stop returns false if the context has ended, which closes the connection.
	if !stop() && result != addresses.WrongBackend {
		result = addresses.TimedOut
	}
	if result != addresses.Verified {
		conn.Close()
		return nil, nil, result, nil
	}
	return conn, reader, result, nil
}

// dialFailure returns the result that an error of dialing means for the address.
func dialFailure(ctx context.Context, err error) addresses.Result {
	switch {
	case system.IsLocalError(err):
		return addresses.LocalError
	case ctx.Err() != nil, errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH):
		return addresses.TimedOut
	}
	return addresses.Refused
}

// verify requests the far side's name over a connection and compares it with the backend's.
func verify(conn net.Conn, reader *responseReader, name string) addresses.Result {
	if _, err := fmt.Fprintf(conn, "GET /v2 HTTP/1.1\r\nHost: %s\r\n\r\n", name); err != nil {
		return addresses.Disconnected
	}
	resp, err := reader.readHead(nil)
	if err != nil {
		return addresses.Disconnected
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxVerifyBytes+1))
	resp.Body.Close()
	if err != nil || len(raw) > maxVerifyBytes || resp.Close {
		return addresses.Disconnected
	}
	var metadata struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(raw, &metadata) != nil || resp.StatusCode != http.StatusOK || metadata.Name != name {
		return addresses.WrongBackend
	}
	return addresses.Verified
}

// reverify verifies a connection that was idle again. A failure counts against the address, whose other idle
// connections are closed too.
func (c *Conn) reverify(ctx context.Context, timeout time.Duration) bool {
	startedAt := c.pool.manager.Now()
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	c.Conn.SetDeadline(time.Now().Add(timeout))
	result := verify(c.Conn, c.reader, c.pool.Name)
	c.Conn.SetDeadline(time.Time{})
	if !stop() {
		c.discard()
		return false
	}
	p := c.pool
	p.mu.Lock()
	now := p.manager.Now()
	if result == addresses.Disconnected && now-startedAt >= timeout {
		result = addresses.TimedOut
	}
	p.tracker.Record(now, c.Address, result, now-startedAt)
	if result != addresses.Verified {
		p.closeIdle(func(other *Conn) bool { return other.Address == c.Address })
	}
	p.mu.Unlock()
	if result != addresses.Verified {
		c.discard()
	}
	return result == addresses.Verified
}

// Write writes to the connection and counts the bytes.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// Sent tells whether a byte of the request was sent. From then on the request is bound to this connection.
func (c *Conn) Sent() bool { return c.written > 0 }

// Do sends a request over the connection and returns the response, whose body must be closed; then the connection is
// put back into the pool or closed. On an error the connection is closed. ErrNotSent means that the request may be
// sent over another connection.
func (c *Conn) Do(ctx context.Context, r *http.Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	fail := func(err error) (*http.Response, error) {
		stop()
		c.discard()
		if !c.Sent() {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, err
	}
	out := bufio.NewWriter(c)
	if err := r.Write(out); err != nil {
		return fail(err)
	}
	if err := out.Flush(); err != nil {
		return fail(err)
	}
	resp, err := c.reader.readHead(r)
	if err != nil {
		return fail(err)
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: c, stop: stop, last: resp.Close}
	return resp, nil
}

// Send sends a request over a connection of the pool. It tries connections until a byte of the request was sent over
// one, for as long as getting one connection may take; newRequest is called for each. Without an error the body of
// the response must be closed.
func (p *Pool) Send(
	ctx context.Context, newRequest func() (*http.Request, error),
) (*Conn, *http.Response, error) {
	for deadline := p.manager.Now() + p.manager.DialTimeout; ; {
		conn, err := p.getUntil(ctx, deadline)
		if err != nil {
			return nil, nil, err
		}
		r, err := newRequest()
		if err != nil {
			conn.discard()
			return nil, nil, err
		}
		resp, err := conn.Do(ctx, r)
		if errors.Is(err, ErrNotSent) && ctx.Err() == nil {
			continue
		}
		return conn, resp, err
	}
}

// responseBody puts the connection back into the pool when the response was read to its end.
type responseBody struct {
	io.ReadCloser
	conn   *Conn
	stop   func() bool
	last   bool // the far side closes the connection after this response
	ended  bool
	closed bool
}

// Read reads from the body and notes its end.
func (b *responseBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// Close reads what little may follow the last event of a response. If more follows, the connection is closed.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.ended && !b.last {
		b.conn.SetReadDeadline(time.Now().Add(maxDrainTime))
		io.CopyN(io.Discard, b, maxDrainBytes)
		b.conn.SetReadDeadline(time.Time{})
	}
	if !b.stop() || !b.ended || b.last {
		b.conn.discard()
		return nil
	}
	p := b.conn.pool
	p.mu.Lock()
	p.putIdle(b.conn, false)
	p.mu.Unlock()
	return nil
}

// WriteRequest sends the bytes of a request and tells whether all of them were sent. Until then the request cannot
// have run.
func (c *Conn) WriteRequest(parts ...[]byte) (complete bool, err error) {
	total := int64(0)
	for _, part := range parts {
		total += int64(len(part))
	}
	buffers := net.Buffers(parts)
	n, err := buffers.WriteTo(c.Conn)
	c.written += n
	return n == total, err
}

// ReadResponse reads the head of a response; what follows it is read from Reader.
func (c *Conn) ReadResponse(request *http.Request) (*http.Response, error) {
	return c.reader.readHead(request)
}

// Reader returns the buffered reader of the connection.
func (c *Conn) Reader() *bufio.Reader { return c.reader.Reader }

// Discard closes the connection and frees its place in the pool. It must be called at most once.
func (c *Conn) Discard() { c.discard() }

func (c *Conn) discard() {
	c.Conn.Close()
	p := c.pool
	p.mu.Lock()
	p.open--
	p.notify()
	p.mu.Unlock()
}

// ReportServed records that a request over the connection was served.
func (c *Conn) ReportServed() { c.record(addresses.Served) }

// ReportFailed records that a request over the connection failed. The idle connections to the address are closed, so
// that the next request to it goes over a newly verified one.
func (c *Conn) ReportFailed() { c.record(addresses.RequestFailed) }

func (c *Conn) record(result addresses.Result) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Record(p.manager.Now(), c.Address, result, 0)
	if result == addresses.RequestFailed {
		p.closeIdle(func(other *Conn) bool { return other.Address == c.Address })
	}
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

// maintainIdle closes connections that were idle for too long, and opens one connection if one should be kept ready.
func (p *Pool) maintainIdle() {
	p.mu.Lock()
	now := p.manager.Now()
	p.closeIdle(func(c *Conn) bool { return now-c.idleSince >= maxIdleTime })
	var target *addresses.Address
	if !p.manager.SkipVerify && p.lastUsed > 0 && now-p.lastUsed < keepWarmTime && !p.removed && p.dialing == 0 &&
		p.open < p.manager.MaxConnsPerBackend {
		for _, a := range p.tracker.WarmAddresses(now) {
			if !slices.ContainsFunc(p.idle, func(c *Conn) bool { return c.Address == a }) {
				target = a
				break
			}
		}
	}
	p.mu.Unlock()
	if target != nil {
		p.manager.dialInBackground(p, target, func(now time.Duration, result addresses.Result, took time.Duration) {
			p.tracker.Record(now, target, result, took)
		})
	}
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

// URL returns the base URL for requests to a backend. It has the backend's name for a host: requests are not sent by
// name, but over a connection of the backend's pool.
func URL(name string) string { return "http://" + strings.ReplaceAll(name, " ", "-") }
