// Package brain decides, for one dispatcher, where each request goes.
//
// The calling program makes a Dispatcher with New and calls it with what happens: Listed and ListFailed
// for the list of backends, Submit for a request, Began and Ended for its attempts, Left when its client has
// gone, Heard for what another dispatcher tells. It acts through the Runtime of runtime.go alone; types.go has
// what it is handed. Each attempt carries in Next what is to be done with its result. The ordinary path is
// that of docs/design.md: inPlace, pickMixed, pickPrefill, then pickDecode.
package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	refresh   = 5 * time.Second        // how often the average is taken anew (design)
	cutShare  = 0.25                   // shorter prompts are read in place (design)
	keptFor   = 20 * time.Second       // a prefix key unused for longer is taken for forgotten
	evidence  = 500 * time.Millisecond // a tenth of how long attempts speak for or against a backend
	believe   = 0.5                    // a doubtful backend gets work if its draw is above this
	sweep     = 20 * time.Millisecond  // how often held requests are looked at
	perHost   = 4.0                    // requests without a first token for each backend, to begin with
	calm      = 0.7                    // of the promised span to a first token, at which the window stays
	memory    = 3 * time.Second        // a tenth of how long what a backend was given counts
	lasting   = 0.5                    // how much that counts beside what it holds now
	gossip    = 0.0007                 // of the benefit, at most, for telling others of one attempt
	slowly    = 0.25                   // of a failure, that a late first token weighs against its backend
	crossing  = 1.5                    // how much fuller a decode backend in another rack than the state counts
	answer    = 0.25                   // of the longest answer, that a request is taken to need
	newsSize  = 8                      // bytes of what is told
	bound     = 3.0                    // times as full as the mean, from which a home is not chosen alone
	burst     = 2.0                    // requests that a window's last part lets out at once, at most
	impatient = 0.25                   // of the promised time: an oldest wait beyond it means overload
)

// New starts an instance from its settings and the seed for its chance.
func New(facts Facts, seed uint64, door Runtime) (*Dispatcher, error) {
	if err := facts.Sound(); err != nil {
		return nil, err
	}
	facts = facts.Complete()
	d := &Dispatcher{facts: facts, parameters: parametersOf(facts), runtime: door, rng: NewPCG(seed), own: Mix(seed, 1), credit: burst}
	d.unread.Width, d.asked.Width, d.begins.Width = refresh, refresh, refresh
	var err error
	if d.classes, err = facts.Grades(); err != nil {
		return nil, err
	}
	d.tenants = facts.Channels()
	if facts.Yes("policyLimits.peers") {
		dear := max(d.parameters.peerPrice*newsSize/256, gossip/8)
		d.listeners = min(int(gossip/dear), int(d.parameters.dispatchers)-1)
	}
	if facts.Text("discovery") == "subscribe" {
		door.Watch(true)
	}
	// Its own phase: dispatchers that start together would all turn to the same backends in one moment.
	door.Wake(time.Duration(d.rng.Float()*float64(refresh)), d.refresh)
	return d, nil
}

func (d *Dispatcher) refresh() {
	now := d.runtime.Now()
	if n := d.asked.Sum(now); n > 0 {
		d.average = d.unread.Sum(now) / n
	}
	d.begins.Forget(now)
	for role := range d.carried {
		d.carries(Role(role), false)
	}
	for _, h := range d.backends {
		h.Forget(now - keptFor)
	}
	d.forgetKeepers()
	d.compared = 0
	d.compareSizes()
	d.runtime.Wake(refresh, d.refresh)
}

// Listed takes what the list says of backends; a whole list leaves out those that are gone.
func (d *Dispatcher) Listed(lines []Listing, whole bool) {
	gone := whole
	if whole {
		for _, h := range d.backends {
			h.Standing = Gone
		}
	}
	for _, l := range lines {
		h := l.Host
		if h.Kept == nil {
			d.meet(h)
		}
		if !h.Held {
			d.addHost(h, len(lines) > smallFleet)
		}
		if h.Kept == nil || l.Restart && l.Booted != h.Booted {
			h.Kept = map[uint64]Kept{}
			fresh := Record{Good: Ring{Width: evidence}, Bad: Ring{Width: evidence}}
			h.Records = slices.Repeat([]Record{fresh}, 1+len(d.classes))
		}
		gone = gone || l.Standing == Gone
		h.Standing, h.Units, h.Booted, h.Restart = l.Standing, max(l.Units, 0.01), l.Booted, l.Restart
		if h.Size == 0 {
			h.Size = 1 // until sizes are compared
		}
	}
	if gone || d.lingering {
		d.dropHosts()
		d.lingering = slices.ContainsFunc(d.backends, func(h *Backend) bool { return h.Standing == Gone })
	}
	d.orderHosts()
	d.carriedChanged()
	d.compareSizes()
	if !d.adjusted {
		d.window = perHost * float64(len(d.backends)) / d.parameters.dispatchers
	}
	d.dispatch()
}

// meet sets what does not change of a backend that is seen for the first time.
func (d *Dispatcher) meet(h *Backend) {
	h.Role, h.Memory = d.facts.RoleOf(h.Kind), d.facts.MemoryOf(h.Kind)
	h.Sent.Width = max(d.parameters.slowStartWindow/(buckets-1), 1)
	h.Carried.Width = max(d.parameters.slowStartWindow*5/buckets, 1)
	h.Given.Width, h.Far, h.Lean = memory, 1, -math.Log(d.rng.Float())
	if h.Zone != d.parameters.zone {
		h.Far += 25 * d.parameters.crossZonePrice
	}
	h.Room = h.Memory / d.parameters.dispatchers
}

// ListFailed asks again, a little later, where the list has to be asked for.
func (d *Dispatcher) ListFailed() {
	if d.facts.Text("discovery") == "subscribe" {
		d.runtime.Wake(time.Second, func() { d.runtime.Watch(true) })
	}
}

// Submit takes a request.
func (d *Dispatcher) Submit(q *Request, grade, channel int) {
	now := d.runtime.Now()
	q.Class = d.classes[min(grade, len(d.classes)-1)]
	q.Taken, q.Deadline, q.Memory = now, now+q.Left, q.Prompt+answer*q.Most
	q.Class.Offered.Add(now, 1)
	q.TargetAt = now + q.Class.Target + time.Duration(q.Prompt/1000*float64(q.Class.TargetPerK))
	if channel < len(d.tenants) {
		c := d.tenants[channel]
		c.Taken.Add(now, 1)
		share := d.parameters.share(c.Quota)
		q.Surplus = c.Taken.Sum(now) > share*buckets*c.Taken.Width.Seconds()
	}
	d.enqueue(q)
	d.dispatch()
}

// giveUp answers a request finally: declined where that promise can be kept, else forfeited.
func (d *Dispatcher) giveUp(q *Request) {
	if q.Over {
		return
	}
	q.Over = true
	d.letGo(q)
	if MayReject(q) != Allowed {
		d.runtime.Fail(q)
		return
	}
	var after time.Duration
	if d.parameters.retryAfter {
		after = min(d.parameters.retryMost, q.TargetAt-q.Taken)
	}
	d.runtime.Reject(q, after)
}

// send makes an attempt unless the gate bars it.
func (d *Dispatcher) send(q *Request, h *Backend, stage Stage, next func(Result)) bool {
	if h == nil || d.barred(q, h) {
		return false
	}
	now := d.runtime.Now()
	t := &Attempt{Request: q, Backend: h, Number: len(q.Attempts), Sent: now, Stage: stage, SlowStart: d.cold(h), Next: next}
	kept := d.keeps(h, q)
	t.Kept = kept / max(h.Hits.Or(1), 0.01)
	if stage != ToWrite {
		t.Left = q.Prompt - kept
	} else {
		t.Connect = d.connectTime() // other decode backends, and a release, are in time (rule 5)
	}
	streams := d.weigh(t, 1)
	h.Given.Add(now, streams+t.Left/2/max(d.average, 300))
	if !q.Outstanding {
		q.Outstanding, q.Dispatched = true, now
		d.awaiting = append(d.awaiting, q)
		d.outstanding++
	}
	h.Sent.Add(now, d.weight(q, h, stage))
	q.Attempts = append(q.Attempts, t)
	d.releaseWhenDue(t)
	d.runtime.Send(t, d.patience(t))
	return true
}

// weigh counts what an attempt takes at its backend, or takes it away again, and tells the change in streams.
func (d *Dispatcher) weigh(t *Attempt, sign float64) float64 {
	streams := t.Weigh(sign)
	d.streams += streams
	if t.Backend.Role == Reads {
		d.atReaders += sign * t.Request.Memory
	}
	return streams
}

// patience is how long an attempt may take: three quarters of what is left where another attempt may follow it,
// so that a silent backend leaves time for one. Shorter waits only fill backends that go on with dropped work.
func (d *Dispatcher) patience(t *Attempt) time.Duration {
	left := t.Request.Deadline - t.Sent
	if left.Seconds()/4 < d.firstToken.Or(0) || t.Stage != ToRead && t.Request.Class.Effect != Idempotent ||
		t.Number+1 >= d.parameters.maxAttempts {
		return left
	}
	return left * 3 / 4
}

// keeps is how much of the prompt the backend should have kept, by the ageing table: what it has taken in
// since pushes old texts out, and reports of less than expected lower all that is expected of it.
func (d *Dispatcher) keeps(h *Backend, q *Request) float64 {
	kept := 0.0
	for _, key := range []uint64{q.Session, q.Shared} {
		k, ok := h.Kept[key]
		since := (h.Taken - k.Taken) * d.parameters.dispatchers
		if ok && key != 0 && d.runtime.Now()-k.At < keptFor && since < h.Memory-h.Tokens {
			kept = max(kept, k.Tokens)
		}
	}
	return min(kept, q.Prompt) * h.Hits.Or(1)
}

func (d *Dispatcher) unkept(h *Backend, q *Request) float64 { return q.Prompt - d.keeps(h, q) }

// remember feeds the table with what a backend has just read or fetched, and the kept tokens it reported.
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

// chance is the posterior of a backend's success: the worse of what attempts of any class say and of the own, as
// a backend may fail one only. Failures since the last good attempt stay, four at most: more would forget it.
func (d *Dispatcher) chance(h *Backend, q *Request) (well, badly float64) {
	well = 1
	for _, i := range []int{0, 1 + q.Class.Index} {
		r, now := &h.Records[i], d.runtime.Now()
		bad := 1 + r.Bad.Sum(now) + min(r.Missed, 4)
		if bad <= 1 {
			continue // nothing speaks against it
		}
		if good := 2 + r.Good.Sum(now); bad*well >= badly*good {
			well, badly = good, bad
		}
	}
	return well, badly
}

// drawn draws from that whether the backend is given work.
func (d *Dispatcher) drawn(well, badly float64) bool {
	return badly == 0 || d.rng.Beta(well, badly) > believe
}

// Heard takes what another dispatcher tells of a backend; it counts like an own attempt.
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
	// A backend that can't be reached may be restarting, which the list tells seconds later: cold till then.
	// A broken connection alone says nothing of that; taken so, a rash of resets shuts out the fleet.
	if n.Verdict == Unmet {
		n.Host.Unmet = d.runtime.Now()
		d.carriedChanged()
	}
}

// share tells a few others of an own attempt: at most what the price of messages allows.
func (d *Dispatcher) share(n PeerUpdate) {
	others, own := int(d.parameters.dispatchers)-1, int(d.parameters.number)
	first := int(d.rng.Float() * float64(others))
	for i := range d.listeners {
		d.runtime.Tell((own+1+(first+i)%others)%(others+1), n)
	}
}

// able lists the backends of the given roles that the gate lets through: the trusted ones, or all if none
// is. Of those more likely to fail than not, one at a time is drawn for: failing backends look idle, and if
// each had its own draw, one of many would be taken for nearly every request.
func (d *Dispatcher) able(q *Request, want func(*Backend) bool) []*Backend {
	var all, trusted, doubtful []*Backend
	for _, h := range d.candidates(q) {
		if !want(h) || d.barred(q, h) {
			continue
		}
		all = append(all, h)
		if well, badly := d.chance(h, q); q.FailedAt(h) {
			continue
		} else if badly > well {
			doubtful = append(doubtful, h)
		} else if d.drawn(well, badly) {
			trusted = append(trusted, h)
		}
	}
	if n := len(doubtful); n > 0 {
		if h := doubtful[int(d.rng.Float()*float64(n))]; d.drawn(d.chance(h, q)) {
			trusted = append(trusted, h)
		}
	}
	if len(trusted) == 0 {
		return all
	}
	return trusted
}

// press is how full a backend looks for one more request, of which left tokens are to be read there: own
// streams and reading, an average prompt weighing as half a stream, then what it last reported. Over many
// dispatchers these are nearly always nought: then what it was given lately tells, and a lean of its own.
func (d *Dispatcher) press(h *Backend, left float64) float64 {
	n := float64(h.Streams) + 1 + h.Lean + (h.Unread+left)/2/max(d.average, 300) +
		lasting*h.Given.Sum(d.runtime.Now())/(1+d.streams/max(d.answering, 1))
	return n / (h.Size * d.warmth(h)) * (1 + h.Util + h.Queue/5) * h.Far
}

func (d *Dispatcher) next(h *Backend) float64 { return d.press(h, 0) }

// route takes the first step: read in place, whole at a mixed backend, or at a prefill backend. False: no room.
func (d *Dispatcher) route(q *Request) bool {
	answering := d.able(q, (*Backend).Answers)
	roomy := Only(answering, func(h *Backend) bool { return hasRoom(h, q) })
	if len(roomy) == 0 && len(answering) > 0 || d.freeMemory(q) < q.Memory {
		return false
	}
	if h := d.inPlace(q, roomy); h != nil {
		return d.send(q, h, Whole, d.onward(q))
	}
	reader := d.pickPrefill(q, answering)
	if h := d.pickMixed(q, roomy, reader); h != nil {
		return d.send(q, h, Whole, d.onward(q))
	}
	return d.send(q, reader, ToRead, d.onward(q))
}

// hasRoom tells whether a backend may take the request within its room; an idle one always may.
func hasRoom(h *Backend, q *Request) bool {
	return h.Streams == 0 || h.Tokens+q.Memory <= h.Room
}

// inPlace finds the decode backend that should read a short request itself, by kept prefix against load. While
// a token takes longer at prefill backends than at decode backends, the cut rises with that, up to fourfold.
func (d *Dispatcher) inPlace(q *Request, roomy []*Backend) *Backend {
	if !d.parameters.readsInPlace {
		return nil
	}
	tilt := min(max(d.typical[Reads].Or(0)/max(d.typical[Writes].Or(0), 1e-6), 1), 4)
	short := Only(roomy, func(h *Backend) bool {
		return h.Role == Writes && d.unkept(h, q) < cutShare*tilt*d.average
	})
	return Least(short, func(h *Backend) float64 { return d.next(h) / (1 + d.keeps(h, q)) })
}

// pickMixed finds the pickMixed backend that should take a request whole: its share is what it carries with less press
// than the best decode backend and the prefill backend together. What is read there also holds up the answers that run there,
// and so counts twice; more where whole attempts take longer lately than a read and a write.
func (d *Dispatcher) pickMixed(q *Request, roomy []*Backend, reader *Backend) *Backend {
	whole := func(h *Backend) float64 { return d.press(h, d.unkept(h, q)) }
	m := Least(d.homes(q, Both, Only(roomy, (*Backend).Mixed)), whole)
	w := Least(Only(roomy, func(h *Backend) bool { return h.Role == Writes }), d.next)
	if d.average == 0 && reader != nil || m == nil {
		return nil
	}
	if w == nil || reader == nil {
		return m
	}
	unkept := d.unkept(reader, q)
	apart := (unkept+300)*d.typical[Reads].Or(0) + 300*d.typical[Writes].Or(0)
	slower := min(max((unkept+300)*d.typical[Both].Or(0)/max(apart, 1e-6), 1), 4)
	if 2*slower*whole(m) > d.next(w)+d.press(reader, unkept) {
		return nil
	}
	return m
}

// homes are the two of the backends to which the request's beginning is hashed, in every dispatcher alike: they
// keep it, though no dispatcher sends it often enough to know. A beginning so common that two would read more
// than their part, and one rack's link carry it, has as many as its share of requests asks for; one whose
// homes all look much fuller than the mean has the next in order too, as hashing with bounded loads does.
// Where one of them is doubted the other serves; only if all are, others read the text anew. Cold backends that
// may be sent something stand beside them: for the few whose turn it is, few beginnings are at home there.
func (d *Dispatcher) homes(q *Request, role Role, able []*Backend) []*Backend {
	key := cmp.Or(q.Shared, q.Session)
	all := d.homesInOrder(q, role)
	n := d.homesWanted(key, role, all)
	all = d.withMoreHomes(all, key, role, n, able)
	most := bound * Average(able, d.next)
	fits := func(h *Backend) bool { return slices.Contains(able, h) && d.next(h) < most }
	for n < len(all) && !slices.ContainsFunc(all[:n], fits) {
		n++
	}
	homes := Only(all[:min(n, len(all))], func(h *Backend) bool { return slices.Contains(able, h) })
	if len(homes) == 0 {
		Order(able, key)
		homes = slices.Clone(able[:min(n, len(able))])
	}
	return append(homes, Only(able, func(h *Backend) bool { return d.started(h) && !slices.Contains(homes, h) })...)
}

// pickPrefill hashes the request's beginning to two prefill backends and takes the one with fewer own reads, by their
// tokens. As a state best stays in its rack, the prefill backend counts for less whose rack has a freer decode backend.
func (d *Dispatcher) pickPrefill(q *Request, answering []*Backend) *Backend {
	freest := freestByRack(answering, d.next)
	return Least(d.homes(q, Reads, d.able(q, (*Backend).ReadsOnly)), func(h *Backend) float64 {
		near, known := freest[h.Rack]
		if !known {
			near = d.next(h) // a rack without decode backends
		}
		return d.press(h, d.unkept(h, q)) * near
	})
}

// pickDecode picks the decode backend once the read has ended: fewest own streams, least reported load, near the state.
func (d *Dispatcher) pickDecode(q *Request) bool {
	if d.mayHold(q) != Allowed {
		return false
	}
	h := Least(d.able(q, (*Backend).Answers), func(h *Backend) float64 {
		if q.State != nil && h.Rack != q.State.Rack {
			return d.next(h) * crossing
		}
		return d.next(h)
	})
	return d.send(q, h, ToWrite, d.onward(q))
}

// onward takes the result of an attempt: a state that waits goes to a decode backend, all else starts over.
func (d *Dispatcher) onward(q *Request) func(Result) {
	return func(r Result) {
		if q.State != nil && d.pickDecode(q) {
			return
		}
		d.again(q)
	}
}

func (d *Dispatcher) takable(q *Request) bool {
	return slices.ContainsFunc(d.backends, func(h *Backend) bool { return h.Answers() && !d.barred(q, h) })
}

// again starts a request over, if a backend may still take it, else gives it up at once.
func (d *Dispatcher) again(q *Request) {
	d.settle(q)
	d.letGo(q)
	if !d.takable(q) {
		d.giveUp(q)
		return
	}
	d.enqueue(q)
}

// Began takes word that an answer has started.
func (d *Dispatcher) Began(t *Attempt, took time.Duration) {
	if t.Ended || t.Began > 0 {
		return
	}
	t.Began = d.runtime.Now()
	t.Request.State, t.Request.Released = nil, false
	d.settle(t.Request)
	d.learn(t, took, true, false)
	d.firstToken.Add((t.Began - t.Request.Dispatched).Seconds(), 0.1)
	d.dispatch()
}

// learn lets an attempt speak for or against its backend, and widens or narrows what it is trusted with.
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
	case slow || t.Outcome != TimedOut || took > span: // one cut short by its client says nothing
		news.Verdict = Badly
	}
	d.Heard(news)
	if fine && t.Began > 0 || t.Began == 0 && t.Outcome == TimedOut {
		news.Share = d.targetShare(t.Request)
	}
	d.share(news)
	one := t.Request.Memory
	// Only time tells of a full backend; errors and resets speak through the posterior alone.
	late := took > span/3 || now-t.Request.Taken > span*7/10
	if (late && fine || t.Outcome == TimedOut) && now-h.Cut > took {
		h.Room, h.Cut = max(one, h.Room*0.8), now
	} else if !late && fine && (len(d.queue) > 0 || !hasRoom(h, t.Request)) {
		h.Room += one * one / h.Room
	}
}

// Ended takes the end of an attempt, and hands its result to what the attempt left behind.
func (d *Dispatcher) Ended(t *Attempt, r Result) {
	q, h, now := t.Request, t.Backend, d.runtime.Now()
	t.Ended, t.Outcome = true, r.Outcome
	d.weigh(t, -1)
	d.report(h, r.Load)
	loaded := len(r.Load) > 0 // what came with no report tells others of no load
	q.Over = q.Over || r.Over
	// Only an attempt that came to its backend takes the state, if for a while.
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
	if q.Over {
		d.settle(q)
		d.letGo(q)
	} else {
		t.Next(r)
	}
	d.dispatch()
}

// Left takes word that the client has gone.
func (d *Dispatcher) Left(q *Request) {
	if q.Over {
		return
	}
	q.Over = true
	d.settle(q)
	d.dequeue(q)
	if t := q.Out(); t != nil && t.Began == 0 && d.parameters.cancelling {
		d.runtime.Cancel(t)
	}
	d.letGo(q)
}
