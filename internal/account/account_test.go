package account

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"sloetrestle/internal/ledger"
)

// desk is a tracker with a clock that the test moves; what is written is durable when the test says so.
type desk struct {
	now     time.Duration
	records []ledger.Record
	done    []func()
	*Tracker
}

func newDesk(epoch string, seen []RecordedCount, old ...string) *desk {
	d := &desk{now: time.Second}
	d.Tracker = New(epoch, 0, func(r ledger.Record, done func()) {
		d.records = append(d.records, r)
		if done != nil {
			d.done = append(d.done, done)
		}
	}, func() time.Duration { return d.now }, seen, old)
	d.UpdateBackend("b", false)
	return d
}

func (d *desk) commit() {
	for _, f := range d.done {
		f()
	}
	d.done = nil
}

func of(n int) ledger.Attempt {
	return ledger.Attempt{Backend: "b", Key: fmt.Sprintf("e/%d", n), Phase: "whole", Class: "g"}
}

func counted(number uint64, n int) ledger.Attempt {
	t := of(n)
	t.Number, t.PrefillTokens = number, 100
	return t
}

func TestACountThatDidNotComeAlongIsAskedForAndTakenOnce(t *testing.T) {
	d := newDesk("e", nil)
	d.AttemptSent(of(1))
	d.AttemptEnded(of(1), nil, false)
	if got := d.DueInquiries(); len(got) != 0 {
		t.Fatalf("asked at once: %v", got)
	}
	d.now += soon
	asks := d.DueInquiries()
	if len(asks) != 1 || asks[0] != (Inquiry{"b", "e", 0}) || len(d.DueInquiries()) != 0 {
		t.Fatalf("%v", asks)
	}
	d.HandleReply(asks[0], &Reply{Counts: []ledger.Attempt{counted(1, 1)}})
	d.HandleReply(asks[0], &Reply{Counts: []ledger.Attempt{counted(1, 1)}})
	late := counted(1, 1)
	d.AttemptEnded(of(1), &late, false)
	if len(d.records) != 1 || d.Counts.Twice != 1 || d.Counts.Missing != 0 {
		t.Errorf("%d records, %+v", len(d.records), d.Counts)
	}
	// It is acknowledged only when it is durable.
	d.now += 2 * tellIn
	if asks := d.DueInquiries(); len(asks) != 0 {
		t.Fatalf("%v is asked before the count is durable", asks)
	}
	d.commit()
	if asks := d.DueInquiries(); len(asks) != 1 || asks[0].After != 1 {
		t.Errorf("%v", asks)
	}
}

// Boxes hold counts until they may forget them, and 160 dispatchers must not each tell them so once a second; but one that stops
// leaves nothing behind.
func TestABoxIsToldRarelyAndAtTheEnd(t *testing.T) {
	d := newDesk("e", nil)
	asked := 0
	for i := 1; i <= 600; i++ { // one a tenth of a second
		d.AttemptSent(of(i))
		c := counted(uint64(i), i)
		d.AttemptEnded(of(i), &c, false)
		d.commit()
		d.now += 100 * time.Millisecond
		for _, q := range d.DueInquiries() {
			asked++
			d.HandleReply(q, &Reply{ForgottenUpTo: q.After})
		}
	}
	if asked < 5 || asked > 8 {
		t.Errorf("asked %d times in a minute", asked)
	}
	d.Finish()
	if d.Complete() {
		t.Error("the box was not told of the last counts")
	}
	d.now += settle
	for _, q := range d.DueInquiries() {
		d.HandleReply(q, &Reply{ForgottenUpTo: q.After})
	}
	if !d.Complete() {
		t.Error("the account is not whole")
	}
}

func TestATripThatNeverArrivedCostsNothing(t *testing.T) {
	d := newDesk("e", nil)
	d.AttemptSent(of(1))
	d.AttemptEnded(of(1), nil, false)
	for range 10 {
		d.now += time.Second
		for _, q := range d.DueInquiries() {
			d.HandleReply(q, &Reply{})
		}
	}
	if len(d.records) != 0 || d.Counts.Costless != 1 || !d.Complete() {
		t.Errorf("%v, %+v", d.records, d.Counts)
	}
	// One that is still on its way while the box says that it has nothing is not taken for that.
	d.AttemptSent(of(2))
	for _, q := range d.DueInquiries() {
		d.HandleReply(q, &Reply{})
	}
	d.AttemptEnded(of(2), nil, false)
	d.now += soon
	q := d.DueInquiries()
	d.HandleReply(q[0], &Reply{})
	if d.Counts.Missing != 1 {
		t.Error("a trip was given up on after one word of its box")
	}
}

func TestABoxThatCanNotBeAskedLeavesAnUnprovenTrip(t *testing.T) {
	d := newDesk("e", nil)
	d.AttemptSent(of(1))
	seen := of(1)
	seen.OutputTokens = 7
	d.AttemptEnded(seen, nil, false)
	d.UpdateBackend("b", true)
	for range 200 {
		d.now += time.Second
		for _, q := range d.DueInquiries() {
			d.HandleReply(q, nil)
		}
	}
	if len(d.records) != 1 || d.records[0].Attempt.Confirmed() || d.records[0].Attempt.OutputTokens != 7 || d.Counts.Unproven != 1 {
		t.Errorf("%v, %+v", d.records, d.Counts)
	}
}

func TestAnEarlierStartIsAskedForAtEveryBoxAndClosed(t *testing.T) {
	d := newDesk("new", []RecordedCount{{"b", "old", 1}, {"b", "old", 2}}, "old")
	d.UpdateBackend("c", false)
	for range 12 {
		d.now += time.Second
		for _, q := range d.DueInquiries() {
			r := &Reply{}
			if q.Epoch == "old" && q.Backend == "b" && q.After < 4 {
				r.Counts = []ledger.Attempt{counted(2, 2), counted(3, 3), counted(4, 4)} // 2 is known
				r.ForgottenUpTo = 1
			}
			d.HandleReply(q, r)
		}
		d.commit()
	}
	trips, closed := 0, 0
	for _, r := range d.records {
		if r.Attempt != nil {
			trips++
		}
		if r.Epoch != nil && r.Epoch.Closed && r.Epoch.Name == "old" {
			closed++
		}
	}
	if trips != 2 || closed != 1 || d.Counts.OldEpochs != 0 || d.Counts.Cut != 0 {
		t.Errorf("%d trips, %d closed, %+v", trips, closed, d.Counts)
	}
}

// A box that was told to forget more than the ledger has shows that the ledger's end was cut off.
func TestACutLedgerShows(t *testing.T) {
	d := newDesk("new", []RecordedCount{{"b", "old", 1}}, "old")
	d.now += time.Second
	for _, q := range d.DueInquiries() {
		if q.Epoch == "old" {
			d.HandleReply(q, &Reply{ForgottenUpTo: 5})
		}
	}
	if d.Counts.Cut != 4 {
		t.Errorf("%+v", d.Counts)
	}
}

// A box that says it forgot what it was never told to, or numbers that no ledger has, must not keep the loop counting up to
// them, nor make later counts pass for known.
func TestABoxThatForgotMoreThanCanBeIsNotCountedAfter(t *testing.T) {
	d := newDesk("new", []RecordedCount{{"b", "old", 1}, {"b", "old", 7}}, "old")
	for range 2 {
		d.now += 20 * time.Second
		d.AttemptSent(of(1))
		d.AttemptEnded(of(1), nil, false)
		d.now += time.Second
		for _, q := range d.DueInquiries() {
			d.HandleReply(q, &Reply{ForgottenUpTo: math.MaxUint64})
		}
	}
	own, old := d.place("b", "new"), d.place("b", "old")
	if own.known.UpTo != 0 || old.known.UpTo != math.MaxUint64 || len(old.known.Beyond) > 0 {
		t.Errorf("own start known up to %d, the old one up to %d and %v", own.known.UpTo, old.known.UpTo, old.known.Beyond)
	}
	d.AttemptEnded(of(1), &ledger.Attempt{Backend: "b", Key: of(1).Key, Number: 1}, false)
	if d.Counts.Inline != 1 {
		t.Errorf("%+v: a true count was taken for known", d.Counts)
	}
}

// Any order of inline counts, replies lost and repeated, commits early and late: in the end each count is written once.
func TestEachCountOnceWhateverHappens(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := newDesk("e", nil)
		var at []ledger.Attempt // the box's counts, in its order
		forgot := uint64(0)
		reply := func(q Inquiry) *Reply {
			r := &Reply{ForgottenUpTo: max(forgot, min(q.After, uint64(len(at))))}
			forgot = r.ForgottenUpTo
			for _, c := range at {
				if c.Number > q.After {
					r.Counts = append(r.Counts, c)
				}
			}
			return r
		}
		n := 60
		for i := 1; i <= n; i++ {
			d.AttemptSent(of(i))
			c := counted(uint64(len(at)+1), i)
			at = append(at, c)
			if rng.Float64() < 0.6 {
				d.AttemptEnded(of(i), &c, false)
			} else {
				d.AttemptEnded(of(i), nil, false)
			}
			d.now += time.Duration(rng.IntN(700)) * time.Millisecond
			for _, q := range d.DueInquiries() {
				if rng.Float64() < 0.4 {
					d.HandleReply(q, nil)
					continue
				}
				r := reply(q)
				d.HandleReply(q, r)
				if rng.Float64() < 0.2 {
					d.HandleReply(q, r)
				}
			}
			if rng.Float64() < 0.3 {
				d.commit()
			}
		}
		for range 60 {
			d.now += time.Second
			for _, q := range d.DueInquiries() {
				d.HandleReply(q, reply(q))
			}
			d.commit()
		}
		seen := map[uint64]int{}
		for _, r := range d.records {
			seen[r.Attempt.Number]++
		}
		if len(seen) != n || len(d.records) != n || !d.Complete() || d.Counts.Cut != 0 {
			t.Fatalf("seed %d: %d numbers in %d records of %d, %+v", seed, len(seen), len(d.records), n, d.Counts)
		}
	}
}

// Boxes come and go under new names for as long as a dispatcher runs: one that left the list a minute ago, and whose counts are
// all on the disk, is not looked at for ever.
func TestABoxThatIsGoneAndAccountedForIsForgotten(t *testing.T) {
	d := newDesk("e", nil)
	for i := range 50 {
		name := fmt.Sprint("pod-", i)
		what := of(i)
		what.Backend = name
		d.UpdateBackend(name, false)
		d.AttemptSent(what)
		d.AttemptEnded(what, &ledger.Attempt{Backend: name, Key: what.Key, Number: 1}, false)
		d.UpdateBackend(name, true)
	}
	d.commit()
	d.now += 2 * lost
	d.DueInquiries()
	d.DueInquiries()
	if len(d.order) > 1 || len(d.places) > 1 || len(d.boxes) > 1 {
		t.Errorf("%d places and %d boxes are held", len(d.order), len(d.boxes))
	}
	if !d.Complete() {
		t.Error("the account is not whole")
	}
}
