package dispatch

import (
	"context"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/scheduler"
)

// statusReport returns what GET /state reports to operators.
func statusReport(
	ctx context.Context, loop *Loop, discovery *endpointlist.Follower, transport *HTTPTransport, server *Server,
	uptime time.Duration,
) map[string]any {
	age, received := discovery.Staleness()
	out := map[string]any{
		"dispatcher": loop.Epoch, "up_s": uptime.Seconds(), "open": server.openRequests.Load(),
		"stopping": server.stopping.Load(), "list_heard": received, "list_age_s": age.Seconds(),
		"list_gaps": discovery.Gaps(), "releases_refused": transport.DroppedReleases.Load(),
		"foreign_responses": transport.ForeignResponses.Load(),
	}
	if transport.Peers != nil {
		out["messages_dropped"] = transport.Peers.Dropped.Load()
	}
	loop.Call(ctx, func() {
		counters := loop.Counters
		out["taken"], out["satisfied"], out["declined"], out["forfeited"] =
			counters.Accepted, counters.Served, counters.Rejected, counters.Failed
		out["left"], out["overdue"], out["trips"] = counters.Disconnected, counters.Overdue, counters.Attempts
		out["held_requests"], out["held_timers"] = loop.Retained()
		out["damped"] = counters.Throttled
		if accounting := loop.accounting; accounting != nil {
			out["budgets"] = loop.budgetState()
			if accounting.Account != nil {
				out["account"] = accounting.Account.Counts
			}
		}
		if guard := loop.RetryThrottle; guard != nil {
			out["storm"] = map[string]any{
				"on": guard.Active(loop.now), "again_share": guard.RetryShare(loop.now),
				"promised_returns": guard.BookedRetries(loop.now),
				"rate":             guard.ServiceRate(loop.now), "counts": guard.Counters,
			}
		}
		outcomes := map[string]int64{}
		for i, n := range counters.Outcomes {
			outcomes[outcomeNames[i]] = n
		}
		out["outcomes"] = outcomes
		var backends []map[string]any
		for _, backend := range loop.backends {
			known := backend.SchedulerState
			backends = append(backends, map[string]any{
				"name": backend.Name, "at": backend.Addresses,
				"standing": [...]string{"draining", "ready", "gone"}[known.State],
				"role":     [...]string{"reader", "writer", "mixed"}[known.Role], "streams": known.Streams,
				"tokens": known.KVTokens, "util": known.Util, "queue": known.QueueLength,
			})
		}
		out["boxes"] = backends
	})
	out["addresses"] = backendAddresses(transport, uptime)
	return out
}

// backendAddresses reports the health of each address of each backend.
func backendAddresses(transport *HTTPTransport, now time.Duration) []PoolState {
	var out []PoolState
	transport.Pools.ForEach(func(name string, health *addresses.Tracker, open, idle int) {
		state := PoolState{Name: name, Open: open, Idle: idle}
		for _, address := range health.Addresses() {
			state.Addresses = append(state.Addresses, AddressState{
				address.Spec.String(), address.Preference, address.Suspected(now), address.Summary(now),
			})
		}
		out = append(out, state)
	})
	return out
}

// PoolState is the connection pool of a backend in the report to operators.
type PoolState struct {
	Name      string         `json:"name"`
	Open      int            `json:"open"` // connections
	Idle      int            `json:"idle"` // connections
	Addresses []AddressState `json:"addresses"`
}

// AddressState is an address of a backend in the report to operators.
type AddressState struct {
	Address string `json:"at"`
	Prefer  int    `json:"prefer"`
	Suspect bool   `json:"doubtful"` // under suspicion after failures
	Reason  string `json:"why"`
}

// OutcomeName returns an outcome's name in logs and counters.
func OutcomeName(outcome scheduler.Outcome) string { return outcomeNames[outcome] }

var outcomeNames = [...]string{
	"answered", "read", "failed", "full", "timed_out", "unreached", "broken", "cancelled", "moot",
}
