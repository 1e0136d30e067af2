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
func (w *world) observe() {
	for _, b := range w.order {
		b.seen = b.trueLoad(w.now)
	}
	w.after(observeEvery, w.observe)
}

// trueLoad is the backend's true state now.
func (b *backend) trueLoad(now time.Duration) baseline.Load {
	report, speed := b.engine.LoadReport(), b.engine.Speed(now)
	return baseline.Load{
		Up: b.up && !b.hang, Rate: b.make.Engine.PrefillTokensPerSecond * speed, Backlog: report["x1"] * 1000, Streams: report["util"] / speed,
	}
}

// view shows baseline.Informed the backends as last observed.
type view struct{ w *world }

func (v view) Load(h *brain.Backend, q *brain.Request) baseline.Load {
	b := v.w.byID[h.ID]
	load := b.seen
	if h.Role == brain.RolePrefill {
		load.Cached = float64(b.engine.KeptFor(&engine.Job{Session: q.SessionKey, SharedPrefix: q.PrefixKey, PromptTokens: int(q.PromptTokens), PrefixTokens: int(q.PrefixTokens)}))
	}
	return load
}

func (v view) Sent(t *brain.Attempt, tokens float64) { v.w.byID[t.Backend.ID].seen.Backlog += tokens }
