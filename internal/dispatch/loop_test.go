package dispatch

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/addresses"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
)

// hand takes attempts and releases down instead of sending them; the test moves its clock.
type hand struct {
	now      time.Duration
	flights  []*Attempt
	released []string
	reached  []string
}

func (h *hand) Start(f *Attempt) {
	f.ctx, f.Cancel = context.WithCancelCause(context.Background())
	h.flights = append(h.flights, f)
}
func (h *hand) Release(b *Backend, _ *ClientRequest) { h.released = append(h.released, b.Name) }
func (h *hand) SendPeerUpdate(int, brain.PeerUpdate) {}
func (h *hand) SetAddresses(b *Backend, at []addresses.Spec) {
	h.reached = append(h.reached, fmt.Sprint(b.Name, at))
}

func terms(effect string) setup.DispatcherConfig {
	d := setup.DefaultDispatcherConfig()
	d.Classes = []setup.Class{{Name: "g", Effect: effect, DedupScope: "all", DedupWindow: setup.Duration(3 * time.Second), LatencyTarget: setup.Duration(time.Second),
		Deadline: setup.Duration(4 * time.Second), Value: 1, DefaultMaxTokens: 50}}
	d.BackendKinds = []setup.BackendKind{{Name: "reader", Role: "reader", MemoryTokens: 1e5}, {Name: "writer", Role: "writer", MemoryTokens: 1e5}}
	return d
}

func box(name, kind, standing string) boxlist.Endpoint {
	return boxlist.Endpoint{Name: name, Addresses: []addresses.Spec{{Network: "tcp4", Addr: "10.0.0.1:1"}}, Kind: kind, State: standing, Units: 1, UptimeMs: -1}
}

// settled makes a loop that knows two prefill backends and two decode backends.
func settled(t *testing.T, effect string) (*Loop, *hand) {
	t.Helper()
	h := &hand{now: time.Second}
	d := terms(effect)
	l, err := NewLoop(d.SchedulerParameters(), 1, Resolver{ZoneNumber: d.ZoneIndex, KindNumber: d.KindIndex, AddressAllowed: func(s addresses.Spec) bool { return s.Addr != "10.9.9.9:1" }}, h, func() time.Duration { return h.now }, "d0.x",
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	l.RunTurn(func() {
		l.UpdateBackends([]boxlist.Endpoint{box("r1", "reader", "ready"), box("r2", "reader", "ready"), box("w1", "writer", "ready"), box("w2", "writer", "ready")}, true)
	})
	return l, h
}

func asks(l *Loop, left time.Duration) *ClientRequest {
	a := &ClientRequest{Params: kserve.Request{PromptTokens: 2000, MaxTokens: 50, Session: "s"}, Class: "g"}
	l.RunTurn(func() { l.Submit(a, 0, 0, left) })
	return a
}

func (h *hand) last() *Attempt { return h.flights[len(h.flights)-1] }

func final(t *testing.T, a *ClientRequest) kserve.FinalResponse {
	t.Helper()
	select {
	case f := <-a.final:
		return f
	default:
		t.Fatal("no final answer")
		return kserve.FinalResponse{}
	}
}

func TestALateTripEndsOnceAndItsStateIsLetGo(t *testing.T) {
	l, h := settled(t, "idempotent")
	a := asks(l, 4*time.Second)
	f := h.last()
	h.now += f.Timeout + time.Millisecond
	l.RunTimers()
	if context.Cause(f.ctx) != ErrAttemptTimeout {
		t.Fatalf("the flight was called off for %v", context.Cause(f.ctx))
	}
	l.RunTurn(func() { l.AttemptEnded(f, brain.Result{Outcome: brain.TimedOut}) })
	l.RunTurn(func() { l.AttemptEnded(f, brain.Result{Outcome: brain.Prefilled}) })
	if len(h.released) != 1 {
		t.Errorf("releases %v: a read cut off may have left its state", h.released)
	}
	if len(a.Scheduled.Attempts) == 1 && !a.answered {
		t.Error("neither another trip nor an answer")
	}
}

// A first token that arrives in the moment when the attempt's time is up must not be shown to the client: the attempt ends as
// timed out, and another one may follow.
func TestAFirstTokenAfterTheTripsTimeDoesNotCount(t *testing.T) {
	l, h := settled(t, "idempotent")
	a := asks(l, 4*time.Second)
	l.RunTurn(func() { l.AttemptEnded(h.last(), brain.Result{Outcome: brain.Prefilled}) })
	f := h.last()
	if f.Scheduled.Stage != brain.StageDecode || f.PrefillBackend == nil {
		t.Fatalf("stage %d, state %v", f.Scheduled.Stage, f.PrefillBackend)
	}
	h.now += f.Timeout
	l.RunTimers()
	l.RunTurn(func() { l.AttemptBegan(f) })
	if len(a.began) != 0 {
		t.Error("the stream was handed to the client")
	}
}

// Its end may have come along with that token. The client has not had it, so nobody is satisfied; and it has run.
func TestAnAnswerThatCameWholeAfterItsTimeIsNoAnswer(t *testing.T) {
	l, h := settled(t, "unrepeatable")
	a := asks(l, 4*time.Second)
	l.RunTurn(func() { l.AttemptEnded(h.last(), brain.Result{Outcome: brain.Prefilled}) })
	f := h.last()
	h.now += f.Timeout
	l.RunTimers()
	l.RunTurn(func() { l.AttemptBegan(f) })
	l.RunTurn(func() { l.AttemptEnded(f, brain.Result{Outcome: brain.Served}) })
	if got := final(t, a); got.Outcome != kserve.Failed || len(a.began) != 0 || l.Counters.Outcomes[brain.TimedOut] != 1 {
		t.Errorf("%+v with %d streams, outcomes %v", got, len(a.began), l.Counters.Outcomes)
	}
}

func TestAClientThatLeavesMidStreamEndsItsTrip(t *testing.T) {
	l, h := settled(t, "unrepeatable")
	a := asks(l, 4*time.Second)
	l.RunTurn(func() { l.AttemptEnded(h.last(), brain.Result{Outcome: brain.Prefilled}) })
	f := h.last()
	l.RunTurn(func() { l.AttemptBegan(f) })
	l.RunTurn(func() { l.ClientDisconnected(a) })
	if context.Cause(f.ctx) != ErrNotNeeded {
		t.Error("the stream goes on unread")
	}
	l.RunTurn(func() { l.AttemptEnded(f, brain.Result{Outcome: brain.Cancelled}) })
	if len(a.final) != 0 || len(l.requests) != 0 {
		t.Errorf("%d answers to a client that left, %d questions held", len(a.final), len(l.requests))
	}
}

func TestAnUnrepeatableQuestionThatMayHaveRunIsForfeited(t *testing.T) {
	l, h := settled(t, "unrepeatable")
	a := asks(l, 4*time.Second)
	l.RunTurn(func() { l.AttemptEnded(h.last(), brain.Result{Outcome: brain.Prefilled}) })
	n := len(h.flights)
	l.RunTurn(func() { l.AttemptEnded(h.last(), brain.Result{Outcome: brain.ConnectionLost}) })
	if f := final(t, a); f.Outcome != kserve.Failed || f.SafeToRetry || len(h.flights) != n {
		t.Errorf("%+v after a broken trip, and %d more trips", f, len(h.flights)-n)
	}
	if len(h.released) == 0 {
		t.Error("its state was not let go of")
	}
}

// The prefill backend may be handing the state to a decode backend whose attempt was just given up on, and say it has none.
func TestAStateThatCouldNotBeGivenIsReleasedAllTheSame(t *testing.T) {
	l, h := settled(t, "idempotent")
	asks(l, 4*time.Second)
	reader := h.last().Backend.Name
	l.RunTurn(func() { l.AttemptEnded(h.last(), brain.Result{Outcome: brain.Prefilled}) })
	l.RunTurn(func() { l.AttemptEnded(h.last(), brain.Result{Outcome: brain.Rejected, Detail: 1}) })
	if len(h.released) != 1 || h.released[0] != reader {
		t.Errorf("released at %v, the state was at %s", h.released, reader)
	}
}

// Should the module ever leave a request without an answer, its client still gets one in time.
func TestAnOverdueQuestionIsForfeited(t *testing.T) {
	l, h := settled(t, "idempotent")
	a := asks(l, 4*time.Second)
	h.now += 4*time.Second + overdue
	l.RunTimers()
	if f := final(t, a); f.Outcome != kserve.Failed || l.Counters.Overdue != 1 {
		t.Errorf("%+v, overdue %d", f, l.Counters.Overdue)
	}
	l.RunTurn(func() { l.AttemptEnded(h.last(), brain.Result{Outcome: brain.Prefilled}) })
	if len(h.released) == 0 || len(h.flights) != 1 {
		t.Errorf("released %v, flights %d", h.released, len(h.flights))
	}
}

// The list repeats a start with another age each time: that is no new start, at which the module would forget
// what it knows of the backend.
func TestAStartHasOneTimeHoweverOftenItIsListed(t *testing.T) {
	l, h := settled(t, "idempotent")
	line := box("w1", "writer", "ready")
	line.Incarnation, line.UptimeMs = 7, 1000
	l.RunTurn(func() { l.UpdateBackends([]boxlist.Endpoint{line}, false) })
	host := l.backends["w1"].SchedulerState
	booted := host.StartedAt
	h.now += 3 * time.Second
	line.UptimeMs = 4007
	l.RunTurn(func() { l.UpdateBackends([]boxlist.Endpoint{line}, false) })
	if host.StartedAt != booted || !host.StartReported {
		t.Errorf("booted %v, then %v", booted, host.StartedAt)
	}
	line.Incarnation, line.UptimeMs = 8, 10
	l.RunTurn(func() { l.UpdateBackends([]boxlist.Endpoint{line}, false) })
	if host.StartedAt == booted {
		t.Error("a new start went unseen")
	}
}

func TestABoxThatAWholeListLeavesOutIsGone(t *testing.T) {
	l, _ := settled(t, "idempotent")
	gone := l.backends["w2"]
	l.RunTurn(func() {
		l.UpdateBackends([]boxlist.Endpoint{box("r1", "reader", "ready"), box("w1", "writer", "draining"), box("x", "nonesuch", "ready")}, true)
	})
	if gone.SchedulerState.State != brain.Removed || l.backends["w1"].SchedulerState.State != brain.Draining || l.backends["x"] != nil {
		t.Errorf("w2 %d, w1 %d, x %v", gone.SchedulerState.State, l.backends["w1"].SchedulerState.State, l.backends["x"])
	}
	select {
	case <-gone.Removed:
	default:
		t.Error("releases to a box that is gone would be tried on")
	}
}

func TestAddressesOutsideOfWhatIsAllowedAreLeftOut(t *testing.T) {
	l, h := settled(t, "idempotent")
	line := box("w1", "writer", "ready")
	line.Addresses = []addresses.Spec{{Network: "tcp4", Addr: "10.9.9.9:1"}, {Network: "tcp4", Addr: "no address"}, {Network: "unix", Addr: "/w1"}}
	l.RunTurn(func() { l.UpdateBackends([]boxlist.Endpoint{line}, false) })
	if got := h.reached[len(h.reached)-1]; got != "w1[unix:/w1]" {
		t.Errorf("reached at %s", got)
	}
	n := len(h.reached)
	l.RunTurn(func() { l.UpdateBackends([]boxlist.Endpoint{line}, false) })
	line.State = "gone"
	l.RunTurn(func() { l.UpdateBackends([]boxlist.Endpoint{line}, false) })
	if len(h.reached) != n+1 || h.reached[n] != "w1[]" {
		t.Errorf("then %v", h.reached[n:])
	}
}

// Backends come and go under new names with every deployment: what is gone, and has nothing out, must not be kept and walked over
// for ever.
func TestBoxesThatAreGoneAreForgotten(t *testing.T) {
	l, h := settled(t, "idempotent")
	a := asks(l, 4*time.Second)
	busy := h.last()
	for i := range 300 {
		l.RunTurn(func() {
			line := box(fmt.Sprint("pod-", i), "writer", "ready")
			line.Incarnation, line.UptimeMs = uint64(i), 5
			l.UpdateBackends([]boxlist.Endpoint{line}, false)
			line.State = "gone"
			l.UpdateBackends([]boxlist.Endpoint{line}, false)
		})
	}
	h.now += 2 * goneKept
	l.RunTurn(func() { l.UpdateBackends([]boxlist.Endpoint{box("w1", "writer", "ready")}, true) })
	h.now += 2 * goneKept
	l.RunTurn(func() { l.UpdateBackends([]boxlist.Endpoint{box("w1", "writer", "ready")}, true) })
	if len(l.backends) != 2 || len(l.hosts) != 2 || len(l.byHost) != 2 || l.backends[busy.Backend.Name] == nil {
		t.Fatalf("%d boxes, %d hosts, %d by host are held, of 1 listed and 1 with a trip", len(l.backends), len(l.hosts), len(l.byHost))
	}
	l.RunTurn(func() { l.AttemptEnded(busy, brain.Result{Outcome: brain.Prefilled}) })
	l.RunTurn(func() { l.UpdateBackends(nil, false) })
	h.now += 2 * goneKept
	l.RunTurn(func() { l.UpdateBackends(nil, false) })
	if len(l.backends) != 1 || len(h.released)+len(h.flights) < 2 || a.Scheduled == nil {
		t.Errorf("%d boxes are held after the last trip, released %v", len(l.backends), h.released)
	}
}

// Another machine under the old name is another backend: groups that drop repeats, roles and racks go by where it stands now.
func TestABoxThatComesBackElsewhereIsAnotherOne(t *testing.T) {
	for name, change := range map[string]func(*boxlist.Endpoint){
		"kind": func(b *boxlist.Endpoint) { b.Kind = "reader" },
		"rack": func(b *boxlist.Endpoint) { b.Rack = "other" },
		"zone": func(b *boxlist.Endpoint) { b.Zone = "there" },
	} {
		l, _ := settled(t, "idempotent")
		old := l.backends["w1"].SchedulerState
		line := box("w1", "writer", "ready")
		change(&line)
		l.RunTurn(func() { l.UpdateBackends([]boxlist.Endpoint{line}, false) })
		now := l.backends["w1"].SchedulerState
		if now == old || old.State != brain.Removed || now.State != brain.Ready || l.hosts[now.ID] != now || l.byHost[old] != nil {
			t.Errorf("another %s: the same host, standing %d", name, old.State)
		}
	}
}
