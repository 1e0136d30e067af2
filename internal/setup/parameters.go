package setup

import (
	"fmt"
	"slices"
	"time"

	"sloetrestle/scheduler"
)

// These map the words of the configuration file to those of the scheduler's parameters.
var (
	repeatEffects = map[string]string{"idempotent": "repeatable", "deduplicated": "by_key", "unrepeatable": "once"}
	dedupScopes   = map[string]string{"all": "all", "zone": "zone", "rack": "cell"}
	roles         = map[string]string{"reader": "read", "writer": "write", "mixed": "both"}
)

// SchedulerParameters returns the scheduler's parameters by name. It is the one table from the keys of the
// configuration file to the scheduler's names.
func (d *DispatcherConfig) SchedulerParameters() scheduler.Settings {
	us := func(s Duration) float64 { return float64(time.Duration(s).Microseconds()) }
	parameters := scheduler.Settings{
		"siblings": float64(d.Instance.FleetSize), "slotNo": float64(d.Instance.Index),
		"zone": float64(d.ZoneIndex(d.Instance.Zone)), "discovery": "automatic",
		"overShareWorth": d.Limits.OverShareValue,
		"prices.peer":    d.Limits.PeerUpdatePrice, "prices.crossZone": d.Limits.CrossZonePrice,

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
		parameters["valueBy"] = "work"
	}
	for i, class := range d.Classes {
		prefix := fmt.Sprintf("requestClasses.%d.", i)
		parameters[prefix+"effect"], parameters[prefix+"group"] = repeatEffects[class.Effect], dedupScopes[class.DedupScope]
		// What is decided within the deduplication window may wait for a connection before it is sent.
		parameters[prefix+"windowUs"], parameters[prefix+"aimUs"] =
			us(max(class.DedupWindow-d.Limits.DialTimeout, 0)), us(class.LatencyTarget)
		parameters[prefix+"worth"], parameters[prefix+"lateWorth"] = class.Value, class.LateValue
		parameters[fmt.Sprintf("familyInfo.aimUsPer1000PromptTokens.%d", i)] = us(class.TargetPer1000Tokens)
	}
	for i, tenant := range d.Tenants {
		parameters[fmt.Sprintf("tenants.%d.quotaPerS", i)] = tenant.RequestsPerSecond
	}
	for i, kind := range d.BackendKinds {
		parameters[fmt.Sprintf("familyInfo.kindRole.%d", i)] = roles[kind.Role]
		parameters[fmt.Sprintf("familyInfo.tokensByKind.%d", i)] = float64(kind.MemoryTokens)
	}
	for i, field := range d.ReportFields {
		parameters[fmt.Sprintf("report.fields.%d", i)] = field
	}
	return parameters
}

// ZoneIndex returns the index of the zone with that name, or -1 if the deployment has none.
func (d *Deployment) ZoneIndex(name string) int { return slices.Index(d.Zones, name) }

// KindIndex returns the index of the backend kind with that name, or -1 if the deployment has none.
func (d *Deployment) KindIndex(name string) int {
	return slices.IndexFunc(d.BackendKinds, func(k BackendKind) bool { return k.Name == name })
}

// ClassIndex returns the index of the class with that name, or -1 if the deployment has none.
func (d *Deployment) ClassIndex(name string) int {
	return slices.IndexFunc(d.Classes, func(c Class) bool { return c.Name == name })
}

// TenantIndex returns the index of the tenant with that name, or -1 if the deployment has none.
func (d *Deployment) TenantIndex(name string) int {
	return slices.IndexFunc(d.Tenants, func(c Tenant) bool { return c.Name == name })
}
