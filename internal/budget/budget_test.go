package budget

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloetrestle/internal/agenda"
)

// wire carries messages between purses and a keeper in virtual time, and loses, repeats and delays them.
type wire struct {
	now    time.Duration
	queue  agenda.Queue
	rng    *rand.Rand
	loss   float64
	slow   time.Duration
	starts int
	cut    map[int]bool // purses that neither hear nor are heard
	keeper *Owner
	purses []*LocalBudget
	month  func(time.Duration) Month
	stated map[int64]float64 // what the keeper has made durable
	debts  map[int64]float64
	commit time.Duration
	marks  map[string]bool // emergency parts that were begun, by dispatcher and month
}

func (w *wire) after(d time.Duration, do func()) { w.queue.Schedule(w.now+d, do) }

func (w *wire) run(until time.Duration) {
	w.queue.RunUntil(until, func(at time.Duration) { w.now = at })
	w.now = until
}

// carry delivers a message, or not, or twice.
func (w *wire) carry(of int, do func()) {
	for range 2 {
		if w.rng.Float64() >= w.loss && !w.cut[of] {
			w.after(time.Duration(w.rng.Float64()*float64(w.slow)), func() {
				if !w.cut[of] {
					do()
				}
			})
		}
		if w.rng.Float64() > 0.1 {
			return
		}
	}
}

func (w *wire) newKeeper(t Terms) {
	m := w.month(w.now)
	w.keeper = NewOwner(t, w.now, m, w.stated[m.Number], w.debts[m.Number], 0, func(what string, month int64, tokens float64, done func()) {
		k := w.keeper
		w.after(w.commit, func() {
			if what == "lent" {
				w.stated[month] = max(w.stated[month], tokens)
			}
			if what == "debt" {
				w.debts[month] = tokens
			}
			if done != nil && w.keeper == k {
				done()
			}
		})
	})
}

func newWire(t Terms, purses int, seed uint64) *wire {
	w := &wire{rng: rand.New(rand.NewPCG(seed, 5)), slow: 4 * time.Millisecond, cut: map[int]bool{}, stated: map[int64]float64{}, debts: map[int64]float64{}, marks: map[string]bool{},
		commit: 10 * time.Millisecond, now: time.Second}
	const month = 100 * time.Second
	w.month = func(now time.Duration) Month { return Month{int64(now / month), month - now%month} }
	w.newKeeper(t)
	for i := range purses {
		w.purse(t, i, purses)
		var tend func()
		tend = func() { w.purses[i].Tick(w.now); w.after(50*time.Millisecond, tend) }
		w.after(time.Duration(i)*time.Millisecond, tend)
	}
	return w
}

// purse gives dispatcher i a new, empty one, as after a restart.
func (w *wire) purse(t Terms, i, of int) {
	w.starts++
	var p *LocalBudget
	p = NewLocalBudget(t, fmt.Sprintf("d%d.%d", i, w.starts), of, w.month(w.now), func(a LeaseRequest) {
		w.carry(i, func() {
			w.keeper.HandleRequest(w.now, w.month(w.now), a, func(l LeaseReply) {
				w.carry(i, func() {
					if w.purses[i] == p {
						p.HandleReply(w.now, l)
					}
				})
			})
		})
	})
	name := func(month int64) string { return fmt.Sprint(i, " ", month) }
	p.EmergencyMarked = func(month int64) bool { return w.marks[name(month)] }
	p.MarkEmergency = func(month int64, done func()) {
		w.after(w.commit, func() { w.marks[name(month)] = true; done() })
	}
	if i < len(w.purses) {
		w.purses[i] = p
	} else {
		w.purses = append(w.purses, p)
	}
}

// spend has a question of so many tokens, which uses all of them, at purse i; used sums by month of its reservation.
func (w *wire) spend(i int, tokens float64, used map[int64]float64, verdicts *[2]int) {
	m := w.month(w.now)
	p := w.purses[i]
	p.Reserve(w.now, m, tokens, func(v Decision) {
		if !v.OK {
			verdicts[1]++
			return
		}
		verdicts[0]++
		used[p.month] += tokens
		w.after(time.Duration(w.rng.Float64()*float64(3*time.Second)), func() { p.Settle(tokens, tokens, v.Emergency) })
	})
}

// Whatever is lost, repeated or late, whoever is cut off or restarts, the keeper too: of a month no more is used than its
// allowance and the emergency share of it.
func TestNoInterleavingOfLeasesOvershootsTheStatedBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		purses := rapid.IntRange(1, 12).Draw(t, "purses")
		terms := Terms{Name: "c", PerSecond: -1, Monthly: float64(rapid.IntRange(0, 60000).Draw(t, "monthly"))}
		w := newWire(terms, purses, rapid.Uint64().Draw(t, "seed"))
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "loss")
		used, verdicts := map[int64]float64{}, [2]int{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			w.run(w.now + time.Duration(rapid.IntRange(0, 400).Draw(t, "gap"))*time.Millisecond)
			i := rapid.IntRange(0, purses-1).Draw(t, "purse")
			switch rapid.IntRange(0, 30).Draw(t, "what") {
			case 0:
				w.cut[i] = !w.cut[i]
			case 1:
				w.purse(terms, i, purses)
			case 2:
				w.newKeeper(terms)
			case 3:
				w.run(w.now + 30*time.Second)
			default:
				w.spend(i, float64(rapid.IntRange(1, 900).Draw(t, "tokens")), used, &verdicts)
			}
		}
		w.run(w.now + 10*time.Second)
		for month, n := range used {
			if bound := terms.Monthly * (1 + Emergency); n > bound+1e-6 {
				t.Fatalf("of month %d %.0f tokens were used, of %.0f and %.0f in emergencies", month, n, terms.Monthly, terms.Monthly*Emergency)
			}
		}
	})
}

func TestAllOfAnAllowanceCanBeUsedByWhoeverNeedsIt(t *testing.T) {
	for _, purses := range []int{3, 33, 160} {
		w := newWire(Terms{Name: "c", PerSecond: -1, Monthly: 100_000}, purses, 1)
		used, verdicts := map[int64]float64{}, [2]int{}
		for w.now < 60*time.Second { // one dispatcher has half of the questions
			w.run(w.now + 40*time.Millisecond)
			i := 0
			if w.rng.Float64() < 0.5 {
				i = w.rng.IntN(purses)
			}
			w.spend(i, 100, used, &verdicts)
		}
		w.run(70 * time.Second)
		if used[0] > 100_000 || used[0] < 90_000 {
			t.Errorf("%d purses: %.0f of 100,000 were used, %d questions passed and %d not", purses, used[0], verdicts[0], verdicts[1])
		}
	}
}

func TestARateHoldsOverAllDispatchers(t *testing.T) {
	w := newWire(Terms{Name: "c", PerSecond: 1000, Burst: 2000, Monthly: -1}, 20, 1)
	used, verdicts := map[int64]float64{}, [2]int{}
	for w.now < 61*time.Second {
		w.run(w.now + 20*time.Millisecond)
		w.spend(w.rng.IntN(20), 100, used, &verdicts) // 5,000 a second are asked for
	}
	if used[0] > 62_000 || used[0] < 50_000 {
		t.Errorf("%.0f tokens in 60 s, of 1,000 a second and a burst of 2,000; %d passed, %d not", used[0], verdicts[0], verdicts[1])
	}
}

func TestWhatIsUsedUpIsDeclinedWithTheTimeOfItsRenewal(t *testing.T) {
	w := newWire(Terms{Name: "c", PerSecond: -1, Monthly: 1000}, 2, 1)
	used, verdicts := map[int64]float64{}, [2]int{}
	for range 30 {
		w.run(w.now + 200*time.Millisecond)
		w.spend(0, 100, used, &verdicts)
	}
	w.run(w.now + time.Second)
	var last Decision
	w.purses[0].Reserve(w.now, w.month(w.now), 100, func(v Decision) { last = v })
	w.run(w.now + time.Second)
	if left := w.month(w.now).Remaining; used[0] != 1000 || last.OK || math.Abs((last.RetryAfter-left).Seconds()) > 3 {
		t.Errorf("%.0f used; come back in %v, the month has %v", used[0], last.RetryAfter, left)
	}
	w.run(101 * time.Second)
	w.spend(0, 100, used, &verdicts)
	w.run(102 * time.Second)
	if used[1] != 100 {
		t.Errorf("in the new month %.0f are used", used[1])
	}
}

func TestAZeroBudgetLetsNothingThroughAndAGrantDoes(t *testing.T) {
	w := newWire(Terms{Name: "c", PerSecond: -1, Monthly: 0}, 1, 1)
	used, verdicts := map[int64]float64{}, [2]int{}
	w.spend(0, 10, used, &verdicts)
	w.run(2 * time.Second)
	if verdicts != [2]int{0, 1} {
		t.Fatalf("%v", verdicts)
	}
	w.keeper.Grant(w.month(w.now), 500, nil)
	w.spend(0, 10, used, &verdicts)
	if verdicts != [2]int{0, 2} {
		t.Errorf("within %v of the keeper's word it is not asked again: %v", lookAgain, verdicts)
	}
	w.run(w.now + lookAgain)
	w.spend(0, 10, used, &verdicts)
	w.run(w.now + time.Second)
	if verdicts != [2]int{1, 2} {
		t.Errorf("after a grant: %v", verdicts)
	}
}

func TestABorrowedBudgetIsMissingInTheNextMonth(t *testing.T) {
	w := newWire(Terms{Name: "c", PerSecond: -1, Monthly: 1000, Borrow: 400}, 1, 1)
	used, verdicts := map[int64]float64{}, [2]int{}
	for m := range int64(2) {
		for range 40 {
			w.run(w.now + 500*time.Millisecond)
			w.spend(0, 100, used, &verdicts)
		}
		w.run(time.Duration(m+1)*100*time.Second + time.Second)
	}
	if used[0] != 1400 || used[1] != 1000 { // 600 are left of its own, and 400 of the third month's
		t.Errorf("%v", used)
	}
}

func TestAQuestionIsNotHeldForAKeeperThatIsSilent(t *testing.T) {
	w := newWire(Terms{Name: "c", PerSecond: -1, Monthly: 100_000}, 4, 1)
	w.cut[1] = true
	asked, at := w.now, time.Duration(0)
	w.purses[1].Reserve(w.now, w.month(w.now), 100, func(v Decision) { at = w.now })
	w.run(w.now + 2*time.Second)
	if at == 0 || at-asked > silence+100*time.Millisecond {
		t.Errorf("answered after %v", at-asked)
	}
	w.run(w.now + time.Second) // its part is marked as begun
	passed := 0
	for range 100 {
		w.purses[1].Reserve(w.now, w.month(w.now), 100, func(v Decision) {
			if v.OK {
				passed++
			}
		})
	}
	if part := 12; // 5% of 100,000, over 4 dispatchers, by 100
	passed > part || passed < part-2 {
		t.Errorf("%d passed in the emergency, its part is %d", passed, part)
	}
}

// Without this, a dispatcher that restarts again and again while its keeper is away has a new part each time.
func TestARestartGivesNoNewEmergencyPart(t *testing.T) {
	terms := Terms{Name: "c", PerSecond: -1, Monthly: 100_000}
	w := newWire(terms, 4, 1)
	w.cut[1] = true
	used, verdicts := map[int64]float64{}, [2]int{}
	for range 5 {
		for range 40 {
			w.spend(1, 100, used, &verdicts)
			w.run(w.now + 50*time.Millisecond)
		}
		w.purse(terms, 1, 4)
	}
	w.run(w.now + time.Second)
	if used[0] == 0 || used[0] > 1250 {
		t.Errorf("%.0f tokens of an emergency part of 1,250", used[0])
	}
}

func TestARateGoesOnWithoutItsKeeperInEqualParts(t *testing.T) {
	w := newWire(Terms{Name: "c", PerSecond: 4000, Burst: 4000, Monthly: -1}, 4, 1)
	for i := range 4 {
		w.cut[i] = true
	}
	used, verdicts := map[int64]float64{}, [2]int{}
	for w.now < 31*time.Second {
		w.run(w.now + 10*time.Millisecond)
		w.spend(w.rng.IntN(4), 100, used, &verdicts) // 10,000 a second are asked for
	}
	if used[0] < 100_000 || used[0] > 160_000 { // 120,000 in 30 s, and ten seconds' worth at once
		t.Errorf("%.0f tokens in 30 s of 4,000 a second", used[0])
	}
}

// What a sibling says comes over a network: an answer that renames a budget would let its channel ask for nothing, one without
// a bound lend it everything.
func TestAnAnswerThatMakesNoSenseIsNone(t *testing.T) {
	sound := LeaseReply{Name: "b", Holder: "h", Month: 3, Lent: 10, Terms: Terms{Name: "b", PerSecond: -1, Monthly: 100}}
	if !sound.Valid() {
		t.Error("a sound one is refused")
	}
	for name, bad := range map[string]func(l *LeaseReply){
		"another name":    func(l *LeaseReply) { l.Terms.Name = "" },
		"endless":         func(l *LeaseReply) { l.Lent = math.Inf(1) },
		"no number":       func(l *LeaseReply) { l.Lent = math.NaN() },
		"negative":        func(l *LeaseReply) { l.Lent = -1 },
		"terms":           func(l *LeaseReply) { l.Terms.Monthly = math.NaN() },
		"a wait":          func(l *LeaseReply) { l.After = -time.Second },
		"a wait of years": func(l *LeaseReply) { l.After = math.MaxInt64 },
		"a far month":     func(l *LeaseReply) { l.Month = 1 << 40 },
	} {
		l := sound
		bad(&l)
		if l.Valid() {
			t.Errorf("%s: %+v is taken", name, l)
		}
	}
}

// Anybody who reaches the port can say to be a holder: a keeper's memory has a bound, and the holders that it knows go on.
func TestAKeeperKnowsSoManyHolders(t *testing.T) {
	k := NewOwner(Terms{Name: "b", PerSecond: -1, Monthly: 1e9}, 0, Month{Number: 1, Remaining: time.Hour}, 0, 0, 0, func(_ string, _ int64, _ float64, done func()) {
		if done != nil {
			done()
		}
	})
	answers := 0
	for i := range mostHolders + 100 {
		k.HandleRequest(0, Month{Number: 1, Remaining: time.Hour}, LeaseRequest{Name: "b", Holder: fmt.Sprint(i), Month: 1}, func(LeaseReply) { answers++ })
	}
	k.HandleRequest(0, Month{Number: 1, Remaining: time.Hour}, LeaseRequest{Name: "b", Holder: "0", Month: 1, Wanted: 5}, func(l LeaseReply) { answers += int(l.Lent) })
	if len(k.by) != mostHolders || answers != mostHolders+5 {
		t.Errorf("%d holders, %d answers", len(k.by), answers)
	}
}
