package day

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"sloetrestle/internal/setup"
)

// Scale shrinks an imported day.
type Scale struct{ Duration, Rate float64 }

// drawn is what is read of a day that the bench drew; times are in microseconds.
type drawn struct {
	Site    string
	Family  string
	Noise   uint64
	Length  int64
	Zones   []string
	Traffic struct {
		Load     float64
		Shape    [][2]float64
		Burst_cv float64
	}
	Clients struct {
		Retries    int
		Try_share  float64
		Backoff    string
		Backoff_us float64
		Honour     float64
	}
	Discovery struct {
		Notice, Silent_notice int64
	}
	Allow struct {
		Peers        bool
		Cancel       bool
		Retry_after  bool
		Max_attempts int
	}
	Drain_grace   int64
	Fall_multiple float64
	Fall_for      int64
	Classes       []struct {
		Name          string
		Share         float64
		Aim, Deadline int64
		Worth         float64
		Late_worth    float64
		Effect, Group string
		Window        int64
	}
	Tenants []struct {
		Name         string
		Share, Quota float64
	}
	Tiers []struct {
		Kinds []struct {
			Name             string
			Slots, Queue     int
			Cancel           string
			Stated_cold_from float64
		}
		Report_how       string
		Report_fields    []string
		Stated_cold_from float64
		Stated_cold      int64
	}
	Servers []struct {
		Zone, Kind, Cell int
		Speed, Weight    float64
	}
	Balancers []struct{ Zone int }
	Troubles  []struct {
		Kind    string
		At, Len int64
		Size    float64
		Extra   float64
		On      []int
		Which   int
		Steps   json.RawMessage
	}
	Fam struct {
		Engines []struct {
			Memory, Queue, Slots int
			Read_per_s, Step_ms  float64
			Per_seq_ms           float64
		}
		Far, Near, Far_price float64
		Release              int64
		Roles                []string
		Talks                []struct {
			Aim_ms_per_k, New_tokens, Out_tokens, Prefix_share, Prefix_tokens, Token_ms, Turns float64
			Prefixes, Max_out                                                                  int
		}
		Writers_read bool
		Zone_slower  float64
	}
}

// carried gives our kind for the bench's names of troubles.
var carried = map[string]string{
	"slow": "slow", "fast_errors": "failing", "class_fail": "grade_failing", "burst": "burst", "hot_key": "shared_text", "heavy_tail": "long_prompts",
	"discovery_stale": "list_stale", "balancer_roll": "kill_dispatcher", "origin_slow": "link_slow", "flush": "forget", "give_up": "leave",
	"mass_restart": "restart", "ageing": "slow", "neighbour": "slow",
}

// Import turns a day drawn by the bench into a script, and says what it can't carry over.
func Import(file string, raw []byte, scale Scale) (Scenario, []string, error) {
	var in drawn
	if err := json.Unmarshal(raw, &in); err != nil {
		return Scenario{}, nil, fmt.Errorf("%s: %w", file, err)
	}
	if in.Family != "twostage" || len(in.Tiers) == 0 || len(in.Servers) == 0 || len(in.Fam.Engines) == 0 {
		return Scenario{}, nil, fmt.Errorf("%s: no drawn day of a two-stage deployment", file)
	}
	if scale.Duration <= 0 || scale.Rate <= 0 {
		return Scenario{}, nil, fmt.Errorf("scales must be above 0")
	}
	var lost []string
	miss := func(format string, args ...any) { lost = append(lost, fmt.Sprintf(format, args...)) }
	us := func(v int64) setup.Duration { return setup.Duration(time.Duration(v) * time.Microsecond) }
	short := func(v int64) setup.Duration { return setup.Duration(float64(v) * scale.Duration * 1000) }
	d := Default()
	d.Header.Name, d.Header.Seed, d.Header.Duration = in.Site, in.Noise, short(in.Length)
	d.Header.Dispatchers = len(in.Balancers)
	d.Zones = in.Zones
	d.Links = Links{in.Fam.Near, in.Fam.Far, max(in.Fam.Zone_slower, 1)}
	d.Discovery = Discovery{us(in.Discovery.Notice), us(in.Discovery.Silent_notice)}
	d.Clients = Clients{in.Clients.Retries, setup.Duration(in.Clients.Backoff_us * 1000), in.Clients.Backoff == "exp", in.Clients.Honour, in.Clients.Try_share, 1}
	d.Clients.PatienceMin = min(max(in.Clients.Try_share, 0.05), 1)
	tier := in.Tiers[0]
	d.ReportFields = tier.Report_fields
	d.Rules.DrainGrace, d.Rules.SlowStartMultiple, d.Rules.SlowStartWindow = us(in.Drain_grace), in.Fall_multiple, us(in.Fall_for)
	d.Rules.SlowStartShare, d.Rules.SlowStartRamp, d.Rules.KVCacheHoldLimit = tier.Stated_cold_from, us(tier.Stated_cold), us(in.Fam.Release)
	d.Limits.MaxAttempts, d.Limits.Cancel, d.Limits.PeerUpdates = max(in.Allow.Max_attempts, 1), in.Allow.Cancel, in.Allow.Peers
	d.Limits.DecodeCanPrefill = in.Fam.Writers_read
	if !in.Allow.Retry_after {
		d.Limits.MaxRetryAfter = 0
	}
	effect := map[string]string{"safe": "idempotent", "keyed": "deduplicated", "unsafe": "unrepeatable"}
	reach := map[string]string{"all": "all", "zone": "zone", "cell": "rack"}
	var answer, fresh, shares float64
	for i, c := range in.Classes {
		g := setup.Class{Name: c.Name, Effect: effect[c.Effect], DedupScope: reach[c.Group], DedupWindow: us(c.Window), LatencyTarget: us(c.Aim), Deadline: us(c.Deadline),
			Value: c.Worth, LateValue: c.Late_worth, DefaultMaxTokens: 400}
		if i < len(in.Fam.Talks) {
			t := in.Fam.Talks[i]
			g.TargetPer1000Tokens, g.InterTokenTarget, g.DefaultMaxTokens = setup.Duration(t.Aim_ms_per_k*1e6), setup.Duration(t.Token_ms*1e6), max(t.Max_out, 1)
			d.Traffic = append(d.Traffic, Traffic{Class: c.Name, Share: c.Share, NewTokens: t.New_tokens, AnswerTokens: t.Out_tokens, Turns: max(t.Turns, 1),
				SharedPrefixShare: t.Prefix_share, SharedPrefixes: max(t.Prefixes, 1), SharedPrefixTokens: max(int(t.Prefix_tokens), 1)})
			answer, fresh, shares = answer+c.Share*t.Out_tokens, fresh+c.Share*t.New_tokens, shares+c.Share
		}
		d.Classes = append(d.Classes, g)
	}
	role := map[string]string{"read": "reader", "write": "writer", "both": "mixed"}
	reads, writes := 0.0, 0.0 // what the pools can do, in questions a second
	for i, k := range tier.Kinds {
		e := in.Fam.Engines[min(i, len(in.Fam.Engines)-1)]
		r := role["both"]
		if i < len(in.Fam.Roles) {
			r = role[in.Fam.Roles[i]]
		}
		d.BackendKinds = append(d.BackendKinds, setup.BackendKind{Name: k.Name, Role: r, MemoryTokens: e.Memory})
		token := time.Duration((e.Step_ms + e.Per_seq_ms*float64(e.Slots)/2) * float64(time.Millisecond))
		if k.Cancel != "all" {
			d.Faults = append(d.Faults, Fault{Kind: "no_cancel", Duration: d.Header.Duration, Backends: []string{k.Name}})
		}
		for _, s := range in.Servers {
			if s.Kind != i {
				continue
			}
			d.Backends = append(d.Backends, BackendGroup{Kind: k.Name, Count: 1, Racks: []string{fmt.Sprintf("rack-%d", s.Cell)}, Zones: []string{in.Zones[s.Zone]},
				Slots: max(e.Slots, 1), Queue: e.Queue, PrefillTokensPerSecond: e.Read_per_s * s.Speed, TokenTime: setup.Duration(float64(token) / s.Speed), Units: s.Weight})
			if r == "reader" {
				reads += e.Read_per_s * s.Speed / max(fresh/max(shares, 1e-9)*1.5, 1)
			} else {
				writes += float64(e.Slots) * s.Speed / token.Seconds() / max(answer/max(shares, 1e-9), 1)
			}
		}
	}
	d.fixNames()
	d.Header.RequestsPerSecond = math.Round(100*in.Traffic.Load*min(orMost(reads), orMost(writes))*scale.Rate) / 100
	for _, t := range in.Tenants {
		d.Tenants = append(d.Tenants, setup.Tenant{Name: t.Name, Share: t.Share, RequestsPerSecond: t.Quota * d.Header.RequestsPerSecond})
	}
	names := d.serverNames(in.serverKinds())
	for _, t := range in.Troubles {
		kind, known := carried[t.Kind]
		if !known {
			miss("the trouble %s", t.Kind)
			continue
		}
		out := Fault{Kind: kind, Start: short(t.At), Duration: short(t.Len), Factor: max(t.Size, 1)}
		for _, on := range t.On {
			if kind == "kill_dispatcher" {
				if on < d.Header.Dispatchers {
					out.Dispatchers = append(out.Dispatchers, on)
				}
			} else if on < len(names) {
				out.Backends = append(out.Backends, names[on])
			}
		}
		switch kind {
		case "failing", "grade_failing":
			out.Share = min(max(t.Size, 0.01), 1)
			if kind == "grade_failing" && t.Which < len(d.Classes) {
				out.Class = d.Classes[t.Which].Name
			}
		case "shared_text":
			out.Share, out.Tokens = min(max(t.Size, 0.01), 1), 4000
		case "long_prompts":
			out.Share = min(max(t.Extra, 0.005), 1)
		case "list_stale":
			out.Delay = setup.Duration(t.Size * 1e9)
		case "leave":
			out.Share = min(max(t.Extra, 0.05), 1)
			miss("give_up: how long each client waits; here a share leaves at a drawn time")
		case "kill_dispatcher":
			if len(out.Dispatchers) == 0 {
				for i := range d.Header.Dispatchers {
					out.Dispatchers = append(out.Dispatchers, i)
				}
			}
			out.Duration = setup.Duration(max(t.Extra, 0.2) * 1e9)
			miss("balancer_roll: one batch after the other; here all named dispatchers restart together")
		}
		if t.Kind == "ageing" || t.Kind == "neighbour" {
			miss("%s: its course; it is carried as slow, at its full size", t.Kind)
		}
		if needsBoxes(kind) && len(out.Backends) == 0 {
			miss("the trouble %s, which names no boxes", t.Kind)
			continue
		}
		d.Faults = append(d.Faults, out)
	}
	if len(in.Traffic.Shape) > 1 {
		miss("the shape of the load over the day; it is steady")
	}
	if in.Traffic.Burst_cv > 0 {
		miss("the burstiness of arrivals; they are Poisson")
	}
	miss("the network's delays, prices, the cost of connections, noise of load reports, and engines' steps: these boxes are simpler")
	miss("the load: %.2f of a capacity estimated for these boxes gives %.2f questions a second", in.Traffic.Load, d.Header.RequestsPerSecond)
	if err := d.check(); err != nil {
		return d, lost, fmt.Errorf("%s: what came of it is no day: %w", file, err)
	}
	return d, lost, nil
}

func orMost(v float64) float64 {
	if v == 0 {
		return math.Inf(1)
	}
	return v
}

func needsBoxes(k string) bool {
	for _, kind := range FaultKinds {
		if kind.Name == k {
			for _, n := range kind.RequiredKeys {
				if n == "boxes" {
					return true
				}
			}
		}
	}
	return false
}

func (in *drawn) serverKinds() []int {
	var kinds []int
	for _, s := range in.Servers {
		kinds = append(kinds, s.Kind)
	}
	return kinds
}

// serverNames gives the names under which the bench's servers stand here.
func (d *Scenario) serverNames(kinds []int) []string {
	names := make([]string, len(kinds))
	next := map[int]int{}
	for i, k := range kinds {
		next[k]++
		names[i] = fmt.Sprintf("%s-%d", d.BackendKinds[k].Name, next[k])
	}
	return names
}

// fixNames keeps two kinds of one name apart.
func (d *Scenario) fixNames() {
	seen := map[string]bool{}
	for i, k := range d.BackendKinds {
		if seen[k.Name] {
			d.BackendKinds[i].Name = fmt.Sprintf("%s%d", k.Name, i)
		}
		seen[k.Name] = true
	}
}
