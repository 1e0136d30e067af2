package brain

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"
)

// Facts are the settings that an instance is started with, under dotted names such as "rules.coldFrom"
// or "kinds.0".
type Facts map[string]any

// Flat turns an object of nested settings into facts.
func Flat(object map[string]any) Facts {
	f := Facts{}
	flatten(f, "", object)
	return f
}

// flatten puts nested values under dotted names; a list also states its length under its own name.
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

func (f Facts) Num(name string, absent float64) float64 {
	if v, ok := f[name].(float64); ok {
		return v
	}
	return absent
}

func (f Facts) Text(name string) string {
	s, _ := f[name].(string)
	return s
}

func (f Facts) Yes(name string) bool {
	v, _ := f[name].(bool)
	return v
}

func (f Facts) Span(name string) time.Duration {
	return time.Duration(f.Num(name, 0)) * time.Microsecond
}

// Lacks names the first of the given numbers that is missing.
func (f Facts) Lacks(names ...string) error {
	for _, name := range names {
		if _, ok := f[name].(float64); !ok {
			return fmt.Errorf("setting %s is missing or no number", name)
		}
	}
	return nil
}

// Sound names the first setting without which an instance can't start, or that makes no sense.
func (f Facts) Sound() error {
	if err := f.Lacks("rules.tipMultiple", "rules.tipAfterUs", "rules.coldFrom", "rules.rampTimeUs",
		"familyInfo.kindRole", "policyLimits.maxAttempts", "siblings"); err != nil {
		return err
	}
	// The module divides by these, or counts up to them.
	for _, r := range []struct {
		name        string
		least, most float64
	}{
		{"siblings", 1, 1 << 16}, {"rules.tipMultiple", 1e-3, 1e6}, {"rules.tipAfterUs", 1, 1e12}, {"rules.coldFrom", 0, 1},
		{"rules.rampTimeUs", 0, 1e12}, {"policyLimits.maxAttempts", 1, 1e6}, {"prices.peer", 0, 1e9}, {"prices.crossZone", 0, 1e9},
	} {
		if v := f.Num(r.name, r.least); !(v >= r.least && v <= r.most) {
			return fmt.Errorf("setting %s is %g, it must be from %g to %g", r.name, v, r.least, r.most)
		}
	}
	if f.Num("requestClasses", 0) < 1 {
		return fmt.Errorf("setting requestClasses is missing or states no service grade")
	}
	return nil
}

// Grades reads the service grades.
func (f Facts) Grades() ([]*Grade, error) {
	var grades []*Grade
	for i := range int(f.Num("requestClasses", 0)) {
		at := fmt.Sprintf("requestClasses.%d.", i)
		effect, known := map[string]Effect{
			"repeatable": Idempotent, "by_key": Deduplicated, "once": Unrepeatable,
		}[f.Text(at+"effect")]
		if !known {
			return nil, fmt.Errorf("setting %seffect is missing or unknown", at)
		}
		needed := []string{at + "aimUs"}
		if effect == Deduplicated {
			needed = append(needed, at+"windowUs")
		}
		if err := f.Lacks(needed...); err != nil {
			return nil, err
		}
		for _, name := range append(needed, at+"worth", at+"lateWorth") {
			if v := f.Num(name, 1); !(v >= 0 && v <= 1e15) || name == at+"aimUs" && v < 1 {
				return nil, fmt.Errorf("setting %s is %g, which makes no sense", name, v)
			}
		}
		grades = append(grades, &Grade{
			Index:     i,
			Effect:    effect,
			Reach:     map[string]Reach{"zone": SameZone, "cell": SameRack}[f.Text(at+"group")],
			Window:    f.Span(at + "windowUs"),
			Promise:   f.Span(at + "aimUs"),
			PromisePK: f.Span(fmt.Sprintf("familyInfo.aimUsPer1000PromptTokens.%d", i)),
			Benefit:   f.Num(at+"worth", 1),
			Late:      f.Num(at+"lateWorth", 1),
		})
	}
	return grades, nil
}

// Names lists the names in a list of them, or of objects that have one.
func (f Facts) Names(list string) []string {
	names := make([]string, int(f.Num(list, 0)))
	for i := range names {
		at := fmt.Sprintf("%s.%d", list, i)
		names[i] = cmp.Or(f.Text(at), f.Text(at+".name"))
	}
	return names
}

// Index finds a name among them; -1 where it is not stated.
func (f Facts) Index(list, name string) int {
	if name == "" {
		return -1
	}
	return slices.Index(f.Names(list), name)
}

// Channels reads the tenants.
func (f Facts) Channels() []*Channel {
	var channels []*Channel
	for i := range int(f.Num("tenants", 0)) {
		quota := f.Num(fmt.Sprintf("tenants.%d.quotaPerS", i), math.Inf(1))
		channels = append(channels, &Channel{Quota: quota, Taken: Ring{Width: 500 * time.Millisecond}})
	}
	return channels
}

// RoleOf reads what a kind of machine can do.
func (f Facts) RoleOf(kind int) Role {
	return map[string]Role{"read": Reads, "write": Writes, "both": Both}[f.Text(fmt.Sprintf("familyInfo.kindRole.%d", kind))]
}

// MemoryOf reads how many tokens a kind of machine holds; one that is not stated counts as having
// enough.
func (f Facts) MemoryOf(kind int) float64 {
	return f.Num(fmt.Sprintf("familyInfo.tokensByKind.%d", kind), math.Inf(1))
}

// Report takes a load report's values in the stated order.
func (f Facts) Report(h *Host, values []float64) {
	for i, v := range values {
		switch f.Text(fmt.Sprintf("report.fields.%d", i)) {
		case "util":
			h.Util = v
		case "queue":
			h.Queue = v
		}
	}
}
