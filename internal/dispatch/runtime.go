package dispatch

import (
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/timerqueue"
	"sloetrestle/scheduler"
)

// The methods in this file implement the scheduler's Runtime: how the scheduler acts. Only the scheduler and the loop
// itself call them, in the loop's goroutine.

// Now returns the time of the present turn.
func (l *Loop) Now() time.Duration { return l.now }

// Send sends an attempt and times it out if it has no first token after the wait.
func (l *Loop) Send(scheduled *scheduler.Attempt, wait time.Duration) {
	request := l.requests[scheduled.Request]
	attempt := &Attempt{
		Scheduled: scheduled, Request: request, Backend: l.byState[scheduled.Backend], Timeout: wait,
		Deadline: l.now + wait, Tokens: make(chan []byte, tokenBuffer), RequestKey: l.RequestKey(request),
	}
	if scheduled.Stage == scheduler.StageDecode {
		attempt.PrefillBackend = l.byState[scheduled.Request.KVHolder]
	}
	request.inFlight = attempt
	attempt.Backend.inFlight++
	l.Counters.Attempts++
	if l.RetryThrottle != nil {
		l.RetryThrottle.AttemptSent(l.now,
			scheduled.Number > 0 && wastesWork(scheduled.Request.Attempts[scheduled.Number-1].Outcome))
	}
	// The timer is cancelled at the attempt's first token and at its end.
	attempt.timeoutTimer = l.startTimer(wait, func() {
		attempt.timedOut = true
		attempt.Cancel(ErrAttemptTimeout)
	})
	l.accountSent(attempt)
	l.transport.Start(attempt)
}

// tokenBuffer is how many tokens are buffered for a client that reads slowly; beyond that its backend has to wait.
const tokenBuffer = 64

// Cancel cancels an attempt if it is still in flight.
func (l *Loop) Cancel(scheduled *scheduler.Attempt) {
	if attempt := l.requests[scheduled.Request].inFlight; attempt != nil && attempt.Scheduled == scheduled {
		attempt.Cancel(ErrNotNeeded)
	}
}

// Release has every backend that may hold a request's KV cache release it. A backend may keep it for an attempt that
// is in flight when the release arrives; the scheduler then asks for another release at that attempt's end.
func (l *Loop) Release(scheduled *scheduler.Request) {
	request := l.requests[scheduled]
	for backend := range request.kvHolders {
		l.releaseAt(backend, request)
	}
}

// Reject rejects a request, with advice when to retry. Retry throttling replaces the scheduler's advice by a slot of
// its own schedule, and issues a retry ticket for it.
func (l *Loop) Reject(scheduled *scheduler.Request, after time.Duration) {
	ticket := ""
	if l.RetryThrottle != nil && after > 0 {
		after, ticket = l.RetryThrottle.BookRetry(l.now)
	}
	l.answer(l.requests[scheduled], kserve.FinalResponse{
		RetryTicket: ticket, Outcome: kserve.Rejected, Error: "not taken on: too much is asked just now", SafeToRetry: true,
		RetryAfterMs: after.Milliseconds(),
	})
}

// Fail fails a request whose attempts may have run.
func (l *Loop) Fail(scheduled *scheduler.Request) {
	l.answer(l.requests[scheduled], kserve.FinalResponse{Outcome: kserve.Failed, Error: "given up on; it may have run"})
}

// Schedule calls a function in the loop after some time, at the earliest after the present turn.
func (l *Loop) Schedule(after time.Duration, callback func()) { l.startTimer(after, callback) }

// startTimer is Schedule with the timer, by which it can be cancelled.
func (l *Loop) startTimer(after time.Duration, callback func()) *timerqueue.Timer {
	return l.timers.Schedule(l.now+max(after, 0), callback)
}

// WatchEndpoints does nothing: service discovery pushes its list to the loop.
func (l *Loop) WatchEndpoints(bool) {}

// SendPeerUpdate sends an update to a peer.
func (l *Loop) SendPeerUpdate(peer int, update scheduler.PeerUpdate) {
	l.transport.SendPeerUpdate(peer, update)
}

// LogInfo logs a text of the scheduler.
func (l *Loop) LogInfo(text string) { l.Log.Info(text) }
