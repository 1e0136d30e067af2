package day

import (
	"cmp"
	"fmt"
	"time"

	"sloetrestle/internal/engine"
	"sloetrestle/internal/fakes"
)

// BackendSpec is the configuration of one backend of a scenario.
type BackendSpec struct {
	Name, Kind, Role, Zone, Rack string
	Units                        float64
	IgnoresCancel                bool // a cancel does not stop its work
	Group                        BackendGroup
	Engine                       engine.Config
}

// kvCacheLifetime is how long a KV cache is held for a dispatcher that may have been killed.
const kvCacheLifetime = 8 * time.Second

// BackendSpecs lists the scenario's backends with their engines.
func (d *Scenario) BackendSpecs() []BackendSpec {
	var specs []BackendSpec
	next := map[string]int{} // by kind
	for _, group := range d.Backends {
		kind := d.BackendKinds[d.KindIndex(group.Kind)]
		engineConfig := group.Engine
		// The defaults have the published orders of magnitude for 70B-class models on one server of eight accelerators:
		// a decode step of 10 to 25 ms, blocks of 16 to 64 tokens, chunks of 512 to 8,192 tokens.
		engineSpec := engine.Config{
			Prefills: kind.Role != "writer", Decodes: kind.Role != "reader", Slots: group.Slots, MaxQueued: group.Queue,
			BlockTokens: cmp.Or(engineConfig.BlockTokens, 32), ChunkTokens: cmp.Or(engineConfig.ChunkTokens, 2048),
			StepTime:                 cmp.Or(engineConfig.StepTime.Std(), group.TokenTime.Std()),
			TimePerSequence:          cmp.Or(engineConfig.StepPerAnswer.Std(), 150*time.Microsecond),
			TimePer1000ContextTokens: cmp.Or(engineConfig.StepPer1000Context.Std(), 40*time.Microsecond),
			TimePerMillionPairs:      cmp.Or(engineConfig.StepPerMillionPairs.Std(), 800*time.Microsecond),
			PrefillTokensPerSecond:   group.PrefillTokensPerSecond,
			KVCacheTTL:               kvCacheLifetime, SlowStartShare: d.Rules.SlowStartShare,
			SlowStartRamp: d.Rules.SlowStartRamp.Std(),
			ModelLoadTime: engineConfig.ModelLoadTime.Std(),
		}
		engineSpec.Blocks = max(kind.MemoryTokens/engineSpec.BlockTokens, 1)
		for range group.Count {
			i := next[group.Kind]
			next[group.Kind]++
			zone := d.Zones[0]
			if len(group.Zones) > 0 {
				zone = group.Zones[i%len(group.Zones)]
			}
			spec := BackendSpec{Name: fmt.Sprintf("%s-%d", group.Kind, i+1), Kind: group.Kind, Role: kind.Role, Zone: zone,
				Rack: group.Racks[i%len(group.Racks)], Units: max(group.Units, 1), Group: group, Engine: engineSpec}
			for _, f := range d.Faults {
				for _, name := range f.Backends {
					spec.IgnoresCancel = spec.IgnoresCancel ||
						f.Kind == "no_cancel" && (name == spec.Name || name == spec.Kind)
				}
			}
			specs = append(specs, spec)
		}
	}
	return specs
}

// RequestShape returns the token counts of a class's requests.
func (d *Scenario) RequestShape(class string) fakes.ClassProfile {
	for _, t := range d.Traffic {
		if t.Class == class {
			return fakes.ClassProfile{NewTokens: t.NewTokens, AnswerTokens: t.AnswerTokens, PrefixTokens: t.SharedPrefixTokens}
		}
	}
	return fakes.ClassProfile{NewTokens: 1, AnswerTokens: 1}
}
