package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/kserve"
)

// Attempt is one attempt on its way.
type Attempt struct {
	Scheduled      *brain.Attempt
	Request        *ClientRequest
	Backend        *Backend
	PrefillBackend *Backend // where the read state waits, for a write
	Timeout        time.Duration
	Deadline       time.Duration   // when the wait is over, on the loop's clock
	Cancel         func(why error) // calls it off: ErrLate or ErrLeft; set by the carrier
	Tokens         chan []byte     // the stream, piece by piece; the carrier closes it at its end
	ctx            context.Context
	late           bool // its wait is over
	RequestInvalid bool // its backend says that the request itself is none; set before its end is told

	RequestKey      string              // of its request, at backends
	ResponseStarted atomic.Bool         // a byte of an answer has come: only that shows that the request had
	StreamedTokens  atomic.Int64        // tokens that have come
	Usage           *kserve.UsageRecord // what its backend counted, if that came along
}

// Stage is the attempt's stage in the words of the wire.
func (f *Attempt) Stage() string {
	return [...]string{brain.StagePrefill: kserve.PhasePrefill, brain.StageDecode: kserve.PhaseDecode, brain.StageWhole: kserve.PhaseCombined}[f.Scheduled.Stage]
}

// Began takes word of an attempt's first token.
func (l *Loop) AttemptBegan(f *Attempt) {
	if f.late || f.Scheduled.Ended || f.Scheduled.FirstTokenAt > 0 {
		return // its time was up first: the attempt ends as timed out
	}
	a := f.Request
	a.stream = f
	clear(a.waiting)
	if a.left || a.answered {
		f.Cancel(ErrNotNeeded) // a stream that nobody reads ends
	} else {
		a.began <- f
	}
	l.module.FirstToken(f.Scheduled, l.now-f.Scheduled.SentAt)
	l.Counters.began(f.Scheduled)
	l.forget(a)
}

// Ended takes the end of an attempt.
func (l *Loop) AttemptEnded(f *Attempt, r brain.Result) {
	t, a := f.Scheduled, f.Request
	if t.Ended {
		return
	}
	a.flight = nil
	if f.Backend.out--; f.Backend.out == 0 && l.backends[f.Backend.Name] != f.Backend {
		defer delete(l.byHost, t.Backend)
	}
	if r.Outcome == brain.Served && t.FirstTokenAt == 0 {
		r.Outcome = brain.TimedOut // its first token came too late to be shown, and the rest with it
	}
	l.accountEnded(f, r)
	r.Duration = l.now - t.SentAt
	l.Counters.ended(t, r)
	l.Log.Debug("trip over", "id", a.Params.ID, "box", f.Backend.Name, "stage", f.Stage(), "number", t.Number, "outcome", r.Outcome, "took", r.Duration, "wait", f.Timeout,
		"prompt", t.Request.PromptTokens, "left", t.PrefillTokens, "kept", r.Detail)
	switch {
	case r.Outcome == brain.Prefilled:
		a.waiting[f.Backend] = true
	case t.Stage == brain.StagePrefill && r.Outcome != brain.Unreachable && r.Outcome != brain.NotSent && r.Outcome != brain.Rejected:
		// The read may have ended at the backend just as it was given up on here: its state must not stay there.
		l.release(f.Backend, a)
	case r.Outcome == brain.Rejected && r.Detail == 1 && f.PrefillBackend != nil:
		// The prefill backend could not give the state just now; it may hold it all the same.
		l.release(f.PrefillBackend, a)
		delete(a.waiting, f.PrefillBackend)
	}
	if f.RequestInvalid {
		l.answer(a, kserve.FinalResponse{Outcome: kserve.Failed, Error: "no box can use it"})
	}
	r.Finished = a.answered || a.left || r.Outcome == brain.Served || t.FirstTokenAt > 0
	if r.Outcome == brain.Served {
		l.answer(a, kserve.FinalResponse{Outcome: kserve.Served})
	} else if t.FirstTokenAt > 0 && !a.left {
		l.answer(a, kserve.FinalResponse{Outcome: kserve.Failed, Error: "the stream broke at its box"})
	}
	if l.RetryThrottle != nil && !r.Finished && cost(r.Outcome) && !l.RetryThrottle.AllowReattempt(l.now) {
		a.Scheduled.NoMoreAttempts = true
	}
	l.module.AttemptDone(t, r)
	l.forget(a)
}

// cost tells whether an attempt that ended so may have cost its backend work for nothing.
func cost(o brain.Outcome) bool {
	return o == brain.Failed || o == brain.TimedOut || o == brain.ConnectionLost
}

// MaySend tells, when a connection for an attempt is there, whether the attempt may still go out: while it was waited for, the backend may
// have been told to drain, the request may have ended, and a repeat may have come too late.
func (l *Loop) MaySend(f *Attempt) brain.Permission {
	switch {
	case f.late:
		return brain.DeadlinePassed
	case f.Request.left, f.Request.answered, f.Request.Over():
		return brain.RequestFinished
	}
	return l.module.MaySend(f.Scheduled)
}

// CallOff ends all attempts that are out, and tells how many are: their clients have gone or have their answers.
func (l *Loop) CancelAttempts() (out int) {
	for _, a := range l.requests {
		if a.flight != nil {
			a.flight.Cancel(ErrNotNeeded)
			out++
		}
	}
	return out
}
