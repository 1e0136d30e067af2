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
func (d *DispatcherConfig) SchedulerParameters() brain.Settings {
	us := func(s Duration) float64 { return float64(time.Duration(s).Microseconds()) }
	f := brain.Settings{
		"siblings": float64(d.Instance.FleetSize), "slotNo": float64(d.Instance.Index),
		"zone": float64(d.ZoneIndex(d.Instance.Zone)), "discovery": "automatic", "overShareWorth": d.Limits.OverShareValue,
		"prices.peer": d.Limits.PeerUpdatePrice, "prices.crossZone": d.Limits.CrossZonePrice,

		"rules.tipMultiple": d.Rules.SlowStartMultiple, "rules.tipAfterUs": us(d.Rules.SlowStartWindow),
		"rules.coldFrom": d.Rules.SlowStartShare, "rules.rampTimeUs": us(d.Rules.SlowStartRamp),
		"familyInfo.localRead": d.Limits.DecodeCanPrefill, "familyInfo.pinLimitUs": us(d.Rules.KVCacheHoldLimit),

		"policyLimits.maxAttempts": float64(d.Limits.MaxAttempts),
		"policyLimits.cancelling":  d.Limits.Cancel,
		"policyLimits.peers":       d.Limits.PeerUpdates, "policyLimits.retryAfter": d.Limits.MaxRetryAfter > 0,
		"policyLimits.maxRetryAfterUs": us(d.Limits.MaxRetryAfter),

		"requestClasses": float64(len(d.Classes)), "tenants": float64(len(d.Tenants)),
		"familyInfo.kindRole": float64(len(d.BackendKinds)), "report.fields": float64(len(d.ReportFields)),
	}
	if d.Limits.ValueByWork {
		f["valueBy"] = "work"
	}
	for i, g := range d.Classes {
		at := fmt.Sprintf("requestClasses.%d.", i)
		f[at+"effect"], f[at+"group"] = effects[g.Effect], reaches[g.DedupScope]
		// What is decided within a window may take a connection's time until it is out.
		f[at+"windowUs"], f[at+"aimUs"] = us(max(g.DedupWindow-d.Limits.DialTimeout, 0)), us(g.LatencyTarget)
		f[at+"worth"], f[at+"lateWorth"] = g.Value, g.LateValue
		f[fmt.Sprintf("familyInfo.aimUsPer1000PromptTokens.%d", i)] = us(g.TargetPer1000Tokens)
	}
	for i, c := range d.Tenants {
		f[fmt.Sprintf("tenants.%d.quotaPerS", i)] = c.RequestsPerSecond
	}
	for i, k := range d.BackendKinds {
		f[fmt.Sprintf("familyInfo.kindRole.%d", i)] = roles[k.Role]
		f[fmt.Sprintf("familyInfo.tokensByKind.%d", i)] = float64(k.MemoryTokens)
	}
	for i, r := range d.ReportFields {
		f[fmt.Sprintf("report.fields.%d", i)] = r
	}
	return f
}

// ZoneNumber is the index of a zone, KindNumber of a kind, GradeNumber of a grade and ChannelNumber of a
// channel; -1 where it is not stated.
func (t *Deployment) ZoneIndex(name string) int { return slices.Index(t.Zones, name) }

func (t *Deployment) KindIndex(name string) int {
	return slices.IndexFunc(t.BackendKinds, func(k BackendKind) bool { return k.Name == name })
}

func (t *Deployment) ClassIndex(name string) int {
	return slices.IndexFunc(t.Classes, func(g Class) bool { return g.Name == name })
}

func (t *Deployment) TenantIndex(name string) int {
	return slices.IndexFunc(t.Tenants, func(c Tenant) bool { return c.Name == name })
}
