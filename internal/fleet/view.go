package fleet

import (
	"time"

	"sloetrestle/internal/baseline"
	"sloetrestle/internal/engine"
	"sloetrestle/scheduler"
)

// observeEvery is the interval of the informed baseline policy's observations, and so their greatest age.
const observeEvery = 250 * time.Millisecond

// observeBackends copies the true state of all backends, periodically.
func (sim *simulation) observeBackends() {
	for _, b := range sim.backendOrder {
		b.observed = b.trueLoad(sim.now)
	}
	sim.after(observeEvery, sim.observeBackends)
}

// trueLoad returns the backend's true state now.
func (b *backend) trueLoad(now time.Duration) baseline.Load {
	report, speed := b.engine.LoadReport(), b.engine.Speed(now)
	return baseline.Load{
		Up: b.running && !b.hangs, PrefillTokensPerSecond: b.spec.Engine.PrefillTokensPerSecond * speed,
		BacklogTokens: report["x1"] * 1000, StreamLoad: report["util"] / speed,
	}
}

// view gives the informed baseline policy the backends' states as last observed.
type view struct{ sim *simulation }

func (v view) Load(schedulerBackend *scheduler.Backend, request *scheduler.Request) baseline.Load {
	b := v.sim.byID[schedulerBackend.ID]
	load := b.observed
	if schedulerBackend.Role == scheduler.RolePrefill {
		load.CachedTokens = float64(b.engine.CachedTokens(&engine.Job{Session: request.SessionKey,
			SharedPrefix: request.PrefixKey, PromptTokens: int(request.PromptTokens), PrefixTokens: int(request.PrefixTokens)}))
	}
	return load
}

func (v view) AttemptSent(attempt *scheduler.Attempt, tokens float64) {
	v.sim.byID[attempt.Backend.ID].observed.BacklogTokens += tokens
}
