package day

import (
	"cmp"
	"fmt"
	"time"

	"sloetrestle/internal/engine"
	"sloetrestle/internal/standin"
)

// Made is one box of a day.
type Made struct {
	Name, Kind, Role, Zone, Rack string
	Units                        float64
	Ignores                      bool // a cancel does not stop its work
	Boxes                        Boxes
	Engine                       engine.Config
}

// stateLife is how long a state waits for a dispatcher that may have been killed.
const stateLife = 8 * time.Second

// Makes lists the day's boxes with their engines.
func (d *Day) Makes() []Made {
	var out []Made
	next := map[string]int{}
	for _, b := range d.Boxes {
		k := d.BackendKinds[d.KindIndex(b.Kind)]
		e := b.Engine
		// The presets are of published orders of magnitude for 70B-class models on one server of eight accelerators: a
		// decoding step of 10 to 25 ms, blocks of 16 to 64 tokens, chunks of 512 to 8,192 tokens.
		made := engine.Config{
			Prefills: k.Role != "writer", Decodes: k.Role != "reader", Slots: b.Slots, MaxQueued: b.Queue, BlockTokens: cmp.Or(e.BlockTokens, 32),
			ChunkTokens: cmp.Or(e.Chunk, 2048), StepTime: cmp.Or(e.Step.Std(), b.TokenTime.Std()), TimePerSequence: cmp.Or(e.PerAnswer.Std(), 150*time.Microsecond),
			TimePer1000ContextTokens: cmp.Or(e.PerContextK.Std(), 40*time.Microsecond), TimePerMillionPairs: cmp.Or(e.PairsPerM.Std(), 800*time.Microsecond), PrefillTokensPerSecond: b.ReadPerS,
			KVCacheTTL: stateLife, SlowStartShare: d.Rules.SlowStartShare, SlowStartRamp: d.Rules.SlowStartRamp.Std(), ModelLoadTime: e.Load.Std(),
		}
		made.Blocks = max(k.MemoryTokens/made.BlockTokens, 1)
		for range b.Count {
			i := next[b.Kind]
			next[b.Kind]++
			zone := d.Zones[0]
			if len(b.Zones) > 0 {
				zone = b.Zones[i%len(b.Zones)]
			}
			m := Made{Name: fmt.Sprintf("%s-%d", b.Kind, i+1), Kind: b.Kind, Role: k.Role, Zone: zone, Rack: b.Racks[i%len(b.Racks)], Units: max(b.Units, 1), Boxes: b, Engine: made}
			for _, t := range d.Troubles {
				for _, n := range t.Boxes {
					m.Ignores = m.Ignores || t.Kind == "no_cancel" && (n == m.Name || n == m.Kind)
				}
			}
			out = append(out, m)
		}
	}
	return out
}

// TalkOf tells how the questions of a grade look.
func (d *Day) TalkOf(grade string) standin.ClassProfile {
	for _, t := range d.Traffic {
		if t.Grade == grade {
			return standin.ClassProfile{NewTokens: t.New, AnswerTokens: t.Answer, PrefixTokens: t.Prefix}
		}
	}
	return standin.ClassProfile{NewTokens: 1, AnswerTokens: 1}
}
