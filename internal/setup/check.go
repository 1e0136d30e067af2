package setup

import (
	"fmt"
	"net"
	"slices"
	"time"

	"sloetrestle/internal/connpool"
	"sloetrestle/internal/kserve"
)

// invalidValue is the error for the value of a key. Decode adds its line.
type invalidValue struct{ key, message string }

func (e *invalidValue) Error() string { return e.key + ": " + e.message }

// Invalidf returns the error for an invalid value of a key.
func Invalidf(key, format string, args ...any) error {
	return &invalidValue{key, fmt.Sprintf(format, args...)}
}

func (d *DispatcherConfig) check() error {
	instance := d.Instance
	if instance.Name == "" {
		return Invalidf("dispatcher.name", "is empty")
	}
	if instance.FleetSize < 1 || instance.Index < 0 || instance.Index >= instance.FleetSize {
		return Invalidf("dispatcher.number", "is %d of %d dispatchers; numbers begin with 0",
			instance.Index, instance.FleetSize)
	}
	if _, _, err := net.SplitHostPort(instance.DiscoveryAddr); err != nil {
		return Invalidf("dispatcher.boxes", "%q is not an address such as 127.0.0.1:8000", instance.DiscoveryAddr)
	}
	if len(instance.Listen) == 0 {
		return Invalidf("dispatcher.listen", "names no address")
	}
	for _, address := range instance.Listen {
		if _, err := connpool.ParseListen(address); err != nil {
			return Invalidf("dispatcher.listen", "%v", err)
		}
	}
	for _, address := range instance.AdminListen {
		if _, err := connpool.ParseListen(address); err != nil {
			return Invalidf("dispatcher.operators", "%v", err)
		}
	}
	if instance.FleetSize > maxFleetSize {
		return Invalidf("dispatcher.siblings", "must be at most %d", maxFleetSize)
	}
	if instance.MaxConns < 1 {
		return Invalidf("dispatcher.connections_open", "must be at least 1")
	}
	shortestDeadline := day
	for _, class := range d.Classes {
		shortestDeadline = min(shortestDeadline, class.Deadline.Std())
	}
	if err := FirstError(
		CheckNumber("dispatcher.connections_a_second", instance.ConnsPerSecond, MaxNumber),
		checkDuration("dispatcher.margin", instance.ResponseMargin, 0, shortestDeadline-time.Millisecond),
		checkDuration("dispatcher.body_time", instance.BodyTimeout, time.Millisecond, time.Hour),
		checkDuration("dispatcher.write_time", instance.WriteTimeout, time.Millisecond, time.Hour),
		checkDuration("dispatcher.stop_time", instance.ShutdownTimeout, 0, day),
	); err != nil {
		return err
	}
	if _, err := connpool.NewAllowList(instance.AllowedBackends); err != nil {
		return Invalidf("dispatcher.allow", "%v", err)
	}
	for i, address := range d.ExtraAddresses {
		if err := address.Check(); err != nil || address.Backend == "" {
			return Invalidf(fmt.Sprintf("address.%d", i), "an address needs box, network and at: %v", err)
		}
	}
	if len(d.Budgets) > 0 && instance.FleetSize > 1 && len(instance.PeerAddrs) != instance.FleetSize {
		return Invalidf("dispatcher.peers", "names %d addresses for %d dispatchers, which share the budgets",
			len(instance.PeerAddrs), instance.FleetSize)
	}
	for i, b := range d.Budgets {
		if b.Monthly != nil && d.Ledger.Folder == "" {
			return Invalidf(fmt.Sprintf("budget.%d.monthly", i), "needs ledger.folder: usage must survive a restart")
		}
	}
	if d.Limits.PeerUpdates && len(instance.PeerAddrs) != instance.FleetSize {
		return Invalidf("dispatcher.peers", "names %d addresses for %d dispatchers",
			len(instance.PeerAddrs), instance.FleetSize)
	}
	if !slices.Contains(d.Zones, instance.Zone) {
		return Invalidf("dispatcher.zone", "%q is not among zones", instance.Zone)
	}
	if instance.MaxBodyBytes < 1024 {
		return Invalidf("dispatcher.body_limit", "is %d bytes, must be at least 1024", instance.MaxBodyBytes)
	}
	return d.Deployment.Check()
}

// Check returns an error for the first invalid setting.
func (d *Deployment) Check() error {
	if len(d.Classes) == 0 {
		return Invalidf("grade", "no [[grade]] is defined")
	}
	for i, class := range d.Classes {
		prefix := fmt.Sprintf("grade.%d.", i)
		switch {
		case class.Name == "":
			return Invalidf(prefix+"name", "is empty")
		case repeatEffects[class.Effect] == "":
			return Invalidf(prefix+"effect", "must be idempotent, deduplicated or unrepeatable, not %q", class.Effect)
		case class.DedupScope != "" && dedupScopes[class.DedupScope] == "":
			return Invalidf(prefix+"reach", "must be all, zone or rack, not %q", class.DedupScope)
		case class.Effect == "deduplicated" && class.DedupWindow <= 0:
			return Invalidf(prefix+"window", "is required with the effect deduplicated")
		case class.LatencyTarget <= 0:
			return Invalidf(prefix+"promised", "must be above 0")
		case class.Deadline < class.LatencyTarget:
			return Invalidf(prefix+"expiry", "must be at least promised")
		case class.DefaultMaxTokens < 1 || class.DefaultMaxTokens > kserve.MaxTokens:
			return Invalidf(prefix+"max_tokens", "must be from 1 to %d", kserve.MaxTokens)
		case d.ClassIndex(class.Name) < i:
			return Invalidf(prefix+"name", "%s is defined already", class.Name)
		}
		var windowErr error
		if class.Effect == "deduplicated" {
			windowErr = checkDuration(prefix+"window", class.DedupWindow, d.Limits.DialTimeout.Std()+time.Millisecond, day)
		}
		if err := FirstError(
			windowErr, checkDuration(prefix+"promised", class.LatencyTarget, time.Millisecond, day),
			checkDuration(prefix+"promised_per_1000", class.TargetPer1000Tokens, 0, time.Minute),
			checkDuration(prefix+"expiry", class.Deadline, time.Millisecond, day),
			checkDuration(prefix+"token_time", class.InterTokenTarget, 0, time.Hour),
			CheckNumber(prefix+"benefit", class.Value, MaxNumber), CheckNumber(prefix+"late_benefit", class.LateValue, 1),
		); err != nil {
			return err
		}
	}
	for i, tenant := range d.Tenants {
		prefix := fmt.Sprintf("channel.%d.", i)
		if tenant.Name == "" || d.TenantIndex(tenant.Name) < i {
			return Invalidf(prefix+"name", "%q is empty or defined already", tenant.Name)
		}
		if err := FirstError(
			CheckNumber(prefix+"share", tenant.Share, MaxNumber),
			CheckNumber(prefix+"questions_a_second", tenant.RequestsPerSecond, MaxNumber),
		); err != nil {
			return err
		}
	}
	seen := map[string]bool{}
	for i, b := range d.Budgets {
		prefix := fmt.Sprintf("budget.%d.", i)
		switch {
		case d.TenantIndex(b.Tenant) < 0:
			return Invalidf(prefix+"channel", "%q is not a defined channel", b.Tenant)
		case b.Class != "" && d.ClassIndex(b.Class) < 0:
			return Invalidf(prefix+"grade", "%q is not a defined grade", b.Class)
		case b.TokensPerSecond == nil && b.Monthly == nil:
			return Invalidf(prefix+"channel",
				"sets neither tokens_a_second nor monthly; a channel without a budget is not limited")
		case b.TokensPerSecond != nil && !(*b.TokensPerSecond >= 0), b.Monthly != nil && !(*b.Monthly >= 0),
			!(b.Burst >= 0), !(b.Borrow >= 0), !b.TokenLimits().Valid():
			return Invalidf(prefix+"channel", "has a value that is negative or out of range")
		case seen[b.TokenLimits().Name]:
			return Invalidf(prefix+"channel", "%s has a budget already", b.TokenLimits().Name)
		}
		seen[b.TokenLimits().Name] = true
	}
	for i, kind := range d.BackendKinds {
		if roles[kind.Role] == "" {
			return Invalidf(fmt.Sprintf("kind.%d.role", i), "must be reader, writer or mixed, not %q", kind.Role)
		}
		if kind.MemoryTokens < 1 || kind.MemoryTokens > MaxNumber {
			return Invalidf(fmt.Sprintf("kind.%d.memory", i), "must be from 1 to %.0f tokens", float64(MaxNumber))
		}
		if d.KindIndex(kind.Name) < i {
			return Invalidf(fmt.Sprintf("kind.%d.name", i), "%q is defined already", kind.Name)
		}
	}
	if len(d.BackendKinds) == 0 {
		return Invalidf("kind", "no [[kind]] is defined")
	}
	if len(d.ReportFields) > 4 {
		return Invalidf("report", "names %d values, must be at most 4", len(d.ReportFields))
	}
	rules, limits := d.Rules, d.Limits
	switch {
	case !(rules.SlowStartMultiple > 0):
		return Invalidf("rules.cold_multiple", "must be above 0")
	case !(rules.SlowStartShare > 0):
		return Invalidf("rules.cold_share", "must be above 0 and at most 1")
	case limits.MaxAttempts < 1 || limits.MaxAttempts > 16:
		return Invalidf("limits.trips", "must be from 1 to 16")
	case limits.MaxOpenRequests < 1:
		return Invalidf("limits.open_questions", "must be at least 1")
	case limits.MaxConnsPerBackend < 1:
		return Invalidf("limits.connections_a_box", "must be at least 1")
	}
	return FirstError(
		// An attempt must be sent within the drain grace, counted from when it was decided, and its connection may take
		// limits.dial.
		checkDuration("rules.drain_grace", rules.DrainGrace, limits.DialTimeout.Std()+time.Millisecond, time.Hour),
		checkDuration("rules.answer_slack", rules.AnswerSlack, 0, time.Minute),
		checkDuration("rules.cold_window", rules.SlowStartWindow, time.Millisecond, time.Hour),
		checkDuration("rules.cold_ramp", rules.SlowStartRamp, 0, day),
		checkDuration("rules.pin_limit", rules.KVCacheHoldLimit, time.Millisecond, time.Hour),
		CheckNumber("rules.cold_multiple", rules.SlowStartMultiple, 1000),
		CheckNumber("rules.cold_share", rules.SlowStartShare, 1),
		checkDuration("limits.dial", limits.DialTimeout, time.Millisecond, time.Minute),
		checkDuration("limits.stall", limits.StallTimeout, time.Millisecond, day),
		checkDuration("limits.retry_after", limits.MaxRetryAfter, 0, time.Hour),
		CheckNumber("limits.news_price", limits.PeerUpdatePrice, 1e6),
		CheckNumber("limits.zone_price", limits.CrossZonePrice, 1e6),
		CheckNumber("limits.over_share_benefit", limits.OverShareValue, 1),
	)
}

// CheckNumber returns an error for key unless v is from 0 to limit. NaN is an error.
func CheckNumber(key string, v, limit float64) error {
	if v >= 0 && v <= limit { // false for NaN
		return nil
	}
	return Invalidf(key, "must be from 0 to %g, not %g", limit, v)
}

// checkDuration returns an error for key unless d is within the bounds.
func checkDuration(key string, d Duration, shortest, longest time.Duration) error {
	if d.Std() >= shortest && d.Std() <= longest {
		return nil
	}
	return Invalidf(key, "must be from %v to %v, not %v", shortest, longest, d.Std())
}

// FirstError returns the first error that is not nil, or nil.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

const (
	day = 24 * time.Hour

	// MaxNumber is the largest value that is accepted where no smaller bound applies.
	MaxNumber    = 1e12
	maxFleetSize = 1 << 16 // peer updates identify a dispatcher by two bytes
)
