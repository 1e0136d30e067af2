package scheduler

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
type Settings map[string]any

// FlattenSettings converts an object of nested settings.
func FlattenSettings(object map[string]any) Settings {
	settings := Settings{}
	flatten(settings, "", object)
	return settings
}

// flatten stores nested values under dotted names. A list also stores its length under its own name.
func flatten(into Settings, name string, value any) {
	qualified := func(part string) string {
		if name == "" {
			return part
		}
		return name + "." + part
	}
	switch v := value.(type) {
	case map[string]any:
		for key, element := range v {
			flatten(into, qualified(key), element)
		}
	case []any:
		into[name] = float64(len(v))
		for i, element := range v {
			flatten(into, qualified(strconv.Itoa(i)), element)
		}
	default:
		into[name] = v
	}
}

// Number returns a numeric setting, or fallback if it isn't one.
func (s Settings) Number(name string, fallback float64) float64 {
	if v, ok := s[name].(float64); ok {
		return v
	}
	return fallback
}

// Text returns a string setting, or "".
func (s Settings) Text(name string) string {
	text, _ := s[name].(string)
	return text
}

// Bool returns a boolean setting, or false.
func (s Settings) Bool(name string) bool {
	flag, _ := s[name].(bool)
	return flag
}

// Duration returns a setting stated in microseconds, or 0.
func (s Settings) Duration(name string) time.Duration {
	return time.Duration(s.Number(name, 0)) * time.Microsecond
}

// RequireNumbers returns an error for the first of the named settings that is not a number.
func (s Settings) RequireNumbers(names ...string) error {
	for _, name := range names {
		if _, ok := s[name].(float64); !ok {
			return fmt.Errorf("read setting %s: missing or not a number", name)
		}
	}
	return nil
}

// numericSettings are the settings that are used as divisors or counts, with their valid ranges. One that is
// not stated, or that is 0 where 0 can only mean "none", gets the fallback, which has no effect.
var numericSettings = []struct {
	name             string
	minimum, maximum float64
	fallback         float64
	zeroIsUnset      bool
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
func (s Settings) WithDefaults() Settings {
	complete := maps.Clone(s)
	if s.Number("rules.tipMultiple", 0) == 0 || s.Number("rules.tipAfterUs", 0) == 0 {
		complete["rules.rampTimeUs"] = 0.0
	}
	for _, setting := range numericSettings {
		if v := s.Number(setting.name, 0); v == 0 {
			complete[setting.name] = setting.fallback
		}
	}
	return complete
}

// Validate returns an error for the first required setting that is missing or setting that is out of range.
func (s Settings) Validate() error {
	if err := s.RequireNumbers("familyInfo.kindRole"); err != nil {
		return err
	}
	for _, setting := range numericSettings {
		value, stated := s[setting.name]
		number, isNumber := value.(float64)
		switch {
		case !stated || value == nil || isNumber && number == 0 && setting.zeroIsUnset:
		case !isNumber:
			return fmt.Errorf("read setting %s: not a number", setting.name)
		case !(number >= setting.minimum && number <= setting.maximum):
			return fmt.Errorf("read setting %s: %g is not from %g to %g", setting.name, number, setting.minimum, setting.maximum)
		}
	}
	if s.Number("requestClasses", 0) < 1 {
		return fmt.Errorf("read setting requestClasses: missing or without a class")
	}
	return nil
}

// Classes returns the priority classes.
func (s Settings) Classes() ([]*Class, error) {
	var classes []*Class
	for i := range int(s.Number("requestClasses", 0)) {
		prefix := fmt.Sprintf("requestClasses.%d.", i)
		effect, known := map[string]Effect{
			"repeatable": Idempotent, "by_key": Deduplicated, "once": NonIdempotent,
		}[s.Text(prefix+"effect")]
		if !known {
			return nil, fmt.Errorf("read setting %seffect: missing or unknown", prefix)
		}
		// A class without a target has its deadline as target; one without a window is never repeated.
		target := prefix + "aimUs"
		if s.Number(target, 0) == 0 {
			target = prefix + "giveUpUs"
		}
		if err := s.RequireNumbers(target); err != nil {
			return nil, fmt.Errorf("%w, and %saimUs is not stated either", err, prefix)
		}
		for _, name := range []string{target, prefix + "windowUs", prefix + "worth", prefix + "lateWorth"} {
			if v := s.Number(name, 1); !(v >= 0 && v <= 1e15) || name == target && v < 1 {
				return nil, fmt.Errorf("read setting %s: %g is not from 0 to 1e15, or for a target from 1", name, v)
			}
		}
		classes = append(classes, &Class{
			Index:               i,
			Effect:              effect,
			DedupScope:          map[string]DedupScope{"zone": SameZone, "cell": SameRack}[s.Text(prefix+"group")],
			DedupWindow:         s.Duration(prefix + "windowUs"),
			Target:              s.Duration(target),
			TargetPer1000Tokens: s.Duration(fmt.Sprintf("familyInfo.aimUsPer1000PromptTokens.%d", i)),
			Value:               s.Number(prefix+"worth", 1),
			LateValue:           s.Number(prefix+"lateWorth", 1),
			Offered:             RollingSum{BucketWidth: admissionBucketWidth},
			Admitted:            RollingSum{BucketWidth: admissionBucketWidth},
		})
	}
	return classes, nil
}

// Names returns the names in a list of names, or of objects that have a name.
func (s Settings) Names(list string) []string {
	names := make([]string, int(s.Number(list, 0)))
	for i := range names {
		key := fmt.Sprintf("%s.%d", list, i)
		names[i] = cmp.Or(s.Text(key), s.Text(key+".name"))
	}
	return names
}

// Index returns the index of a name in such a list, -1 if it is not there.
func (s Settings) Index(list, name string) int {
	if name == "" {
		return -1
	}
	return slices.Index(s.Names(list), name)
}

// Tenants returns the tenants. One without a quota has no limit.
func (s Settings) Tenants() []*Tenant {
	var tenants []*Tenant
	for i := range int(s.Number("tenants", 0)) {
		quota := s.Number(fmt.Sprintf("tenants.%d.quotaPerS", i), math.Inf(1))
		tenants = append(tenants, &Tenant{Quota: quota, Received: RollingSum{BucketWidth: 500 * time.Millisecond}})
	}
	return tenants
}

// RoleOf returns the role of a kind of backend.
func (s Settings) RoleOf(kind int) Role {
	return map[string]Role{
		"read": RolePrefill, "write": RoleDecode, "both": RoleMixed,
	}[s.Text(fmt.Sprintf("familyInfo.kindRole.%d", kind))]
}

// KVCapacityOf returns the KV cache size of a kind of backend in tokens; unlimited if it is not stated.
func (s Settings) KVCapacityOf(kind int) float64 {
	return s.Number(fmt.Sprintf("familyInfo.tokensByKind.%d", kind), math.Inf(1))
}

// reportFields returns the names of a load report's values in order.
func (s Settings) reportFields() []string {
	var fields []string
	for i := 0; ; i++ {
		name := s.Text(fmt.Sprintf("report.fields.%d", i))
		if name == "" && i >= int(s.Number("report.fields", 0)) {
			return fields
		}
		fields = append(fields, name)
	}
}
