package day

import (
	"cmp"
	"fmt"
	"time"

	"sloetrestle/internal/engine"
	"sloetrestle/internal/standin"
)

// Made is one box of a day.
type BackendSpec struct {
	Name, Kind, Role, Zone, Rack string
	Units                        float64
	IgnoresCancel                bool // a cancel does not stop its work
	Group                        BackendGroup
	Engine                       engine.Config
}

// stateLife is how long a state waits for a dispatcher that may have been killed.
const stateLife = 8 * time.Second

// Makes lists the day's boxes with their engines.
func (d *Scenario) BackendSpecs() []BackendSpec {
	var out []BackendSpec
	next := map[string]int{}
	for _, b := range d.Backends {
		k := d.BackendKinds[d.KindIndex(b.Kind)]
		e := b.Engine
		// The presets are of published orders of magnitude for 70B-class models on one server of eight accelerators: a
		// decoding step of 10 to 25 ms, blocks of 16 to 64 tokens, chunks of 512 to 8,192 tokens.
		made := engine.Config{
			Prefills: k.Role != "writer", Decodes: k.Role != "reader", Slots: b.Slots, MaxQueued: b.Queue, BlockTokens: cmp.Or(e.BlockTokens, 32),
			ChunkTokens: cmp.Or(e.ChunkTokens, 2048), StepTime: cmp.Or(e.StepTime.Std(), b.TokenTime.Std()), TimePerSequence: cmp.Or(e.StepPerAnswer.Std(), 150*time.Microsecond),
			TimePer1000ContextTokens: cmp.Or(e.StepPer1000Context.Std(), 40*time.Microsecond), TimePerMillionPairs: cmp.Or(e.StepPerMillionPairs.Std(), 800*time.Microsecond), PrefillTokensPerSecond: b.PrefillTokensPerSecond,
			KVCacheTTL: stateLife, SlowStartShare: d.Rules.SlowStartShare, SlowStartRamp: d.Rules.SlowStartRamp.Std(), ModelLoadTime: e.ModelLoadTime.Std(),
		}
		made.Blocks = max(k.MemoryTokens/made.BlockTokens, 1)
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

// TalkOf tells how the questions of a grade look.
func (d *Scenario) RequestShape(grade string) standin.ClassProfile {
	for _, t := range d.Traffic {
		if t.Class == grade {
			return standin.ClassProfile{NewTokens: t.NewTokens, AnswerTokens: t.AnswerTokens, PrefixTokens: t.SharedPrefixTokens}
		}
	}
	return standin.ClassProfile{NewTokens: 1, AnswerTokens: 1}
}
