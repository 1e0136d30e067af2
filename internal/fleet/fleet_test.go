package fleet

import (
	"os"
	"runtime"
	"testing"

	"sloetrestle/internal/baseline"
	"sloetrestle/internal/day"
	"sloetrestle/internal/setup"
)

func load(t testing.TB, name string) day.Scenario {
	t.Helper()
	raw, err := os.ReadFile("../../examples/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	d, err := day.Parse(name, raw)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// The days that processes play on sockets keep the rules in virtual time too, with engines in place of simple boxes.
func TestDaysKeepTheRulesInVirtualTime(t *testing.T) {
	for _, name := range []string{"quiet", "demo", "crash-after-read", "reset", "failing", "grade-failing", "hang", "drain", "restart", "list-stale", "kill-dispatcher",
		"leave", "no-cancel", "link-slow", "forget", "burst", "long-prompts", "shared-text", "stale-cold", "overlap-kill-in-burst", "ageing", "neighbour", "evict-fresh"} {
		d := load(t, name)
		out, err := Play(d, "module")
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if !out.Passed() || out.Tries < 100 || out.Effects < 100 {
			t.Errorf("%s: %d tries, %d effects\n%s", name, out.Tries, out.Effects, out.Text())
		}
	}
}

func TestTheSameSeedGivesTheSameRecord(t *testing.T) {
	d := load(t, "demo")
	var digests []string
	for _, procs := range []int{1, 2, 4} {
		old := runtime.GOMAXPROCS(procs)
		out, err := Play(d, "module")
		runtime.GOMAXPROCS(old)
		if err != nil {
			t.Fatal(err)
		}
		digests = append(digests, out.Digest)
	}
	d.Header.Seed++
	other, err := Play(d, "module")
	if err != nil {
		t.Fatal(err)
	}
	if digests[0] != digests[1] || digests[1] != digests[2] || other.Digest == digests[0] {
		t.Errorf("digests %v, with another seed %s", digests, other.Digest)
	}
}

func TestBaselinesKeepTheRulesOnAQuietDay(t *testing.T) {
	d := load(t, "quiet")
	for _, name := range baseline.Names {
		out, err := Play(d, name)
		if err != nil {
			t.Fatal(err)
		}
		if !out.Passed() || out.ValueShare < 0.5 {
			t.Errorf("%s\n%s", name, out.Text())
		}
	}
	if _, err := Play(d, "astrology"); err == nil {
		t.Error("a policy that is none plays")
	}
}

// Load that comes to 2.5 times what the engines can do must end: once it has passed, questions are satisfied again.
func TestTheFleetComesBackAfterAnOverload(t *testing.T) {
	d := load(t, "quiet")
	d.Header.Duration, d.Header.RequestsPerSecond = setup.Duration(40e9), 60
	d.Faults = []day.Fault{{Kind: "burst", Start: setup.Duration(5e9), Duration: setup.Duration(10e9), Factor: 6}}
	out, err := Play(d, "module")
	if err != nil {
		t.Fatal(err)
	}
	lost := 0
	for _, r := range out.Classes {
		lost += r.Rejected + r.Failed + r.Late
	}
	if !out.Passed() || lost == 0 || out.ValueShare < 0.4 {
		t.Errorf("%d were not satisfied in time\n%s", lost, out.Text())
	}
}

func BenchmarkFleet31(b *testing.B) { benchmark(b, 1, 33) }
func BenchmarkFleet79(b *testing.B) { benchmark(b, 2.55, 160) }

// benchmark plays a day of 31 boxes, so many times larger.
func benchmark(b *testing.B, times float64, dispatchers int) {
	d := load(b, "quiet")
	for i, n := range []float64{13, 15, 3} {
		d.Backends[i].Count = int(n * times)
	}
	d.Header.RequestsPerSecond, d.Header.Dispatchers = 100*times, dispatchers
	b.ReportAllocs()
	questions := 0
	for b.Loop() {
		out, err := Play(d, "module")
		if err != nil {
			b.Fatal(err)
		}
		questions += out.Questions
	}
	b.ReportMetric(float64(questions)/b.Elapsed().Seconds(), "questions/s")
}
