package storm

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// own is the seal of a dispatcher whose key no other has.
var own = TicketSigner{Key: []byte("a key of one"), Issuer: 1}

// stream feeds tries at a rate for a while, of which a share asks again, and a share of all ends badly.
func stream(g *RetryThrottle, from, span time.Duration, perS, again, bad float64) time.Duration {
	step := time.Duration(float64(time.Second) / perS)
	a, b := 0.0, 0.0
	for now := from; now < from+span; now += step {
		a, b = a+again, b+bad
		g.Admit(now, a >= 1, 0, "")
		g.RequestDone(now, b < 1, a < 1, b < 1, 0)
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
		g := New(time.Second, 1, 1, own)
		now := stream(g, time.Second, 30*time.Second, perS, 0.08, 0.02)
		if g.Active(now) {
			t.Errorf("at %g a second: a storm of 8%% that ask again", perS)
		}
		now = stream(g, now, 12*time.Second, perS, 0.7, 0.5)
		if !g.Active(now) {
			t.Errorf("at %g a second: no storm though 70%% ask again", perS)
		}
		now = stream(g, now, 60*time.Second, perS, 0.02, 0)
		if g.Active(now) && perS > 1 || g.Active(now+time.Minute) && perS > 1 {
			t.Errorf("at %g a second: a storm a minute after its end", perS)
		}
		if g.Counters.Activations != 1 {
			t.Errorf("at %g a second: %d storms were told", perS, g.Counters.Activations)
		}
	}
}

func TestClientsThatAskAgainForTheirOwnReasonsAreNoStorm(t *testing.T) {
	g := New(time.Second, 1, 1, own)
	if now := stream(g, time.Second, 20*time.Second, 50, 0.6, 0); g.Active(now) || g.Counters.Rejected > 0 {
		t.Error("a storm, though nothing was declined or lost")
	}
}

func TestReturnsAreSpreadOverWhatCanBeServed(t *testing.T) {
	g := New(10*time.Second, 1, 1, own)
	now := stream(g, time.Second, 20*time.Second, 50, 0, 0.3) // 35 a second are answered, 50 asked for
	g.share = 1
	slots, places := map[time.Duration]int{}, 0
	var last time.Duration
	for range 60 {
		after, ticket := g.BookRetry(now)
		if after < firstWait/2 || after > 10*time.Second {
			t.Fatalf("come back after %v", after)
		}
		if ticket != "" {
			places++
		}
		slots[(now+after)/time.Second]++
		last = max(last, after)
	}
	for s, n := range slots {
		if n > 14 { // 34 have room, 26 are too many for what clients heed and come late
			t.Errorf("%d are to come back in second %d", n, s)
		}
	}
	if places < 30 || places > 38 {
		t.Errorf("%d have a place, for 34 there is room", places)
	}
	if last < 8*time.Second {
		t.Errorf("60 returns into a tenth of 35 a second end after %v", last)
	}
}

func TestAClientThatKeptItsTimeHasItsPlaceAndOthersHaveNot(t *testing.T) {
	g := New(5*time.Second, 1, 1, own)
	now := stream(g, time.Second, 20*time.Second, 20, 0.7, 0.6)
	g.share = 1
	g.channels[0].budget.tokens = -1000 // spent
	admit, after, ticket := g.Admit(now, true, 0, "")
	if admit || after <= 0 || ticket == "" {
		t.Fatalf("admitted %v, after %v", admit, after)
	}
	if early, _, _ := g.Admit(now, true, 0, ticket); early {
		t.Error("one that came at once has its place")
	}
	_, after, ticket = g.Admit(now, true, 0, "")
	if kept, _, _ := g.Admit(now+after, true, 0, ticket); !kept {
		t.Error("one that kept its time has no place")
	}
	if g.Admit(now+after, true, 0, ticket); g.Counters.Redeemed != 1 {
		t.Error("a place was taken twice")
	}
	if first, _, _ := g.Admit(now+after, false, 0, ""); !first {
		t.Error("a first try was refused")
	}
}

func TestOneChannelsStormLeavesTheOthersTheirBudget(t *testing.T) {
	g := New(5*time.Second, 2, 1, own)
	now := time.Second
	for i := range 2000 {
		now += 10 * time.Millisecond
		g.Admit(now, i%2 == 0, 0, "")
		g.RequestDone(now, i%2 == 0, false, false, i/2%2)
	}
	in := 0
	for range 500 {
		now += 10 * time.Millisecond
		g.Admit(now, true, 0, "")
		if ok, _, _ := g.Admit(now, true, 1, ""); ok {
			in++
		}
		g.RequestDone(now, true, false, false, 1)
		g.RequestDone(now, false, false, false, 0)
	}
	if in == 0 {
		t.Error("channel 1 has no budget")
	}
}

// Whatever arrives: first tries are let in; advice lies within what clients heed; memory is bounded; no ticket admits twice.
func TestGuardUnderRandomTries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heed := time.Duration(rapid.IntRange(0, 20000).Draw(t, "heed")) * time.Millisecond
		g := New(heed, 3, rapid.Uint64().Draw(t, "seed"), own)
		now := time.Second
		var tickets []string
		used := map[string]bool{}
		for range rapid.IntRange(1, 400).Draw(t, "tries") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			again := rapid.Bool().Draw(t, "again")
			ticket := ""
			if len(tickets) > 0 && again && rapid.Bool().Draw(t, "with") {
				ticket = tickets[rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket")]
			}
			kept := g.Counters.Redeemed
			admit, after, next := g.Admit(now, again, rapid.IntRange(-1, 4).Draw(t, "channel"), ticket)
			if !again && !admit {
				t.Fatal("a first try was refused")
			}
			if !admit && heed > 0 && (after <= 0 || after > heed) || !admit && heed == 0 && after != 0 {
				t.Fatalf("come back after %v, clients heed %v", after, heed)
			}
			if g.Counters.Redeemed > kept {
				if used[ticket] {
					t.Fatal("a ticket admitted twice")
				}
				used[ticket] = true
			}
			if next != "" {
				tickets = append(tickets, next)
			}
			g.RequestDone(now, rapid.Bool().Draw(t, "well"), !again, rapid.Bool().Draw(t, "in time"), 0)
		}
		if len(g.slots) > mostSlots+2 || len(g.used) > len(tickets) {
			t.Fatalf("%d slots, %d used", len(g.slots), len(g.used))
		}
	})
}

func TestATicketIsGoodAtADispatcherThatHasTheKey(t *testing.T) {
	key := []byte("a key of the fleet")
	a := New(5*time.Second, 1, 1, TicketSigner{Key: key, StartedAt: 1000 * time.Hour, Issuer: 1})
	b := New(5*time.Second, 1, 2, TicketSigner{Key: key, StartedAt: 1000*time.Hour + 7*time.Second, Issuer: 2}) // started 7 s later
	other := New(5*time.Second, 1, 3, own)
	now := stream(a, time.Second, 20*time.Second, 20, 0.7, 0.6)
	stream(b, time.Second, 13*time.Second, 20, 0.7, 0.6)
	stream(other, time.Second, 20*time.Second, 20, 0.7, 0.6)
	a.share = 1
	after, ticket := a.BookRetry(now)
	if other.keeps(now+after, ticket) || other.Counters.InvalidTickets == 0 {
		t.Error("a ticket of another key has a place")
	}
	if b.keeps(now+after, ticket) {
		t.Error("b takes a's time for its own")
	}
	if at := now + after - 7*time.Second; !b.keeps(at, ticket) || b.keeps(at, ticket) || b.Counters.FromPeers != 1 {
		t.Errorf("at b: %+v", b.Counters)
	}
}

// One ticket shown at every dispatcher, or many of a giver that gives too many, gain no more than a dispatcher can serve.
func TestTicketsFromElsewhereAreLimited(t *testing.T) {
	key := []byte("a key of the fleet")
	b := New(5*time.Second, 1, 2, TicketSigner{Key: key, Issuer: 2})
	now := stream(b, time.Second, 20*time.Second, 20, 0.7, 0.6) // some 8 a second are answered
	giver := TicketSigner{Key: key, Issuer: 1}
	in := 0
	for i := range 1000 {
		if b.keeps(now, giver.Sign(now, uint64(i))) {
			in++
		}
	}
	if in == 0 || in > 24 {
		t.Errorf("%d of 1,000 tickets of one moment have a place", in)
	}
}

func TestAChangedTicketIsNone(t *testing.T) {
	text := []byte(own.Sign(time.Second, 7))
	for i := range text {
		changed := append([]byte(nil), text...)
		if changed[i] = 'A'; changed[i] == text[i] {
			changed[i] = 'B'
		}
		if got, ok := own.Verify(string(changed)); ok {
			t.Errorf("with character %d changed it says %+v", i, got)
		}
	}
	if got, ok := own.Verify(string(text)); !ok || got.Due != time.Second || got.Serial != 7 || got.Issuer != 1 {
		t.Errorf("it says %+v, %v", got, ok)
	}
}

func TestFurtherTripsAreAFifthOfFirstOnesWhenAllFail(t *testing.T) {
	g := New(5*time.Second, 1, 1, own)
	further, first := 0, 0
	for now := time.Second; now < 61*time.Second; now += 10 * time.Millisecond { // 100 a second, all of which fail
		g.AttemptSent(now, false)
		first++
		for range 3 {
			if g.AllowReattempt(now) {
				g.AttemptSent(now, true)
				further++
			}
		}
	}
	// A fifth, one a second, and the first burst.
	if further < first/6 || further > first/5+60+210 {
		t.Errorf("%d further trips for %d first ones", further, first)
	}
	g = New(5*time.Second, 1, 1, own)
	for now := time.Second; now < 61*time.Second; now += 10 * time.Millisecond {
		g.AttemptSent(now, false)
		if now%(100*time.Millisecond) == 0 { // one in ten fails
			if !g.AllowReattempt(now) {
				t.Fatal("a question that failed once has no further trip")
			}
			g.AttemptSent(now, true)
		}
	}
}

// Returns that push first tries out make them returns in turn: the fleet then stays down with all clients following.
func TestReturnsGiveWayToFirstTriesThatAreLost(t *testing.T) {
	g := New(10*time.Second, 1, 1, own)
	now := stream(g, time.Second, 20*time.Second, 50, 0.3, 0.002)
	before := g.share
	now = stream(g, now, 5*time.Second, 50, 0.3, 0.4)
	lost := g.share
	stream(g, now, 60*time.Second, 50, 0.3, 0)
	if before < 0.5 || lost != leastShare || g.share < 0.9 {
		t.Errorf("of the room for returns %.2f is booked at 2%% lost, %.2f at 40%%, %.2f a minute after", before, lost, g.share)
	}
}
