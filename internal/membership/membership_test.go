package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"sloetrestle/internal/timerqueue"
)

// testNetwork delivers the messages between views in virtual time.
type testNetwork struct {
	now     time.Duration
	queue   timerqueue.Queue
	rng     *rand.Rand
	loss    float64
	blocked func(from, to int) bool // reports that no message passes between the two
	views   []*View
	up      []bool
	paused  []bool
	bytes   []int
	starts  int
}

func (network *testNetwork) after(d time.Duration, do func()) {
	network.queue.Schedule(network.now+d, do)
}

func (network *testNetwork) run(until time.Duration) {
	network.queue.RunUntil(until, func(now time.Duration) { network.now = now })
	network.now = until
}

// start starts dispatcher i under a new incarnation.
func (network *testNetwork) start(i int) {
	network.starts++
	self := Update{Name: fmt.Sprintf("d%d", i), Address: fmt.Sprint(i),
		Incarnation: uint64(1e12) + uint64(network.now.Milliseconds()) + uint64(network.starts)}
	view := New(self, []string{"0", "1", "2"}, uint64(network.starts)*7919+uint64(i), nil)
	view.Send = func(to string, message Message) {
		var j int
		fmt.Sscan(to, &j)
		raw, err := cbor.Marshal(message)
		if err != nil {
			panic(err)
		}
		network.bytes[i] += len(raw) + 28 // headers of UDP and IP
		if !network.up[i] || network.views[i] != view || network.blocked != nil && network.blocked(i, j) ||
			network.rng.Float64() < network.loss {
			return
		}
		network.after(time.Duration(1+network.rng.ExpFloat64()*2)*time.Millisecond, func() { network.deliver(j, message) })
	}
	network.views[i], network.up[i] = view, true
	var tick func()
	tick = func() {
		if network.views[i] != view || !network.up[i] {
			return
		}
		if !network.paused[i] {
			view.Tick(network.now)
		}
		network.after(50*time.Millisecond, tick)
	}
	network.after(time.Duration(network.rng.IntN(50))*time.Millisecond, tick)
}

// deliver hands a message to a view. A paused one reads it once it continues.
func (network *testNetwork) deliver(j int, m Message) {
	switch {
	case !network.up[j]:
	case network.paused[j]:
		network.after(100*time.Millisecond, func() { network.deliver(j, m) })
	default:
		network.views[j].HandleMessage(network.now, m)
	}
}

func newTestNetwork(n int, seed uint64) *testNetwork {
	network := &testNetwork{rng: rand.New(rand.NewPCG(seed, 3)), views: make([]*View, n), up: make([]bool, n),
		paused: make([]bool, n), bytes: make([]int, n), now: time.Second}
	for i := range n {
		network.start(i)
	}
	return network
}

// converged returns an error unless every running member knows exactly the running ones.
func (network *testNetwork) converged() error {
	n := 0
	for _, up := range network.up {
		if up {
			n++
		}
	}
	for i, v := range network.views {
		if network.up[i] && v.Size() != n {
			return fmt.Errorf("d%d knows %d members, want %d", i, v.Size(), n)
		}
	}
	return nil
}

// detectionTimes kills a member and returns how long each of the others took to remove it.
func (network *testNetwork) detectionTimes(i int) (times []time.Duration) {
	network.up[i] = false
	killedAt, name := network.now, network.views[i].Self.Name
	seen := map[int]bool{}
	for network.now < killedAt+8*time.Second {
		network.run(network.now + 20*time.Millisecond)
		for j, v := range network.views {
			if m := v.known[name]; network.up[j] && !seen[j] && (m == nil || m.State >= Dead) {
				seen[j] = true
				times = append(times, network.now-killedAt)
			}
		}
	}
	slices.Sort(times)
	return times
}

func TestFailureIsDetectedWithinThreeSeconds(t *testing.T) {
	for _, n := range []int{3, 33, 160} {
		network := newTestNetwork(n, 1)
		network.run(15 * time.Second)
		if err := network.converged(); err != nil {
			t.Fatalf("%d members: %v", n, err)
		}
		network.run(60 * time.Second)
		clear(network.bytes)
		network.run(120 * time.Second)
		maxBytesPerSecond := slices.Max(network.bytes) / 60
		var all []time.Duration
		for k := range 3 {
			all = append(all, network.detectionTimes(n-1-k%(n-1))...)
			network.start(n - 1 - k%(n-1))
			network.run(network.now + 5*time.Second)
		}
		slices.Sort(all)
		p50, p99 := all[len(all)/2], all[len(all)*99/100]
		t.Logf("%d members: failure detected after %v at p50, %v at p99; at most %d bytes/s", n, p50, p99, maxBytesPerSecond)
		if p99 > 3*time.Second || maxBytesPerSecond > 2000 {
			t.Errorf("%d members: failure detected after %v at p99, at most %d bytes/s", n, p99, maxBytesPerSecond)
		}
	}
}

func TestPacketLossRemovesNobody(t *testing.T) {
	for _, c := range []struct {
		loss float64
		span time.Duration
	}{{0.05, 5 * time.Minute}, {0.3, 20 * time.Second}} {
		network := newTestNetwork(33, 1)
		network.run(15 * time.Second)
		network.loss = c.loss
		network.run(15*time.Second + c.span)
		removed, suspected := int64(0), int64(0)
		for _, v := range network.views {
			removed, suspected = removed+v.Counts.Removed, suspected+v.Counts.Suspected
		}
		t.Logf("%.0f%% packet loss for %v: %d suspicions, %d removals", 100*c.loss, c.span, suspected, removed)
		if c.loss <= 0.05 && removed > 0 {
			t.Errorf("%.0f%% packet loss for %v: %d removals, want none", 100*c.loss, c.span, removed)
		}
		network.loss = 0
		network.run(network.now + 20*time.Second)
		if err := network.converged(); err != nil {
			t.Errorf("%.0f%% packet loss, then none for 20 s: %v", 100*c.loss, err)
		}
	}
}

func TestPartitionedHalvesRejoin(t *testing.T) {
	network := newTestNetwork(20, 1)
	network.run(10 * time.Second)
	network.blocked = func(from, to int) bool { return from < 10 != (to < 10) }
	network.run(30 * time.Second)
	if n := network.views[3].Size(); n != 10 {
		t.Errorf("in its half d3 counts %d members, want 10", n)
	}
	if n := network.views[3].MaxSize(network.now); n != 20 {
		t.Errorf("d3 counts at most %d members, want 20", n)
	}
	network.blocked = nil
	network.run(60 * time.Second)
	if err := network.converged(); err != nil {
		t.Error(err)
	}
}

func TestPausedMemberRejoins(t *testing.T) {
	network := newTestNetwork(12, 1)
	network.run(10 * time.Second)
	network.paused[4] = true
	network.run(30 * time.Second)
	if network.views[0].Size() != 11 {
		t.Errorf("%d members are left, want 11", network.views[0].Size())
	}
	network.paused[4] = false
	network.run(50 * time.Second)
	if err := network.converged(); err != nil || network.views[4].Counts.Refuted == 0 {
		t.Errorf("%v, %+v", err, network.views[4].Counts)
	}
}

func TestLeaveIsImmediateAndRestartRejoins(t *testing.T) {
	network := newTestNetwork(33, 1)
	network.run(10 * time.Second)
	network.views[5].Leave()
	network.run(network.now + 200*time.Millisecond)
	network.up[5] = false
	if n := network.views[0].Size(); n != 32 || network.views[0].MaxSize(network.now) != 32 {
		t.Errorf("%d members after one announced its leave, want 32", n)
	}
	network.start(5)
	network.up[6] = false
	network.start(6) // killed, and restarted before its failure was detected
	network.run(network.now + 10*time.Second)
	if err := network.converged(); err != nil {
		t.Error(err)
	}
}

// All members but one are killed and restarted one after the other within 30 s.
func TestRollingRestartConverges(t *testing.T) {
	network := newTestNetwork(50, 1)
	network.run(10 * time.Second)
	for i := 1; i < 50; i++ {
		network.up[i] = false
		network.run(network.now + 300*time.Millisecond)
		network.start(i)
		network.run(network.now + 300*time.Millisecond)
	}
	network.run(network.now + 15*time.Second)
	if err := network.converged(); err != nil {
		t.Error(err)
	}
}

// After any sequence of crashes, restarts, pauses, partitions and losses all views agree again, and no incarnation
// that a view knows ever decreases.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "members")
		network := newTestNetwork(n, rapid.Uint64().Draw(t, "seed"))
		network.run(5 * time.Second)
		known := map[*View]map[string]uint64{}
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			i, j := rapid.IntRange(0, n-1).Draw(t, "who"), rapid.IntRange(0, n-1).Draw(t, "whom")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				network.up[i] = false
			case 1:
				if !network.up[i] {
					network.start(i)
				}
			case 2:
				network.paused[i] = !network.paused[i]
			case 3:
				network.blocked = func(from, to int) bool { return from == i || to == j } // i sends nothing, j receives nothing
			case 4:
				network.blocked = func(from, to int) bool { return from <= i != (to <= i) }
			case 5:
				network.loss = 0.3
			}
			network.run(network.now + time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms"))*time.Millisecond)
			for i, v := range network.views { // each start has a view of its own
				if known[v] == nil {
					known[v] = map[string]uint64{}
				}
				for name, m := range v.known {
					if m.Incarnation < known[v][name] {
						t.Fatalf("d%d: the incarnation of %s decreased", i, name)
					}
					known[v][name] = m.Incarnation
				}
			}
		}
		network.blocked, network.loss = nil, 0
		for i := range n {
			network.paused[i] = false
			if !network.up[i] {
				network.start(i)
			}
		}
		network.run(network.now + 90*time.Second)
		if err := network.converged(); err != nil {
			t.Fatal(err)
		}
	})
}
