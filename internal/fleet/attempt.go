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
	to, name := d.w.dispatchers[peer], d.w.byID[n.Backend.ID].spec.Name
	d.w.after(2*time.Millisecond, func() {
		if !to.running {
			return
		}
		to.runInLoop(func() {
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
	to := w.backends[b.Name]
	w.after(networkDelay, func() {
		if to.running {
			to.releasedUpTo[r.RequestKey] = r.LastAttempt
			to.releaseKVCache(r.RequestKey, "released")
		}
	})
}

// attempt is one attempt on its way, at both ends.
type attempt struct {
	w      *simulation
	dispatcher   *dispatcher
	loop   *dispatch.Loop
	dispatched *dispatch.Attempt
	backend     *backend
	incarnation  uint64
	job    *engine.Job
	baseRecord   record.Line
	cancelCause    error
	reported   bool // the dispatcher knows how it ended
	ended  bool // the backend is done with it
	arrived   bool
}

func (t *attempt) id() string { return fmt.Sprintf("%s/%d", t.baseRecord.Key, t.baseRecord.Trip) }

func (c *transport) Start(f *dispatch.Attempt) {
	d := (*dispatcher)(c)
	w := d.w
	t := &attempt{w: w, dispatcher: d, loop: d.loop, dispatched: f, backend: w.backends[f.Backend.Name]}
	t.baseRecord = record.Line{Box: t.backend.spec.Name, Try: f.Request.Params.ID, Grade: f.Request.Class, Key: f.RequestKey, Stage: f.Stage(), Trip: f.Scheduled.Number}
	f.Cancel = func(why error) {
		if t.cancelCause != nil || t.reported {
			return
		}
		t.cancelCause = why
		// The connection is closed: this end knows at once, the other a hop later.
		o := brain.TimedOut
		if why == dispatch.ErrNotNeeded {
			o = brain.Cancelled
		}
		w.after(0, func() { t.reportResult(brain.Result{Outcome: o}) })
		w.after(networkDelay, t.connectionClosed)
	}
	if !t.backend.running {
		wait := refusedConnectionTime
		if t.backend.overloaded {
			wait = dialTimeout // its machine is stuck, nobody refuses
		}
		w.after(wait, func() { t.reportResult(brain.Result{Outcome: brain.Unreachable}) })
		return
	}
	wait, limit := w.connectDelay(), dialTimeout
	if least := f.Scheduled.ConnectTimeout; least > 0 {
		limit = min(limit, least)
	}
	if wait > limit {
		w.after(limit, func() { t.reportResult(brain.Result{Outcome: brain.Unreachable}) })
		return
	}
	w.after(networkDelay+wait, t.arrive)
}

// connectTime is how long a connection takes beside the way there: nothing, but where connections come up late.
func (w *simulation) connectDelay() time.Duration {
	if w.slowConnectShare == 0 || w.rng.Float64() >= w.slowConnectShare {
		return 0
	}
	return time.Duration(w.rng.Float64() * float64(w.slowConnectMax))
}

// tell gives the dispatcher an attempt's end.
func (t *attempt) reportResult(r brain.Result) {
	if t.reported || !t.dispatcher.running || t.dispatcher.loop != t.loop {
		return
	}
	t.reported = true
	t.dispatcher.runInLoop(func() { t.loop.AttemptEnded(t.dispatched, r) })
}

func (t *attempt) respond(r brain.Result) {
	r.LoadReport = t.backend.loadReport()
	t.w.after(networkDelay, func() { t.reportResult(r) })
}

// end is the backend's end of an attempt.
func (t *attempt) end(word string) {
	if t.ended {
		return
	}
	t.ended = true
	delete(t.backend.attempts, t)
	l := t.baseRecord
	l.What, l.Word = record.End, word
	t.w.addRecord(l)
}

// broke is an attempt whose backend died.
func (t *attempt) loseConnection() {
	t.end("broke")
	t.w.after(networkDelay, func() { t.reportResult(brain.Result{Outcome: brain.ConnectionLost}) })
}

// closed is an attempt whose dispatcher has closed the connection.
func (t *attempt) connectionClosed() {
	if t.ended || !t.arrived {
		t.ended = t.ended || !t.arrived
		return
	}
	l := t.baseRecord
	l.What = record.Closed
	t.w.addRecord(l)
	b := t.backend
	if b.running && b.incarnation == t.incarnation && t.job != nil && !b.spec.Ignores {
		b.engine.Cancel(t.job)
		b.runSteps()
	}
	t.end("closed")
}

// arrive is an attempt's bytes at its backend.
func (t *attempt) arrive() {
	b, w := t.backend, t.w
	if t.ended {
		return
	}
	if !b.running {
		t.w.after(networkDelay, func() { t.reportResult(brain.Result{Outcome: brain.ConnectionLost}) })
		return
	}
	t.arrived, t.incarnation = true, b.incarnation
	b.attempts[t] = true
	work := b.attemptWork(t.baseRecord.Grade, t.baseRecord.Stage)
	l := t.baseRecord
	l.What, l.Work = record.Trip, work
	w.addRecord(l)
	if b.exceedsSlowStart(work) {
		b.overloaded = true
		w.addRecord(record.Line{What: record.Fell, Box: b.spec.Name, Start: b.incarnation})
		b.kill("pushed over")
		return
	}
	if b.hangs {
		return
	}
	if b.failShare > 0 && (b.failClass == "" || b.failClass == t.baseRecord.Grade) && w.rng.Float64() < b.failShare {
		if t.baseRecord.Stage != kserve.PhasePrefill {
			t.recordRun()
		}
		t.end("failed")
		t.respond(brain.Result{Outcome: brain.Failed})
		return
	}
	q := t.dispatched.Scheduled.Request
	j := &engine.Job{Key: t.baseRecord.Key, Session: q.SessionKey, SharedPrefix: q.PrefixKey, PromptTokens: int(q.PromptTokens), PrefixTokens: int(q.PrefixTokens)}
	t.job = j
	switch t.baseRecord.Stage {
	case kserve.PhasePrefill:
		j.Stage = engine.StagePrefill
	case kserve.PhaseDecode:
		j.Stage = engine.StageDecode
		state := w.backends[t.dispatched.PrefillBackend.Name]
		j.FetchKVCache = func(arrived func(bool)) { w.transferKVCache(state, b, t, arrived) }
	default:
		j.Stage = engine.StageWhole
	}
	j.OutputTokens = standin.AnswerTokens(w.scenario.TalkOf(t.baseRecord.Grade).AnswerTokens, t.baseRecord.Try, int(q.MaxOutputTokens))
	if j.Stage == engine.StagePrefill {
		j.OutputTokens = 1
	}
	j.OnToken = func(n int) {
		t.dispatched.StreamedTokens.Store(int64(n))
		if n > 1 {
			if n == 2 && b.resetShare > 0 && w.rng.Float64() < b.resetShare {
				b.engine.Cancel(j)
				t.loseConnection()
			}
			return
		}
		t.recordRun()
		if b.cutShare > 0 && w.rng.Float64() < b.cutShare {
			b.engine.Cancel(j)
			t.loseConnection()
			return
		}
		w.after(networkDelay, t.firstToken)
	}
	j.OnEnd = func(e engine.Outcome, kept int) { t.jobEnded(e, kept) }
	b.engine.Submit(w.now, j)
	b.runSteps()
}

func (t *attempt) recordRun() {
	l, w := t.baseRecord, t.w
	l.What = record.Ran
	if i := w.scenario.ClassIndex(l.Grade); i >= 0 && w.scenario.Classes[i].Effect == "deduplicated" {
		g := w.scenario.Classes[i]
		key := map[string]string{"zone": t.backend.spec.Zone, "rack": t.backend.spec.Rack}[g.DedupScope] + " " + l.Try
		if at, known := w.dedupMarks[key]; known && w.now-at < g.DedupWindow.Std() {
			l.What = record.Repeat
		} else {
			w.dedupMarks[key] = w.now
		}
	}
	w.addRecord(l)
}

// began is the first token at the dispatcher, and a hop later at the client.
func (t *attempt) firstToken() {
	if t.reported || !t.dispatcher.running || t.dispatcher.loop != t.loop {
		return
	}
	t.dispatcher.runInLoop(func() { t.loop.AttemptBegan(t.dispatched) })
	if t.cancelCause != nil || t.dispatched.Scheduled.FirstTokenAt == 0 {
		return
	}
	if c := t.dispatcher.clientOf[t.dispatched.Request]; c != nil {
		t.w.after(networkDelay, func() {
			if !c.finished && !c.gotFirstToken {
				c.gotFirstToken = true
				c.addRecord(record.First, "", nil)
			}
		})
	}
}

// done is the engine's end of a job.
func (t *attempt) jobEnded(e engine.Outcome, kept int) {
	b, w := t.backend, t.w
	if t.ended {
		return
	}
	switch e {
	case engine.Done:
		if t.baseRecord.Stage != kserve.PhaseDecode {
			left := float64(t.job.PromptTokens - kept)
			b.attemptWork(t.baseRecord.Grade, t.baseRecord.Stage) // its mean has begun
			w.prefillTokens[t.baseRecord.Grade][0] += left
			w.prefillTokens[t.baseRecord.Grade][1]++
		}
		if t.baseRecord.Stage != kserve.PhasePrefill {
			t.end(kserve.OutcomeCompleted)
			t.respond(brain.Result{Outcome: brain.Served, Detail: kept})
			return
		}
		if upTo, ok := b.releasedUpTo[t.baseRecord.Key]; ok && t.baseRecord.Trip <= upTo {
			b.engine.ReleaseKVCache(t.baseRecord.Key)
			t.end("dropped")
			return
		}
		w.addRecord(record.Line{What: record.Held, Box: b.spec.Name, Key: t.baseRecord.Key, Try: t.baseRecord.Try, Grade: t.baseRecord.Grade})
		t.end(kserve.OutcomePrefilled)
		t.respond(brain.Result{Outcome: brain.Prefilled, Detail: kept})
		if b.crashShare > 0 && w.rng.Float64() < b.crashShare {
			start := b.incarnation
			w.after(2*time.Millisecond, func() { // the dispatcher knows of the read
				if b.incarnation == start {
					b.kill("crashed after reading")
				}
			})
		}
	case engine.Full, engine.TooBig:
		t.end(kserve.OutcomeFull)
		t.respond(brain.Result{Outcome: brain.Rejected})
	case engine.NoKVCache:
		t.end(kserve.OutcomeNoKVCache)
		t.respond(brain.Result{Outcome: brain.Rejected, Detail: 1})
	}
}

// fetch moves a state from its reader to a writer, over the reader's own port within a rack, else over the rack's link.
func (w *simulation) transferKVCache(from, to *backend, t *attempt, arrived func(bool)) {
	key := t.baseRecord.Key
	w.after(networkDelay, func() {
		tokens, ok := 0, false
		if from.running {
			tokens, ok = from.engine.HeldKVCache(key)
		}
		if !ok {
			w.after(networkDelay, func() { arrived(false); to.runSteps() })
			return
		}
		from.engine.SetKVCacheMoving(key, true)
		start, took := from.incarnation, time.Duration(float64(tokens)/w.scenario.Links.Near*float64(time.Second))
		if from.spec.Rack != to.spec.Rack {
			times := w.linkSlowdown
			if from.spec.Zone != to.spec.Zone {
				times *= max(w.scenario.Links.Zone, 1)
			}
			free := max(w.rackLinkFreeAt[from.spec.Rack], w.now) + time.Duration(float64(tokens)/w.scenario.Links.Far*times*float64(time.Second))
			w.rackLinkFreeAt[from.spec.Rack] = free
			took = free - w.now
		}
		w.after(took, func() {
			if !from.running || from.incarnation != start {
				arrived(false)
				to.runSteps()
				return
			}
			if t.ended || !to.running || to.incarnation != t.incarnation { // nobody fetches any more: it waits on
				from.engine.SetKVCacheMoving(key, false)
				if upTo, ok := from.releasedUpTo[key]; ok && upTo >= t.baseRecord.Trip {
					from.releaseKVCache(key, "released")
				}
				return
			}
			from.releaseKVCache(key, "taken")
			arrived(true)
			to.runSteps()
		})
	})
}
