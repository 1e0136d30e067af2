package retrythrottle

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// ownSigner is the signer of a dispatcher whose key no other has.
var ownSigner = TicketSigner{Key: []byte("a key of one"), Issuer: 1}

// simulate submits tries at a rate for some time, of which a share are retries and a share are not served. It returns
// the time at the end.
func simulate(
	throttle *RetryThrottle, start, length time.Duration, perSecond, retryShare, unservedShare float64,
) time.Duration {
	step := time.Duration(float64(time.Second) / perSecond)
	retries, unserved := 0.0, 0.0
	for now := start; now < start+length; now += step {
		retries, unserved = retries+retryShare, unserved+unservedShare
		throttle.Admit(now, retries >= 1, 0, "")
		throttle.RequestDone(now, unserved < 1, retries < 1, unserved < 1, 0)
		if retries >= 1 {
			retries--
		}
		if unserved >= 1 {
			unserved--
		}
	}
	return start + length
}

func TestThrottlingStartsAndStopsAtLowAndHighRates(t *testing.T) {
	for _, perSecond := range []float64{1, 10, 300} {
		throttle := New(time.Second, 1, 1, ownSigner)
		now := simulate(throttle, time.Second, 30*time.Second, perSecond, 0.08, 0.02)
		if throttle.Active(now) {
			t.Errorf("at %g a second: throttling is active at 8%% retries", perSecond)
		}
		now = simulate(throttle, now, 12*time.Second, perSecond, 0.7, 0.5)
		if !throttle.Active(now) {
			t.Errorf("at %g a second: throttling is not active at 70%% retries", perSecond)
		}
		now = simulate(throttle, now, 60*time.Second, perSecond, 0.02, 0)
		if throttle.Active(now) && perSecond > 1 || throttle.Active(now+time.Minute) && perSecond > 1 {
			t.Errorf("at %g a second: throttling is active a minute after the retries ended", perSecond)
		}
		if throttle.Counters.Activations != 1 {
			t.Errorf("at %g a second: throttling started %d times, want 1", perSecond, throttle.Counters.Activations)
		}
	}
}

func TestRetriesWithoutRejectionsAreNotThrottled(t *testing.T) {
	throttle := New(time.Second, 1, 1, ownSigner)
	if now := simulate(throttle, time.Second, 20*time.Second, 50, 0.6, 0); throttle.Active(now) ||
		throttle.Counters.Rejected > 0 {
		t.Error("throttling is active, though nothing was rejected or failed")
	}
}

func TestRetriesAreSpreadOverFreeCapacity(t *testing.T) {
	throttle := New(10*time.Second, 1, 1, ownSigner)
	now := simulate(throttle, time.Second, 20*time.Second, 50, 0, 0.3) // 35 of 50 requests a second are served
	throttle.bookingShare = 1
	perSecond, tickets := map[time.Duration]int{}, 0
	var last time.Duration
	for range 60 {
		after, ticket := throttle.BookRetry(now)
		if after < minWait/2 || after > 10*time.Second {
			t.Fatalf("a client is told to come back after %v", after)
		}
		if ticket != "" {
			tickets++
		}
		perSecond[(now+after)/time.Second]++
		last = max(last, after)
	}
	for second, n := range perSecond {
		if n > 14 { // 34 have a place; 26 are too many for the time that clients wait, and come late
			t.Errorf("%d clients are told to come back in second %d", n, second)
		}
	}
	if tickets < 30 || tickets > 38 {
		t.Errorf("%d clients have a place, want about 34", tickets)
	}
	if last < 8*time.Second {
		t.Errorf("60 retries into a tenth of 35 a second are spread over %v only", last)
	}
}

func TestATicketAdmitsOnceAtItsTime(t *testing.T) {
	throttle := New(5*time.Second, 1, 1, ownSigner)
	now := simulate(throttle, time.Second, 20*time.Second, 20, 0.7, 0.6)
	throttle.bookingShare = 1
	throttle.tenants[0].budget.tokens = -1000 // used up
	admit, after, ticket := throttle.Admit(now, true, 0, "")
	if admit || after <= 0 || ticket == "" {
		t.Fatalf("admitted %v, after %v", admit, after)
	}
	if early, _, _ := throttle.Admit(now, true, 0, ticket); early {
		t.Error("a client that came at once was admitted by its ticket")
	}
	_, after, ticket = throttle.Admit(now, true, 0, "")
	if admitted, _, _ := throttle.Admit(now+after, true, 0, ticket); !admitted {
		t.Error("a client that came at its time was rejected")
	}
	if throttle.Admit(now+after, true, 0, ticket); throttle.Counters.Redeemed != 1 {
		t.Error("a ticket was redeemed twice")
	}
	if first, _, _ := throttle.Admit(now+after, false, 0, ""); !first {
		t.Error("a first try was rejected")
	}
}

// The retries of one tenant must not use up the budget of another.
func TestEachTenantHasItsOwnRetryBudget(t *testing.T) {
	throttle := New(5*time.Second, 2, 1, ownSigner)
	now := time.Second
	for i := range 2000 {
		now += 10 * time.Millisecond
		throttle.Admit(now, i%2 == 0, 0, "")
		throttle.RequestDone(now, i%2 == 0, false, false, i/2%2)
	}
	admitted := 0
	for range 500 {
		now += 10 * time.Millisecond
		throttle.Admit(now, true, 0, "")
		if ok, _, _ := throttle.Admit(now, true, 1, ""); ok {
			admitted++
		}
		throttle.RequestDone(now, true, false, false, 1)
		throttle.RequestDone(now, false, false, false, 0)
	}
	if admitted == 0 {
		t.Error("no retry of tenant 1 was admitted")
	}
}

// For random tries: first tries are admitted, waits lie within what clients follow, memory is bounded, and no ticket
// admits twice.
func TestThrottleUnderRandomTries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxWait := time.Duration(rapid.IntRange(0, 20000).Draw(t, "max wait")) * time.Millisecond
		throttle := New(maxWait, 3, rapid.Uint64().Draw(t, "seed"), ownSigner)
		now := time.Second
		var tickets []string
		used := map[string]bool{}
		for range rapid.IntRange(1, 400).Draw(t, "tries") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			isRetry := rapid.Bool().Draw(t, "is retry")
			ticket := ""
			if len(tickets) > 0 && isRetry && rapid.Bool().Draw(t, "use ticket") {
				ticket = tickets[rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket")]
			}
			redeemed := throttle.Counters.Redeemed
			admit, after, next := throttle.Admit(now, isRetry, rapid.IntRange(-1, 4).Draw(t, "tenant"), ticket)
			if !isRetry && !admit {
				t.Fatal("a first try was rejected")
			}
			if !admit && maxWait > 0 && (after <= 0 || after > maxWait) || !admit && maxWait == 0 && after != 0 {
				t.Fatalf("a client is told to wait %v, clients wait at most %v", after, maxWait)
			}
			if throttle.Counters.Redeemed > redeemed {
				if used[ticket] {
					t.Fatal("a ticket admitted twice")
				}
				used[ticket] = true
			}
			if next != "" {
				tickets = append(tickets, next)
			}
			throttle.RequestDone(now, rapid.Bool().Draw(t, "served"), !isRetry, rapid.Bool().Draw(t, "in time"), 0)
		}
		if len(throttle.booked) > maxSlots+2 || len(throttle.used) > len(tickets) {
			t.Fatalf("%d slots, %d used tickets", len(throttle.booked), len(throttle.used))
		}
	})
}

func TestATicketIsValidAtDispatchersWithTheSameKey(t *testing.T) {
	key := []byte("a key of the fleet")
	issuer := New(5*time.Second, 1, 1, TicketSigner{Key: key, StartedAt: 1000 * time.Hour, Issuer: 1})
	peer := New(5*time.Second, 1, 2, TicketSigner{Key: key, StartedAt: 1000*time.Hour + 7*time.Second, Issuer: 2})
	stranger := New(5*time.Second, 1, 3, ownSigner)
	now := simulate(issuer, time.Second, 20*time.Second, 20, 0.7, 0.6)
	simulate(peer, time.Second, 13*time.Second, 20, 0.7, 0.6) // started 7 s after the issuer
	simulate(stranger, time.Second, 20*time.Second, 20, 0.7, 0.6)
	issuer.bookingShare = 1
	after, ticket := issuer.BookRetry(now)
	if stranger.redeem(now+after, ticket) || stranger.Counters.InvalidTickets == 0 {
		t.Error("a ticket of another key was redeemed")
	}
	if peer.redeem(now+after, ticket) {
		t.Error("the peer takes the issuer's time since start for its own")
	}
	if due := now + after - 7*time.Second; !peer.redeem(due, ticket) || peer.redeem(due, ticket) ||
		peer.Counters.FromPeers != 1 {
		t.Errorf("at the peer: %+v", peer.Counters)
	}
}

// One ticket shown at every dispatcher, or many of an issuer that gives out too many, must not admit more than a
// dispatcher can serve.
func TestTicketsOfPeersAreLimitedToTheServiceRate(t *testing.T) {
	key := []byte("a key of the fleet")
	peer := New(5*time.Second, 1, 2, TicketSigner{Key: key, Issuer: 2})
	now := simulate(peer, time.Second, 20*time.Second, 20, 0.7, 0.6) // about 8 requests a second are served
	issuer := TicketSigner{Key: key, Issuer: 1}
	admitted := 0
	for i := range 1000 {
		if peer.redeem(now, issuer.Sign(now, uint64(i))) {
			admitted++
		}
	}
	if admitted == 0 || admitted > 24 {
		t.Errorf("%d of 1,000 tickets were redeemed at one moment", admitted)
	}
}

func TestAChangedTicketIsInvalid(t *testing.T) {
	text := []byte(ownSigner.Sign(time.Second, 7))
	for i := range text {
		changed := append([]byte(nil), text...)
		if changed[i] = 'A'; changed[i] == text[i] {
			changed[i] = 'B'
		}
		if got, ok := ownSigner.Verify(string(changed)); ok {
			t.Errorf("with character %d changed it verifies as %+v", i, got)
		}
	}
	if got, ok := ownSigner.Verify(string(text)); !ok || got.Due != time.Second || got.Serial != 7 || got.Issuer != 1 {
		t.Errorf("the ticket verifies as %+v, %v", got, ok)
	}
}

func TestReattemptsAreLimitedToAFifthOfFirstAttempts(t *testing.T) {
	throttle := New(5*time.Second, 1, 1, ownSigner)
	reattempts, first := 0, 0
	for now := time.Second; now < 61*time.Second; now += 10 * time.Millisecond { // 100 a second, all of which fail
		throttle.AttemptSent(now, false)
		first++
		for range 3 {
			if throttle.AllowReattempt(now) {
				throttle.AttemptSent(now, true)
				reattempts++
			}
		}
	}
	// A fifth of the first attempts, one a second, and the initial burst.
	if reattempts < first/6 || reattempts > first/5+60+210 {
		t.Errorf("%d reattempts for %d first attempts", reattempts, first)
	}
	throttle = New(5*time.Second, 1, 1, ownSigner)
	for now := time.Second; now < 61*time.Second; now += 10 * time.Millisecond {
		throttle.AttemptSent(now, false)
		if now%(100*time.Millisecond) == 0 { // one in ten fails
			if !throttle.AllowReattempt(now) {
				t.Fatal("a request whose first attempt failed gets no further one")
			}
			throttle.AttemptSent(now, true)
		}
	}
}

// Retries that displace first tries turn them into retries, and with all clients following their waits the fleet stays
// overloaded. So the booking share must shrink while first tries are lost, and recover after.
func TestTheBookingShareFollowsLostFirstTries(t *testing.T) {
	throttle := New(10*time.Second, 1, 1, ownSigner)
	now := simulate(throttle, time.Second, 20*time.Second, 50, 0.3, 0.002)
	before := throttle.bookingShare
	now = simulate(throttle, now, 5*time.Second, 50, 0.3, 0.4)
	during := throttle.bookingShare
	simulate(throttle, now, 60*time.Second, 50, 0.3, 0)
	if before < 0.5 || during != minBookingShare || throttle.bookingShare < 0.9 {
		t.Errorf("the booking share is %.2f at 0.2%% lost, %.2f at 40%%, %.2f a minute later",
			before, during, throttle.bookingShare)
	}
}

// The status page shows the counters under names that operators' tools read.
func TestCountersKeepTheirNamesInJSON(t *testing.T) {
	raw, err := json.Marshal(Counters{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
	want := `{"First":1,"Again":2,"Booked":3,"Kept":4,"Refused":5,"Budgeted":6,"Storms":7,` +
		`"Standby":8,"Elsewhere":9,"Forged":10,"Further":11,"Spent":12}`
	if err != nil || string(raw) != want {
		t.Errorf("got %s (%v), want %s", raw, err, want)
	}
}
