package scheduler

import "time"

// KV cache release (rule 5): how long a KV cache may wait for its decode attempt, and when it is released.
//
// That a request was written does not show that it arrived: a connection may open and then stall, and proxies
// or the kernel acknowledge for a backend that hangs. Only an answer proves arrival. So a KV cache is released
// when it is due, whether an attempt is in flight or not. If the attempt has arrived, the release does
// nothing, as that attempt waits for the KV cache; an attempt that arrives after the release finds no KV cache
// and has not run. Whether the KV cache still exists is unknown afterwards, so it is never used again.

const (
	// holdForChoice is the share of the hold limit during which another backend may be chosen for the KV cache.
	holdForChoice = 2.0 / 3
	// holdForConnection is the share that an attempt's connection may take, so that the request is written
	// before the KV cache is due.
	holdForConnection = 1.0 / 5
)

// mayHoldKV returns whether a KV cache may go on waiting for a backend to be chosen.
func (d *Dispatcher) mayHoldKV(req *Request) Permission {
	limit := d.parameters.holdLimit
	if req.Released || limit > 0 && d.runtime.Now()-req.KVWaitingSince > fraction(limit, holdForChoice) {
		return KVReleaseDue
	}
	return Allowed
}

// connectTimeout is the connection timeout of an attempt that fetches a KV cache; 0: the usual one.
func (d *Dispatcher) connectTimeout() time.Duration {
	return fraction(d.parameters.holdLimit, holdForConnection)
}

// fraction returns a share of a duration.
func fraction(whole time.Duration, share float64) time.Duration {
	return time.Duration(float64(whole) * share)
}

// scheduleRelease schedules the release of an attempt's KV cache for when it is due, unless the attempt has
// its first token by then.
func (d *Dispatcher) scheduleRelease(attempt *Attempt) {
	limit := d.parameters.holdLimit
	if attempt.Stage != StageDecode || limit <= 0 {
		return
	}
	req := attempt.Request
	d.runtime.Schedule(req.KVWaitingSince+limit-d.runtime.Now(), func() {
		if attempt.Ended || attempt.FirstTokenAt > 0 || req.KVHolder == nil || req.Released {
			return
		}
		req.Released = true
		d.runtime.Release(req)
	})
}

// releaseKV releases the KV cache that waits for the request. Every step that ends calls it. What was released
// during an attempt is released again after it: the attempt may have arrived and left the KV cache in place.
func (d *Dispatcher) releaseKV(req *Request) {
	if req.KVHolder == nil || req.InFlight() != nil {
		return
	}
	req.KVHolder, req.Released, req.ReleaseUnconfirmed = nil, false, true
	d.runtime.Release(req)
}

// repeatRelease repeats an earlier release at the end of a further attempt: when the first one was received
// that attempt may have been in flight, and a backend keeps the KV cache of a request that it is serving.
func (d *Dispatcher) repeatRelease(req *Request) {
	if req.ReleaseUnconfirmed && req.KVHolder == nil && req.InFlight() == nil {
		d.runtime.Release(req)
	}
}

// provesArrival reports whether the outcome proves that the attempt reached its backend. A lost connection or
// a timeout does not: the KV cache may have been waiting all the time.
func (o Outcome) provesArrival() bool {
	switch o {
	case Served, Prefilled, Failed, Rejected:
		return true
	}
	return false
}
