package fleet

import (
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/baseline"
	"sloetrestle/internal/engine"
)

// observeEvery is how late baseline.Informed sees the state of backends, at most.
const observeEvery = 250 * time.Millisecond

// observe takes down the true state of all backends, again and again.
func (w *simulation) observeBackends() {
	for _, b := range w.backendOrder {
		b.observed = b.trueLoad(w.now)
	}
	w.after(observeEvery, w.observeBackends)
}

// trueLoad is the backend's true state now.
func (b *backend) trueLoad(now time.Duration) baseline.Load {
	report, speed := b.engine.LoadReport(), b.engine.Speed(now)
	return baseline.Load{
		Up: b.running && !b.hangs, PrefillTokensPerSecond: b.spec.Engine.PrefillTokensPerSecond * speed, BacklogTokens: report["x1"] * 1000, StreamLoad: report["util"] / speed,
	}
}

// view shows baseline.Informed the backends as last observed.
type view struct{ w *simulation }

func (v view) Load(h *brain.Backend, q *brain.Request) baseline.Load {
	b := v.w.byID[h.ID]
	load := b.observed
	if h.Role == brain.RolePrefill {
		load.CachedTokens = float64(b.engine.CachedTokens(&engine.Job{Session: q.SessionKey, SharedPrefix: q.PrefixKey, PromptTokens: int(q.PromptTokens), PrefixTokens: int(q.PrefixTokens)}))
	}
	return load
}

func (v view) AttemptSent(t *brain.Attempt, tokens float64) { v.w.byID[t.Backend.ID].observed.BacklogTokens += tokens }
