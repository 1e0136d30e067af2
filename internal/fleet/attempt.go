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

// transport is the dispatcher's connection to the backends: it delivers attempts, releases and peer updates.
type transport dispatcher

func (c *transport) SetAddresses(*dispatch.Backend, []addresses.Spec) {}

func (c *transport) SendPeerUpdate(peer int, n brain.PeerUpdate) {
	d := (*dispatcher)(c)
	if peer < 0 || peer >= len(d.sim.dispatchers) {
		return
	}
	to, name := d.sim.dispatchers[peer], d.sim.byID[n.Backend.ID].spec.Name
	d.sim.after(2*time.Millisecond, func() {
		if !to.running {
			return
		}
		to.runInLoop(func() {
			if h := to.loop.SchedulerBackend(name); h != nil {
				n := n
				n.Backend = h // each dispatcher has backend objects of its own
				to.loop.ApplyPeerUpdate(n)
			}
		})
	})
}

func (c *transport) Release(b *dispatch.Backend, a *dispatch.ClientRequest) {
	if a.AttemptInFlight() {
		return // the KV cache is still needed: the attempt fetches it
	}
	sim := c.sim
	r := kserve.Release{RequestKey: c.loop.RequestKey(a), LastAttempt: len(a.Scheduled.Attempts) - 1}
	to := sim.backends[b.Name]
	sim.after(networkDelay, func() {
		if to.running {
			to.releasedUpTo[r.RequestKey] = r.LastAttempt
			to.releaseKVCache(r.RequestKey, "released")
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
	baseRecord  record.Line
	cancelCause error
	reported    bool // the dispatcher has been given the result
	ended       bool // the backend has ended it
	arrived     bool
}

func (t *attempt) id() string { return fmt.Sprintf("%s/%d", t.baseRecord.Key, t.baseRecord.Trip) }

func (c *transport) Start(f *dispatch.Attempt) {
	d := (*dispatcher)(c)
	sim := d.sim
	t := &attempt{sim: sim, dispatcher: d, loop: d.loop, dispatched: f, backend: sim.backends[f.Backend.Name]}
	t.baseRecord = record.Line{Box: t.backend.spec.Name, Try: f.Request.Params.ID, Grade: f.Request.Class, Key: f.RequestKey, Stage: f.Stage(), Trip: f.Scheduled.Number}
	f.Cancel = func(why error) {
		if t.cancelCause != nil || t.reported {
			return
		}
		t.cancelCause = why
		// The connection is closed: the dispatcher knows at once, the backend after the network delay.
		o := brain.TimedOut
		if why == dispatch.ErrNotNeeded {
			o = brain.Cancelled
		}
		sim.after(0, func() { t.reportResult(brain.Result{Outcome: o}) })
		sim.after(networkDelay, t.connectionClosed)
	}
	if !t.backend.running {
		wait := refusedConnectionTime
		if t.backend.overloaded {
			wait = dialTimeout // the machine hangs: the connection is not refused
		}
		sim.after(wait, func() { t.reportResult(brain.Result{Outcome: brain.Unreachable}) })
		return
	}
	wait, limit := sim.connectDelay(), dialTimeout
	if least := f.Scheduled.ConnectTimeout; least > 0 {
		limit = min(limit, least)
	}
	if wait > limit {
		sim.after(limit, func() { t.reportResult(brain.Result{Outcome: brain.Unreachable}) })
		return
	}
	sim.after(networkDelay+wait, t.arrive)
}

// connectDelay returns the time that a connection takes in excess of the network delay: 0 unless slow connects are injected.
func (sim *simulation) connectDelay() time.Duration {
	if sim.slowConnectShare == 0 || sim.rng.Float64() >= sim.slowConnectShare {
		return 0
	}
	return time.Duration(sim.rng.Float64() * float64(sim.slowConnectMax))
}

// reportResult reports the attempt's end to the dispatcher, unless that has restarted since.
func (t *attempt) reportResult(r brain.Result) {
	if t.reported || !t.dispatcher.running || t.dispatcher.loop != t.loop {
		return
	}
	t.reported = true
	t.dispatcher.runInLoop(func() { t.loop.AttemptEnded(t.dispatched, r) })
}

func (t *attempt) respond(r brain.Result) {
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
	l.What, l.Word = record.End, word
	t.sim.addRecord(l)
}

// loseConnection ends an attempt whose backend or connection failed.
func (t *attempt) loseConnection() {
	t.end("broke")
	t.sim.after(networkDelay, func() { t.reportResult(brain.Result{Outcome: brain.ConnectionLost}) })
}

// connectionClosed handles at the backend that the dispatcher has closed the connection.
func (t *attempt) connectionClosed() {
	if t.ended || !t.arrived {
		t.ended = t.ended || !t.arrived
		return
	}
	l := t.baseRecord
	l.What = record.Closed
	t.sim.addRecord(l)
	b := t.backend
	if b.running && b.incarnation == t.incarnation && t.job != nil && !b.spec.Ignores {
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
		t.sim.after(networkDelay, func() { t.reportResult(brain.Result{Outcome: brain.ConnectionLost}) })
		return
	}
	t.arrived, t.incarnation = true, b.incarnation
	b.attempts[t] = true
	work := b.attemptWork(t.baseRecord.Grade, t.baseRecord.Stage)
	l := t.baseRecord
	l.What, l.Work = record.Trip, work
	sim.addRecord(l)
	if b.exceedsSlowStart(work) {
		b.overloaded = true
		sim.addRecord(record.Line{What: record.Fell, Box: b.spec.Name, Start: b.incarnation})
		b.kill("pushed over")
		return
	}
	if b.hangs {
		return
	}
	if b.failShare > 0 && (b.failClass == "" || b.failClass == t.baseRecord.Grade) && sim.rng.Float64() < b.failShare {
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
		state := sim.backends[t.dispatched.PrefillBackend.Name]
		j.FetchKVCache = func(arrived func(bool)) { sim.transferKVCache(state, b, t, arrived) }
	default:
		j.Stage = engine.StageWhole
	}
	j.OutputTokens = standin.AnswerTokens(sim.scenario.TalkOf(t.baseRecord.Grade).AnswerTokens, t.baseRecord.Try, int(q.MaxOutputTokens))
	if j.Stage == engine.StagePrefill {
		j.OutputTokens = 1
	}
	j.OnToken = func(n int) {
		t.dispatched.StreamedTokens.Store(int64(n))
		if n > 1 {
			if n == 2 && b.resetShare > 0 && sim.rng.Float64() < b.resetShare {
				b.engine.Cancel(j)
				t.loseConnection()
			}
			return
		}
		t.recordRun()
		if b.cutShare > 0 && sim.rng.Float64() < b.cutShare {
			b.engine.Cancel(j)
			t.loseConnection()
			return
		}
		sim.after(networkDelay, t.firstToken)
	}
	j.OnEnd = func(e engine.Outcome, kept int) { t.jobEnded(e, kept) }
	b.engine.Submit(sim.now, j)
	b.runSteps()
}

func (t *attempt) recordRun() {
	l, sim := t.baseRecord, t.sim
	l.What = record.Ran
	if i := sim.scenario.ClassIndex(l.Grade); i >= 0 && sim.scenario.Classes[i].Effect == "deduplicated" {
		g := sim.scenario.Classes[i]
		key := map[string]string{"zone": t.backend.spec.Zone, "rack": t.backend.spec.Rack}[g.DedupScope] + " " + l.Try
		if at, known := sim.dedupMarks[key]; known && sim.now-at < g.DedupWindow.Std() {
			l.What = record.Repeat
		} else {
			sim.dedupMarks[key] = sim.now
		}
	}
	sim.addRecord(l)
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
				c.addRecord(record.First, "", nil)
			}
		})
	}
}

// jobEnded handles the end of the engine's job.
func (t *attempt) jobEnded(e engine.Outcome, kept int) {
	b, sim := t.backend, t.sim
	if t.ended {
		return
	}
	switch e {
	case engine.Done:
		if t.baseRecord.Stage != kserve.PhaseDecode {
			left := float64(t.job.PromptTokens - kept)
			b.attemptWork(t.baseRecord.Grade, t.baseRecord.Stage) // seeds the mean on first use
			sim.prefillTokens[t.baseRecord.Grade][0] += left
			sim.prefillTokens[t.baseRecord.Grade][1]++
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
		sim.addRecord(record.Line{What: record.Held, Box: b.spec.Name, Key: t.baseRecord.Key, Try: t.baseRecord.Try, Grade: t.baseRecord.Grade})
		t.end(kserve.OutcomePrefilled)
		t.respond(brain.Result{Outcome: brain.Prefilled, Detail: kept})
		if b.crashShare > 0 && sim.rng.Float64() < b.crashShare {
			start := b.incarnation
			sim.after(2*time.Millisecond, func() { // by then the dispatcher has the prefill result
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

// transferKVCache moves a KV cache from its prefill backend to a decode backend: within a rack over the prefill backend's own
// port, otherwise over the rack's shared link, where transfers queue.
func (sim *simulation) transferKVCache(from, to *backend, t *attempt, arrived func(bool)) {
	key := t.baseRecord.Key
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
		start, took := from.incarnation, time.Duration(float64(tokens)/sim.scenario.Links.Near*float64(time.Second))
		if from.spec.Rack != to.spec.Rack {
			times := sim.linkSlowdown
			if from.spec.Zone != to.spec.Zone {
				times *= max(sim.scenario.Links.Zone, 1)
			}
			free := max(sim.rackLinkFreeAt[from.spec.Rack], sim.now) + time.Duration(float64(tokens)/sim.scenario.Links.Far*times*float64(time.Second))
			sim.rackLinkFreeAt[from.spec.Rack] = free
			took = free - sim.now
		}
		sim.after(took, func() {
			if !from.running || from.incarnation != start {
				arrived(false)
				to.runSteps()
				return
			}
			if t.ended || !to.running || to.incarnation != t.incarnation { // no longer needed there: keep it ready
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
