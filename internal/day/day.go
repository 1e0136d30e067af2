// Package day plays scripted scenarios: it parses the TOML form, draws the requests that clients will send, schedules
// the faults, and runs the scenario against real dispatcher processes with test backends around them. It checks no
// rules; the record of a run is for internal/checker. Begin with Scenario, then Run.
package day

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
)

// Scenario is a script of deployment, traffic and faults.
type Scenario struct {
	Header    Header         `toml:"day"`
	Links     Links          `toml:"links"`
	Discovery Discovery      `toml:"list"`
	Clients   Clients        `toml:"clients"`
	Backends  []BackendGroup `toml:"box"`
	Traffic   []Traffic      `toml:"traffic"`
	Faults    []Fault        `toml:"trouble,omitempty"`
	setup.Deployment
}

// Header has the length and the size of a scenario.
type Header struct {
	Name              string         `toml:"name"`
	Duration          setup.Duration `toml:"length"`
	Seed              uint64         `toml:"seed"`
	Dispatchers       int            `toml:"dispatchers"`
	RequestsPerSecond float64        `toml:"questions_a_second"`
	DeadlineMargin    setup.Duration `toml:"margin"` // by how much dispatchers answer before a client's deadline
	Ledger            bool           `toml:"ledger"` // dispatchers keep ledgers, checked against backend counts

	// SplitBudgets gives each dispatcher an equal part of each budget, for comparison. In virtual time only.
	SplitBudgets bool `toml:"split_budgets,omitempty"`

	// LoadBalancerNotice is how long the load balancer goes on sending to a dispatcher that was killed.
	LoadBalancerNotice setup.Duration `toml:"front_notice"`
}

// Links are the links that carry KV caches from prefill to decode.
type Links struct {
	NearTokensPerSecond float64 `toml:"near_tokens_a_second"`
	FarTokensPerSecond  float64 `toml:"far_tokens_a_second"`
	CrossZoneFactor     float64 `toml:"other_zone_times"` // how many times slower to another zone
}

// Discovery has the delays of service discovery.
type Discovery struct {
	NoticeDelay        setup.Duration `toml:"notice"`      // for starts and drains
	FailureNoticeDelay setup.Duration `toml:"gone_notice"` // for processes that died
}

// Clients describes the behaviour of clients.
type Clients struct {
	Retries           int            `toml:"retries"`
	RetryWait         setup.Duration `toml:"wait"`
	WaitDoubles       bool           `toml:"wait_doubles"`
	FollowAdviceShare float64        `toml:"honour"` // share that follows the retry advice
	PatienceMin       float64        `toml:"patience_min"`
	PatienceMax       float64        `toml:"patience_max"` // of the time to the deadline, after which a try is given up
}

// BackendGroup is a number of backends of one kind and configuration.
type BackendGroup struct {
	Kind                   string         `toml:"kind"`
	Count                  int            `toml:"count"`
	Racks                  []string       `toml:"racks"` // assigned in turn
	Zones                  []string       `toml:"zones,omitempty"`
	Slots                  int            `toml:"slots"`
	Queue                  int            `toml:"queue"`
	PrefillTokensPerSecond float64        `toml:"read_tokens_a_second"`
	TokenTime              setup.Duration `toml:"token_time"`
	Units                  float64        `toml:"units"`
	Addresses              []string       `toml:"addresses,omitempty"` // tcp4, tcp6, unix, in order; default one tcp4
	Engine                 Engine         `toml:"engine,omitempty"`
}

// Engine configures the emulated engine of backends, where a scenario uses one. Omitted keys have the default value.
type Engine struct {
	BlockTokens         int            `toml:"block_tokens,omitempty"`     // tokens in a block of memory; default 32
	ChunkTokens         int            `toml:"chunk_tokens,omitempty"`     // most prompt tokens in one step; default 2048
	StepTime            setup.Duration `toml:"step,omitempty"`             // of a step without load; default token_time
	StepPerAnswer       setup.Duration `toml:"step_per_answer,omitempty"`  // for each running answer; default 0.15 ms
	StepPer1000Context  setup.Duration `toml:"step_per_1000,omitempty"`    // for 1,000 tokens of context; default 0.04 ms
	StepPerMillionPairs setup.Duration `toml:"step_per_m_pairs,omitempty"` // per 1e6 prefill token pairs; default 0.8 ms
	ModelLoadTime       setup.Duration `toml:"model_load,omitempty"`       // delay of a cold start; default 0
}

// Traffic describes the requests of one class.
type Traffic struct {
	Class              string  `toml:"grade"`
	Share              float64 `toml:"share"`
	NewTokens          float64 `toml:"new_tokens"`
	AnswerTokens       float64 `toml:"answer_tokens"`
	Turns              float64 `toml:"turns"`
	SharedPrefixShare  float64 `toml:"shared"`        // share of sessions that begin with a shared prefix
	SharedPrefixes     int     `toml:"beginnings"`    // number of distinct shared prefixes
	SharedPrefixTokens int     `toml:"shared_tokens"` // tokens of each
}

// Fault is a fault that is injected for a while.
type Fault struct {
	Kind        string         `toml:"kind"`
	Start       setup.Duration `toml:"at"`
	Duration    setup.Duration `toml:"length,omitempty"`
	Backends    []string       `toml:"boxes,omitempty"` // names, or kinds for all backends of a kind
	Dispatchers []int          `toml:"dispatchers,omitempty"`
	Factor      float64        `toml:"size,omitempty"`
	Share       float64        `toml:"share,omitempty"`
	Class       string         `toml:"grade,omitempty"`
	Tenant      string         `toml:"channel,omitempty"`
	Delay       setup.Duration `toml:"by,omitempty"`
	Tokens      int            `toml:"tokens,omitempty"`
	Addresses   []int          `toml:"addresses,omitempty"` // of each backend hit, by number from 0
	Bytes       int            `toml:"bytes,omitempty"`
}

// faultKind describes a kind of fault and the keys that it requires.
type faultKind struct {
	Name, Description string
	RequiredKeys      []string
}

// FaultKinds lists the kinds of fault.
var FaultKinds = []faultKind{
	{"slow", "backends work size times slower", []string{"boxes", "size"}},
	{"failing", "backends answer a share of attempts with an error at once, some after the effect",
		[]string{"boxes", "share"}},
	{"grade_failing", "backends fail a share of one class's attempts", []string{"boxes", "share", "grade"}},
	{"hang", "backends accept attempts and send nothing", []string{"boxes"}},
	{"crash", "backends die at once and start cold after length", []string{"boxes"}},
	{"crash_after_read",
		"prefill backends die after a share of their prefills, before the KV cache is taken, and start cold after length",
		[]string{"boxes", "share"}},
	{"reset", "backends reset a share of answers mid-stream", []string{"boxes", "share"}},
	{"reset_running", "backends reset a share of attempts that have begun to run, before the first token",
		[]string{"boxes", "share"}},
	{"forget", "backends drop their prefix caches, once", []string{"boxes"}},
	{"no_cancel", "a cancel or a timeout does not stop work at the backends", []string{"boxes"}},
	{"drain", "backends drain; after length they are removed, and back cold a second later", []string{"boxes"}},
	{"replace", "backends drain, and new ones start cold in their place at once; after length the old ones are removed " +
		"(in virtual time only)", []string{"boxes"}},
	{"connect_late", "a share of connections to backends is established late, by at most by (in virtual time only)",
		[]string{"share", "by"}},
	{"restart", "backends restart cold, and service discovery reports it with its usual delay", []string{"boxes"}},
	{"neighbour", "another program takes a share of the backends' machines", []string{"boxes", "share"}},
	{"ageing", "backends lose a share of their speed each second, then crash", []string{"boxes", "share"}},
	{"evict_fresh", "backends under memory pressure evict KV caches that were just sent to them", []string{"boxes"}},
	{"list_stale", "service discovery is later than usual by so much", []string{"by"}},
	{"list_gap", "the next update of service discovery is lost", nil},
	{"list_down", "service discovery is unavailable", nil},
	{"link_slow", "the racks' links are size times slower", []string{"size"}},
	{"kill_dispatcher", "dispatchers are killed (SIGKILL) and restart after length", []string{"dispatchers"}},
	{"stop_dispatcher", "dispatchers are stopped (SIGTERM) and restart after length", []string{"dispatchers"}},
	{"burst", "size times as many requests; the additional ones of one tenant, if it is named", []string{"size"}},
	{"leave", "a share of clients leaves before the latency target, or mid-stream", []string{"share"}},
	{"give_up", "a share of clients waits only size times the latency target, and says so", []string{"share", "size"}},
	{"shared_text", "a share of requests opens new sessions with one unseen prefix of so many tokens",
		[]string{"share", "tokens"}},
	{"long_prompts", "a share of prompts is size times as long", []string{"share", "size"}},
	{"address_refuse", "connections to these addresses of the backends are refused", []string{"boxes", "addresses"}},
	{"address_blackhole", "connections to these addresses are neither made nor refused", []string{"boxes", "addresses"}},
	{"address_stall", "these addresses accept connections, and nothing is read", []string{"boxes", "addresses"}},
	{"address_stall_after", "these addresses answer one request on a connection, then nothing is read",
		[]string{"boxes", "addresses"}},
	{"address_slow", "each read at these addresses takes longer by so much", []string{"boxes", "addresses", "by"}},
	{"address_reset", "connections to these addresses are reset after so many bytes",
		[]string{"boxes", "addresses", "bytes"}},
	{"address_flap", "these addresses refuse and serve in turn, each for so long", []string{"boxes", "addresses", "by"}},
	{"address_swap", "the first two backends' processes swap these addresses", []string{"boxes", "addresses"}},
	{"address_drop", "service discovery lists these addresses no more", []string{"boxes", "addresses"}},
	{"slow_clients", "a share of clients reads its answer slowly, one piece every by", []string{"share", "by"}},
}

// Default returns the values that a script's file changes.
func Default() Scenario {
	return Scenario{
		Deployment: setup.DefaultDeployment(),
		Header: Header{Name: "day", Duration: setup.Duration(20 * time.Second), Seed: 1, Dispatchers: 2,
			RequestsPerSecond: 20,
			DeadlineMargin:    setup.Duration(40 * time.Millisecond), LoadBalancerNotice: setup.Duration(time.Second)},
		Links: Links{NearTokensPerSecond: 250_000, FarTokensPerSecond: 400_000, CrossZoneFactor: 2},
		Discovery: Discovery{NoticeDelay: setup.Duration(500 * time.Millisecond),
			FailureNoticeDelay: setup.Duration(2 * time.Second)},
		Clients: Clients{Retries: 1, RetryWait: setup.Duration(100 * time.Millisecond), FollowAdviceShare: 0.7,
			PatienceMin: 0.5, PatienceMax: 1},
	}
}

// Load reads a script from a file.
func Load(file string) (Scenario, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, err
	}
	return Parse(file, raw)
}

// Parse reads a script's text. Errors name the file, the line and the key.
func Parse(file string, raw []byte) (Scenario, error) {
	d := Default()
	return d, setup.Decode(file, raw, &d, d.check)
}

// Limits of what one machine can play.
const (
	maxBackends    = 200
	maxDispatchers = 400
	maxDuration    = 30 * time.Minute
	maxRequests    = 500_000
	maxSlots       = 1 << 20
	maxFactor      = 1000 // of a fault
)

// inRange reports whether a value is above 0 and at most the largest that is accepted. It is false for NaN.
func inRange(v float64) bool { return v > 0 && v <= setup.MaxNumber }

func (d *Scenario) check() error {
	header := d.Header
	switch {
	case header.Duration <= 0 || header.Duration.Std() > maxDuration:
		return setup.Invalidf("day.length", "must be above 0 and at most %v", maxDuration)
	case header.Dispatchers < 1 || header.Dispatchers > maxDispatchers:
		return setup.Invalidf("day.dispatchers", "must be from 1 to %d", maxDispatchers)
	case !(header.RequestsPerSecond > 0 && header.RequestsPerSecond*header.Duration.Std().Seconds() <= maxRequests):
		return setup.Invalidf("day.questions_a_second", "must be above 0 and come to at most %d requests", maxRequests)
	case !(inRange(d.Links.NearTokensPerSecond) && inRange(d.Links.FarTokensPerSecond)):
		return setup.Invalidf("links", "must be above 0 and at most %g", float64(setup.MaxNumber))
	case d.Discovery.NoticeDelay.Std() > maxDuration || d.Discovery.FailureNoticeDelay.Std() > maxDuration:
		return setup.Invalidf("list", "must be at most %v", maxDuration)
	case !(d.Clients.PatienceMin > 0 && d.Clients.PatienceMin <= d.Clients.PatienceMax):
		return setup.Invalidf("clients.patience_min", "must be above 0 and not above patience_max")
	case d.Clients.PatienceMax > 100:
		return setup.Invalidf("clients.patience_max", "must be at most 100")
	case d.Clients.Retries < 0 || d.Clients.Retries > 50:
		return setup.Invalidf("clients.retries", "must be from 0 to 50")
	case len(d.Traffic) == 0:
		return setup.Invalidf("traffic", "must have at least one entry")
	}
	if err := setup.FirstError(
		setup.CheckNumber("links.other_zone_times", d.Links.CrossZoneFactor, setup.MaxNumber),
		setup.CheckNumber("clients.honour", d.Clients.FollowAdviceShare, 1), d.Deployment.Check(),
	); err != nil {
		return err
	}
	for i, b := range d.Budgets {
		if b.Monthly != nil && !header.Ledger && !header.SplitBudgets {
			return setup.Invalidf(fmt.Sprintf("budget.%d.monthly", i), "needs day.ledger")
		}
	}
	total := 0
	for i, b := range d.Backends {
		key := fmt.Sprintf("box.%d.", i)
		switch {
		case d.KindIndex(b.Kind) < 0:
			return setup.Invalidf(key+"kind", "%q is not among the kinds", b.Kind)
		case b.Count < 1:
			return setup.Invalidf(key+"count", "must be at least 1")
		case len(b.Racks) == 0:
			return setup.Invalidf(key+"racks", "must name at least one rack")
		case b.Slots < 1 || b.Queue < 0 || max(b.Slots, b.Queue) > maxSlots:
			return setup.Invalidf(key+"slots", "slots must be at least 1, queue not negative, and both at most %d", maxSlots)
		case !inRange(b.PrefillTokensPerSecond):
			return setup.Invalidf(key+"read_tokens_a_second", "must be above 0 and at most %g", float64(setup.MaxNumber))
		case b.TokenTime <= 0:
			return setup.Invalidf(key+"token_time", "must be above 0")
		}
		if err := setup.CheckNumber(key+"units", b.Units, endpointlist.MaxUnits); err != nil {
			return err
		}
		for _, network := range b.Addresses {
			if network != addresses.TCP4 && network != addresses.TCP6 && network != addresses.Unix {
				return setup.Invalidf(key+"addresses", "%q is none of tcp4, tcp6 and unix", network)
			}
		}
		for _, z := range b.Zones {
			if d.ZoneIndex(z) < 0 {
				return setup.Invalidf(key+"zones", "%q is not among the zones", z)
			}
		}
		total += b.Count
	}
	if total == 0 || total > maxBackends {
		return setup.Invalidf("box", "the number of backends must be from 1 to %d, but is %d", maxBackends, total)
	}
	for i, t := range d.Traffic {
		key := fmt.Sprintf("traffic.%d.", i)
		switch {
		case d.ClassIndex(t.Class) < 0:
			return setup.Invalidf(key+"grade", "%q is not among the classes", t.Class)
		case !(t.NewTokens > 0 && t.NewTokens <= kserve.MaxTokens):
			return setup.Invalidf(key+"new_tokens", "must be above 0 and at most %d", kserve.MaxTokens)
		case !(t.AnswerTokens > 0 && t.AnswerTokens <= kserve.MaxTokens):
			return setup.Invalidf(key+"answer_tokens", "must be above 0 and at most %d", kserve.MaxTokens)
		case !(t.Turns >= 1 && t.Turns <= 1000):
			return setup.Invalidf(key+"turns", "must be from 1 to 1000")
		case t.SharedPrefixShare > 0 && (t.SharedPrefixes < 1 || t.SharedPrefixTokens < 1),
			t.SharedPrefixes > maxRequests || t.SharedPrefixTokens > kserve.MaxTokens:
			return setup.Invalidf(key+"beginnings",
				"shared prefixes need beginnings from 1 to %d and shared_tokens from 1 to %d",
				maxRequests, kserve.MaxTokens)
		}
		if err := setup.FirstError(setup.CheckNumber(key+"share", t.Share, setup.MaxNumber),
			setup.CheckNumber(key+"shared", t.SharedPrefixShare, 1)); err != nil {
			return err
		}
	}
	names := d.names()
	for i, fault := range d.Faults {
		key := fmt.Sprintf("trouble.%d.", i)
		k := slices.IndexFunc(FaultKinds, func(k faultKind) bool { return k.Name == fault.Kind })
		if k < 0 {
			return setup.Invalidf(key+"kind", "%q is unknown; see day kinds", fault.Kind)
		}
		for _, required := range FaultKinds[k].RequiredKeys {
			missing := map[string]bool{"boxes": len(fault.Backends) == 0,
				"size":  !(fault.Factor > 0 && fault.Factor <= maxFactor),
				"share": !(fault.Share > 0 && fault.Share <= 1), "grade": d.ClassIndex(fault.Class) < 0,
				"by": fault.Delay <= 0, "dispatchers": len(fault.Dispatchers) == 0, "tokens": fault.Tokens <= 0,
				"addresses": len(fault.Addresses) == 0, "bytes": fault.Bytes <= 0}
			if missing[required] {
				return setup.Invalidf(key+required, "missing or out of range, but %s requires it: %s", fault.Kind,
					FaultKinds[k].Description)
			}
		}
		if fault.Tenant != "" && d.TenantIndex(fault.Tenant) < 0 {
			return setup.Invalidf(key+"channel", "%q is not among the tenants", fault.Tenant)
		}
		for _, b := range fault.Backends {
			if !slices.ContainsFunc(names, func(n string) bool { return n == b || isOfKind(n, b) }) {
				return setup.Invalidf(key+"boxes", "%q is no backend and no kind of this scenario", b)
			}
		}
		for _, n := range fault.Addresses {
			for _, b := range d.Backends {
				if n < 0 || n >= max(len(b.Addresses), 1) &&
					slices.ContainsFunc(fault.Backends, func(name string) bool { return name == b.Kind || isOfKind(name, b.Kind) }) {
					return setup.Invalidf(key+"addresses", "a backend of kind %s has no address %d", b.Kind, n)
				}
			}
		}
		for _, n := range fault.Dispatchers {
			if n < 0 || n >= header.Dispatchers {
				return setup.Invalidf(key+"dispatchers", "there is no dispatcher %d; there are %d", n, header.Dispatchers)
			}
		}
	}
	return nil
}

// isOfKind reports whether a backend is of a kind, by its name.
func isOfKind(backend, kind string) bool {
	i := strings.LastIndexByte(backend, '-')
	return i >= 0 && backend[:i] == kind
}

// names lists the backends: those of each kind are numbered from 1.
func (d *Scenario) names() []string {
	var names []string
	lastNumber := map[string]int{} // by kind
	for _, b := range d.Backends {
		for range b.Count {
			lastNumber[b.Kind]++
			names = append(names, fmt.Sprintf("%s-%d", b.Kind, lastNumber[b.Kind]))
		}
	}
	return names
}

// rng returns a generator of random numbers for one purpose, which is given by its number.
func (d *Scenario) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(d.Header.Seed, stream)) }

// BackendNames lists the names of a kind's backends.
func (d *Scenario) BackendNames(kind string) []string {
	return slices.DeleteFunc(d.names(), func(name string) bool { return !isOfKind(name, kind) })
}
