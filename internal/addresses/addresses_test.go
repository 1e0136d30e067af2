package addresses

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	socket       = Spec{Network: Unix, Addr: "/run/b.sock"}
	loopback     = Spec{Network: TCP6, Addr: "[::1]:80"}
	ipv6         = Spec{Network: TCP6, Addr: "[2001:db8::1]:80"}
	ipv4         = Spec{Network: TCP4, Addr: "10.0.0.1:80"}
	otherIPv4    = Spec{Network: TCP4, Addr: "10.0.0.2:80"}
	uniqueLocal6 = Spec{Network: TCP6, Addr: "[fd00::1]:80"}
)

func newTracker(specs ...Spec) *Tracker {
	b := NewTracker(1)
	b.Set(specs)
	return b
}

func join(list []*Address) string {
	var texts []string
	for _, a := range list {
		texts = append(texts, a.Addr)
	}
	return strings.Join(texts, " ")
}

func withPreference(s Spec, n int) Spec { s.Preference = n; return s }

func TestOrderByPreferenceAndPrecedenceWithAlternatingFamilies(t *testing.T) {
	for _, c := range []struct {
		name string
		in   []Spec
		want []Spec
	}{
		{"socket, loopback, IPv6, IPv4", []Spec{ipv4, ipv6, loopback, socket}, []Spec{socket, loopback, ipv4, ipv6}},
		{"families alternate", []Spec{ipv4, otherIPv4, ipv6}, []Spec{ipv6, ipv4, otherIPv4}},
		{"unique local addresses come last", []Spec{uniqueLocal6, ipv4}, []Spec{ipv4, uniqueLocal6}},
		{"a preferred address comes first",
			[]Spec{socket, withPreference(ipv4, -1), loopback}, []Spec{ipv4, socket, loopback}},
		{"a duplicate is ignored", []Spec{ipv4, ipv4}, []Spec{ipv4}},
	} {
		if got, want := join(newTracker(c.in...).Order(0)), join(newTracker(c.want...).addresses); got != want {
			t.Errorf("%s: %s, not %s", c.name, got, want)
		}
	}
}

func TestSuspectedAddressMovesBackButIsStillTried(t *testing.T) {
	tracker := newTracker(socket, ipv4)
	for range 6 {
		tracker.Record(time.Second, tracker.addresses[0], TimedOut, 0)
	}
	first := 0
	for range 2000 {
		if tracker.Order(time.Second)[0].Addr == socket.Addr {
			first++
		}
	}
	if first == 0 || first > 200 {
		t.Errorf("the suspected address came first %d times of 2000", first)
	}
	tracker.Record(2*time.Second, tracker.addresses[0], Verified, time.Millisecond)
	tracker.Record(2*time.Second, tracker.addresses[0], Served, 0)
	if later := 60 * time.Second; tracker.Order(later)[0].Addr != socket.Addr {
		t.Error("a minute after it was verified again the address is still suspected")
	}
}

// run simulates a race in virtual time: outcome gives, for each address, how long its attempt takes and its result.
func run(
	tracker *Tracker, start, limit time.Duration, outcome func(addr *Address) (time.Duration, Result),
) (winner *Address, took time.Duration, started []*Address) {
	type attempt struct {
		address *Address
		endsAt  time.Duration
		result  Result
	}
	var inFlight []attempt
	now := start
	race := tracker.Race(now, now+limit)
	for steps := 0; steps < 1000; steps++ {
		addr, wait, over := race.Next(now)
		if addr != nil {
			started = append(started, addr)
			d, result := outcome(addr)
			inFlight = append(inFlight, attempt{addr, now + d, result})
			continue
		}
		if over {
			break
		}
		next := now + wait
		slices.SortStableFunc(inFlight, func(x, y attempt) int { return int(x.endsAt - y.endsAt) })
		if len(inFlight) > 0 && inFlight[0].endsAt <= next {
			x := inFlight[0]
			inFlight = inFlight[1:]
			now = max(now, x.endsAt)
			if race.Record(now, x.address, x.result, now-start) {
				winner = x.address
				break
			}
			continue
		}
		now = next
	}
	race.End(now)
	return winner, now - start, started
}

func TestFailoverTimeIsBounded(t *testing.T) {
	const never = time.Hour
	fast := func(addr *Address) (time.Duration, Result) { return time.Millisecond, Verified }
	for _, c := range []struct {
		name     string
		outcome  func(*Address) (time.Duration, Result)
		want     string
		maxTime  time.Duration
		attempts int
	}{
		{"all addresses work", fast, socket.Addr, time.Millisecond, 1},
		{"the first refuses", func(addr *Address) (time.Duration, Result) {
			if addr.Network == Unix {
				return time.Millisecond, Refused
			}
			return fast(addr)
		}, loopback.Addr, 3 * time.Millisecond, 2},
		{"the first stalls", func(addr *Address) (time.Duration, Result) {
			if addr.Network == Unix {
				return never, TimedOut
			}
			return fast(addr)
		}, loopback.Addr, maxStagger + time.Millisecond, 2},
		{"two stall", func(addr *Address) (time.Duration, Result) {
			if addr.Network != TCP4 {
				return never, TimedOut
			}
			return fast(addr)
		}, ipv4.Addr, 2*maxStagger + time.Millisecond, 3},
		{"all refuse", func(addr *Address) (time.Duration, Result) {
			return time.Millisecond, Refused
		}, "", 4 * time.Millisecond, 3},
		{"all stall", func(addr *Address) (time.Duration, Result) {
			return never, TimedOut
		}, "", 250 * time.Millisecond, 3},
		{"another backend responds at the first", func(addr *Address) (time.Duration, Result) {
			if addr.Network == Unix {
				return time.Millisecond, WrongBackend
			}
			return fast(addr)
		}, loopback.Addr, 3 * time.Millisecond, 2},
	} {
		winner, took, started := run(newTracker(socket, loopback, ipv4), time.Second, 250*time.Millisecond, c.outcome)
		got := ""
		if winner != nil {
			got = winner.Addr
		}
		if got != c.want || took > c.maxTime || len(started) != c.attempts {
			t.Errorf("%s: %q after %v with %d attempts, want %q within %v with %d",
				c.name, got, took, len(started), c.want, c.maxTime, c.attempts)
		}
	}
}

func TestAddressRemovedDuringItsAttemptDoesNotWin(t *testing.T) {
	tracker := newTracker(socket, ipv4)
	race := tracker.Race(0, time.Second)
	a, _, _ := race.Next(0)
	if removed := tracker.Set([]Spec{ipv4}); len(removed) != 1 || removed[0] != a {
		t.Fatalf("removed %v", join(removed))
	}
	if race.Record(time.Millisecond, a, Verified, time.Millisecond) {
		t.Error("the removed address won")
	}
	if next, _, _ := race.Next(time.Millisecond); next == nil || next.Addr != ipv4.Addr {
		t.Errorf("the next attempt is at %v", next)
	}
}

// Whatever the results and their order, a race has at most one winner, tries each address at most once, ends by its
// deadline, and finds an address that verifies in time while the others fail or stall.
func TestRaceInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "addresses")
		var specs []Spec
		for i := range count {
			switch rapid.IntRange(0, 2).Draw(t, "family") {
			case 0:
				specs = append(specs, Spec{Network: Unix, Addr: fmt.Sprintf("/s%d", i)})
			case 1:
				specs = append(specs, Spec{Network: TCP4, Addr: fmt.Sprintf("10.0.0.%d:1", i+1)})
			default:
				specs = append(specs, Spec{Network: TCP6, Addr: fmt.Sprintf("[2001:db8::%d]:1", i+1)})
			}
			specs[i].Preference = rapid.IntRange(0, 1).Draw(t, "prefer")
		}
		tracker := NewTracker(rapid.Uint64().Draw(t, "seed"))
		tracker.Set(specs)
		now := time.Second
		const limit = 250 * time.Millisecond
		for range rapid.IntRange(1, 30).Draw(t, "races") {
			durations := map[*Address]time.Duration{}
			results := map[*Address]Result{}
			working := false
			for _, addr := range tracker.addresses {
				durations[addr] = time.Duration(rapid.IntRange(0, 400).Draw(t, "ends")) * time.Millisecond
				results[addr] = Result(rapid.IntRange(int(Verified), int(WrongBackend)).Draw(t, "how"))
				working = working || results[addr] == Verified && durations[addr] < time.Millisecond
			}
			winner, took, started := run(tracker, now, limit, func(addr *Address) (time.Duration, Result) {
				return durations[addr], results[addr]
			})
			if took > limit || len(started) > count {
				t.Fatalf("took %v with %d attempts at %d addresses", took, len(started), count)
			}
			for i, addr := range started {
				if slices.Contains(started[:i], addr) {
					t.Fatalf("%v was tried twice in one race", addr)
				}
			}
			if winner != nil && results[winner] != Verified {
				t.Fatalf("%v won with result %v", winner, results[winner])
			}
			// The last attempt starts after at most count-1 staggers, within the limit for up to four addresses.
			if working && winner == nil && time.Duration(count-1)*maxStagger < limit {
				t.Fatalf("a working address was not found")
			}
			for _, addr := range tracker.addresses {
				if addr.attemptsInFlight != 0 {
					t.Fatalf("%v has an attempt in flight after the race", addr)
				}
			}
			now += took + time.Duration(rapid.IntRange(0, 5000).Draw(t, "rest"))*time.Millisecond
		}
	})
}

func TestRechecksStayWithinBudgetAndReachEverySuspectedAddress(t *testing.T) {
	var trackers []*Tracker
	for i := range 79 {
		tracker := NewTracker(uint64(i))
		tracker.Set([]Spec{
			{Network: TCP4, Addr: fmt.Sprintf("10.0.%d.1:1", i)},
			{Network: TCP4, Addr: fmt.Sprintf("10.0.%d.2:1", i)},
			{Network: Unix, Addr: fmt.Sprintf("/%d", i)},
		})
		for _, addr := range tracker.addresses {
			for range 5 {
				addr.attempted = true
				tracker.Record(0, addr, Refused, 0)
			}
		}
		trackers = append(trackers, tracker)
	}
	var budget RecheckBudget
	rechecks := map[*Address]int{}
	total := 0
	const span = 300 * time.Second
	for now := time.Second; now < span; now += 50 * time.Millisecond {
		if tracker, addr := budget.Next(now, trackers); addr != nil {
			rechecks[addr]++
			total++
			tracker.RecordRecheck(now, addr, Refused, 0)
		}
	}
	if limit := int(recheckBurst + rechecksPerSecond*span.Seconds()); total > limit || total < limit/2 {
		t.Errorf("%d rechecks in %v, at most %d are allowed", total, span, limit)
	}
	if len(rechecks) != 79*3 {
		t.Errorf("%d of %d addresses were rechecked", len(rechecks), 79*3)
	}
}

func TestCheckRejectsInvalidSpecs(t *testing.T) {
	for _, s := range []Spec{
		{Unix, "b.sock", 0}, {TCP4, "[::1]:80", 0}, {TCP6, "10.0.0.1:80", 0}, {TCP4, "10.0.0.1:0", 0},
		{TCP4, "backend-7:80", 0}, {"udp", "10.0.0.1:80", 0}, {Unix, "/" + strings.Repeat("x", 120), 0},
	} {
		if s.Check() == nil {
			t.Errorf("%v passes", s)
		}
	}
	for _, s := range []Spec{socket, loopback, ipv6, ipv4, uniqueLocal6} {
		if err := s.Check(); err != nil {
			t.Errorf("%v: %v", s, err)
		}
	}
}
