// Package dispatch hosts the scheduler. One event loop owns it, hands it what happens and carries out what it decides;
// attempts, clients and peers are goroutines that post closures to the loop. The package makes no scheduling decisions,
// and reports of an attempt only what its connection proved. Start with Loop, then Serve.
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

// Transport sends attempts and messages. Its methods are called by the loop and must not block.
type Transport interface {
	// Start sends an attempt. The transport reports its first token and its end to the loop.
	Start(attempt *Attempt)
	// Release has a backend release the KV cache that the request's attempts so far may have left there.
	Release(backend *Backend, request *ClientRequest)
	// Reach sets the addresses of a backend; none means that it is removed.
	Reach(backend *Backend, specs []addresses.Spec)
	// Tell sends an update to a peer.
	Tell(peer int, update brain.PeerUpdate)
}

// Places translates names of the service discovery list to the scheduler's numbers, and says which addresses are
// allowed.
type Places struct {
	Zone, Kind func(name string) int     // negative: unknown
	Allows     func(addresses.Spec) bool // nil: all are allowed
}

// message is a closure that waits for the loop.
type message struct {
	run      func()
	postedAt time.Duration
}

// releaseAt has a backend release the KV cache that the request's attempts so far may have left there.
func (l *Loop) releaseAt(backend *Backend, request *ClientRequest) {
	l.transport.Release(backend, request)
}

// Key returns the request's key at backends.
func (l *Loop) Key(request *ClientRequest) string {
	return fmt.Sprintf("%s/%d", l.Epoch, request.Request.ID)
}

// Loop is the event loop that owns the scheduler.
type Loop struct {
	Epoch string // identifies this start of this dispatcher
	Log   *slog.Logger

	scheduler Module
	transport Transport
	resolver  Places
	clock     func() time.Duration

	mu      sync.Mutex
	queue   []message
	closed  bool
	notify  chan struct{} // wakes the loop when a message is posted
	stopped chan struct{} // closed when Run has returned

	// The fields below belong to the loop's goroutine.
	now               time.Duration // time of the present turn
	timers            agenda.Agenda // of the scheduler and of the loop
	requests          map[*brain.Request]*ClientRequest
	lastID            uint64
	backends          map[string]*Backend
	byState           map[*brain.Backend]*Backend // also those that are forgotten but have attempts in flight
	schedulerBackends map[uint32]*brain.Backend

	extraAddresses map[string][]addresses.Spec // by backend, from the configuration
	Tally          Tally
	Lag            Lag
	removed        []*Backend // remembered for removedRetention

	accounting *Books

	// Guard throttles retries before they reach the scheduler. With nil every request reaches the scheduler, and
	// clients get the scheduler's own advice when to retry.
	Guard *storm.Guard
}

// NewLoop returns a loop with a scheduler of its own. clock returns the time since the start.
func NewLoop(
	facts brain.Facts, seed uint64, resolver Places, transport Transport, clock func() time.Duration, epoch string,
	log *slog.Logger,
) (*Loop, error) {
	if resolver.Allows == nil {
		resolver.Allows = func(addresses.Spec) bool { return true }
	}
	l := &Loop{
		Epoch: epoch, Log: log, transport: transport, resolver: resolver, clock: clock,
		notify: make(chan struct{}, 1), stopped: make(chan struct{}),
		requests: map[*brain.Request]*ClientRequest{}, backends: map[string]*Backend{},
		byState: map[*brain.Backend]*Backend{}, schedulerBackends: map[uint32]*brain.Backend{}, now: clock(),
	}
	scheduler, err := brain.New(facts, seed, l)
	l.scheduler = scheduler
	return l, err
}

// Module is the scheduler that a loop hosts: the one of this project, or a baseline to compare it with.
type Module interface {
	Listed(listings []brain.Listing, complete bool)
	Submit(request *brain.Request, class, tenant int)
	Began(attempt *brain.Attempt, took time.Duration)
	Ended(attempt *brain.Attempt, result brain.Result)
	Left(request *brain.Request)
	Heard(update brain.PeerUpdate)
	MaySend(attempt *brain.Attempt) brain.Permission
}

// Host replaces the loop's scheduler. It must be called before the first event.
func (l *Loop) Host(scheduler Module) {
	l.scheduler = scheduler
	l.timers.Clear()
}

// NextDue returns the time at which the loop's next timer is due, and false if there is none.
func (l *Loop) NextDue() (time.Duration, bool) { return l.timers.Next() }

// Post queues a closure for the loop. It returns false if the loop has ended.
func (l *Loop) Post(run func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	now := l.clock()
	l.queue = append(l.queue, message{run, now})
	l.Lag.posted(now)
	select {
	case l.notify <- struct{}{}:
	default:
	}
	return true
}

// Call posts a closure and waits until it has run. It returns false if the loop or the context ended first.
func (l *Loop) Call(ctx context.Context, run func()) bool {
	done := make(chan struct{})
	if !l.Post(func() { run(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.stopped:
	case <-ctx.Done():
	}
	return false
}

// Run runs the loop until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer func() {
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		close(l.stopped)
	}()
	for {
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.mu.Unlock()
		for i, m := range batch {
			l.Lag.updateOldest(batch[i:])
			l.handle(m)
		}
		l.mu.Lock()
		l.Lag.updateOldest(l.queue)
		l.mu.Unlock()
		l.Due()
		if len(batch) > 0 {
			select {
			case <-ctx.Done():
				return nil
			default:
				continue
			}
		}
		sleep := time.Hour
		if due, ok := l.timers.Next(); ok {
			sleep = max(due-l.clock(), 0)
		}
		timer.Reset(sleep)
		select {
		case <-ctx.Done():
			return nil
		case <-l.notify:
		case <-timer.C:
		}
	}
}

// handle runs a message and then the timers that have come due, so that timers do not wait for the whole queue.
func (l *Loop) handle(m message) {
	l.Do(m.run)
	l.Lag.LongestWait = max(l.Lag.LongestWait, l.now-m.postedAt)
	end := l.clock()
	l.Lag.recordTurn(l.now, end, l.Log)
	if due, ok := l.timers.Next(); ok && due <= end {
		l.Due()
	}
}

// Behind returns how long the oldest waiting message has waited. It may be called by any goroutine.
func (l *Loop) Behind() time.Duration { return l.Lag.currentWait(l.clock()) }

// Do runs a closure as one turn at the present time. Only the loop's goroutine may call it, or a caller that drives
// the loop without Run.
func (l *Loop) Do(run func()) {
	l.now = l.clock()
	run()
}

// Due runs the timers that are due.
func (l *Loop) Due() {
	for now := l.clock(); ; {
		due, callback, ok := l.timers.Take(now)
		if !ok {
			return
		}
		l.Lag.LongestTimerDelay = max(l.Lag.LongestTimerDelay, now-due)
		l.Do(callback)
		l.Lag.recordTurn(l.now, l.clock(), l.Log)
	}
}

// Submit takes a request of a class and a tenant, by their numbers. timeLeft is the time that it has for its answer.
func (l *Loop) Submit(request *ClientRequest, class, tenant int, timeLeft time.Duration) {
	if request.Over() {
		return // it ended while it waited for the loop
	}
	l.lastID++
	request.started, request.final, request.kvHolders =
		make(chan *Attempt, 1), make(chan kserve.Final, 1), map[*Backend]bool{}
	request.submittedAt = l.now
	params := request.Ask
	request.Request = &brain.Request{
		ID: l.lastID, Session: Number(params.Session), Shared: Number(params.Shared), Prompt: float64(params.Tokens),
		Prefix: float64(params.Prefix), Most: float64(params.Most), Again: params.Again, Left: timeLeft,
	}
	l.Tally.Taken++
	request.tenantNumber = tenant
	if l.Guard != nil {
		if admit, after, ticket := l.Guard.Arrive(l.now, params.Again, tenant, params.Ticket); !admit {
			request.Request.Over = true
			l.Tally.Throttled++
			l.answer(request, kserve.Final{
				Final: kserve.Declined, Error: "too many ask again just now", Harmless: true,
				AfterMs: after.Milliseconds(), Ticket: ticket,
			})
			return
		}
	}
	l.requests[request.Request] = request
	// The scheduler answers every request before its deadline; if it ever failed to, the client must not hang.
	l.Wake(timeLeft+overdueGrace, func() {
		begun := request.inFlight != nil && request.inFlight.Planned.Began > 0
		if !request.answered && !request.disconnected && !begun {
			l.Tally.Overdue++
			l.Log.Error("request without an answer at its deadline", "question", request.Request.ID)
			l.answer(request, kserve.Final{Final: kserve.Forfeited, Error: "no answer came in time"})
			l.scheduler.Left(request.Request)
			l.forgetIfOver(request)
		}
	})
	l.reserveBudgets(request, func() {
		request.Request.Left = timeLeft - (l.now - request.submittedAt)
		l.scheduler.Submit(request.Request, class, tenant)
		l.forgetIfOver(request)
	})
}

// overdueGrace is how long after its deadline a request without an answer is failed by the loop itself.
const overdueGrace = 5 * time.Millisecond

// Number hashes a name to the scheduler's number for it; the empty name is 0, no other is.
func Number(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(xxhash.Sum64String(name), 1)
}

// answer gives a request its final answer. It is the only place that does, so that every request gets at most one
// (rule 1).
func (l *Loop) answer(request *ClientRequest, final kserve.Final) {
	if request.answered {
		return
	}
	request.answered = true
	request.End()
	final.Trips = len(request.Request.Attempts)
	l.accountRequest(request, final.Final, final.Error)
	if l.Guard != nil && !request.overBudget && final.Trips+int(final.AfterMs) > 0 {
		served, scheduled := final.Final == kserve.Satisfied, request.Request
		inTime := served && len(scheduled.Attempts) > 0 &&
			scheduled.Attempts[len(scheduled.Attempts)-1].Began <= scheduled.TargetAt
		l.Guard.Answered(l.now, served, !request.Ask.Again && request.Ask.Ticket == "", inTime, request.tenantNumber)
	}
	switch final.Final {
	case kserve.Satisfied:
		l.Tally.Satisfied++
	case kserve.Declined:
		l.Tally.Declined++
	default:
		l.Tally.Forfeited++
	}
	l.Log.Debug("request answered", "question", request.Request.ID, "id", request.Ask.ID, "grade", request.Grade,
		"final", final.Final, "trips", final.Trips, "took", l.now-request.submittedAt, "error", final.Error)
	if request.Tell != nil {
		request.Tell(final)
		return
	}
	request.final <- final
}

// forgetIfOver drops a request that is over and has no attempt in flight.
func (l *Loop) forgetIfOver(request *ClientRequest) {
	if request.Request.Over && request.Request.Out() == nil {
		delete(l.requests, request.Request)
		request.Matter = nil // timers refer to the request for seconds more
		l.settleBudgets(request)
	}
}

// News decodes a peer's update and hands it to the scheduler. Updates about unknown backends are ignored.
func (l *Loop) News(raw []byte) error {
	update, err := news.Decode(raw, l.schedulerBackends)
	if err == nil && update.Host != nil {
		l.Heard(update)
	}
	return err
}

// Left handles a client that has disconnected.
func (l *Loop) Left(request *ClientRequest) {
	if request.Request == nil || request.answered || request.disconnected {
		return
	}
	request.disconnected = true
	request.End()
	l.accountRequest(request, "left", "")
	l.Tally.Left++
	if request.inFlight != nil && request.inFlight.Planned.Began > 0 {
		request.inFlight.Off(ErrLeft)
	}
	l.scheduler.Left(request.Request)
	l.forgetIfOver(request)
}

// HostOf returns the scheduler's record of a backend, or nil if the list has not named it.
func (l *Loop) HostOf(name string) *brain.Backend {
	if backend := l.backends[name]; backend != nil {
		return backend.Known
	}
	return nil
}

// Believes returns the scheduler's estimates, or zero values if the scheduler does not report any.
func (l *Loop) Believes() (estimates brain.Belief) {
	if reporter, ok := l.scheduler.(interface{ Believes() brain.Belief }); ok {
		estimates = reporter.Believes()
	}
	return estimates
}

// Heard hands a peer's update to the scheduler.
func (l *Loop) Heard(update brain.PeerUpdate) { l.scheduler.Heard(update) }
