// Package experiment runs a scenario many times with varied settings, and stores each run's figures with its
// settings in an embedded database, so that an interrupted experiment resumes. It makes tables and charts of the
// runs; it sets no bounds and no test of the program depends on it. Begin with Plan.
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

// Plan describes an experiment: the base scenario, and what to vary.
type Plan struct {
	Experiment struct {
		Name     string   `toml:"name"`
		Base     string   `toml:"base"` // the scenario's file, relative to the plan's folder
		Repeats  int      `toml:"repeats"`
		Policies []string `toml:"policies"` // module, or the name of a baseline policy
		Form     string   `toml:"form"`     // virtual, or sockets
	} `toml:"experiment"`
	Vary []Axis `toml:"vary"`

	base map[string]any
	raw  []byte
}

// Axis is one key of the scenario and the values it takes. Entries of lists of tables are named by index, as in
// box.0.count.
type Axis struct {
	Key    string `toml:"key"`
	Values []any  `toml:"values"`
}

const maxRuns = 20000

// LoadPlan reads a plan and its base scenario. It returns an error if any of the plan's settings is invalid.
func LoadPlan(file string) (*Plan, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	plan := &Plan{raw: raw}
	plan.Experiment.Repeats, plan.Experiment.Policies, plan.Experiment.Form = 1, []string{"module"}, "virtual"
	if err := setup.Decode(file, raw, plan, plan.check); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(filepath.Dir(file), plan.Experiment.Base))
	if err != nil {
		return nil, fmt.Errorf("%s: experiment.base: %w", file, err)
	}
	if err := toml.Unmarshal(text, &plan.base); err != nil {
		return nil, fmt.Errorf("%s: %w", plan.Experiment.Base, err)
	}
	for _, setting := range plan.Settings() { // reject invalid settings before the first run
		if _, err := plan.Scenario(setting); err != nil {
			return nil, fmt.Errorf("%s: with %s: %w", file, setting, err)
		}
	}
	return plan, nil
}

func (p *Plan) check() error {
	experiment := p.Experiment
	switch {
	case experiment.Name == "" || strings.ContainsAny(experiment.Name, "/ \t"):
		return setup.Invalidf("experiment.name", "must be a word without spaces or slashes")
	case experiment.Base == "":
		return setup.Invalidf("experiment.base", "must name a scenario file")
	case experiment.Repeats < 1:
		return setup.Invalidf("experiment.repeats", "must be at least 1")
	case experiment.Form != "virtual" && experiment.Form != "sockets":
		return setup.Invalidf("experiment.form", "must be virtual or sockets, not %q", experiment.Form)
	case len(experiment.Policies) == 0:
		return setup.Invalidf("experiment.policies", "must name at least one policy")
	case experiment.Form == "sockets" && !slices.Equal(experiment.Policies, []string{"module"}):
		return setup.Invalidf("experiment.policies", "form sockets allows only the policy module, not %q",
			experiment.Policies)
	}
	runs := len(experiment.Policies) * experiment.Repeats
	for i, axis := range p.Vary {
		if axis.Key == "" || len(axis.Values) == 0 {
			return setup.Invalidf(fmt.Sprintf("vary.%d.values", i), "an axis needs a key and values")
		}
		runs *= len(axis.Values)
	}
	if runs > maxRuns {
		return setup.Invalidf("vary", "amounts to %d runs, at most %d are allowed", runs, maxRuns)
	}
	return nil
}

// Setting is the settings of one run: a value for each key, "policy" and "repeat" among them.
type Setting map[string]string

// String lists the keys and values in the order of keys. It identifies the run in the store.
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

// Settings lists the settings of all runs.
func (p *Plan) Settings() []Setting {
	all := []Setting{{}}
	addAxis := func(key string, values []string) {
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
	addAxis("policy", p.Experiment.Policies)
	for _, a := range p.Vary {
		var values []string
		for _, v := range a.Values {
			values = append(values, fmt.Sprint(v))
		}
		addAxis(a.Key, values)
	}
	var repeats []string
	for i := range p.Experiment.Repeats {
		repeats = append(repeats, strconv.Itoa(i))
	}
	addAxis("repeat", repeats)
	return all
}

// Scenario returns the scenario of a setting. Repeats differ in nothing but the seed.
func (p *Plan) Scenario(setting Setting) (day.Scenario, error) {
	tree := clone(p.base).(map[string]any)
	for _, axis := range p.Vary {
		for _, value := range axis.Values {
			if fmt.Sprint(value) == setting[axis.Key] {
				if err := setKey(tree, strings.Split(axis.Key, "."), value); err != nil {
					return day.Scenario{}, fmt.Errorf("vary %s: %w", axis.Key, err)
				}
			}
		}
	}
	raw, err := toml.Marshal(tree)
	if err != nil {
		return day.Scenario{}, err
	}
	scenario, err := day.Parse(p.Experiment.Base, raw)
	if err != nil {
		return scenario, err
	}
	repeat, err := strconv.Atoi(setting["repeat"])
	scenario.Header.Seed += uint64(repeat) * 1000003
	return scenario, err
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

// setKey sets the value of a dotted key. Tables along it are created; a number is the index of an existing list entry.
func setKey(node any, key []string, value any) error {
	switch in := node.(type) {
	case map[string]any:
		if len(key) == 1 {
			// Where the base has a float, an integer in the plan is converted.
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
		return setKey(in[key[0]], key[1:], value)
	case []any:
		i, err := strconv.Atoi(key[0])
		if err != nil || i < 0 || i >= len(in) || len(key) == 1 {
			return fmt.Errorf("%q is not the index of an existing table", key[0])
		}
		return setKey(in[i], key[1:], value)
	}
	return fmt.Errorf("%q is not a table", key[0])
}
