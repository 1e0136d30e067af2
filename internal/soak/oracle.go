package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Violation is a rule or term that was broken.
type Violation struct {
	Rule string
	At   time.Duration
	Text string
}

// Rules and terms, as the table names them.
const (
	ruleLost      = "lost"
	ruleDuplicate = "duplicate"
	ruleDrain     = "drain"
	ruleHeld      = "held"
	ruleDeadline  = "deadline told"
	ruleGone      = "client gone"
	ruleEvents    = "events late"
	ruleBad       = "bad client"
	ruleCrash     = "crash"
	ruleReady     = "ready"
)

// Rules lists them in the order of the table.
var Rules = []string{ruleLost, ruleDuplicate, ruleDrain, ruleHeld, ruleDeadline, ruleGone, ruleEvents, ruleBad, ruleCrash, ruleReady}

// The terms, and what the observation itself may be off by.
const (
	observationSlack    = 60 * time.Millisecond // of the observation, on a busy machine
	answerGrace         = 500 * time.Millisecond
	clientCloseLimit    = 100 * time.Millisecond
	drainLimit          = 250 * time.Millisecond
	discoveryLag        = 6 * time.Second        // from when discovery had it and could be reached
	reloadLag           = 4 * time.Second        // from SIGHUP
	cacheSlack          = 300 * time.Millisecond // beyond what the settings say
	eventDelayLimit     = 300 * time.Millisecond // for which an event may be held back
	maxLateStreamShare  = 0.1                    // share of the streams of which one may be
	deadlineSlack       = 150 * time.Millisecond
	termLimit           = 700 * time.Millisecond // after SIGTERM, for what SIGKILL may find unanswered
	exitObservationLag  = 300 * time.Millisecond // for which the end of a process may be seen late
	closeObservationLag = 25 * time.Millisecond  // for which a close may be seen late
)

// Verdict is what the oracle finds in a record.
type Verdict struct {
	Violations []Violation
	Chances    map[string]int // how often each rule could have been broken
}

// judge holds a record to the rules.
func checkRecord(r *record, quiet func(dispatcher int) []span) Verdict {
	v := &oracle{record: r, outages: quiet, Verdict: Verdict{Chances: map[string]int{}}, attempts: map[string][]*attempt{}}
	for _, a := range r.attempts {
		if a.id != "" {
			v.attempts[a.id] = append(v.attempts[a.id], a)
		}
	}
	v.stateChanges = map[backendView][]*stateChange{}
	for i := range r.stateChanges {
		n := &r.stateChanges[i]
		at := backendView{n.dispatcher, n.backend}
		v.stateChanges[at] = append(v.stateChanges[at], n)
	}
	v.countDrains()
	for _, q := range r.requests {
		v.checkAnswer(q)
		v.checkEffects(q)
	}
	for _, a := range r.attempts {
		v.checkDrain(a)
		v.checkDeadline(a)
	}
	v.checkCacheReleases()
	v.checkEvents()
	v.checkProcesses()
	slices.SortFunc(v.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return v.Verdict
}

type oracle struct {
	Verdict
	record       *record
	outages      func(dispatcher int) []span
	attempts     map[string][]*attempt
	stateChanges map[backendView][]*stateChange
	drainCounts  map[int][]drainCount // by dispatcher
}

// place is a backend as a dispatcher knows it.
type backendView struct {
	dispatcher int
	backend    string
}

func (v *oracle) addViolation(rule string, at time.Duration, format string, args ...any) {
	v.Violations = append(v.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// excused tells whether a dispatcher that had a request was killed, or stood still, while it had it.
func (v *oracle) excused(q *request, until time.Duration) bool {
	for i, d := range q.dispatchers {
		for _, l := range v.record.processes {
			if l.dispatcher == d && l.killed && l.ended >= q.sentAt[i] && l.ended <= until+exitObservationLag && (l.terminatedAt == 0 || q.sentAt[i] <= l.terminatedAt+termLimit) {
				return true
			}
		}
	}
	return false
}

// answer holds a request to its final answer.
func (v *oracle) checkAnswer(q *request) {
	if len(q.sentAt) == 0 || q.clientClosed > 0 && q.clientClosed < q.sentAt[0]+q.timeout+answerGrace {
		return
	}
	v.Chances[ruleLost]++
	last := len(q.sentAt) - 1
	due := q.sentAt[last] + q.timeout + answerGrace + observationSlack + v.record.stoppedFor(q.dispatchers[last], q.sentAt[last], q.sentAt[last]+q.timeout)
	switch {
	case v.excused(q, due):
	case q.status == 0 && q.clientClosed > 0:
		v.addViolation(ruleLost, due, "request %s to n%v has no answer", q.id, q.dispatchers)
	case q.status == 0 && q.gaveUp > 0 && v.record.crowded && len(v.attempts[q.id]) == 0:
		// It was shut out unread, which idle clients that fill the descriptors may have come to.
	case q.runEnded && len(v.attempts[q.id]) == 0:
		// It was left unread, and would have been sent again.
	case q.status == 0 && q.gaveUp > 0:
		v.addViolation(ruleLost, q.gaveUp, "request %s to n%v was closed without an answer", q.id, q.dispatchers)
	case q.status != 200 && q.answerEnd > due:
		v.addViolation(ruleLost, q.answerEnd, "request %s to n%v was answered %d after %v", q.id, q.dispatchers, q.status, q.answerEnd-q.sentAt[last])
	case q.status == 200 && !q.complete && v.finished(q):
		v.addViolation(ruleLost, q.answerEnd, "request %s to n%v: its backend had finished, and its stream was cut", q.id, q.dispatchers)
	}
	for i, d := range q.dispatchers[:last] {
		if a := v.attemptBetween(q, d, q.sendStarts[i], q.sendStarts[i+1]); a != nil && !v.excused(q, q.sentAt[i+1]) {
			v.addViolation(ruleLost, a.firstByte, "request %s was read by n%d and closed without an answer", q.id, d)
		}
	}
}

// finished tells whether a backend wrote all of an answer on a connection that was not cut.
func (v *oracle) finished(q *request) bool {
	return slices.ContainsFunc(v.attempts[q.id], func(a *attempt) bool { return a.finished && (a.closed == 0 || a.closed > a.answered+observationSlack) })
}

// forwarded is an attempt of a request by a dispatcher between two times.
func (v *oracle) attemptBetween(q *request, dispatcher int, from, to time.Duration) *attempt {
	for _, a := range v.attempts[q.id] {
		if a.dispatcher == dispatcher && a.firstByte >= from && a.firstByte < to {
			return a
		}
	}
	return nil
}

// effects holds a request's attempts to one effect, and to one at a time.
func (v *oracle) checkEffects(q *request) {
	attempts := v.attempts[q.id]
	var ran *attempt
	for i, a := range attempts {
		if q.clientClosed > 0 {
			v.Chances[ruleGone]++
			held := v.record.stoppedFor(a.dispatcher, q.clientClosed, a.firstByte)
			if late := a.firstByte - q.clientClosed; late > clientCloseLimit+observationSlack+held {
				v.addViolation(ruleGone, a.firstByte, "an attempt for %s at %s began %v after its client had closed", q.id, a.backend, late)
			}
		}
		if a.arrived == 0 {
			continue
		}
		for _, b := range attempts[:i] {
			v.Chances[ruleDuplicate]++
			if end := b.end(); b.arrived > 0 && (end == 0 || end > a.arrived+closeObservationLag) && !v.processEndedBy(b, a.arrived) {
				v.addViolation(ruleDuplicate, a.arrived, "two attempts for %s are out, at %s and %s", q.id, b.backend, a.backend)
			}
		}
		if a.prefill || a.neverRan {
			continue
		}
		if ran != nil && q.class.nonIdempotent && !v.processKilledBy(ran, a.arrived) {
			v.addViolation(ruleDuplicate, a.arrived, "request %s may run a second time, at %s after %s", q.id, a.backend, ran.backend)
		}
		if ran != nil && q.class.dedupWindow > 0 && a.arrived-ran.firstByte > q.class.dedupWindow+observationSlack && !v.processKilledBy(ran, a.arrived) {
			v.addViolation(ruleDuplicate, a.arrived, "request %s may run a second time, at %s %v after %s", q.id, a.backend, a.arrived-ran.firstByte, ran.backend)
		}
		ran = a
	}
	if q.class.nonIdempotent && (q.status == 503 || q.status == 429) {
		v.Chances[ruleDuplicate]++
		if ran != nil && ran.arrived < q.answerEnd && !v.processKilledBy(ran, q.answerEnd) {
			v.addViolation(ruleDuplicate, q.answerEnd, "request %s was rejected with %d after an attempt at %s that may have run", q.id, q.status, ran.backend)
		}
	}
}

// killedWith tells whether the process of an attempt was killed before a time. Its client, which saw the connection break, is free to
// send the request again, and answers for that itself.
func (v *oracle) processKilledBy(a *attempt, at time.Duration) bool {
	l := v.record.processAt(a.dispatcher, a.firstByte)
	return l != nil && l.killed && l.ended > 0 && l.ended <= at+exitObservationLag
}

// killedBefore tells whether the process of an attempt was gone at a time: what it left is no attempt that is out.
func (v *oracle) processEndedBy(a *attempt, at time.Duration) bool {
	l := v.record.processAt(a.dispatcher, a.firstByte)
	return l == nil || l.ended > 0 && l.ended <= at
}

// drains holds an attempt to what its dispatcher had been told of the backend.
func (v *oracle) checkDrain(a *attempt) {
	l := v.record.processAt(a.dispatcher, a.firstByte)
	if l == nil {
		return
	}
	var last *stateChange
	for _, n := range v.stateChanges[backendView{a.dispatcher, a.backend}] {
		if n.at <= a.firstByte {
			last = n
		}
	}
	if v.anyDraining(a.dispatcher, a.firstByte) {
		v.Chances[ruleDrain]++ // it might have gone there
	}
	if last == nil || last.ready {
		return
	}
	told := v.notifiedAt(l, last)
	held := v.record.stoppedFor(a.dispatcher, told, a.firstByte)
	if late := a.firstByte - told; late > drainLimit+observationSlack+held {
		v.addViolation(ruleDrain, a.firstByte, "an attempt for %s by n%d to %s began %v after it was told that that one drains", a.id, a.dispatcher, a.backend, late)
	}
}

// draining tells whether some backend drained, as discovery had it for a dispatcher, at a time.
func (v *oracle) anyDraining(dispatcher int, at time.Duration) bool {
	changes := v.drainCounts[dispatcher]
	i, _ := slices.BinarySearchFunc(changes, at, func(c drainCount, at time.Duration) int { return cmp.Compare(c.at, at) })
	return i > 0 && changes[i-1].backends > 0
}

// drainCount is how many backends drain, from a time on.
type drainCount struct {
	at       time.Duration
	backends int
}

// countDrains counts the backends that drain over time, for each dispatcher.
func (v *oracle) countDrains() {
	v.drainCounts = map[int][]drainCount{}
	drains := map[backendView]bool{}
	count := map[int]int{}
	for _, n := range v.record.stateChanges {
		at := backendView{n.dispatcher, n.backend}
		if drains[at] == n.ready {
			drains[at] = !n.ready
			if n.ready {
				count[n.dispatcher]--
			} else {
				count[n.dispatcher]++
			}
		}
		v.drainCounts[n.dispatcher] = append(v.drainCounts[n.dispatcher], drainCount{n.at, count[n.dispatcher]})
	}
}

// toldAt is when a change counts as told to a process: when it was written to it, or some seconds after discovery had it and could be
// reached at its address.
func (v *oracle) notifiedAt(l *process, n *stateChange) time.Duration {
	if n.written > 0 && n.written >= l.started {
		return n.written
	}
	reachable := max(n.at, l.started)
	for _, s := range v.outages(l.dispatcher) {
		if s.overlaps(reachable, reachable) {
			reachable = s.to
		}
	}
	told := reachable + discoveryLag
	for _, m := range l.moves {
		if m.overlaps(n.at-reloadLag, told) {
			told = max(told, m.to+discoveryLag)
		}
	}
	return told
}

// deadline holds the deadline that an attempt states to what its client had left.
func (v *oracle) checkDeadline(a *attempt) {
	q := v.record.byID[a.id]
	if q == nil || a.arrived == 0 || len(q.sentAt) == 0 {
		return
	}
	v.Chances[ruleDeadline]++
	sent := q.sentAt[0]
	for i, d := range q.dispatchers {
		if d == a.dispatcher {
			sent = q.sentAt[i]
		}
	}
	left := sent + q.timeout - a.firstByte
	held := v.record.stoppedFor(a.dispatcher, sent, a.arrived)
	if a.statedDeadline > left+deadlineSlack+observationSlack+held {
		v.addViolation(ruleDeadline, a.firstByte, "an attempt for %s by n%d is told %v, its client has %v left", a.id, a.dispatcher, a.statedDeadline, left)
	}
}

// holds holds what waits for requests to its time: while none of a request's attempts is out.
func (v *oracle) checkCacheReleases() {
	type change struct {
		at   time.Duration
		out  int
		hold int // 1: held, -1: taken or released
		of   *attempt
	}
	changes := map[string][]change{}
	for _, h := range v.record.cacheEvents {
		hold := -1
		if h.stored {
			hold = 1
		}
		changes[h.id] = append(changes[h.id], change{at: h.at, hold: hold})
	}
	for id, all := range changes {
		for _, a := range v.attempts[id] {
			if a.arrived > 0 {
				all = append(all, change{at: a.arrived, out: 1, of: a})
				if end := a.end(); end > 0 {
					all = append(all, change{at: end, out: -1, of: a})
				}
			}
		}
		slices.SortStableFunc(all, func(a, b change) int { return int(a.at - b.at) })
		out, held, since := 0, false, time.Duration(0)
		for _, c := range all {
			if held && out == 0 {
				v.checkCacheTime(id, since, c.at)
			}
			out += c.out
			if c.hold != 0 {
				held = c.hold > 0
			}
			if c.hold > 0 || c.out != 0 {
				since = c.at
			}
		}
		if held && out == 0 {
			v.checkCacheTime(id, since, v.record.now())
		}
	}
}

// waited looks whether a state waited too long.
func (v *oracle) checkCacheTime(id string, from, to time.Duration) {
	v.Chances[ruleHeld]++
	var held time.Duration
	for _, a := range v.attempts[id] {
		if l := v.record.processAt(a.dispatcher, a.firstByte); l == nil || l.killed && l.ended < to {
			return // its process was killed
		}
		held = max(held, v.record.stoppedFor(a.dispatcher, from, to)+v.record.dialOutage(a.dispatcher, from, to))
	}
	if to-from > v.record.cacheTimeout+cacheSlack+observationSlack+held {
		v.addViolation(ruleHeld, to, "a state for %s waited for %v", id, to-from)
	}
}

// events holds streams to passing events on as they come. On a busy machine a few may be late; most must not be.
func (v *oracle) checkEvents() {
	late, worst := 0, time.Duration(0)
	var last *request
	for _, q := range v.record.requests {
		if q.eventCount == 0 || len(q.sentAt) == 0 {
			continue
		}
		v.Chances[ruleEvents]++
		held := v.record.stoppedFor(q.dispatchers[len(q.dispatchers)-1], q.sentAt[len(q.sentAt)-1], q.answerEnd)
		if q.eventDelay > eventDelayLimit+observationSlack+held {
			late++
			last, worst = q, max(worst, q.eventDelay)
		}
	}
	if last != nil && float64(late) > maxLateStreamShare*float64(v.Chances[ruleEvents]) {
		v.addViolation(ruleEvents, last.answerEnd, "%d streams had an event held back, for up to %v, the last for %s by n%v", late, worst, last.id, last.dispatchers)
	}
}

// processes holds processes to staying up, and to being ready in time.
func (v *oracle) checkProcesses() {
	for _, l := range v.record.processes {
		v.Chances[ruleCrash]++
		if l.crashed != "" {
			v.addViolation(ruleCrash, l.ended, "n%d: %s", l.dispatcher, l.crashed)
		}
		v.Chances[ruleReady]++
		late := l.ready == 0 && l.ended == 0 && v.record.now()-l.started > readyLimit
		if late || l.ready > 0 && l.ready-l.started > readyLimit {
			v.addViolation(ruleReady, l.started+readyLimit, "n%d is not ready in time", l.dispatcher)
		}
	}
}
