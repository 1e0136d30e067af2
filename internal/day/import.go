package day

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"sloetrestle/internal/setup"
)

// Scale is the factors that an imported scenario's times and request rate are multiplied by.
type Scale struct{ Duration, Rate float64 }

// benchScenario is what is read of a scenario that the bench drew. Times are in microseconds.
type benchScenario struct {
	Site     string
	Family   string
	Noise    uint64
	Duration int64 `json:"length"`
	Zones    []string
	Traffic  struct {
		Load    float64
		Shape   [][2]float64
		BurstCV float64 `json:"burst_cv"`
	}
	Clients struct {
		Retries   int
		TryShare  float64 `json:"try_share"`
		Backoff   string
		BackoffUs float64 `json:"backoff_us"`
		Honour    float64
	}
	Discovery struct {
		Notice       int64
		SilentNotice int64 `json:"silent_notice"`
	}
	Allow struct {
		Peers       bool
		Cancel      bool
		RetryAfter  bool `json:"retry_after"`
		MaxAttempts int  `json:"max_attempts"`
	}
	DrainGrace       int64   `json:"drain_grace"`
	OverloadMultiple float64 `json:"fall_multiple"`
	OverloadWindow   int64   `json:"fall_for"`
	Classes          []struct {
		Name          string
		Share         float64
		LatencyTarget int64 `json:"aim"`
		Deadline      int64
		Value         float64 `json:"worth"`
		LateValue     float64 `json:"late_worth"`
		Effect, Group string
		Window        int64
	}
	Tenants []struct {
		Name         string
		Share, Quota float64
	}
	Tiers []struct {
		Kinds []struct {
			Name           string
			Slots, Queue   int
			Cancel         string
			SlowStartShare float64 `json:"stated_cold_from"`
		}
		ReportHow         string   `json:"report_how"`
		ReportFields      []string `json:"report_fields"`
		SlowStartShare    float64  `json:"stated_cold_from"`
		SlowStartDuration int64    `json:"stated_cold"`
	}
	Servers []struct {
		Zone, Kind, Cell int
		Speed, Weight    float64
	}
	Balancers []struct{ Zone int }
	Faults    []struct {
		Kind     string
		Start    int64 `json:"at"`
		Duration int64 `json:"len"`
		Size     float64
		Extra    float64
		Targets  []int `json:"on"`
		Class    int   `json:"which"`
		Steps    json.RawMessage
	} `json:"troubles"`
	TwoStage struct {
		Engines []struct {
			Memory, Queue, Slots   int
			PrefillTokensPerSecond float64 `json:"read_per_s"`
			StepMs                 float64 `json:"step_ms"`
			StepPerSequenceMs      float64 `json:"per_seq_ms"`
		}
		Far, Near    float64
		FarPrice     float64 `json:"far_price"`
		Release      int64
		Roles        []string
		TokenClasses []struct {
			LatencyTargetMsPer1000 float64 `json:"aim_ms_per_k"`
			NewTokens              float64 `json:"new_tokens"`
			AnswerTokens           float64 `json:"out_tokens"`
			PrefixShare            float64 `json:"prefix_share"`
			PrefixTokens           float64 `json:"prefix_tokens"`
			TokenMs                float64 `json:"token_ms"`
			Turns                  float64
			Prefixes               int
			MaxAnswerTokens        int `json:"max_out"`
		} `json:"talks"`
		DecodeBackendsPrefill bool    `json:"writers_read"`
		ZoneSlower            float64 `json:"zone_slower"`
	} `json:"fam"`
}

// importedKinds gives the kind of fault for each of the bench's kinds.
var importedKinds = map[string]string{
	"slow": "slow", "fast_errors": "failing", "class_fail": "grade_failing", "burst": "burst", "hot_key": "shared_text",
	"heavy_tail": "long_prompts", "discovery_stale": "list_stale", "balancer_roll": "kill_dispatcher",
	"origin_slow": "link_slow", "flush": "forget", "give_up": "leave", "mass_restart": "restart", "ageing": "slow",
	"neighbour": "slow",
}

// Import turns a scenario drawn by the bench into a script, and lists what it can't represent.
func Import(file string, raw []byte, scale Scale) (Scenario, []string, error) {
	var bench benchScenario
	if err := json.Unmarshal(raw, &bench); err != nil {
		return Scenario{}, nil, fmt.Errorf("%s: %w", file, err)
	}
	if bench.Family != "twostage" || len(bench.Tiers) == 0 || len(bench.Servers) == 0 || len(bench.TwoStage.Engines) == 0 {
		return Scenario{}, nil, fmt.Errorf("%s: not a scenario of a two-stage deployment drawn by the bench", file)
	}
	if scale.Duration <= 0 || scale.Rate <= 0 {
		return Scenario{}, nil, fmt.Errorf("scales must be above 0, but are %g for time and %g for rate", scale.Duration,
			scale.Rate)
	}
	var omitted []string
	omit := func(format string, args ...any) { omitted = append(omitted, fmt.Sprintf(format, args...)) }
	microseconds := func(v int64) setup.Duration { return setup.Duration(time.Duration(v) * time.Microsecond) }
	scaled := func(v int64) setup.Duration { return setup.Duration(float64(v) * scale.Duration * 1000) }
	scenario := Default()
	scenario.Header.Name, scenario.Header.Seed, scenario.Header.Duration = bench.Site, bench.Noise, scaled(bench.Duration)
	scenario.Header.Dispatchers = len(bench.Balancers)
	scenario.Zones = bench.Zones
	scenario.Links = Links{bench.TwoStage.Near, bench.TwoStage.Far, max(bench.TwoStage.ZoneSlower, 1)}
	scenario.Discovery = Discovery{microseconds(bench.Discovery.Notice), microseconds(bench.Discovery.SilentNotice)}
	scenario.Clients = Clients{bench.Clients.Retries, setup.Duration(bench.Clients.BackoffUs * 1000),
		bench.Clients.Backoff == "exp",
		bench.Clients.Honour, bench.Clients.TryShare, 1}
	scenario.Clients.PatienceMin = min(max(bench.Clients.TryShare, 0.05), 1)
	tier := bench.Tiers[0]
	scenario.ReportFields = tier.ReportFields
	scenario.Rules.DrainGrace, scenario.Rules.SlowStartMultiple, scenario.Rules.SlowStartWindow =
		microseconds(bench.DrainGrace), bench.OverloadMultiple, microseconds(bench.OverloadWindow)
	scenario.Rules.SlowStartShare, scenario.Rules.SlowStartRamp, scenario.Rules.KVCacheHoldLimit =
		tier.SlowStartShare, microseconds(tier.SlowStartDuration), microseconds(bench.TwoStage.Release)
	scenario.Limits.MaxAttempts, scenario.Limits.Cancel, scenario.Limits.PeerUpdates = max(bench.Allow.MaxAttempts, 1),
		bench.Allow.Cancel,
		bench.Allow.Peers
	scenario.Limits.DecodeCanPrefill = bench.TwoStage.DecodeBackendsPrefill
	if !bench.Allow.RetryAfter {
		scenario.Limits.MaxRetryAfter = 0
	}
	effects := map[string]string{"safe": "idempotent", "keyed": "deduplicated", "unsafe": "unrepeatable"}
	reaches := map[string]string{"all": "all", "zone": "zone", "cell": "rack"}
	var answerTokens, newTokens, shares float64 // tokens are weighted by the classes' shares
	for i, benchClass := range bench.Classes {
		class := setup.Class{Name: benchClass.Name, Effect: effects[benchClass.Effect], DedupScope: reaches[benchClass.Group],
			DedupWindow: microseconds(benchClass.Window), LatencyTarget: microseconds(benchClass.LatencyTarget),
			Deadline: microseconds(benchClass.Deadline),
			Value:    benchClass.Value, LateValue: benchClass.LateValue, DefaultMaxTokens: 400}
		if i < len(bench.TwoStage.TokenClasses) {
			t := bench.TwoStage.TokenClasses[i]
			class.TargetPer1000Tokens, class.InterTokenTarget, class.DefaultMaxTokens =
				setup.Duration(t.LatencyTargetMsPer1000*1e6), setup.Duration(t.TokenMs*1e6), max(t.MaxAnswerTokens, 1)
			scenario.Traffic = append(scenario.Traffic, Traffic{Class: benchClass.Name, Share: benchClass.Share,
				NewTokens:    t.NewTokens,
				AnswerTokens: t.AnswerTokens, Turns: max(t.Turns, 1), SharedPrefixShare: t.PrefixShare,
				SharedPrefixes: max(t.Prefixes, 1), SharedPrefixTokens: max(int(t.PrefixTokens), 1)})
			answerTokens, newTokens, shares =
				answerTokens+benchClass.Share*t.AnswerTokens, newTokens+benchClass.Share*t.NewTokens, shares+benchClass.Share
		}
		scenario.Classes = append(scenario.Classes, class)
	}
	roles := map[string]string{"read": "reader", "write": "writer", "both": "mixed"}
	prefillCapacity, decodeCapacity := 0.0, 0.0 // in requests a second
	for i, k := range tier.Kinds {
		benchEngine := bench.TwoStage.Engines[min(i, len(bench.TwoStage.Engines)-1)]
		role := roles["both"]
		if i < len(bench.TwoStage.Roles) {
			role = roles[bench.TwoStage.Roles[i]]
		}
		scenario.BackendKinds = append(scenario.BackendKinds, setup.BackendKind{Name: k.Name, Role: role,
			MemoryTokens: benchEngine.Memory})
		tokenTime := time.Duration((benchEngine.StepMs + benchEngine.StepPerSequenceMs*float64(benchEngine.Slots)/2) *
			float64(time.Millisecond))
		if k.Cancel != "all" {
			scenario.Faults = append(scenario.Faults, Fault{Kind: "no_cancel", Duration: scenario.Header.Duration,
				Backends: []string{k.Name}})
		}
		for _, benchServer := range bench.Servers {
			if benchServer.Kind != i {
				continue
			}
			scenario.Backends = append(scenario.Backends, BackendGroup{Kind: k.Name, Count: 1,
				Racks: []string{fmt.Sprintf("rack-%d", benchServer.Cell)}, Zones: []string{bench.Zones[benchServer.Zone]},
				Slots: max(benchEngine.Slots, 1),
				Queue: benchEngine.Queue, PrefillTokensPerSecond: benchEngine.PrefillTokensPerSecond * benchServer.Speed,
				TokenTime: setup.Duration(float64(tokenTime) / benchServer.Speed), Units: benchServer.Weight})
			if role == "reader" {
				prefillCapacity += benchEngine.PrefillTokensPerSecond * benchServer.Speed / max(newTokens/max(shares, 1e-9)*1.5, 1)
			} else {
				decodeCapacity += float64(benchEngine.Slots) * benchServer.Speed / tokenTime.Seconds() /
					max(answerTokens/max(shares, 1e-9), 1)
			}
		}
	}
	scenario.makeKindNamesUnique()
	scenario.Header.RequestsPerSecond = math.Round(100*bench.Traffic.Load*
		min(infiniteIfZero(prefillCapacity), infiniteIfZero(decodeCapacity))*scale.Rate) / 100
	for _, t := range bench.Tenants {
		scenario.Tenants = append(scenario.Tenants, setup.Tenant{Name: t.Name, Share: t.Share,
			RequestsPerSecond: t.Quota * scenario.Header.RequestsPerSecond})
	}
	names := scenario.serverNames(bench.serverKinds())
	for _, benchFault := range bench.Faults {
		kind, known := importedKinds[benchFault.Kind]
		if !known {
			omit("the fault %s", benchFault.Kind)
			continue
		}
		fault := Fault{Kind: kind, Start: scaled(benchFault.Start), Duration: scaled(benchFault.Duration),
			Factor: max(benchFault.Size, 1)}
		for _, target := range benchFault.Targets {
			if kind == "kill_dispatcher" {
				if target < scenario.Header.Dispatchers {
					fault.Dispatchers = append(fault.Dispatchers, target)
				}
			} else if target < len(names) {
				fault.Backends = append(fault.Backends, names[target])
			}
		}
		switch kind {
		case "failing", "grade_failing":
			fault.Share = min(max(benchFault.Size, 0.01), 1)
			if kind == "grade_failing" && benchFault.Class < len(scenario.Classes) {
				fault.Class = scenario.Classes[benchFault.Class].Name
			}
		case "shared_text":
			fault.Share, fault.Tokens = min(max(benchFault.Size, 0.01), 1), 4000
		case "long_prompts":
			fault.Share = min(max(benchFault.Extra, 0.005), 1)
		case "list_stale":
			fault.Delay = setup.Duration(benchFault.Size * 1e9)
		case "leave":
			fault.Share = min(max(benchFault.Extra, 0.05), 1)
			omit("give_up: how long each client waits; here a share leaves at a random time")
		case "kill_dispatcher":
			if len(fault.Dispatchers) == 0 {
				for i := range scenario.Header.Dispatchers {
					fault.Dispatchers = append(fault.Dispatchers, i)
				}
			}
			fault.Duration = setup.Duration(max(benchFault.Extra, 0.2) * 1e9)
			omit("balancer_roll: one batch after the other; here all named dispatchers restart together")
		}
		if benchFault.Kind == "ageing" || benchFault.Kind == "neighbour" {
			omit("%s: its course over time; it becomes slow, at its full size", benchFault.Kind)
		}
		if requiresBackends(kind) && len(fault.Backends) == 0 {
			omit("the fault %s, which names no backends", benchFault.Kind)
			continue
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	if len(bench.Traffic.Shape) > 1 {
		omit("the shape of the load over time; it is steady")
	}
	if bench.Traffic.BurstCV > 0 {
		omit("the burstiness of arrivals; they are Poisson")
	}
	omit("network delays, prices, the cost of connections, noise of load reports, and engine steps: " +
		"these backends are simpler")
	omit("the load: %.2f of a capacity estimated for these backends gives %.2f requests a second", bench.Traffic.Load,
		scenario.Header.RequestsPerSecond)
	if err := scenario.check(); err != nil {
		return scenario, omitted, fmt.Errorf("%s: the imported scenario is invalid: %w", file, err)
	}
	return scenario, omitted, nil
}

// infiniteIfZero keeps a pool without backends from limiting the capacity.
func infiniteIfZero(v float64) float64 {
	if v == 0 {
		return math.Inf(1)
	}
	return v
}

func requiresBackends(name string) bool {
	for _, kind := range FaultKinds {
		if kind.Name == name {
			for _, key := range kind.RequiredKeys {
				if key == "boxes" {
					return true
				}
			}
		}
	}
	return false
}

func (in *benchScenario) serverKinds() []int {
	var kinds []int
	for _, s := range in.Servers {
		kinds = append(kinds, s.Kind)
	}
	return kinds
}

// serverNames gives the name of the backend that represents each of the bench's servers.
func (d *Scenario) serverNames(kinds []int) []string {
	names := make([]string, len(kinds))
	lastNumber := map[int]int{} // by kind
	for i, k := range kinds {
		lastNumber[k]++
		names[i] = fmt.Sprintf("%s-%d", d.BackendKinds[k].Name, lastNumber[k])
	}
	return names
}

// makeKindNamesUnique renames kinds whose name is taken by an earlier one.
func (d *Scenario) makeKindNamesUnique() {
	seen := map[string]bool{}
	for i, k := range d.BackendKinds {
		if seen[k.Name] {
			d.BackendKinds[i].Name = fmt.Sprintf("%s%d", k.Name, i)
		}
		seen[k.Name] = true
	}
}
