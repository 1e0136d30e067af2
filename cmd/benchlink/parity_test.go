package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/wire"
	"sloetrestle/scheduler"
)

// eventRecord is one record of a batch, whose fields are set by offset.
type eventRecord [56]byte

func (r *eventRecord) u32(offset int, v uint32) { binary.BigEndian.PutUint32(r[offset:], v) }
func (r *eventRecord) u64(offset int, v uint64) { binary.BigEndian.PutUint64(r[offset:], v) }
func (r *eventRecord) f32(offset int, v float64) {
	binary.BigEndian.PutUint32(r[offset:], math.Float32bits(float32(v)))
}

func event(t *testing.T, r eventRecord, tail []byte) wire.Event {
	t.Helper()
	raw := binary.BigEndian.AppendUint32(nil, 1)
	raw = binary.BigEndian.AppendUint32(raw, uint32(8+len(r)+len(tail)))
	raw = binary.BigEndian.AppendUint64(raw, 0)
	batch, err := wire.NewReader(bytes.NewReader(append(append(raw, r[:]...), tail...))).Next()
	if err != nil {
		t.Fatal(err)
	}
	return batch.Events[0]
}

// simulation drives the scheduler through the frames of the simulator.
type simulation struct {
	t       *testing.T
	in      *instance
	reply   *wire.Reply
	clockUs uint64
	timers  []timer
	actions []string
	sent    map[uint64]uint32 // the backend of each request's last attempt
}

type timer struct {
	dueUs uint64
	token uint32
}

func (s *simulation) handle(r eventRecord, tail []byte) {
	s.in.handle(event(s.t, r, tail), s.clockUs)
	s.collect()
}

// collect decodes the actions of the reply.
func (s *simulation) collect() {
	var out bytes.Buffer
	if _, err := s.reply.WriteTo(&out); err != nil {
		s.t.Fatal(err)
	}
	raw := out.Bytes()[8:]
	for ; len(raw) >= 24; raw = raw[24:] {
		u32 := func(offset int) uint32 { return binary.BigEndian.Uint32(raw[offset:]) }
		id := binary.BigEndian.Uint64(raw[3:])
		switch raw[0] {
		case 10:
			s.sent[id] = u32(11)
			s.actions = append(s.actions, fmt.Sprintf("%d send %d to %d for %d", s.clockUs, id, u32(11), u32(15)))
		case 20:
			s.actions = append(s.actions, fmt.Sprintf("%d reject %d for %d", s.clockUs, id, u32(11)/1000))
		case 30:
			s.actions = append(s.actions, fmt.Sprintf("%d fail %d", s.clockUs, id))
		case 40:
			s.actions = append(s.actions, fmt.Sprintf("%d cancel %d", s.clockUs, id))
		case 50:
			s.timers = append(s.timers, timer{s.clockUs + uint64(u32(3)), u32(7)})
		}
	}
}

// fireDue fires the timers that are due, in the order of their times.
func (s *simulation) fireDue() {
	for {
		i := -1
		for j, w := range s.timers {
			if w.dueUs <= s.clockUs && (i < 0 || w.dueUs < s.timers[i].dueUs) {
				i = j
			}
		}
		if i < 0 {
			return
		}
		var r eventRecord
		r[0] = wire.EventTimer
		r.u32(3, s.timers[i].token)
		s.timers = slices.Delete(s.timers, i, i+1)
		s.handle(r, nil)
	}
}

// recorder records the attempts that the dispatcher's event loop sends.
type recorder struct {
	now      time.Duration
	actions  []string
	inFlight map[uint64]*dispatch.Attempt
}

func (r *recorder) note(format string, args ...any) {
	r.actions = append(r.actions, fmt.Sprintf("%d ", r.now.Microseconds())+fmt.Sprintf(format, args...))
}

func (r *recorder) Start(attempt *dispatch.Attempt) {
	r.inFlight[attempt.Scheduled.Request.ID] = attempt
	attempt.Cancel = func(error) {}
	r.note("send %d to %d for %d",
		attempt.Scheduled.Request.ID, attempt.Scheduled.Backend.ID, attempt.Timeout.Microseconds())
}
func (r *recorder) Release(*dispatch.Backend, *dispatch.ClientRequest) {}
func (r *recorder) SendPeerUpdate(int, scheduler.PeerUpdate)           {}
func (r *recorder) SetAddresses(*dispatch.Backend, []addresses.Spec)   {}

// The simulator tests the scheduler of the running dispatcher only as long as this adapter and the dispatcher's event
// loop get the same decisions from the same sequence of events.
func TestAdapterAndEventLoopMakeTheSameDecisions(t *testing.T) {
	config := setup.DefaultDispatcherConfig()
	for i, effect := range []string{"idempotent", "deduplicated", "unrepeatable"} {
		config.Classes = append(config.Classes, setup.Class{
			Name: effect, Effect: effect, DedupScope: "all", DedupWindow: setup.Duration(2 * time.Second),
			LatencyTarget: setup.Duration(time.Second), Deadline: setup.Duration(4 * time.Second),
			Value: float64(i + 1), LateValue: 0.2, DefaultMaxTokens: 60,
		})
	}
	config.BackendKinds = []setup.BackendKind{
		{Name: "reader", Role: "reader", MemoryTokens: 2e5},
		{Name: "writer", Role: "writer", MemoryTokens: 1e5},
		{Name: "mixed", Role: "mixed", MemoryTokens: 1e5},
	}
	config.ReportFields = []string{"util", "queue"}
	info, err := json.Marshal(config.SchedulerParameters())
	if err != nil {
		t.Fatal(err)
	}
	const seed = 99
	recorded := &recorder{inFlight: map[uint64]*dispatch.Attempt{}}
	loop, err := dispatch.NewLoop(config.SchedulerParameters(), seed,
		dispatch.Resolver{ZoneNumber: config.ZoneIndex, KindNumber: config.KindIndex}, recorded,
		func() time.Duration { return recorded.now }, "d", slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{t: t, reply: &wire.Reply{}, sent: map[uint64]uint32{}}
	var startRecord eventRecord
	startRecord[0] = wire.EventStart
	startRecord.u64(3, seed)
	startRecord.u32(15, uint32(len(info)))
	sim.in = newInstance(event(t, startRecord, info), 0, sim.reply)
	sim.collect()

	kinds := []string{"reader", "reader", "reader", "writer", "writer", "writer", "mixed"}
	list := func(stateOf func(i int) int) {
		var lines []endpointlist.Endpoint
		var tail []byte
		for i, kind := range kinds {
			name, rack, state := fmt.Sprintf("%s-%d", kind, i), fmt.Sprintf("rack-%d", i%2), stateOf(i)
			line := endpointlist.Endpoint{
				Name: name, Addresses: []addresses.Spec{{Network: "tcp4", Addr: "10.0.0.1:1"}},
				Kind: kind, Zone: "here", Rack: rack, State: [...]string{"draining", "ready", "gone"}[state],
				Units: 2, UptimeMs: -1,
			}
			entry := make([]byte, 22)
			binary.BigEndian.PutUint32(entry, dispatch.BackendID(name))
			binary.BigEndian.PutUint16(entry[5:], uint16(config.KindIndex(kind)))
			binary.BigEndian.PutUint16(entry[7:], uint16(i%2))
			entry[9] = byte(state)
			binary.BigEndian.PutUint32(entry[10:], math.Float32bits(2))
			if i == 4 { // a backend that has just started
				line.Incarnation, line.UptimeMs = 5, 1
				binary.BigEndian.PutUint64(entry[14:], sim.clockUs-1000)
			}
			lines, tail = append(lines, line), append(tail, entry...)
		}
		var r eventRecord
		r[0], r[11] = wire.EventEndpoints, 1
		r.u32(16, uint32(len(lines)))
		sim.handle(r, tail)
		loop.RunTurn(func() { loop.UpdateBackends(lines, true) })
	}
	tick := func() {
		sim.clockUs += 2000
		recorded.now += 2 * time.Millisecond
		sim.fireDue()
		loop.RunTimers()
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	submitted := map[uint64]*dispatch.ClientRequest{}
	codes := map[scheduler.Outcome]uint16{
		scheduler.Served: 200, scheduler.Prefilled: 210, scheduler.Failed: 500, scheduler.Rejected: 503,
		scheduler.TimedOut:    504,
		scheduler.Unreachable: 502, scheduler.ConnectionLost: 598,
	}
	end := func(id uint64, attempt *dispatch.Attempt, outcome scheduler.Outcome, note int) {
		took := (recorded.now - attempt.Scheduled.SentAt).Microseconds()
		over := outcome == scheduler.Served || attempt.Scheduled.FirstTokenAt > 0
		load := []float64{0.5, 3}
		var r eventRecord
		r[0], r[11] = wire.EventOutcome, byte(attempt.Scheduled.Number)
		r.u64(3, id)
		r.u32(12, attempt.Scheduled.Backend.ID)
		binary.BigEndian.PutUint16(r[16:], codes[outcome])
		r.u32(18, uint32(took))
		if over || attempt.Scheduled.Request.Finished {
			r[22] = 1
		}
		r.u32(23, uint32(note))
		r[27] = 2
		r.f32(28, load[0])
		r.f32(32, load[1])
		sim.handle(r, nil)
		delete(recorded.inFlight, id)
		loop.RunTurn(func() {
			loop.AttemptEnded(attempt, scheduler.Result{Outcome: outcome, Detail: note,
				LoadReport: load})
		})
	}
	tick()
	list(func(int) int { return 1 })
	for step := range 15000 {
		tick()
		if step%15 == 0 {
			id := uint64(len(submitted) + 1)
			class, tokens := rng.IntN(3), 200+rng.IntN(4000)
			session, prefix := fmt.Sprint("s", rng.IntN(200)), fmt.Sprint("b", rng.IntN(9))
			request := &dispatch.ClientRequest{
				Params: kserve.Request{PromptTokens: tokens, PrefixTokens: 100, MaxTokens: 60, Session: session,
					SharedPrefix: prefix},
			}
			submitted[id] = request
			var r eventRecord
			r[0], r[36] = wire.EventRequest, byte(class)
			r.u64(3, id)
			r.u64(11, dispatch.HashName(session))
			r.f32(20, 60)
			r.u64(24, dispatch.HashName(prefix))
			r.f32(32, float64(tokens))
			r.u32(41, 3_000_000)
			r.f32(45, 100)
			sim.handle(r, nil)
			loop.RunTurn(func() { loop.Submit(request, class, 0, 3*time.Second) })
		}
		if step == 7000 {
			list(func(i int) int { return []int{1, 0, 1, 1, 2, 1, 1}[i] })
		}
		var ids []uint64
		for id := range recorded.inFlight {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			attempt := recorded.inFlight[id]
			age := recorded.now - attempt.Scheduled.SentAt
			switch draw := rng.Float64(); {
			case age >= attempt.Timeout && attempt.Scheduled.FirstTokenAt == 0:
				end(id, attempt, scheduler.TimedOut, 0)
			case draw < 0.001:
				end(id, attempt, scheduler.Failed, 0)
			case draw < 0.002:
				end(id, attempt, scheduler.ConnectionLost, 0)
			case attempt.Scheduled.FirstTokenAt > 0 && draw < 0.05:
				end(id, attempt, scheduler.Served, 40)
			case attempt.Scheduled.FirstTokenAt > 0:
			case draw < 0.0021:
				end(id, attempt, scheduler.Unreachable, 0)
			case draw < 0.003:
				end(id, attempt, scheduler.Rejected, 0)
			case draw < 0.12 && attempt.Scheduled.Stage == scheduler.StagePrefill:
				end(id, attempt, scheduler.Prefilled, 100)
			case draw < 0.12:
				var r eventRecord
				r[0], r[11] = wire.EventFirstByte, byte(attempt.Scheduled.Number)
				r.u64(3, id)
				r.u32(12, attempt.Scheduled.Backend.ID)
				r.u32(16, uint32(age.Microseconds()))
				sim.handle(r, nil)
				loop.RunTurn(func() { loop.AttemptBegan(attempt) })
			case draw < 0.122 && !attempt.Scheduled.Request.Finished:
				var r eventRecord
				r[0] = wire.EventClientGone
				r.u64(3, id)
				sim.handle(r, nil)
				request := submitted[id]
				loop.RunTurn(func() { loop.ClientDisconnected(request) })
			}
		}
	}
	// The event loop stores a final answer with its request; the adapter sends it as an action.
	var sends []string
	finals := map[string]int{}
	for _, action := range sim.actions {
		switch {
		case bytes.Contains([]byte(action), []byte("send")):
			sends = append(sends, action)
		case bytes.Contains([]byte(action), []byte("reject")):
			finals[kserve.Rejected]++
		case bytes.Contains([]byte(action), []byte("fail")):
			finals[kserve.Failed]++
		}
	}
	if len(sends) < 800 || finals[kserve.Failed] == 0 {
		t.Fatalf("too few attempts or no failed request in the sequence: %d sent, final answers %v", len(sends), finals)
	}
	for i := range min(len(sends), len(recorded.actions)) {
		if sends[i] != recorded.actions[i] {
			t.Fatalf("action %d: adapter %q, event loop %q", i, sends[i], recorded.actions[i])
		}
	}
	if len(sends) != len(recorded.actions) {
		t.Errorf("the adapter sends %d attempts, the event loop %d", len(sends), len(recorded.actions))
	}
	if l := loop.Counters; int(l.Rejected) != finals[kserve.Rejected] || int(l.Failed) < finals[kserve.Failed] {
		t.Errorf("the adapter rejects %d and fails %d, the event loop %d and %d",
			finals[kserve.Rejected], finals[kserve.Failed], l.Rejected, l.Failed)
	}
}

// A status code that the protocol does not define proves nothing, least of all that the request was served.
func TestUnknownStatusCountsAsFailure(t *testing.T) {
	if got := outcomeOf(777); got != scheduler.Failed {
		t.Errorf("status 777 gives outcome %d", got)
	}
	if got := outcomeOf(200); got != scheduler.Served {
		t.Errorf("status 200 gives outcome %d", got)
	}
}

// Numbers from a frame enter averages that last for the rest of the run: no NaN or negative number may get there.
func FuzzFramesLeaveNoNaNOrNegativeState(f *testing.F) {
	config := setup.DefaultDispatcherConfig()
	config.Classes = []setup.Class{{
		Name: "g", Effect: "idempotent", LatencyTarget: setup.Duration(time.Second),
		Deadline: setup.Duration(4 * time.Second),
		Value:    1, DefaultMaxTokens: 60,
	}}
	config.BackendKinds = []setup.BackendKind{
		{Name: "reader", Role: "reader", MemoryTokens: 2e5},
		{Name: "writer", Role: "writer", MemoryTokens: 1e5},
	}
	config.ReportFields = []string{"util", "queue"}
	info, err := json.Marshal(config.SchedulerParameters())
	if err != nil {
		f.Fatal(err)
	}
	entry := func(id uint32, kind byte, units uint32) []byte {
		e := make([]byte, 22)
		binary.BigEndian.PutUint32(e, id)
		e[6], e[9] = kind, 1
		binary.BigEndian.PutUint32(e[10:], units)
		return e
	}
	one, nan, inf, minus := math.Float32bits(1), math.Float32bits(float32(math.NaN())),
		math.Float32bits(float32(math.Inf(1))), math.Float32bits(-1)
	f.Add([]byte{10, 50, 40, 50}, one, one)
	f.Add([]byte{10, 50, 40, 50}, nan, inf)
	f.Add([]byte{50, 60, 90, 40, 20, 100}, inf, minus)
	f.Fuzz(func(t *testing.T, codes []byte, value1, value2 uint32) {
		reply := &wire.Reply{}
		var startRecord eventRecord
		startRecord[0] = wire.EventStart
		startRecord.u32(15, uint32(len(info)))
		in := newInstance(event(t, startRecord, info), 0, reply)
		tail := slices.Concat(entry(1, 0, value1), entry(2, 1, value2), entry(3, 1, one))
		var r eventRecord
		r[0], r[11] = wire.EventEndpoints, 1
		r.u32(16, 3)
		in.handle(event(t, r, tail), 0)
		for i, code := range codes[:min(len(codes), 40)] {
			request := eventRecord{}
			request[0] = wire.EventRequest
			request.u64(3, uint64(i+1))
			request.u32(20, value1)
			request.u32(32, value2)
			request.u32(41, 3_000_000)
			in.handle(event(t, request, nil), uint64(i)*1000)
			result := eventRecord{}
			result[0] = code
			result.u64(3, uint64(i+1))
			switch code {
			case wire.EventOutcome:
				result.u32(18, 1000)
				binary.BigEndian.PutUint16(result[16:], 210)
				result.u32(23, value1)
				result[27] = 2
				result.u32(28, value1)
				result.u32(32, value2)
			case wire.EventFirstByte, wire.EventClientGone, wire.EventTimer:
			default:
				continue
			}
			in.handle(event(t, result, nil), uint64(i)*1000+500)
		}
		for _, h := range in.backends {
			for _, v := range []float64{h.CapacityUnits, h.RelativeCapacity, h.Util, h.QueueLength, h.KVTokens,
				h.PrefillBacklog, h.TokenLimit, h.CacheInsertedTokens} {
				if math.IsNaN(v) || v < 0 {
					t.Fatalf("state of backend %d: %v", h.ID,
						[]float64{h.CapacityUnits, h.RelativeCapacity, h.Util, h.QueueLength, h.KVTokens, h.PrefillBacklog,
							h.TokenLimit, h.CacheInsertedTokens})
				}
			}
		}
	})
}
