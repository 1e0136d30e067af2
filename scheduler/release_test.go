package scheduler

import (
	"testing"
	"time"
)

const holdLimit = 500 * time.Millisecond

// newWaitingKV returns a dispatcher with a hold limit, and a request whose prefill has just ended and whose
// decode attempt is in flight. due lets the time pass until the KV cache is due.
func newWaitingKV(t *testing.T) (dispatcher *Dispatcher, runtime *fakeRuntime, req *Request, decode *Attempt,
	due func()) {
	t.Helper()
	dispatcher, runtime = newDispatcher(t)
	dispatcher.parameters.holdLimit = holdLimit
	req = newRequest(dispatcher)
	prefill := addAttempt(req, dispatcher.backends[0], 0, runtime.now)
	prefill.Ended, prefill.OnResult = false, dispatcher.afterAttempt(req)
	dispatcher.AttemptDone(prefill, Result{Outcome: Prefilled})
	if len(runtime.sent) != 1 || runtime.sent[0].Stage != StageDecode {
		t.Fatalf("sent %v", runtime.sent)
	}
	wake := len(runtime.timers) - 1
	return dispatcher, runtime, req, runtime.sent[0], func() {
		if runtime.timerDelays[wake] != holdLimit {
			t.Fatalf("the KV cache is due after %v", runtime.timerDelays[wake])
		}
		runtime.now += holdLimit
		runtime.timers[wake]()
	}
}

// A request that was written has not necessarily arrived: its KV cache is released when due, attempt in flight
// or not.
func TestKVCacheIsReleasedWhenDueDuringAnAttempt(t *testing.T) {
	d, runtime, req, decode, due := newWaitingKV(t)
	due()
	if len(runtime.released) != 1 || len(runtime.cancelled) != 0 {
		t.Fatalf("released %d, cancelled %d", len(runtime.released), len(runtime.cancelled))
	}
	if got := d.MaySend(decode); got != KVReleaseDue {
		t.Errorf("before the first byte the attempt is %v", got)
	}
	d.FirstToken(decode, time.Second) // it had arrived and fetched its KV cache
	if req.KVHolder != nil || req.Released {
		t.Error("the KV cache is still recorded as held")
	}
}

// A released KV cache is never assumed to exist: the next attempt prefills, whatever the outcome of the last
// one.
func TestReleasedKVCacheIsNotUsedAgain(t *testing.T) {
	for _, outcome := range []Outcome{Rejected, Failed, TimedOut, Unreachable, ConnectionLost, NotSent} {
		d, runtime, req, decode, due := newWaitingKV(t)
		due()
		d.AttemptDone(decode, Result{Outcome: outcome})
		// The attempt may have waited for the KV cache all the time and left it in place: it is released once
		// more.
		if len(runtime.released) != 2 {
			t.Errorf("outcome %d: released %d times", outcome, len(runtime.released))
		}
		if len(runtime.sent) != 2 || runtime.sent[1].Stage == StageDecode || req.KVHolder != nil || req.Released {
			t.Errorf("outcome %d: sent %d, KV holder %v", outcome, len(runtime.sent), req.KVHolder)
		}
	}
}

func TestFetchedKVCacheIsNotReleased(t *testing.T) {
	d, runtime, _, decode, due := newWaitingKV(t)
	d.FirstToken(decode, 100*time.Millisecond)
	due()
	if len(runtime.released) != 0 {
		t.Error("the KV cache is released")
	}
}

// Only an answer proves that an attempt arrived: with any other outcome the KV cache has been waiting all the
// time.
func TestOnlyProvenArrivalRestartsTheHoldTime(t *testing.T) {
	for _, tc := range []struct {
		outcome Outcome
		again   Stage
	}{
		{Rejected, StageDecode}, {Failed, StageDecode}, {TimedOut, StagePrefill}, {ConnectionLost, StagePrefill},
		{Unreachable, StagePrefill}, {NotSent, StagePrefill},
	} {
		d, runtime, _, decode, _ := newWaitingKV(t)
		runtime.now += holdLimit * 4 / 5
		d.AttemptDone(decode, Result{Outcome: tc.outcome})
		if len(runtime.sent) != 2 || (runtime.sent[1].Stage == StageDecode) != (tc.again == StageDecode) {
			t.Errorf("outcome %d: sent %+v", tc.outcome, runtime.sent[1:])
		}
	}
}

// If the end of a prefill is reported late, the delay counts towards the hold limit.
func TestHoldTimeCountsFromTheEndOfPrefill(t *testing.T) {
	d, runtime := newDispatcher(t)
	d.parameters.holdLimit = holdLimit
	req := newRequest(d)
	prefill := addAttempt(req, d.backends[0], 0, runtime.now)
	prefill.Ended, prefill.OnResult = false, d.afterAttempt(req)
	d.AttemptDone(prefill, Result{Outcome: Prefilled, Delay: 100 * time.Millisecond})
	if got := runtime.timerDelays[len(runtime.timerDelays)-1]; got != holdLimit-100*time.Millisecond {
		t.Errorf("the KV cache is due after %v", got)
	}
}

// A release may be received while a further attempt is in flight, and do nothing. It is repeated at the end of
// each further attempt, unless that one has a KV cache of its own or has begun to answer.
func TestReleaseIsRepeatedAfterFurtherAttempts(t *testing.T) {
	for _, tc := range []struct {
		outcome Outcome
		stage   Stage
		again   bool
	}{
		{TimedOut, StageWhole, true}, {ConnectionLost, StageWhole, true}, {Failed, StageWhole, true},
		{Rejected, StageWhole, true}, {Unreachable, StageWhole, true}, {TimedOut, StagePrefill, true},
		{Prefilled, StagePrefill, false}, {Served, StageWhole, false},
	} {
		d, runtime, req, decode, _ := newWaitingKV(t)
		runtime.now += holdLimit
		d.AttemptDone(decode, Result{Outcome: TimedOut}) // the KV cache is released, and the request starts over
		further := runtime.sent[len(runtime.sent)-1]
		further.Stage, req.NoMoreAttempts = tc.stage, tc.outcome != Prefilled
		released := len(runtime.released)
		if released != 1 || further == decode {
			t.Fatalf("released %d times, wanted once", released)
		}
		d.AttemptDone(further, Result{Outcome: tc.outcome, Finished: tc.outcome == Served})
		if got := len(runtime.released) - released; (got == 1) != tc.again || got > 1 {
			t.Errorf("after outcome %v at stage %v it is released %d more times", tc.outcome, tc.stage, got)
		}
	}
}
