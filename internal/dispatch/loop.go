// Package dispatch runs the scheduler. One event loop owns it, hands it what happens and carries out what it decides;
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

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/peerproto"
	"sloetrestle/internal/retrythrottle"
	"sloetrestle/internal/timerqueue"
	"sloetrestle/scheduler"
)

// Transport sends attempts and messages. Its methods are called by the loop and must not block.
type Transport interface {
	// Start sends an attempt. The transport reports its first token and its end to the loop.
	Start(attempt *Attempt)
	// Release has a backend release the KV cache that the request's attempts so far may have left there.
	Release(backend *Backend, request *ClientRequest)
	// SetAddresses sets the addresses of a backend; none means that it is removed.
	SetAddresses(backend *Backend, specs []addresses.Spec)
	// SendPeerUpdate sends an update to a peer.
	SendPeerUpdate(peer int, update scheduler.PeerUpdate)
}

// Resolver translates names of the service discovery list to the scheduler's numbers, and says which addresses are
// allowed.
type Resolver struct {
	ZoneNumber, KindNumber func(name string) int     // negative: unknown
	AddressAllowed         func(addresses.Spec) bool // nil: all are allowed
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

// RequestKey returns the request's key at backends.
func (l *Loop) RequestKey(request *ClientRequest) string {
	return fmt.Sprintf("%s/%d", l.Epoch, request.Scheduled.ID)
}

// Loop is the event loop that owns the scheduler.
type Loop struct {
	Epoch string // identifies this start of this dispatcher
	Log   *slog.Logger

	scheduler Scheduler
	transport Transport
	resolver  Resolver
	clock     func() time.Duration

	mu      sync.Mutex
	queue   []message
	closed  bool
	notify  chan struct{} // wakes the loop when a message is posted
	stopped chan struct{} // closed when Run has returned

	// The fields below belong to the loop's goroutine.
	now               time.Duration    // time of the present turn
	timers            timerqueue.Queue // of the scheduler and of the loop
	requests          map[*scheduler.Request]*ClientRequest
	lastID            uint64
	backends          map[string]*Backend
	byState           map[*scheduler.Backend]*Backend // also those that are forgotten but have attempts in flight
	schedulerBackends map[uint32]*scheduler.Backend

	extraAddresses map[string][]addresses.Spec // by backend, from the configuration
	Counters       Counters
	Lag            Lag
	removed        []*Backend // remembered for removedRetention
	stopping       bool       // EndUnstarted has run: further requests are rejected

	accounting *Accounting

	// RetryThrottle throttles retries before they reach the scheduler. With nil every request reaches the scheduler,
	// and clients get the scheduler's own advice when to retry.
	RetryThrottle *retrythrottle.RetryThrottle
}

// NewLoop returns a loop with a scheduler of its own. clock returns the time since the start.
func NewLoop(
	parameters scheduler.Settings, seed uint64, resolver Resolver, transport Transport, clock func() time.Duration,
	epoch string,
	log *slog.Logger,
) (*Loop, error) {
	if resolver.AddressAllowed == nil {
		resolver.AddressAllowed = func(addresses.Spec) bool { return true }
	}
	l := &Loop{
		Epoch: epoch, Log: log, transport: transport, resolver: resolver, clock: clock,
		notify: make(chan struct{}, 1), stopped: make(chan struct{}),
		requests: map[*scheduler.Request]*ClientRequest{}, backends: map[string]*Backend{},
		byState: map[*scheduler.Backend]*Backend{}, schedulerBackends: map[uint32]*scheduler.Backend{}, now: clock(),
	}
	scheduler, err := scheduler.New(parameters, seed, l)
	l.scheduler = scheduler
	return l, err
}

// Scheduler is the scheduler that a loop runs: the one of this project, or a baseline to compare it with.
type Scheduler interface {
	UpdateEndpoints(listings []scheduler.Endpoint, complete bool)
	Submit(request *scheduler.Request, class, tenant int)
	FirstToken(attempt *scheduler.Attempt, took time.Duration)
	AttemptDone(attempt *scheduler.Attempt, result scheduler.Result)
	ClientDisconnected(request *scheduler.Request)
	PeerUpdated(update scheduler.PeerUpdate)
	MaySend(attempt *scheduler.Attempt) scheduler.Permission
}

// SetScheduler replaces the loop's scheduler. It must be called before the first event.
func (l *Loop) SetScheduler(scheduler Scheduler) {
	l.scheduler = scheduler
	l.timers.Clear()
}

// NextTimer returns the time at which the loop's next timer is due, and false if there is none.
func (l *Loop) NextTimer() (time.Duration, bool) { return l.timers.NextDue() }

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
		l.RunTimers()
		if len(batch) > 0 {
			select {
			case <-ctx.Done():
				return nil
			default:
				continue
			}
		}
		sleep := time.Hour
		if due, ok := l.timers.NextDue(); ok {
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
	l.RunTurn(m.run)
	l.Lag.LongestWait = max(l.Lag.LongestWait, l.now-m.postedAt)
	end := l.clock()
	l.Lag.recordTurn(l.now, end, l.Log)
	if due, ok := l.timers.NextDue(); ok && due <= end {
		l.RunTimers()
	}
}

// QueueDelay returns how long the oldest waiting message has waited. It may be called by any goroutine.
func (l *Loop) QueueDelay() time.Duration { return l.Lag.currentWait(l.clock()) }

// RunTurn runs a closure as one turn at the present time. Only the loop's goroutine may call it, or a caller that
// drives the loop without Run.
func (l *Loop) RunTurn(run func()) {
	l.now = l.clock()
	run()
}

// RunTimers runs the timers that are due.
func (l *Loop) RunTimers() {
	for now := l.clock(); ; {
		due, callback, ok := l.timers.PopDue(now)
		if !ok {
			return
		}
		l.Lag.LongestTimerDelay = max(l.Lag.LongestTimerDelay, now-due)
		l.RunTurn(callback)
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
		make(chan *Attempt, 1), make(chan kserve.FinalResponse, 1), map[*Backend]bool{}
	request.submittedAt = l.now
	params := request.Params
	request.Scheduled = &scheduler.Request{
		ID: l.lastID, SessionKey: HashName(params.Session), PrefixKey: HashName(params.SharedPrefix),
		PromptTokens: float64(params.PromptTokens), PrefixTokens: float64(params.PrefixTokens),
		MaxOutputTokens: float64(params.MaxTokens),
		ClientRetry:     params.IsRetry, Timeout: timeLeft,
	}
	l.Counters.Accepted++
	request.tenantNumber = tenant
	if l.RetryThrottle != nil {
		if admit, after, ticket := l.RetryThrottle.Admit(l.now, params.IsRetry, tenant, params.RetryTicket); !admit {
			request.Scheduled.Finished = true
			l.Counters.Throttled++
			l.answer(request, kserve.FinalResponse{
				Outcome: kserve.Rejected, Error: "too many ask again just now", SafeToRetry: true,
				RetryAfterMs: after.Milliseconds(), RetryTicket: ticket,
			})
			return
		}
	}
	if l.stopping {
		request.Scheduled.Finished = true
		l.answer(request, retryElsewhere(stoppingReason))
		return
	}
	l.requests[request.Scheduled] = request
	// The scheduler answers every request before its deadline; if it ever failed to, the client must not hang.
	request.overdueTimer = l.startTimer(timeLeft+overdueGrace, func() { l.endOverdue(request) })
	l.reserveBudgets(request, func() {
		request.Scheduled.Timeout = timeLeft - (l.now - request.submittedAt)
		l.scheduler.Submit(request.Scheduled, class, tenant)
	})
}

// endOverdue ends a request that has no answer at its deadline.
func (l *Loop) endOverdue(request *ClientRequest) {
	const reason = "no answer came in time"
	if request.answered || request.disconnected || request.streamBegun() {
		return
	}
	if attempt := request.inFlight; attempt != nil && attempt.Scheduled.FirstTokenAt > 0 {
		l.giveUp(request, reason) // its answer is buffered and not complete
		return
	}
	l.Counters.Overdue++
	l.Log.Error("request without an answer at its deadline", "question", request.Scheduled.ID)
	l.answer(request, kserve.FinalResponse{Outcome: kserve.Failed, Error: reason})
	l.scheduler.ClientDisconnected(request.Scheduled)
	l.forgetIfOver(request)
}

// overdueGrace is how long after its deadline a request without an answer is failed by the loop itself.
const overdueGrace = 5 * time.Millisecond

// HashName hashes a name to the scheduler's number for it; the empty name is 0, no other is.
func HashName(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(xxhash.Sum64String(name), 1)
}

// answer gives a request its final answer. It is the only place that does, so that every request gets at most one
// (rule 1). The scheduler may give a request up in any turn, also in that of another request or of a timer, so the
// request is forgotten here if nothing more is to come for it.
func (l *Loop) answer(request *ClientRequest, final kserve.FinalResponse) {
	if request.answered {
		return
	}
	request.answered = true
	request.MarkOver()
	final.Attempts = len(request.Scheduled.Attempts)
	l.accountRequest(request, final.Outcome, final.Error)
	if l.RetryThrottle != nil && !request.overBudget && final.Attempts+int(final.RetryAfterMs) > 0 {
		served, scheduled := final.Outcome == kserve.Served, request.Scheduled
		inTime := served && len(scheduled.Attempts) > 0 &&
			scheduled.Attempts[len(scheduled.Attempts)-1].FirstTokenAt <= scheduled.TargetAt
		l.RetryThrottle.RequestDone(l.now, served, !request.Params.IsRetry && request.Params.RetryTicket == "", inTime,
			request.tenantNumber)
	}
	switch final.Outcome {
	case kserve.Served:
		l.Counters.Served++
	case kserve.Rejected:
		l.Counters.Rejected++
	default:
		l.Counters.Failed++
	}
	l.Log.Debug("request answered", "question", request.Scheduled.ID, "id", request.Params.ID, "grade", request.Class,
		"final", final.Outcome, "trips", final.Attempts, "took", l.now-request.submittedAt, "error", final.Error)
	if request.OnFinal != nil {
		request.OnFinal(final)
	} else {
		request.final <- final
	}
	l.forgetIfOver(request)
}

// forgetIfOver drops a request that is over and has no attempt in flight. It has to be called after every change that
// may end the request or its last attempt.
func (l *Loop) forgetIfOver(request *ClientRequest) {
	if request.Scheduled.Finished && request.Scheduled.InFlight() == nil {
		delete(l.requests, request.Scheduled)
		l.timers.Cancel(request.overdueTimer)
		request.Payload = nil // timers of the scheduler may refer to the request for some time more
		l.settleBudgets(request)
	}
}

// ReceivePeerUpdate decodes a peer's update and hands it to the scheduler. Updates about unknown backends are ignored.
func (l *Loop) ReceivePeerUpdate(raw []byte) error {
	update, err := peerproto.Decode(raw, l.schedulerBackends)
	if err == nil && update.Backend != nil {
		l.ApplyPeerUpdate(update)
	}
	return err
}

// ClientDisconnected handles a client that has disconnected.
func (l *Loop) ClientDisconnected(request *ClientRequest) {
	if request.Scheduled == nil || request.answered || request.disconnected {
		return
	}
	request.disconnected = true
	request.MarkOver()
	l.accountRequest(request, "left", "")
	l.Counters.Disconnected++
	if request.inFlight != nil && request.inFlight.Scheduled.FirstTokenAt > 0 {
		request.inFlight.Cancel(ErrNotNeeded)
	}
	l.scheduler.ClientDisconnected(request.Scheduled)
	l.forgetIfOver(request)
}

// SchedulerBackend returns the scheduler's record of a backend, or nil if the list has not named it.
func (l *Loop) SchedulerBackend(name string) *scheduler.Backend {
	if backend := l.backends[name]; backend != nil {
		return backend.SchedulerState
	}
	return nil
}

// Estimates returns the scheduler's estimates, or zero values if the scheduler does not report any.
func (l *Loop) Estimates() (estimates scheduler.Summary) {
	if reporter, ok := l.scheduler.(interface{ Estimates() scheduler.Summary }); ok {
		estimates = reporter.Estimates()
	}
	return estimates
}

// Retained returns how many requests and timers the loop keeps. At rest it keeps no request, and only the periodic
// timers.
func (l *Loop) Retained() (requests, timers int) { return len(l.requests), l.timers.Len() }

// ApplyPeerUpdate hands a peer's update to the scheduler.
func (l *Loop) ApplyPeerUpdate(update scheduler.PeerUpdate) { l.scheduler.PeerUpdated(update) }
