// Package dispatch hosts one brain.Dispatcher: a Loop is the one goroutine that owns the module, hands it what
// happens and carries out what it decides; attempts, clients and peers are goroutines that post closures to
// it. It decides nothing about requests itself, and what it says of an attempt is only what the socket proved. Begin
// with Loop, then Serve.
package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sloetrestle/brain"
	"sloetrestle/internal/addresses"
	"sloetrestle/internal/agenda"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/news"
	"sloetrestle/internal/storm"
)

// Transport takes attempts and messages out. Its methods are called by the loop and must not wait.
type Transport interface {
	Start(f *Attempt)
	Release(b *Backend, a *ClientRequest)  // of what the request's attempts so far may have left at a backend
	Reach(b *Backend, at []addresses.Spec) // none: the backend is gone
	Tell(peer int, n brain.PeerUpdate)
}

// Places turns the list's names into the module's numbers.
type Places struct {
	Zone, Kind func(name string) int
	Allows     func(addresses.Spec) bool // nil: all of them
}

// message is something that the loop is to do.
type message struct {
	do func()
	at time.Duration // when it was posted
}

// release lets go at a backend of what a request's attempts so far may have left there.
func (l *Loop) release(b *Backend, a *ClientRequest) {
	l.carrier.Release(b, a)
}

// Key names a request at backends.
func (l *Loop) Key(a *ClientRequest) string { return fmt.Sprintf("%s/%d", l.Epoch, a.Request.ID) }

// Loop owns the module.
type Loop struct {
	Epoch string // this dispatcher's name and start
	Log   *slog.Logger

	module  Module
	carrier Transport
	places  Places
	since   func() time.Duration

	mu     sync.Mutex
	queue  []message
	closed bool
	bell   chan struct{}
	ended  chan struct{}

	// Owned by the loop's goroutine.
	now      time.Duration
	wakes    agenda.Agenda // timers of the module and the loop
	requests map[*brain.Request]*ClientRequest
	lastID   uint64
	backends map[string]*Backend
	byHost   map[*brain.Backend]*Backend
	hosts    map[uint32]*brain.Backend

	further map[string][]addresses.Spec // of backends, from the own file
	Tally   Tally
	Lag     Lag
	gone    []*Backend // that may be forgotten some time

	books *Books

	Guard *storm.Guard // in front of the module; nil: every try goes to it, and its own advice to clients
}

// NewLoop makes a loop and its module. since is the clock, a span since the start.
func NewLoop(facts brain.Settings, seed uint64, places Places, carrier Transport, since func() time.Duration, epoch string, log *slog.Logger) (*Loop, error) {
	if places.Allows == nil {
		places.Allows = func(addresses.Spec) bool { return true }
	}
	l := &Loop{
		Epoch: epoch, Log: log, carrier: carrier, places: places, since: since, bell: make(chan struct{}, 1), ended: make(chan struct{}),
		requests: map[*brain.Request]*ClientRequest{}, backends: map[string]*Backend{}, byHost: map[*brain.Backend]*Backend{},
		hosts: map[uint32]*brain.Backend{}, now: since(),
	}
	module, err := brain.New(facts, seed, l)
	l.module = module
	return l, err
}

// Module is what a loop hosts: brain.Dispatcher, or a baseline to compare it with.
type Module interface {
	Listed(lines []brain.Endpoint, whole bool)
	Submit(q *brain.Request, grade, channel int)
	Began(t *brain.Attempt, took time.Duration)
	Ended(t *brain.Attempt, r brain.Result)
	Left(q *brain.Request)
	Heard(n brain.PeerUpdate)
	MaySend(t *brain.Attempt) brain.Permission
}

// Host puts another module in the place of the loop's, before anything has happened.
func (l *Loop) Host(m Module) {
	l.module = m
	l.wakes.Clear()
}

// NextDue is when the loop's next timer is due; false: it has none.
func (l *Loop) NextDue() (time.Duration, bool) { return l.wakes.Next() }

// Post hands the loop something to do; false if it has ended.
func (l *Loop) Post(do func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	now := l.since()
	l.queue = append(l.queue, message{do, now})
	l.Lag.posted(now)
	select {
	case l.bell <- struct{}{}:
	default:
	}
	return true
}

// Call posts and waits until it is done.
func (l *Loop) Call(ctx context.Context, do func()) bool {
	done := make(chan struct{})
	if !l.Post(func() { do(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.ended:
	case <-ctx.Done():
	}
	return false
}

// Run works until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer func() {
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		close(l.ended)
	}()
	for {
		l.mu.Lock()
		work := l.queue
		l.queue = nil
		l.mu.Unlock()
		for i, m := range work {
			l.Lag.next(work[i:])
			l.take(m)
		}
		l.mu.Lock()
		l.Lag.next(l.queue)
		l.mu.Unlock()
		l.Due()
		if len(work) > 0 {
			select {
			case <-ctx.Done():
				return nil
			default:
				continue
			}
		}
		sleep := time.Hour
		if at, ok := l.wakes.Next(); ok {
			sleep = max(at-l.since(), 0)
		}
		timer.Reset(sleep)
		select {
		case <-ctx.Done():
			return nil
		case <-l.bell:
		case <-timer.C:
		}
	}
}

// take does what a message asks for, and then what has come due: timers don't wait behind all messages.
func (l *Loop) take(m message) {
	l.Do(m.do)
	l.Lag.LongestWait = max(l.Lag.LongestWait, l.now-m.at)
	ended := l.since()
	l.Lag.turn(l.now, ended, l.Log)
	if at, ok := l.wakes.Next(); ok && at <= ended {
		l.Due()
	}
}

// Behind is how long the oldest message has waited for its turn. Any goroutine may ask.
func (l *Loop) Behind() time.Duration { return l.Lag.now(l.since()) }

// Do runs one thing at the present time. Only the loop's goroutine, and tests without one, call it.
func (l *Loop) Do(do func()) {
	l.now = l.since()
	do()
}

// Due runs the timers whose time has come.
func (l *Loop) Due() {
	for now := l.since(); ; {
		at, do, ok := l.wakes.Take(now)
		if !ok {
			return
		}
		l.Lag.LatestTimer = max(l.Lag.LatestTimer, now-at)
		l.Do(do)
		l.Lag.turn(l.now, l.since(), l.Log)
	}
}

// Submit takes a request, which has left for its answer.
func (l *Loop) Submit(a *ClientRequest, grade, channel int, left time.Duration) {
	if a.Over() {
		return // it had to wait for its turn, and is over meanwhile
	}
	l.lastID++
	a.began, a.final, a.waiting = make(chan *Attempt, 1), make(chan kserve.Final, 1), map[*Backend]bool{}
	a.from = l.now
	k := a.Ask
	a.Request = &brain.Request{
		ID: l.lastID, SessionKey: Number(k.Session), PrefixKey: Number(k.Shared), PromptTokens: float64(k.Tokens), PrefixTokens: float64(k.Prefix),
		MaxOutputTokens: float64(k.Most), ClientRetry: k.Again, Timeout: left,
	}
	l.Tally.Taken++
	a.channel = channel
	if l.Guard != nil {
		if admit, after, ticket := l.Guard.Arrive(l.now, k.Again, channel, k.Ticket); !admit {
			a.Request.Finished = true
			l.Tally.Damped++
			l.answer(a, kserve.Final{Final: kserve.Declined, Error: "too many ask again just now", Harmless: true, AfterMs: after.Milliseconds(), Ticket: ticket})
			return
		}
	}
	l.requests[a.Request] = a
	// The module answers every request in its time; if ever it did not, its client must not be left hanging.
	l.Schedule(left+overdue, func() {
		begun := a.flight != nil && a.flight.Planned.FirstTokenAt > 0
		if !a.answered && !a.left && !begun {
			l.Tally.Overdue++
			l.Log.Error("question overdue", "question", a.Request.ID)
			l.answer(a, kserve.Final{Final: kserve.Forfeited, Error: "no answer came in time"})
			l.module.Left(a.Request)
			l.forget(a)
		}
	})
	l.pay(a, func() {
		a.Request.Timeout = left - (l.now - a.from)
		l.module.Submit(a.Request, grade, channel)
		l.forget(a)
	})
}

// overdue is how long after its time a request without an answer is given up on.
const overdue = 5 * time.Millisecond

// Number hashes a name for the module; 0 is none.
func Number(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(xxhash.Sum64String(name), 1)
}

// answer gives the one final answer. It is the only place that does (rule 1).
func (l *Loop) answer(a *ClientRequest, f kserve.Final) {
	if a.answered {
		return
	}
	a.answered = true
	a.End()
	f.Trips = len(a.Request.Attempts)
	l.accountOver(a, f.Final, f.Error)
	if l.Guard != nil && !a.unpaid && f.Trips+int(f.AfterMs) > 0 {
		well, q := f.Final == kserve.Satisfied, a.Request
		inTime := well && len(q.Attempts) > 0 && q.Attempts[len(q.Attempts)-1].FirstTokenAt <= q.TargetAt
		l.Guard.Answered(l.now, well, !a.Ask.Again && a.Ask.Ticket == "", inTime, a.channel)
	}
	switch f.Final {
	case kserve.Satisfied:
		l.Tally.Satisfied++
	case kserve.Declined:
		l.Tally.Declined++
	default:
		l.Tally.Forfeited++
	}
	l.Log.Debug("question over", "question", a.Request.ID, "id", a.Ask.ID, "grade", a.Grade, "final", f.Final,
		"trips", f.Trips, "took", l.now-a.from, "error", f.Error)
	if a.Tell != nil {
		a.Tell(f)
		return
	}
	a.final <- f
}

// forget drops a request that is over and has no attempt out.
func (l *Loop) forget(a *ClientRequest) {
	if a.Request.Finished && a.Request.InFlight() == nil {
		delete(l.requests, a.Request)
		a.Matter = nil // timers know the request for seconds more
		l.settle(a)
	}
}

// News takes a peer's message.
func (l *Loop) News(raw []byte) error {
	got, err := news.Decode(raw, l.hosts)
	if err == nil && got.Backend != nil {
		l.Heard(got)
	}
	return err
}

// Left takes word that a client has gone.
func (l *Loop) Left(a *ClientRequest) {
	if a.Request == nil || a.answered || a.left {
		return
	}
	a.left = true
	a.End()
	l.accountOver(a, "left", "")
	l.Tally.Left++
	if a.flight != nil && a.flight.Planned.FirstTokenAt > 0 {
		a.flight.Off(ErrLeft)
	}
	l.module.Left(a.Request)
	l.forget(a)
}

// HostOf is the module's backend of a backend; nil: the list has not named it.
func (l *Loop) HostOf(name string) *brain.Backend {
	if b := l.backends[name]; b != nil {
		return b.Known
	}
	return nil
}

// Believes is what the module takes to be so; nothing of a module that does not say.
func (l *Loop) Believes() (b brain.Summary) {
	if m, ok := l.module.(interface{ Believes() brain.Summary }); ok {
		b = m.Believes()
	}
	return b
}

// Heard takes a peer's news.
func (l *Loop) Heard(n brain.PeerUpdate) { l.module.Heard(n) }
