package setup

import (
	"fmt"
	"slices"
	"time"

	"sloetrestle/brain"
)

// The module's words for ours.
var (
	effects = map[string]string{"idempotent": "repeatable", "deduplicated": "by_key", "unrepeatable": "once"}
	reaches = map[string]string{"all": "all", "zone": "zone", "rack": "cell"}
	roles   = map[string]string{"reader": "read", "writer": "write", "mixed": "both"}
)

// Facts gives the module its plain map: the one table from the operators' keys to the module's names.
func (d *Dispatcher) Facts() brain.Settings {
	us := func(s Span) float64 { return float64(time.Duration(s).Microseconds()) }
	f := brain.Settings{
		"siblings": float64(d.Place.Siblings), "slotNo": float64(d.Place.Number),
		"zone": float64(d.ZoneNumber(d.Place.Zone)), "discovery": "automatic", "overShareWorth": d.Limits.OverShare,
		"prices.peer": d.Limits.NewsPrice, "prices.crossZone": d.Limits.ZonePrice,

		"rules.tipMultiple": d.Rules.ColdMultiple, "rules.tipAfterUs": us(d.Rules.ColdWindow),
		"rules.coldFrom": d.Rules.ColdShare, "rules.rampTimeUs": us(d.Rules.ColdRamp),
		"familyInfo.localRead": d.Limits.LocalRead, "familyInfo.pinLimitUs": us(d.Rules.Pin),

		"policyLimits.maxAttempts": float64(d.Limits.Trips),
		"policyLimits.cancelling":  d.Limits.Cancel,
		"policyLimits.peers":       d.Limits.Siblings, "policyLimits.retryAfter": d.Limits.RetryAfter > 0,
		"policyLimits.maxRetryAfterUs": us(d.Limits.RetryAfter),

		"requestClasses": float64(len(d.Grades)), "tenants": float64(len(d.Channels)),
		"familyInfo.kindRole": float64(len(d.Kinds)), "report.fields": float64(len(d.Report)),
	}
	if d.Limits.ByWork {
		f["valueBy"] = "work"
	}
	for i, g := range d.Grades {
		at := fmt.Sprintf("requestClasses.%d.", i)
		f[at+"effect"], f[at+"group"] = effects[g.Effect], reaches[g.Reach]
		// What is decided within a window may take a connection's time until it is out.
		f[at+"windowUs"], f[at+"aimUs"] = us(max(g.Window-d.Limits.Dial, 0)), us(g.Promised)
		f[at+"worth"], f[at+"lateWorth"] = g.Benefit, g.Late
		f[fmt.Sprintf("familyInfo.aimUsPer1000PromptTokens.%d", i)] = us(g.PerK)
	}
	for i, c := range d.Channels {
		f[fmt.Sprintf("tenants.%d.quotaPerS", i)] = c.PerS
	}
	for i, k := range d.Kinds {
		f[fmt.Sprintf("familyInfo.kindRole.%d", i)] = roles[k.Role]
		f[fmt.Sprintf("familyInfo.tokensByKind.%d", i)] = float64(k.Memory)
	}
	for i, r := range d.Report {
		f[fmt.Sprintf("report.fields.%d", i)] = r
	}
	return f
}

// ZoneNumber is the index of a zone, KindNumber of a kind, GradeNumber of a grade and ChannelNumber of a
// channel; -1 where it is not stated.
func (t *Terms) ZoneNumber(name string) int { return slices.Index(t.Zones, name) }

func (t *Terms) KindNumber(name string) int {
	return slices.IndexFunc(t.Kinds, func(k Kind) bool { return k.Name == name })
}

func (t *Terms) GradeNumber(name string) int {
	return slices.IndexFunc(t.Grades, func(g Grade) bool { return g.Name == name })
}

func (t *Terms) ChannelNumber(name string) int {
	return slices.IndexFunc(t.Channels, func(c Channel) bool { return c.Name == name })
}
