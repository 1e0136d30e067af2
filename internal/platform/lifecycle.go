package platform

import "time"

// This file holds the rules on what may be closed, accepted or ended now, for connections and for the process, as the
// scheduler's policy holds them for attempts.

// closeCause is why a client's connection is closed.
type closeCause int

const (
	closedByServer    closeCause = iota // by net/http: after a response that said so, an unreadable request or a deadline
	closedForCapacity                   // another connection needs its descriptor
	closedByShutdown                    // the dispatcher is shutting down
	closedAsSilent                      // the dispatcher is shutting down, and the connection has sent nothing for long
)

// String returns the name of the cause in logs.
func (c closeCause) String() string {
	return [...]string{"server", "room", "stop", "silent at the stop"}[c]
}

// mayClose reports whether a connection that has been in a state for so long may be closed for a cause. Only
// connections of which no byte of a request has been read may be: what was read must be answered.
func mayClose(cause closeCause, state connState, age time.Duration) bool {
	switch cause {
	case closedForCapacity:
		return state == connNew && age > silentEvictAfter || state == connIdle && age > idleEvictAfter
	case closedByShutdown:
		return state == connIdle
	case closedAsSilent:
		return state == connIdle || state == connNew && age >= maxConnSilence
	}
	return unread(state)
}

// unread reports whether no byte of a request has been read in a state.
func unread(state connState) bool { return state == connNew || state == connIdle }

// A dispatcher that starts is given the list that an earlier process had, and does not use its backends: what service
// discovery has counts as known to the dispatcher from its start, and any of them may drain by then.
const (
	// firstListWait is how long after the start requests may wait for the first list, which comes at once unless
	// discovery is down.
	firstListWait = time.Second
	// readyTimeout is when a dispatcher that still has no list is ready all the same: the platform takes one that is not
	// ready 6 s after its start for one that fails to start.
	readyTimeout = 5 * time.Second
)

// mayBeReady reports whether a dispatcher may say that it is ready, given how long it has run without a list of service
// discovery (0: it has one), and whether the list has a backend that can serve.
func mayBeReady(unlisted time.Duration, canServe bool) bool {
	return canServe || unlisted >= readyTimeout
}

// rejection is why a valid request is not accepted. Its text is sent to the client.
type rejection string

const (
	notRejected          rejection = ""
	rejectedAtShutdown   rejection = "stopped"
	rejectedOpenRequests rejection = "questions"
	rejectedBodyBytes    rejection = "bodies"
	rejectedMemory       rejection = "memory"
	rejectedLoopLag      rejection = "event loop"
	rejectedUnlisted     rejection = "endpoints"
)

// maxLoopLag is the event loop's lag up to which a further request is accepted. The request would wait as long before
// it is processed, and so would everything that is due for the others.
const maxLoopLag = 250 * time.Millisecond

// condition is what is known of the dispatcher when a further request has come.
type condition struct {
	stopped       bool // open requests have been ended before SIGKILL
	open, maxOpen int64
	loopLag       time.Duration
	unlisted      time.Duration // for how long it has run without a list of service discovery; 0: it has one
}

// mayAccept reports whether a further request, which open includes, may be accepted, or why not.
func mayAccept(c condition) rejection {
	switch {
	case c.stopped:
		return rejectedAtShutdown
	case c.open > c.maxOpen:
		return rejectedOpenRequests
	case c.loopLag > maxLoopLag:
		return rejectedLoopLag
	case c.unlisted > firstListWait:
		return rejectedUnlisted
	}
	return notRejected
}

// answerMode is how the answer to a request is sent.
type answerMode int

const (
	streamed answerMode = iota // each event as it comes
	buffered                   // nothing before the whole answer has come
)

// answerPlan is how a request is answered.
type answerPlan struct {
	late           bool // it came so late in a shutdown that SIGKILL must not find it open
	mode           answerMode
	attemptsWithin time.Duration // for how long attempts may begin; 0: as long as the scheduler allows
}

// lateRequest is what is known of the end of a request that comes late in a shutdown.
type lateRequest struct {
	timeLeft       time.Duration // until open requests are ended before SIGKILL
	clientTimeLeft time.Duration // until the client's deadline, by which a buffered answer must be whole
	resumable      bool          // a stream that is cut can be continued at another dispatcher
	retryHarmless  bool          // the request may be sent again although it may have run
	longestAnswer  time.Duration // that a recent request of its class had; 0: unknown
}

// mayBegin decides whether a late request may be begun, and how it is answered. Once the open requests have been ended,
// nothing is begun: nothing would end it before SIGKILL. A stream of which a part was sent can be neither rejected nor
// failed, and SIGKILL would lose it. So unless another dispatcher can continue it, the answer is buffered: if it is not
// whole in time, the request is rejected where a retry is harmless, and failed otherwise. Where a retry does harm, it is
// begun only if recent answers would have been whole in time.
func mayBegin(r lateRequest) (answerPlan, rejection) {
	spare := min(r.timeLeft, r.clientTimeLeft) - r.longestAnswer
	switch {
	case r.timeLeft <= 0:
		return answerPlan{}, rejectedAtShutdown
	case r.resumable:
		return answerPlan{late: true, mode: streamed}, notRejected
	case r.retryHarmless:
		return answerPlan{late: true, mode: buffered}, notRejected
	case r.longestAnswer > 0 && spare > 0:
		return answerPlan{late: true, mode: buffered, attemptsWithin: spare}, notRejected
	}
	return answerPlan{}, rejectedAtShutdown
}

// mayExit reports whether a process that is shutting down may exit: each connection has had its response and is closed.
func mayExit(connections int) bool { return connections == 0 }
