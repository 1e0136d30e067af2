package fleet

import (
	"fmt"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/engine"
	"sloetrestle/internal/fakes"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/scheduler"
)

// transport is the dispatcher's connection to the backends: it delivers attempts, releases and peer updates.
type transport dispatcher

func (c *transport) SetAddresses(*dispatch.Backend, []addresses.Spec) {}

func (c *transport) SendPeerUpdate(peer int, update scheduler.PeerUpdate) {
	d := (*dispatcher)(c)
	if peer < 0 || peer >= len(d.sim.dispatchers) {
		return
	}
	receiver, name := d.sim.dispatchers[peer], d.sim.byID[update.Backend.ID].spec.Name
	d.sim.after(2*time.Millisecond, func() {
		if !receiver.running {
			return
		}
		receiver.runInLoop(func() {
			if schedulerBackend := receiver.loop.SchedulerBackend(name); schedulerBackend != nil {
				update := update
				update.Backend = schedulerBackend // each dispatcher has backend objects of its own
				receiver.loop.ApplyPeerUpdate(update)
			}
		})
	})
}

func (c *transport) Release(b *dispatch.Backend, request *dispatch.ClientRequest) {
	if request.AttemptInFlight() {
		return // the KV cache is still needed: the attempt fetches it
	}
	sim := c.sim
	release := kserve.Release{RequestKey: c.loop.RequestKey(request), LastAttempt: len(request.Scheduled.Attempts) - 1}
	target := sim.backends[b.Name]
	sim.after(networkDelay, func() {
		if target.running {
			target.releasedUpTo[release.RequestKey] = release.LastAttempt
			target.releaseKVCache(release.RequestKey, "released")
		}
	})
}

// attempt is one attempt in flight, with the state of both of its ends.
type attempt struct {
	sim         *simulation
	dispatcher  *dispatcher
	loop        *dispatch.Loop
	dispatched  *dispatch.Attempt
	backend     *backend
	incarnation uint64
	job         *engine.Job
	baseRecord  record.Event
	cancelCause error
	reported    bool // the dispatcher has been given the result
	ended       bool // the backend has ended it
	arrived     bool
}

func (t *attempt) id() string {
	return fmt.Sprintf("%s/%d", t.baseRecord.RequestKey, t.baseRecord.Attempt)
}

func (c *transport) Start(dispatched *dispatch.Attempt) {
	d := (*dispatcher)(c)
	sim := d.sim
	t := &attempt{sim: sim, dispatcher: d, loop: d.loop, dispatched: dispatched,
		backend: sim.backends[dispatched.Backend.Name]}
	t.baseRecord = record.Event{Backend: t.backend.spec.Name, Try: dispatched.Request.Params.ID,
		Class: dispatched.Request.Class, RequestKey: dispatched.RequestKey, Phase: dispatched.Stage(),
		Attempt: dispatched.Scheduled.Number}
	dispatched.Cancel = func(cause error) {
		if t.cancelCause != nil || t.reported {
			return
		}
		t.cancelCause = cause
		// The connection is closed: the dispatcher knows at once, the backend after the network delay.
		outcome := scheduler.TimedOut
		if cause == dispatch.ErrNotNeeded {
			outcome = scheduler.Cancelled
		}
		sim.after(0, func() { t.reportResult(scheduler.Result{Outcome: outcome}) })
		sim.after(networkDelay, t.connectionClosed)
	}
	if !t.backend.running {
		wait := refusedConnectionTime
		if t.backend.overloaded {
			wait = dialTimeout // the machine hangs: the connection is not refused
		}
		sim.after(wait, func() { t.reportResult(scheduler.Result{Outcome: scheduler.Unreachable}) })
		return
	}
	wait, limit := sim.connectDelay(), dialTimeout
	if connectTimeout := dispatched.Scheduled.ConnectTimeout; connectTimeout > 0 {
		limit = min(limit, connectTimeout)
	}
	if wait > limit {
		sim.after(limit, func() { t.reportResult(scheduler.Result{Outcome: scheduler.Unreachable}) })
		return
	}
	sim.after(networkDelay+wait, t.arrive)
}

// connectDelay returns the time that a connection takes in excess of the network delay: 0 unless slow connects are
// injected.
func (sim *simulation) connectDelay() time.Duration {
	if sim.slowConnectShare == 0 || sim.rng.Float64() >= sim.slowConnectShare {
		return 0
	}
	return time.Duration(sim.rng.Float64() * float64(sim.slowConnectMax))
}

// reportResult reports the attempt's end to the dispatcher, unless that has restarted since.
func (t *attempt) reportResult(r scheduler.Result) {
	if t.reported || !t.dispatcher.running || t.dispatcher.loop != t.loop {
		return
	}
	t.reported = true
	t.dispatcher.runInLoop(func() { t.loop.AttemptEnded(t.dispatched, r) })
}

func (t *attempt) respond(r scheduler.Result) {
	r.LoadReport = t.backend.loadReport()
	t.sim.after(networkDelay, func() { t.reportResult(r) })
}

// end marks the attempt as ended at the backend and records how.
func (t *attempt) end(word string) {
	if t.ended {
		return
	}
	t.ended = true
	delete(t.backend.attempts, t)
	l := t.baseRecord
	l.Kind, l.Detail = record.AttemptEnded, word
	t.sim.addRecord(l)
}

// loseConnection ends an attempt whose backend or connection failed.
func (t *attempt) loseConnection() {
	t.end("broke")
	t.sim.after(networkDelay, func() { t.reportResult(scheduler.Result{Outcome: scheduler.ConnectionLost}) })
}

// connectionClosed handles at the backend that the dispatcher has closed the connection.
func (t *attempt) connectionClosed() {
	if t.ended || !t.arrived {
		t.ended = t.ended || !t.arrived
		return
	}
	l := t.baseRecord
	l.Kind = record.AttemptClosed
	t.sim.addRecord(l)
	b := t.backend
	if b.running && b.incarnation == t.incarnation && t.job != nil && !b.spec.IgnoresCancel {
		b.engine.Cancel(t.job)
		b.runSteps()
	}
	t.end("closed")
}

// arrive delivers the attempt to its backend.
func (t *attempt) arrive() {
	b, sim := t.backend, t.sim
	if t.ended {
		return
	}
	if !b.running {
		t.sim.after(networkDelay, func() { t.reportResult(scheduler.Result{Outcome: scheduler.ConnectionLost}) })
		return
	}
	t.arrived, t.incarnation = true, b.incarnation
	b.attempts[t] = true
	work := b.attemptWork(t.baseRecord.Class, t.baseRecord.Phase)
	arrival := t.baseRecord
	arrival.Kind, arrival.Work = record.AttemptReceived, work
	sim.addRecord(arrival)
	if b.exceedsSlowStart(work) {
		b.overloaded = true
		sim.addRecord(record.Event{Kind: record.Overloaded, Backend: b.spec.Name, StartID: b.incarnation})
		b.kill("pushed over")
		return
	}
	if b.hangs {
		return
	}
	if b.failShare > 0 && (b.failClass == "" || b.failClass == t.baseRecord.Class) && sim.rng.Float64() < b.failShare {
		if t.baseRecord.Phase != kserve.PhasePrefill {
			t.recordRun()
		}
		t.end("failed")
		t.respond(scheduler.Result{Outcome: scheduler.Failed})
		return
	}
	request := t.dispatched.Scheduled.Request
	job := &engine.Job{Key: t.baseRecord.RequestKey, Session: request.SessionKey, SharedPrefix: request.PrefixKey,
		PromptTokens: int(request.PromptTokens), PrefixTokens: int(request.PrefixTokens)}
	t.job = job
	switch t.baseRecord.Phase {
	case kserve.PhasePrefill:
		job.Stage = engine.StagePrefill
	case kserve.PhaseDecode:
		job.Stage = engine.StageDecode
		prefillBackend := sim.backends[t.dispatched.PrefillBackend.Name]
		job.FetchKVCache = func(arrived func(bool)) { sim.transferKVCache(prefillBackend, b, t, arrived) }
	default:
		job.Stage = engine.StageWhole
	}
	job.OutputTokens = fakes.AnswerTokens(sim.scenario.RequestShape(t.baseRecord.Class).AnswerTokens, t.baseRecord.Try,
		int(request.MaxOutputTokens))
	if job.Stage == engine.StagePrefill {
		job.OutputTokens = 1
	}
	job.OnToken = func(n int) {
		t.dispatched.StreamedTokens.Store(int64(n))
		if n > 1 {
			if n == 2 && b.resetShare > 0 && sim.rng.Float64() < b.resetShare {
				b.engine.Cancel(job)
				t.loseConnection()
			}
			return
		}
		t.recordRun()
		if b.cutShare > 0 && sim.rng.Float64() < b.cutShare {
			b.engine.Cancel(job)
			t.loseConnection()
			return
		}
		sim.after(networkDelay, t.firstToken)
	}
	job.OnEnd = func(outcome engine.Outcome, cachedTokens int) { t.jobEnded(outcome, cachedTokens) }
	b.engine.Submit(sim.now, job)
	b.runSteps()
}

func (t *attempt) recordRun() {
	run, sim := t.baseRecord, t.sim
	run.Kind = record.EffectStarted
	if i := sim.scenario.ClassIndex(run.Class); i >= 0 && sim.scenario.Classes[i].Effect == "deduplicated" {
		class := sim.scenario.Classes[i]
		key := map[string]string{"zone": t.backend.spec.Zone, "rack": t.backend.spec.Rack}[class.DedupScope] + " " + run.Try
		if markedAt, known := sim.dedupMarks[key]; known && sim.now-markedAt < class.DedupWindow.Std() {
			run.Kind = record.DuplicateDropped
		} else {
			sim.dedupMarks[key] = sim.now
		}
	}
	sim.addRecord(run)
}

// firstToken delivers the first token to the dispatcher and, a network delay later, to the client.
func (t *attempt) firstToken() {
	if t.reported || !t.dispatcher.running || t.dispatcher.loop != t.loop {
		return
	}
	t.dispatcher.runInLoop(func() { t.loop.AttemptBegan(t.dispatched) })
	if t.cancelCause != nil || t.dispatched.Scheduled.FirstTokenAt == 0 {
		return
	}
	if c := t.dispatcher.clientOf[t.dispatched.Request]; c != nil {
		t.sim.after(networkDelay, func() {
			if !c.finished && !c.gotFirstToken {
				c.gotFirstToken = true
				c.addRecord(record.FirstToken, "", nil)
			}
		})
	}
}

// jobEnded handles the end of the engine's job.
func (t *attempt) jobEnded(outcome engine.Outcome, cachedTokens int) {
	b, sim := t.backend, t.sim
	if t.ended {
		return
	}
	switch outcome {
	case engine.Done:
		if t.baseRecord.Phase != kserve.PhaseDecode {
			uncachedTokens := float64(t.job.PromptTokens - cachedTokens)
			b.attemptWork(t.baseRecord.Class, t.baseRecord.Phase) // seeds the mean on first use
			sim.prefillTokens[t.baseRecord.Class][0] += uncachedTokens
			sim.prefillTokens[t.baseRecord.Class][1]++
		}
		if t.baseRecord.Phase != kserve.PhasePrefill {
			t.end(kserve.OutcomeCompleted)
			t.respond(scheduler.Result{Outcome: scheduler.Served, Detail: cachedTokens})
			return
		}
		if upTo, ok := b.releasedUpTo[t.baseRecord.RequestKey]; ok && t.baseRecord.Attempt <= upTo {
			b.engine.ReleaseKVCache(t.baseRecord.RequestKey)
			t.end("dropped")
			return
		}
		sim.addRecord(record.Event{Kind: record.KVCacheHeld, Backend: b.spec.Name,
			RequestKey: t.baseRecord.RequestKey, Try: t.baseRecord.Try,
			Class: t.baseRecord.Class})
		t.end(kserve.OutcomePrefilled)
		t.respond(scheduler.Result{Outcome: scheduler.Prefilled, Detail: cachedTokens})
		if b.crashShare > 0 && sim.rng.Float64() < b.crashShare {
			incarnation := b.incarnation
			sim.after(2*time.Millisecond, func() { // by then the dispatcher has the prefill result
				if b.incarnation == incarnation {
					b.kill("crashed after reading")
				}
			})
		}
	case engine.Full, engine.TooBig:
		t.end(kserve.OutcomeFull)
		t.respond(scheduler.Result{Outcome: scheduler.Rejected})
	case engine.NoKVCache:
		t.end(kserve.OutcomeNoKVCache)
		t.respond(scheduler.Result{Outcome: scheduler.Rejected, Detail: 1})
	}
}

// transferKVCache moves a KV cache from its prefill backend to a decode backend: within a rack over the prefill
// backend's own port, otherwise over the rack's shared link, where transfers queue.
func (sim *simulation) transferKVCache(from, to *backend, t *attempt, arrived func(bool)) {
	key := t.baseRecord.RequestKey
	sim.after(networkDelay, func() {
		tokens, ok := 0, false
		if from.running {
			tokens, ok = from.engine.HeldKVCache(key)
		}
		if !ok {
			sim.after(networkDelay, func() { arrived(false); to.runSteps() })
			return
		}
		from.engine.SetKVCacheMoving(key, true)
		incarnation, transferTime := from.incarnation,
			time.Duration(float64(tokens)/sim.scenario.Links.NearTokensPerSecond*float64(time.Second))
		if from.spec.Rack != to.spec.Rack {
			slowdown := sim.linkSlowdown
			if from.spec.Zone != to.spec.Zone {
				slowdown *= max(sim.scenario.Links.CrossZoneFactor, 1)
			}
			linkFreeAt := max(sim.rackLinkFreeAt[from.spec.Rack], sim.now) +
				time.Duration(float64(tokens)/sim.scenario.Links.FarTokensPerSecond*slowdown*float64(time.Second))
			sim.rackLinkFreeAt[from.spec.Rack] = linkFreeAt
			transferTime = linkFreeAt - sim.now
		}
		sim.after(transferTime, func() {
			if !from.running || from.incarnation != incarnation {
				arrived(false)
				to.runSteps()
				return
			}
			if t.ended || !to.running || to.incarnation != t.incarnation { // no longer needed there: keep it ready
				from.engine.SetKVCacheMoving(key, false)
				if upTo, ok := from.releasedUpTo[key]; ok && upTo >= t.baseRecord.Attempt {
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
