package brain

import (
	"cmp"
	"time"
)

// Outcomes: what attempts, own ones and those of peers, show about backends.

// Began handles the first token of an attempt, duration after its send.
func (d *Dispatcher) Began(t *Attempt, took time.Duration) {
	if t.Ended || t.Began > 0 {
		return
	}
	t.Began = d.runtime.Now()
	t.Request.State, t.Request.Released, t.Request.Lingers = nil, false, false
	d.settle(t.Request)
	d.learn(t, took, true, false)
	d.firstToken.Add((t.Began - t.Request.Dispatched).Seconds(), 0.1)
	d.dispatch()
}

// recordOutcome counts an attempt for or against its backend, tells peers, and raises or lowers the backend's
// token limit.
func (d *Dispatcher) learn(t *Attempt, took time.Duration, fine, loaded bool) {
	h, now := t.Backend, d.runtime.Now()
	unit := took.Seconds() / (t.Left + 300)
	slow := unit > 4*d.typical[h.Role].Or(unit)
	if fine {
		d.typical[h.Role].Add(unit, 0.05)
	}
	news := PeerUpdate{Host: h, Grade: t.Request.Class.Index, Loaded: loaded, Util: h.Util, Queue: h.Queue}
	span := t.Request.TargetAt - t.Request.Taken
	switch {
	case t.Outcome == Unreachable:
		news.Verdict = Unmet
	case fine && !slow:
		news.Verdict = Well
	case fine:
		news.Verdict = Slowly
	case slow || t.Outcome != TimedOut || took > span: // one cut short by its client shows nothing
		news.Verdict = Badly
	}
	d.Heard(news)
	if fine && t.Began > 0 || t.Began == 0 && t.Outcome == TimedOut {
		news.Share = d.targetShare(t.Request)
	}
	d.share(news)
	one := t.Request.Memory
	// Only latency shows that a backend is full; errors and resets count in the success posterior alone.
	late := took > span/3 || now-t.Request.Taken > span*7/10
	if (late && fine || t.Outcome == TimedOut) && now-h.Cut > took {
		h.Room, h.Cut = max(one, h.Room*0.8), now
	} else if !late && fine && (len(d.queue) > 0 || !hasRoom(h, t.Request)) {
		h.Room += one * one / h.Room
	}
}

// Ended handles the end of an attempt and passes the result to its OnResult.
func (d *Dispatcher) Ended(t *Attempt, r Result) {
	q, h, now := t.Request, t.Backend, d.runtime.Now()
	t.Ended, t.Outcome = true, r.Outcome
	d.weigh(t, -1)
	d.report(h, r.Load)
	loaded := len(r.Load) > 0 // without a report, peers get no load
	q.Over = q.Over || r.Over
	// Only an attempt that is known to have reached its backend took over the KV cache, if briefly.
	if r.Outcome.arrived() {
		q.Waits = now - r.Ago
	}
	switch r.Outcome {
	case Read:
		q.State, q.Released = h, false
		d.learn(t, r.Took, true, loaded)
	case Served:
		if t.Began == 0 {
			d.learn(t, r.Took, true, loaded)
		}
		d.share(PeerUpdate{Host: h, Loaded: loaded, Util: h.Util, Queue: h.Queue})
		q.Class.Writing.Add(now.Seconds()-t.Began.Seconds(), 0.02)
	case Rejected:
		if r.Note == 1 {
			q.State, q.Released = nil, false
		}
	case Failed, TimedOut, Unreachable, Broken:
		d.learn(t, r.Took, false, loaded)
	}
	if r.Outcome == Read || r.Outcome == Served {
		d.remember(t, float64(r.Note))
		h.Carried.Add(now, d.weight(q, h, t.Stage))
		d.carriedChanged()
		if t.Stage != ToWrite {
			left := max(q.Prompt-float64(r.Note), 0)
			d.unread.Add(now, left)
			d.asked.Add(now, 1)
			d.begins.Add(cmp.Or(q.Shared, q.Session), now, 1)
			q.Class.Reading.Add(left, 0.02)
		}
	}
	if t.Began == 0 && r.Outcome != Served {
		d.releaseAgain(q)
	}
	if q.Over {
		d.settle(q)
		d.letGo(q)
	} else {
		t.Next(r)
	}
	d.dispatch()
}

// recordCachedPrefix updates the prefix table after prefill or a KV cache transfer, and the hit ratio from the
// cached tokens that the backend reported.
func (d *Dispatcher) remember(t *Attempt, kept float64) {
	h, q, now := t.Backend, t.Request, d.runtime.Now()
	if t.Kept > 0 {
		h.Hits.Add(min(1, kept/t.Kept), 0.1)
	}
	h.Taken += max(q.Prompt-kept, 0)
	if q.Session != 0 {
		h.Kept[q.Session] = Kept{q.Prompt, now, h.Taken}
		d.keeperOf(q.Session, h)
	}
	if q.Shared != 0 {
		h.Kept[q.Shared] = Kept{q.Prefix, now, h.Taken}
		d.keeperOf(q.Shared, h)
	}
}

// successPosterior returns the parameters of the Beta posterior of a backend's success, or failures 0 if
// nothing counts against it. It is the worse one of all classes together and of the request's class, as a
// backend may fail only one class. Consecutive failures count until the next success, but at most four: with
// more the backend would never be tried again.
func (d *Dispatcher) chance(h *Backend, q *Request) (well, badly float64) {
	well = 1
	for _, i := range []int{0, 1 + q.Class.Index} {
		r, now := &h.Records[i], d.runtime.Now()
		bad := 1 + r.Bad.Sum(now) + min(r.Missed, 4)
		if bad <= 1 {
			continue // nothing counts against it
		}
		if good := 2 + r.Good.Sum(now); bad*well >= badly*good {
			well, badly = good, bad
		}
	}
	return well, badly
}

// drawTrust draws from the posterior whether the backend gets work.
func (d *Dispatcher) drawn(well, badly float64) bool {
	return badly == 0 || d.rng.Beta(well, badly) > believe
}

// Heard handles a peer's update. It counts like an own attempt.
func (d *Dispatcher) Heard(n PeerUpdate) {
	if n.Loaded {
		n.Host.Util, n.Host.Queue = n.Util, n.Queue
	}
	d.heardShare(n)
	for _, i := range []int{0, 1 + n.Grade} {
		if i >= len(n.Host.Records) {
			return
		}
		n.Host.Records[i].Take(d.runtime.Now(), n.Verdict, slowly)
	}
	// An unreachable backend may be restarting, which service discovery shows only seconds later, so it is in
	// slow start until then. A lost connection alone doesn't show that: a burst of connection resets would put
	// the whole fleet in slow start.
	if n.Verdict == Unmet {
		n.Host.Unmet = d.runtime.Now()
		d.carriedChanged()
	}
}

// sendPeerUpdates sends an update to a few peers, as many as the price of messages allows.
func (d *Dispatcher) share(n PeerUpdate) {
	others, own := int(d.parameters.dispatchers)-1, int(d.parameters.number)
	first := int(d.rng.Float() * float64(others))
	for i := range d.listeners {
		d.runtime.Tell((own+1+(first+i)%others)%(others+1), n)
	}
}
