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

func newDesk(epoch string, seen []Seen, old ...string) *desk {
	d := &desk{now: time.Second}
	d.Tracker = New(epoch, 0, func(r ledger.Record, done func()) {
		d.records = append(d.records, r)
		if done != nil {
			d.done = append(d.done, done)
		}
	}, func() time.Duration { return d.now }, seen, old)
	d.Listed("b", false)
	return d
}

func (d *desk) commit() {
	for _, f := range d.done {
		f()
	}
	d.done = nil
}

func of(n int) ledger.Trip {
	return ledger.Trip{Box: "b", Key: fmt.Sprintf("e/%d", n), Stage: "whole", Grade: "g"}
}

func counted(number uint64, n int) ledger.Trip {
	t := of(n)
	t.Number, t.Read = number, 100
	return t
}

func TestACountThatDidNotComeAlongIsAskedForAndTakenOnce(t *testing.T) {
	d := newDesk("e", nil)
	d.Sent(of(1))
	d.Ended(of(1), nil, false)
	if got := d.Ask(); len(got) != 0 {
		t.Fatalf("asked at once: %v", got)
	}
	d.now += soon
	asks := d.Ask()
	if len(asks) != 1 || asks[0] != (Inquiry{"b", "e", 0}) || len(d.Ask()) != 0 {
		t.Fatalf("%v", asks)
	}
	d.Heard(asks[0], &Reply{Counts: []ledger.Trip{counted(1, 1)}})
	d.Heard(asks[0], &Reply{Counts: []ledger.Trip{counted(1, 1)}})
	late := counted(1, 1)
	d.Ended(of(1), &late, false)
	if len(d.records) != 1 || d.Counts.Twice != 1 || d.Counts.Missing != 0 {
		t.Errorf("%d records, %+v", len(d.records), d.Counts)
	}
	// It is acknowledged only when it is durable.
	d.now += 2 * tellIn
	if asks := d.Ask(); len(asks) != 0 {
		t.Fatalf("%v is asked before the count is durable", asks)
	}
	d.commit()
	if asks := d.Ask(); len(asks) != 1 || asks[0].After != 1 {
		t.Errorf("%v", asks)
	}
}

// Boxes hold counts until they may forget them, and 160 dispatchers must not each tell them so once a second; but one that stops
// leaves nothing behind.
func TestABoxIsToldRarelyAndAtTheEnd(t *testing.T) {
	d := newDesk("e", nil)
	asked := 0
	for i := 1; i <= 600; i++ { // one a tenth of a second
		d.Sent(of(i))
		c := counted(uint64(i), i)
		d.Ended(of(i), &c, false)
		d.commit()
		d.now += 100 * time.Millisecond
		for _, q := range d.Ask() {
			asked++
			d.Heard(q, &Reply{Forgot: q.After})
		}
	}
	if asked < 5 || asked > 8 {
		t.Errorf("asked %d times in a minute", asked)
	}
	d.Finish()
	if d.Whole() {
		t.Error("the box was not told of the last counts")
	}
	d.now += settle
	for _, q := range d.Ask() {
		d.Heard(q, &Reply{Forgot: q.After})
	}
	if !d.Whole() {
		t.Error("the account is not whole")
	}
}

func TestATripThatNeverArrivedCostsNothing(t *testing.T) {
	d := newDesk("e", nil)
	d.Sent(of(1))
	d.Ended(of(1), nil, false)
	for range 10 {
		d.now += time.Second
		for _, q := range d.Ask() {
			d.Heard(q, &Reply{})
		}
	}
	if len(d.records) != 0 || d.Counts.Costless != 1 || !d.Whole() {
		t.Errorf("%v, %+v", d.records, d.Counts)
	}
	// One that is still on its way while the box says that it has nothing is not taken for that.
	d.Sent(of(2))
	for _, q := range d.Ask() {
		d.Heard(q, &Reply{})
	}
	d.Ended(of(2), nil, false)
	d.now += soon
	q := d.Ask()
	d.Heard(q[0], &Reply{})
	if d.Counts.Missing != 1 {
		t.Error("a trip was given up on after one word of its box")
	}
}

func TestABoxThatCanNotBeAskedLeavesAnUnprovenTrip(t *testing.T) {
	d := newDesk("e", nil)
	d.Sent(of(1))
	seen := of(1)
	seen.Answer = 7
	d.Ended(seen, nil, false)
	d.Listed("b", true)
	for range 200 {
		d.now += time.Second
		for _, q := range d.Ask() {
			d.Heard(q, nil)
		}
	}
	if len(d.records) != 1 || d.records[0].Trip.Proven() || d.records[0].Trip.Answer != 7 || d.Counts.Unproven != 1 {
		t.Errorf("%v, %+v", d.records, d.Counts)
	}
}

func TestAnEarlierStartIsAskedForAtEveryBoxAndClosed(t *testing.T) {
	d := newDesk("new", []Seen{{"b", "old", 1}, {"b", "old", 2}}, "old")
	d.Listed("c", false)
	for range 12 {
		d.now += time.Second
		for _, q := range d.Ask() {
			r := &Reply{}
			if q.Epoch == "old" && q.Box == "b" && q.After < 4 {
				r.Counts = []ledger.Trip{counted(2, 2), counted(3, 3), counted(4, 4)} // 2 is known
				r.Forgot = 1
			}
			d.Heard(q, r)
		}
		d.commit()
	}
	trips, closed := 0, 0
	for _, r := range d.records {
		if r.Trip != nil {
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
	d := newDesk("new", []Seen{{"b", "old", 1}}, "old")
	d.now += time.Second
	for _, q := range d.Ask() {
		if q.Epoch == "old" {
			d.Heard(q, &Reply{Forgot: 5})
		}
	}
	if d.Counts.Cut != 4 {
		t.Errorf("%+v", d.Counts)
	}
}

// A box that says it forgot what it was never told to, or numbers that no ledger has, must not keep the loop counting up to
// them, nor make later counts pass for known.
func TestABoxThatForgotMoreThanCanBeIsNotCountedAfter(t *testing.T) {
	d := newDesk("new", []Seen{{"b", "old", 1}, {"b", "old", 7}}, "old")
	for range 2 {
		d.now += 20 * time.Second
		d.Sent(of(1))
		d.Ended(of(1), nil, false)
		d.now += time.Second
		for _, q := range d.Ask() {
			d.Heard(q, &Reply{Forgot: math.MaxUint64})
		}
	}
	own, old := d.place("b", "new"), d.place("b", "old")
	if own.known.UpTo != 0 || old.known.UpTo != math.MaxUint64 || len(old.known.Beyond) > 0 {
		t.Errorf("own start known up to %d, the old one up to %d and %v", own.known.UpTo, old.known.UpTo, old.known.Beyond)
	}
	d.Ended(of(1), &ledger.Trip{Box: "b", Key: of(1).Key, Number: 1}, false)
	if d.Counts.Inline != 1 {
		t.Errorf("%+v: a true count was taken for known", d.Counts)
	}
}

// Any order of inline counts, replies lost and repeated, commits early and late: in the end each count is written once.
func TestEachCountOnceWhateverHappens(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := newDesk("e", nil)
		var at []ledger.Trip // the box's counts, in its order
		forgot := uint64(0)
		reply := func(q Inquiry) *Reply {
			r := &Reply{Forgot: max(forgot, min(q.After, uint64(len(at))))}
			forgot = r.Forgot
			for _, c := range at {
				if c.Number > q.After {
					r.Counts = append(r.Counts, c)
				}
			}
			return r
		}
		n := 60
		for i := 1; i <= n; i++ {
			d.Sent(of(i))
			c := counted(uint64(len(at)+1), i)
			at = append(at, c)
			if rng.Float64() < 0.6 {
				d.Ended(of(i), &c, false)
			} else {
				d.Ended(of(i), nil, false)
			}
			d.now += time.Duration(rng.IntN(700)) * time.Millisecond
			for _, q := range d.Ask() {
				if rng.Float64() < 0.4 {
					d.Heard(q, nil)
					continue
				}
				r := reply(q)
				d.Heard(q, r)
				if rng.Float64() < 0.2 {
					d.Heard(q, r)
				}
			}
			if rng.Float64() < 0.3 {
				d.commit()
			}
		}
		for range 60 {
			d.now += time.Second
			for _, q := range d.Ask() {
				d.Heard(q, reply(q))
			}
			d.commit()
		}
		seen := map[uint64]int{}
		for _, r := range d.records {
			seen[r.Trip.Number]++
		}
		if len(seen) != n || len(d.records) != n || !d.Whole() || d.Counts.Cut != 0 {
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
		what.Box = name
		d.Listed(name, false)
		d.Sent(what)
		d.Ended(what, &ledger.Trip{Box: name, Key: what.Key, Number: 1}, false)
		d.Listed(name, true)
	}
	d.commit()
	d.now += 2 * lost
	d.Ask()
	d.Ask()
	if len(d.order) > 1 || len(d.places) > 1 || len(d.boxes) > 1 {
		t.Errorf("%d places and %d boxes are held", len(d.order), len(d.boxes))
	}
	if !d.Whole() {
		t.Error("the account is not whole")
	}
}
