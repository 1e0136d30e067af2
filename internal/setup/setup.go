// Package setup has the TOML form of a dispatcher's settings and of the terms that a deployment states, in the
// operators' words. Load checks them and names file, line and key of what is wrong; Facts turns them into the
// plain map that the decision module reads. It decides nothing: what a key means is the module's or the
// program's business. Begin with Dispatcher.
package setup

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/budget"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/reach"
)

// Span is a length of time, written "250ms" or "4s".
type Duration time.Duration

// UnmarshalTOML takes a string only: a bare number, which would pass for nanoseconds, names no unit.
func (s *Duration) UnmarshalTOML(raw []byte) error {
	n := len(raw) - 1
	if n < 2 || raw[0] != raw[n] || raw[0] != '"' && raw[0] != '\'' {
		return &noSpan{string(raw)}
	}
	if s.UnmarshalText(raw[1:n]) != nil {
		return &noSpan{string(raw)}
	}
	return nil
}

// UnmarshalText reads what MarshalText wrote, in a record's head.
func (s *Duration) UnmarshalText(raw []byte) error {
	d, err := time.ParseDuration(string(raw))
	if err != nil || d < 0 {
		return &noSpan{string(raw)}
	}
	*s = Duration(d)
	return nil
}

// noSpan is a value that is no length of time; Decode finds where it stands.
type noSpan struct{ value string }

func (n *noSpan) Error() string {
	return n.value + " is no length of time such as \"250ms\" or \"4s\""
}

func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

func (s Duration) Std() time.Duration { return time.Duration(s) }

// Grade is a service grade as a deployment states it.
type Class struct {
	Name                string   `toml:"name"`
	Effect              string   `toml:"effect"`           // idempotent, deduplicated or unrepeatable
	DedupScope          string   `toml:"reach,omitempty"`  // of deduplication: all, zone or rack
	DedupWindow         Duration `toml:"window,omitempty"` // of deduplication
	LatencyTarget       Duration `toml:"promised"`         // to the first token
	TargetPer1000Tokens Duration `toml:"promised_per_1000,omitempty"`
	Deadline            Duration `toml:"expiry"`
	Value               float64  `toml:"benefit"`
	LateValue           float64  `toml:"late_benefit,omitempty"` // part of it that a late answer earns
	InterTokenTarget    Duration `toml:"token_time,omitempty"`   // promised between tokens
	DefaultMaxTokens    int      `toml:"max_tokens"`             // where a question does not say
}

// Channel is a tenant with its share.
type Tenant struct {
	Name              string  `toml:"name"`
	Share             float64 `toml:"share"`              // of the service
	RequestsPerSecond float64 `toml:"questions_a_second"` // over all dispatchers, within its share
}

// Budget is what a channel, or one grade of it, has paid for. A limit that is left out is none; 0 lets nothing through.
type Budget struct {
	Tenant          string   `toml:"channel"`
	Class           string   `toml:"grade,omitempty"`
	TokensPerSecond *float64 `toml:"tokens_a_second,omitempty"`
	Burst           float64  `toml:"burst,omitempty"` // tokens; ten seconds' worth where it is left out
	Monthly         *float64 `toml:"monthly,omitempty"`
	Borrow          float64  `toml:"borrow,omitempty"` // tokens of the next month's, at most
}

// Terms are those of the decision package.
func (b Budget) TokenLimits() budget.Terms {
	t := budget.Terms{Name: b.Tenant, PerSecond: -1, Monthly: -1, Burst: b.Burst, Borrow: b.Borrow}
	if b.Class != "" {
		t.Name += "/" + b.Class
	}
	if b.TokensPerSecond != nil {
		t.PerSecond = *b.TokensPerSecond
		if b.Burst == 0 {
			t.Burst = 10 * *b.TokensPerSecond
		}
	}
	if b.Monthly != nil {
		t.Monthly = *b.Monthly
	}
	return t
}

// Ledger is where the account is kept; no folder: none is.
type Ledger struct {
	Folder  string `toml:"folder"`
	KeyFile string `toml:"key,omitempty"` // file of the secret that seals its records; none: accidents show, forgery does not
}

// Kind is a kind of box.
type BackendKind struct {
	Name         string `toml:"name"`
	Role         string `toml:"role"`   // reader, writer or mixed
	MemoryTokens int    `toml:"memory"` // tokens
}

// Rules are the figures of the five rules.
type Rules struct {
	AnswerSlack       Duration `toml:"answer_slack"`
	DrainGrace        Duration `toml:"drain_grace"`
	SlowStartMultiple float64  `toml:"cold_multiple"`
	SlowStartWindow   Duration `toml:"cold_window"`
	SlowStartShare    float64  `toml:"cold_share"`
	SlowStartRamp     Duration `toml:"cold_ramp"`
	KVCacheHoldLimit  Duration `toml:"pin_limit"`
}

// Limits are what a deployment allows.
type Limits struct {
	MaxAttempts        int      `toml:"trips"`
	DialTimeout        Duration `toml:"dial"`
	MaxOpenRequests    int      `toml:"open_questions"`
	MaxConnsPerBackend int      `toml:"connections_a_box"`
	StallTimeout       Duration `toml:"stall"`       // a running answer without a token for so long is taken for broken
	MaxRetryAfter      Duration `toml:"retry_after"` // the longest that clients heed; 0: they are told nothing
	ThrottleRetries    bool     `toml:"damp_storms"` // spread and damp what asks again; clients are told when to come back
	Cancel             bool     `toml:"cancel"`
	PeerUpdates        bool     `toml:"sibling_news"`
	PeerUpdatePrice    float64  `toml:"news_price"`
	CrossZonePrice     float64  `toml:"zone_price"`
	OverShareValue     float64  `toml:"over_share_benefit"`
	ValueByWork        bool     `toml:"benefit_by_work"`
	DecodeCanPrefill   bool     `toml:"writers_read"`
}

// Terms are what a deployment states, alike for all its dispatchers.
type Deployment struct {
	Model        string        `toml:"model"`
	Zones        []string      `toml:"zones"`
	ReportFields []string      `toml:"report"` // the values of a load report, in order
	Classes      []Class       `toml:"grade"`
	Tenants      []Tenant      `toml:"channel,omitempty"`
	Budgets      []Budget      `toml:"budget,omitempty"`
	BackendKinds []BackendKind `toml:"kind"`
	Rules        Rules         `toml:"rules"`
	Limits       Limits        `toml:"limits"`
}

// DefaultTerms are the embedded defaults; a file changes what it names.
func DefaultDeployment() Deployment {
	return Deployment{
		Model: "lodge", Zones: []string{"here"}, ReportFields: []string{"util", "queue", "x0"},
		Rules: Rules{
			AnswerSlack: Duration(8 * time.Millisecond), DrainGrace: Duration(time.Second), SlowStartMultiple: 2.5,
			SlowStartWindow: Duration(2 * time.Second), SlowStartShare: 0.3, SlowStartRamp: Duration(12 * time.Second), KVCacheHoldLimit: Duration(500 * time.Millisecond),
		},
		Limits: Limits{
			MaxAttempts: 4, DialTimeout: Duration(250 * time.Millisecond), MaxOpenRequests: 20000, MaxConnsPerBackend: 512, StallTimeout: Duration(20 * time.Second), MaxRetryAfter: Duration(500 * time.Millisecond),
			ThrottleRetries: true, Cancel: true, OverShareValue: 0.1, ValueByWork: true, DecodeCanPrefill: true,
		},
	}
}

// Place is where a dispatcher stands in its fleet and where it listens.
type Instance struct {
	Name                string   `toml:"name"`
	Index               int      `toml:"number"`
	FleetSize           int      `toml:"siblings"` // dispatchers, itself among them
	Zone                string   `toml:"zone"`
	Listen              []string `toml:"listen"`               // host:port, tcp4:, tcp6: or unix: with a path
	AllowedBackends     []string `toml:"allow,omitempty"`      // where boxes may be: ranges such as 10.0.0.0/8, and unix:/folder/; none: anywhere
	EndpointCacheFolder string   `toml:"keep,omitempty"`       // folder for the last list
	DiscoveryAddr       string   `toml:"boxes"`                // address of the box list
	PeerListen          string   `toml:"news,omitempty"`       // UDP address for messages of siblings
	PeerAddrs           []string `toml:"peers,omitempty"`      // theirs, by number
	Seed                uint64   `toml:"seed,omitempty"`       // of its chance; 0: a fresh one at each start
	ResponseMargin      Duration `toml:"margin"`               // taken off a client's time for the way back
	MaxBodyBytes        int64    `toml:"body_limit"`           // bytes of a request
	BodyTimeout         Duration `toml:"body_time"`            // for a request to arrive
	WriteTimeout        Duration `toml:"write_time"`           // for a client to take a piece of its answer
	ShutdownTimeout     Duration `toml:"stop_time"`            // for running questions to end after SIGTERM
	AdminListen         []string `toml:"operators,omitempty"`  // addresses for operators and health, past the limits on connections
	ConnsPerSecond      float64  `toml:"connections_a_second"` // from clients; 0: no limit
	MaxConns            int      `toml:"connections_open"`
	TicketKeyFile       string   `toml:"ticket_key,omitempty"` // file of the key that the fleet's tickets have; none: they are good here only
}

// BoxAddress is a further address of a box, beside those that the list names.
type BackendAddress struct {
	Backend string `toml:"box"`
	addresses.Spec
}

// Dispatcher is the file of one dispatcher.
type DispatcherConfig struct {
	Instance Instance `toml:"dispatcher"`
	Deployment
	ExtraAddresses []BackendAddress `toml:"address,omitempty"`
	Ledger         Ledger           `toml:"ledger,omitempty"`
}

// DefaultDispatcher is what a file of a dispatcher starts from.
func DefaultDispatcherConfig() DispatcherConfig {
	return DispatcherConfig{Deployment: DefaultDeployment(), Instance: Instance{
		Name: "dispatcher", FleetSize: 1, Zone: "here", Listen: []string{"127.0.0.1:8100"}, ResponseMargin: Duration(10 * time.Millisecond),
		MaxBodyBytes: 8 << 20, BodyTimeout: Duration(10 * time.Second), WriteTimeout: Duration(10 * time.Second), ShutdownTimeout: Duration(30 * time.Second), ConnsPerSecond: 1000, MaxConns: 20000,
	}}
}

// Fault is what is wrong with a file, and where.
type ConfigError struct {
	File    string
	Line    int
	Key     string
	Message string
}

func (f *ConfigError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Message)
}

// wrong is a senseless value under a key; Decode finds its line.
type wrong struct{ key, text string }

func (w *wrong) Error() string { return w.key + ": " + w.text }

// ReadKey reads a key from a file: 16 bytes or more, as hexadecimal digits.
func ReadKeyFile(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || len(key) < 16 {
		return nil, &ConfigError{file, 1, "key", "a key is 32 or more hexadecimal digits on one line"}
	}
	return key, nil
}

// Wrong tells that the value under a key makes no sense.
func Invalidf(key, format string, args ...any) error {
	return &wrong{key, fmt.Sprintf(format, args...)}
}

// Load reads the file of a dispatcher.
func Load(file string) (DispatcherConfig, error) {
	d := DefaultDispatcherConfig()
	raw, err := os.ReadFile(file)
	if err != nil {
		return d, err
	}
	return d, Decode(file, raw, &d, d.check)
}

// Decode reads TOML strictly, then lets check look at what it says.
func Decode(file string, raw []byte, into any, check func() error) error {
	dec := toml.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	dec.EnableUnmarshalerInterface()
	err := dec.Decode(into)
	var unknown *toml.StrictMissingError
	var wrongKind *toml.DecodeError
	var span *noSpan
	switch {
	case errors.As(err, &unknown):
		e := unknown.Errors[0]
		line, _ := e.Position()
		return &ConfigError{file, line, strings.Join(e.Key(), "."), "no such key"}
	case errors.As(err, &wrongKind):
		line, _ := wrongKind.Position()
		return &ConfigError{file, line, strings.Join(wrongKind.Key(), "."), strings.TrimPrefix(wrongKind.Error(), "toml: ")}
	case errors.As(err, &span):
		key, line := keyOf(raw, span.value)
		return &ConfigError{file, line, key, span.Error()}
	case err != nil:
		return &ConfigError{file, 1, "", err.Error()}
	}
	var w *wrong
	if err := check(); errors.As(err, &w) {
		return &ConfigError{file, lineOf(raw, w.key), w.key, w.text}
	} else if err != nil {
		return &ConfigError{file, 1, "", err.Error()}
	}
	return nil
}

// place is where a key stands.
type place struct {
	name  string // dotted, with the number of its table among those of one name
	line  int
	value string
}

// placesOf lists the keys of a text in order.
func placesOf(raw []byte) []place {
	var p unstable.Parser
	p.Reset(raw)
	var places []place
	table, counts := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
		}
		name := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			places = append(places, place{name, line, string(p.Raw(e.Value().Raw))})
			continue
		case unstable.ArrayTable:
			name, counts[name] = fmt.Sprintf("%s.%d", name, counts[name]), counts[name]+1
		}
		table = name
		places = append(places, place{name: name, line: line})
	}
	return places
}

// lineOf finds the line on which a dotted key stands, or its nearest table above.
func lineOf(raw []byte, key string) int {
	best, depth := 1, 0
	for _, p := range placesOf(raw) {
		if (p.name == key || strings.HasPrefix(key, p.name+".")) && len(p.name) > depth {
			best, depth = p.line, len(p.name)
		}
	}
	return best
}

// keyOf finds the first key that has a value.
func keyOf(raw []byte, value string) (string, int) {
	for _, p := range placesOf(raw) {
		if p.value == value {
			return p.name, p.line
		}
	}
	return "", 1
}

func (d *DispatcherConfig) check() error {
	p := d.Instance
	if p.Name == "" {
		return Invalidf("dispatcher.name", "is empty")
	}
	if p.FleetSize < 1 || p.Index < 0 || p.Index >= p.FleetSize {
		return Invalidf("dispatcher.number", "is %d of %d dispatchers; numbers begin with 0", p.Index, p.FleetSize)
	}
	if _, _, err := net.SplitHostPort(p.DiscoveryAddr); err != nil {
		return Invalidf("dispatcher.boxes", "%q is no address such as 127.0.0.1:8000", p.DiscoveryAddr)
	}
	if len(p.Listen) == 0 {
		return Invalidf("dispatcher.listen", "names no address")
	}
	for _, at := range p.Listen {
		if _, err := reach.ParseListen(at); err != nil {
			return Invalidf("dispatcher.listen", "%v", err)
		}
	}
	for _, at := range p.AdminListen {
		if _, err := reach.ParseListen(at); err != nil {
			return Invalidf("dispatcher.operators", "%v", err)
		}
	}
	if p.FleetSize > mostSiblings {
		return Invalidf("dispatcher.siblings", "must be at most %d", mostSiblings)
	}
	if p.MaxConns < 1 {
		return Invalidf("dispatcher.connections_open", "must be at least 1")
	}
	least := day
	for _, g := range d.Classes {
		least = min(least, g.Deadline.Std())
	}
	if err := FirstError(
		CheckNumber("dispatcher.connections_a_second", p.ConnsPerSecond, MaxNumber), span("dispatcher.margin", p.ResponseMargin, 0, least-time.Millisecond),
		span("dispatcher.body_time", p.BodyTimeout, time.Millisecond, time.Hour), span("dispatcher.write_time", p.WriteTimeout, time.Millisecond, time.Hour),
		span("dispatcher.stop_time", p.ShutdownTimeout, 0, day),
	); err != nil {
		return err
	}
	if _, err := reach.NewAllowList(p.AllowedBackends); err != nil {
		return Invalidf("dispatcher.allow", "%v", err)
	}
	for i, a := range d.ExtraAddresses {
		if err := a.Check(); err != nil || a.Backend == "" {
			return Invalidf(fmt.Sprintf("address.%d", i), "an address needs a box, a network and at: %v", err)
		}
	}
	if len(d.Budgets) > 0 && p.FleetSize > 1 && len(p.PeerAddrs) != p.FleetSize {
		return Invalidf("dispatcher.peers", "names %d addresses, for %d dispatchers: budgets are lent among them", len(p.PeerAddrs), p.FleetSize)
	}
	for i, b := range d.Budgets {
		if b.Monthly != nil && d.Ledger.Folder == "" {
			return Invalidf(fmt.Sprintf("budget.%d.monthly", i), "needs ledger.folder: what was used must outlast a restart")
		}
	}
	if d.Limits.PeerUpdates && len(p.PeerAddrs) != p.FleetSize {
		return Invalidf("dispatcher.peers", "names %d addresses, for %d dispatchers", len(p.PeerAddrs), p.FleetSize)
	}
	if !slices.Contains(d.Zones, p.Zone) {
		return Invalidf("dispatcher.zone", "%q is not among zones", p.Zone)
	}
	if p.MaxBodyBytes < 1024 {
		return Invalidf("dispatcher.body_limit", "is %d bytes, at least 1024 are needed", p.MaxBodyBytes)
	}
	return d.Deployment.Check()
}

// Check looks at what a deployment states.
func (t *Deployment) Check() error {
	if len(t.Classes) == 0 {
		return Invalidf("grade", "no service grade is stated")
	}
	for i, g := range t.Classes {
		at := fmt.Sprintf("grade.%d.", i)
		switch {
		case g.Name == "":
			return Invalidf(at+"name", "is empty")
		case effects[g.Effect] == "":
			return Invalidf(at+"effect", "must be idempotent, deduplicated or unrepeatable, not %q", g.Effect)
		case g.DedupScope != "" && reaches[g.DedupScope] == "":
			return Invalidf(at+"reach", "must be all, zone or rack, not %q", g.DedupScope)
		case g.Effect == "deduplicated" && g.DedupWindow <= 0:
			return Invalidf(at+"window", "is needed where repeats are known by a mark")
		case g.LatencyTarget <= 0:
			return Invalidf(at+"promised", "must be above 0")
		case g.Deadline < g.LatencyTarget:
			return Invalidf(at+"expiry", "is before the promised time")
		case g.DefaultMaxTokens < 1 || g.DefaultMaxTokens > kserve.MaxTokens:
			return Invalidf(at+"max_tokens", "must be from 1 to %d", kserve.MaxTokens)
		case t.ClassIndex(g.Name) < i:
			return Invalidf(at+"name", "%s is stated already", g.Name)
		}
		var window error
		if g.Effect == "deduplicated" {
			window = span(at+"window", g.DedupWindow, t.Limits.DialTimeout.Std()+time.Millisecond, day)
		}
		if err := FirstError(
			window, span(at+"promised", g.LatencyTarget, time.Millisecond, day),
			span(at+"promised_per_1000", g.TargetPer1000Tokens, 0, time.Minute), span(at+"expiry", g.Deadline, time.Millisecond, day),
			span(at+"token_time", g.InterTokenTarget, 0, time.Hour), CheckNumber(at+"benefit", g.Value, MaxNumber), CheckNumber(at+"late_benefit", g.LateValue, 1),
		); err != nil {
			return err
		}
	}
	for i, c := range t.Tenants {
		at := fmt.Sprintf("channel.%d.", i)
		if c.Name == "" || t.TenantIndex(c.Name) < i {
			return Invalidf(at+"name", "a channel needs a name of its own, not %q", c.Name)
		}
		if err := FirstError(CheckNumber(at+"share", c.Share, MaxNumber), CheckNumber(at+"questions_a_second", c.RequestsPerSecond, MaxNumber)); err != nil {
			return err
		}
	}
	seen := map[string]bool{}
	for i, b := range t.Budgets {
		at := fmt.Sprintf("budget.%d.", i)
		switch {
		case t.TenantIndex(b.Tenant) < 0:
			return Invalidf(at+"channel", "%q is not among the channels", b.Tenant)
		case b.Class != "" && t.ClassIndex(b.Class) < 0:
			return Invalidf(at+"grade", "%q is unknown", b.Class)
		case b.TokensPerSecond == nil && b.Monthly == nil:
			return Invalidf(at+"channel", "states neither tokens_a_second nor monthly; without a budget a channel is not limited")
		case b.TokensPerSecond != nil && !(*b.TokensPerSecond >= 0), b.Monthly != nil && !(*b.Monthly >= 0), !(b.Burst >= 0), !(b.Borrow >= 0), !b.TokenLimits().Valid():
			return Invalidf(at+"channel", "has a figure that is negative or makes no sense")
		case seen[b.TokenLimits().Name]:
			return Invalidf(at+"channel", "%s has a budget already", b.TokenLimits().Name)
		}
		seen[b.TokenLimits().Name] = true
	}
	for i, k := range t.BackendKinds {
		if roles[k.Role] == "" {
			return Invalidf(fmt.Sprintf("kind.%d.role", i), "must be reader, writer or mixed, not %q", k.Role)
		}
		if k.MemoryTokens < 1 || k.MemoryTokens > MaxNumber {
			return Invalidf(fmt.Sprintf("kind.%d.memory", i), "must be from 1 to %.0f tokens", float64(MaxNumber))
		}
		if t.KindIndex(k.Name) < i {
			return Invalidf(fmt.Sprintf("kind.%d.name", i), "%q is stated already", k.Name)
		}
	}
	if len(t.BackendKinds) == 0 {
		return Invalidf("kind", "no kind of box is stated")
	}
	if len(t.ReportFields) > 4 {
		return Invalidf("report", "names %d values, 4 at most", len(t.ReportFields))
	}
	r, l := t.Rules, t.Limits
	switch {
	case !(r.SlowStartMultiple > 0):
		return Invalidf("rules.cold_multiple", "must be above 0")
	case !(r.SlowStartShare > 0):
		return Invalidf("rules.cold_share", "must be above 0 and at most 1")
	case l.MaxAttempts < 1 || l.MaxAttempts > 16:
		return Invalidf("limits.trips", "must be from 1 to 16")
	case l.MaxOpenRequests < 1:
		return Invalidf("limits.open_questions", "must be at least 1")
	case l.MaxConnsPerBackend < 1:
		return Invalidf("limits.connections_a_box", "must be at least 1")
	}
	return FirstError(
		// What is sent to a box has to be out before the grace is over, from when it was decided: see docs/operating.md.
		span("rules.drain_grace", r.DrainGrace, l.DialTimeout.Std()+time.Millisecond, time.Hour),
		span("rules.answer_slack", r.AnswerSlack, 0, time.Minute),
		span("rules.cold_window", r.SlowStartWindow, time.Millisecond, time.Hour),
		span("rules.cold_ramp", r.SlowStartRamp, 0, day),
		span("rules.pin_limit", r.KVCacheHoldLimit, time.Millisecond, time.Hour),
		CheckNumber("rules.cold_multiple", r.SlowStartMultiple, 1000),
		CheckNumber("rules.cold_share", r.SlowStartShare, 1),
		span("limits.dial", l.DialTimeout, time.Millisecond, time.Minute),
		span("limits.stall", l.StallTimeout, time.Millisecond, day),
		span("limits.retry_after", l.MaxRetryAfter, 0, time.Hour),
		CheckNumber("limits.news_price", l.PeerUpdatePrice, 1e6),
		CheckNumber("limits.zone_price", l.CrossZonePrice, 1e6),
		CheckNumber("limits.over_share_benefit", l.OverShareValue, 1),
	)
}

// The largest figures that are taken for meant.
const (
	day          = 24 * time.Hour
	MaxNumber    = 1e12
	mostSiblings = 1 << 16 // their messages name them by two bytes
)

// Figure tells what is wrong with a number that must not be negative, nor over most.
func CheckNumber(key string, v, most float64) error {
	if v >= 0 && v <= most { // no number is neither
		return nil
	}
	return Invalidf(key, "must be from 0 to %g, not %g", most, v)
}

// span tells what is wrong with a length of time.
func span(key string, s Duration, least, most time.Duration) error {
	if s.Std() >= least && s.Std() <= most {
		return nil
	}
	return Invalidf(key, "must be from %v to %v, not %v", least, most, s.Std())
}

// FirstOf is the first of some faults that is one.
func FirstError(faults ...error) error {
	for _, err := range faults {
		if err != nil {
			return err
		}
	}
	return nil
}
