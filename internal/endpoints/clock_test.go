package endpoints

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/boxlist"
)

// steppedClock is a follower whose wall clock steps, and which takes lists by hand.
type steppedClock struct {
	follower *Follower
	ages     map[string]time.Duration // of backends' starts, as told
	mono     time.Duration
	truth    time.Time
	step     time.Duration
}

func newSteppedClock(atStart time.Duration) *steppedClock {
	c := &steppedClock{ages: map[string]time.Duration{}, truth: time.Unix(1_800_000_000, 0), step: atStart}
	c.follower = &Follower{
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Monotonic: func() time.Duration { return c.mono },
		WallClock: func() time.Time { return c.truth.Add(c.step) },
		OnUpdate: func(lines []boxlist.Endpoint, _ bool) {
			for _, b := range lines {
				c.ages[b.Name] = time.Duration(b.UptimeMs) * time.Millisecond
			}
		},
	}
	return c
}

func (c *steppedClock) pass(span time.Duration) { c.mono, c.truth = c.mono+span, c.truth.Add(span) }

// list has discovery tell of backends that have been up for so long.
func (c *steppedClock) list(t *testing.T, rev int, up map[string]time.Duration) {
	t.Helper()
	var targets []string
	for name, span := range up {
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":"10.0.0.1:1","state":"in_service","capacity_hint":1,"boot_ms":%d}`,
			name, c.truth.Add(-span).UnixMilli()))
	}
	if err := c.follower.Apply(fmt.Appendf(nil, `{"rev":%d,"all":%t,"targets":[%s]}`, rev, rev == 1, strings.Join(targets, ","))); err != nil {
		t.Fatal(err)
	}
	c.follower.table.clock.synced = true
}

// How long a backend has been up is a span of real time, whatever the wall clock does: taken for older than it is, a backend in slow
// start gets what only a warm one bears; taken for younger, a warm one gets next to nothing.
func TestAStepOfTheWallClockAgesNoBackend(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		c := newSteppedClock(0)
		first := map[string]time.Duration{"first": time.Minute, "old": 30 * time.Minute}
		c.list(t, 1, first)
		c.pass(10 * time.Second)
		c.step = step
		later := map[string]time.Duration{"fresh": time.Second, "warm": 50 * time.Second}
		c.list(t, 2, later)
		maps.Copy(later, first)
		for name, want := range later {
			if got := c.ages[name]; got != want {
				t.Errorf("after a step of %v, %s is taken to be up for %v, not %v", step, name, got, want)
			}
		}
	}
}

// A process that begins with a wrong wall clock has no other one. A start that it is told of while it follows discovery is a fresh one
// all the same, and a start in the future shows a clock that is behind.
func TestAWrongWallClockAtTheStartWarmsNoFreshBackend(t *testing.T) {
	c := newSteppedClock(time.Hour)
	c.list(t, 1, map[string]time.Duration{"first": time.Minute})
	c.pass(10 * time.Second)
	c.list(t, 2, map[string]time.Duration{"other": time.Second})
	c.pass(time.Second)
	c.list(t, 3, map[string]time.Duration{"fresh": time.Second})
	if got := c.ages["fresh"]; got > 2*time.Second {
		t.Errorf("an hour ahead, a backend that started a second ago is taken to be up for %v", got)
	}
	c = newSteppedClock(-time.Hour)
	c.list(t, 1, map[string]time.Duration{"fresh": time.Second, "warm": 20 * time.Minute})
	if fresh, warm := c.ages["fresh"], c.ages["warm"]; fresh > time.Second || warm < 19*time.Minute {
		t.Errorf("an hour behind, one that started a second ago is taken to be up for %v, and one of 20 minutes for %v", fresh, warm)
	}
}
