package brain

import "time"

// Held state (rule 5): how long a state may wait for its decode attempt, and when it is released.
//
// A request that was written is not one that has arrived: a connection may come up and fall silent, and whatever stands between
// acknowledges for a backend that hangs. Only an answer proves arrival. So a state is due at its time whether an attempt is out or
// not. Beside an attempt that has arrived a release does nothing, as that attempt waits for the state; one that arrives behind its
// release finds no state and has not run. Whether the state is there afterwards nobody knows, so it is never used again.

const (
	// holdForChoice is the part of the time in which a further backend may be chosen for a state that waits.
	holdForChoice = 2.0 / 3
	// holdForConnection is the part that an attempt's connection may take: a request is written before its state is due.
	holdForConnection = 1.0 / 5
)

// mayHold tells whether a state may go on waiting for a backend to be chosen.
func (d *Dispatcher) mayHoldKV(q *Request) Permission {
	limit := d.parameters.holdLimit
	if q.Released || limit > 0 && d.runtime.Now()-q.KVWaitingSince > fraction(limit, holdForChoice) {
		return KVReleaseDue
	}
	return Allowed
}

// connectTime is how long the connection of an attempt that takes a state may take; 0: as long as any.
func (d *Dispatcher) connectTimeout() time.Duration {
	return fraction(d.parameters.holdLimit, holdForConnection)
}

// part is a share of a span.
func fraction(whole time.Duration, share float64) time.Duration {
	return time.Duration(float64(whole) * share)
}

// releaseWhenDue has the state of an attempt that is being sent released at its time, unless the attempt has its first token by then.
func (d *Dispatcher) scheduleRelease(t *Attempt) {
	limit := d.parameters.holdLimit
	if t.Stage != StageDecode || limit <= 0 {
		return
	}
	q := t.Request
	d.runtime.Schedule(q.KVWaitingSince+limit-d.runtime.Now(), func() {
		if t.Ended || t.FirstTokenAt > 0 || q.KVHolder == nil || q.Released {
			return
		}
		q.Released = true
		d.runtime.Release(q)
	})
}

// letGo releases a state that waits for the request. Every end of a step comes through here. What was released beside an attempt is
// released once more behind it: the attempt may have arrived, and have left the state where it was.
func (d *Dispatcher) releaseKV(q *Request) {
	if q.KVHolder == nil || q.InFlight() != nil {
		return
	}
	q.KVHolder, q.Released, q.ReleaseUnconfirmed = nil, false, true
	d.runtime.Release(q)
}

// releaseAgain releases once more, at the end of an attempt, what was released before that attempt was sent: by the time that a release
// is heard a further attempt may be out, and a backend that holds a state for it keeps it.
func (d *Dispatcher) repeatRelease(q *Request) {
	if q.ReleaseUnconfirmed && q.KVHolder == nil && q.InFlight() == nil {
		d.runtime.Release(q)
	}
}

// arrived tells whether the outcome proves that the attempt came to its backend. A connection that broke, or a time that was up, does
// not: the state has waited all the while.
func (o Outcome) provesArrival() bool {
	switch o {
	case Served, Prefilled, Failed, Rejected:
		return true
	}
	return false
}
