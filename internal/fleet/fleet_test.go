package fleet

import (
	"os"
	"runtime"
	"testing"

	"sloetrestle/internal/baseline"
	"sloetrestle/internal/day"
	"sloetrestle/internal/setup"
)

func loadScenario(t testing.TB, name string) day.Scenario {
	t.Helper()
	raw, err := os.ReadFile("../../examples/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := day.Parse(name, raw)
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

// The scenarios that processes play on sockets must keep the rules in virtual time too, with emulated engines as
// backends.
func TestScenariosKeepTheRulesInVirtualTime(t *testing.T) {
	for _, name := range []string{"quiet", "demo", "crash-after-read", "reset", "failing", "grade-failing", "hang",
		"drain", "restart", "list-stale", "kill-dispatcher",
		"leave", "no-cancel", "link-slow", "forget", "burst", "long-prompts", "shared-text", "stale-cold",
		"overlap-kill-in-burst", "ageing", "neighbour", "evict-fresh"} {
		scenario := loadScenario(t, name)
		out, err := Play(scenario, "module")
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if !out.Passed() || out.Tries < 100 || out.Effects < 100 {
			t.Errorf("%s: %d tries, %d effects\n%s", name, out.Tries, out.Effects, out.Text())
		}
	}
}

func TestSameSeedGivesSameRecords(t *testing.T) {
	scenario := loadScenario(t, "demo")
	var digests []string
	for _, procs := range []int{1, 2, 4} {
		previous := runtime.GOMAXPROCS(procs)
		out, err := Play(scenario, "module")
		runtime.GOMAXPROCS(previous)
		if err != nil {
			t.Fatal(err)
		}
		digests = append(digests, out.Digest)
	}
	scenario.Header.Seed++
	other, err := Play(scenario, "module")
	if err != nil {
		t.Fatal(err)
	}
	if digests[0] != digests[1] || digests[1] != digests[2] || other.Digest == digests[0] {
		t.Errorf("digests %v, with another seed %s", digests, other.Digest)
	}
}

func TestBaselinePoliciesKeepTheRules(t *testing.T) {
	scenario := loadScenario(t, "quiet")
	for _, name := range baseline.Names {
		out, err := Play(scenario, name)
		if err != nil {
			t.Fatal(err)
		}
		if !out.Passed() || out.ValueShare < 0.5 {
			t.Errorf("%s\n%s", name, out.Text())
		}
	}
	if _, err := Play(scenario, "astrology"); err == nil {
		t.Error("an unknown policy was accepted")
	}
}

// A load of 2.5 times the engines' capacity must not outlast its cause: once it has passed, requests are served again.
func TestFleetRecoversAfterOverload(t *testing.T) {
	scenario := loadScenario(t, "quiet")
	scenario.Header.Duration, scenario.Header.RequestsPerSecond = setup.Duration(40e9), 60
	scenario.Faults = []day.Fault{{Kind: "burst", Start: setup.Duration(5e9), Duration: setup.Duration(10e9), Factor: 6}}
	out, err := Play(scenario, "module")
	if err != nil {
		t.Fatal(err)
	}
	lost := 0
	for _, r := range out.Classes {
		lost += r.Rejected + r.Failed + r.Late
	}
	if !out.Passed() || lost == 0 || out.ValueShare < 0.4 {
		t.Errorf("%d requests were not served in time\n%s", lost, out.Text())
	}
}

func BenchmarkFleet31(b *testing.B) { benchmarkScenario(b, 1, 33) }
func BenchmarkFleet79(b *testing.B) { benchmarkScenario(b, 2.55, 160) }

// benchmarkScenario plays a scenario of 31 backends, enlarged by the given factor.
func benchmarkScenario(b *testing.B, factor float64, dispatchers int) {
	scenario := loadScenario(b, "quiet")
	for i, n := range []float64{13, 15, 3} {
		scenario.Backends[i].Count = int(n * factor)
	}
	scenario.Header.RequestsPerSecond, scenario.Header.Dispatchers = 100*factor, dispatchers
	b.ReportAllocs()
	requests := 0
	for b.Loop() {
		out, err := Play(scenario, "module")
		if err != nil {
			b.Fatal(err)
		}
		requests += out.Requests
	}
	b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "questions/s")
}
