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
	sock  = Spec{Network: Unix, Addr: "/run/b.sock"}
	local = Spec{Network: TCP6, Addr: "[::1]:80"}
	six   = Spec{Network: TCP6, Addr: "[2001:db8::1]:80"}
	four  = Spec{Network: TCP4, Addr: "10.0.0.1:80"}
	four2 = Spec{Network: TCP4, Addr: "10.0.0.2:80"}
	ula   = Spec{Network: TCP6, Addr: "[fd00::1]:80"}
)

func book(specs ...Spec) *Tracker {
	b := NewBook(1)
	b.Set(specs)
	return b
}

func names(list []*Address) string {
	var out []string
	for _, a := range list {
		out = append(out, a.Addr)
	}
	return strings.Join(out, " ")
}

func prefer(s Spec, n int) Spec { s.Preference = n; return s }

func TestTheOrderIsTheStatedOne(t *testing.T) {
	for _, c := range []struct {
		name string
		in   []Spec
		want []Spec
	}{
		{"a socket, the loopback, IPv6, IPv4", []Spec{four, six, local, sock}, []Spec{sock, local, four, six}},
		{"families take turns", []Spec{four, four2, six}, []Spec{six, four, four2}},
		{"unique local addresses come last", []Spec{ula, four}, []Spec{four, ula}},
		{"what is preferred comes before all else", []Spec{sock, prefer(four, -1), local}, []Spec{four, sock, local}},
		{"a named address counts once", []Spec{four, four}, []Spec{four}},
	} {
		if got, want := names(book(c.in...).Order(0)), names(book(c.want...).list); got != want {
			t.Errorf("%s: %s, not %s", c.name, got, want)
		}
	}
}

func TestADoubtfulAddressMovesBackAndIsNeverForgotten(t *testing.T) {
	b := book(sock, four)
	for range 6 {
		b.Did(time.Second, b.list[0], Silent, 0)
	}
	first := 0
	for range 2000 {
		if b.Order(time.Second)[0].Addr == sock.Addr {
			first++
		}
	}
	if first == 0 || first > 200 {
		t.Errorf("it came first %d times of 2000", first)
	}
	b.Did(2*time.Second, b.list[0], Proven, time.Millisecond)
	b.Did(2*time.Second, b.list[0], Served, 0)
	if later := 60 * time.Second; b.Order(later)[0].Addr != sock.Addr {
		t.Error("a minute after it was proved again it is still in doubt")
	}
}

// run plays a race in virtual time: after gives, for each address, when it ends and how.
func run(b *Tracker, start, limit time.Duration, after func(a *Address) (time.Duration, Result)) (won *Address, took time.Duration, begun []*Address) {
	type attempt struct {
		a   *Address
		at  time.Duration
		res Result
	}
	var out []attempt
	now := start
	r := b.Race(now, now+limit)
	for steps := 0; steps < 1000; steps++ {
		a, wait, over := r.Next(now)
		if a != nil {
			begun = append(begun, a)
			d, res := after(a)
			out = append(out, attempt{a, now + d, res})
			continue
		}
		if over {
			break
		}
		next := now + wait
		slices.SortStableFunc(out, func(x, y attempt) int { return int(x.at - y.at) })
		if len(out) > 0 && out[0].at <= next {
			x := out[0]
			out = out[1:]
			now = max(now, x.at)
			if r.Did(now, x.a, x.res, now-start) {
				won = x.a
				break
			}
			continue
		}
		now = next
	}
	r.End(now)
	return won, now - start, begun
}

func TestFailOverTakesAsLongAsIsStated(t *testing.T) {
	const never = time.Hour
	quick := func(a *Address) (time.Duration, Result) { return time.Millisecond, Proven }
	for _, c := range []struct {
		name  string
		after func(*Address) (time.Duration, Result)
		want  string
		most  time.Duration
		begun int
	}{
		{"all is well", quick, sock.Addr, time.Millisecond, 1},
		{"the first refuses", func(a *Address) (time.Duration, Result) {
			if a.Network == Unix {
				return time.Millisecond, Refused
			}
			return quick(a)
		}, local.Addr, 3 * time.Millisecond, 2},
		{"the first stalls", func(a *Address) (time.Duration, Result) {
			if a.Network == Unix {
				return never, Silent
			}
			return quick(a)
		}, local.Addr, staggerMost + time.Millisecond, 2},
		{"two stall", func(a *Address) (time.Duration, Result) {
			if a.Network != TCP4 {
				return never, Silent
			}
			return quick(a)
		}, four.Addr, 2*staggerMost + time.Millisecond, 3},
		{"all refuse", func(a *Address) (time.Duration, Result) { return time.Millisecond, Refused }, "", 4 * time.Millisecond, 3},
		{"all stall", func(a *Address) (time.Duration, Result) { return never, Silent }, "", 250 * time.Millisecond, 3},
		{"another box answers at the first", func(a *Address) (time.Duration, Result) {
			if a.Network == Unix {
				return time.Millisecond, OtherOwner
			}
			return quick(a)
		}, local.Addr, 3 * time.Millisecond, 2},
	} {
		won, took, begun := run(book(sock, local, four), time.Second, 250*time.Millisecond, c.after)
		at := ""
		if won != nil {
			at = won.Addr
		}
		if at != c.want || took > c.most || len(begun) != c.begun {
			t.Errorf("%s: %q after %v with %d attempts, not %q within %v with %d", c.name, at, took, len(begun), c.want, c.most, c.begun)
		}
	}
}

func TestAnAddressDroppedWhileItIsTriedDoesNotWin(t *testing.T) {
	b := book(sock, four)
	r := b.Race(0, time.Second)
	a, _, _ := r.Next(0)
	if dropped := b.Set([]Spec{four}); len(dropped) != 1 || dropped[0] != a {
		t.Fatalf("dropped %v", names(dropped))
	}
	if r.Did(time.Millisecond, a, Proven, time.Millisecond) {
		t.Error("it won")
	}
	if next, _, _ := r.Next(time.Millisecond); next == nil || next.Addr != four.Addr {
		t.Errorf("then %v", next)
	}
}

// Whatever addresses do and in whatever order: one race binds one address at most, begins each at most once, never
// outlasts its limit, and finds one that proves in time if all others end or stall.
func TestRacesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "addresses")
		var specs []Spec
		for i := range n {
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
		b := NewBook(rapid.Uint64().Draw(t, "seed"))
		b.Set(specs)
		now := time.Second
		const limit = 250 * time.Millisecond
		for range rapid.IntRange(1, 30).Draw(t, "races") {
			ends := map[*Address]time.Duration{}
			how := map[*Address]Result{}
			live := false
			for _, a := range b.list {
				ends[a] = time.Duration(rapid.IntRange(0, 400).Draw(t, "ends")) * time.Millisecond
				how[a] = Result(rapid.IntRange(int(Proven), int(OtherOwner)).Draw(t, "how"))
				live = live || how[a] == Proven && ends[a] < time.Millisecond
			}
			won, took, begun := run(b, now, limit, func(a *Address) (time.Duration, Result) { return ends[a], how[a] })
			if took > limit || len(begun) > n {
				t.Fatalf("took %v with %d attempts at %d addresses", took, len(begun), n)
			}
			for i, a := range begun {
				if slices.Contains(begun[:i], a) {
					t.Fatalf("%v was begun twice in one race", a)
				}
			}
			if won != nil && how[won] != Proven {
				t.Fatalf("%v won, which ended %v", won, how[won])
			}
			// The last address begins after n-1 staggers at most, which the limit leaves room for up to four addresses.
			if live && won == nil && time.Duration(n-1)*staggerMost < limit {
				t.Fatalf("a live address was not found")
			}
			for _, a := range b.list {
				if a.trying != 0 {
					t.Fatalf("%v counts as being tried after its race", a)
				}
			}
			now += took + time.Duration(rapid.IntRange(0, 5000).Draw(t, "rest"))*time.Millisecond
		}
	})
}

func TestBackgroundTriesKeepToTheBudgetAndReachEveryDoubtfulAddress(t *testing.T) {
	var books []*Tracker
	for i := range 79 {
		b := NewBook(uint64(i))
		b.Set([]Spec{{Network: TCP4, Addr: fmt.Sprintf("10.0.%d.1:1", i)}, {Network: TCP4, Addr: fmt.Sprintf("10.0.%d.2:1", i)}, {Network: Unix, Addr: fmt.Sprintf("/%d", i)}})
		for _, a := range b.list {
			for range 5 {
				a.tried = true
				b.Did(0, a, Refused, 0)
			}
		}
		books = append(books, b)
	}
	var budget Budget
	tries := map[*Address]int{}
	total := 0
	const span = 300 * time.Second
	for now := time.Second; now < span; now += 50 * time.Millisecond {
		if b, a := budget.Recheck(now, books); a != nil {
			tries[a]++
			total++
			b.Rechecked(now, a, Refused, 0)
		}
	}
	if most := int(recheckBurst + recheckPerS*span.Seconds()); total > most || total < most/2 {
		t.Errorf("%d tries in %v, at most %d are allowed", total, span, most)
	}
	if len(tries) != 79*3 {
		t.Errorf("%d of %d addresses were looked at again", len(tries), 79*3)
	}
}

func TestSpecsAreChecked(t *testing.T) {
	for _, s := range []Spec{{Unix, "b.sock", 0}, {TCP4, "[::1]:80", 0}, {TCP6, "10.0.0.1:80", 0}, {TCP4, "10.0.0.1:0", 0}, {TCP4, "box-7:80", 0}, {"udp", "10.0.0.1:80", 0}, {Unix, "/" + strings.Repeat("x", 120), 0}} {
		if s.Check() == nil {
			t.Errorf("%v passes", s)
		}
	}
	for _, s := range []Spec{sock, local, six, four, ula} {
		if err := s.Check(); err != nil {
			t.Errorf("%v: %v", s, err)
		}
	}
}
