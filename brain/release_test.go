package brain

import (
	"testing"
	"time"
)

const holdLimit = 500 * time.Millisecond

// newWaitingKV returns a dispatcher with a hold limit, and a request whose prefill has just ended and whose
// decode attempt is in flight. due lets the time pass until the KV cache is due.
func waiting(t *testing.T) (d *Dispatcher, out *door, q *Request, decode *Attempt, due func()) {
	t.Helper()
	d, out = begin(t)
	d.parameters.holdLimit = holdLimit
	q = ask(d)
	read := went(q, d.backends[0], 0, out.now)
	read.Ended, read.Next = false, d.onward(q)
	d.Ended(read, Result{Outcome: Read})
	if len(out.sent) != 1 || out.sent[0].Stage != ToWrite {
		t.Fatalf("sent %v", out.sent)
	}
	wake := len(out.wakes) - 1
	return d, out, q, out.sent[0], func() {
		if out.delays[wake] != holdLimit {
			t.Fatalf("the state is due after %v", out.delays[wake])
		}
		out.now += holdLimit
		out.wakes[wake]()
	}
}

// A request that was written has not necessarily arrived: its KV cache is released when due, attempt in flight
// or not.
func TestAStateIsReleasedAtItsTimeBesideAnAttempt(t *testing.T) {
	d, out, q, decode, due := waiting(t)
	due()
	if len(out.released) != 1 || len(out.cancelled) != 0 {
		t.Fatalf("released %d, cancelled %d", len(out.released), len(out.cancelled))
	}
	if got := d.MaySend(decode); got != StateDue {
		t.Errorf("an attempt that is still to be sent is %v", got)
	}
	d.Began(decode, time.Second) // it had arrived and fetched its KV cache
	if q.State != nil || q.Released {
		t.Error("the state is still held")
	}
}

// A released KV cache is never assumed to exist: the next attempt prefills, whatever the outcome of the last
// one.
func TestAReleasedStateIsNotUsedAgain(t *testing.T) {
	for _, outcome := range []Outcome{Rejected, Failed, TimedOut, Unreachable, Broken, NotSent} {
		d, out, q, decode, due := waiting(t)
		due()
		d.Ended(decode, Result{Outcome: outcome})
		// The attempt may have waited for the KV cache all the time and left it in place: it is released once
		// more.
		if len(out.released) != 2 {
			t.Errorf("outcome %d: released %d times", outcome, len(out.released))
		}
		if len(out.sent) != 2 || out.sent[1].Stage == ToWrite || q.State != nil || q.Released {
			t.Errorf("outcome %d: sent %d, state %v", outcome, len(out.sent), q.State)
		}
	}
}

func TestAStateThatIsTakenInTimeIsNotReleased(t *testing.T) {
	d, out, _, decode, due := waiting(t)
	d.Began(decode, 100*time.Millisecond)
	due()
	if len(out.released) != 0 {
		t.Error("it is released")
	}
}

// Only an answer proves that an attempt arrived: with any other outcome the KV cache has been waiting all the
// time.
func TestAnEndThatProvesNoArrivalGivesAStateNoFurtherTime(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		again   Stage
	}{
		{Rejected, ToWrite}, {Failed, ToWrite}, {TimedOut, ToRead}, {Broken, ToRead}, {Unreachable, ToRead}, {NotSent, ToRead},
	} {
		d, out, _, decode, _ := waiting(t)
		out.now += holdLimit * 4 / 5
		d.Ended(decode, Result{Outcome: c.outcome})
		if len(out.sent) != 2 || (out.sent[1].Stage == ToWrite) != (c.again == ToWrite) {
			t.Errorf("outcome %d: sent %+v", c.outcome, out.sent[1:])
		}
	}
}

// If the end of a prefill is reported late, the delay counts towards the hold limit.
func TestAReadsEndCountsFromWhenItCame(t *testing.T) {
	d, out := begin(t)
	d.parameters.holdLimit = holdLimit
	q := ask(d)
	read := went(q, d.backends[0], 0, out.now)
	read.Ended, read.Next = false, d.onward(q)
	d.Ended(read, Result{Outcome: Read, Ago: 100 * time.Millisecond})
	if got := out.delays[len(out.delays)-1]; got != holdLimit-100*time.Millisecond {
		t.Errorf("the state is due after %v", got)
	}
}

// A release may be received while a further attempt is in flight, and do nothing. It is repeated at the end of
// each further attempt, unless that one has a KV cache of its own or has begun to answer.
func TestAReleaseIsRepeatedBehindFurtherAttempts(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		stage   Stage
		again   bool
	}{
		{TimedOut, Whole, true}, {Broken, Whole, true}, {Failed, Whole, true}, {Rejected, Whole, true}, {Unreachable, Whole, true}, {TimedOut, ToRead, true},
		{Read, ToRead, false}, {Served, Whole, false},
	} {
		d, out, q, decode, _ := waiting(t)
		out.now += holdLimit
		d.Ended(decode, Result{Outcome: TimedOut}) // the KV cache is released, and the request starts over
		further := out.sent[len(out.sent)-1]
		further.Stage, q.Last = c.stage, c.outcome != Read
		released := len(out.released)
		if released != 1 || further == decode {
			t.Fatalf("released %d times", released)
		}
		d.Ended(further, Result{Outcome: c.outcome, Over: c.outcome == Served})
		if got := len(out.released) - released; (got == 1) != c.again || got > 1 {
			t.Errorf("after %v at stage %v it is released %d times more", c.outcome, c.stage, got)
		}
	}
}
