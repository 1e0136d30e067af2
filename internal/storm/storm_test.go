package storm

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stream feeds tries at a rate for a while, of which a share asks again, and a share of all ends badly.
func stream(g *Guard, from, span time.Duration, perS, again, bad float64) time.Duration {
	step := time.Duration(float64(time.Second) / perS)
	a, b := 0.0, 0.0
	for now := from; now < from+span; now += step {
		a, b = a+again, b+bad
		g.Arrive(now, a >= 1, 0, 0)
		g.Answered(now, b < 1, 0)
		if a >= 1 {
			a--
		}
		if b >= 1 {
			b--
		}
	}
	return from + span
}

func TestAStormIsToldAtOneQuestionASecondAndAtThreeHundred(t *testing.T) {
	for _, perS := range []float64{1, 10, 300} {
		g := New(time.Second, 1, 1)
		now := stream(g, time.Second, 30*time.Second, perS, 0.08, 0.02)
		if g.On(now) {
			t.Errorf("at %g a second: a storm of 8%% that ask again", perS)
		}
		now = stream(g, now, 12*time.Second, perS, 0.7, 0.5)
		if !g.On(now) {
			t.Errorf("at %g a second: no storm though 70%% ask again", perS)
		}
		now = stream(g, now, 60*time.Second, perS, 0.02, 0)
		if g.On(now) && perS > 1 || g.On(now+time.Minute) && perS > 1 {
			t.Errorf("at %g a second: a storm a minute after its end", perS)
		}
		if g.Counts.Storms != 1 {
			t.Errorf("at %g a second: %d storms were told", perS, g.Counts.Storms)
		}
	}
}

func TestClientsThatAskAgainForTheirOwnReasonsAreNoStorm(t *testing.T) {
	g := New(time.Second, 1, 1)
	if now := stream(g, time.Second, 20*time.Second, 50, 0.6, 0); g.On(now) || g.Counts.Refused > 0 {
		t.Error("a storm, though nothing was declined or lost")
	}
}

func TestReturnsAreSpreadOverWhatCanBeServed(t *testing.T) {
	g := New(10*time.Second, 1, 1)
	now := stream(g, time.Second, 20*time.Second, 50, 0, 0.3) // 35 a second are answered, 50 asked for
	slots := map[time.Duration]int{}
	var last time.Duration
	for range 60 {
		after, ticket := g.Book(now)
		if after < firstWait/2 || after > 10*time.Second || ticket == 0 {
			t.Fatalf("come back after %v", after)
		}
		slots[(now+after)/time.Second]++
		last = max(last, after)
	}
	for s, n := range slots {
		if n > 12 { // 34 have room, 26 are too many for what clients heed and come late
			t.Errorf("%d are to come back in second %d", n, s)
		}
	}
	if last < 8*time.Second {
		t.Errorf("60 returns into a tenth of 35 a second end after %v", last)
	}
}

func TestAClientThatKeptItsTimeHasItsPlaceAndOthersHaveNot(t *testing.T) {
	g := New(5*time.Second, 1, 1)
	now := stream(g, time.Second, 20*time.Second, 20, 0.7, 0.6)
	for range 100 { // the budget is spent
		g.Arrive(now, true, 0, 0)
	}
	admit, after, ticket := g.Arrive(now, true, 0, 0)
	if admit || after <= 0 || ticket == 0 {
		t.Fatalf("admitted %v, after %v", admit, after)
	}
	if early, _, _ := g.Arrive(now, true, 0, ticket); early {
		t.Error("one that came at once has its place")
	}
	_, after, ticket = g.Arrive(now, true, 0, 0)
	if kept, _, _ := g.Arrive(now+after, true, 0, ticket); !kept {
		t.Error("one that kept its time has no place")
	}
	if twice, _, _ := g.Arrive(now+after, true, 0, ticket); twice {
		t.Error("a place was taken twice")
	}
	if first, _, _ := g.Arrive(now+after, false, 0, 0); !first {
		t.Error("a first try was refused")
	}
}

func TestOneChannelsStormLeavesTheOthersTheirBudget(t *testing.T) {
	g := New(5*time.Second, 2, 1)
	now := time.Second
	for i := range 2000 {
		now += 10 * time.Millisecond
		g.Arrive(now, i%2 == 0, 0, 0)
		g.Answered(now, i%2 == 0, i/2%2)
	}
	in := 0
	for range 500 {
		now += 10 * time.Millisecond
		g.Arrive(now, true, 0, 0)
		if ok, _, _ := g.Arrive(now, true, 1, 0); ok {
			in++
		}
		g.Answered(now, true, 1)
		g.Answered(now, false, 0)
	}
	if in == 0 {
		t.Error("channel 1 has no budget")
	}
}

// Whatever arrives: first tries are let in; advice lies within what clients heed; memory is bounded; no ticket admits twice.
func TestGuardUnderRandomTries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heed := time.Duration(rapid.IntRange(0, 20000).Draw(t, "heed")) * time.Millisecond
		g := New(heed, 3, rapid.Uint64().Draw(t, "seed"))
		now := time.Second
		var tickets []uint64
		used := map[uint64]bool{}
		for range rapid.IntRange(1, 400).Draw(t, "tries") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			again := rapid.Bool().Draw(t, "again")
			ticket := uint64(0)
			if len(tickets) > 0 && again && rapid.Bool().Draw(t, "with") {
				ticket = tickets[rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket")]
			}
			kept := g.Counts.Kept
			admit, after, next := g.Arrive(now, again, rapid.IntRange(-1, 4).Draw(t, "channel"), ticket)
			if !again && !admit {
				t.Fatal("a first try was refused")
			}
			if !admit && heed > 0 && (after <= 0 || after > heed) || !admit && heed == 0 && after != 0 {
				t.Fatalf("come back after %v, clients heed %v", after, heed)
			}
			if g.Counts.Kept > kept {
				if used[ticket] {
					t.Fatal("a ticket admitted twice")
				}
				used[ticket] = true
			}
			if next != 0 {
				tickets = append(tickets, next)
			}
			g.Answered(now, rapid.Bool().Draw(t, "well"), 0)
		}
		if len(g.slots) > mostSlots+2 || len(g.booked) > len(tickets) {
			t.Fatalf("%d slots, %d bookings", len(g.slots), len(g.booked))
		}
	})
}
