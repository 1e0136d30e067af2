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

// Facts are the settings that an instance is started with, under dotted names such as "rules.coldFrom"
// or "kinds.0".
type Settings map[string]any

// Flat turns an object of nested settings into facts.
func FlattenSettings(object map[string]any) Settings {
	f := Settings{}
	flatten(f, "", object)
	return f
}

// flatten puts nested values under dotted names; a list also states its length under its own name.
func flatten(into Settings, name string, value any) {
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

func (f Settings) Number(name string, absent float64) float64 {
	if v, ok := f[name].(float64); ok {
		return v
	}
	return absent
}

func (f Settings) Text(name string) string {
	s, _ := f[name].(string)
	return s
}

func (f Settings) Bool(name string) bool {
	v, _ := f[name].(bool)
	return v
}

func (f Settings) Duration(name string) time.Duration {
	return time.Duration(f.Number(name, 0)) * time.Microsecond
}

// Lacks names the first of the given numbers that is missing.
func (f Settings) RequireNumbers(names ...string) error {
	for _, name := range names {
		if _, ok := f[name].(float64); !ok {
			return fmt.Errorf("setting %s is missing or no number", name)
		}
	}
	return nil
}

// figures are the settings that the module divides by or counts up to, with the range in which they make sense. One that is not
// stated, or stated as nought where that can only mean that there is none, has the value that changes nothing.
var numericSettings = []struct {
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

// Complete returns the facts with what they do not state. Without the rule on cold backends, none is cold.
func (f Settings) WithDefaults() Settings {
	whole := maps.Clone(f)
	if f.Number("rules.tipMultiple", 0) == 0 || f.Number("rules.tipAfterUs", 0) == 0 {
		whole["rules.rampTimeUs"] = 0.0
	}
	for _, g := range numericSettings {
		if v := f.Number(g.name, 0); v == 0 {
			whole[g.name] = g.absent
		}
	}
	return whole
}

// Sound names the first setting without which an instance can't start, or that makes no sense.
func (f Settings) Validate() error {
	if err := f.RequireNumbers("familyInfo.kindRole"); err != nil {
		return err
	}
	for _, g := range numericSettings {
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
	if f.Number("requestClasses", 0) < 1 {
		return fmt.Errorf("setting requestClasses is missing or states no service grade")
	}
	return nil
}

// Grades reads the service classes.
func (f Settings) Classes() ([]*Class, error) {
	var grades []*Class
	for i := range int(f.Number("requestClasses", 0)) {
		at := fmt.Sprintf("requestClasses.%d.", i)
		effect, known := map[string]Effect{
			"repeatable": Idempotent, "by_key": Deduplicated, "once": NonIdempotent,
		}[f.Text(at+"effect")]
		if !known {
			return nil, fmt.Errorf("setting %seffect is missing or unknown", at)
		}
		// A class without a target has its deadline for one, and one without a window is never repeated.
		target := at + "aimUs"
		if f.Number(target, 0) == 0 {
			target = at + "giveUpUs"
		}
		if err := f.RequireNumbers(target); err != nil {
			return nil, fmt.Errorf("%w, and neither is %saimUs stated", err, at)
		}
		for _, name := range []string{target, at + "windowUs", at + "worth", at + "lateWorth"} {
			if v := f.Number(name, 1); !(v >= 0 && v <= 1e15) || name == target && v < 1 {
				return nil, fmt.Errorf("setting %s is %g, which makes no sense", name, v)
			}
		}
		grades = append(grades, &Class{
			Index:               i,
			Effect:              effect,
			DedupScope:          map[string]DedupScope{"zone": SameZone, "cell": SameRack}[f.Text(at+"group")],
			DedupWindow:         f.Duration(at + "windowUs"),
			Target:              f.Duration(target),
			TargetPer1000Tokens: f.Duration(fmt.Sprintf("familyInfo.aimUsPer1000PromptTokens.%d", i)),
			Value:               f.Number(at+"worth", 1),
			LateValue:           f.Number(at+"lateWorth", 1),
			Offered:             RollingSum{BucketWidth: admissionBucketWidth},
			Admitted:            RollingSum{BucketWidth: admissionBucketWidth},
		})
	}
	return grades, nil
}

// Names lists the names in a list of them, or of objects that have one.
func (f Settings) Names(list string) []string {
	names := make([]string, int(f.Number(list, 0)))
	for i := range names {
		at := fmt.Sprintf("%s.%d", list, i)
		names[i] = cmp.Or(f.Text(at), f.Text(at+".name"))
	}
	return names
}

// Index finds a name among them; -1 where it is not stated.
func (f Settings) Index(list, name string) int {
	if name == "" {
		return -1
	}
	return slices.Index(f.Names(list), name)
}

// Channels reads the tenants.
func (f Settings) Tenants() []*Tenant {
	var channels []*Tenant
	for i := range int(f.Number("tenants", 0)) {
		quota := f.Number(fmt.Sprintf("tenants.%d.quotaPerS", i), math.Inf(1))
		channels = append(channels, &Tenant{Quota: quota, Received: RollingSum{BucketWidth: 500 * time.Millisecond}})
	}
	return channels
}

// RoleOf reads what a kind of machine can do.
func (f Settings) RoleOf(kind int) Role {
	return map[string]Role{"read": RolePrefill, "write": RoleDecode, "both": RoleMixed}[f.Text(fmt.Sprintf("familyInfo.kindRole.%d", kind))]
}

// MemoryOf reads how many tokens a kind of machine holds; one that is not stated counts as having
// enough.
func (f Settings) KVCapacityOf(kind int) float64 {
	return f.Number(fmt.Sprintf("familyInfo.tokensByKind.%d", kind), math.Inf(1))
}

// reportFields names the values of a load report in their order.
func (f Settings) reportFields() []string {
	var fields []string
	for i := 0; ; i++ {
		name := f.Text(fmt.Sprintf("report.fields.%d", i))
		if name == "" && i >= int(f.Number("report.fields", 0)) {
			return fields
		}
		fields = append(fields, name)
	}
}
