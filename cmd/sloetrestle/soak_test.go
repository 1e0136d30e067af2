package main

import (
	"bytes"
	"os"
	"testing"
	"time"

	"sloetrestle/internal/soak"
)

// judged plays a soak and has the test fail where a rule is broken, or where too few of a rule's chances came to show anything.
func runSoak(t *testing.T, o soak.Options, least map[string]int) soak.Result {
	t.Helper()
	o.Command, o.Env, o.Dir = []string{os.Args[0], "soak-dispatcher"}, []string{runMainVariable + "=1"}, t.TempDir()
	res, err := soak.Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	res.Table(&table)
	t.Log(table.String())
	if len(res.Violations) > 0 {
		t.Errorf("%d rules are broken; the soak itself was late by up to %v", len(res.Violations), res.Lateness)
	}
	for rule, chances := range least {
		if res.Chances[rule] < chances {
			t.Errorf("%s had %d chances: this shows nothing", rule, res.Chances[rule])
		}
	}
	return res
}

// Short soaks of real processes: faults overlap, and no rule is broken. The seeds draw deadlines of 1 to 6 s, both limits on held state, and
// one of them a crowd. "sloetrestle soak" plays longer ones.
func TestShortSoaksHaveNoViolations(t *testing.T) {
	for _, seed := range []uint64{11, 1004, 1005} {
		o := soak.Options{Seed: seed, Processes: 4, Length: 12 * time.Second, FaultInterval: 300 * time.Millisecond, Clients: 5}
		res := runSoak(t, o, map[string]int{"lost": 150, "held": 100})
		if res.Requests < 150 || res.Attempts < 150 || len(res.Faults) < 15 {
			t.Error("too little happened: this shows nothing")
		}
	}
}

// Backends that take connections and read nothing of them acknowledge a request that never arrives: the state that it is to take is
// released in its time all the same.
func TestKVCacheIsReleasedWhenARequestNeverArrives(t *testing.T) {
	const decode = 1
	o := soak.Options{Seed: 901, Processes: 4, Length: 12 * time.Second, Clients: 6, Faults: []soak.Fault{
		{At: time.Second, Kind: soak.RoleMute, Target: decode, Length: 2 * time.Second},
		{At: 4 * time.Second, Kind: soak.BackendMute, Target: 3, Length: 2 * time.Second, Draw: 1},
		{At: 5 * time.Second, Kind: soak.BackendMute, Target: 4, Length: 2 * time.Second, Draw: 2},
	}}
	runSoak(t, o, map[string]int{"held": 100})
}

// With hundreds of times the usual number of backends, most of which restart, requests have their answers in time.
func TestMassRestartOfBackendsHasNoViolations(t *testing.T) {
	o := soak.Options{Seed: 911, Processes: 2, Backends: 2400, Rate: 20, Length: 14 * time.Second, Clients: 2, Faults: []soak.Fault{
		{At: 500 * time.Millisecond, Kind: soak.MassRestart, Draw: 1},
		{At: 4 * time.Second, Kind: soak.MassDrain, Length: 2 * time.Second, Draw: 2},
		{At: 5 * time.Second, Kind: soak.RoleMute, Length: 2 * time.Second, Target: 1},
	}}
	runSoak(t, o, map[string]int{"lost": 300, "held": 200})
}
