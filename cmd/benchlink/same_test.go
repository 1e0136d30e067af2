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

	"sloetrestle/brain"
	"sloetrestle/internal/addresses"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/wire"
)

// rec is one record of a batch: its fields are put at their places.
type rec [56]byte

func (r *rec) u32(at int, v uint32) { binary.BigEndian.PutUint32(r[at:], v) }
func (r *rec) u64(at int, v uint64) { binary.BigEndian.PutUint64(r[at:], v) }
func (r *rec) f32(at int, v float64) {
	binary.BigEndian.PutUint32(r[at:], math.Float32bits(float32(v)))
}

func event(t *testing.T, r rec, tail []byte) wire.Event {
	t.Helper()
	raw := binary.BigEndian.AppendUint32(nil, 1)
	raw = binary.BigEndian.AppendUint32(raw, uint32(8+len(r)+len(tail)))
	raw = binary.BigEndian.AppendUint64(raw, 0)
	b, err := wire.NewReader(bytes.NewReader(append(append(raw, r[:]...), tail...))).Next()
	if err != nil {
		t.Fatal(err)
	}
	return b.Events[0]
}

// bench drives the module through the simulator's wire.
type bench struct {
	t       *testing.T
	in      *instance
	reply   *wire.Reply
	clock   uint64
	wakes   []due
	actions []string
	sent    map[uint64]uint32 // the host of each question's last trip
}

type due struct {
	at  uint64
	ctx uint32
}

func (b *bench) take(r rec, tail []byte) {
	b.in.take(event(b.t, r, tail), b.clock)
	b.collect()
}

// collect reads the actions out of the reply.
func (b *bench) collect() {
	var out bytes.Buffer
	if _, err := b.reply.WriteTo(&out); err != nil {
		b.t.Fatal(err)
	}
	raw := out.Bytes()[8:]
	for ; len(raw) >= 24; raw = raw[24:] {
		u32 := func(at int) uint32 { return binary.BigEndian.Uint32(raw[at:]) }
		id := binary.BigEndian.Uint64(raw[3:])
		switch raw[0] {
		case 10:
			b.sent[id] = u32(11)
			b.actions = append(b.actions, fmt.Sprintf("%d send %d to %d for %d", b.clock, id, u32(11), u32(15)))
		case 20:
			b.actions = append(b.actions, fmt.Sprintf("%d decline %d for %d", b.clock, id, u32(11)/1000))
		case 30:
			b.actions = append(b.actions, fmt.Sprintf("%d forfeit %d", b.clock, id))
		case 40:
			b.actions = append(b.actions, fmt.Sprintf("%d cancel %d", b.clock, id))
		case 50:
			b.wakes = append(b.wakes, due{b.clock + uint64(u32(3)), u32(7)})
		}
	}
}

func (b *bench) due() {
	for {
		i := -1
		for j, w := range b.wakes {
			if w.at <= b.clock && (i < 0 || w.at < b.wakes[i].at) {
				i = j
			}
		}
		if i < 0 {
			return
		}
		var r rec
		r[0] = wire.Due
		r.u32(3, b.wakes[i].ctx)
		b.wakes = slices.Delete(b.wakes, i, i+1)
		b.take(r, nil)
	}
}

// carrier takes down what the dispatcher's door is asked to carry.
type carrier struct {
	now     time.Duration
	actions []string
	flights map[uint64]*dispatch.Attempt
}

func (c *carrier) note(format string, args ...any) {
	c.actions = append(c.actions, fmt.Sprintf("%d ", c.now.Microseconds())+fmt.Sprintf(format, args...))
}

func (c *carrier) Start(f *dispatch.Attempt) {
	c.flights[f.Scheduled.Request.ID] = f
	f.Cancel = func(error) {}
	c.note("send %d to %d for %d", f.Scheduled.Request.ID, f.Scheduled.Backend.ID, f.Timeout.Microseconds())
}
func (c *carrier) Release(*dispatch.Backend, *dispatch.ClientRequest) {}
func (c *carrier) SendPeerUpdate(int, brain.PeerUpdate)               {}
func (c *carrier) SetAddresses(*dispatch.Backend, []addresses.Spec)   {}

// The bench is a regression test of the running dispatcher only as long as both hosts of the module get the same
// decisions out of the same sequence.
func TestBothDoorsActAlike(t *testing.T) {
	d := setup.DefaultDispatcherConfig()
	for i, effect := range []string{"idempotent", "deduplicated", "unrepeatable"} {
		d.Classes = append(d.Classes, setup.Class{Name: effect, Effect: effect, DedupScope: "all", DedupWindow: setup.Duration(2 * time.Second),
			LatencyTarget: setup.Duration(time.Second), Deadline: setup.Duration(4 * time.Second), Value: float64(i + 1), LateValue: 0.2, DefaultMaxTokens: 60})
	}
	d.BackendKinds = []setup.BackendKind{{Name: "reader", Role: "reader", MemoryTokens: 2e5}, {Name: "writer", Role: "writer", MemoryTokens: 1e5}, {Name: "mixed", Role: "mixed", MemoryTokens: 1e5}}
	d.ReportFields = []string{"util", "queue"}
	info, err := json.Marshal(d.SchedulerParameters())
	if err != nil {
		t.Fatal(err)
	}
	const seed = 99
	c := &carrier{flights: map[uint64]*dispatch.Attempt{}}
	loop, err := dispatch.NewLoop(d.SchedulerParameters(), seed, dispatch.Resolver{ZoneNumber: d.ZoneIndex, KindNumber: d.KindIndex}, c,
		func() time.Duration { return c.now }, "d", slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, reply: &wire.Reply{}, sent: map[uint64]uint32{}}
	var begin rec
	begin[0] = wire.Start
	begin.u64(3, seed)
	begin.u32(15, uint32(len(info)))
	b.in = start(event(t, begin, info), 0, b.reply)
	b.collect()

	kinds := []string{"reader", "reader", "reader", "writer", "writer", "writer", "mixed"}
	list := func(standing func(i int) int) {
		var lines []boxlist.Endpoint
		var tail []byte
		for i, kind := range kinds {
			name, rack, s := fmt.Sprintf("%s-%d", kind, i), fmt.Sprintf("rack-%d", i%2), standing(i)
			line := boxlist.Endpoint{Name: name, Addresses: []addresses.Spec{{Network: "tcp4", Addr: "10.0.0.1:1"}}, Kind: kind, Zone: "here", Rack: rack, State: [...]string{"draining", "ready", "gone"}[s], Units: 2, UptimeMs: -1}
			e := make([]byte, 22)
			binary.BigEndian.PutUint32(e, dispatch.BackendID(name))
			binary.BigEndian.PutUint16(e[5:], uint16(d.KindIndex(kind)))
			binary.BigEndian.PutUint16(e[7:], uint16(i%2))
			e[9] = byte(s)
			binary.BigEndian.PutUint32(e[10:], math.Float32bits(2))
			if i == 4 { // one that has just started
				line.Incarnation, line.UptimeMs = 5, 1
				binary.BigEndian.PutUint64(e[14:], b.clock-1000)
			}
			lines, tail = append(lines, line), append(tail, e...)
		}
		var r rec
		r[0], r[11] = wire.Announce, 1
		r.u32(16, uint32(len(lines)))
		b.take(r, tail)
		loop.RunTurn(func() { loop.UpdateBackends(lines, true) })
	}
	tick := func() {
		b.clock += 2000
		c.now += 2 * time.Millisecond
		b.due()
		loop.RunTimers()
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	asked := map[uint64]*dispatch.ClientRequest{}
	codes := map[brain.Outcome]uint16{brain.Served: 200, brain.Prefilled: 210, brain.Failed: 500, brain.Rejected: 503, brain.TimedOut: 504, brain.Unreachable: 502, brain.ConnectionLost: 598}
	end := func(id uint64, f *dispatch.Attempt, o brain.Outcome, note int) {
		took := (c.now - f.Scheduled.SentAt).Microseconds()
		over := o == brain.Served || f.Scheduled.FirstTokenAt > 0
		load := []float64{0.5, 3}
		var r rec
		r[0], r[11] = wire.Resolved, byte(f.Scheduled.Number)
		r.u64(3, id)
		r.u32(12, f.Scheduled.Backend.ID)
		binary.BigEndian.PutUint16(r[16:], codes[o])
		r.u32(18, uint32(took))
		if over || f.Scheduled.Request.Finished {
			r[22] = 1
		}
		r.u32(23, uint32(note))
		r[27] = 2
		r.f32(28, load[0])
		r.f32(32, load[1])
		b.take(r, nil)
		delete(c.flights, id)
		loop.RunTurn(func() { loop.AttemptEnded(f, brain.Result{Outcome: o, Detail: note, LoadReport: load}) })
	}
	tick()
	list(func(int) int { return 1 })
	for step := range 15000 {
		tick()
		if step%15 == 0 {
			id := uint64(len(asked) + 1)
			grade, tokens := rng.IntN(3), 200+rng.IntN(4000)
			session, shared := fmt.Sprint("s", rng.IntN(200)), fmt.Sprint("b", rng.IntN(9))
			a := &dispatch.ClientRequest{Params: kserve.Request{PromptTokens: tokens, PrefixTokens: 100, MaxTokens: 60, Session: session, SharedPrefix: shared}}
			asked[id] = a
			var r rec
			r[0], r[36] = wire.Incoming, byte(grade)
			r.u64(3, id)
			r.u64(11, dispatch.HashName(session))
			r.f32(20, 60)
			r.u64(24, dispatch.HashName(shared))
			r.f32(32, float64(tokens))
			r.u32(41, 3_000_000)
			r.f32(45, 100)
			b.take(r, nil)
			loop.RunTurn(func() { loop.Submit(a, grade, 0, 3*time.Second) })
		}
		if step == 7000 {
			list(func(i int) int { return []int{1, 0, 1, 1, 2, 1, 1}[i] })
		}
		var ids []uint64
		for id := range c.flights {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			f := c.flights[id]
			age := c.now - f.Scheduled.SentAt
			switch p := rng.Float64(); {
			case age >= f.Timeout && f.Scheduled.FirstTokenAt == 0:
				end(id, f, brain.TimedOut, 0)
			case p < 0.001:
				end(id, f, brain.Failed, 0)
			case p < 0.002:
				end(id, f, brain.ConnectionLost, 0)
			case f.Scheduled.FirstTokenAt > 0 && p < 0.05:
				end(id, f, brain.Served, 40)
			case f.Scheduled.FirstTokenAt > 0:
			case p < 0.0021:
				end(id, f, brain.Unreachable, 0)
			case p < 0.003:
				end(id, f, brain.Rejected, 0)
			case p < 0.12 && f.Scheduled.Stage == brain.StagePrefill:
				end(id, f, brain.Prefilled, 100)
			case p < 0.12:
				var r rec
				r[0], r[11] = wire.First, byte(f.Scheduled.Number)
				r.u64(3, id)
				r.u32(12, f.Scheduled.Backend.ID)
				r.u32(16, uint32(age.Microseconds()))
				b.take(r, nil)
				loop.RunTurn(func() { loop.AttemptBegan(f) })
			case p < 0.122 && !f.Scheduled.Request.Finished:
				var r rec
				r[0] = wire.Aborted
				r.u64(3, id)
				b.take(r, nil)
				a := asked[id]
				loop.RunTurn(func() { loop.ClientDisconnected(a) })
			}
		}
	}
	// A final answer lies with its question in the program; on the wire it is an action.
	var sends []string
	finals := map[string]int{}
	for _, a := range b.actions {
		switch {
		case bytes.Contains([]byte(a), []byte("send")):
			sends = append(sends, a)
		case bytes.Contains([]byte(a), []byte("decline")):
			finals[kserve.Rejected]++
		case bytes.Contains([]byte(a), []byte("forfeit")):
			finals[kserve.Failed]++
		}
	}
	if len(sends) < 800 || finals[kserve.Failed] == 0 {
		t.Fatalf("the sequence is too tame: %d sends, finals %v", len(sends), finals)
	}
	for i := range min(len(sends), len(c.actions)) {
		if sends[i] != c.actions[i] {
			t.Fatalf("action %d: bench %q, dispatcher %q", i, sends[i], c.actions[i])
		}
	}
	if len(sends) != len(c.actions) {
		t.Errorf("bench sends %d trips, the dispatcher %d", len(sends), len(c.actions))
	}
	if l := loop.Counters; int(l.Rejected) != finals[kserve.Rejected] || int(l.Failed) < finals[kserve.Failed] {
		t.Errorf("bench declines %d and forfeits %d, the dispatcher %d and %d", finals[kserve.Rejected], finals[kserve.Failed], l.Rejected, l.Failed)
	}
}

// A status that the protocol note does not name proves nothing: least of all an answer.
func TestAnUnknownStatusIsAFailure(t *testing.T) {
	if got := outcomeOf(777); got != brain.Failed {
		t.Errorf("777 is taken for %d", got)
	}
	if got := outcomeOf(200); got != brain.Served {
		t.Errorf("200 is taken for %d", got)
	}
}

// What a frame says in numbers goes into averages and choices for the rest of the day: none of it may be no number.
func FuzzFrames(f *testing.F) {
	d := setup.DefaultDispatcherConfig()
	d.Classes = []setup.Class{{Name: "g", Effect: "idempotent", LatencyTarget: setup.Duration(time.Second), Deadline: setup.Duration(4 * time.Second), Value: 1, DefaultMaxTokens: 60}}
	d.BackendKinds = []setup.BackendKind{{Name: "reader", Role: "reader", MemoryTokens: 2e5}, {Name: "writer", Role: "writer", MemoryTokens: 1e5}}
	d.ReportFields = []string{"util", "queue"}
	info, err := json.Marshal(d.SchedulerParameters())
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
	one, nan, inf, minus := math.Float32bits(1), math.Float32bits(float32(math.NaN())), math.Float32bits(float32(math.Inf(1))), math.Float32bits(-1)
	f.Add([]byte{10, 50, 40, 50}, one, one)
	f.Add([]byte{10, 50, 40, 50}, nan, inf)
	f.Add([]byte{50, 60, 90, 40, 20, 100}, inf, minus)
	f.Fuzz(func(t *testing.T, codes []byte, a, b uint32) {
		reply := &wire.Reply{}
		var begin rec
		begin[0] = wire.Start
		begin.u32(15, uint32(len(info)))
		in := start(event(t, begin, info), 0, reply)
		tail := slices.Concat(entry(1, 0, a), entry(2, 1, b), entry(3, 1, one))
		var r rec
		r[0], r[11] = wire.Announce, 1
		r.u32(16, 3)
		in.take(event(t, r, tail), 0)
		for i, code := range codes[:min(len(codes), 40)] {
			q := rec{}
			q[0] = wire.Incoming
			q.u64(3, uint64(i+1))
			q.u32(20, a)
			q.u32(32, b)
			q.u32(41, 3_000_000)
			in.take(event(t, q, nil), uint64(i)*1000)
			e := rec{}
			e[0] = code
			e.u64(3, uint64(i+1))
			switch code {
			case wire.Resolved:
				e.u32(18, 1000)
				binary.BigEndian.PutUint16(e[16:], 210)
				e.u32(23, a)
				e[27] = 2
				e.u32(28, a)
				e.u32(32, b)
			case wire.First, wire.Aborted, wire.Due:
			default:
				continue
			}
			in.take(event(t, e, nil), uint64(i)*1000+500)
		}
		for _, h := range in.hosts {
			for _, v := range []float64{h.CapacityUnits, h.RelativeCapacity, h.Util, h.QueueLength, h.KVTokens, h.PrefillBacklog, h.TokenLimit, h.CacheInsertedTokens} {
				if math.IsNaN(v) || v < 0 {
					t.Fatalf("host %d holds %v", h.ID, []float64{h.CapacityUnits, h.RelativeCapacity, h.Util, h.QueueLength, h.KVTokens, h.PrefillBacklog, h.TokenLimit, h.CacheInsertedTokens})
				}
			}
		}
	})
}
