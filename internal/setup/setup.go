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
type Span time.Duration

// UnmarshalTOML takes a string only: a bare number, which would pass for nanoseconds, names no unit.
func (s *Span) UnmarshalTOML(raw []byte) error {
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
func (s *Span) UnmarshalText(raw []byte) error {
	d, err := time.ParseDuration(string(raw))
	if err != nil || d < 0 {
		return &noSpan{string(raw)}
	}
	*s = Span(d)
	return nil
}

// noSpan is a value that is no length of time; Decode finds where it stands.
type noSpan struct{ value string }

func (n *noSpan) Error() string {
	return n.value + " is no length of time such as \"250ms\" or \"4s\""
}

func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

func (s Span) D() time.Duration { return time.Duration(s) }

// Grade is a service grade as a deployment states it.
type Grade struct {
	Name      string  `toml:"name"`
	Effect    string  `toml:"effect"`           // idempotent, deduplicated or unrepeatable
	Reach     string  `toml:"reach,omitempty"`  // of deduplication: all, zone or rack
	Window    Span    `toml:"window,omitempty"` // of deduplication
	Promised  Span    `toml:"promised"`         // to the first token
	PerK      Span    `toml:"promised_per_1000,omitempty"`
	Expiry    Span    `toml:"expiry"`
	Benefit   float64 `toml:"benefit"`
	Late      float64 `toml:"late_benefit,omitempty"` // part of it that a late answer earns
	TokenTime Span    `toml:"token_time,omitempty"`   // promised between tokens
	Most      int     `toml:"max_tokens"`             // where a question does not say
}

// Channel is a tenant with its share.
type Channel struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`              // of the service
	PerS  float64 `toml:"questions_a_second"` // over all dispatchers, within its share
}

// Budget is what a channel, or one grade of it, has paid for. A limit that is left out is none; 0 lets nothing through.
type Budget struct {
	Channel string   `toml:"channel"`
	Grade   string   `toml:"grade,omitempty"`
	PerS    *float64 `toml:"tokens_a_second,omitempty"`
	Burst   float64  `toml:"burst,omitempty"` // tokens; ten seconds' worth where it is left out
	Monthly *float64 `toml:"monthly,omitempty"`
	Borrow  float64  `toml:"borrow,omitempty"` // tokens of the next month's, at most
}

// Terms are those of the decision package.
func (b Budget) Terms() budget.Terms {
	t := budget.Terms{Name: b.Channel, PerSecond: -1, Monthly: -1, Burst: b.Burst, Borrow: b.Borrow}
	if b.Grade != "" {
		t.Name += "/" + b.Grade
	}
	if b.PerS != nil {
		t.PerSecond = *b.PerS
		if b.Burst == 0 {
			t.Burst = 10 * *b.PerS
		}
	}
	if b.Monthly != nil {
		t.Monthly = *b.Monthly
	}
	return t
}

// Ledger is where the account is kept; no folder: none is.
type Ledger struct {
	Folder string `toml:"folder"`
	Key    string `toml:"key,omitempty"` // file of the secret that seals its records; none: accidents show, forgery does not
}

// Kind is a kind of box.
type Kind struct {
	Name   string `toml:"name"`
	Role   string `toml:"role"`   // reader, writer or mixed
	Memory int    `toml:"memory"` // tokens
}

// Rules are the figures of the five rules.
type Rules struct {
	Slack        Span    `toml:"answer_slack"`
	DrainGrace   Span    `toml:"drain_grace"`
	ColdMultiple float64 `toml:"cold_multiple"`
	ColdWindow   Span    `toml:"cold_window"`
	ColdShare    float64 `toml:"cold_share"`
	ColdRamp     Span    `toml:"cold_ramp"`
	Pin          Span    `toml:"pin_limit"`
}

// Limits are what a deployment allows.
type Limits struct {
	Trips      int     `toml:"trips"`
	Dial       Span    `toml:"dial"`
	Open       int     `toml:"open_questions"`
	BoxConns   int     `toml:"connections_a_box"`
	Stall      Span    `toml:"stall"`       // a running answer without a token for so long is taken for broken
	RetryAfter Span    `toml:"retry_after"` // the longest that clients heed; 0: they are told nothing
	Storms     bool    `toml:"damp_storms"` // spread and damp what asks again; clients are told when to come back
	Cancel     bool    `toml:"cancel"`
	Siblings   bool    `toml:"sibling_news"`
	NewsPrice  float64 `toml:"news_price"`
	ZonePrice  float64 `toml:"zone_price"`
	OverShare  float64 `toml:"over_share_benefit"`
	ByWork     bool    `toml:"benefit_by_work"`
	LocalRead  bool    `toml:"writers_read"`
}

// Terms are what a deployment states, alike for all its dispatchers.
type Terms struct {
	Model    string    `toml:"model"`
	Zones    []string  `toml:"zones"`
	Report   []string  `toml:"report"` // the values of a load report, in order
	Grades   []Grade   `toml:"grade"`
	Channels []Channel `toml:"channel,omitempty"`
	Budgets  []Budget  `toml:"budget,omitempty"`
	Kinds    []Kind    `toml:"kind"`
	Rules    Rules     `toml:"rules"`
	Limits   Limits    `toml:"limits"`
}

// DefaultTerms are the embedded defaults; a file changes what it names.
func DefaultTerms() Terms {
	return Terms{
		Model: "lodge", Zones: []string{"here"}, Report: []string{"util", "queue", "x0"},
		Rules: Rules{
			Slack: Span(8 * time.Millisecond), DrainGrace: Span(time.Second), ColdMultiple: 2.5,
			ColdWindow: Span(2 * time.Second), ColdShare: 0.3, ColdRamp: Span(12 * time.Second), Pin: Span(500 * time.Millisecond),
		},
		Limits: Limits{
			Trips: 4, Dial: Span(250 * time.Millisecond), Open: 20000, BoxConns: 512, Stall: Span(20 * time.Second), RetryAfter: Span(500 * time.Millisecond),
			Storms: true, Cancel: true, OverShare: 0.1, ByWork: true, LocalRead: true,
		},
	}
}

// Place is where a dispatcher stands in its fleet and where it listens.
type Place struct {
	Name     string   `toml:"name"`
	Number   int      `toml:"number"`
	Siblings int      `toml:"siblings"` // dispatchers, itself among them
	Zone     string   `toml:"zone"`
	Listen   []string `toml:"listen"`               // host:port, tcp4:, tcp6: or unix: with a path
	Allow    []string `toml:"allow,omitempty"`      // where boxes may be: ranges such as 10.0.0.0/8, and unix:/folder/; none: anywhere
	Keep     string   `toml:"keep,omitempty"`       // folder for the last list
	Boxes    string   `toml:"boxes"`                // address of the box list
	News     string   `toml:"news,omitempty"`       // UDP address for messages of siblings
	Peers    []string `toml:"peers,omitempty"`      // theirs, by number
	Seed     uint64   `toml:"seed,omitempty"`       // of its chance; 0: a fresh one at each start
	Margin   Span     `toml:"margin"`               // taken off a client's time for the way back
	Body     int64    `toml:"body_limit"`           // bytes of a request
	BodyTime Span     `toml:"body_time"`            // for a request to arrive
	Write    Span     `toml:"write_time"`           // for a client to take a piece of its answer
	Stop     Span     `toml:"stop_time"`            // for running questions to end after SIGTERM
	Control  []string `toml:"operators,omitempty"`  // addresses for operators and health, past the limits on connections
	ConnPerS float64  `toml:"connections_a_second"` // from clients; 0: no limit
	ConnOpen int      `toml:"connections_open"`
	Tickets  string   `toml:"ticket_key,omitempty"` // file of the key that the fleet's tickets have; none: they are good here only
}

// BoxAddress is a further address of a box, beside those that the list names.
type BoxAddress struct {
	Box string `toml:"box"`
	addresses.Spec
}

// Dispatcher is the file of one dispatcher.
type Dispatcher struct {
	Place Place `toml:"dispatcher"`
	Terms
	Further []BoxAddress `toml:"address,omitempty"`
	Ledger  Ledger       `toml:"ledger,omitempty"`
}

// DefaultDispatcher is what a file of a dispatcher starts from.
func DefaultDispatcher() Dispatcher {
	return Dispatcher{Terms: DefaultTerms(), Place: Place{
		Name: "dispatcher", Siblings: 1, Zone: "here", Listen: []string{"127.0.0.1:8100"}, Margin: Span(10 * time.Millisecond),
		Body: 8 << 20, BodyTime: Span(10 * time.Second), Write: Span(10 * time.Second), Stop: Span(30 * time.Second), ConnPerS: 1000, ConnOpen: 20000,
	}}
}

// Fault is what is wrong with a file, and where.
type Fault struct {
	File string
	Line int
	Key  string
	Text string
}

func (f *Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Text)
}

// wrong is a senseless value under a key; Decode finds its line.
type wrong struct{ key, text string }

func (w *wrong) Error() string { return w.key + ": " + w.text }

// ReadKey reads a key from a file: 16 bytes or more, as hexadecimal digits.
func ReadKey(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || len(key) < 16 {
		return nil, &Fault{file, 1, "key", "a key is 32 or more hexadecimal digits on one line"}
	}
	return key, nil
}

// Wrong tells that the value under a key makes no sense.
func Wrong(key, format string, args ...any) error { return &wrong{key, fmt.Sprintf(format, args...)} }

// Load reads the file of a dispatcher.
func Load(file string) (Dispatcher, error) {
	d := DefaultDispatcher()
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
		return &Fault{file, line, strings.Join(e.Key(), "."), "no such key"}
	case errors.As(err, &wrongKind):
		line, _ := wrongKind.Position()
		return &Fault{file, line, strings.Join(wrongKind.Key(), "."), strings.TrimPrefix(wrongKind.Error(), "toml: ")}
	case errors.As(err, &span):
		key, line := keyOf(raw, span.value)
		return &Fault{file, line, key, span.Error()}
	case err != nil:
		return &Fault{file, 1, "", err.Error()}
	}
	var w *wrong
	if err := check(); errors.As(err, &w) {
		return &Fault{file, lineOf(raw, w.key), w.key, w.text}
	} else if err != nil {
		return &Fault{file, 1, "", err.Error()}
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

func (d *Dispatcher) check() error {
	p := d.Place
	if p.Name == "" {
		return Wrong("dispatcher.name", "is empty")
	}
	if p.Siblings < 1 || p.Number < 0 || p.Number >= p.Siblings {
		return Wrong("dispatcher.number", "is %d of %d dispatchers; numbers begin with 0", p.Number, p.Siblings)
	}
	if _, _, err := net.SplitHostPort(p.Boxes); err != nil {
		return Wrong("dispatcher.boxes", "%q is no address such as 127.0.0.1:8000", p.Boxes)
	}
	if len(p.Listen) == 0 {
		return Wrong("dispatcher.listen", "names no address")
	}
	for _, at := range p.Listen {
		if _, err := reach.ParseListen(at); err != nil {
			return Wrong("dispatcher.listen", "%v", err)
		}
	}
	for _, at := range p.Control {
		if _, err := reach.ParseListen(at); err != nil {
			return Wrong("dispatcher.operators", "%v", err)
		}
	}
	if p.Siblings > mostSiblings {
		return Wrong("dispatcher.siblings", "must be at most %d", mostSiblings)
	}
	if p.ConnOpen < 1 {
		return Wrong("dispatcher.connections_open", "must be at least 1")
	}
	least := day
	for _, g := range d.Grades {
		least = min(least, g.Expiry.D())
	}
	if err := FirstOf(
		Figure("dispatcher.connections_a_second", p.ConnPerS, MostFigure), span("dispatcher.margin", p.Margin, 0, least-time.Millisecond),
		span("dispatcher.body_time", p.BodyTime, time.Millisecond, time.Hour), span("dispatcher.write_time", p.Write, time.Millisecond, time.Hour),
		span("dispatcher.stop_time", p.Stop, 0, day),
	); err != nil {
		return err
	}
	if _, err := reach.NewAllowed(p.Allow); err != nil {
		return Wrong("dispatcher.allow", "%v", err)
	}
	for i, a := range d.Further {
		if err := a.Check(); err != nil || a.Box == "" {
			return Wrong(fmt.Sprintf("address.%d", i), "an address needs a box, a network and at: %v", err)
		}
	}
	if len(d.Budgets) > 0 && p.Siblings > 1 && len(p.Peers) != p.Siblings {
		return Wrong("dispatcher.peers", "names %d addresses, for %d dispatchers: budgets are lent among them", len(p.Peers), p.Siblings)
	}
	for i, b := range d.Budgets {
		if b.Monthly != nil && d.Ledger.Folder == "" {
			return Wrong(fmt.Sprintf("budget.%d.monthly", i), "needs ledger.folder: what was used must outlast a restart")
		}
	}
	if d.Limits.Siblings && len(p.Peers) != p.Siblings {
		return Wrong("dispatcher.peers", "names %d addresses, for %d dispatchers", len(p.Peers), p.Siblings)
	}
	if !slices.Contains(d.Zones, p.Zone) {
		return Wrong("dispatcher.zone", "%q is not among zones", p.Zone)
	}
	if p.Body < 1024 {
		return Wrong("dispatcher.body_limit", "is %d bytes, at least 1024 are needed", p.Body)
	}
	return d.Terms.Check()
}

// Check looks at what a deployment states.
func (t *Terms) Check() error {
	if len(t.Grades) == 0 {
		return Wrong("grade", "no service grade is stated")
	}
	for i, g := range t.Grades {
		at := fmt.Sprintf("grade.%d.", i)
		switch {
		case g.Name == "":
			return Wrong(at+"name", "is empty")
		case effects[g.Effect] == "":
			return Wrong(at+"effect", "must be idempotent, deduplicated or unrepeatable, not %q", g.Effect)
		case g.Reach != "" && reaches[g.Reach] == "":
			return Wrong(at+"reach", "must be all, zone or rack, not %q", g.Reach)
		case g.Effect == "deduplicated" && g.Window <= 0:
			return Wrong(at+"window", "is needed where repeats are known by a mark")
		case g.Promised <= 0:
			return Wrong(at+"promised", "must be above 0")
		case g.Expiry < g.Promised:
			return Wrong(at+"expiry", "is before the promised time")
		case g.Most < 1 || g.Most > kserve.MostTokens:
			return Wrong(at+"max_tokens", "must be from 1 to %d", kserve.MostTokens)
		case t.GradeNumber(g.Name) < i:
			return Wrong(at+"name", "%s is stated already", g.Name)
		}
		var window error
		if g.Effect == "deduplicated" {
			window = span(at+"window", g.Window, t.Limits.Dial.D()+time.Millisecond, day)
		}
		if err := FirstOf(
			window, span(at+"promised", g.Promised, time.Millisecond, day),
			span(at+"promised_per_1000", g.PerK, 0, time.Minute), span(at+"expiry", g.Expiry, time.Millisecond, day),
			span(at+"token_time", g.TokenTime, 0, time.Hour), Figure(at+"benefit", g.Benefit, MostFigure), Figure(at+"late_benefit", g.Late, 1),
		); err != nil {
			return err
		}
	}
	for i, c := range t.Channels {
		at := fmt.Sprintf("channel.%d.", i)
		if c.Name == "" || t.ChannelNumber(c.Name) < i {
			return Wrong(at+"name", "a channel needs a name of its own, not %q", c.Name)
		}
		if err := FirstOf(Figure(at+"share", c.Share, MostFigure), Figure(at+"questions_a_second", c.PerS, MostFigure)); err != nil {
			return err
		}
	}
	seen := map[string]bool{}
	for i, b := range t.Budgets {
		at := fmt.Sprintf("budget.%d.", i)
		switch {
		case t.ChannelNumber(b.Channel) < 0:
			return Wrong(at+"channel", "%q is not among the channels", b.Channel)
		case b.Grade != "" && t.GradeNumber(b.Grade) < 0:
			return Wrong(at+"grade", "%q is unknown", b.Grade)
		case b.PerS == nil && b.Monthly == nil:
			return Wrong(at+"channel", "states neither tokens_a_second nor monthly; without a budget a channel is not limited")
		case b.PerS != nil && !(*b.PerS >= 0), b.Monthly != nil && !(*b.Monthly >= 0), !(b.Burst >= 0), !(b.Borrow >= 0), !b.Terms().Valid():
			return Wrong(at+"channel", "has a figure that is negative or makes no sense")
		case seen[b.Terms().Name]:
			return Wrong(at+"channel", "%s has a budget already", b.Terms().Name)
		}
		seen[b.Terms().Name] = true
	}
	for i, k := range t.Kinds {
		if roles[k.Role] == "" {
			return Wrong(fmt.Sprintf("kind.%d.role", i), "must be reader, writer or mixed, not %q", k.Role)
		}
		if k.Memory < 1 || k.Memory > MostFigure {
			return Wrong(fmt.Sprintf("kind.%d.memory", i), "must be from 1 to %.0f tokens", float64(MostFigure))
		}
		if t.KindNumber(k.Name) < i {
			return Wrong(fmt.Sprintf("kind.%d.name", i), "%q is stated already", k.Name)
		}
	}
	if len(t.Kinds) == 0 {
		return Wrong("kind", "no kind of box is stated")
	}
	if len(t.Report) > 4 {
		return Wrong("report", "names %d values, 4 at most", len(t.Report))
	}
	r, l := t.Rules, t.Limits
	switch {
	case !(r.ColdMultiple > 0):
		return Wrong("rules.cold_multiple", "must be above 0")
	case !(r.ColdShare > 0):
		return Wrong("rules.cold_share", "must be above 0 and at most 1")
	case l.Trips < 1 || l.Trips > 16:
		return Wrong("limits.trips", "must be from 1 to 16")
	case l.Open < 1:
		return Wrong("limits.open_questions", "must be at least 1")
	case l.BoxConns < 1:
		return Wrong("limits.connections_a_box", "must be at least 1")
	}
	return FirstOf(
		// What is sent to a box has to be out before the grace is over, from when it was decided: see docs/operating.md.
		span("rules.drain_grace", r.DrainGrace, l.Dial.D()+time.Millisecond, time.Hour),
		span("rules.answer_slack", r.Slack, 0, time.Minute),
		span("rules.cold_window", r.ColdWindow, time.Millisecond, time.Hour),
		span("rules.cold_ramp", r.ColdRamp, 0, day),
		span("rules.pin_limit", r.Pin, time.Millisecond, time.Hour),
		Figure("rules.cold_multiple", r.ColdMultiple, 1000),
		Figure("rules.cold_share", r.ColdShare, 1),
		span("limits.dial", l.Dial, time.Millisecond, time.Minute),
		span("limits.stall", l.Stall, time.Millisecond, day),
		span("limits.retry_after", l.RetryAfter, 0, time.Hour),
		Figure("limits.news_price", l.NewsPrice, 1e6),
		Figure("limits.zone_price", l.ZonePrice, 1e6),
		Figure("limits.over_share_benefit", l.OverShare, 1),
	)
}

// The largest figures that are taken for meant.
const (
	day          = 24 * time.Hour
	MostFigure   = 1e12
	mostSiblings = 1 << 16 // their messages name them by two bytes
)

// Figure tells what is wrong with a number that must not be negative, nor over most.
func Figure(key string, v, most float64) error {
	if v >= 0 && v <= most { // no number is neither
		return nil
	}
	return Wrong(key, "must be from 0 to %g, not %g", most, v)
}

// span tells what is wrong with a length of time.
func span(key string, s Span, least, most time.Duration) error {
	if s.D() >= least && s.D() <= most {
		return nil
	}
	return Wrong(key, "must be from %v to %v, not %v", least, most, s.D())
}

// FirstOf is the first of some faults that is one.
func FirstOf(faults ...error) error {
	for _, err := range faults {
		if err != nil {
			return err
		}
	}
	return nil
}
