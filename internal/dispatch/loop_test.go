package dispatch

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
	"sloetrestle/scheduler"
)

// fakeTransport records attempts and releases instead of sending them. It also holds the test's clock.
type fakeTransport struct {
	now      time.Duration
	attempts []*Attempt
	released []string // names of backends
	reached  []string // backends with the addresses that were set
}

func (f *fakeTransport) Start(attempt *Attempt) {
	attempt.ctx, attempt.Cancel = context.WithCancelCause(context.Background())
	f.attempts = append(f.attempts, attempt)
}

func (f *fakeTransport) Release(backend *Backend, _ *ClientRequest) {
	f.released = append(f.released, backend.Name)
}

func (f *fakeTransport) SendPeerUpdate(int, scheduler.PeerUpdate) {}

func (f *fakeTransport) SetAddresses(backend *Backend, specs []addresses.Spec) {
	f.reached = append(f.reached, fmt.Sprint(backend.Name, specs))
}

// testConfig returns a configuration with one class of the given effect, and two kinds of backends.
func testConfig(effect string) setup.DispatcherConfig {
	config := setup.DefaultDispatcherConfig()
	config.Classes = []setup.Class{{
		Name: "g", Effect: effect, DedupScope: "all", DedupWindow: setup.Duration(3 * time.Second),
		LatencyTarget: setup.Duration(time.Second), Deadline: setup.Duration(4 * time.Second), Value: 1, DefaultMaxTokens: 50,
	}}
	config.BackendKinds = []setup.BackendKind{
		{Name: "reader", Role: "reader", MemoryTokens: 1e5}, {Name: "writer", Role: "writer", MemoryTokens: 1e5},
	}
	return config
}

// listEntry returns an entry of the service discovery list.
func listEntry(name, kind, state string) endpointlist.Endpoint {
	return endpointlist.Endpoint{
		Name: name, Addresses: []addresses.Spec{{Network: "tcp4", Addr: "10.0.0.1:1"}}, Kind: kind, State: state,
		Units: 1, UptimeMs: -1,
	}
}

// newTestLoop returns a loop that knows two prefill backends and two decode backends.
func newTestLoop(t *testing.T, effect string) (*Loop, *fakeTransport) {
	t.Helper()
	transport := &fakeTransport{now: time.Second}
	config := testConfig(effect)
	loop, err := NewLoop(config.SchedulerParameters(), 1, Resolver{
		ZoneNumber: config.ZoneIndex, KindNumber: config.KindIndex,
		AddressAllowed: func(spec addresses.Spec) bool { return spec.Addr != "10.9.9.9:1" },
	}, transport, func() time.Duration { return transport.now }, "d0.x", slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	loop.RunTurn(func() {
		loop.UpdateBackends([]endpointlist.Endpoint{
			listEntry("r1", "reader", "ready"), listEntry("r2", "reader", "ready"),
			listEntry("w1", "writer", "ready"), listEntry("w2", "writer", "ready"),
		}, true)
	})
	return loop, transport
}

// submit submits a request with that much time for its answer.
func submit(l *Loop, timeLeft time.Duration) *ClientRequest {
	request := &ClientRequest{Params: kserve.Request{PromptTokens: 2000, MaxTokens: 50, Session: "s"}, Class: "g"}
	l.RunTurn(func() { l.Submit(request, 0, 0, timeLeft) })
	return request
}

// last returns the attempt that was started last.
func (f *fakeTransport) last() *Attempt { return f.attempts[len(f.attempts)-1] }

// finalAnswer returns a request's final answer, which must be there.
func finalAnswer(t *testing.T, request *ClientRequest) kserve.FinalResponse {
	t.Helper()
	select {
	case final := <-request.final:
		return final
	default:
		t.Fatal("no final answer")
		return kserve.FinalResponse{}
	}
}

func TestTimedOutPrefillEndsOnceAndIsReleased(t *testing.T) {
	l, transport := newTestLoop(t, "idempotent")
	request := submit(l, 4*time.Second)
	attempt := transport.last()
	transport.now += attempt.Timeout + time.Millisecond
	l.RunTimers()
	if context.Cause(attempt.ctx) != ErrAttemptTimeout {
		t.Fatalf("the attempt was cancelled with %v", context.Cause(attempt.ctx))
	}
	l.RunTurn(func() { l.AttemptEnded(attempt, scheduler.Result{Outcome: scheduler.TimedOut}) })
	l.RunTurn(func() { l.AttemptEnded(attempt, scheduler.Result{Outcome: scheduler.Prefilled}) })
	if len(transport.released) != 1 {
		t.Errorf("releases %v: a cancelled prefill may have left its KV cache", transport.released)
	}
	if len(request.Scheduled.Attempts) == 1 && !request.answered {
		t.Error("neither another attempt nor an answer")
	}
}

// A first token that arrives just when the attempt times out must not reach the client: the attempt ends as timed out,
// and another may follow.
func TestFirstTokenAfterAttemptTimeoutIsIgnored(t *testing.T) {
	l, transport := newTestLoop(t, "idempotent")
	request := submit(l, 4*time.Second)
	l.RunTurn(func() { l.AttemptEnded(transport.last(), scheduler.Result{Outcome: scheduler.Prefilled}) })
	attempt := transport.last()
	if attempt.Scheduled.Stage != scheduler.StageDecode || attempt.PrefillBackend == nil {
		t.Fatalf("stage %d, prefill backend %v", attempt.Scheduled.Stage, attempt.PrefillBackend)
	}
	transport.now += attempt.Timeout
	l.RunTimers()
	l.RunTurn(func() { l.AttemptBegan(attempt) })
	if len(request.started) != 0 {
		t.Error("the stream was handed to the client")
	}
}

// The whole answer may arrive together with such a late first token. The client has not received it, so the request
// must not count as served; and as the attempt has run, a non-idempotent request fails.
func TestWholeAnswerAfterAttemptTimeoutIsNotServed(t *testing.T) {
	l, transport := newTestLoop(t, "unrepeatable")
	request := submit(l, 4*time.Second)
	l.RunTurn(func() { l.AttemptEnded(transport.last(), scheduler.Result{Outcome: scheduler.Prefilled}) })
	attempt := transport.last()
	transport.now += attempt.Timeout
	l.RunTimers()
	l.RunTurn(func() { l.AttemptBegan(attempt) })
	l.RunTurn(func() { l.AttemptEnded(attempt, scheduler.Result{Outcome: scheduler.Served}) })
	if got := finalAnswer(t, request); got.Outcome != kserve.Failed || len(request.started) != 0 ||
		l.Counters.Outcomes[scheduler.TimedOut] != 1 {
		t.Errorf("%+v with %d streams, outcomes %v", got, len(request.started), l.Counters.Outcomes)
	}
}

func TestClientDisconnectMidStreamCancelsAttempt(t *testing.T) {
	loop, transport := newTestLoop(t, "unrepeatable")
	request := submit(loop, 4*time.Second)
	loop.RunTurn(func() { loop.AttemptEnded(transport.last(), scheduler.Result{Outcome: scheduler.Prefilled}) })
	attempt := transport.last()
	loop.RunTurn(func() { loop.AttemptBegan(attempt) })
	loop.RunTurn(func() { loop.ClientDisconnected(request) })
	if context.Cause(attempt.ctx) != ErrNotNeeded {
		t.Error("the stream continues without a client")
	}
	loop.RunTurn(func() { loop.AttemptEnded(attempt, scheduler.Result{Outcome: scheduler.Cancelled}) })
	if len(request.final) != 0 || len(loop.requests) != 0 {
		t.Errorf("%d answers to a client that has disconnected, %d requests kept", len(request.final), len(loop.requests))
	}
}

func TestNonIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	l, transport := newTestLoop(t, "unrepeatable")
	request := submit(l, 4*time.Second)
	l.RunTurn(func() { l.AttemptEnded(transport.last(), scheduler.Result{Outcome: scheduler.Prefilled}) })
	before := len(transport.attempts)
	l.RunTurn(func() { l.AttemptEnded(transport.last(), scheduler.Result{Outcome: scheduler.ConnectionLost}) })
	if final := finalAnswer(t, request); final.Outcome != kserve.Failed || final.SafeToRetry ||
		len(transport.attempts) != before {
		t.Errorf("%+v after a broken attempt, and %d more attempts", final, len(transport.attempts)-before)
	}
	if len(transport.released) == 0 {
		t.Error("its KV cache was not released")
	}
}

// A prefill backend says that it has no KV cache for the request while it still transfers it to a decode backend whose
// attempt was just given up.
func TestKVCacheIsReleasedAfterFailedTransfer(t *testing.T) {
	l, transport := newTestLoop(t, "idempotent")
	submit(l, 4*time.Second)
	prefill := transport.last().Backend.Name
	l.RunTurn(func() { l.AttemptEnded(transport.last(), scheduler.Result{Outcome: scheduler.Prefilled}) })
	l.RunTurn(func() { l.AttemptEnded(transport.last(), scheduler.Result{Outcome: scheduler.Rejected, Detail: 1}) })
	if len(transport.released) != 1 || transport.released[0] != prefill {
		t.Errorf("released at %v, the KV cache was at %s", transport.released, prefill)
	}
}

// If the scheduler ever leaves a request without an answer, its client still gets one in time.
func TestOverdueRequestFails(t *testing.T) {
	l, transport := newTestLoop(t, "idempotent")
	request := submit(l, 4*time.Second)
	transport.now += 4*time.Second + overdueGrace
	l.RunTimers()
	if final := finalAnswer(t, request); final.Outcome != kserve.Failed || l.Counters.Overdue != 1 {
		t.Errorf("%+v, %d requests overdue", final, l.Counters.Overdue)
	}
	l.RunTurn(func() { l.AttemptEnded(transport.last(), scheduler.Result{Outcome: scheduler.Prefilled}) })
	if len(transport.released) == 0 || len(transport.attempts) != 1 {
		t.Errorf("released at %v, %d attempts", transport.released, len(transport.attempts))
	}
}

// The list repeats a backend's start with another age each time. If that were taken for a new start, the scheduler
// would forget what it knows of the backend.
func TestRelistedBackendStartKeepsItsTime(t *testing.T) {
	loop, transport := newTestLoop(t, "idempotent")
	entry := listEntry("w1", "writer", "ready")
	entry.Incarnation, entry.UptimeMs = 7, 1000
	loop.RunTurn(func() { loop.UpdateBackends([]endpointlist.Endpoint{entry}, false) })
	known := loop.backends["w1"].SchedulerState
	booted := known.StartedAt
	transport.now += 3 * time.Second
	entry.UptimeMs = 4007
	loop.RunTurn(func() { loop.UpdateBackends([]endpointlist.Endpoint{entry}, false) })
	if known.StartedAt != booted || !known.StartReported {
		t.Errorf("started at %v, then at %v", booted, known.StartedAt)
	}
	entry.Incarnation, entry.UptimeMs = 8, 10
	loop.RunTurn(func() { loop.UpdateBackends([]endpointlist.Endpoint{entry}, false) })
	if known.StartedAt == booted {
		t.Error("a new start was not noticed")
	}
}

func TestBackendMissingFromCompleteListIsRemoved(t *testing.T) {
	loop, _ := newTestLoop(t, "idempotent")
	removed := loop.backends["w2"]
	loop.RunTurn(func() {
		loop.UpdateBackends([]endpointlist.Endpoint{
			listEntry("r1", "reader", "ready"), listEntry("w1", "writer", "draining"),
			listEntry("x", "nonesuch", "ready"),
		}, true)
	})
	if removed.SchedulerState.State != scheduler.Removed ||
		loop.backends["w1"].SchedulerState.State != scheduler.Draining ||
		loop.backends["x"] != nil {
		t.Errorf("w2 %d, w1 %d, x %v",
			removed.SchedulerState.State, loop.backends["w1"].SchedulerState.State, loop.backends["x"])
	}
	select {
	case <-removed.Removed:
	default:
		t.Error("releases to a removed backend would be repeated")
	}
}

func TestAddressesThatAreNotAllowedAreIgnored(t *testing.T) {
	loop, transport := newTestLoop(t, "idempotent")
	entry := listEntry("w1", "writer", "ready")
	entry.Addresses = []addresses.Spec{
		{Network: "tcp4", Addr: "10.9.9.9:1"}, {Network: "tcp4", Addr: "no address"}, {Network: "unix", Addr: "/w1"},
	}
	loop.RunTurn(func() { loop.UpdateBackends([]endpointlist.Endpoint{entry}, false) })
	if got := transport.reached[len(transport.reached)-1]; got != "w1[unix:/w1]" {
		t.Errorf("the addresses are %s", got)
	}
	before := len(transport.reached)
	loop.RunTurn(func() { loop.UpdateBackends([]endpointlist.Endpoint{entry}, false) })
	entry.State = "gone"
	loop.RunTurn(func() { loop.UpdateBackends([]endpointlist.Endpoint{entry}, false) })
	if len(transport.reached) != before+1 || transport.reached[before] != "w1[]" {
		t.Errorf("then the addresses were set to %v", transport.reached[before:])
	}
}

// Every deployment replaces backends under new names. Those that are removed and have no attempt in flight must be
// forgotten: otherwise the tables, which every list is compared with, grow without bound.
func TestRemovedBackendsAreForgotten(t *testing.T) {
	loop, transport := newTestLoop(t, "idempotent")
	request := submit(loop, 4*time.Second)
	busy := transport.last()
	for i := range 300 {
		loop.RunTurn(func() {
			entry := listEntry(fmt.Sprint("pod-", i), "writer", "ready")
			entry.Incarnation, entry.UptimeMs = uint64(i), 5
			loop.UpdateBackends([]endpointlist.Endpoint{entry}, false)
			entry.State = "gone"
			loop.UpdateBackends([]endpointlist.Endpoint{entry}, false)
		})
	}
	transport.now += 2 * removedRetention
	loop.RunTurn(func() { loop.UpdateBackends([]endpointlist.Endpoint{listEntry("w1", "writer", "ready")}, true) })
	transport.now += 2 * removedRetention
	loop.RunTurn(func() { loop.UpdateBackends([]endpointlist.Endpoint{listEntry("w1", "writer", "ready")}, true) })
	if len(loop.backends) != 2 || len(loop.schedulerBackends) != 2 || len(loop.byState) != 2 ||
		loop.backends[busy.Backend.Name] == nil {
		t.Fatalf("%d, %d and %d backends by name, number and record are kept, with 1 listed and 1 that has an attempt",
			len(loop.backends), len(loop.schedulerBackends), len(loop.byState))
	}
	loop.RunTurn(func() { loop.AttemptEnded(busy, scheduler.Result{Outcome: scheduler.Prefilled}) })
	loop.RunTurn(func() { loop.UpdateBackends(nil, false) })
	transport.now += 2 * removedRetention
	loop.RunTurn(func() { loop.UpdateBackends(nil, false) })
	if len(loop.backends) != 1 || len(transport.released)+len(transport.attempts) < 2 || request.Scheduled == nil {
		t.Errorf("%d backends are kept after the last attempt, released at %v", len(loop.backends), transport.released)
	}
}

// Another machine under an old name is another backend: its role, its rack and its deduplication group are those of the
// place where it is now.
func TestBackendListedElsewhereIsANewBackend(t *testing.T) {
	for name, change := range map[string]func(*endpointlist.Endpoint){
		"kind": func(entry *endpointlist.Endpoint) { entry.Kind = "reader" },
		"rack": func(entry *endpointlist.Endpoint) { entry.Rack = "other" },
		"zone": func(entry *endpointlist.Endpoint) { entry.Zone = "there" },
	} {
		l, _ := newTestLoop(t, "idempotent")
		before := l.backends["w1"].SchedulerState
		entry := listEntry("w1", "writer", "ready")
		change(&entry)
		l.RunTurn(func() { l.UpdateBackends([]endpointlist.Endpoint{entry}, false) })
		after := l.backends["w1"].SchedulerState
		if after == before || before.State != scheduler.Removed || after.State != scheduler.Ready ||
			l.schedulerBackends[after.ID] != after || l.byState[before] != nil {
			t.Errorf("another %s: not a new backend, the old one's state is %d", name, before.State)
		}
	}
}

// The event loop asks the scheduler for its estimates by an optional method, so a change of that method's name would
// compile and leave zeros in the log.
func TestLoopReportsTheEstimatesOfItsScheduler(t *testing.T) {
	l, _ := newTestLoop(t, "idempotent")
	if estimates := l.Estimates(); estimates.Window == 0 {
		t.Errorf("the scheduler's concurrency window is reported as zero: %+v", estimates)
	}
}
