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

// What can go wrong.
const (
	Terminate       Kind = "terminate"        // SIGTERM to a dispatcher, then SIGKILL as the platform does, then a new process
	TerminateTwice  Kind = "terminate_twice"  // with a second SIGTERM soon after
	TerminateReload Kind = "terminate_reload" // SIGTERM, a reload in the middle of the stop, SIGTERM
	KillProcess     Kind = "kill"             // SIGKILL, then a new process
	Stop            Kind = "stop"             // SIGSTOP, later SIGCONT
	Reload          Kind = "reload"           // a new configuration moves discovery, SIGHUP
	ReloadTorn      Kind = "reload_torn"      // the same, and the file is half written as the signal comes
	ReloadTwice     Kind = "reload_twice"     // two in quick succession, to the other address and back
	ReloadBurst     Kind = "reload_burst"     // six in quick succession
	WallStep        Kind = "wall_step"        // the wall clock steps
	AcceptFails     Kind = "accept_fails"     // accept fails for a moment
	DialFails       Kind = "dial_fails"       // connecting fails on the dispatcher's machine for a moment
	ShortReads      Kind = "short_reads"      // reads and writes are short
	BackendHangs    Kind = "backend_hangs"    // it takes requests and answers none
	BackendFails    Kind = "backend_fails"    // it answers 500
	BackendFull     Kind = "backend_full"     // it rejects, as it says without running
	BackendResets   Kind = "backend_resets"   // connections are reset: in a request, right behind it, or in the answer
	BackendSpoils   Kind = "backend_spoils"   // answers that can't be read, or two for one
	BackendSilent   Kind = "backend_silent"   // its connections fall silent without an error
	BackendMute     Kind = "backend_mute"     // it goes on taking connections, of which all or every other one are silent
	RoleMute        Kind = "role_mute"        // the same for four in five backends of one role together
	BackendSlow     Kind = "backend_slow"     // it works slowly
	BackendRestarts Kind = "backend_restarts" // it is replaced by one in slow start
	MassRestart     Kind = "mass_restart"     // six in ten backends are replaced so, within seconds
	Drain           Kind = "drain"            // discovery has it drain
	MassDrain       Kind = "mass_drain"       // discovery has a quarter of the backends drain
	DiscoverySilent Kind = "discovery_silent" // one dispatcher's discovery says nothing
	DiscoverySlow   Kind = "discovery_slow"   // it answers late
	DiscoveryResets Kind = "discovery_resets" // its watches are reset
)

// weights say how often each kind is drawn, and its length.
var weights = []struct {
	kind        Kind
	weight      int
	least, most time.Duration
}{
	{Terminate, 4, 0, 0}, {TerminateTwice, 1, 0, 0}, {TerminateReload, 1, 20 * time.Millisecond, 600 * time.Millisecond},
	{KillProcess, 2, 0, 0}, {Stop, 3, 100 * time.Millisecond, 1500 * time.Millisecond}, {ReloadBurst, 1, time.Millisecond, 30 * time.Millisecond},
	{Reload, 2, 0, 0}, {ReloadTorn, 2, 50 * time.Millisecond, 300 * time.Millisecond}, {ReloadTwice, 1, 10 * time.Millisecond, 200 * time.Millisecond},
	{WallStep, 2, 0, 0}, {AcceptFails, 3, 20 * time.Millisecond, 500 * time.Millisecond}, {DialFails, 3, 20 * time.Millisecond, 800 * time.Millisecond},
	{ShortReads, 2, time.Second, 4 * time.Second}, {BackendHangs, 4, time.Second, 5 * time.Second}, {BackendFails, 2, time.Second, 4 * time.Second},
	{BackendFull, 2, time.Second, 4 * time.Second}, {BackendResets, 3, time.Second, 4 * time.Second}, {BackendSpoils, 2, time.Second, 4 * time.Second},
	{BackendSilent, 3, time.Second, 4 * time.Second}, {BackendSlow, 2, time.Second, 4 * time.Second}, {BackendRestarts, 2, 0, 0},
	{BackendMute, 5, time.Second, 4 * time.Second}, {RoleMute, 2, time.Second, 3 * time.Second},
	{MassRestart, 1, 0, 0}, {MassDrain, 1, time.Second, 6 * time.Second}, {Drain, 4, time.Second, 6 * time.Second}, {DiscoverySilent, 3, time.Second, 6 * time.Second}, {DiscoverySlow, 2, 2 * time.Second, 6 * time.Second},
	{DiscoveryResets, 2, 0, 0},
}

// Fault is one that is scheduled.
type Fault struct {
	At     time.Duration `json:"at"`
	Kind   Kind          `json:"kind"`
	Target int           `json:"target"` // number of a dispatcher or of a backend
	Length time.Duration `json:"length"`
	Draw   uint64        `json:"draw"` // for what the kind leaves open, such as the error number
}

func (f Fault) String() string {
	return fmt.Sprintf("%.2f s %s %d for %v (%d)", f.At.Seconds(), f.Kind, f.Target, f.Length.Round(time.Millisecond), f.Draw%1000)
}

// Schedule draws the faults of a run from its seed: two or three overlap at any time. The last ones begin some seconds before its end,
// so that their consequences are seen.
func Schedule(o Options) []Fault {
	rng := rand.New(rand.NewPCG(o.Seed, 0x50a4))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	var faults []Fault
	for at := 500 * time.Millisecond; at < o.Length-settleTime; at += time.Duration((0.5 + rng.Float64()) * float64(o.FaultInterval)) {
		draw := rng.IntN(total)
		i := 0
		for draw >= weights[i].weight {
			draw -= weights[i].weight
			i++
		}
		w := weights[i]
		length := w.least + time.Duration(rng.Float64()*float64(w.most-w.least))
		faults = append(faults, Fault{At: at, Kind: w.kind, Target: rng.IntN(1 << 20), Length: length, Draw: rng.Uint64()})
	}
	return faults
}

// Overlaps counts the pairs of kinds that were active at once.
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
