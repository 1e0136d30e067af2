package fleet

import (
	"fmt"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/addresses"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/engine"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/standin"
)

// transport takes a dispatcher's attempts to the engines.
type transport dispatcher

func (c *transport) SetAddresses(*dispatch.Backend, []addresses.Spec) {}

func (c *transport) SendPeerUpdate(peer int, n brain.PeerUpdate) {
	d := (*dispatcher)(c)
	if peer < 0 || peer >= len(d.w.dispatchers) {
		return
	}
	to, name := d.w.dispatchers[peer], d.w.byID[n.Backend.ID].make.Name
	d.w.after(2*time.Millisecond, func() {
		if !to.up {
			return
		}
		to.do(func() {
			if h := to.loop.SchedulerBackend(name); h != nil {
				n := n
				n.Backend = h // each dispatcher has its own
				to.loop.ApplyPeerUpdate(n)
			}
		})
	})
}

func (c *transport) Release(b *dispatch.Backend, a *dispatch.ClientRequest) {
	if a.AttemptInFlight() {
		return // attempts arrive here, and wait for the state
	}
	w := c.w
	r := kserve.Release{RequestKey: c.loop.RequestKey(a), LastAttempt: len(a.Scheduled.Attempts) - 1}
	to := w.boxes[b.Name]
	w.after(hop, func() {
		if to.up {
			to.released[r.RequestKey] = r.LastAttempt
			to.release(r.RequestKey, "released")
		}
	})
}

// attempt is one attempt on its way, at both ends.
type attempt struct {
	w      *world
	from   *dispatcher
	loop   *dispatch.Loop
	flight *dispatch.Attempt
	to     *backend
	start  uint64
	job    *engine.Job
	line   record.Event
	off    error
	told   bool // the dispatcher knows how it ended
	ended  bool // the backend is done with it
	came   bool
}

func (t *attempt) id() string { return fmt.Sprintf("%s/%d", t.line.RequestKey, t.line.Attempt) }

func (c *transport) Start(f *dispatch.Attempt) {
	d := (*dispatcher)(c)
	w := d.w
	t := &attempt{w: w, from: d, loop: d.loop, flight: f, to: w.boxes[f.Backend.Name]}
	t.line = record.Event{Backend: t.to.make.Name, Try: f.Request.Params.ID, Class: f.Request.Class, RequestKey: f.RequestKey, Phase: f.Stage(), Attempt: f.Scheduled.Number}
	f.Cancel = func(why error) {
		if t.off != nil || t.told {
			return
		}
		t.off = why
		// The connection is closed: this end knows at once, the other a hop later.
		o := brain.TimedOut
		if why == dispatch.ErrNotNeeded {
			o = brain.Cancelled
		}
		w.after(0, func() { t.tell(brain.Result{Outcome: o}) })
		w.after(hop, t.closed)
	}
	if !t.to.up {
		wait := unreach
		if t.to.fell {
			wait = dialTime // its machine is stuck, nobody refuses
		}
		w.after(wait, func() { t.tell(brain.Result{Outcome: brain.Unreachable}) })
		return
	}
	wait, limit := w.connectTime(), dialTime
	if least := f.Scheduled.ConnectTimeout; least > 0 {
		limit = min(limit, least)
	}
	if wait > limit {
		w.after(limit, func() { t.tell(brain.Result{Outcome: brain.Unreachable}) })
		return
	}
	w.after(hop+wait, t.arrive)
}

// connectTime is how long a connection takes beside the way there: nothing, but where connections come up late.
func (w *world) connectTime() time.Duration {
	if w.lateShare == 0 || w.rng.Float64() >= w.lateShare {
		return 0
	}
	return time.Duration(w.rng.Float64() * float64(w.lateBy))
}

// tell gives the dispatcher an attempt's end.
func (t *attempt) tell(r brain.Result) {
	if t.told || !t.from.up || t.from.loop != t.loop {
		return
	}
	t.told = true
	t.from.do(func() { t.loop.AttemptEnded(t.flight, r) })
}

func (t *attempt) back(r brain.Result) {
	r.LoadReport = t.to.load()
	t.w.after(hop, func() { t.tell(r) })
}

// end is the backend's end of an attempt.
func (t *attempt) end(word string) {
	if t.ended {
		return
	}
	t.ended = true
	delete(t.to.trips, t)
	l := t.line
	l.Kind, l.Detail = record.AttemptEnded, word
	t.w.put(l)
}

// broke is an attempt whose backend died.
func (t *attempt) broke() {
	t.end("broke")
	t.w.after(hop, func() { t.tell(brain.Result{Outcome: brain.ConnectionLost}) })
}

// closed is an attempt whose dispatcher has closed the connection.
func (t *attempt) closed() {
	if t.ended || !t.came {
		t.ended = t.ended || !t.came
		return
	}
	l := t.line
	l.Kind = record.AttemptClosed
	t.w.put(l)
	b := t.to
	if b.up && b.start == t.start && t.job != nil && !b.make.IgnoresCancel {
		b.engine.Cancel(t.job)
		b.kick()
	}
	t.end("closed")
}

// arrive is an attempt's bytes at its backend.
func (t *attempt) arrive() {
	b, w := t.to, t.w
	if t.ended {
		return
	}
	if !b.up {
		t.w.after(hop, func() { t.tell(brain.Result{Outcome: brain.ConnectionLost}) })
		return
	}
	t.came, t.start = true, b.start
	b.trips[t] = true
	work := b.work(t.line.Class, t.line.Phase)
	l := t.line
	l.Kind, l.Work = record.AttemptReceived, work
	w.put(l)
	if b.weigh(work) {
		b.fell = true
		w.put(record.Event{Kind: record.Overloaded, Backend: b.make.Name, StartID: b.start})
		b.kill("pushed over")
		return
	}
	if b.hang {
		return
	}
	if b.fail > 0 && (b.failOf == "" || b.failOf == t.line.Class) && w.rng.Float64() < b.fail {
		if t.line.Phase != kserve.PhasePrefill {
			t.ran()
		}
		t.end("failed")
		t.back(brain.Result{Outcome: brain.Failed})
		return
	}
	q := t.flight.Scheduled.Request
	j := &engine.Job{Key: t.line.RequestKey, Session: q.SessionKey, SharedPrefix: q.PrefixKey, PromptTokens: int(q.PromptTokens), PrefixTokens: int(q.PrefixTokens)}
	t.job = j
	switch t.line.Phase {
	case kserve.PhasePrefill:
		j.Stage = engine.StagePrefill
	case kserve.PhaseDecode:
		j.Stage = engine.StageDecode
		state := w.boxes[t.flight.PrefillBackend.Name]
		j.FetchKVCache = func(arrived func(bool)) { w.fetch(state, b, t, arrived) }
	default:
		j.Stage = engine.StageWhole
	}
	j.OutputTokens = standin.AnswerTokens(w.day.RequestShape(t.line.Class).AnswerTokens, t.line.Try, int(q.MaxOutputTokens))
	if j.Stage == engine.StagePrefill {
		j.OutputTokens = 1
	}
	j.OnToken = func(n int) {
		t.flight.StreamedTokens.Store(int64(n))
		if n > 1 {
			if n == 2 && b.resets > 0 && w.rng.Float64() < b.resets {
				b.engine.Cancel(j)
				t.broke()
			}
			return
		}
		t.ran()
		if b.cuts > 0 && w.rng.Float64() < b.cuts {
			b.engine.Cancel(j)
			t.broke()
			return
		}
		w.after(hop, t.began)
	}
	j.OnEnd = func(e engine.Outcome, kept int) { t.done(e, kept) }
	b.engine.Submit(w.now, j)
	b.kick()
}

func (t *attempt) ran() {
	l, w := t.line, t.w
	l.Kind = record.EffectStarted
	if i := w.day.ClassIndex(l.Class); i >= 0 && w.day.Classes[i].Effect == "deduplicated" {
		g := w.day.Classes[i]
		key := map[string]string{"zone": t.to.make.Zone, "rack": t.to.make.Rack}[g.DedupScope] + " " + l.Try
		if at, known := w.seen[key]; known && w.now-at < g.DedupWindow.Std() {
			l.Kind = record.DuplicateDropped
		} else {
			w.seen[key] = w.now
		}
	}
	w.put(l)
}

// began is the first token at the dispatcher, and a hop later at the client.
func (t *attempt) began() {
	if t.told || !t.from.up || t.from.loop != t.loop {
		return
	}
	t.from.do(func() { t.loop.AttemptBegan(t.flight) })
	if t.off != nil || t.flight.Scheduled.FirstTokenAt == 0 {
		return
	}
	if c := t.from.of[t.flight.Request]; c != nil {
		t.w.after(hop, func() {
			if !c.over && !c.first {
				c.first = true
				c.put(record.FirstToken, "", nil)
			}
		})
	}
}

// done is the engine's end of a job.
func (t *attempt) done(e engine.Outcome, kept int) {
	b, w := t.to, t.w
	if t.ended {
		return
	}
	switch e {
	case engine.Done:
		if t.line.Phase != kserve.PhaseDecode {
			left := float64(t.job.PromptTokens - kept)
			b.work(t.line.Class, t.line.Phase) // its mean has begun
			w.reads[t.line.Class][0] += left
			w.reads[t.line.Class][1]++
		}
		if t.line.Phase != kserve.PhasePrefill {
			t.end(kserve.OutcomeCompleted)
			t.back(brain.Result{Outcome: brain.Served, Detail: kept})
			return
		}
		if upTo, ok := b.released[t.line.RequestKey]; ok && t.line.Attempt <= upTo {
			b.engine.ReleaseKVCache(t.line.RequestKey)
			t.end("dropped")
			return
		}
		w.put(record.Event{Kind: record.KVCacheHeld, Backend: b.make.Name, RequestKey: t.line.RequestKey, Try: t.line.Try, Class: t.line.Class})
		t.end(kserve.OutcomePrefilled)
		t.back(brain.Result{Outcome: brain.Prefilled, Detail: kept})
		if b.crashes > 0 && w.rng.Float64() < b.crashes {
			start := b.start
			w.after(2*time.Millisecond, func() { // the dispatcher knows of the read
				if b.start == start {
					b.kill("crashed after reading")
				}
			})
		}
	case engine.Full, engine.TooBig:
		t.end(kserve.OutcomeFull)
		t.back(brain.Result{Outcome: brain.Rejected})
	case engine.NoKVCache:
		t.end(kserve.OutcomeNoKVCache)
		t.back(brain.Result{Outcome: brain.Rejected, Detail: 1})
	}
}

// fetch moves a state from its reader to a writer, over the reader's own port within a rack, else over the rack's link.
func (w *world) fetch(from, to *backend, t *attempt, arrived func(bool)) {
	key := t.line.RequestKey
	w.after(hop, func() {
		tokens, ok := 0, false
		if from.up {
			tokens, ok = from.engine.HeldKVCache(key)
		}
		if !ok {
			w.after(hop, func() { arrived(false); to.kick() })
			return
		}
		from.engine.SetKVCacheMoving(key, true)
		start, took := from.start, time.Duration(float64(tokens)/w.day.Links.NearTokensPerSecond*float64(time.Second))
		if from.make.Rack != to.make.Rack {
			times := w.slowLink
			if from.make.Zone != to.make.Zone {
				times *= max(w.day.Links.CrossZoneFactor, 1)
			}
			free := max(w.racks[from.make.Rack], w.now) + time.Duration(float64(tokens)/w.day.Links.FarTokensPerSecond*times*float64(time.Second))
			w.racks[from.make.Rack] = free
			took = free - w.now
		}
		w.after(took, func() {
			if !from.up || from.start != start {
				arrived(false)
				to.kick()
				return
			}
			if t.ended || !to.up || to.start != t.start { // nobody fetches any more: it waits on
				from.engine.SetKVCacheMoving(key, false)
				if upTo, ok := from.released[key]; ok && upTo >= t.line.Attempt {
					from.release(key, "released")
				}
				return
			}
			from.release(key, "taken")
			arrived(true)
			to.kick()
		})
	})
}
