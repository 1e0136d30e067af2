// Package reach connects to boxes: it races connections as internal/addresses decides, has each one prove that the
// far side reads and is the box that is meant, keeps proven connections, and sends a request over exactly one of
// them. It decides nothing about order, times or trust, and never sends a request again of which a byte went out.
// Begin with Boxes.Get.
package reach

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

// Boxes are all the boxes that a dispatcher may connect to.
type Manager struct {
	DialTimeout        time.Duration // for a connection, all addresses together
	MaxConnsPerBackend int           // connections to one box
	Now                func() time.Duration
	Context            context.Context
	Group              *errgroup.Group
	Dial               func(ctx context.Context, network, address string) (net.Conn, error) // nil: the operating system's
	SkipVerify         bool                                                                 // the far side knows no proof: a connection counts once it is up, takes one request, and none is made unasked

	mu      sync.Mutex
	hosts   map[string]*Pool
	order   []*Pool // by when they were first heard of
	leaving bool    // some of them are gone
	budget  addresses.Budget
}

// Host is one box as it is reached.
type Pool struct {
	Name string
	all  *Manager

	mu      sync.Mutex
	book    *addresses.Tracker
	idle    []*Conn
	open    int // connections, idle ones too
	racing  int
	used    time.Duration
	changed chan struct{} // closed when a connection or a place for one comes free
	gone    bool
}

// Conn is one use of a proven connection.
type Conn struct {
	net.Conn
	Address *addresses.Address
	host    *Pool
	read    *reader
	since   time.Duration // idle since
	wrote   int64         // bytes of the present request that went out
}

// reader reads a connection, and no more of it than a head may have while one is read.
type reader struct {
	*bufio.Reader
	from io.LimitedReader
}

func newReader(conn net.Conn) *reader {
	r := &reader{from: io.LimitedReader{R: conn, N: math.MaxInt64}}
	r.Reader = bufio.NewReader(&r.from)
	return r
}

// response reads an answer's head.
func (r *reader) response(to *http.Request) (*http.Response, error) {
	r.from.N = headMost
	resp, err := http.ReadResponse(r.Reader, to)
	if err != nil && r.from.N == 0 {
		err = errHead
	}
	r.from.N = math.MaxInt64
	return resp, err
}

// Why no connection was to be had, or no answer came.
var (
	ErrUnreachable = errors.New("no address of the box connects and answers")
	ErrLocal       = errors.New("this machine can't connect just now, which says nothing of the box")
	ErrNotSent     = errors.New("not a byte of the request went out")
	errHead        = fmt.Errorf("the head of an answer is longer than %d bytes", headMost)
)

const (
	idleMost  = 20 * time.Second // an idle connection is closed after that; boxes should keep them longer
	usedMost  = 30 * time.Second // a box without questions for so long needs no warm connection
	proofMost = 4096             // bytes of a proof's body
	headMost  = 64 << 10         // bytes of an answer's head
	drainTime = 50 * time.Millisecond
	drainMost = 64 << 10
)

// Set says which addresses a box has; none: it is gone. Connections to addresses that it has no more are closed when
// they are idle, and not kept when their trip ends.
func (b *Manager) SetAddresses(name string, specs []addresses.Spec, seed uint64) *Pool {
	b.mu.Lock()
	if b.hosts == nil {
		b.hosts = map[string]*Pool{}
	}
	h := b.hosts[name]
	if h == nil {
		h = &Pool{Name: name, all: b, book: addresses.NewBook(seed), changed: make(chan struct{})}
		b.hosts[name] = h
		b.order = append(b.order, h)
	}
	b.leaving = b.leaving || len(specs) == 0
	h.mu.Lock() // before it could be forgotten
	defer h.mu.Unlock()
	b.mu.Unlock()
	h.book.Set(specs)
	h.gone = len(specs) == 0
	h.dropIdle(func(c *Conn) bool { return c.Address.Dropped })
	return h
}

// Best lists the box's addresses, the best just now first.
func (h *Pool) Addresses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var at []string
	for _, a := range h.book.Order(h.all.Now()) {
		at = append(at, a.Spec.String())
	}
	return at
}

// Look calls look with each box's book, which must not be kept.
func (b *Manager) ForEach(look func(name string, book *addresses.Tracker, open, idle int)) {
	for _, h := range b.listed() {
		h.mu.Lock()
		look(h.Name, h.book, h.open, len(h.idle))
		h.mu.Unlock()
	}
}

// Known is how many boxes there are.
func (b *Manager) Len() int { return len(b.listed()) }

func (b *Manager) listed() []*Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.order)
}

// dropIdle closes idle connections; the host is locked.
func (h *Pool) dropIdle(which func(*Conn) bool) {
	if len(h.idle) == 0 {
		return
	}
	h.idle = slices.DeleteFunc(h.idle, func(c *Conn) bool {
		if !which(c) {
			return false
		}
		c.Conn.Close()
		h.open--
		return true
	})
	h.notify()
}

// notify wakes those who wait for a connection; the host is locked.
func (h *Pool) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Get returns a proven connection: an idle one, else the first that a race of the addresses brings.
func (h *Pool) Get(ctx context.Context) (*Conn, error) {
	return h.get(ctx, h.all.Now()+h.all.DialTimeout)
}

// get does so until a time.
func (h *Pool) get(ctx context.Context, until time.Duration) (*Conn, error) {
	limit := time.NewTimer(until - h.all.Now())
	defer limit.Stop()
	for {
		h.mu.Lock()
		if h.gone {
			h.mu.Unlock()
			return nil, ErrUnreachable
		}
		if h.all.Now() >= until {
			h.mu.Unlock()
			return nil, ErrUnreachable
		}
		if err := ctx.Err(); err != nil {
			h.mu.Unlock()
			return nil, err
		}
		h.used = h.all.Now()
		if c := h.takeIdle(); c != nil {
			fresh, within := h.used-c.since < addresses.FreshFor, h.book.Stagger()
			h.mu.Unlock()
			if fresh || c.again(ctx, within) {
				return c, nil
			}
			continue
		}
		if h.open < h.all.MaxConnsPerBackend && h.racing < addresses.MostRaces {
			h.open++
			h.racing++
			race := h.book.Race(h.all.Now(), until)
			h.mu.Unlock()
			return h.race(ctx, race)
		}
		changed := h.changed
		h.mu.Unlock()
		select {
		case <-changed:
		case <-limit.C:
			return nil, fmt.Errorf("%w: as many connections to it are being made as may be", ErrLocal)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// takeIdle returns the idle connection that was used last and still stands, at the address that is best just now.
func (h *Pool) takeIdle() *Conn {
	now := h.all.Now()
	for _, a := range h.book.Order(now) {
		for i := len(h.idle) - 1; i >= 0; i-- {
			c := h.idle[i]
			if c.Address != a {
				continue
			}
			h.idle = slices.Delete(h.idle, i, i+1)
			if now-c.since < idleMost && c.stands() {
				// Each use has a Conn of its own: whoever had it last may still ask whether its request was sent.
				return &Conn{Conn: c.Conn, Address: c.Address, host: h, read: c.read, since: c.since}
			}
			c.Conn.Close()
			h.open--
		}
		if a.Suspected(now) {
			break // before a doubtful address's old connections, a race has its say
		}
	}
	return nil
}

// stands tells whether the far side has neither closed an idle connection nor said something unasked.
func (c *Conn) stands() bool {
	if c.read.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	fine := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, e := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		fine = n < 0 && (e == syscall.EAGAIN || e == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && fine
}

// race runs one race. The place for its connection is taken already.
func (h *Pool) race(ctx context.Context, race *addresses.Race) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, h.all.DialTimeout)
	defer cancel()
	won, ended := make(chan *Conn, 1), make(chan struct{}, 16)
	var local error // of the last try, if this machine could not begin it; the host's lock guards it
	finish := func(c *Conn) (*Conn, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		race.End(h.all.Now())
		h.racing--
		if c == nil {
			select {
			case c = <-won: // it came in the same moment
			default:
				h.open--
				h.notify()
				if local != nil {
					return nil, fmt.Errorf("%w: %w", ErrLocal, local)
				}
				return nil, ErrUnreachable
			}
		}
		h.notify()
		return c, nil
	}
	for {
		h.mu.Lock()
		a, wait, over := race.Next(h.all.Now())
		var spec addresses.Spec
		if a != nil {
			spec = a.Spec
		}
		h.mu.Unlock()
		if a != nil {
			h.all.Group.Go(func() error {
				began := h.all.Now()
				conn, read, res, err := h.connect(ctx, spec)
				h.mu.Lock()
				defer h.mu.Unlock()
				local = nil
				if res == addresses.NotTried {
					local = err
				}
				now := h.all.Now()
				first := race.Did(now, a, res, now-began)
				switch {
				case first:
					won <- &Conn{Conn: conn, Address: a, host: h, read: read}
				case res == addresses.Proven:
					h.keep(&Conn{Conn: conn, Address: a, host: h, read: read}, true)
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
		case c := <-won:
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

// keep puts a proven connection among the idle ones, if there is use for it; the host is locked. fresh: it has no
// place among the open ones yet.
func (h *Pool) keep(c *Conn, fresh bool) {
	if c.Address.Dropped || h.gone || h.all.Context.Err() != nil || fresh && h.open >= h.all.MaxConnsPerBackend {
		c.Conn.Close()
		if !fresh {
			h.open--
		}
		h.notify()
		return
	}
	if fresh {
		h.open++
	}
	c.since = h.all.Now()
	h.idle = append(h.idle, c)
	h.notify()
}

// connect opens a connection and has it proved: the far side must read a request and answer with the box's name.
func (h *Pool) connect(ctx context.Context, spec addresses.Spec) (net.Conn, *reader, addresses.Result, error) {
	dial := h.all.Dial
	if dial == nil {
		dial = system.Real().Dial
	}
	conn, err := dial(ctx, spec.Network, spec.Addr)
	if err != nil {
		return nil, nil, refusal(ctx, err), err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	read := newReader(conn)
	res := addresses.Proven
	if !h.all.SkipVerify {
		res = prove(conn, read, h.Name)
	}
	if !stop() && res != addresses.OtherOwner {
		res = addresses.Silent
	}
	if res != addresses.Proven {
		conn.Close()
		return nil, nil, res, nil
	}
	return conn, read, res, nil
}

// refusal is what an error of connecting says of the address.
func refusal(ctx context.Context, err error) addresses.Result {
	switch {
	case system.IsLocalError(err):
		return addresses.NotTried
	case ctx.Err() != nil, errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH):
		return addresses.Silent
	}
	return addresses.Refused
}

func prove(conn net.Conn, read *reader, name string) addresses.Result {
	if _, err := fmt.Fprintf(conn, "GET /v2 HTTP/1.1\r\nHost: %s\r\n\r\n", name); err != nil {
		return addresses.Broke
	}
	resp, err := read.response(nil)
	if err != nil {
		return addresses.Broke
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, proofMost+1))
	resp.Body.Close()
	if err != nil || len(raw) > proofMost || resp.Close {
		return addresses.Broke
	}
	var said struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(raw, &said) != nil || resp.StatusCode != http.StatusOK || said.Name != name {
		return addresses.OtherOwner
	}
	return addresses.Proven
}

// again has a connection that rested prove itself anew. One that doesn't speaks against its address, whose other idle
// connections are closed with it.
func (c *Conn) again(ctx context.Context, within time.Duration) bool {
	began := c.host.all.Now()
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	c.Conn.SetDeadline(time.Now().Add(within))
	res := prove(c.Conn, c.read, c.host.Name)
	c.Conn.SetDeadline(time.Time{})
	if !stop() {
		c.drop()
		return false
	}
	h := c.host
	h.mu.Lock()
	now := h.all.Now()
	if res == addresses.Broke && now-began >= within {
		res = addresses.Silent
	}
	h.book.Did(now, c.Address, res, now-began)
	if res != addresses.Proven {
		h.dropIdle(func(o *Conn) bool { return o.Address == c.Address })
	}
	h.mu.Unlock()
	if res != addresses.Proven {
		c.drop()
	}
	return res == addresses.Proven
}

// Write counts what went out.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wrote += int64(n)
	return n, err
}

// Sent tells whether a byte of the request went out: from then on it is bound to this connection.
func (c *Conn) Sent() bool { return c.wrote > 0 }

// Do sends a request over the connection and returns its answer, whose body must be closed; then the connection is
// kept or closed. An error that is ErrNotSent means that the request may go over another connection.
func (c *Conn) Do(ctx context.Context, r *http.Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	fail := func(err error) (*http.Response, error) {
		stop()
		c.drop()
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
	resp, err := c.read.response(r)
	if err != nil {
		return fail(err)
	}
	resp.Body = &body{ReadCloser: resp.Body, conn: c, stop: stop, last: resp.Close}
	return resp, nil
}

// Send gets connections until a request went out over one, for as long as one connection may take; nothing of it was sent
// over those before. make is called anew for each. Without an error the answer's body must be closed.
func (h *Pool) Send(ctx context.Context, make func() (*http.Request, error)) (*Conn, *http.Response, error) {
	for until := h.all.Now() + h.all.DialTimeout; ; {
		conn, err := h.get(ctx, until)
		if err != nil {
			return nil, nil, err
		}
		r, err := make()
		if err != nil {
			conn.drop()
			return nil, nil, err
		}
		resp, err := conn.Do(ctx, r)
		if errors.Is(err, ErrNotSent) && ctx.Err() == nil {
			continue
		}
		return conn, resp, err
	}
}

// body gives the connection back when the answer has been read.
type body struct {
	io.ReadCloser
	conn   *Conn
	stop   func() bool
	last   bool // no further answer follows on this connection
	ended  bool
	closed bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// Close reads the little that may follow an answer's last event; with more to come the connection is closed.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.ended && !b.last {
		b.conn.SetReadDeadline(time.Now().Add(drainTime))
		io.CopyN(io.Discard, b, drainMost)
		b.conn.SetReadDeadline(time.Time{})
	}
	if !b.stop() || !b.ended || b.last {
		b.conn.drop()
		return nil
	}
	h := b.conn.host
	h.mu.Lock()
	h.keep(b.conn, false)
	h.mu.Unlock()
	return nil
}

// Put sends the bytes of a request and tells whether the last of them went out: until then the request can't have run.
func (c *Conn) WriteRequest(parts ...[]byte) (whole bool, err error) {
	total := int64(0)
	for _, p := range parts {
		total += int64(len(p))
	}
	bufs := net.Buffers(parts)
	n, err := bufs.WriteTo(c.Conn)
	c.wrote += n
	return n == total, err
}

// Head reads an answer's head; what follows it comes from Bytes.
func (c *Conn) ReadResponse(to *http.Request) (*http.Response, error) { return c.read.response(to) }

// Bytes is what the far side sends.
func (c *Conn) Reader() *bufio.Reader { return c.read.Reader }

// Drop closes the connection.
func (c *Conn) Discard() { c.drop() }

func (c *Conn) drop() {
	c.Conn.Close()
	h := c.host
	h.mu.Lock()
	h.open--
	h.notify()
	h.mu.Unlock()
}

// Served and Lost tell how a request over an address ended. After a lost one the address's idle connections are
// closed: what is sent next there has a new proof before it.
func (c *Conn) ReportServed() { c.did(addresses.Served) }
func (c *Conn) ReportFailed() { c.did(addresses.Lost) }

func (c *Conn) did(r addresses.Result) {
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	h.book.Did(h.all.Now(), c.Address, r, 0)
	if r == addresses.Lost {
		h.dropIdle(func(o *Conn) bool { return o.Address == c.Address })
	}
}

// Look again and keep warm, until the boxes' life ends.
func (b *Manager) Run() error {
	const step = 250 * time.Millisecond
	tick := time.NewTicker(step)
	defer tick.Stop()
	for {
		select {
		case <-b.Context.Done():
			for _, h := range b.listed() {
				h.mu.Lock()
				h.dropIdle(func(*Conn) bool { return true })
				h.mu.Unlock()
			}
			return nil
		case <-tick.C:
		}
		b.forget()
		if !b.SkipVerify {
			b.recheck()
		}
		for _, h := range b.listed() {
			h.warm()
		}
	}
}

// forget drops boxes that are gone and have no connection left.
func (b *Manager) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leaving {
		return
	}
	b.leaving = false
	b.order = slices.DeleteFunc(b.order, func(h *Pool) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.gone || h.open > 0 || h.racing > 0 {
			b.leaving = b.leaving || h.gone
			return false
		}
		delete(b.hosts, h.Name)
		return true
	})
}

// recheck looks at one doubtful address again, if the budget has a try for it.
func (b *Manager) recheck() {
	hosts := b.listed()
	var books []*addresses.Tracker
	for _, h := range hosts {
		h.mu.Lock()
		books = append(books, h.book)
	}
	book, a := b.budget.Recheck(b.Now(), books)
	for _, h := range hosts {
		h.mu.Unlock()
	}
	if a == nil {
		return
	}
	h := hosts[slices.Index(books, book)]
	b.try(h, a, func(now time.Duration, res addresses.Result, took time.Duration) { book.Rechecked(now, a, res, took) })
}

// warm closes what was idle for long and opens what should be ready, one connection at a time.
func (h *Pool) warm() {
	h.mu.Lock()
	now := h.all.Now()
	h.dropIdle(func(c *Conn) bool { return now-c.since >= idleMost })
	var want *addresses.Address
	if !h.all.SkipVerify && h.used > 0 && now-h.used < usedMost && !h.gone && h.racing == 0 && h.open < h.all.MaxConnsPerBackend {
		for _, a := range h.book.Warm(now) {
			if !slices.ContainsFunc(h.idle, func(c *Conn) bool { return c.Address == a }) {
				want = a
				break
			}
		}
	}
	h.mu.Unlock()
	if want != nil {
		h.all.try(h, want, func(now time.Duration, res addresses.Result, took time.Duration) { h.book.Did(now, want, res, took) })
	}
}

// try makes one connection in the background.
func (b *Manager) try(h *Pool, a *addresses.Address, did func(time.Duration, addresses.Result, time.Duration)) {
	h.mu.Lock()
	h.racing++
	spec := a.Spec
	h.mu.Unlock()
	b.Group.Go(func() error {
		ctx, cancel := context.WithTimeout(b.Context, b.DialTimeout)
		defer cancel()
		began := b.Now()
		conn, read, res, _ := h.connect(ctx, spec)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.racing--
		did(b.Now(), res, b.Now()-began)
		if res == addresses.Proven {
			h.keep(&Conn{Conn: conn, Address: a, host: h, read: read}, true)
		}
		h.notify()
		return nil
	})
}

// URL is a request's address for a box: requests are made for its name, and sent over a connection.
func URL(name string) string { return "http://" + strings.ReplaceAll(name, " ", "-") }
