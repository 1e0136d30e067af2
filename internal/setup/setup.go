// Package setup has the TOML form of a dispatcher's configuration and of the settings that a whole deployment shares.
// Load reads and checks them and names file, line and key of what is wrong; SchedulerParameters converts them for the
// scheduler. It makes no decisions: what a setting does is up to the scheduler or the program. Begin with
// DispatcherConfig.
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
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/kserve"
)

// Duration is a time.Duration that is written as a string such as "250ms" or "4s".
type Duration time.Duration

// UnmarshalTOML accepts only a string: a bare number, which would be taken for nanoseconds, has no unit.
func (d *Duration) UnmarshalTOML(raw []byte) error {
	n := len(raw) - 1
	if n < 2 || raw[0] != raw[n] || raw[0] != '"' && raw[0] != '\'' {
		return &invalidDuration{string(raw)}
	}
	if d.UnmarshalText(raw[1:n]) != nil {
		return &invalidDuration{string(raw)}
	}
	return nil
}

// UnmarshalText reads what MarshalText wrote, as in the head of a recording.
func (d *Duration) UnmarshalText(raw []byte) error {
	parsed, err := time.ParseDuration(string(raw))
	if err != nil || parsed < 0 {
		return &invalidDuration{string(raw)}
	}
	*d = Duration(parsed)
	return nil
}

// invalidDuration is the error for a value that is not a duration. Decode adds its line and key.
type invalidDuration struct{ value string }

func (e *invalidDuration) Error() string {
	return e.value + " is no length of time such as \"250ms\" or \"4s\""
}

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// The json tags of the types below are the names of their fields in the head of a recording.

// Class is a priority class of requests.
type Class struct {
	Name string `toml:"name"`
	// Effect of a repeated request: idempotent, deduplicated or unrepeatable.
	Effect              string   `toml:"effect"`
	DedupScope          string   `toml:"reach,omitempty" json:"Reach"`            // of deduplication: all, zone or rack
	DedupWindow         Duration `toml:"window,omitempty" json:"Window"`          // of deduplication
	LatencyTarget       Duration `toml:"promised" json:"Promised"`                // to the first token
	TargetPer1000Tokens Duration `toml:"promised_per_1000,omitempty" json:"PerK"` // added for 1,000 prompt tokens
	Deadline            Duration `toml:"expiry" json:"Expiry"`                    // for requests that state no timeout
	Value               float64  `toml:"benefit" json:"Benefit"`                  // of serving a request in time
	LateValue           float64  `toml:"late_benefit,omitempty" json:"Late"`      // part of Value for a late response
	InterTokenTarget    Duration `toml:"token_time,omitempty" json:"TokenTime"`   // latency target between tokens
	DefaultMaxTokens    int      `toml:"max_tokens" json:"Most"`                  // for requests without max_tokens
}

// Tenant is a tenant with its share.
type Tenant struct {
	Name              string  `toml:"name"`
	Share             float64 `toml:"share"`                          // of the service
	RequestsPerSecond float64 `toml:"questions_a_second" json:"PerS"` // quota over all dispatchers, within its share
}

// Budget is the token budget of a tenant, or of one of its classes. An absent limit is unlimited; 0 admits nothing.
type Budget struct {
	Tenant          string   `toml:"channel" json:"Channel"`
	Class           string   `toml:"grade,omitempty" json:"Grade"`
	TokensPerSecond *float64 `toml:"tokens_a_second,omitempty" json:"PerS"`
	Burst           float64  `toml:"burst,omitempty"` // tokens; ten seconds' worth if absent
	Monthly         *float64 `toml:"monthly,omitempty"`
	Borrow          float64  `toml:"borrow,omitempty"` // most tokens taken in advance from the next month's
}

// TokenLimits returns the budget in the form of the budget package.
func (b Budget) TokenLimits() budget.Terms {
	limits := budget.Terms{Name: b.Tenant, PerSecond: -1, Monthly: -1, Burst: b.Burst, Borrow: b.Borrow}
	if b.Class != "" {
		limits.Name += "/" + b.Class
	}
	if b.TokensPerSecond != nil {
		limits.PerSecond = *b.TokensPerSecond
		if b.Burst == 0 {
			limits.Burst = 10 * *b.TokensPerSecond
		}
	}
	if b.Monthly != nil {
		limits.Monthly = *b.Monthly
	}
	return limits
}

// Ledger says where the journal of usage is stored. Without a folder none is.
type Ledger struct {
	Folder string `toml:"folder"`
	// File of the key that authenticates the journal's records. Without it damage is detected, but not forgery.
	KeyFile string `toml:"key,omitempty"`
}

// BackendKind is a kind of backend.
type BackendKind struct {
	Name         string `toml:"name"`
	Role         string `toml:"role"`                 // reader (prefill), writer (decode) or mixed
	MemoryTokens int    `toml:"memory" json:"Memory"` // KV cache capacity
}

// Rules are the time limits and factors of the rules that a deployment keeps.
type Rules struct {
	AnswerSlack Duration `toml:"answer_slack" json:"Slack"` // tolerance for a final response after its deadline
	DrainGrace  Duration `toml:"drain_grace"`               // time after the drain notice in which attempts may be sent
	// A backend in slow start is overloaded by more work within SlowStartWindow than its share of its capacity for that
	// time, multiplied by SlowStartMultiple.
	SlowStartMultiple float64  `toml:"cold_multiple" json:"ColdMultiple"`
	SlowStartWindow   Duration `toml:"cold_window" json:"ColdWindow"`
	SlowStartShare    float64  `toml:"cold_share" json:"ColdShare"` // share of a backend's capacity that it starts with
	SlowStartRamp     Duration `toml:"cold_ramp" json:"ColdRamp"`   // time until a backend has its full capacity
	KVCacheHoldLimit  Duration `toml:"pin_limit" json:"Pin"`        // time for which a prefill backend holds a KV cache
}

// Limits are the limits and options of a deployment.
type Limits struct {
	MaxAttempts        int      `toml:"trips" json:"Trips"` // of a request
	DialTimeout        Duration `toml:"dial" json:"Dial"`
	MaxOpenRequests    int      `toml:"open_questions" json:"Open"`
	MaxConnsPerBackend int      `toml:"connections_a_box" json:"BoxConns"`
	// A running attempt without a token for StallTimeout has failed.
	StallTimeout Duration `toml:"stall" json:"Stall"`
	// The longest wait that clients follow. 0: they are given none.
	MaxRetryAfter Duration `toml:"retry_after" json:"RetryAfter"`
	// Throttle retries, and tell clients when to come back.
	ThrottleRetries  bool    `toml:"damp_storms" json:"Storms"`
	Cancel           bool    `toml:"cancel"`
	PeerUpdates      bool    `toml:"sibling_news" json:"Siblings"`
	PeerUpdatePrice  float64 `toml:"news_price" json:"NewsPrice"`
	CrossZonePrice   float64 `toml:"zone_price" json:"ZonePrice"`
	OverShareValue   float64 `toml:"over_share_benefit" json:"OverShare"` // factor of Value for requests over the share
	ValueByWork      bool    `toml:"benefit_by_work" json:"ByWork"`
	DecodeCanPrefill bool    `toml:"writers_read" json:"LocalRead"` // decode backends may prefill too
}

// Deployment has the settings that all dispatchers of a deployment share.
type Deployment struct {
	Model        string        `toml:"model"`
	Zones        []string      `toml:"zones"`
	ReportFields []string      `toml:"report" json:"Report"` // the values of a load report, in order
	Classes      []Class       `toml:"grade" json:"Grades"`
	Tenants      []Tenant      `toml:"channel,omitempty" json:"Channels"`
	Budgets      []Budget      `toml:"budget,omitempty"`
	BackendKinds []BackendKind `toml:"kind" json:"Kinds"`
	Rules        Rules         `toml:"rules"`
	Limits       Limits        `toml:"limits"`
}

// DefaultDeployment returns the default settings. A file replaces those that it names.
func DefaultDeployment() Deployment {
	return Deployment{
		Model: "lodge", Zones: []string{"here"}, ReportFields: []string{"util", "queue", "x0"},
		Rules: Rules{
			AnswerSlack: Duration(8 * time.Millisecond), DrainGrace: Duration(time.Second), SlowStartMultiple: 2.5,
			SlowStartWindow: Duration(2 * time.Second), SlowStartShare: 0.3, SlowStartRamp: Duration(12 * time.Second),
			KVCacheHoldLimit: Duration(500 * time.Millisecond),
		},
		Limits: Limits{
			MaxAttempts: 4, DialTimeout: Duration(250 * time.Millisecond), MaxOpenRequests: 20000, MaxConnsPerBackend: 512,
			StallTimeout: Duration(20 * time.Second), MaxRetryAfter: Duration(500 * time.Millisecond),
			ThrottleRetries: true, Cancel: true, OverShareValue: 0.1, ValueByWork: true, DecodeCanPrefill: true,
		},
	}
}

// Instance has the settings of one dispatcher: its place in the fleet, its addresses and its limits.
type Instance struct {
	Name                string   `toml:"name"`
	Index               int      `toml:"number"`   // from 0
	FleetSize           int      `toml:"siblings"` // number of dispatchers, itself included
	Zone                string   `toml:"zone"`
	Listen              []string `toml:"listen"`               // host:port, tcp4:, tcp6: or unix: with a path
	AllowedBackends     []string `toml:"allow,omitempty"`      // such as 10.0.0.0/8 or unix:/folder/; none: anywhere
	EndpointCacheFolder string   `toml:"keep,omitempty"`       // folder for the last endpoint list
	DiscoveryAddr       string   `toml:"boxes"`                // address of service discovery
	PeerListen          string   `toml:"news,omitempty"`       // UDP address for messages of peers
	PeerAddrs           []string `toml:"peers,omitempty"`      // UDP addresses of all dispatchers, by index
	Seed                uint64   `toml:"seed,omitempty"`       // of random choices; 0: a fresh one at each start
	ResponseMargin      Duration `toml:"margin"`               // taken off a client's timeout for the way back
	MaxBodyBytes        int64    `toml:"body_limit"`           // of a request
	BodyTimeout         Duration `toml:"body_time"`            // for a request to arrive
	WriteTimeout        Duration `toml:"write_time"`           // for a client to take a piece of its response
	ShutdownTimeout     Duration `toml:"stop_time"`            // for running requests to end after SIGTERM
	AdminListen         []string `toml:"operators,omitempty"`  // for operators and health checks, without limits
	ConnsPerSecond      float64  `toml:"connections_a_second"` // of clients; 0: no limit
	MaxConns            int      `toml:"connections_open"`     // of clients
	// File of the key that signs retry tickets, shared by the fleet. Without it tickets are valid at this dispatcher only.
	TicketKeyFile string `toml:"ticket_key,omitempty"`
}

// BackendAddress is an address of a backend in addition to those from service discovery.
type BackendAddress struct {
	Backend string `toml:"box"`
	addresses.Spec
}

// DispatcherConfig is the configuration file of one dispatcher.
type DispatcherConfig struct {
	Instance Instance `toml:"dispatcher"`
	Deployment
	ExtraAddresses []BackendAddress `toml:"address,omitempty"`
	Ledger         Ledger           `toml:"ledger,omitempty"`
}

// DefaultDispatcherConfig returns the configuration that a file is applied to.
func DefaultDispatcherConfig() DispatcherConfig {
	return DispatcherConfig{Deployment: DefaultDeployment(), Instance: Instance{
		Name: "dispatcher", FleetSize: 1, Zone: "here", Listen: []string{"127.0.0.1:8100"},
		ResponseMargin: Duration(10 * time.Millisecond),
		MaxBodyBytes:   8 << 20, BodyTimeout: Duration(10 * time.Second), WriteTimeout: Duration(10 * time.Second),
		ShutdownTimeout: Duration(30 * time.Second), ConnsPerSecond: 1000, MaxConns: 20000,
	}}
}

// ConfigError is an error in a file, with its position.
type ConfigError struct {
	File    string
	Line    int
	Key     string
	Message string
}

// Error returns file, line, key and message.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Message)
}

// invalidValue is the error for the value of a key. Decode adds its line.
type invalidValue struct{ key, message string }

func (e *invalidValue) Error() string { return e.key + ": " + e.message }

// ReadKeyFile reads a key of at least 16 bytes from a file that holds it in hexadecimal digits.
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

// Invalidf returns the error for an invalid value of a key.
func Invalidf(key, format string, args ...any) error {
	return &invalidValue{key, fmt.Sprintf(format, args...)}
}

// Load reads and checks the configuration file of a dispatcher.
func Load(file string) (DispatcherConfig, error) {
	config := DefaultDispatcherConfig()
	raw, err := os.ReadFile(file)
	if err != nil {
		return config, err
	}
	return config, Decode(file, raw, &config, config.check)
}

// Decode reads TOML, rejecting unknown keys, and then calls check. Errors are returned as a ConfigError; those that
// check returns from Invalidf have the line of their key.
func Decode(file string, raw []byte, into any, check func() error) error {
	dec := toml.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	dec.EnableUnmarshalerInterface()
	err := dec.Decode(into)
	var unknownKeys *toml.StrictMissingError
	var wrongType *toml.DecodeError
	var wrongDuration *invalidDuration
	switch {
	case errors.As(err, &unknownKeys):
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		return &ConfigError{file, line, strings.Join(first.Key(), "."), "no such key"}
	case errors.As(err, &wrongType):
		line, _ := wrongType.Position()
		return &ConfigError{
			file, line, strings.Join(wrongType.Key(), "."), strings.TrimPrefix(wrongType.Error(), "toml: "),
		}
	case errors.As(err, &wrongDuration):
		key, line := keyWithValue(raw, wrongDuration.value)
		return &ConfigError{file, line, key, wrongDuration.Error()}
	case err != nil:
		return &ConfigError{file, 1, "", err.Error()}
	}
	var invalid *invalidValue
	if err := check(); errors.As(err, &invalid) {
		return &ConfigError{file, lineOfKey(raw, invalid.key), invalid.key, invalid.message}
	} else if err != nil {
		return &ConfigError{file, 1, "", err.Error()}
	}
	return nil
}

// keyPosition is a key or table head of a TOML text.
type keyPosition struct {
	name  string // dotted; a table of an array has its index among the tables of that name
	line  int
	value string // as written; empty for table heads
}

// keyPositions returns the keys and table heads of a TOML text in order.
func keyPositions(raw []byte) []keyPosition {
	var parser unstable.Parser
	parser.Reset(raw)
	var positions []keyPosition
	table, counts := "", map[string]int{}
	for parser.NextExpression() {
		expr := parser.Expression()
		var parts []string
		line := 0
		for it := expr.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			if line == 0 {
				line = parser.Shape(it.Node().Raw).Start.Line
			}
		}
		name := strings.Join(parts, ".")
		switch expr.Kind {
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			positions = append(positions, keyPosition{name, line, string(parser.Raw(expr.Value().Raw))})
			continue
		case unstable.ArrayTable:
			name, counts[name] = fmt.Sprintf("%s.%d", name, counts[name]), counts[name]+1
		}
		table = name
		positions = append(positions, keyPosition{name: name, line: line})
	}
	return positions
}

// lineOfKey returns the line of a dotted key, or of the nearest table that contains it.
func lineOfKey(raw []byte, key string) int {
	best, depth := 1, 0
	for _, p := range keyPositions(raw) {
		if (p.name == key || strings.HasPrefix(key, p.name+".")) && len(p.name) > depth {
			best, depth = p.line, len(p.name)
		}
	}
	return best
}

// keyWithValue returns the first key that has a value, and its line.
func keyWithValue(raw []byte, value string) (string, int) {
	for _, p := range keyPositions(raw) {
		if p.value == value {
			return p.name, p.line
		}
	}
	return "", 1
}

func (d *DispatcherConfig) check() error {
	instance := d.Instance
	if instance.Name == "" {
		return Invalidf("dispatcher.name", "is empty")
	}
	if instance.FleetSize < 1 || instance.Index < 0 || instance.Index >= instance.FleetSize {
		return Invalidf("dispatcher.number", "is %d of %d dispatchers; numbers begin with 0",
			instance.Index, instance.FleetSize)
	}
	if _, _, err := net.SplitHostPort(instance.DiscoveryAddr); err != nil {
		return Invalidf("dispatcher.boxes", "%q is not an address such as 127.0.0.1:8000", instance.DiscoveryAddr)
	}
	if len(instance.Listen) == 0 {
		return Invalidf("dispatcher.listen", "names no address")
	}
	for _, address := range instance.Listen {
		if _, err := connpool.ParseListen(address); err != nil {
			return Invalidf("dispatcher.listen", "%v", err)
		}
	}
	for _, address := range instance.AdminListen {
		if _, err := connpool.ParseListen(address); err != nil {
			return Invalidf("dispatcher.operators", "%v", err)
		}
	}
	if instance.FleetSize > maxFleetSize {
		return Invalidf("dispatcher.siblings", "must be at most %d", maxFleetSize)
	}
	if instance.MaxConns < 1 {
		return Invalidf("dispatcher.connections_open", "must be at least 1")
	}
	shortestDeadline := day
	for _, class := range d.Classes {
		shortestDeadline = min(shortestDeadline, class.Deadline.Std())
	}
	if err := FirstError(
		CheckNumber("dispatcher.connections_a_second", instance.ConnsPerSecond, MaxNumber),
		checkDuration("dispatcher.margin", instance.ResponseMargin, 0, shortestDeadline-time.Millisecond),
		checkDuration("dispatcher.body_time", instance.BodyTimeout, time.Millisecond, time.Hour),
		checkDuration("dispatcher.write_time", instance.WriteTimeout, time.Millisecond, time.Hour),
		checkDuration("dispatcher.stop_time", instance.ShutdownTimeout, 0, day),
	); err != nil {
		return err
	}
	if _, err := connpool.NewAllowList(instance.AllowedBackends); err != nil {
		return Invalidf("dispatcher.allow", "%v", err)
	}
	for i, address := range d.ExtraAddresses {
		if err := address.Check(); err != nil || address.Backend == "" {
			return Invalidf(fmt.Sprintf("address.%d", i), "an address needs box, network and at: %v", err)
		}
	}
	if len(d.Budgets) > 0 && instance.FleetSize > 1 && len(instance.PeerAddrs) != instance.FleetSize {
		return Invalidf("dispatcher.peers", "names %d addresses for %d dispatchers, which share the budgets",
			len(instance.PeerAddrs), instance.FleetSize)
	}
	for i, b := range d.Budgets {
		if b.Monthly != nil && d.Ledger.Folder == "" {
			return Invalidf(fmt.Sprintf("budget.%d.monthly", i), "needs ledger.folder: usage must survive a restart")
		}
	}
	if d.Limits.PeerUpdates && len(instance.PeerAddrs) != instance.FleetSize {
		return Invalidf("dispatcher.peers", "names %d addresses for %d dispatchers",
			len(instance.PeerAddrs), instance.FleetSize)
	}
	if !slices.Contains(d.Zones, instance.Zone) {
		return Invalidf("dispatcher.zone", "%q is not among zones", instance.Zone)
	}
	if instance.MaxBodyBytes < 1024 {
		return Invalidf("dispatcher.body_limit", "is %d bytes, must be at least 1024", instance.MaxBodyBytes)
	}
	return d.Deployment.Check()
}

// Check returns an error for the first invalid setting.
func (d *Deployment) Check() error {
	if len(d.Classes) == 0 {
		return Invalidf("grade", "no [[grade]] is defined")
	}
	for i, class := range d.Classes {
		prefix := fmt.Sprintf("grade.%d.", i)
		switch {
		case class.Name == "":
			return Invalidf(prefix+"name", "is empty")
		case repeatEffects[class.Effect] == "":
			return Invalidf(prefix+"effect", "must be idempotent, deduplicated or unrepeatable, not %q", class.Effect)
		case class.DedupScope != "" && dedupScopes[class.DedupScope] == "":
			return Invalidf(prefix+"reach", "must be all, zone or rack, not %q", class.DedupScope)
		case class.Effect == "deduplicated" && class.DedupWindow <= 0:
			return Invalidf(prefix+"window", "is required with the effect deduplicated")
		case class.LatencyTarget <= 0:
			return Invalidf(prefix+"promised", "must be above 0")
		case class.Deadline < class.LatencyTarget:
			return Invalidf(prefix+"expiry", "must be at least promised")
		case class.DefaultMaxTokens < 1 || class.DefaultMaxTokens > kserve.MaxTokens:
			return Invalidf(prefix+"max_tokens", "must be from 1 to %d", kserve.MaxTokens)
		case d.ClassIndex(class.Name) < i:
			return Invalidf(prefix+"name", "%s is defined already", class.Name)
		}
		var windowErr error
		if class.Effect == "deduplicated" {
			windowErr = checkDuration(prefix+"window", class.DedupWindow, d.Limits.DialTimeout.Std()+time.Millisecond, day)
		}
		if err := FirstError(
			windowErr, checkDuration(prefix+"promised", class.LatencyTarget, time.Millisecond, day),
			checkDuration(prefix+"promised_per_1000", class.TargetPer1000Tokens, 0, time.Minute),
			checkDuration(prefix+"expiry", class.Deadline, time.Millisecond, day),
			checkDuration(prefix+"token_time", class.InterTokenTarget, 0, time.Hour),
			CheckNumber(prefix+"benefit", class.Value, MaxNumber), CheckNumber(prefix+"late_benefit", class.LateValue, 1),
		); err != nil {
			return err
		}
	}
	for i, tenant := range d.Tenants {
		prefix := fmt.Sprintf("channel.%d.", i)
		if tenant.Name == "" || d.TenantIndex(tenant.Name) < i {
			return Invalidf(prefix+"name", "%q is empty or defined already", tenant.Name)
		}
		if err := FirstError(
			CheckNumber(prefix+"share", tenant.Share, MaxNumber),
			CheckNumber(prefix+"questions_a_second", tenant.RequestsPerSecond, MaxNumber),
		); err != nil {
			return err
		}
	}
	seen := map[string]bool{}
	for i, b := range d.Budgets {
		prefix := fmt.Sprintf("budget.%d.", i)
		switch {
		case d.TenantIndex(b.Tenant) < 0:
			return Invalidf(prefix+"channel", "%q is not a defined channel", b.Tenant)
		case b.Class != "" && d.ClassIndex(b.Class) < 0:
			return Invalidf(prefix+"grade", "%q is not a defined grade", b.Class)
		case b.TokensPerSecond == nil && b.Monthly == nil:
			return Invalidf(prefix+"channel",
				"sets neither tokens_a_second nor monthly; a channel without a budget is not limited")
		case b.TokensPerSecond != nil && !(*b.TokensPerSecond >= 0), b.Monthly != nil && !(*b.Monthly >= 0),
			!(b.Burst >= 0), !(b.Borrow >= 0), !b.TokenLimits().Valid():
			return Invalidf(prefix+"channel", "has a value that is negative or out of range")
		case seen[b.TokenLimits().Name]:
			return Invalidf(prefix+"channel", "%s has a budget already", b.TokenLimits().Name)
		}
		seen[b.TokenLimits().Name] = true
	}
	for i, kind := range d.BackendKinds {
		if roles[kind.Role] == "" {
			return Invalidf(fmt.Sprintf("kind.%d.role", i), "must be reader, writer or mixed, not %q", kind.Role)
		}
		if kind.MemoryTokens < 1 || kind.MemoryTokens > MaxNumber {
			return Invalidf(fmt.Sprintf("kind.%d.memory", i), "must be from 1 to %.0f tokens", float64(MaxNumber))
		}
		if d.KindIndex(kind.Name) < i {
			return Invalidf(fmt.Sprintf("kind.%d.name", i), "%q is defined already", kind.Name)
		}
	}
	if len(d.BackendKinds) == 0 {
		return Invalidf("kind", "no [[kind]] is defined")
	}
	if len(d.ReportFields) > 4 {
		return Invalidf("report", "names %d values, must be at most 4", len(d.ReportFields))
	}
	rules, limits := d.Rules, d.Limits
	switch {
	case !(rules.SlowStartMultiple > 0):
		return Invalidf("rules.cold_multiple", "must be above 0")
	case !(rules.SlowStartShare > 0):
		return Invalidf("rules.cold_share", "must be above 0 and at most 1")
	case limits.MaxAttempts < 1 || limits.MaxAttempts > 16:
		return Invalidf("limits.trips", "must be from 1 to 16")
	case limits.MaxOpenRequests < 1:
		return Invalidf("limits.open_questions", "must be at least 1")
	case limits.MaxConnsPerBackend < 1:
		return Invalidf("limits.connections_a_box", "must be at least 1")
	}
	return FirstError(
		// An attempt must be sent within the drain grace, counted from when it was decided, and its connection may take
		// limits.dial.
		checkDuration("rules.drain_grace", rules.DrainGrace, limits.DialTimeout.Std()+time.Millisecond, time.Hour),
		checkDuration("rules.answer_slack", rules.AnswerSlack, 0, time.Minute),
		checkDuration("rules.cold_window", rules.SlowStartWindow, time.Millisecond, time.Hour),
		checkDuration("rules.cold_ramp", rules.SlowStartRamp, 0, day),
		checkDuration("rules.pin_limit", rules.KVCacheHoldLimit, time.Millisecond, time.Hour),
		CheckNumber("rules.cold_multiple", rules.SlowStartMultiple, 1000),
		CheckNumber("rules.cold_share", rules.SlowStartShare, 1),
		checkDuration("limits.dial", limits.DialTimeout, time.Millisecond, time.Minute),
		checkDuration("limits.stall", limits.StallTimeout, time.Millisecond, day),
		checkDuration("limits.retry_after", limits.MaxRetryAfter, 0, time.Hour),
		CheckNumber("limits.news_price", limits.PeerUpdatePrice, 1e6),
		CheckNumber("limits.zone_price", limits.CrossZonePrice, 1e6),
		CheckNumber("limits.over_share_benefit", limits.OverShareValue, 1),
	)
}

const (
	day = 24 * time.Hour

	// MaxNumber is the largest value that is accepted where no smaller bound applies.
	MaxNumber    = 1e12
	maxFleetSize = 1 << 16 // peer updates identify a dispatcher by two bytes
)

// CheckNumber returns an error for key unless v is from 0 to limit. NaN is an error.
func CheckNumber(key string, v, limit float64) error {
	if v >= 0 && v <= limit { // false for NaN
		return nil
	}
	return Invalidf(key, "must be from 0 to %g, not %g", limit, v)
}

// checkDuration returns an error for key unless d is within the bounds.
func checkDuration(key string, d Duration, shortest, longest time.Duration) error {
	if d.Std() >= shortest && d.Std() <= longest {
		return nil
	}
	return Invalidf(key, "must be from %v to %v, not %v", shortest, longest, d.Std())
}

// FirstError returns the first error that is not nil, or nil.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
