// Package brain decides, for one dispatcher, where each question goes.
//
// The host program makes a Dispatcher with New and calls it with what happens: Listed and ListFailed
// for the list of hosts, Arrive for a question, Began and Ended for its trips, Left when its client has
// gone, Heard for what another dispatcher tells. It acts through the Door of door.go alone; types.go has
// what it is handed. Each trip carries in Next what is to be done with its result. The ordinary path is
// that of docs/design.md: inPlace, mixed, reader, then write.
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
	evidence  = 500 * time.Millisecond // a tenth of how long trips speak for or against a host
	believe   = 0.5                    // a doubtful host gets work if its draw is above this
	sweep     = 20 * time.Millisecond  // how often held questions are looked at
	perHost   = 4.0                    // questions without a first token for each host, to begin with
	calm      = 0.7                    // of the promised span to a first token, at which the window stays
	memory    = 3 * time.Second        // a tenth of how long what a host was given counts
	lasting   = 0.5                    // how much that counts beside what it holds now
	gossip    = 0.0007                 // of the benefit, at most, for telling others of one trip
	slowly    = 0.25                   // of a failure, that a late first token weighs against its host
	crossing  = 1.5                    // how much fuller a writer in another rack than the state counts
	answer    = 0.25                   // of the longest answer, that a question is taken to need
	newsSize  = 8                      // bytes of what is told
	bound     = 3.0                    // times as full as the mean, from which a home is not chosen alone
	burst     = 2.0                    // requests that a window's last part lets out at once, at most
	impatient = 0.25                   // of the promised time: an oldest wait beyond it means overload
)

// New starts an instance from its settings and the seed for its chance.
func New(facts Facts, seed uint64, door Door) (*Dispatcher, error) {
	if err := facts.Sound(); err != nil {
		return nil, err
	}
	facts = facts.Complete()
	d := &Dispatcher{facts: facts, parameters: parametersOf(facts), door: door, rng: NewPCG(seed), own: Mix(seed, 1), credit: burst}
	d.unread.Width, d.asked.Width, d.begins.Width = refresh, refresh, refresh
	var err error
	if d.grades, err = facts.Grades(); err != nil {
		return nil, err
	}
	d.channels = facts.Channels()
	if facts.Yes("policyLimits.peers") {
		dear := max(d.parameters.peerPrice*newsSize/256, gossip/8)
		d.listeners = min(int(gossip/dear), int(d.parameters.dispatchers)-1)
	}
	if facts.Text("discovery") == "subscribe" {
		door.Watch(true)
	}
	// Its own phase: dispatchers that start together would all turn to the same hosts in one moment.
	door.Wake(time.Duration(d.rng.Float()*float64(refresh)), d.refresh)
	return d, nil
}

func (d *Dispatcher) refresh() {
	now := d.door.Now()
	if n := d.asked.Sum(now); n > 0 {
		d.average = d.unread.Sum(now) / n
	}
	d.begins.Forget(now)
	for role := range d.carried {
		d.carries(Role(role), false)
	}
	for _, h := range d.hosts {
		h.Forget(now - keptFor)
	}
	d.forgetKeepers()
	d.compared = 0
	d.compareSizes()
	d.door.Wake(refresh, d.refresh)
}

// Listed takes what the list says of hosts; a whole list leaves out those that are gone.
func (d *Dispatcher) Listed(lines []Listing, whole bool) {
	gone := whole
	if whole {
		for _, h := range d.hosts {
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
			h.Records = slices.Repeat([]Record{fresh}, 1+len(d.grades))
		}
		gone = gone || l.Standing == Gone
		h.Standing, h.Units, h.Booted, h.Restart = l.Standing, max(l.Units, 0.01), l.Booted, l.Restart
		if h.Size == 0 {
			h.Size = 1 // until sizes are compared
		}
	}
	if gone || d.lingering {
		d.dropHosts()
		d.lingering = slices.ContainsFunc(d.hosts, func(h *Host) bool { return h.Standing == Gone })
	}
	d.orderHosts()
	d.carriedChanged()
	d.compareSizes()
	if !d.adjusted {
		d.window = perHost * float64(len(d.hosts)) / d.parameters.dispatchers
	}
	d.dispatch()
}

// meet sets what does not change of a backend that is seen for the first time.
func (d *Dispatcher) meet(h *Host) {
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
		d.door.Wake(time.Second, func() { d.door.Watch(true) })
	}
}

// Arrive takes a question.
func (d *Dispatcher) Arrive(q *Question, grade, channel int) {
	now := d.door.Now()
	q.Grade = d.grades[min(grade, len(d.grades)-1)]
	q.Taken, q.Expiry, q.Memory = now, now+q.Left, q.Prompt+answer*q.Most
	q.Grade.Offered.Add(now, 1)
	q.Promised = now + q.Grade.Promise + time.Duration(q.Prompt/1000*float64(q.Grade.PromisePK))
	if channel < len(d.channels) {
		c := d.channels[channel]
		c.Taken.Add(now, 1)
		share := d.parameters.share(c.Quota)
		q.Surplus = c.Taken.Sum(now) > share*buckets*c.Taken.Width.Seconds()
	}
	d.enqueue(q)
	d.dispatch()
}

// giveUp answers a question finally: declined where that promise can be kept, else forfeited.
func (d *Dispatcher) giveUp(q *Question) {
	if q.Over {
		return
	}
	q.Over = true
	d.letGo(q)
	if MayReject(q) != Allowed {
		d.door.Forfeit(q)
		return
	}
	var after time.Duration
	if d.parameters.retryAfter {
		after = min(d.parameters.retryMost, q.Promised-q.Taken)
	}
	d.door.Decline(q, after)
}

// send makes a trip unless the gate bars it.
func (d *Dispatcher) send(q *Question, h *Host, stage Stage, next func(Result)) bool {
	if h == nil || d.barred(q, h) {
		return false
	}
	now := d.door.Now()
	t := &Trip{Question: q, Host: h, Number: len(q.Trips), Sent: now, Stage: stage, SlowStart: d.cold(h), Next: next}
	kept := d.keeps(h, q)
	t.Kept = kept / max(h.Hits.Or(1), 0.01)
	if stage != ToWrite {
		t.Left = q.Prompt - kept
	} else {
		t.Connect = d.connectTime() // other writers, and a release, are in time (rule 5)
	}
	streams := d.weigh(t, 1)
	h.Given.Add(now, streams+t.Left/2/max(d.average, 300))
	if !q.Outstanding {
		q.Outstanding, q.Dispatched = true, now
		d.awaiting = append(d.awaiting, q)
		d.outstanding++
	}
	h.Sent.Add(now, d.weight(q, h, stage))
	q.Trips = append(q.Trips, t)
	d.releaseWhenDue(t)
	d.door.Send(t, d.patience(t))
	return true
}

// weigh counts what an attempt takes at its backend, or takes it away again, and tells the change in streams.
func (d *Dispatcher) weigh(t *Trip, sign float64) float64 {
	streams := t.Weigh(sign)
	d.streams += streams
	if t.Host.Role == Reads {
		d.atReaders += sign * t.Question.Memory
	}
	return streams
}

// patience is how long a trip may take: three quarters of what is left where another trip may follow it,
// so that a silent host leaves time for one. Shorter waits only fill hosts that go on with dropped work.
func (d *Dispatcher) patience(t *Trip) time.Duration {
	left := t.Question.Expiry - t.Sent
	if left.Seconds()/4 < d.firstToken.Or(0) || t.Stage != ToRead && t.Question.Grade.Effect != Idempotent ||
		t.Number+1 >= d.parameters.maxAttempts {
		return left
	}
	return left * 3 / 4
}

// keeps is how much of the prompt the host should have kept, by the ageing table: what it has taken in
// since pushes old texts out, and reports of less than expected lower all that is expected of it.
func (d *Dispatcher) keeps(h *Host, q *Question) float64 {
	kept := 0.0
	for _, key := range []uint64{q.Session, q.Shared} {
		k, ok := h.Kept[key]
		since := (h.Taken - k.Taken) * d.parameters.dispatchers
		if ok && key != 0 && d.door.Now()-k.At < keptFor && since < h.Memory-h.Tokens {
			kept = max(kept, k.Tokens)
		}
	}
	return min(kept, q.Prompt) * h.Hits.Or(1)
}

func (d *Dispatcher) unkept(h *Host, q *Question) float64 { return q.Prompt - d.keeps(h, q) }

// remember feeds the table with what a host has just read or fetched, and the kept tokens it reported.
func (d *Dispatcher) remember(t *Trip, kept float64) {
	h, q, now := t.Host, t.Question, d.door.Now()
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

// chance is the posterior of a host's success: the worse of what trips of any grade say and of the own, as
// a host may fail one only. Failures since the last good trip stay, four at most: more would forget it.
func (d *Dispatcher) chance(h *Host, q *Question) (well, badly float64) {
	well = 1
	for _, i := range []int{0, 1 + q.Grade.Index} {
		r, now := &h.Records[i], d.door.Now()
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

// drawn draws from that whether the host is given work.
func (d *Dispatcher) drawn(well, badly float64) bool {
	return badly == 0 || d.rng.Beta(well, badly) > believe
}

// Heard takes what another dispatcher tells of a host; it counts like an own trip.
func (d *Dispatcher) Heard(n News) {
	if n.Loaded {
		n.Host.Util, n.Host.Queue = n.Util, n.Queue
	}
	d.heardShare(n)
	for _, i := range []int{0, 1 + n.Grade} {
		if i >= len(n.Host.Records) {
			return
		}
		n.Host.Records[i].Take(d.door.Now(), n.Verdict, slowly)
	}
	// A host that can't be reached may be restarting, which the list tells seconds later: cold till then.
	// A broken connection alone says nothing of that; taken so, a rash of resets shuts out the fleet.
	if n.Verdict == Unmet {
		n.Host.Unmet = d.door.Now()
		d.carriedChanged()
	}
}

// share tells a few others of an own trip: at most what the price of messages allows.
func (d *Dispatcher) share(n News) {
	others, own := int(d.parameters.dispatchers)-1, int(d.parameters.number)
	first := int(d.rng.Float() * float64(others))
	for i := range d.listeners {
		d.door.Tell((own+1+(first+i)%others)%(others+1), n)
	}
}

// able lists the hosts of the given roles that the gate lets through: the trusted ones, or all if none
// is. Of those more likely to fail than not, one at a time is drawn for: failing hosts look idle, and if
// each had its own draw, one of many would be taken for nearly every question.
func (d *Dispatcher) able(q *Question, want func(*Host) bool) []*Host {
	var all, trusted, doubtful []*Host
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

// press is how full a host looks for one more question, of which left tokens are to be read there: own
// streams and reading, an average prompt weighing as half a stream, then what it last reported. Over many
// dispatchers these are nearly always nought: then what it was given lately tells, and a lean of its own.
func (d *Dispatcher) press(h *Host, left float64) float64 {
	n := float64(h.Streams) + 1 + h.Lean + (h.Unread+left)/2/max(d.average, 300) +
		lasting*h.Given.Sum(d.door.Now())/(1+d.streams/max(d.answering, 1))
	return n / (h.Size * d.warmth(h)) * (1 + h.Util + h.Queue/5) * h.Far
}

func (d *Dispatcher) next(h *Host) float64 { return d.press(h, 0) }

// route takes the first step: read in place, whole at a mixed host, or at a reader. False: no room.
func (d *Dispatcher) route(q *Question) bool {
	answering := d.able(q, (*Host).Answers)
	roomy := Only(answering, func(h *Host) bool { return hasRoom(h, q) })
	if len(roomy) == 0 && len(answering) > 0 || d.freeMemory(q) < q.Memory {
		return false
	}
	if h := d.inPlace(q, roomy); h != nil {
		return d.send(q, h, Whole, d.onward(q))
	}
	reader := d.reader(q, answering)
	if h := d.mixed(q, roomy, reader); h != nil {
		return d.send(q, h, Whole, d.onward(q))
	}
	return d.send(q, reader, ToRead, d.onward(q))
}

// hasRoom tells whether a host may take the question within its room; an idle one always may.
func hasRoom(h *Host, q *Question) bool {
	return h.Streams == 0 || h.Tokens+q.Memory <= h.Room
}

// inPlace finds the writer that should read a short question itself, by kept prefix against load. While
// a token takes longer at readers than at writers, the cut rises with that, up to fourfold.
func (d *Dispatcher) inPlace(q *Question, roomy []*Host) *Host {
	if !d.parameters.readsInPlace {
		return nil
	}
	tilt := min(max(d.typical[Reads].Or(0)/max(d.typical[Writes].Or(0), 1e-6), 1), 4)
	short := Only(roomy, func(h *Host) bool {
		return h.Role == Writes && d.unkept(h, q) < cutShare*tilt*d.average
	})
	return Least(short, func(h *Host) float64 { return d.next(h) / (1 + d.keeps(h, q)) })
}

// mixed finds the mixed host that should take a question whole: its share is what it carries with less press
// than the best writer and the reader together. What is read there also holds up the answers that run there,
// and so counts twice; more where whole trips take longer lately than a read and a write.
func (d *Dispatcher) mixed(q *Question, roomy []*Host, reader *Host) *Host {
	whole := func(h *Host) float64 { return d.press(h, d.unkept(h, q)) }
	m := Least(d.homes(q, Both, Only(roomy, (*Host).Mixed)), whole)
	w := Least(Only(roomy, func(h *Host) bool { return h.Role == Writes }), d.next)
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

// homes are the two of the hosts to which the question's beginning is hashed, in every dispatcher alike: they
// keep it, though no dispatcher sends it often enough to know. A beginning so common that two would read more
// than their part, and one rack's link carry it, has as many as its share of questions asks for; one whose
// homes all look much fuller than the mean has the next in order too, as hashing with bounded loads does.
// Where one of them is doubted the other serves; only if all are, others read the text anew. Cold hosts that
// may be sent something stand beside them: for the few whose turn it is, few beginnings are at home there.
func (d *Dispatcher) homes(q *Question, role Role, able []*Host) []*Host {
	key := cmp.Or(q.Shared, q.Session)
	all := d.homesInOrder(q, role)
	n := d.homesWanted(key, role, all)
	all = d.withMoreHomes(all, key, role, n, able)
	most := bound * Average(able, d.next)
	fits := func(h *Host) bool { return slices.Contains(able, h) && d.next(h) < most }
	for n < len(all) && !slices.ContainsFunc(all[:n], fits) {
		n++
	}
	homes := Only(all[:min(n, len(all))], func(h *Host) bool { return slices.Contains(able, h) })
	if len(homes) == 0 {
		Order(able, key)
		homes = slices.Clone(able[:min(n, len(able))])
	}
	return append(homes, Only(able, func(h *Host) bool { return d.started(h) && !slices.Contains(homes, h) })...)
}

// reader hashes the question's beginning to two readers and takes the one with fewer own reads, by their
// tokens. As a state best stays in its rack, the reader counts for less whose rack has a freer writer.
func (d *Dispatcher) reader(q *Question, answering []*Host) *Host {
	freest := freestByRack(answering, d.next)
	return Least(d.homes(q, Reads, d.able(q, (*Host).ReadsOnly)), func(h *Host) float64 {
		near, known := freest[h.Rack]
		if !known {
			near = d.next(h) // a rack without writers
		}
		return d.press(h, d.unkept(h, q)) * near
	})
}

// write picks the writer once the read has ended: fewest own streams, least reported load, near the state.
func (d *Dispatcher) write(q *Question) bool {
	if d.mayHold(q) != Allowed {
		return false
	}
	h := Least(d.able(q, (*Host).Answers), func(h *Host) float64 {
		if q.State != nil && h.Rack != q.State.Rack {
			return d.next(h) * crossing
		}
		return d.next(h)
	})
	return d.send(q, h, ToWrite, d.onward(q))
}

// onward takes the result of a trip: a state that waits goes to a writer, all else starts over.
func (d *Dispatcher) onward(q *Question) func(Result) {
	return func(r Result) {
		if q.State != nil && d.write(q) {
			return
		}
		d.again(q)
	}
}

func (d *Dispatcher) takable(q *Question) bool {
	return slices.ContainsFunc(d.hosts, func(h *Host) bool { return h.Answers() && !d.barred(q, h) })
}

// again starts a question over, if a host may still take it, else gives it up at once.
func (d *Dispatcher) again(q *Question) {
	d.settle(q)
	d.letGo(q)
	if !d.takable(q) {
		d.giveUp(q)
		return
	}
	d.enqueue(q)
}

// Began takes word that an answer has started.
func (d *Dispatcher) Began(t *Trip, took time.Duration) {
	if t.Ended || t.Began > 0 {
		return
	}
	t.Began = d.door.Now()
	t.Question.State, t.Question.Released = nil, false
	d.settle(t.Question)
	d.learn(t, took, true, false)
	d.firstToken.Add((t.Began - t.Question.Dispatched).Seconds(), 0.1)
	d.dispatch()
}

// learn lets a trip speak for or against its host, and widens or narrows what it is trusted with.
func (d *Dispatcher) learn(t *Trip, took time.Duration, fine, loaded bool) {
	h, now := t.Host, d.door.Now()
	unit := took.Seconds() / (t.Left + 300)
	slow := unit > 4*d.typical[h.Role].Or(unit)
	if fine {
		d.typical[h.Role].Add(unit, 0.05)
	}
	news := News{Host: h, Grade: t.Question.Grade.Index, Loaded: loaded, Util: h.Util, Queue: h.Queue}
	span := t.Question.Promised - t.Question.Taken
	switch {
	case t.Outcome == Unreached:
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
		news.Share = d.targetShare(t.Question)
	}
	d.share(news)
	one := t.Question.Memory
	// Only time tells of a full host; errors and resets speak through the posterior alone.
	late := took > span/3 || now-t.Question.Taken > span*7/10
	if (late && fine || t.Outcome == TimedOut) && now-h.Cut > took {
		h.Room, h.Cut = max(one, h.Room*0.8), now
	} else if !late && fine && (len(d.queue) > 0 || !hasRoom(h, t.Question)) {
		h.Room += one * one / h.Room
	}
}

// Ended takes the end of a trip, and hands its result to what the trip left behind.
func (d *Dispatcher) Ended(t *Trip, r Result) {
	q, h, now := t.Question, t.Host, d.door.Now()
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
	case Answered:
		if t.Began == 0 {
			d.learn(t, r.Took, true, loaded)
		}
		d.share(News{Host: h, Loaded: loaded, Util: h.Util, Queue: h.Queue})
		q.Grade.Writing.Add(now.Seconds()-t.Began.Seconds(), 0.02)
	case Full:
		if r.Note == 1 {
			q.State, q.Released = nil, false
		}
	case Failed, TimedOut, Unreached, Broken:
		d.learn(t, r.Took, false, loaded)
	}
	if r.Outcome == Read || r.Outcome == Answered {
		d.remember(t, float64(r.Note))
		h.Carried.Add(now, d.weight(q, h, t.Stage))
		d.carriedChanged()
		if t.Stage != ToWrite {
			left := max(q.Prompt-float64(r.Note), 0)
			d.unread.Add(now, left)
			d.asked.Add(now, 1)
			d.begins.Add(cmp.Or(q.Shared, q.Session), now, 1)
			q.Grade.Reading.Add(left, 0.02)
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
func (d *Dispatcher) Left(q *Question) {
	if q.Over {
		return
	}
	q.Over = true
	d.settle(q)
	d.dequeue(q)
	if t := q.Out(); t != nil && t.Began == 0 && d.parameters.cancelling {
		d.door.Cancel(t)
	}
	d.letGo(q)
}
