package platform

import "time"

// What may be closed, taken or ended now: the one place for connections and the process, as brain/policy.go is for attempts.

// closeCause is why a client's connection is closed.
type closeCause int

const (
	closedByServer closeCause = iota // net/http: behind an answer that said so, an unreadable request, or a deadline
	closedForRoom                    // others wait for its descriptor
	closedByStop                     // the dispatcher stops
	closedAsSilent                   // the dispatcher stops, and nothing came on it for long
)

func (c closeCause) String() string {
	return [...]string{"server", "room", "stop", "silent at the stop"}[c]
}

// mayClose tells whether a connection in that state for so long may be closed for that cause. Only connections of which no byte of a
// request was read are: what was read has to be answered.
func mayClose(cause closeCause, state connState, since time.Duration) bool {
	switch cause {
	case closedForRoom:
		return state == connNew && since > silentFor || state == connIdle && since > idleFor
	case closedByStop:
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
	taken        rejection = ""
	stoppedNow   rejection = "stopped"
	tooManyOpen  rejection = "questions"
	tooMuchBytes rejection = "bodies"
	loopBehind   rejection = "event loop"
)

// behindMost is how far behind the event loop may be for a further request to be taken: it would wait for as long before it is looked at,
// and so would all that is due for the others.
const behindMost = 250 * time.Millisecond

// mayTake tells whether a further request may be taken with so many open, itself among them, and with the event loop so far behind.
func mayTake(over bool, open, most int64, behind time.Duration) rejection {
	switch {
	case over:
		return stoppedNow
	case open > most:
		return tooManyOpen
	case behind > behindMost:
		return loopBehind
	}
	return taken
}

// mayEnd tells whether a process that stops may end: each connection has had its answer and is closed.
func mayExit(connections int) bool { return connections == 0 }
