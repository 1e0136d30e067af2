package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	Terminate       Kind = "terminate"        // SIGTERM to a dispatcher, later SIGKILL as on the platform, a new process
	TerminateTwice  Kind = "terminate_twice"  // the same with a second SIGTERM soon after the first
	TerminateReload Kind = "terminate_reload" // SIGTERM, a reload while the process stops, SIGTERM
	KillProcess     Kind = "kill"             // SIGKILL, then a new process
	Stop            Kind = "stop"             // SIGSTOP, later SIGCONT
	Reload          Kind = "reload"           // a new configuration moves discovery, SIGHUP
	ReloadTorn      Kind = "reload_torn"      // the same, but the file is half written when the signal comes
	ReloadTwice     Kind = "reload_twice"     // two in quick succession, to the other address and back
	ReloadBurst     Kind = "reload_burst"     // six in quick succession
	WallStep        Kind = "wall_step"        // the wall clock steps
	AcceptFails     Kind = "accept_fails"     // accept fails for a moment
	DialFails       Kind = "dial_fails"       // connecting fails on the dispatcher's machine for a moment
	ShortReads      Kind = "short_reads"      // reads and writes are short
	BackendHangs    Kind = "backend_hangs"    // a backend accepts requests and does not answer
	BackendFails    Kind = "backend_fails"    // a backend answers 500
	BackendFull     Kind = "backend_full"     // a backend rejects requests and states that they did not run
	BackendResets   Kind = "backend_resets"   // connections are reset during a request, after it, or during the answer
	BackendSpoils   Kind = "backend_spoils"   // malformed answers, or two answers to one request
	BackendSilent   Kind = "backend_silent"   // a backend's connections fall silent without an error
	BackendMute     Kind = "backend_mute"     // a backend still accepts connections, but all or every other one are silent
	RoleMute        Kind = "role_mute"        // the same for four in five backends of one role at once
	BackendSlow     Kind = "backend_slow"     // a backend works slowly
	BackendRestarts Kind = "backend_restarts" // a backend is replaced by a new process in slow start
	MassRestart     Kind = "mass_restart"     // six in ten backends are replaced within seconds
	Drain           Kind = "drain"            // discovery lists a backend as draining
	MassDrain       Kind = "mass_drain"       // discovery lists a quarter of the backends as draining
	DiscoverySilent Kind = "discovery_silent" // the discovery of one dispatcher sends nothing
	DiscoverySlow   Kind = "discovery_slow"   // the discovery of one dispatcher answers late
	DiscoveryResets Kind = "discovery_resets" // the connections of one dispatcher's discovery are closed
)

// weights are the relative frequency of each kind and the bounds of its length.
var weights = []struct {
	kind              Kind
	weight            int
	shortest, longest time.Duration
}{
	{Terminate, 4, 0, 0},
	{TerminateTwice, 1, 0, 0},
	{TerminateReload, 1, 20 * time.Millisecond, 600 * time.Millisecond},
	{KillProcess, 2, 0, 0},
	{Stop, 3, 100 * time.Millisecond, 1500 * time.Millisecond},
	{ReloadBurst, 1, time.Millisecond, 30 * time.Millisecond},
	{Reload, 2, 0, 0},
	{ReloadTorn, 2, 50 * time.Millisecond, 300 * time.Millisecond},
	{ReloadTwice, 1, 10 * time.Millisecond, 200 * time.Millisecond},
	{WallStep, 2, 0, 0},
	{AcceptFails, 3, 20 * time.Millisecond, 500 * time.Millisecond},
	{DialFails, 3, 20 * time.Millisecond, 800 * time.Millisecond},
	{ShortReads, 2, time.Second, 4 * time.Second},
	{BackendHangs, 4, time.Second, 5 * time.Second},
	{BackendFails, 2, time.Second, 4 * time.Second},
	{BackendFull, 2, time.Second, 4 * time.Second},
	{BackendResets, 3, time.Second, 4 * time.Second},
	{BackendSpoils, 2, time.Second, 4 * time.Second},
	{BackendSilent, 3, time.Second, 4 * time.Second},
	{BackendSlow, 2, time.Second, 4 * time.Second},
	{BackendRestarts, 2, 0, 0},
	{BackendMute, 5, time.Second, 4 * time.Second},
	{RoleMute, 2, time.Second, 3 * time.Second},
	{MassRestart, 1, 0, 0},
	{MassDrain, 1, time.Second, 6 * time.Second},
	{Drain, 4, time.Second, 6 * time.Second},
	{DiscoverySilent, 3, time.Second, 6 * time.Second},
	{DiscoverySlow, 2, 2 * time.Second, 6 * time.Second},
	{DiscoveryResets, 2, 0, 0},
}

// Fault is a scheduled fault.
type Fault struct {
	At     time.Duration `json:"at"`
	Kind   Kind          `json:"kind"`
	Target int           `json:"target"` // selects a dispatcher or a backend, modulo their number
	Length time.Duration `json:"length"`
	Draw   uint64        `json:"draw"` // selects a variant of the kind, such as the error number
}

func (f Fault) String() string {
	return fmt.Sprintf("%.2f s %s %d for %v (%d)", f.At.Seconds(), f.Kind, f.Target,
		f.Length.Round(time.Millisecond), f.Draw%1000)
}

// Schedule draws the faults of a run from its seed. Two or three of them overlap at any time. The last ones begin
// some seconds before the end of the run, so that their consequences are seen.
func Schedule(options Options) []Fault {
	rng := rand.New(rand.NewPCG(options.Seed, 0x50a4))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	var faults []Fault
	for at := 500 * time.Millisecond; at < options.Length-settleTime; at += time.Duration(
		(0.5 + rng.Float64()) * float64(options.FaultInterval)) {
		draw := rng.IntN(total)
		i := 0
		for draw >= weights[i].weight {
			draw -= weights[i].weight
			i++
		}
		w := weights[i]
		length := w.shortest + time.Duration(rng.Float64()*float64(w.longest-w.shortest))
		faults = append(faults,
			Fault{At: at, Kind: w.kind, Target: rng.IntN(1 << 20), Length: length, Draw: rng.Uint64()})
	}
	return faults
}

// Overlaps counts, for each pair of kinds, how often two faults of these kinds were active at once.
func Overlaps(faults []Fault) map[string]int {
	pairs := map[string]int{}
	for i, a := range faults {
		for _, b := range faults[i+1:] {
			if b.At > a.At+a.Length+faultAftermath {
				continue
			}
			names := []string{string(a.Kind), string(b.Kind)}
			slices.SortFunc(names, cmp.Compare)
			pairs[names[0]+"+"+names[1]]++
		}
	}
	return pairs
}
