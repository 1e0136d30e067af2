package brain

import (
	"testing"
	"time"
)

const holdLimit = 500 * time.Millisecond

// waiting makes a dispatcher with a limit on held state, and a request of which a read has just ended and a decode attempt is out. due
// passes the time until its state is due.
func newWaitingKV(t *testing.T) (d *Dispatcher, out *fakeRuntime, q *Request, decode *Attempt, due func()) {
	t.Helper()
	d, out = newDispatcher(t)
	d.parameters.holdLimit = holdLimit
	q = newRequest(d)
	read := addAttempt(q, d.backends[0], 0, out.now)
	read.Ended, read.OnResult = false, d.afterAttempt(q)
	d.AttemptDone(read, Result{Outcome: Prefilled})
	if len(out.sent) != 1 || out.sent[0].Stage != StageDecode {
		t.Fatalf("sent %v", out.sent)
	}
	wake := len(out.timers) - 1
	return d, out, q, out.sent[0], func() {
		if out.timerDelays[wake] != holdLimit {
			t.Fatalf("the state is due after %v", out.timerDelays[wake])
		}
		out.now += holdLimit
		out.timers[wake]()
	}
}

// A request that was written is not one that has arrived: its state is released in time, whether the attempt is out or not.
func TestKVCacheIsReleasedWhenDueDuringAnAttempt(t *testing.T) {
	d, out, q, decode, due := newWaitingKV(t)
	due()
	if len(out.released) != 1 || len(out.cancelled) != 0 {
		t.Fatalf("released %d, cancelled %d", len(out.released), len(out.cancelled))
	}
	if got := d.MaySend(decode); got != KVReleaseDue {
		t.Errorf("an attempt that is still to be sent is %v", got)
	}
	d.FirstToken(decode, time.Second) // it had arrived, and had its state
	if q.KVHolder != nil || q.Released {
		t.Error("the state is still held")
	}
}

// Nothing takes a released state for one that is there: what comes next is a read, whatever the attempt's end says.
func TestReleasedKVCacheIsNotUsedAgain(t *testing.T) {
	for _, outcome := range []Outcome{Rejected, Failed, TimedOut, Unreachable, ConnectionLost, NotSent} {
		d, out, q, decode, due := newWaitingKV(t)
		due()
		d.AttemptDone(decode, Result{Outcome: outcome})
		// The attempt may have waited for the state all the while, and have left it: it is released once more.
		if len(out.released) != 2 {
			t.Errorf("outcome %d: released %d times", outcome, len(out.released))
		}
		if len(out.sent) != 2 || out.sent[1].Stage == StageDecode || q.KVHolder != nil || q.Released {
			t.Errorf("outcome %d: sent %d, state %v", outcome, len(out.sent), q.KVHolder)
		}
	}
}

func TestFetchedKVCacheIsNotReleased(t *testing.T) {
	d, out, _, decode, due := newWaitingKV(t)
	d.FirstToken(decode, 100*time.Millisecond)
	due()
	if len(out.released) != 0 {
		t.Error("it is released")
	}
}

// Only an answer proves that an attempt has come to its backend: with any other end the state has waited all the while.
func TestOnlyProvenArrivalRestartsTheHoldTime(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		again   Stage
	}{
		{Rejected, StageDecode}, {Failed, StageDecode}, {TimedOut, StagePrefill}, {ConnectionLost, StagePrefill}, {Unreachable, StagePrefill}, {NotSent, StagePrefill},
	} {
		d, out, _, decode, _ := newWaitingKV(t)
		out.now += holdLimit * 4 / 5
		d.AttemptDone(decode, Result{Outcome: c.outcome})
		if len(out.sent) != 2 || (out.sent[1].Stage == StageDecode) != (c.again == StageDecode) {
			t.Errorf("outcome %d: sent %+v", c.outcome, out.sent[1:])
		}
	}
}

// Word of a read's end that had to wait takes from the state's time.
func TestHoldTimeCountsFromTheEndOfPrefill(t *testing.T) {
	d, out := newDispatcher(t)
	d.parameters.holdLimit = holdLimit
	q := newRequest(d)
	read := addAttempt(q, d.backends[0], 0, out.now)
	read.Ended, read.OnResult = false, d.afterAttempt(q)
	d.AttemptDone(read, Result{Outcome: Prefilled, Delay: 100 * time.Millisecond})
	if got := out.timerDelays[len(out.timerDelays)-1]; got != holdLimit-100*time.Millisecond {
		t.Errorf("the state is due after %v", got)
	}
}

// A release may be heard once a further attempt is out, and do nothing: it is repeated at the end of each, unless that one has a state
// of its own or has begun to answer.
func TestReleaseIsRepeatedAfterFurtherAttempts(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		stage   Stage
		again   bool
	}{
		{TimedOut, StageWhole, true}, {ConnectionLost, StageWhole, true}, {Failed, StageWhole, true}, {Rejected, StageWhole, true}, {Unreachable, StageWhole, true}, {TimedOut, StagePrefill, true},
		{Prefilled, StagePrefill, false}, {Served, StageWhole, false},
	} {
		d, out, q, decode, _ := newWaitingKV(t)
		out.now += holdLimit
		d.AttemptDone(decode, Result{Outcome: TimedOut}) // the state is released, and the request starts over
		further := out.sent[len(out.sent)-1]
		further.Stage, q.NoMoreAttempts = c.stage, c.outcome != Prefilled
		released := len(out.released)
		if released != 1 || further == decode {
			t.Fatalf("released %d times", released)
		}
		d.AttemptDone(further, Result{Outcome: c.outcome, Finished: c.outcome == Served})
		if got := len(out.released) - released; (got == 1) != c.again || got > 1 {
			t.Errorf("after %v at stage %v it is released %d times more", c.outcome, c.stage, got)
		}
	}
}
