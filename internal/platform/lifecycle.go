package platform

import "time"

// What may be closed, taken or ended now: the one place for connections and the process, as brain/policy.go is for attempts.

// closeCause is why a client's connection is closed.
type closeCause int

const (
	closedByServer    closeCause = iota // net/http: behind an answer that said so, an unreadable request, or a deadline
	closedForCapacity                   // others wait for its descriptor
	closedByShutdown                    // the dispatcher stops
	closedAsSilent                      // the dispatcher stops, and nothing came on it for long
)

func (c closeCause) String() string {
	return [...]string{"server", "room", "stop", "silent at the stop"}[c]
}

// mayClose tells whether a connection in that state for so long may be closed for that cause. Only connections of which no byte of a
// request was read are: what was read has to be answered.
func mayClose(cause closeCause, state connState, since time.Duration) bool {
	switch cause {
	case closedForCapacity:
		return state == connNew && since > silentEvictAfter || state == connIdle && since > idleEvictAfter
	case closedByShutdown:
		return state == connIdle
	case closedAsSilent:
		return state == connIdle || state == connNew && since >= maxConnSilence
	}
	return unread(state)
}

// unread tells whether nothing of a request was read in that state.
func unread(state connState) bool { return state == connNew || state == connIdle }

// rejection is why a request is not taken, though it is one.
type rejection string

const (
	notRejected          rejection = ""
	rejectedAtShutdown   rejection = "stopped"
	rejectedOpenRequests rejection = "questions"
	rejectedBodyBytes    rejection = "bodies"
	rejectedLoopLag      rejection = "event loop"
)

// behindMost is how far behind the event loop may be for a further request to be taken: it would wait for as long before it is looked at,
// and so would all that is due for the others.
const maxLoopLag = 250 * time.Millisecond

// mayTake tells whether a further request may be taken with so many open, itself among them, and with the event loop so far behind.
func mayAccept(over bool, open, most int64, behind time.Duration) rejection {
	switch {
	case over:
		return rejectedAtShutdown
	case open > most:
		return rejectedOpenRequests
	case behind > maxLoopLag:
		return rejectedLoopLag
	}
	return notRejected
}

// mayEnd tells whether a process that stops may end: each connection has had its answer and is closed.
func mayExit(connections int) bool { return connections == 0 }
