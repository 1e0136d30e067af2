package platform

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"sloetrestle/internal/memory"
)

// This file writes the state line, by which an operator sees how the dispatcher is doing. docs/platform.md explains its
// keys.

const stateLogInterval = 5 * time.Second

// logState logs the counters of all components.
func (n *node) logState() {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	n.loop.Call(n.lifetime, func() {
		n.log.Info("state", slices.Concat(
			n.requestState(), n.clientState(), n.memoryState(), n.transportState(), n.discoveryState(), n.loopState(),
			[]any{"heap_kb", stats.HeapAlloc >> 10, "sys_kb", stats.Sys >> 10, "goroutines", runtime.NumGoroutine()},
		)...)
		n.logBackends()
	})
}

// requestState returns what became of requests and attempts, and what the event loop keeps of them. The event loop calls
// it.
func (n *node) requestState() []any {
	tally, frontend := n.loop.Counters, n.frontend
	requests, timers := n.loop.Retained()
	held := n.memory.Snapshot()
	return []any{
		"taken", tally.Accepted, "again", frontend.Resubmitted.Load(), "rest", frontend.Continuations.Load(),
		"moved", frontend.MovedStreams.Load(), "satisfied", tally.Served, "declined", tally.Rejected,
		"forfeited", tally.Failed, "left", tally.Disconnected, "overdue", tally.Overdue, "trips", tally.Attempts,
		"outcomes", fmt.Sprint(tally.Outcomes), "prefills", fmt.Sprint(tally.Prefills), "began", tally.FirstTokens,
		"in_time", tally.OnTime, "held_ms", tally.QueueTime.Milliseconds(),
		"first_ms", tally.FirstTokenTime.Milliseconds(), "believes", fmt.Sprintf("%+v", n.loop.Estimates()),
		"open", frontend.openRequests.Load(), "bodies", held.Held[memory.Incoming] + held.Held[memory.Requests], "held_requests", requests,
		"held_timers", timers,
	}
}

// clientState returns what became of clients' connections, and of requests that were refused or came late.
func (n *node) clientState() []any {
	limiter, frontend := n.limiter, n.frontend
	return []any{
		"clients", limiter.count(), "pushed", limiter.Evicted.Load(), "waited", limiter.CapacityWaits.Load(),
		"accept_failed", limiter.AcceptErrors.Load(), "shut", limiter.ClosedUnread.Load(), "paced", limiter.Paced.Load(),
		"refused", frontend.refusalCounts(), "late", frontend.Late.Load(), "late_whole", frontend.Buffered.Load(),
		"late_no_memory", frontend.BufferNoMemory.Load(),
	}
}

// memoryState returns what clients make the dispatcher hold, in KB by use, and what there was no memory for.
func (n *node) memoryState() []any {
	account := n.memory.Snapshot()
	held, refused := map[string]int64{}, map[string]int64{}
	for use, bytes := range account.Held {
		if bytes > 0 {
			held[memory.Use(use).String()] = bytes >> 10
		}
		if count := account.Refused[use]; count > 0 {
			refused[memory.Use(use).String()] = count
		}
	}
	return []any{
		"client_kb", account.Total >> 10, "client_peak_kb", account.Peak >> 10, "client_limit_kb", account.Limit >> 10,
		"client_uses", fmt.Sprint(held), "no_memory", fmt.Sprint(refused), "given_up", account.Evicted,
	}
}

// transportState returns what became of releases and of attempts on their connections.
func (n *node) transportState() []any {
	transport := n.transport
	return []any{
		"released", transport.Delivered.Load(), "unheard", transport.Undelivered.Load(), "stale", transport.Stale.Load(),
		"local", transport.LocalFailures.Load(), "unarrived", transport.Unacknowledged.Load(),
		"spoilt", transport.Malformed.Load(), "strange", transport.BadRequest.Load(),
	}
}

// discoveryState returns what was heard of discovery and of peers, and which rules were broken.
func (n *node) discoveryState() []any {
	return []any{
		"listed", n.follower.Synced(), "watch_lost", n.follower.WatchFailures(), "strangers", n.peers.Dropped.Load(),
		"broken", n.monitor.Counts(), "due", n.transport.Due.Load(),
	}
}

// loopState returns by how much the event loop was late since the last state line. The event loop calls it.
func (n *node) loopState() []any {
	turn, wait, timer := n.loop.Lag.TakePeriod()
	return []any{
		"too_late", n.frontend.LateAnswers.Load(), "turn_ms", turn.Milliseconds(), "queued_ms", wait.Milliseconds(),
		"timer_ms", timer.Milliseconds(), "long_turns", n.loop.Lag.LongTurns,
		"unlogged", n.transport.notable.dropped.Load(),
	}
}

// logBackends logs the scheduler's estimates of each backend beside the traffic on its connections, and forgets the
// traffic of backends that were removed. The event loop calls it.
func (n *node) logBackends() {
	n.transport.mu.Lock()
	defer n.transport.mu.Unlock()
	for name, traffic := range n.transport.traffic {
		if backend := n.loop.SchedulerBackend(name); backend == nil && traffic.prefills+traffic.decodes == 0 {
			delete(n.transport.traffic, name)
		} else if backend != nil {
			n.log.Debug("backend", "name", name, "role", backend.Role, "standing", backend.State, "streams", backend.Streams,
				"writes", traffic.decodes, "unread", backend.PrefillBacklog, "reads", traffic.prefills, "tokens", backend.KVTokens,
				"room", backend.TokenLimit, "util", backend.Util, "queue", backend.QueueLength, "said", traffic.load,
				"sent", traffic.sent)
		}
	}
}
