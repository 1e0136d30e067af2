package main

import (
	"encoding/json"
	"fmt"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/news"
	"sloetrestle/internal/wire"
)

// instance is one dispatcher: the module and the ids by which the wire knows what the module holds.
type instance struct {
	who       uint16
	clock     uint64
	began     uint64
	reply     *wire.Reply
	module    *brain.Dispatcher
	hosts     map[uint32]*brain.Backend
	questions map[uint64]*brain.Request
	wakes     map[uint32]func()
	lastWake  uint32
}

// outcomes gives the module's word for each status code of the wire.
var outcomes = map[uint16]brain.Outcome{
	200: brain.Served,
	210: brain.Prefilled,
	410: brain.NotSent,
	499: brain.Cancelled,
	500: brain.Failed,
	502: brain.Unreachable,
	503: brain.Rejected,
	504: brain.TimedOut,
	598: brain.ConnectionLost,
}

// outcomeOf is the module's word for a status; one that is unknown proves nothing.
func outcomeOf(status uint16) brain.Outcome {
	if o, known := outcomes[status]; known {
		return o
	}
	return brain.Failed
}

func start(e wire.Event, clock uint64, reply *wire.Reply) *instance {
	in := &instance{
		who: e.Who(), clock: clock, began: clock, reply: reply,
		hosts: map[uint32]*brain.Backend{}, questions: map[uint64]*brain.Request{}, wakes: map[uint32]func(){},
	}
	var info map[string]any
	if err := json.Unmarshal(e.Span(11), &info); err != nil {
		reply.BailOut(in.who, "bootInfo: "+err.Error())
		return nil
	}
	module, err := brain.New(brain.FlattenSettings(info), e.U64(3), in)
	if err != nil {
		reply.BailOut(in.who, "bootInfo: "+err.Error())
		return nil
	}
	in.module = module
	return in
}

// figure is a number off the wire that can only be from 0 up: what is none is taken for nought.
func figure(v float64) float64 {
	if !(v >= 0) {
		return 0
	}
	return min(v, 1e9)
}

func micros(us uint32) time.Duration { return time.Duration(us) * time.Microsecond }

func (in *instance) take(e wire.Event, clock uint64) {
	in.clock = clock
	switch e.Code() {
	case wire.Announce:
		if e.U8(11) == 3 {
			in.module.DiscoveryFailed()
			return
		}
		in.module.UpdateEndpoints(in.listings(e.Entries()), e.U8(11) != 0)
	case wire.Incoming:
		q := &brain.Request{
			ID: e.U64(3), SessionKey: e.U64(11), PrefixKey: e.U64(24), PromptTokens: figure(e.F32(32)), PrefixTokens: figure(e.F32(45)), MaxOutputTokens: figure(e.F32(20)),
			ClientRetry: e.U8(19)&2 != 0, Timeout: micros(e.U32(41)),
		}
		in.questions[q.ID] = q
		in.module.Submit(q, int(e.U8(36)), int(e.U16(49)))
	case wire.First:
		if t := in.trip(e); t != nil {
			in.module.FirstToken(t, micros(e.U32(16)))
		}
	case wire.Resolved:
		if t := in.trip(e); t != nil && !t.Ended {
			load := e.Load(27)
			for i, v := range load {
				load[i] = figure(v)
			}
			in.module.AttemptDone(t, brain.Result{
				Outcome: outcomeOf(e.U16(16)), Duration: micros(e.U32(18)), Finished: e.U8(22) != 0,
				Detail: int(e.U32(23)), LoadReport: load,
			})
			in.forget(t.Request)
		}
	case wire.Aborted:
		if q := in.questions[e.U64(3)]; q != nil {
			in.module.ClientDisconnected(q)
			in.forget(q)
		}
	case wire.Datagram:
		if n, err := news.Decode(e.Span(7), in.hosts); err != nil {
			in.LogInfo(fmt.Sprintf("message of %d dropped: %v", e.U32(3), err))
		} else if n.Backend != nil {
			in.module.PeerUpdated(n)
		}
	case wire.Due:
		if do := in.wakes[e.U32(3)]; do != nil {
			delete(in.wakes, e.U32(3))
			do()
		}
	}
}

func (in *instance) trip(e wire.Event) *brain.Attempt {
	q := in.questions[e.U64(3)]
	if q == nil || int(e.U8(11)) >= len(q.Attempts) {
		return nil
	}
	return q.Attempts[e.U8(11)]
}

func (in *instance) forget(q *brain.Request) {
	if q.Finished && q.InFlight() == nil {
		delete(in.questions, q.ID)
	}
}

func (in *instance) listings(entries []wire.Entry) []brain.Endpoint {
	lines := make([]brain.Endpoint, len(entries))
	for i, e := range entries {
		h := in.hosts[e.Host]
		if h == nil {
			h = &brain.Backend{ID: e.Host, Zone: int(e.Zone), Rack: int(e.Rack), Kind: int(e.Machine)}
			in.hosts[e.Host] = h
		}
		lines[i] = brain.Endpoint{
			Backend: h, State: brain.BackendState(e.Readiness), CapacityUnits: figure(e.Units), StartReported: e.BootUs != 0,
			StartedAt: time.Duration(int64(e.BootUs)-int64(in.began)) * time.Microsecond,
		}
	}
	return lines
}

func (in *instance) Now() time.Duration { return time.Duration(in.clock-in.began) * time.Microsecond }

func (in *instance) Send(t *brain.Attempt, wait time.Duration) {
	in.reply.PassOn(in.who, t.Request.ID, t.Backend.ID, uint32(max(wait.Microseconds(), 0)))
}

func (in *instance) Cancel(t *brain.Attempt) { in.reply.Retract(in.who, t.Request.ID, uint8(t.Number)) }

func (in *instance) Release(q *brain.Request) { in.reply.Discard(in.who, q.ID) }

func (in *instance) Reject(q *brain.Request, after time.Duration) {
	in.reply.TurnAway(in.who, q.ID, uint32(after.Microseconds()))
	in.forget(q)
}

func (in *instance) Fail(q *brain.Request) {
	in.reply.Lose(in.who, q.ID)
	in.forget(q)
}

func (in *instance) Schedule(after time.Duration, do func()) {
	in.lastWake++
	in.wakes[in.lastWake] = do
	in.reply.WakeAt(in.who, uint32(after.Microseconds()), in.lastWake)
}

func (in *instance) WatchEndpoints(on bool) { in.reply.Tail(in.who, on) }

func (in *instance) SendPeerUpdate(peer int, n brain.PeerUpdate) {
	in.reply.Post(in.who, uint32(peer), news.Encode(n))
}

func (in *instance) LogInfo(text string) { in.reply.NoteDown(in.who, text) }
