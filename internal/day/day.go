// Package day has a scripted day: its TOML form, the questions that clients will ask in it, its troubles, and the
// run of it against real dispatcher processes with stand-ins around them. It judges nothing; the record that it
// leaves is for internal/judge. Begin with Day, then Play.
package day

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
)

// Day is a script.
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

// Head says how long and how much.
type Header struct {
	Name               string         `toml:"name"`
	Duration           setup.Duration `toml:"length"`
	Seed               uint64         `toml:"seed"`
	Dispatchers        int            `toml:"dispatchers"`
	RequestsPerSecond  float64        `toml:"questions_a_second"`
	DeadlineMargin     setup.Duration `toml:"margin"`                  // of the dispatchers, off a client's time
	Ledger             bool           `toml:"ledger"`                  // dispatchers keep ledgers, and these have to have what the boxes counted
	SplitBudgets       bool           `toml:"split_budgets,omitempty"` // in virtual time only, to compare with: each dispatcher has an equal part
	LoadBalancerNotice setup.Duration `toml:"front_notice"`            // how long the front goes on sending to a killed dispatcher
}

// Links carry read states.
type Links struct {
	NearTokensPerSecond float64 `toml:"near_tokens_a_second"`
	FarTokensPerSecond  float64 `toml:"far_tokens_a_second"`
	CrossZoneFactor     float64 `toml:"other_zone_times"`
}

// List is how late the box list is.
type Discovery struct {
	NoticeDelay        setup.Duration `toml:"notice"`      // of starts and drains
	FailureNoticeDelay setup.Duration `toml:"gone_notice"` // of processes that died
}

// Clients are how they behave.
type Clients struct {
	Retries           int            `toml:"retries"`
	RetryWait         setup.Duration `toml:"wait"`
	WaitDoubles       bool           `toml:"wait_doubles"`
	FollowAdviceShare float64        `toml:"honour"` // share that follows the advice
	PatienceMin       float64        `toml:"patience_min"`
	PatienceMax       float64        `toml:"patience_max"` // of the expiry, after which a try is given up
}

// Boxes are some alike.
type BackendGroup struct {
	Kind                   string         `toml:"kind"`
	Count                  int            `toml:"count"`
	Racks                  []string       `toml:"racks"` // in turn
	Zones                  []string       `toml:"zones,omitempty"`
	Slots                  int            `toml:"slots"`
	Queue                  int            `toml:"queue"`
	PrefillTokensPerSecond float64        `toml:"read_tokens_a_second"`
	TokenTime              setup.Duration `toml:"token_time"`
	Units                  float64        `toml:"units"`
	Addresses              []string       `toml:"addresses,omitempty"` // of each box, in their order: tcp4, tcp6, unix; one tcp4 where left out
	Engine                 Engine         `toml:"engine,omitempty"`
}

// Engine is how boxes work inside, where a day plays engines; what is left out has the preset's value.
type Engine struct {
	BlockTokens         int            `toml:"block_tokens,omitempty"`     // tokens to a block of memory; 32
	ChunkTokens         int            `toml:"chunk_tokens,omitempty"`     // prompt tokens read in one step at most; 2048
	StepTime            setup.Duration `toml:"step,omitempty"`             // one that does nothing else; token_time
	StepPerAnswer       setup.Duration `toml:"step_per_answer,omitempty"`  // for each running answer; 0.15 ms
	StepPer1000Context  setup.Duration `toml:"step_per_1000,omitempty"`    // for each 1,000 tokens of context; 0.04 ms
	StepPerMillionPairs setup.Duration `toml:"step_per_m_pairs,omitempty"` // for each million pairs of tokens read; 0.8 ms
	ModelLoadTime       setup.Duration `toml:"model_load,omitempty"`       // before a cold start's first step; 0
}

// Traffic is what is asked of one grade.
type Traffic struct {
	Class              string  `toml:"grade"`
	Share              float64 `toml:"share"`
	NewTokens          float64 `toml:"new_tokens"`
	AnswerTokens       float64 `toml:"answer_tokens"`
	Turns              float64 `toml:"turns"`
	SharedPrefixShare  float64 `toml:"shared"`        // share of sessions that begin with a shared text
	SharedPrefixes     int     `toml:"beginnings"`    // how many there are
	SharedPrefixTokens int     `toml:"shared_tokens"` // of each
}

// Trouble is something that goes wrong for a while.
type Fault struct {
	Kind        string         `toml:"kind"`
	Start       setup.Duration `toml:"at"`
	Duration    setup.Duration `toml:"length,omitempty"`
	Backends    []string       `toml:"boxes,omitempty"` // names, or kinds for all of them
	Dispatchers []int          `toml:"dispatchers,omitempty"`
	Factor      float64        `toml:"size,omitempty"`
	Share       float64        `toml:"share,omitempty"`
	Class       string         `toml:"grade,omitempty"`
	Tenant      string         `toml:"channel,omitempty"`
	Delay       setup.Duration `toml:"by,omitempty"`
	Tokens      int            `toml:"tokens,omitempty"`
	Addresses   []int          `toml:"addresses,omitempty"` // of each box hit, by number from 0
	Bytes       int            `toml:"bytes,omitempty"`
}

// kind says what a trouble is and which of its keys it needs.
type faultKind struct {
	Name, Description string
	RequiredKeys      []string
}

// Kinds lists the troubles.
var FaultKinds = []faultKind{
	{"slow", "boxes work size times slower", []string{"boxes", "size"}},
	{"failing", "boxes answer a share of trips with an error at once, some after the effect", []string{"boxes", "share"}},
	{"grade_failing", "boxes fail a share of one grade's trips", []string{"boxes", "share", "grade"}},
	{"hang", "boxes take trips and say nothing", []string{"boxes"}},
	{"crash", "boxes die at once and start cold after length", []string{"boxes"}},
	{"crash_after_read", "readers die after a share of their reads, before the state is taken, and start cold after length", []string{"boxes", "share"}},
	{"reset", "boxes cut a share of answers off mid-stream", []string{"boxes", "share"}},
	{"reset_running", "boxes cut a share of trips off when they have begun to run, before a token", []string{"boxes", "share"}},
	{"forget", "boxes forget their kept texts, once", []string{"boxes"}},
	{"no_cancel", "a cancel or a time-out does not stop work at the boxes", []string{"boxes"}},
	{"drain", "boxes drain; after length they are gone, and back cold a second later", []string{"boxes"}},
	{"replace", "boxes drain, and new ones start cold in their place at once; after length the old ones are gone (in virtual time only)", []string{"boxes"}},
	{"connect_late", "a share of connections to boxes comes up late, by at most by (in virtual time only)", []string{"share", "by"}},
	{"restart", "boxes restart cold, and the list says so as late as it is", []string{"boxes"}},
	{"neighbour", "another program takes a share of the boxes' machines", []string{"boxes", "share"}},
	{"ageing", "boxes lose a share of their pace each second, then crash", []string{"boxes", "share"}},
	{"evict_fresh", "boxes under pressure evict states that were just sent to them", []string{"boxes"}},
	{"list_stale", "the list is later than usual by so much", []string{"by"}},
	{"list_gap", "the next push of the list is lost", nil},
	{"list_down", "the list is away", nil},
	{"link_slow", "the racks' links are size times slower", []string{"size"}},
	{"kill_dispatcher", "dispatchers are killed outright (SIGKILL) and start anew after length", []string{"dispatchers"}},
	{"stop_dispatcher", "dispatchers are told to stop (SIGTERM) and start anew after length", []string{"dispatchers"}},
	{"burst", "size times as many questions; the further ones of one channel, where it is named", []string{"size"}},
	{"leave", "a share of clients leaves before the promised time, or mid-stream", []string{"share"}},
	{"give_up", "a share of clients waits only size times the promised time, and says so", []string{"share", "size"}},
	{"shared_text", "a share of questions opens new sessions with one unseen text of so many tokens", []string{"share", "tokens"}},
	{"long_prompts", "a share of prompts is size times as long", []string{"share", "size"}},
	{"address_refuse", "nobody listens at these addresses of the boxes", []string{"boxes", "addresses"}},
	{"address_blackhole", "connections to these addresses are neither made nor refused", []string{"boxes", "addresses"}},
	{"address_stall", "these addresses take connections, and nothing is read", []string{"boxes", "addresses"}},
	{"address_stall_after", "these addresses answer one request on a connection, then nothing is read", []string{"boxes", "addresses"}},
	{"address_slow", "each read at these addresses takes longer by so much", []string{"boxes", "addresses", "by"}},
	{"address_reset", "connections to these addresses are reset after so many bytes", []string{"boxes", "addresses", "bytes"}},
	{"address_flap", "these addresses refuse and serve in turn, each for so long", []string{"boxes", "addresses", "by"}},
	{"address_swap", "the first two boxes' processes swap these addresses", []string{"boxes", "addresses"}},
	{"address_drop", "the list names these addresses no more", []string{"boxes", "addresses"}},
	{"slow_clients", "a share of clients takes its answer slowly, a piece every by", []string{"share", "by"}},
}

// Default is what a day starts from.
func Default() Scenario {
	return Scenario{
		Deployment: setup.DefaultDeployment(),
		Header: Header{Name: "day", Duration: setup.Duration(20 * time.Second), Seed: 1, Dispatchers: 2, RequestsPerSecond: 20,
			DeadlineMargin: setup.Duration(40 * time.Millisecond), LoadBalancerNotice: setup.Duration(time.Second)},
		Links:     Links{NearTokensPerSecond: 250_000, FarTokensPerSecond: 400_000, CrossZoneFactor: 2},
		Discovery: Discovery{NoticeDelay: setup.Duration(500 * time.Millisecond), FailureNoticeDelay: setup.Duration(2 * time.Second)},
		Clients:   Clients{Retries: 1, RetryWait: setup.Duration(100 * time.Millisecond), FollowAdviceShare: 0.7, PatienceMin: 0.5, PatienceMax: 1},
	}
}

// Load reads a script.
func Load(file string) (Scenario, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, err
	}
	return Parse(file, raw)
}

// Parse reads a script's text.
func Parse(file string, raw []byte) (Scenario, error) {
	d := Default()
	return d, setup.Decode(file, raw, &d, d.check)
}

// The bounds of what one machine plays.
const (
	mostBoxes       = 200
	mostDispatchers = 400
	mostLength      = 30 * time.Minute
	mostQuestions   = 500_000
	mostSlots       = 1 << 20
	mostSize        = 1000 // times, of a trouble
)

// above tells whether a figure is above nought and one that can be meant.
func above(v float64) bool { return v > 0 && v <= setup.MaxNumber }

func (d *Scenario) check() error {
	h := d.Header
	switch {
	case h.Duration <= 0 || h.Duration.Std() > mostLength:
		return setup.Invalidf("day.length", "must be above 0 and at most %v", mostLength)
	case h.Dispatchers < 1 || h.Dispatchers > mostDispatchers:
		return setup.Invalidf("day.dispatchers", "must be from 1 to %d", mostDispatchers)
	case !(h.RequestsPerSecond > 0 && h.RequestsPerSecond*h.Duration.Std().Seconds() <= mostQuestions):
		return setup.Invalidf("day.questions_a_second", "must be above 0 and come to at most %d questions", mostQuestions)
	case !(above(d.Links.NearTokensPerSecond) && above(d.Links.FarTokensPerSecond)):
		return setup.Invalidf("links", "must be above 0 and at most %g", float64(setup.MaxNumber))
	case d.Discovery.NoticeDelay.Std() > mostLength || d.Discovery.FailureNoticeDelay.Std() > mostLength:
		return setup.Invalidf("list", "must be at most %v", mostLength)
	case !(d.Clients.PatienceMin > 0 && d.Clients.PatienceMin <= d.Clients.PatienceMax):
		return setup.Invalidf("clients.patience_min", "must be above 0 and not beyond patience_max")
	case d.Clients.PatienceMax > 100:
		return setup.Invalidf("clients.patience_max", "must be at most 100")
	case d.Clients.Retries < 0 || d.Clients.Retries > 50:
		return setup.Invalidf("clients.retries", "must be from 0 to 50")
	case len(d.Traffic) == 0:
		return setup.Invalidf("traffic", "nothing is asked")
	}
	if err := setup.FirstError(
		setup.CheckNumber("links.other_zone_times", d.Links.CrossZoneFactor, setup.MaxNumber), setup.CheckNumber("clients.honour", d.Clients.FollowAdviceShare, 1), d.Deployment.Check(),
	); err != nil {
		return err
	}
	for i, b := range d.Budgets {
		if b.Monthly != nil && !h.Ledger && !h.SplitBudgets {
			return setup.Invalidf(fmt.Sprintf("budget.%d.monthly", i), "needs day.ledger")
		}
	}
	n := 0
	for i, b := range d.Backends {
		at := fmt.Sprintf("box.%d.", i)
		switch {
		case d.KindIndex(b.Kind) < 0:
			return setup.Invalidf(at+"kind", "%q is not among the kinds", b.Kind)
		case b.Count < 1:
			return setup.Invalidf(at+"count", "must be at least 1")
		case len(b.Racks) == 0:
			return setup.Invalidf(at+"racks", "names no rack")
		case b.Slots < 1 || b.Queue < 0 || max(b.Slots, b.Queue) > mostSlots:
			return setup.Invalidf(at+"slots", "slots must be at least 1, queue not negative, and both at most %d", mostSlots)
		case !above(b.PrefillTokensPerSecond):
			return setup.Invalidf(at+"read_tokens_a_second", "must be above 0 and at most %g", float64(setup.MaxNumber))
		case b.TokenTime <= 0:
			return setup.Invalidf(at+"token_time", "must be above 0")
		}
		if err := setup.CheckNumber(at+"units", b.Units, boxlist.MaxUnits); err != nil {
			return err
		}
		for _, a := range b.Addresses {
			if a != addresses.TCP4 && a != addresses.TCP6 && a != addresses.Unix {
				return setup.Invalidf(at+"addresses", "%q is none of tcp4, tcp6 and unix", a)
			}
		}
		for _, z := range b.Zones {
			if d.ZoneIndex(z) < 0 {
				return setup.Invalidf(at+"zones", "%q is not among the zones", z)
			}
		}
		n += b.Count
	}
	if n == 0 || n > mostBoxes {
		return setup.Invalidf("box", "%d boxes are stated; 1 to %d can be played", n, mostBoxes)
	}
	for i, t := range d.Traffic {
		at := fmt.Sprintf("traffic.%d.", i)
		switch {
		case d.ClassIndex(t.Class) < 0:
			return setup.Invalidf(at+"grade", "%q is not among the grades", t.Class)
		case !(t.NewTokens > 0 && t.NewTokens <= kserve.MaxTokens):
			return setup.Invalidf(at+"new_tokens", "must be above 0 and at most %d", kserve.MaxTokens)
		case !(t.AnswerTokens > 0 && t.AnswerTokens <= kserve.MaxTokens):
			return setup.Invalidf(at+"answer_tokens", "must be above 0 and at most %d", kserve.MaxTokens)
		case !(t.Turns >= 1 && t.Turns <= 1000):
			return setup.Invalidf(at+"turns", "must be from 1 to 1000")
		case t.SharedPrefixShare > 0 && (t.SharedPrefixes < 1 || t.SharedPrefixTokens < 1), t.SharedPrefixes > mostQuestions || t.SharedPrefixTokens > kserve.MaxTokens:
			return setup.Invalidf(at+"beginnings", "shared texts need beginnings and shared_tokens of at least 1, and no more than can be asked")
		}
		if err := setup.FirstError(setup.CheckNumber(at+"share", t.Share, setup.MaxNumber), setup.CheckNumber(at+"shared", t.SharedPrefixShare, 1)); err != nil {
			return err
		}
	}
	names := d.names()
	for i, t := range d.Faults {
		at := fmt.Sprintf("trouble.%d.", i)
		k := slices.IndexFunc(FaultKinds, func(k faultKind) bool { return k.Name == t.Kind })
		if k < 0 {
			return setup.Invalidf(at+"kind", "%q is unknown; see day kinds", t.Kind)
		}
		for _, need := range FaultKinds[k].RequiredKeys {
			lacks := map[string]bool{"boxes": len(t.Backends) == 0, "size": !(t.Factor > 0 && t.Factor <= mostSize), "share": !(t.Share > 0 && t.Share <= 1), "grade": d.ClassIndex(t.Class) < 0,
				"by": t.Delay <= 0, "dispatchers": len(t.Dispatchers) == 0, "tokens": t.Tokens <= 0,
				"addresses": len(t.Addresses) == 0, "bytes": t.Bytes <= 0}
			if lacks[need] {
				return setup.Invalidf(at+need, "%s needs it: %s", t.Kind, FaultKinds[k].Description)
			}
		}
		if t.Tenant != "" && d.TenantIndex(t.Tenant) < 0 {
			return setup.Invalidf(at+"channel", "%q is not among the channels", t.Tenant)
		}
		for _, b := range t.Backends {
			if !slices.ContainsFunc(names, func(n string) bool { return n == b || isOf(n, b) }) {
				return setup.Invalidf(at+"boxes", "%q is no box and no kind of this day", b)
			}
		}
		for _, n := range t.Addresses {
			for _, b := range d.Backends {
				if n < 0 || n >= max(len(b.Addresses), 1) && slices.ContainsFunc(t.Backends, func(name string) bool { return name == b.Kind || isOf(name, b.Kind) }) {
					return setup.Invalidf(at+"addresses", "a %s has no address %d", b.Kind, n)
				}
			}
		}
		for _, n := range t.Dispatchers {
			if n < 0 || n >= h.Dispatchers {
				return setup.Invalidf(at+"dispatchers", "there is no dispatcher %d", n)
			}
		}
	}
	return nil
}

// isOf tells whether a box is of a kind, by its name.
func isOf(box, kind string) bool {
	i := strings.LastIndexByte(box, '-')
	return i >= 0 && box[:i] == kind
}

// names lists the boxes: each kind's are numbered from 1.
func (d *Scenario) names() []string {
	var names []string
	next := map[string]int{}
	for _, b := range d.Backends {
		for range b.Count {
			next[b.Kind]++
			names = append(names, fmt.Sprintf("%s-%d", b.Kind, next[b.Kind]))
		}
	}
	return names
}

func (d *Scenario) rng(what uint64) *rand.Rand { return rand.New(rand.NewPCG(d.Header.Seed, what)) }

// NamesOf lists the names of a kind's boxes.
func (d *Scenario) BackendNames(kind string) []string {
	return slices.DeleteFunc(d.names(), func(name string) bool { return !isOf(name, kind) })
}
