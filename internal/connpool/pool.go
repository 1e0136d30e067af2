// Package connpool holds the connection pools of the backends. It races connection attempts in the order that package
// addresses gives, verifies that the far side of a connection reads requests and is the backend that is meant, keeps
// verified connections for reuse, and sends a request over exactly one of them. It decides nothing about order,
// timeouts or trust, and never resends a request of which a byte was sent. Start with Manager and Pool.Get.
package connpool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/system"
)

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
