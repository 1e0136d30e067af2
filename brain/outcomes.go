package brain

import (
	"cmp"
	"time"
)

// Outcomes: what the ends of own attempts, and what peers tell of theirs, say of backends.

// Began takes word that an answer has started.
func (d *Dispatcher) FirstToken(t *Attempt, took time.Duration) {
	if t.Ended || t.FirstTokenAt > 0 {
		return
	}
	t.FirstTokenAt = d.runtime.Now()
	t.Request.KVHolder, t.Request.Released, t.Request.ReleaseUnconfirmed = nil, false, false
	d.clearOutstanding(t.Request)
	d.recordOutcome(t, took, true, false)
	d.timeToFirstToken.Add((t.FirstTokenAt - t.Request.DispatchedAt).Seconds(), 0.1)
	d.dispatch()
}

// learn lets an attempt speak for or against its backend, and widens or narrows what it is trusted with.
func (d *Dispatcher) recordOutcome(t *Attempt, took time.Duration, fine, loaded bool) {
	h, now := t.Backend, d.runtime.Now()
	unit := took.Seconds() / (t.PrefillTokens + 300)
	slow := unit > 4*d.secondsPerToken[h.Role].ValueOr(unit)
	if fine {
		d.secondsPerToken[h.Role].Add(unit, 0.05)
	}
	news := PeerUpdate{Backend: h, ClassIndex: t.Request.Class.Index, HasLoad: loaded, Util: h.Util, QueueLength: h.QueueLength}
	span := t.Request.TargetAt - t.Request.ReceivedAt
	switch {
	case t.Outcome == Unreachable:
		news.Verdict = VerdictUnreachable
	case fine && !slow:
		news.Verdict = VerdictGood
	case fine:
		news.Verdict = VerdictSlow
	case slow || t.Outcome != TimedOut || took > span: // one cut short by its client says nothing
		news.Verdict = VerdictBad
	}
	d.PeerUpdated(news)
	if fine && t.FirstTokenAt > 0 || t.FirstTokenAt == 0 && t.Outcome == TimedOut {
		news.TargetShare = d.targetShare(t.Request)
	}
	d.sendPeerUpdates(news)
	one := t.Request.KVTokens
	// Only time tells of a full backend; errors and resets speak through the posterior alone.
	late := took > span/3 || now-t.Request.ReceivedAt > span*7/10
	if (late && fine || t.Outcome == TimedOut) && now-h.LimitReducedAt > took {
		h.TokenLimit, h.LimitReducedAt = max(one, h.TokenLimit*0.8), now
	} else if !late && fine && (len(d.queue) > 0 || !hasCapacity(h, t.Request)) {
		h.TokenLimit += one * one / h.TokenLimit
	}
}

// Ended takes the end of an attempt, and hands its result to what the attempt left behind.
func (d *Dispatcher) AttemptDone(t *Attempt, r Result) {
	q, h, now := t.Request, t.Backend, d.runtime.Now()
	t.Ended, t.Outcome = true, r.Outcome
	d.applyLoad(t, -1)
	d.applyLoadReport(h, r.LoadReport)
	loaded := len(r.LoadReport) > 0 // what came with no report tells others of no load
	q.Finished = q.Finished || r.Finished
	// Only an attempt that came to its backend takes the state, if for a while.
	if r.Outcome.provesArrival() {
		q.KVWaitingSince = now - r.Delay
	}
	switch r.Outcome {
	case Prefilled:
		q.KVHolder, q.Released = h, false
		d.recordOutcome(t, r.Duration, true, loaded)
	case Served:
		if t.FirstTokenAt == 0 {
			d.recordOutcome(t, r.Duration, true, loaded)
		}
		d.sendPeerUpdates(PeerUpdate{Backend: h, HasLoad: loaded, Util: h.Util, QueueLength: h.QueueLength})
		q.Class.DecodeSeconds.Add(now.Seconds()-t.FirstTokenAt.Seconds(), 0.02)
	case Rejected:
		if r.Detail == 1 {
			q.KVHolder, q.Released = nil, false
		}
	case Failed, TimedOut, Unreachable, ConnectionLost:
		d.recordOutcome(t, r.Duration, false, loaded)
	}
	if r.Outcome == Prefilled || r.Outcome == Served {
		d.recordCachedPrefix(t, float64(r.Detail))
		h.CompletedWork.Add(now, d.requestWork(q, h, t.Stage))
		d.invalidateCompletedWork()
		if t.Stage != StageDecode {
			left := max(q.PromptTokens-float64(r.Detail), 0)
			d.prefillTokens.Add(now, left)
			d.prefillRequests.Add(now, 1)
			d.prefixTable.Add(cmp.Or(q.PrefixKey, q.SessionKey), now, 1)
			q.Class.PrefillTokens.Add(left, 0.02)
		}
	}
	if t.FirstTokenAt == 0 && r.Outcome != Served {
		d.repeatRelease(q)
	}
	if q.Finished {
		d.clearOutstanding(q)
		d.releaseKV(q)
	} else {
		t.OnResult(r)
	}
	d.dispatch()
}

// remember feeds the table with what a backend has just read or fetched, and the kept tokens it reported.
func (d *Dispatcher) recordCachedPrefix(t *Attempt, kept float64) {
	h, q, now := t.Backend, t.Request, d.runtime.Now()
	if t.CachedTokens > 0 {
		h.HitRatio.Add(min(1, kept/t.CachedTokens), 0.1)
	}
	h.CacheInsertedTokens += max(q.PromptTokens-kept, 0)
	if q.SessionKey != 0 {
		h.CachedPrefixes[q.SessionKey] = CachedPrefix{q.PromptTokens, now, h.CacheInsertedTokens}
		d.recordPrefixHolder(q.SessionKey, h)
	}
	if q.PrefixKey != 0 {
		h.CachedPrefixes[q.PrefixKey] = CachedPrefix{q.PrefixTokens, now, h.CacheInsertedTokens}
		d.recordPrefixHolder(q.PrefixKey, h)
	}
}

// chance is the posterior of a backend's success: the worse of what attempts of any class say and of the own, as
// a backend may fail one only. Failures since the last good attempt stay, four at most: more would forget it.
func (d *Dispatcher) successPosterior(h *Backend, q *Request) (well, badly float64) {
	well = 1
	for _, i := range []int{0, 1 + q.Class.Index} {
		r, now := &h.Outcomes[i], d.runtime.Now()
		bad := 1 + r.Failures.Sum(now) + min(r.ConsecutiveFailures, 4)
		if bad <= 1 {
			continue // nothing speaks against it
		}
		if good := 2 + r.Successes.Sum(now); bad*well >= badly*good {
			well, badly = good, bad
		}
	}
	return well, badly
}

// drawn draws from that whether the backend is given work.
func (d *Dispatcher) drawTrust(well, badly float64) bool {
	return badly == 0 || d.rng.Beta(well, badly) > trustThreshold
}

// Heard takes what another dispatcher tells of a backend; it counts like an own attempt.
func (d *Dispatcher) PeerUpdated(n PeerUpdate) {
	if n.HasLoad {
		n.Backend.Util, n.Backend.QueueLength = n.Util, n.QueueLength
	}
	d.applyPeerShare(n)
	for _, i := range []int{0, 1 + n.ClassIndex} {
		if i >= len(n.Backend.Outcomes) {
			return
		}
		n.Backend.Outcomes[i].Observe(d.runtime.Now(), n.Verdict, slowFailureWeight)
	}
	// A backend that can't be reached may be restarting, which the list tells seconds later: cold till then.
	// A broken connection alone says nothing of that; taken so, a rash of resets shuts out the fleet.
	if n.Verdict == VerdictUnreachable {
		n.Backend.UnreachableAt = d.runtime.Now()
		d.invalidateCompletedWork()
	}
}

// share tells a few others of an own attempt: at most what the price of messages allows.
func (d *Dispatcher) sendPeerUpdates(n PeerUpdate) {
	others, own := int(d.parameters.dispatchers)-1, int(d.parameters.index)
	first := int(d.rng.Float() * float64(others))
	for i := range d.peerFanout {
		d.runtime.SendPeerUpdate((own+1+(first+i)%others)%(others+1), n)
	}
}
