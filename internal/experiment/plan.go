// Package experiment runs a day many times, one thing varied at a time, keeps each run's figures with what it was run
// with in an embedded store, goes on where it was interrupted, and makes tables and charts of them. It decides nothing and
// no test of the program depends on it. Begin with Plan.
package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"sloetrestle/internal/day"
	"sloetrestle/internal/setup"
)

// Plan says what to vary.
type Plan struct {
	Experiment struct {
		Name     string   `toml:"name"`
		Base     string   `toml:"base"` // the day's file, from the plan's folder
		Repeats  int      `toml:"repeats"`
		Policies []string `toml:"policies"` // module, or a baseline's name
		Form     string   `toml:"form"`     // virtual, or sockets
	} `toml:"experiment"`
	Vary []Axis `toml:"vary"`

	base map[string]any
	raw  []byte
}

// Axis is one key and the values that it takes. Trouble and box tables are named by their number, as in box.0.count.
type Axis struct {
	Key    string `toml:"key"`
	Values []any  `toml:"values"`
}

const mostRuns = 20000

// LoadPlan reads a plan and its day.
func LoadPlan(file string) (*Plan, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p := &Plan{raw: raw}
	p.Experiment.Repeats, p.Experiment.Policies, p.Experiment.Form = 1, []string{"module"}, "virtual"
	if err := setup.Decode(file, raw, p, p.check); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(filepath.Dir(file), p.Experiment.Base))
	if err != nil {
		return nil, fmt.Errorf("%s: experiment.base: %w", file, err)
	}
	if err := toml.Unmarshal(text, &p.base); err != nil {
		return nil, fmt.Errorf("%s: %w", p.Experiment.Base, err)
	}
	for _, s := range p.Settings() { // what can't be played is told before anything is
		if _, err := p.Day(s); err != nil {
			return nil, fmt.Errorf("%s: with %s: %w", file, s, err)
		}
	}
	return p, nil
}

func (p *Plan) check() error {
	e := p.Experiment
	switch {
	case e.Name == "" || strings.ContainsAny(e.Name, "/ \t"):
		return setup.Invalidf("experiment.name", "needs a word without spaces")
	case e.Base == "":
		return setup.Invalidf("experiment.base", "names no day")
	case e.Repeats < 1:
		return setup.Invalidf("experiment.repeats", "must be at least 1")
	case e.Form != "virtual" && e.Form != "sockets":
		return setup.Invalidf("experiment.form", "must be virtual or sockets, not %q", e.Form)
	case len(e.Policies) == 0:
		return setup.Invalidf("experiment.policies", "names none")
	case e.Form == "sockets" && !slices.Equal(e.Policies, []string{"module"}):
		return setup.Invalidf("experiment.policies", "on sockets only the module runs: baselines are no dispatchers")
	}
	runs := len(e.Policies) * e.Repeats
	for i, a := range p.Vary {
		if a.Key == "" || len(a.Values) == 0 {
			return setup.Invalidf(fmt.Sprintf("vary.%d.values", i), "an axis needs a key and values")
		}
		runs *= len(a.Values)
	}
	if runs > mostRuns {
		return setup.Invalidf("vary", "come to %d runs; %d at most", runs, mostRuns)
	}
	return nil
}

// Setting is one run's choice: a value for each key, "policy" and "repeat" among them.
type Setting map[string]string

// String is the setting in one order of keys: it names the run.
func (s Setting) String() string {
	keys := make([]string, 0, len(s))
	for k := range s {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	parts := make([]string, len(keys))
	for i, k := range keys {
		parts[i] = k + "=" + s[k]
	}
	return strings.Join(parts, " ")
}

// Settings lists all runs.
func (p *Plan) Settings() []Setting {
	all := []Setting{{}}
	spread := func(key string, values []string) {
		var next []Setting
		for _, s := range all {
			for _, v := range values {
				t := Setting{key: v}
				for k, x := range s {
					t[k] = x
				}
				next = append(next, t)
			}
		}
		all = next
	}
	spread("policy", p.Experiment.Policies)
	for _, a := range p.Vary {
		var values []string
		for _, v := range a.Values {
			values = append(values, fmt.Sprint(v))
		}
		spread(a.Key, values)
	}
	var repeats []string
	for i := range p.Experiment.Repeats {
		repeats = append(repeats, strconv.Itoa(i))
	}
	spread("repeat", repeats)
	return all
}

// Day makes the day of a setting. A repeat changes nothing but the seed.
func (p *Plan) Day(s Setting) (day.Scenario, error) {
	tree := clone(p.base).(map[string]any)
	for _, a := range p.Vary {
		for _, v := range a.Values {
			if fmt.Sprint(v) == s[a.Key] {
				if err := set(tree, strings.Split(a.Key, "."), v); err != nil {
					return day.Scenario{}, fmt.Errorf("vary %s: %w", a.Key, err)
				}
			}
		}
	}
	raw, err := toml.Marshal(tree)
	if err != nil {
		return day.Scenario{}, err
	}
	d, err := day.Parse(p.Experiment.Base, raw)
	if err != nil {
		return d, err
	}
	repeat, err := strconv.Atoi(s["repeat"])
	d.Header.Seed += uint64(repeat) * 1000003
	return d, err
}

func clone(v any) any {
	switch v := v.(type) {
	case map[string]any:
		m := map[string]any{}
		for k, x := range v {
			m[k] = clone(x)
		}
		return m
	case []any:
		l := make([]any, len(v))
		for i, x := range v {
			l[i] = clone(x)
		}
		return l
	}
	return v
}

// set puts a value under a dotted key. Tables on the way may be new; numbers count in lists that are there.
func set(in any, key []string, value any) error {
	switch in := in.(type) {
	case map[string]any:
		if len(key) == 1 {
			// A whole number stands for a real one where the base has that.
			if _, real := in[key[0]].(float64); real {
				if n, whole := value.(int64); whole {
					value = float64(n)
				}
			}
			in[key[0]] = value
			return nil
		}
		if in[key[0]] == nil {
			in[key[0]] = map[string]any{}
		}
		return set(in[key[0]], key[1:], value)
	case []any:
		i, err := strconv.Atoi(key[0])
		if err != nil || i < 0 || i >= len(in) || len(key) == 1 {
			return fmt.Errorf("%q is no number of a table there", key[0])
		}
		return set(in[i], key[1:], value)
	}
	return fmt.Errorf("%q is no table", key[0])
}
