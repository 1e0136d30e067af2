package brain

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestGateBarsWhatTheRulesBar(t *testing.T) {
	for _, c := range []struct {
		name  string
		set   func(d *Dispatcher, q *Request, h *Backend)
		bars  bool
		reach Reach
	}{
		{name: "nothing against it", set: func(*Dispatcher, *Request, *Backend) {}},
		{name: "answered", bars: true, set: func(_ *Dispatcher, q *Request, _ *Backend) { q.Over = true }},
		{name: "a trip is out", bars: true, set: func(_ *Dispatcher, q *Request, h *Backend) {
			went(q, h, Rejected, 0).Ended = false
		}},
		{name: "expired", bars: true, set: func(d *Dispatcher, q *Request, _ *Backend) { q.Deadline = d.runtime.Now() }},
		{name: "trips used up", bars: true, set: func(_ *Dispatcher, q *Request, h *Backend) {
			for range 4 {
				went(q, h, Rejected, 0)
			}
		}},
		{name: "draining", bars: true, set: func(_ *Dispatcher, _ *Request, h *Backend) { h.Standing = Draining }},
		{name: "gone", bars: true, set: func(_ *Dispatcher, _ *Request, h *Backend) { h.Standing = Gone }},
		{name: "unrepeatable, may have run", bars: true, set: func(_ *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect = Unrepeatable
			went(q, h, TimedOut, 0)
		}},
		{name: "unrepeatable, proven not run", set: func(_ *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect = Unrepeatable
			went(q, h, Rejected, 0)
		}},
		{name: "unrepeatable, lost at a reader", set: func(d *Dispatcher, q *Request, _ *Backend) {
			q.Class.Effect = Unrepeatable
			went(q, d.backends[0], Broken, 0)
		}},
		{name: "deduplicated, past its window", bars: true, set: func(d *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect, q.Class.Window = Deduplicated, time.Second
			went(q, h, TimedOut, d.runtime.Now()-time.Second)
		}},
		{name: "deduplicated, in its window", set: func(d *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect, q.Class.Window = Deduplicated, time.Second
			went(q, h, TimedOut, d.runtime.Now()-time.Second/2)
		}},
		{name: "deduplicated, other rack", bars: true, reach: SameRack, set: func(d *Dispatcher, q *Request, _ *Backend) {
			q.Class.Effect, q.Class.Window = Deduplicated, time.Minute
			went(q, d.backends[3], TimedOut, d.runtime.Now())
		}},
		{name: "deduplicated, other zone", bars: true, reach: SameZone, set: func(d *Dispatcher, q *Request, _ *Backend) {
			q.Class.Effect, q.Class.Window = Deduplicated, time.Minute
			d.backends[3].Zone = 1
			went(q, d.backends[3], TimedOut, d.runtime.Now())
		}},
		{name: "cold and at its budget", bars: true, set: func(d *Dispatcher, _ *Request, h *Backend) {
			h.Restart, h.Booted = true, d.runtime.Now()-time.Second
			d.backends[3].Carried.Add(d.runtime.Now(), 50000)
			h.Sent.Add(d.runtime.Now(), 12000)
		}},
		{name: "cold with budget left", set: func(d *Dispatcher, _ *Request, h *Backend) {
			h.Restart, h.Booted = true, d.runtime.Now()-time.Second
			d.backends[3].Carried.Add(d.runtime.Now(), 50000)
			h.Sent.Add(d.runtime.Now(), 100)
		}},
		{name: "cold while warm hosts are pushed hard", bars: true, set: func(d *Dispatcher, _ *Request, h *Backend) {
			h.Restart, h.Booted = true, d.runtime.Now()-time.Second
			d.backends[3].Sent.Add(d.runtime.Now(), 50000)
			h.Sent.Add(d.runtime.Now(), 100)
		}},
	} {
		d, _ := begin(t)
		q := ask(d)
		q.Class.Reach = c.reach
		c.set(d, q, d.backends[2])
		if got := d.barred(q, d.backends[2]); got != c.bars {
			t.Errorf("%s: barred is %v", c.name, got)
		}
	}
}

func TestGiveUpDeclinesOnlyWhereTryingAgainIsHarmless(t *testing.T) {
	for _, c := range []struct {
		name    string
		effect  Effect
		reach   Reach
		outcome Outcome
		decline bool
	}{
		{"idempotent that may have run", Idempotent, Everywhere, TimedOut, true},
		{"unrepeatable that never ran", Unrepeatable, Everywhere, Rejected, true},
		{"unrepeatable that may have run", Unrepeatable, Everywhere, Broken, false},
		{"deduplicated everywhere", Deduplicated, Everywhere, TimedOut, true},
		{"deduplicated in its rack", Deduplicated, SameRack, TimedOut, false},
	} {
		d, out := begin(t)
		q := ask(d)
		q.Class.Effect, q.Class.Reach, q.State = c.effect, c.reach, d.backends[0]
		went(q, d.backends[2], c.outcome, 0)
		d.giveUp(q)
		if (len(out.declined) == 1) != c.decline || (len(out.lost) == 1) == c.decline || len(out.released) != 1 {
			t.Errorf("%s: declined %d, forfeited %d, released %d", c.name, len(out.declined), len(out.lost), len(out.released))
		}
	}
}

func TestLeftReleasesAStateThatComesAfterTheClientHasGone(t *testing.T) {
	d, out := begin(t)
	q := ask(d)
	trip := went(q, d.backends[0], 0, d.runtime.Now())
	trip.Ended, q.Over, d.backends[0].Tokens = false, true, q.Memory
	d.Ended(trip, Result{Outcome: Read, Over: true})
	if len(out.released) != 1 || d.backends[0].Tokens != 0 {
		t.Errorf("released %d, tokens %g", len(out.released), d.backends[0].Tokens)
	}
}

func TestHoldGivesUpWhatExpiresBeforeTheNextLook(t *testing.T) {
	d, out := begin(t)
	q := ask(d)
	q.Deadline = d.runtime.Now() + sweep
	d.enqueue(q)
	if len(out.declined) != 1 || len(d.queue) != 0 {
		t.Errorf("declined %d, held %d", len(out.declined), len(d.queue))
	}
}

func TestEndedTakesAHostWhoseConnectionFailsAsCold(t *testing.T) {
	d, _ := begin(t)
	q := ask(d)
	trip := went(q, d.backends[2], 0, d.runtime.Now())
	trip.Ended = false
	d.Ended(trip, Result{Outcome: Unreachable, Over: true})
	if !d.cold(d.backends[2]) {
		t.Error("the host counts as warm")
	}
}

func TestTrustedForgetsNoHostQuite(t *testing.T) {
	d, _ := begin(t)
	h := d.backends[2]
	h.Records[0].Bad.Add(d.runtime.Now(), 8)
	given := 0
	for range 1000 {
		if d.drawn(d.chance(h, ask(d))) {
			given++
		}
	}
	if given == 0 || given > 300 {
		t.Errorf("a doubtful host got %d of 1000", given)
	}
}

// A request that no backend may take any more, as its group drains or its deduplication window has closed, is
// given up at once: otherwise it would block the queue until its deadline.
func TestServeGivesUpOnWhatNoHostMayTake(t *testing.T) {
	d, out := begin(t)
	first, behind := ask(d), ask(d)
	behind.ID = 2
	first.Class = &Class{Effect: Deduplicated, Reach: SameRack, Window: time.Minute, Value: 9, Target: time.Second}
	went(first, d.backends[2], TimedOut, out.now)
	d.enqueue(first)
	for _, h := range d.backends {
		if h.Rack == d.backends[2].Rack {
			h.Standing = Draining
		}
	}
	d.enqueue(behind)
	if d.queue[0] != first {
		t.Fatal("the other one is in front")
	}
	d.dispatch()
	if len(out.sent) != 1 || out.sent[0].Request != behind || len(out.lost) != 1 || out.lost[0] != first || len(d.queue) != 0 {
		t.Errorf("%d sent, %d forfeited, %d held", len(out.sent), len(out.lost), len(d.queue))
	}
}

func TestShedGivesUpTheLeastDenseUnderOverload(t *testing.T) {
	d, out := begin(t)
	early, late := ask(d), ask(d)
	early.ID, late.ID = 1, 2
	d.queue = []*Request{early, late}
	out.now += 300 * time.Millisecond
	d.window = 0.1 // one per 2.5 s at a time to first token of 0.25 s
	d.shed()
	if !slices.Equal(out.declined, []*Request{late}) {
		t.Errorf("declined %v", out.declined)
	}
}

func TestRouteReadsShortPromptsInPlaceOnceAnAverageIsKnown(t *testing.T) {
	for _, c := range []struct {
		name    string
		average float64
		kept    float64
		stage   Stage
		host    uint32
	}{
		{"fresh router", 0, 1900, ToRead, 0},
		{"short for the writer that keeps it", 1000, 1900, Whole, 4},
	} {
		d, out := begin(t)
		d.average = c.average
		d.backends[4].Standing, d.backends[5].Standing = Gone, Gone
		d.backends[3].Kept[7] = Kept{Tokens: c.kept, At: d.runtime.Now()}
		d.route(ask(d))
		if len(out.sent) != 1 || out.sent[0].Stage != c.stage || c.host != 0 && out.sent[0].Backend.ID != c.host {
			t.Errorf("%s: sent %+v", c.name, out.sent)
		}
	}
}

func TestAnsweredReadsALostStateAnew(t *testing.T) {
	d, out := begin(t)
	q := ask(d)
	trip := went(q, d.backends[2], 0, d.runtime.Now())
	trip.Ended, trip.Stage, trip.Next, q.State = false, ToWrite, d.onward(q), d.backends[0]
	d.Ended(trip, Result{Outcome: Rejected, Note: 1})
	if len(out.sent) != 1 || out.sent[0].Stage != ToRead {
		t.Errorf("sent %v", out.sent)
	}
}

func TestNewNamesASettingThatIsMissingOrSenseless(t *testing.T) {
	for name, value := range map[string]any{"rules.coldFrom": -0.5, "siblings": -1.0, "requestClasses": 0.0,
		// The scheduler divides by these or counts up to them.
		"rules.tipAfterUs": 0.5, "rules.tipMultiple": -1.0, "rules.rampTimeUs": math.Inf(1), "policyLimits.maxAttempts": -1.0,
		"requestClasses.0.aimUs": 0.0, "requestClasses.0.worth": math.NaN(), "prices.peer": math.NaN(), "prices.crossZone": -1.0} {
		f := facts()
		f[name] = value
		if _, err := New(f, 1, &door{}); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestReaderLeansToTheRackWithFreerWriters(t *testing.T) {
	d, _ := begin(t)
	for i, h := range d.backends[2:] {
		h.Size = 100
		h.Streams = 90 * (i % 2) // the decode backend and the mixed backend of the second rack are full
	}
	if h := d.pickPrefill(ask(d), d.backends[2:]); h == nil || h.Rack != 0 {
		t.Errorf("got %+v", h)
	}
	for _, h := range d.backends[2:] {
		h.Streams = 90 - h.Streams
	}
	if h := d.pickPrefill(ask(d), d.backends[2:]); h == nil || h.Rack != 1 {
		t.Errorf("got %+v", h)
	}
}

func TestPatienceLeavesTimeForAnotherTripWhereOneMayFollow(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect Effect
		stage  Stage
		number int
		all    bool
	}{
		{"idempotent", Idempotent, Whole, 0, false},
		{"unrepeatable at a reader", Unrepeatable, ToRead, 0, false},
		{"unrepeatable at a writer", Unrepeatable, ToWrite, 1, true},
		{"the last trip allowed", Idempotent, Whole, 3, true},
	} {
		d, _ := begin(t)
		q := ask(d)
		q.Class.Effect = c.effect
		wait := d.patience(&Attempt{Request: q, Stage: c.stage, Number: c.number, Sent: q.Taken})
		if (wait == q.Deadline-q.Taken) != c.all {
			t.Errorf("%s: waits %v of %v", c.name, wait, q.Deadline-q.Taken)
		}
	}
}

func TestEndedDoesNotTakeAHostForColdForABrokenConnection(t *testing.T) {
	d, _ := begin(t)
	trip := went(ask(d), d.backends[2], 0, d.runtime.Now())
	trip.Ended = false
	d.Ended(trip, Result{Outcome: Broken, Over: true})
	if d.cold(d.backends[2]) {
		t.Error("the host counts as cold")
	}
}

// What a fleet lets through per window equals the sum of all shares, not only on average, and every dispatcher
// gets its turns.
func TestBarredSpendsPartsBelowOneQuestionUpToTheirSum(t *testing.T) {
	d, out := begin(t)
	h := d.backends[2]
	for _, o := range d.backends {
		if o.Role == Writes && o != h {
			o.Carried.Add(out.now, 1000) // a share of about a tenth of the request's work
		}
	}
	const fleet = 300
	d.parameters.dispatchers = fleet
	h.Restart, h.Booted = true, out.now
	want := fleet * d.coldBudget(h) / d.weight(ask(d), h, Whole)
	turns := map[int]int{}
	for window := range 4 {
		let := 0
		for slot := range fleet {
			d.parameters.number = float64(slot)
			if !d.barred(ask(d), h) {
				let++
				turns[slot]++
			}
		}
		if math.Abs(float64(let)-want) > 1 || want < 10 || want > 60 {
			t.Errorf("window %d: %d of %d let one through, they come to %.1f", window, let, fleet, want)
		}
		out.now += 2 * time.Second
	}
	if len(turns) < int(2*want) {
		t.Errorf("only %d ever have a turn", len(turns))
	}
}

func TestNewLeansEachDispatcherToHostsOfItsOwn(t *testing.T) {
	first := map[uint32]int{}
	for seed := range uint64(200) {
		d, err := New(facts(), seed, &door{now: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		var lines []Listing
		for i := range 4 {
			lines = append(lines, Listing{Host: &Backend{ID: uint32(i), Kind: 1}, Standing: Ready, Units: float64(1 + i%2)})
		}
		d.Listed(lines, true)
		first[Least(d.backends, d.next).ID]++
	}
	if len(first) != 4 || first[1]+first[3] < 120 || first[1] > 120 || first[3] > 120 {
		t.Errorf("first choices of 200 dispatchers: %v", first)
	}
}

func TestTrustedTellsByGradeOfQuestion(t *testing.T) {
	d, _ := begin(t)
	d.classes = append(d.classes, &Class{Index: 1})
	h, given := d.backends[2], [2]int{}
	h.Records = make([]Record, 3)
	for i := range h.Records {
		h.Records[i].Good.Width, h.Records[i].Bad.Width = time.Second, time.Second
	}
	for i := range 40 {
		d.Heard(PeerUpdate{Host: h, Grade: i % 2, Verdict: []Verdict{Well, Badly}[i%2]})
	}
	for i := range 200 {
		q := ask(d)
		q.Class = d.classes[i%2]
		d.Heard(PeerUpdate{Host: h, Grade: 0, Verdict: Well})
		if d.drawn(d.chance(h, q)) {
			given[i%2]++
		}
	}
	if given[0] < 90 || given[1] > 10 {
		t.Errorf("trusted %v of 100 each", given)
	}
}

func TestAbleDrawsForOneDoubtfulHostAtATime(t *testing.T) {
	d, _ := begin(t)
	for range 30 {
		h := &Backend{Kind: 1}
		d.Listed([]Listing{{Host: h, Standing: Ready, Units: 1}}, false)
		for range 4 {
			d.Heard(PeerUpdate{Host: h, Verdict: Badly})
		}
	}
	tried := 0
	for range 500 {
		if len(d.able(ask(d), (*Backend).Answers)) > 4 {
			tried++
		}
	}
	if tried == 0 || tried > 150 {
		t.Errorf("a doubtful host was among them %d times of 500", tried)
	}
}

func TestHeardTakesAnUnmetHostAsCold(t *testing.T) {
	d, _ := begin(t)
	d.Heard(PeerUpdate{Host: d.backends[2], Verdict: Unmet})
	if !d.cold(d.backends[2]) {
		t.Error("the host counts as warm")
	}
}

// A full list repeats what it said before and knows only of processes: it must not end the slow start of a
// backend that can't be reached, nor clear its failures.
func TestAListThatRepeatsItselfUndoesNothing(t *testing.T) {
	for _, restart := range []bool{true, false} {
		d, out := begin(t)
		h := d.backends[2]
		line := Listing{Host: h, Standing: Ready, Units: 4, Booted: -time.Hour, Restart: restart}
		d.Listed([]Listing{line}, false)
		h.Kept[7] = Kept{100, out.now, 0}
		d.Heard(PeerUpdate{Host: h, Verdict: Unmet})
		out.now += time.Second
		d.Listed([]Listing{line}, false)
		if !d.cold(h) || h.Records[0].Missed != 1 || len(h.Kept) != 1 {
			t.Errorf("restart %v: cold %v, %g failures, %d kept", restart, d.cold(h), h.Records[0].Missed, len(h.Kept))
		}
		line.Booted, line.Restart = out.now, true
		d.Listed([]Listing{line}, false)
		if !d.cold(h) || h.Records[0].Missed != 0 || len(h.Kept) != 0 {
			t.Error("a new start went unseen")
		}
		out.now += 11 * time.Second
		if d.cold(h) {
			t.Error("it stays cold")
		}
	}
}

func TestShareTellsAFewOthersAndNeverItself(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers bool
		price float64
		most  int
	}{{"not allowed", false, 0, 0}, {"free", true, 0, 8}, {"dear", true, 0.01, 2}} {
		f := facts()
		f["policyLimits.peers"], f["prices.peer"], f["siblings"], f["slotNo"] = c.peers, c.price, 50.0, 7.0
		out := &door{}
		d, err := New(f, 1, out)
		if err != nil {
			t.Fatal(err)
		}
		d.share(PeerUpdate{})
		if len(out.told) != c.most || slices.Contains(out.told, 7) {
			t.Errorf("%s: told %v", c.name, out.told)
		}
	}
}

// Requests that clients or deadlines ended early must not count as if their first tokens had come quickly:
// that widened the window while first tokens came seconds late.
func TestTheWindowMovesByTheTimeToAFirstToken(t *testing.T) {
	for _, c := range []struct {
		name  string
		out   time.Duration
		began bool
		ended Outcome
		moves int // 1: it widens, -1: it narrows
	}{
		{"quick", 100 * time.Millisecond, true, Served, 1},
		{"quick, by a request that another dispatcher cut off", 100 * time.Millisecond, false, Failed, 0},
		{"a client that left early", 300 * time.Millisecond, false, Cancelled, 0},
		{"a deadline that came early", 300 * time.Millisecond, false, TimedOut, -1},
		{"late", 900 * time.Millisecond, true, Served, -1},
		{"a client that left late", 900 * time.Millisecond, false, Cancelled, -1},
		{"rejected as full", time.Millisecond, false, Rejected, -1},
	} {
		d, out := begin(t)
		d.window = 10
		q := ask(d)
		trip := went(q, d.backends[2], c.ended, out.now)
		q.Outstanding, q.Dispatched, d.outstanding, d.queue = true, out.now, 10, []*Request{ask(d)}
		out.now += c.out
		if c.began {
			trip.Began = out.now
		}
		before := d.window
		d.settle(q)
		if cmp.Compare(d.window, before) != c.moves {
			t.Errorf("%s: window %g -> %g", c.name, before, d.window)
		}
		d.outstanding -= 9
		if d.queue = nil; d.outstanding != 0 {
			out.wakes[len(out.wakes)-1]()
		}
		if d.outstanding != 0 {
			t.Errorf("%s: %d without a first token", c.name, d.outstanding)
		}
	}
}

// A prefill that timed out still runs at its backend. If its place were free at once, the next request would
// wait behind it and time out too: prefill backends then do nothing but such work.
func TestWhatWasGivenUpOnKeepsItsPlaceForAsLongAgain(t *testing.T) {
	for _, c := range []struct {
		ended Outcome
		took  time.Duration
		ahead float64 // expected seconds to a first token
		keeps time.Duration
	}{
		{TimedOut, 600 * time.Millisecond, 0.5, 600 * time.Millisecond}, {Cancelled, 200 * time.Millisecond, 0.5, 200 * time.Millisecond},
		{TimedOut, 3 * time.Second, 0.5, time.Second}, {Read, 600 * time.Millisecond, 0.5, 0}, {Unreachable, 200 * time.Millisecond, 0.5, 0},
		{Rejected, 0, 0.5, 0}, {TimedOut, 3 * time.Second, 0.1, 0}, // an unresponsive backend holds up no others
	} {
		d, out := begin(t)
		d.window = 1
		d.firstToken.Add(c.ahead, 1)
		q := ask(d)
		went(q, d.backends[0], c.ended, out.now)
		q.Outstanding, q.Dispatched, d.outstanding = true, out.now, 1
		out.now += c.took
		out.wakes, out.delays = nil, nil
		d.settle(q)
		switch {
		case c.keeps == 0 && d.outstanding == 0 && len(out.wakes) == 0:
		case c.keeps == 0 || d.outstanding != 1 || len(out.wakes) != 1 || out.delays[0] != c.keeps:
			t.Errorf("%+v: %d without a first token, wakes in %v", c, d.outstanding, out.delays)
		default:
			next := ask(d)
			d.enqueue(next)
			out.wakes[0]()
			if len(out.sent) != 1 || out.sent[0].Request != next {
				t.Errorf("%+v: the place that comes free is not used", c)
			}
		}
	}
}

// Backends that have just started get prefill work while the others are congested. Otherwise each dispatcher
// waits for a request whose prefix hashes to them.
func TestHomesTakeInAColdHostWithAPartLeft(t *testing.T) {
	d, out := begin(t)
	for i := range 20 {
		d.Listed([]Listing{{Host: &Backend{ID: uint32(100 + i)}, Standing: Ready, Units: 1}}, false)
	}
	q, readers := ask(d), Only(d.backends, (*Backend).ReadsOnly)
	homes := d.homes(q, Reads, slices.Clone(readers))
	cold := readers[slices.IndexFunc(readers, func(h *Backend) bool { return !slices.Contains(homes, h) })]
	cold.Restart, cold.Booted = true, out.now-time.Second
	if got := d.homes(q, Reads, slices.Clone(readers)); !slices.Equal(got, append(homes, cold)) {
		t.Errorf("%d homes", len(got))
	}
	if w := d.warmth(cold); w < 0.3 || w > 0.4 || d.warmth(homes[0]) != 1 || d.press(cold, 0) < 2*d.press(homes[0], 0) {
		t.Errorf("warmth %g, a press of %g against %g", w, d.press(cold, 0), d.press(homes[0], 0))
	}
}

// The budget in slow start does not shrink from window to window when all backends are in slow start and would
// be measured by each other.
func TestWhatWarmHostsDidIsRememberedWhileMostAreCold(t *testing.T) {
	d, out := begin(t)
	for _, h := range d.backends[:2] {
		h.Carried.Add(out.now, 20000)
	}
	warm := d.coldBudget(d.backends[0])
	for _, h := range d.backends[:2] {
		h.Restart, h.Booted = true, out.now
	}
	out.now += 30 * time.Second // completed work has expired
	for _, h := range d.backends[:2] {
		h.Booted = out.now
	}
	if cold := d.coldBudget(d.backends[0]); warm == 0 || cold != warm {
		t.Errorf("a part of %g is %g when all are cold", warm, cold)
	}
}

func TestHomesStayWhenOneIsDoubtedAndGrowWithShare(t *testing.T) {
	d, out := begin(t)
	for i := range 20 {
		d.Listed([]Listing{{Host: &Backend{ID: uint32(100 + i)}, Standing: Ready, Units: 1}}, false)
	}
	q, readers := ask(d), Only(d.backends, (*Backend).ReadsOnly)
	two := slices.Clone(d.homes(q, Reads, slices.Clone(readers)))
	without := slices.DeleteFunc(slices.Clone(readers), func(h *Backend) bool { return h == two[0] })
	if left := d.homes(q, Reads, without); len(two) != 2 || !slices.Equal(left, two[1:]) {
		t.Errorf("homes %v, with one doubted %v", two, left)
	}
	d.asked.Add(out.now, 100)
	d.begins.Add(q.Shared, out.now, 50)
	if got := len(d.homes(q, Reads, readers)); got < 12 || got > 21 {
		t.Errorf("a beginning of half the questions has %d homes of 22", got)
	}
}

func TestLearnHearsNothingInATripCutShort(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		bad  float64
	}{{100 * time.Millisecond, 0}, {2 * time.Second, 1}} {
		d, out := begin(t)
		h := d.backends[2]
		d.typical[Writes].Add(0.001, 1)
		d.learn(went(ask(d), h, TimedOut, out.now), c.took, false, false)
		if got := h.Records[0].Bad.Sum(out.now); got != c.bad {
			t.Errorf("after %v: %g against the host", c.took, got)
		}
	}
}

func TestMixedLosesWorkWhereWholeTripsAreSlower(t *testing.T) {
	for _, c := range []struct {
		name  string
		pace  float64
		taken bool
	}{{"as quick", 1e-4, true}, {"slower", 1e-2, false}} {
		d, _ := begin(t)
		d.average = 1000
		for i, h := range d.backends {
			h.Lean, h.Streams = 0, []int{3, 3, 8, 8, 0, 0}[i]
		}
		for role, pace := range []float64{1e-4, 1e-4, c.pace} {
			d.typical[role].Add(pace, 1)
		}
		if m := d.pickMixed(ask(d), d.backends[2:], d.backends[0]); (m != nil) != c.taken {
			t.Errorf("%s: got %v", c.name, m)
		}
	}
}

func TestTrustedForgetsNoHostThatFailedForLong(t *testing.T) {
	d, out := begin(t)
	h, given := d.backends[2], 0
	for range 100 {
		d.Heard(PeerUpdate{Host: h, Verdict: Badly})
	}
	out.now += time.Minute
	for range 1000 {
		if d.drawn(d.chance(h, ask(d))) {
			given++
		}
	}
	if given < 20 || given > 300 {
		t.Errorf("a minute after a hundred failures it got %d of 1000", given)
	}
}

// Half a fleet failing under a few dispatchers ends dozens of attempts late at the same time, by one
// congestion event. If each narrowed the window, it would close almost entirely and not recover for minutes.
func TestWhatWasOutWhenAJamBeganHalvesTheWindowAtMost(t *testing.T) {
	d, out := begin(t)
	d.window = 20
	for range 60 {
		q := ask(d)
		q.Outstanding, q.Dispatched = true, out.now-2*time.Second
		went(q, d.backends[0], TimedOut, out.now)
		d.outstanding++
		q.TargetAt = out.now + time.Second
		d.settle(q)
	}
	out.now += 3 * time.Second
	if d.window != 10 {
		t.Errorf("the window is %g", d.window)
	}
	q := ask(d) // a request sent after the congestion reports another one
	q.Outstanding, q.Dispatched, d.outstanding = true, out.now-2*time.Second, d.outstanding+1
	went(q, d.backends[0], Rejected, out.now)
	d.settle(q)
	if d.window >= 10 || d.window < 5 {
		t.Errorf("after the next one it is %g", d.window)
	}
}

// Decode at warm mixed backends must not count as whole requests for those in slow start, which would be
// overloaded by it.
func TestWritesAtAMixedHostSpeakForLessThanWholeQuestions(t *testing.T) {
	budget := func(stage Stage) float64 {
		d, out := begin(t)
		d.classes[0].Reading.Add(3000, 1)
		d.classes[0].Writing.Add(1, 1)
		warm, cold := d.backends[4], d.backends[5]
		cold.Booted, cold.Restart = out.now, true
		for range 20 {
			q := ask(d)
			q.Attempts = []*Attempt{{Request: q, Backend: warm, Stage: stage, Began: out.now, Next: func(Result) {}}}
			d.Ended(q.Attempts[0], Result{Outcome: Served, Over: true})
		}
		return d.coldBudget(cold)
	}
	if write, whole := budget(ToWrite), budget(Whole); write <= 0 || write > whole/10 {
		t.Errorf("a cold mixed host's part is %.0f after 20 writes at a warm one, %.0f after 20 whole questions", write, whole)
	}
}

// Backends come and go while a dispatcher runs: removed ones without attempts in flight are dropped, so that
// no decision visits them.
func TestListedForgetsHostsThatAreGone(t *testing.T) {
	d, _ := begin(t)
	q := ask(d)
	busy := d.backends[2]
	if !d.send(q, busy, Whole, func(Result) {}) {
		t.Fatal("not sent")
	}
	for i := range 300 {
		h := &Backend{ID: uint32(100 + i), Kind: 1}
		d.Listed([]Listing{{Host: h, Standing: Ready, Units: 4}}, false)
		d.Listed([]Listing{{Host: h, Standing: Gone}}, false)
	}
	d.Listed([]Listing{{Host: d.backends[0], Standing: Ready, Units: 4}}, true)
	if len(d.backends) != 2 || !slices.Contains(d.backends, busy) {
		t.Errorf("%d hosts are held, of 1 that is there and 1 with a trip out", len(d.backends))
	}
	d.Ended(q.Attempts[0], Result{Outcome: Served, Over: true})
	d.Listed([]Listing{{Host: busy, Standing: Ready, Units: 4}}, false)
	d.Listed([]Listing{{Host: busy, Standing: Ready, Units: 4}}, false)
	if len(d.backends) != 2 {
		t.Errorf("%d hosts after one came back", len(d.backends))
	}
}

// Cached prefixes are forgotten by age, not by count: with more keys in use than the limit, a count would have
// every attempt look through all of them and drop none.
func TestRefreshForgetsKeptTextsByAge(t *testing.T) {
	d, out := begin(t)
	for i := range 5000 {
		q := ask(d)
		q.Session, q.Shared = uint64(1000+i), 0
		d.remember(&Attempt{Request: q, Backend: d.backends[2]}, 0)
	}
	out.now += keptFor + time.Second
	q := ask(d)
	d.remember(&Attempt{Request: q, Backend: d.backends[2]}, 0)
	d.refresh()
	if n := len(d.backends[2].Kept); n != 2 {
		t.Errorf("%d texts are held, 2 are fresh", n)
	}
	few := d.backends[3]
	few.Kept[5] = Kept{10, out.now, 0}
	out.now += keptFor + time.Second
	d.refresh()
	if len(few.Kept) != 0 {
		t.Error("a text that is never used again is held for good")
	}
}

// A request whose client has disconnected leaves the queue, and no request is answered twice.
func TestWhatIsOverIsNeitherHeldNorAnsweredAgain(t *testing.T) {
	d, out := begin(t)
	q := ask(d)
	d.enqueue(q)
	d.Left(q)
	d.giveUp(q)
	if len(d.queue) != 0 || len(out.declined)+len(out.lost) != 0 {
		t.Errorf("%d held, %d answers to a client that has gone", len(d.queue), len(out.declined)+len(out.lost))
	}
}

// While the rules allow no backend, the queue widens the window with each first token that still comes.
// Without a bound it reached 1e16 and flooded the fleet once backends were allowed again.
func TestTheWindowHasABound(t *testing.T) {
	d, _ := begin(t)
	d.queue = []*Request{ask(d)}
	for range 200 {
		q := ask(d)
		went(q, d.backends[2], Served, d.runtime.Now()).Began = d.runtime.Now()
		q.Outstanding, q.Dispatched = true, d.runtime.Now()
		d.outstanding = int(d.window) + 1
		d.settle(q)
	}
	if most := perHost * float64(len(d.backends)); d.window != most {
		t.Errorf("the window is %g, %g at most", d.window, most)
	}
}
