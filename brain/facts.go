package brain

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

// Settings are the settings of a dispatcher under dotted names such as "rules.coldFrom" or "kinds.0".
type Facts map[string]any

// FlattenSettings converts an object of nested settings.
func Flat(object map[string]any) Facts {
	f := Facts{}
	flatten(f, "", object)
	return f
}

// flatten stores nested values under dotted names. A list also stores its length under its own name.
func flatten(into Facts, name string, value any) {
	under := func(part string) string {
		if name == "" {
			return part
		}
		return name + "." + part
	}
	switch v := value.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(into, under(k), x)
		}
	case []any:
		into[name] = float64(len(v))
		for i, x := range v {
			flatten(into, under(strconv.Itoa(i)), x)
		}
	default:
		into[name] = v
	}
}

// Number returns a numeric setting, or fallback if it isn't one.
func (f Facts) Num(name string, absent float64) float64 {
	if v, ok := f[name].(float64); ok {
		return v
	}
	return absent
}

// Text returns a string setting, or "".
func (f Facts) Text(name string) string {
	s, _ := f[name].(string)
	return s
}

// Bool returns a boolean setting, or false.
func (f Facts) Yes(name string) bool {
	v, _ := f[name].(bool)
	return v
}

// Duration returns a setting stated in microseconds, or 0.
func (f Facts) Span(name string) time.Duration {
	return time.Duration(f.Num(name, 0)) * time.Microsecond
}

// RequireNumbers returns an error for the first of the named settings that is not a number.
func (f Facts) Lacks(names ...string) error {
	for _, name := range names {
		if _, ok := f[name].(float64); !ok {
			return fmt.Errorf("setting %s is missing or no number", name)
		}
	}
	return nil
}

// numericSettings are the settings that are used as divisors or counts, with their valid ranges. One that is
// not stated, or that is 0 where 0 can only mean "none", gets the fallback, which has no effect.
var figures = []struct {
	name         string
	least, most  float64
	absent       float64
	noughtIsNone bool
}{
	{"siblings", 1, 1 << 16, 1, true},
	{"policyLimits.maxAttempts", 1, 1e6, 1, true},
	{"rules.tipMultiple", 1e-3, 1e6, 1, true},
	{"rules.tipAfterUs", 1, 1e12, 1e6, true},
	{"rules.coldFrom", 0, 1, 0, false},
	{"rules.rampTimeUs", 0, 1e12, 0, false},
	{"prices.peer", 0, 1e9, 0, false},
	{"prices.crossZone", 0, 1e9, 0, false},
}

// WithDefaults returns a copy with defaults for what is not stated. Without the slow-start rule no backend is
// ever in slow start.
func (f Facts) Complete() Facts {
	whole := maps.Clone(f)
	if f.Num("rules.tipMultiple", 0) == 0 || f.Num("rules.tipAfterUs", 0) == 0 {
		whole["rules.rampTimeUs"] = 0.0
	}
	for _, g := range figures {
		if v := f.Num(g.name, 0); v == 0 {
			whole[g.name] = g.absent
		}
	}
	return whole
}

// Validate returns an error for the first required setting that is missing or setting that is out of range.
func (f Facts) Sound() error {
	if err := f.Lacks("familyInfo.kindRole"); err != nil {
		return err
	}
	for _, g := range figures {
		value, stated := f[g.name]
		v, number := value.(float64)
		switch {
		case !stated || value == nil || number && v == 0 && g.noughtIsNone:
		case !number:
			return fmt.Errorf("setting %s is no number", g.name)
		case !(v >= g.least && v <= g.most):
			return fmt.Errorf("setting %s is %g, it must be from %g to %g", g.name, v, g.least, g.most)
		}
	}
	if f.Num("requestClasses", 0) < 1 {
		return fmt.Errorf("setting requestClasses is missing or states no service grade")
	}
	return nil
}

// Classes returns the priority classes.
func (f Facts) Grades() ([]*Class, error) {
	var grades []*Class
	for i := range int(f.Num("requestClasses", 0)) {
		at := fmt.Sprintf("requestClasses.%d.", i)
		effect, known := map[string]Effect{
			"repeatable": Idempotent, "by_key": Deduplicated, "once": Unrepeatable,
		}[f.Text(at+"effect")]
		if !known {
			return nil, fmt.Errorf("setting %seffect is missing or unknown", at)
		}
		// A class without a target has its deadline as target; one without a window is never repeated.
		target := at + "aimUs"
		if f.Num(target, 0) == 0 {
			target = at + "giveUpUs"
		}
		if err := f.Lacks(target); err != nil {
			return nil, fmt.Errorf("%w, and neither is %saimUs stated", err, at)
		}
		for _, name := range []string{target, at + "windowUs", at + "worth", at + "lateWorth"} {
			if v := f.Num(name, 1); !(v >= 0 && v <= 1e15) || name == target && v < 1 {
				return nil, fmt.Errorf("setting %s is %g, which makes no sense", name, v)
			}
		}
		grades = append(grades, &Class{
			Index:      i,
			Effect:     effect,
			Reach:      map[string]Reach{"zone": SameZone, "cell": SameRack}[f.Text(at+"group")],
			Window:     f.Span(at + "windowUs"),
			Target:     f.Span(target),
			TargetPerK: f.Span(fmt.Sprintf("familyInfo.aimUsPer1000PromptTokens.%d", i)),
			Value:      f.Num(at+"worth", 1),
			Late:       f.Num(at+"lateWorth", 1),
			Offered:    Ring{Width: admittedWidth},
			Admitted:   Ring{Width: admittedWidth},
		})
	}
	return grades, nil
}

// Names returns the names in a list of names, or of objects that have a name.
func (f Facts) Names(list string) []string {
	names := make([]string, int(f.Num(list, 0)))
	for i := range names {
		at := fmt.Sprintf("%s.%d", list, i)
		names[i] = cmp.Or(f.Text(at), f.Text(at+".name"))
	}
	return names
}

// Index returns the index of a name in such a list, -1 if it is not there.
func (f Facts) Index(list, name string) int {
	if name == "" {
		return -1
	}
	return slices.Index(f.Names(list), name)
}

// Tenants returns the tenants. One without a quota has no limit.
func (f Facts) Channels() []*Tenant {
	var channels []*Tenant
	for i := range int(f.Num("tenants", 0)) {
		quota := f.Num(fmt.Sprintf("tenants.%d.quotaPerS", i), math.Inf(1))
		channels = append(channels, &Tenant{Quota: quota, Taken: Ring{Width: 500 * time.Millisecond}})
	}
	return channels
}

// RoleOf returns the role of a kind of backend.
func (f Facts) RoleOf(kind int) Role {
	return map[string]Role{"read": Reads, "write": Writes, "both": Both}[f.Text(fmt.Sprintf("familyInfo.kindRole.%d", kind))]
}

// KVCapacityOf returns the KV cache size of a kind of backend in tokens; unlimited if it is not stated.
func (f Facts) MemoryOf(kind int) float64 {
	return f.Num(fmt.Sprintf("familyInfo.tokensByKind.%d", kind), math.Inf(1))
}

// reportFields returns the names of a load report's values in order.
func (f Facts) reportFields() []string {
	var fields []string
	for i := 0; ; i++ {
		name := f.Text(fmt.Sprintf("report.fields.%d", i))
		if name == "" && i >= int(f.Num("report.fields", 0)) {
			return fields
		}
		fields = append(fields, name)
	}
}
