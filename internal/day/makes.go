package day

import (
	"cmp"
	"fmt"
	"time"

	"sloetrestle/internal/engine"
	"sloetrestle/internal/standin"
)

// BackendSpec is one box of a day.
type BackendSpec struct {
	Name, Kind, Role, Zone, Rack string
	Units                        float64
	IgnoresCancel                bool // a cancel does not stop its work
	Group                        BackendGroup
	Engine                       engine.Make
}

// stateLife is how long a state waits for a dispatcher that may have been killed.
const stateLife = 8 * time.Second

// BackendSpecs lists the day's boxes with their engines.
func (d *Scenario) BackendSpecs() []BackendSpec {
	var out []BackendSpec
	next := map[string]int{}
	for _, b := range d.Backends {
		k := d.Kinds[d.KindNumber(b.Kind)]
		e := b.Engine
		// The presets are of published orders of magnitude for 70B-class models on one server of eight accelerators: a
		// decoding step of 10 to 25 ms, blocks of 16 to 64 tokens, chunks of 512 to 8,192 tokens.
		made := engine.Make{
			Reads: k.Role != "writer", Writes: k.Role != "reader", Slots: b.Slots, Queue: b.Queue, BlockTokens: cmp.Or(e.BlockTokens, 32),
			Chunk: cmp.Or(e.ChunkTokens, 2048), Step: cmp.Or(e.StepTime.D(), b.TokenTime.D()), PerAnswer: cmp.Or(e.StepPerAnswer.D(), 150*time.Microsecond),
			PerContextK: cmp.Or(e.StepPer1000Context.D(), 40*time.Microsecond), PairsPerM: cmp.Or(e.StepPerMillionPairs.D(), 800*time.Microsecond), ReadPerS: b.PrefillTokensPerSecond,
			StateLife: stateLife, ColdShare: d.Rules.ColdShare, ColdRamp: d.Rules.ColdRamp.D(), Load: e.ModelLoadTime.D(),
		}
		made.Blocks = max(k.Memory/made.BlockTokens, 1)
		for range b.Count {
			i := next[b.Kind]
			next[b.Kind]++
			zone := d.Zones[0]
			if len(b.Zones) > 0 {
				zone = b.Zones[i%len(b.Zones)]
			}
			m := BackendSpec{Name: fmt.Sprintf("%s-%d", b.Kind, i+1), Kind: b.Kind, Role: k.Role, Zone: zone, Rack: b.Racks[i%len(b.Racks)], Units: max(b.Units, 1), Group: b, Engine: made}
			for _, t := range d.Faults {
				for _, n := range t.Backends {
					m.IgnoresCancel = m.IgnoresCancel || t.Kind == "no_cancel" && (n == m.Name || n == m.Kind)
				}
			}
			out = append(out, m)
		}
	}
	return out
}

// RequestShape tells how the questions of a grade look.
func (d *Scenario) RequestShape(grade string) standin.Talk {
	for _, t := range d.Traffic {
		if t.Class == grade {
			return standin.Talk{New: t.NewTokens, Answer: t.AnswerTokens, Prefix: t.SharedPrefixTokens}
		}
	}
	return standin.Talk{New: 1, Answer: 1}
}
