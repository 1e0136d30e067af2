package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/timerqueue"
	"sloetrestle/scheduler"
)

// Attempt is one attempt that has been handed to the transport.
type Attempt struct {
	Scheduled      *scheduler.Attempt // the scheduler's record of it
	Request        *ClientRequest
	Backend        *Backend
	PrefillBackend *Backend        // for a decode attempt, the prefill backend that holds the request's KV cache
	Timeout        time.Duration   // the time it has for its first token
	Deadline       time.Duration   // when Timeout is over, on the loop's clock
	Cancel         func(why error) // cancels it with ErrAttemptTimeout or ErrNotNeeded; set by the transport
	Tokens         chan []byte     // the stream, one piece per token; the transport closes it at the end
	ctx            context.Context

	timedOut       bool              // Timeout is over
	timeoutTimer   *timerqueue.Timer // cancels it when Timeout is over; nil before it is sent
	RequestInvalid bool              // its backend says so; set by the transport before it reports the end

	RequestKey      string              // the request's key at backends
	ResponseStarted atomic.Bool         // a byte of an answer has come: only that shows that the backend has the request
	StreamedTokens  atomic.Int64        // tokens that have come
	Usage           *kserve.UsageRecord // the backend's usage count, if it came with the answer
}

// Stage returns the attempt's stage by its name in messages to backends.
func (a *Attempt) Stage() string {
	return [...]string{
		scheduler.StagePrefill: kserve.PhasePrefill, scheduler.StageDecode: kserve.PhaseDecode,
		scheduler.StageWhole: kserve.PhaseCombined,
	}[a.Scheduled.Stage]
}

// AttemptBegan handles the first token of an attempt.
func (l *Loop) AttemptBegan(attempt *Attempt) {
	if attempt.timedOut || attempt.Scheduled.Ended || attempt.Scheduled.FirstTokenAt > 0 {
		return // its timeout came first, so it ends as timed out
	}
	l.timers.Cancel(attempt.timeoutTimer)
	request := attempt.Request
	request.streaming = attempt
	clear(request.kvHolders)
	if request.disconnected || request.answered {
		attempt.Cancel(ErrNotNeeded) // nobody reads the stream
	} else {
		request.started <- attempt
	}
	l.scheduler.FirstToken(attempt.Scheduled, l.now-attempt.Scheduled.SentAt)
	l.Counters.began(attempt.Scheduled)
}

// AttemptEnded handles the end of an attempt.
func (l *Loop) AttemptEnded(attempt *Attempt, result scheduler.Result) {
	scheduled, request := attempt.Scheduled, attempt.Request
	if scheduled.Ended {
		return
	}
	l.timers.Cancel(attempt.timeoutTimer)
	request.inFlight = nil
	if attempt.Backend.inFlight--; attempt.Backend.inFlight == 0 &&
		l.backends[attempt.Backend.Name] != attempt.Backend {
		defer delete(l.byState, scheduled.Backend)
	}
	if result.Outcome == scheduler.Served && scheduled.FirstTokenAt == 0 {
		result.Outcome = scheduler.TimedOut // its first token came too late for the client, and the rest with it
	}
	l.accountEnded(attempt, result)
	result.Duration = l.now - scheduled.SentAt
	l.Counters.ended(scheduled, result)
	l.Log.Debug("attempt ended", "id", request.Params.ID, "box", attempt.Backend.Name, "stage", attempt.Stage(),
		"number", scheduled.Number, "outcome", result.Outcome, "took", result.Duration, "wait", attempt.Timeout,
		"prompt", scheduled.Request.PromptTokens, "left", scheduled.PrefillTokens, "kept", result.Detail)
	switch {
	case result.Outcome == scheduler.Prefilled:
		request.kvHolders[attempt.Backend] = true
	case scheduled.Stage == scheduler.StagePrefill && result.Outcome != scheduler.Unreachable &&
		result.Outcome != scheduler.NotSent && result.Outcome != scheduler.Rejected:
		// The prefill may have finished at the backend just as it was given up here: its KV cache must not stay.
		l.releaseAt(attempt.Backend, request)
	case result.Outcome == scheduler.Rejected && result.Detail == 1 && attempt.PrefillBackend != nil:
		// The prefill backend said that it has no KV cache to transfer; it may hold it all the same.
		l.releaseAt(attempt.PrefillBackend, request)
		delete(request.kvHolders, attempt.PrefillBackend)
	}
	if attempt.RequestInvalid {
		l.answer(request, kserve.FinalResponse{Outcome: kserve.Failed, Error: "no box can use it"})
	}
	result.Finished = request.answered || request.disconnected || result.Outcome == scheduler.Served ||
		scheduled.FirstTokenAt > 0
	if result.Outcome == scheduler.Served {
		l.answer(request, kserve.FinalResponse{Outcome: kserve.Served})
	} else if scheduled.FirstTokenAt > 0 && !request.disconnected {
		l.answerBrokenStream(request)
	}
	if l.RetryThrottle != nil && !result.Finished && wastesWork(result.Outcome) && !l.RetryThrottle.AllowReattempt(l.now) {
		request.Scheduled.NoMoreAttempts = true
	}
	l.scheduler.AttemptDone(scheduled, result)
	l.forgetIfOver(request)
}

// answerBrokenStream answers a request whose stream broke.
func (l *Loop) answerBrokenStream(request *ClientRequest) {
	const reason = "the stream broke at its box"
	if request.Buffered {
		l.giveUp(request, reason)
		return
	}
	l.answer(request, kserve.FinalResponse{Outcome: kserve.Failed, Error: reason})
}

// wastesWork tells whether an attempt with that outcome may have cost its backend work for nothing.
func wastesWork(outcome scheduler.Outcome) bool {
	return outcome == scheduler.Failed || outcome == scheduler.TimedOut || outcome == scheduler.ConnectionLost
}

// MaySend tells whether an attempt may still be sent when its connection is ready. While it waited for the connection,
// its backend may have begun to drain, its request may have ended, or it may have become too late for a repeat.
func (l *Loop) MaySend(attempt *Attempt) scheduler.Permission {
	switch {
	case attempt.timedOut:
		return scheduler.DeadlinePassed
	case attempt.Request.disconnected, attempt.Request.answered, attempt.Request.Over():
		return scheduler.RequestFinished
	}
	if limit := attempt.Request.AttemptWithin; limit > 0 && l.now-attempt.Request.submittedAt > limit {
		attempt.Scheduled.Request.NoMoreAttempts = true
		return scheduler.NoFurtherAttempt
	}
	return l.scheduler.MaySend(attempt.Scheduled)
}

// CancelAttempts cancels all attempts in flight, whose clients have disconnected or have their answers, and returns
// their number.
func (l *Loop) CancelAttempts() (canceled int) {
	for _, request := range l.requests {
		if request.inFlight != nil {
			request.inFlight.Cancel(ErrNotNeeded)
			canceled++
		}
	}
	return canceled
}
