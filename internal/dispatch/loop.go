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
	"sync/atomic"
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

// ClientRequest is one request between its client and the module.
type ClientRequest struct {
	Request  *brain.Request
	Ask      kserve.Ask
	Grade    string
	Channel  string
	Matter   any                // what the carrier sends of it; dropped when the request is over
	Tell     func(kserve.Final) // takes the final answer in place of the channel
	began    chan *Attempt      // the attempt whose stream goes to the client
	final    chan kserve.Final  // the one final answer
	answered bool
	left     bool
	channel  int
	paid     []paid   // set aside in budgets
	unpaid   bool     // declined for a budget
	stream   *Attempt // the attempt whose stream has begun
	flight   *Attempt // the attempt that is out
	waiting  map[*Backend]bool
	from     time.Duration
	over     atomic.Bool
}

// End says that nothing more may be sent for the request: it has its answer, its client has gone, or its time is up. Unlike a message
// to the loop it does not wait its turn.
func (a *ClientRequest) End() { a.over.Store(true) }

// Over tells whether nothing more may be sent.
func (a *ClientRequest) Over() bool { return a.over.Load() }

// AttemptOut tells whether an attempt is out. It is the loop's.
func (a *ClientRequest) AttemptOut() bool { return a.flight != nil }

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

// Attempt is one attempt on its way.
type Attempt struct {
	Planned *brain.Attempt
	Request *ClientRequest
	Backend *Backend
	State   *Backend // where the read state waits, for a write
	Wait    time.Duration
	Until   time.Duration   // when the wait is over, on the loop's clock
	Off     func(why error) // calls it off: ErrLate or ErrLeft; set by the carrier
	Tokens  chan []byte     // the stream, piece by piece; the carrier closes it at its end
	ctx     context.Context
	late    bool // its wait is over
	Unfit   bool // its backend says that the request itself is none; set before its end is told

	Key      string        // of its request, at backends
	Arrived  atomic.Bool   // a byte of an answer has come: only that shows that the request had
	Streamed atomic.Int64  // tokens that have come
	Count    *kserve.Count // what its backend counted, if that came along
}

// Stage is the attempt's stage in the words of the wire.
func (f *Attempt) Stage() string {
	return [...]string{brain.ToRead: kserve.StageRead, brain.ToWrite: kserve.StageWrite, brain.Whole: kserve.StageWhole}[f.Planned.Stage]
}

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
func NewLoop(facts brain.Facts, seed uint64, places Places, carrier Transport, since func() time.Duration, epoch string, log *slog.Logger) (*Loop, error) {
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
	Listed(lines []brain.Listing, whole bool)
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
		ID: l.lastID, Session: Number(k.Session), Shared: Number(k.Shared), Prompt: float64(k.Tokens), Prefix: float64(k.Prefix),
		Most: float64(k.Most), Again: k.Again, Left: left,
	}
	l.Tally.Taken++
	a.channel = channel
	if l.Guard != nil {
		if admit, after, ticket := l.Guard.Arrive(l.now, k.Again, channel, k.Ticket); !admit {
			a.Request.Over = true
			l.Tally.Damped++
			l.answer(a, kserve.Final{Final: kserve.Declined, Error: "too many ask again just now", Harmless: true, AfterMs: after.Milliseconds(), Ticket: ticket})
			return
		}
	}
	l.requests[a.Request] = a
	// The module answers every request in its time; if ever it did not, its client must not be left hanging.
	l.Wake(left+overdue, func() {
		begun := a.flight != nil && a.flight.Planned.Began > 0
		if !a.answered && !a.left && !begun {
			l.Tally.Overdue++
			l.Log.Error("question overdue", "question", a.Request.ID)
			l.answer(a, kserve.Final{Final: kserve.Forfeited, Error: "no answer came in time"})
			l.module.Left(a.Request)
			l.forget(a)
		}
	})
	l.pay(a, func() {
		a.Request.Left = left - (l.now - a.from)
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
		inTime := well && len(q.Attempts) > 0 && q.Attempts[len(q.Attempts)-1].Began <= q.TargetAt
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
	if a.Request.Over && a.Request.Out() == nil {
		delete(l.requests, a.Request)
		a.Matter = nil // timers know the request for seconds more
		l.settle(a)
	}
}

// Start waits for the attempt whose stream goes to the client, or for a final answer without one: then there is no attempt. ok is false
// where the context ended first.
func (a *ClientRequest) Start(ctx context.Context) (trip *Attempt, f kserve.Final, ok bool) {
	select {
	case <-ctx.Done():
		return nil, f, false
	case trip = <-a.began:
		return trip, f, true
	case f = <-a.final:
	}
	// The end of a short answer may be seen before its beginning.
	select {
	case trip = <-a.began:
		a.final <- f
		return trip, kserve.Final{}, true
	default:
		return nil, f, true
	}
}

// Final gives the one final answer.
func (a *ClientRequest) Final() <-chan kserve.Final { return a.final }

// MaySend tells, when a connection for an attempt is there, whether the attempt may still go out: while it was waited for, the backend may
// have been told to drain, the request may have ended, and a repeat may have come too late.
func (l *Loop) MaySend(f *Attempt) brain.Permission {
	switch {
	case f.late:
		return brain.DeadlinePassed
	case f.Request.left, f.Request.answered, f.Request.Over():
		return brain.RequestOver
	}
	return l.module.MaySend(f.Planned)
}

// CallOff ends all attempts that are out, and tells how many are: their clients have gone or have their answers.
func (l *Loop) CallOff() (out int) {
	for _, a := range l.requests {
		if a.flight != nil {
			a.flight.Off(ErrLeft)
			out++
		}
	}
	return out
}

// News takes a peer's message.
func (l *Loop) News(raw []byte) error {
	got, err := news.Decode(raw, l.hosts)
	if err == nil && got.Host != nil {
		l.Heard(got)
	}
	return err
}

// Began takes word of an attempt's first token.
func (l *Loop) Began(f *Attempt) {
	if f.late || f.Planned.Ended || f.Planned.Began > 0 {
		return // its time was up first: the attempt ends as timed out
	}
	a := f.Request
	a.stream = f
	clear(a.waiting)
	if a.left || a.answered {
		f.Off(ErrLeft) // a stream that nobody reads ends
	} else {
		a.began <- f
	}
	l.module.Began(f.Planned, l.now-f.Planned.Sent)
	l.Tally.began(f.Planned)
	l.forget(a)
}

// Ended takes the end of an attempt.
func (l *Loop) Ended(f *Attempt, r brain.Result) {
	t, a := f.Planned, f.Request
	if t.Ended {
		return
	}
	a.flight = nil
	if f.Backend.out--; f.Backend.out == 0 && l.backends[f.Backend.Name] != f.Backend {
		defer delete(l.byHost, t.Backend)
	}
	if r.Outcome == brain.Served && t.Began == 0 {
		r.Outcome = brain.TimedOut // its first token came too late to be shown, and the rest with it
	}
	l.accountEnded(f, r)
	r.Took = l.now - t.Sent
	l.Tally.ended(t, r)
	l.Log.Debug("trip over", "id", a.Ask.ID, "box", f.Backend.Name, "stage", f.Stage(), "number", t.Number, "outcome", r.Outcome, "took", r.Took, "wait", f.Wait,
		"prompt", t.Request.Prompt, "left", t.Left, "kept", r.Note)
	switch {
	case r.Outcome == brain.Read:
		a.waiting[f.Backend] = true
	case t.Stage == brain.ToRead && r.Outcome != brain.Unreachable && r.Outcome != brain.NotSent && r.Outcome != brain.Rejected:
		// The read may have ended at the backend just as it was given up on here: its state must not stay there.
		l.release(f.Backend, a)
	case r.Outcome == brain.Rejected && r.Note == 1 && f.State != nil:
		// The prefill backend could not give the state just now; it may hold it all the same.
		l.release(f.State, a)
		delete(a.waiting, f.State)
	}
	if f.Unfit {
		l.answer(a, kserve.Final{Final: kserve.Forfeited, Error: "no box can use it"})
	}
	r.Over = a.answered || a.left || r.Outcome == brain.Served || t.Began > 0
	if r.Outcome == brain.Served {
		l.answer(a, kserve.Final{Final: kserve.Satisfied})
	} else if t.Began > 0 && !a.left {
		l.answer(a, kserve.Final{Final: kserve.Forfeited, Error: "the stream broke at its box"})
	}
	if l.Guard != nil && !r.Over && cost(r.Outcome) && !l.Guard.MayTryAgain(l.now) {
		a.Request.Last = true
	}
	l.module.Ended(t, r)
	l.forget(a)
}

// cost tells whether an attempt that ended so may have cost its backend work for nothing.
func cost(o brain.Outcome) bool { return o == brain.Failed || o == brain.TimedOut || o == brain.Broken }

// Left takes word that a client has gone.
func (l *Loop) Left(a *ClientRequest) {
	if a.Request == nil || a.answered || a.left {
		return
	}
	a.left = true
	a.End()
	l.accountOver(a, "left", "")
	l.Tally.Left++
	if a.flight != nil && a.flight.Planned.Began > 0 {
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
func (l *Loop) Believes() (b brain.Belief) {
	if m, ok := l.module.(interface{ Believes() brain.Belief }); ok {
		b = m.Believes()
	}
	return b
}

// Heard takes a peer's news.
func (l *Loop) Heard(n brain.PeerUpdate) { l.module.Heard(n) }

// Now, Send and the rest are the module's door.
func (l *Loop) Now() time.Duration { return l.now }

func (l *Loop) Send(t *brain.Attempt, wait time.Duration) {
	a := l.requests[t.Request]
	f := &Attempt{Planned: t, Request: a, Backend: l.byHost[t.Backend], Wait: wait, Until: l.now + wait, Tokens: make(chan []byte, tokenRoom), Key: l.Key(a)}
	if t.Stage == brain.ToWrite {
		f.State = l.byHost[t.Request.State]
	}
	a.flight = f
	f.Backend.out++
	l.Tally.Trips++
	if l.Guard != nil {
		l.Guard.Sent(l.now, t.Number > 0 && cost(t.Request.Attempts[t.Number-1].Outcome))
	}
	l.Wake(wait, func() {
		if !t.Ended && t.Began == 0 {
			f.late = true
			f.Off(ErrLate)
		}
	})
	l.accountSent(f)
	l.carrier.Start(f)
}

// tokenRoom is how many pieces of an answer wait for a client that reads slowly; then its backend has to wait.
const tokenRoom = 64

func (l *Loop) Cancel(t *brain.Attempt) {
	if f := l.requests[t.Request].flight; f != nil && f.Planned == t {
		f.Off(ErrLeft)
	}
}

// Release has what waits for a request released. Beside an attempt it may go on waiting, for that attempt, and is released once more
// at its end.
func (l *Loop) Release(q *brain.Request) {
	a := l.requests[q]
	for b := range a.waiting {
		l.release(b, a)
	}
	if !a.AttemptOut() {
		clear(a.waiting)
	}
}

func (l *Loop) Reject(q *brain.Request, after time.Duration) {
	ticket := ""
	if l.Guard != nil && after > 0 {
		after, ticket = l.Guard.Book(l.now)
	}
	l.answer(l.requests[q], kserve.Final{Ticket: ticket, Final: kserve.Declined, Error: "not taken on: too much is asked just now", Harmless: true, AfterMs: after.Milliseconds()})
}

func (l *Loop) Fail(q *brain.Request) {
	l.answer(l.requests[q], kserve.Final{Final: kserve.Forfeited, Error: "given up on; it may have run"})
}

func (l *Loop) Wake(after time.Duration, do func()) {
	l.wakes.At(l.now+max(after, 0), do)
}

func (l *Loop) Watch(bool) {} // this list pushes unasked

func (l *Loop) Tell(peer int, n brain.PeerUpdate) { l.carrier.Tell(peer, n) }

func (l *Loop) Note(text string) { l.Log.Info(text) }
