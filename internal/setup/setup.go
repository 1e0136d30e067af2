// Package setup has the TOML form of a dispatcher's configuration and of the settings that a whole deployment shares.
// Load reads and checks them and names file, line and key of what is wrong; SchedulerParameters converts them for the
// scheduler. It makes no decisions: what a setting does is up to the scheduler or the program. Begin with
// DispatcherConfig.
package setup

import (
	"encoding/hex"
	"os"
	"strings"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/budget"
)

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
