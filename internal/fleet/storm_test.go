package fleet

import (
	"testing"
	"time"

	"sloetrestle/internal/day"
	"sloetrestle/internal/judge"
	"sloetrestle/internal/setup"
)

// outage is a day on which four of seven boxes are away for a while, and clients ask again up to 25 times. Load alone is
// servable.
func outage(t testing.TB) day.Day {
	d := load(t, "quiet")
	d.Head.Length, d.Head.PerS, d.Head.Dispatchers = setup.Span(60e9), 110, 3
	d.Clients.Retries, d.Clients.Wait, d.Clients.Honour = 25, setup.Span(300e6), 1
	d.Limits.RetryAfter = setup.Span(10e9)
	d.Troubles = []day.Trouble{{Kind: "crash", At: setup.Span(10e9), Length: setup.Span(15e9), Boxes: []string{"reader-1", "writer-1", "writer-2", "mixed-1"}}}
	return d
}

func recovered(t *testing.T, name string, d day.Day, back time.Duration) (float64, bool) {
	t.Helper()
	out, err := Play(d, "module")
	if err != nil {
		t.Fatal(err)
	}
	if !out.Kept() {
		t.Errorf("%s\n%s", name, out.Text())
	}
	s, ok := judge.Recovered(out.Share, out.Asked, 10*time.Second, back)
	t.Logf("%s: back after %.0f s (%v), service %.3f, %d tries, followers %.3f, others %.3f", name, s, ok, out.Service, out.Tries, out.Followers, out.Others)
	return s, ok
}

func TestTheFleetComesOutOfAStormByItself(t *testing.T) {
	const back = 25 * time.Second
	for name, change := range map[string]func(*day.Day){
		"all follow":     func(d *day.Day) {},
		"half follow":    func(d *day.Day) { d.Clients.Honour = 0.5 },
		"none follow":    func(d *day.Day) { d.Clients.Honour = 0 },
		"33 dispatchers": func(d *day.Day) { d.Head.Dispatchers = 33 },
		"the list is stale": func(d *day.Day) {
			d.Troubles = append(d.Troubles, day.Trouble{Kind: "list_stale", At: setup.Span(9e9), Length: setup.Span(20e9), By: setup.Span(3e9)})
		},
		"a dispatcher restarts in it": func(d *day.Day) {
			d.Troubles = append(d.Troubles, day.Trouble{Kind: "kill_dispatcher", At: setup.Span(20e9), Length: setup.Span(1e9), Dispatchers: []int{0}})
		},
	} {
		d := outage(t)
		change(&d)
		if s, ok := recovered(t, name, d, back); !ok || s > 15 {
			t.Errorf("%s: back after %.0f s (%v)", name, s, ok)
		}
	}
}

func TestASecondOutageDuringRecovery(t *testing.T) {
	d := outage(t)
	d.Troubles = append(d.Troubles, day.Trouble{Kind: "crash", At: setup.Span(27e9), Length: setup.Span(6e9), Boxes: []string{"reader-2", "writer-3"}})
	if s, ok := recovered(t, "twice", d, 33*time.Second); !ok || s > 20 {
		t.Errorf("back after %.0f s (%v)", s, ok)
	}
}

// What the guard is for: clients that follow its advice are satisfied in the end, with a fraction of the tries.
func TestTheGuardSparesTriesAndServesMore(t *testing.T) {
	with := outage(t)
	with.Head.PerS = 130
	without := with
	without.Limits.Storms, without.Limits.RetryAfter = false, 0
	without.Clients.Honour = 0
	a, err := Play(with, "module")
	if err != nil {
		t.Fatal(err)
	}
	b, err := Play(without, "module")
	if err != nil {
		t.Fatal(err)
	}
	if a.Service < b.Service+0.03 || a.Tries > b.Tries/2 || a.Followers < 0.95 {
		t.Errorf("with the guard service %.3f in %d tries, %.3f of the followers satisfied; without %.3f in %d, %.3f", a.Service, a.Tries, a.Followers, b.Service, b.Tries, b.Others)
	}
}
