package dispatch

import (
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/kserve"
)

// The loop as the module's runtime: how the module acts.

// Now, Send and the rest are the module's door.
func (l *Loop) Now() time.Duration { return l.now }

func (l *Loop) Send(t *brain.Attempt, wait time.Duration) {
	a := l.requests[t.Request]
	f := &Attempt{Scheduled: t, Request: a, Backend: l.byHost[t.Backend], Timeout: wait, Deadline: l.now + wait, Tokens: make(chan []byte, tokenRoom), RequestKey: l.RequestKey(a)}
	if t.Stage == brain.StageDecode {
		f.PrefillBackend = l.byHost[t.Request.KVHolder]
	}
	a.flight = f
	f.Backend.out++
	l.Counters.Attempts++
	if l.RetryThrottle != nil {
		l.RetryThrottle.AttemptSent(l.now, t.Number > 0 && cost(t.Request.Attempts[t.Number-1].Outcome))
	}
	l.Schedule(wait, func() {
		if !t.Ended && t.FirstTokenAt == 0 {
			f.late = true
			f.Cancel(ErrAttemptTimeout)
		}
	})
	l.accountSent(f)
	l.carrier.Start(f)
}

// tokenRoom is how many pieces of an answer wait for a client that reads slowly; then its backend has to wait.
const tokenRoom = 64

func (l *Loop) Cancel(t *brain.Attempt) {
	if f := l.requests[t.Request].flight; f != nil && f.Scheduled == t {
		f.Cancel(ErrNotNeeded)
	}
}

// Release has what may wait for a request released. It may go on waiting, for an attempt that is out by the time that a release is heard;
// the module then asks for a further one at that attempt's end.
func (l *Loop) Release(q *brain.Request) {
	a := l.requests[q]
	for b := range a.waiting {
		l.release(b, a)
	}
}

func (l *Loop) Reject(q *brain.Request, after time.Duration) {
	ticket := ""
	if l.RetryThrottle != nil && after > 0 {
		after, ticket = l.RetryThrottle.BookRetry(l.now)
	}
	l.answer(l.requests[q], kserve.FinalResponse{RetryTicket: ticket, Outcome: kserve.Rejected, Error: "not taken on: too much is asked just now", SafeToRetry: true, RetryAfterMs: after.Milliseconds()})
}

func (l *Loop) Fail(q *brain.Request) {
	l.answer(l.requests[q], kserve.FinalResponse{Outcome: kserve.Failed, Error: "given up on; it may have run"})
}

func (l *Loop) Schedule(after time.Duration, do func()) {
	l.wakes.Schedule(l.now+max(after, 0), do)
}

func (l *Loop) WatchEndpoints(bool) {} // this list pushes unasked

func (l *Loop) SendPeerUpdate(peer int, n brain.PeerUpdate) { l.carrier.SendPeerUpdate(peer, n) }

func (l *Loop) LogInfo(text string) { l.Log.Info(text) }
