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
	Release(b *Backend, a *ClientRequest)         // of what the request's attempts so far may have left at a backend
	SetAddresses(b *Backend, at []addresses.Spec) // none: the backend is gone
	SendPeerUpdate(peer int, n brain.PeerUpdate)
}

// Places turns the list's names into the module's numbers.
type Resolver struct {
	ZoneNumber, KindNumber func(name string) int
	AddressAllowed         func(addresses.Spec) bool // nil: all of them
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
func (l *Loop) RequestKey(a *ClientRequest) string {
	return fmt.Sprintf("%s/%d", l.Epoch, a.Scheduled.ID)
}

// Loop owns the module.
type Loop struct {
	Epoch string // this dispatcher's name and start
	Log   *slog.Logger

	module  Scheduler
	carrier Transport
	places  Resolver
	since   func() time.Duration

	mu     sync.Mutex
	queue  []message
	closed bool
	bell   chan struct{}
	ended  chan struct{}

	// Owned by the loop's goroutine.
	now      time.Duration
	wakes    agenda.Queue // timers of the module and the loop
	requests map[*brain.Request]*ClientRequest
	lastID   uint64
	backends map[string]*Backend
	byHost   map[*brain.Backend]*Backend
	hosts    map[uint32]*brain.Backend

	further  map[string][]addresses.Spec // of backends, from the own file
	Counters Counters
	Lag      Lag
	gone     []*Backend // that may be forgotten some time

	books *Accounting

	RetryThrottle *storm.RetryThrottle // in front of the module; nil: every try goes to it, and its own advice to clients
}

// NewLoop makes a loop and its module. since is the clock, a span since the start.
func NewLoop(facts brain.Settings, seed uint64, places Resolver, carrier Transport, since func() time.Duration, epoch string, log *slog.Logger) (*Loop, error) {
	if places.AddressAllowed == nil {
		places.AddressAllowed = func(addresses.Spec) bool { return true }
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
type Scheduler interface {
	UpdateEndpoints(lines []brain.Endpoint, whole bool)
	Submit(q *brain.Request, grade, channel int)
	FirstToken(t *brain.Attempt, took time.Duration)
	AttemptDone(t *brain.Attempt, r brain.Result)
	ClientDisconnected(q *brain.Request)
	PeerUpdated(n brain.PeerUpdate)
	MaySend(t *brain.Attempt) brain.Permission
}

// Host puts another module in the place of the loop's, before anything has happened.
func (l *Loop) SetScheduler(m Scheduler) {
	l.module = m
	l.wakes.Clear()
}

// NextDue is when the loop's next timer is due; false: it has none.
func (l *Loop) NextTimer() (time.Duration, bool) { return l.wakes.NextDue() }

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
		l.RunTimers()
		if len(work) > 0 {
			select {
			case <-ctx.Done():
				return nil
			default:
				continue
			}
		}
		sleep := time.Hour
		if at, ok := l.wakes.NextDue(); ok {
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
	l.RunTurn(m.do)
	l.Lag.LongestWait = max(l.Lag.LongestWait, l.now-m.at)
	ended := l.since()
	l.Lag.turn(l.now, ended, l.Log)
	if at, ok := l.wakes.NextDue(); ok && at <= ended {
		l.RunTimers()
	}
}

// Behind is how long the oldest message has waited for its turn. Any goroutine may ask.
func (l *Loop) QueueDelay() time.Duration { return l.Lag.now(l.since()) }

// Do runs one thing at the present time. Only the loop's goroutine, and tests without one, call it.
func (l *Loop) RunTurn(do func()) {
	l.now = l.since()
	do()
}

// Due runs the timers whose time has come.
func (l *Loop) RunTimers() {
	for now := l.since(); ; {
		at, do, ok := l.wakes.PopDue(now)
		if !ok {
			return
		}
		l.Lag.LongestTimerDelay = max(l.Lag.LongestTimerDelay, now-at)
		l.RunTurn(do)
		l.Lag.turn(l.now, l.since(), l.Log)
	}
}

// Submit takes a request, which has left for its answer.
func (l *Loop) Submit(a *ClientRequest, grade, channel int, left time.Duration) {
	if a.Over() {
		return // it had to wait for its turn, and is over meanwhile
	}
	l.lastID++
	a.began, a.final, a.waiting = make(chan *Attempt, 1), make(chan kserve.FinalResponse, 1), map[*Backend]bool{}
	a.from = l.now
	k := a.Params
	a.Scheduled = &brain.Request{
		ID: l.lastID, SessionKey: HashName(k.Session), PrefixKey: HashName(k.SharedPrefix), PromptTokens: float64(k.PromptTokens), PrefixTokens: float64(k.PrefixTokens),
		MaxOutputTokens: float64(k.MaxTokens), ClientRetry: k.IsRetry, Timeout: left,
	}
	l.Counters.Accepted++
	a.channel = channel
	if l.RetryThrottle != nil {
		if admit, after, ticket := l.RetryThrottle.Admit(l.now, k.IsRetry, channel, k.RetryTicket); !admit {
			a.Scheduled.Finished = true
			l.Counters.Throttled++
			l.answer(a, kserve.FinalResponse{Outcome: kserve.Rejected, Error: "too many ask again just now", SafeToRetry: true, RetryAfterMs: after.Milliseconds(), RetryTicket: ticket})
			return
		}
	}
	l.requests[a.Scheduled] = a
	// The module answers every request in its time; if ever it did not, its client must not be left hanging.
	l.Schedule(left+overdue, func() {
		begun := a.flight != nil && a.flight.Scheduled.FirstTokenAt > 0
		if !a.answered && !a.left && !begun {
			l.Counters.Overdue++
			l.Log.Error("question overdue", "question", a.Scheduled.ID)
			l.answer(a, kserve.FinalResponse{Outcome: kserve.Failed, Error: "no answer came in time"})
			l.module.ClientDisconnected(a.Scheduled)
			l.forget(a)
		}
	})
	l.pay(a, func() {
		a.Scheduled.Timeout = left - (l.now - a.from)
		l.module.Submit(a.Scheduled, grade, channel)
		l.forget(a)
	})
}

// overdue is how long after its time a request without an answer is given up on.
const overdue = 5 * time.Millisecond

// Number hashes a name for the module; 0 is none.
func HashName(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(xxhash.Sum64String(name), 1)
}

// answer gives the one final answer. It is the only place that does (rule 1).
func (l *Loop) answer(a *ClientRequest, f kserve.FinalResponse) {
	if a.answered {
		return
	}
	a.answered = true
	a.MarkOver()
	f.Attempts = len(a.Scheduled.Attempts)
	l.accountOver(a, f.Outcome, f.Error)
	if l.RetryThrottle != nil && !a.unpaid && f.Attempts+int(f.RetryAfterMs) > 0 {
		well, q := f.Outcome == kserve.Served, a.Scheduled
		inTime := well && len(q.Attempts) > 0 && q.Attempts[len(q.Attempts)-1].FirstTokenAt <= q.TargetAt
		l.RetryThrottle.RequestDone(l.now, well, !a.Params.IsRetry && a.Params.RetryTicket == "", inTime, a.channel)
	}
	switch f.Outcome {
	case kserve.Served:
		l.Counters.Served++
	case kserve.Rejected:
		l.Counters.Rejected++
	default:
		l.Counters.Failed++
	}
	l.Log.Debug("question over", "question", a.Scheduled.ID, "id", a.Params.ID, "grade", a.Class, "final", f.Outcome,
		"trips", f.Attempts, "took", l.now-a.from, "error", f.Error)
	if a.OnFinal != nil {
		a.OnFinal(f)
		return
	}
	a.final <- f
}

// forget drops a request that is over and has no attempt out.
func (l *Loop) forget(a *ClientRequest) {
	if a.Scheduled.Finished && a.Scheduled.InFlight() == nil {
		delete(l.requests, a.Scheduled)
		a.Payload = nil // timers know the request for seconds more
		l.settle(a)
	}
}

// News takes a peer's message.
func (l *Loop) ReceivePeerUpdate(raw []byte) error {
	got, err := news.Decode(raw, l.hosts)
	if err == nil && got.Backend != nil {
		l.ApplyPeerUpdate(got)
	}
	return err
}

// Left takes word that a client has gone.
func (l *Loop) ClientDisconnected(a *ClientRequest) {
	if a.Scheduled == nil || a.answered || a.left {
		return
	}
	a.left = true
	a.MarkOver()
	l.accountOver(a, "left", "")
	l.Counters.Disconnected++
	if a.flight != nil && a.flight.Scheduled.FirstTokenAt > 0 {
		a.flight.Cancel(ErrNotNeeded)
	}
	l.module.ClientDisconnected(a.Scheduled)
	l.forget(a)
}

// HostOf is the module's backend of a backend; nil: the list has not named it.
func (l *Loop) SchedulerBackend(name string) *brain.Backend {
	if b := l.backends[name]; b != nil {
		return b.SchedulerState
	}
	return nil
}

// Believes is what the module takes to be so; nothing of a module that does not say.
func (l *Loop) Estimates() (b brain.Summary) {
	if m, ok := l.module.(interface{ Estimates() brain.Summary }); ok {
		b = m.Estimates()
	}
	return b
}

// Heard takes a peer's news.
func (l *Loop) ApplyPeerUpdate(n brain.PeerUpdate) { l.module.PeerUpdated(n) }
