package main

import (
	"encoding/json"
	"fmt"
	"time"

	"sloetrestle/internal/peerproto"
	"sloetrestle/internal/wire"
	"sloetrestle/scheduler"
)

// instance is one simulated dispatcher: its scheduler, and the backends, requests and timers by the identifiers that
// the simulator gives them.
type instance struct {
	number    uint16
	clockUs   uint64 // of the current batch
	startedUs uint64
	reply     *wire.Reply
	scheduler *scheduler.Dispatcher
	backends  map[uint32]*scheduler.Backend
	requests  map[uint64]*scheduler.Request
	timers    map[uint32]func()
	lastTimer uint32
}

// outcomes maps the status codes of the simulator's protocol to outcomes of attempts.
var outcomes = map[uint16]scheduler.Outcome{
	200: scheduler.Served,
	210: scheduler.Prefilled,
	410: scheduler.NotSent,
	499: scheduler.Cancelled,
	500: scheduler.Failed,
	502: scheduler.Unreachable,
	503: scheduler.Rejected,
	504: scheduler.TimedOut,
	598: scheduler.ConnectionLost,
}

// outcomeOf returns the outcome for a status code. An unknown code counts as a failure, since it proves nothing.
func outcomeOf(status uint16) scheduler.Outcome {
	if outcome, known := outcomes[status]; known {
		return outcome
	}
	return scheduler.Failed
}

// newInstance starts a dispatcher. If the parameters are wrong it reports the error to the simulator and returns nil.
func newInstance(e wire.Event, clockUs uint64, reply *wire.Reply) *instance {
	in := &instance{
		number: e.Instance(), clockUs: clockUs, startedUs: clockUs, reply: reply,
		backends: map[uint32]*scheduler.Backend{}, requests: map[uint64]*scheduler.Request{}, timers: map[uint32]func(){},
	}
	var info map[string]any
	if err := json.Unmarshal(e.Span(11), &info); err != nil {
		reply.Abort(in.number, "bootInfo: "+err.Error())
		return nil
	}
	scheduler, err := scheduler.New(scheduler.FlattenSettings(info), e.U64(3), in)
	if err != nil {
		reply.Abort(in.number, "bootInfo: "+err.Error())
		return nil
	}
	in.scheduler = scheduler
	return in
}

// nonNegative returns a number from the simulator within 0 and 1e9. A NaN counts as 0: the scheduler's averages would
// never recover from it.
func nonNegative(v float64) float64 {
	if !(v >= 0) {
		return 0
	}
	return min(v, 1e9)
}

func micros(us uint32) time.Duration { return time.Duration(us) * time.Microsecond }

// handle passes one event to the scheduler. Events about unknown requests, attempts and timers are ignored.
func (in *instance) handle(event wire.Event, clockUs uint64) {
	in.clockUs = clockUs
	switch event.Code() {
	case wire.EventEndpoints:
		if event.U8(11) == 3 {
			in.scheduler.DiscoveryFailed()
			return
		}
		in.scheduler.UpdateEndpoints(in.listings(event.Entries()), event.U8(11) != 0)
	case wire.EventRequest:
		request := &scheduler.Request{
			ID: event.U64(3), SessionKey: event.U64(11), PrefixKey: event.U64(24),
			PromptTokens: nonNegative(event.F32(32)), PrefixTokens: nonNegative(event.F32(45)),
			MaxOutputTokens: nonNegative(event.F32(20)),
			ClientRetry:     event.U8(19)&2 != 0, Timeout: micros(event.U32(41)),
		}
		in.requests[request.ID] = request
		in.scheduler.Submit(request, int(event.U8(36)), int(event.U16(49)))
	case wire.EventFirstByte:
		if attempt := in.attempt(event); attempt != nil {
			in.scheduler.FirstToken(attempt, micros(event.U32(16)))
		}
	case wire.EventOutcome:
		if attempt := in.attempt(event); attempt != nil && !attempt.Ended {
			load := event.Load(27)
			for i, v := range load {
				load[i] = nonNegative(v)
			}
			in.scheduler.AttemptDone(attempt, scheduler.Result{
				Outcome: outcomeOf(event.U16(16)), Duration: micros(event.U32(18)), Finished: event.U8(22) != 0,
				Detail: int(event.U32(23)), LoadReport: load,
			})
			in.forgetEnded(attempt.Request)
		}
	case wire.EventClientGone:
		if request := in.requests[event.U64(3)]; request != nil {
			in.scheduler.ClientDisconnected(request)
			in.forgetEnded(request)
		}
	case wire.EventPeerMessage:
		if update, err := peerproto.Decode(event.Span(7), in.backends); err != nil {
			in.LogInfo(fmt.Sprintf("message of %d dropped: %v", event.U32(3), err))
		} else if update.Backend != nil {
			in.scheduler.PeerUpdated(update)
		}
	case wire.EventTimer:
		if callback := in.timers[event.U32(3)]; callback != nil {
			delete(in.timers, event.U32(3))
			callback()
		}
	}
}

// attempt returns the attempt that an event is about, or nil if it is unknown.
func (in *instance) attempt(e wire.Event) *scheduler.Attempt {
	request := in.requests[e.U64(3)]
	if request == nil || int(e.U8(11)) >= len(request.Attempts) {
		return nil
	}
	return request.Attempts[e.U8(11)]
}

// forgetEnded drops a request that is over and has no attempt in flight.
func (in *instance) forgetEnded(request *scheduler.Request) {
	if request.Finished && request.InFlight() == nil {
		delete(in.requests, request.ID)
	}
}

// listings converts entries of the endpoint list; a backend keeps its identity from one list to the next.
func (in *instance) listings(entries []wire.Entry) []scheduler.Endpoint {
	listings := make([]scheduler.Endpoint, len(entries))
	for i, e := range entries {
		backend := in.backends[e.Backend]
		if backend == nil {
			backend = &scheduler.Backend{ID: e.Backend, Zone: int(e.Zone), Rack: int(e.Rack), Kind: int(e.Kind)}
			in.backends[e.Backend] = backend
		}
		listings[i] = scheduler.Endpoint{
			Backend: backend, State: scheduler.BackendState(e.State), CapacityUnits: nonNegative(e.Units),
			StartReported: e.BootUs != 0,
			StartedAt:     time.Duration(int64(e.BootUs)-int64(in.startedUs)) * time.Microsecond,
		}
	}
	return listings
}

// Now returns the time since the instance started.
func (in *instance) Now() time.Duration {
	return time.Duration(in.clockUs-in.startedUs) * time.Microsecond
}

// Send sends an attempt to its backend; a negative wait is sent as 0.
func (in *instance) Send(attempt *scheduler.Attempt, wait time.Duration) {
	in.reply.Send(in.number, attempt.Request.ID, attempt.Backend.ID, uint32(max(wait.Microseconds(), 0)))
}

// Cancel cancels an attempt.
func (in *instance) Cancel(attempt *scheduler.Attempt) {
	in.reply.Cancel(in.number, attempt.Request.ID, uint8(attempt.Number))
}

// Release lets the prefill backend release the request's KV cache.
func (in *instance) Release(request *scheduler.Request) { in.reply.Release(in.number, request.ID) }

// Reject tells the client to retry later.
func (in *instance) Reject(request *scheduler.Request, after time.Duration) {
	in.reply.Reject(in.number, request.ID, uint32(after.Microseconds()))
	in.forgetEnded(request)
}

// Fail ends a request without a response.
func (in *instance) Fail(request *scheduler.Request) {
	in.reply.Fail(in.number, request.ID)
	in.forgetEnded(request)
}

// Schedule calls a function after a time.
func (in *instance) Schedule(after time.Duration, callback func()) {
	in.lastTimer++
	in.timers[in.lastTimer] = callback
	in.reply.SetTimer(in.number, uint32(after.Microseconds()), in.lastTimer)
}

// WatchEndpoints subscribes to pushed endpoint lists or ends the subscription.
func (in *instance) WatchEndpoints(on bool) { in.reply.Watch(in.number, on) }

// SendPeerUpdate sends an update to a peer.
func (in *instance) SendPeerUpdate(peer int, update scheduler.PeerUpdate) {
	in.reply.SendPeer(in.number, uint32(peer), peerproto.Encode(update))
}

// LogInfo writes a line to the simulator's log.
func (in *instance) LogInfo(text string) { in.reply.Log(in.number, text) }
