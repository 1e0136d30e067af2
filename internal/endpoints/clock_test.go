package endpoints

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/endpointlist"
)

// steppedClock drives a follower with a wall clock that steps; lists are applied by hand.
type steppedClock struct {
	follower  *Follower
	uptimes   map[string]time.Duration // of backends, as last passed on
	monotonic time.Duration
	trueTime  time.Time
	step      time.Duration // of the follower's wall clock against the true time
}

func newSteppedClock(initialStep time.Duration) *steppedClock {
	clock := &steppedClock{
		uptimes: map[string]time.Duration{}, trueTime: time.Unix(1_800_000_000, 0), step: initialStep,
	}
	clock.follower = &Follower{
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Monotonic: func() time.Duration { return clock.monotonic },
		WallClock: func() time.Time { return clock.trueTime.Add(clock.step) },
		OnUpdate: func(lines []endpointlist.Endpoint, _ bool) {
			for _, line := range lines {
				clock.uptimes[line.Name] = time.Duration(line.UptimeMs) * time.Millisecond
			}
		},
	}
	return clock
}

func (c *steppedClock) advance(by time.Duration) {
	c.monotonic, c.trueTime = c.monotonic+by, c.trueTime.Add(by)
}

// applyList applies a list of backends with the given uptimes.
func (c *steppedClock) applyList(t *testing.T, revision int, uptimes map[string]time.Duration) {
	t.Helper()
	var targets []string
	for name, up := range uptimes {
		targets = append(targets, fmt.Sprintf(
			`{"uid":%q,"endpoint":"10.0.0.1:1","state":"in_service","capacity_hint":1,"boot_ms":%d}`,
			name, c.trueTime.Add(-up).UnixMilli()))
	}
	message := fmt.Appendf(nil, `{"rev":%d,"all":%t,"targets":[%s]}`,
		revision, revision == 1, strings.Join(targets, ","))
	if err := c.follower.apply(message); err != nil {
		t.Fatal(err)
	}
	c.follower.table.clock.synced = true
}

// A backend's uptime must not follow steps of the wall clock: too long an uptime gives a backend in slow start the
// load of a warm one, too short an uptime takes nearly all load from a warm one.
func TestUptimeIsUnaffectedByWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		clock := newSteppedClock(0)
		first := map[string]time.Duration{"first": time.Minute, "old": 30 * time.Minute}
		clock.applyList(t, 1, first)
		clock.advance(10 * time.Second)
		clock.step = step
		later := map[string]time.Duration{"fresh": time.Second, "warm": 50 * time.Second}
		clock.applyList(t, 2, later)
		maps.Copy(later, first)
		for name, want := range later {
			if got := clock.uptimes[name]; got != want {
				t.Errorf("after a step of %v, the uptime of %s is %v, want %v", step, name, got, want)
			}
		}
	}
}

// A process that starts with a wrong wall clock has no other time source. A start that is first reported while
// discovery is followed must still count as new, and a start in the future shows that the clock is behind.
func TestNewBackendIsNotTakenForWarmWithWrongInitialWallClock(t *testing.T) {
	clock := newSteppedClock(time.Hour)
	clock.applyList(t, 1, map[string]time.Duration{"first": time.Minute})
	clock.advance(10 * time.Second)
	clock.applyList(t, 2, map[string]time.Duration{"other": time.Second})
	clock.advance(time.Second)
	clock.applyList(t, 3, map[string]time.Duration{"fresh": time.Second})
	if got := clock.uptimes["fresh"]; got > 2*time.Second {
		t.Errorf("with the clock an hour ahead, a backend that started 1 s ago has an uptime of %v", got)
	}
	clock = newSteppedClock(-time.Hour)
	clock.applyList(t, 1, map[string]time.Duration{"fresh": time.Second, "warm": 20 * time.Minute})
	if fresh, warm := clock.uptimes["fresh"], clock.uptimes["warm"]; fresh > time.Second || warm < 19*time.Minute {
		t.Errorf("with the clock an hour behind, the uptimes are %v instead of 1 s and %v instead of 20 min",
			fresh, warm)
	}
}
