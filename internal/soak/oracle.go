package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule string
	At   time.Duration // since the start of the run
	Text string
}

// Rules as the table names them.
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
	ruleLimits    = "limits"
	ruleReady     = "ready"
)

// Rules lists the rules in the order of the table.
var Rules = []string{
	ruleLost, ruleDuplicate, ruleDrain, ruleHeld, ruleDeadline, ruleGone, ruleEvents, ruleBad, ruleCrash, ruleLimits,
	ruleReady,
}

// Limits of the rules, and tolerances for the inaccuracy of the observation itself.
const (
	observationSlack    = 60 * time.Millisecond // tolerance of every observation, on a busy machine
	answerGrace         = 500 * time.Millisecond
	clientCloseLimit    = 100 * time.Millisecond
	drainLimit          = 250 * time.Millisecond
	discoveryLag        = 6 * time.Second        // after a change is listed and discovery can be reached
	reloadLag           = 4 * time.Second        // after SIGHUP
	cacheSlack          = 300 * time.Millisecond // beyond the limit in the settings
	eventDelayLimit     = 300 * time.Millisecond // for which an event may be delayed
	maxLateStreamShare  = 0.1                    // share of the streams that may have an event delayed for longer
	deadlineSlack       = 150 * time.Millisecond
	termLimit           = 700 * time.Millisecond // after SIGTERM; requests sent later may be unanswered at SIGKILL
	exitObservationLag  = 300 * time.Millisecond // by which the exit of a process may be observed late
	closeObservationLag = 25 * time.Millisecond  // by which a close may be observed late
)

// Verdict is what the oracle finds in a record.
type Verdict struct {
	Violations []Violation
	Chances    map[string]int // how often each rule was checked
}

// checkRecord checks a record against the rules.
func checkRecord(r *record, outages func(dispatcher int) []span) Verdict {
	v := &oracle{
		record: r, outages: outages, Verdict: Verdict{Chances: map[string]int{}}, attempts: map[string][]*attempt{},
	}
	for _, a := range r.attempts {
		if a.id != "" {
			v.attempts[a.id] = append(v.attempts[a.id], a)
		}
	}
	v.stateChanges = map[backendView][]*stateChange{}
	for i := range r.stateChanges {
		change := &r.stateChanges[i]
		view := backendView{change.dispatcher, change.backend}
		v.stateChanges[view] = append(v.stateChanges[view], change)
	}
	v.countDrains()
	for _, req := range r.requests {
		v.checkAnswer(req)
		v.checkEffects(req)
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

// oracle checks one record.
type oracle struct {
	Verdict
	record       *record
	outages      func(dispatcher int) []span // of the dispatcher's discovery
	attempts     map[string][]*attempt       // by request id
	stateChanges map[backendView][]*stateChange
	drainCounts  map[int][]drainCount // by dispatcher
}

// backendView is a backend as one dispatcher sees it.
type backendView struct {
	dispatcher int
	backend    string
}

func (v *oracle) addViolation(rule string, at time.Duration, format string, args ...any) {
	v.Violations = append(v.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// excused reports whether a dispatcher was killed while it had the request. That excuses no request sent later than
// termLimit after SIGTERM.
func (v *oracle) excused(req *request, until time.Duration) bool {
	for i, dispatcher := range req.dispatchers {
		for _, p := range v.record.processes {
			if p.dispatcher == dispatcher && p.killed && p.ended >= req.sentAt[i] && p.ended <= until+exitObservationLag &&
				(p.terminatedAt == 0 || req.sentAt[i] <= p.terminatedAt+termLimit) {
				return true
			}
		}
	}
	return false
}

// checkAnswer checks that a request got its final answer in time, and that no send of it was read and closed
// unanswered.
func (v *oracle) checkAnswer(req *request) {
	if len(req.sentAt) == 0 || req.clientClosed > 0 && req.clientClosed < req.sentAt[0]+req.timeout+answerGrace {
		return
	}
	v.Chances[ruleLost]++
	last := len(req.sentAt) - 1
	due := req.sentAt[last] + req.timeout + answerGrace + observationSlack +
		v.record.stoppedFor(req.dispatchers[last], req.sentAt[last], req.sentAt[last]+req.timeout)
	switch {
	case v.excused(req, due):
	case req.status == 0 && req.clientClosed > 0:
		v.addViolation(ruleLost, due, "request %s to n%v has no answer", req.id, req.dispatchers)
	case req.status == 0 && req.gaveUp > 0 && v.record.crowded && len(v.attempts[req.id]) == 0:
		// The connection was closed unread, which idle clients that use up the descriptors can cause.
	case req.runEnded && len(v.attempts[req.id]) == 0:
		// The request was left unread, and would have been sent again.
	case req.status == 0 && req.gaveUp > 0:
		v.addViolation(ruleLost, req.gaveUp, "request %s to n%v was closed without an answer", req.id, req.dispatchers)
	case req.status != 200 && req.answerEnd > due:
		v.addViolation(ruleLost, req.answerEnd, "request %s to n%v was answered %d after %v",
			req.id, req.dispatchers, req.status, req.answerEnd-req.sentAt[last])
	case req.status == 200 && !req.complete && v.finished(req):
		v.addViolation(ruleLost, req.answerEnd, "request %s to n%v: its backend had finished, and its stream was cut",
			req.id, req.dispatchers)
	}
	for i, dispatcher := range req.dispatchers[:last] {
		if a := v.attemptBetween(req, dispatcher, req.sendStarts[i], req.sendStarts[i+1]); a != nil &&
			!v.excused(req, req.sentAt[i+1]) {
			v.addViolation(ruleLost, a.firstByte, "request %s was read by n%d and closed without an answer", req.id, dispatcher)
		}
	}
}

// finished reports whether a backend wrote all of an answer on a connection that was not closed before.
func (v *oracle) finished(req *request) bool {
	return slices.ContainsFunc(v.attempts[req.id], func(a *attempt) bool {
		return a.finished && (a.closed == 0 || a.closed > a.answered+observationSlack)
	})
}

// attemptBetween returns an attempt of a request by a dispatcher that began in a period, or nil.
func (v *oracle) attemptBetween(req *request, dispatcher int, from, to time.Duration) *attempt {
	for _, a := range v.attempts[req.id] {
		if a.dispatcher == dispatcher && a.firstByte >= from && a.firstByte < to {
			return a
		}
	}
	return nil
}

// checkEffects checks that a request has at most one attempt in flight, does not run twice if that is not allowed,
// and has no attempt that begins after its client has closed.
func (v *oracle) checkEffects(req *request) {
	attempts := v.attempts[req.id]
	var ran *attempt
	for i, a := range attempts {
		if req.clientClosed > 0 {
			v.Chances[ruleGone]++
			stopped := v.record.stoppedFor(a.dispatcher, req.clientClosed, a.firstByte)
			if late := a.firstByte - req.clientClosed; late > clientCloseLimit+observationSlack+stopped {
				v.addViolation(ruleGone, a.firstByte, "an attempt for %s at %s began %v after its client had closed",
					req.id, a.backend, late)
			}
		}
		if a.arrived == 0 {
			continue
		}
		for _, earlier := range attempts[:i] {
			v.Chances[ruleDuplicate]++
			if end := earlier.end(); earlier.arrived > 0 && (end == 0 || end > a.arrived+closeObservationLag) &&
				!v.processEndedBy(earlier, a.arrived) {
				v.addViolation(ruleDuplicate, a.arrived, "two attempts for %s are out, at %s and %s",
					req.id, earlier.backend, a.backend)
			}
		}
		if a.prefill || a.neverRan {
			continue
		}
		if ran != nil && req.class.nonIdempotent && !v.processKilledBy(ran, a.arrived) {
			v.addViolation(ruleDuplicate, a.arrived, "request %s may run a second time, at %s after %s",
				req.id, a.backend, ran.backend)
		}
		if ran != nil && req.class.dedupWindow > 0 && a.arrived-ran.firstByte > req.class.dedupWindow+observationSlack &&
			!v.processKilledBy(ran, a.arrived) {
			v.addViolation(ruleDuplicate, a.arrived, "request %s may run a second time, at %s %v after %s",
				req.id, a.backend, a.arrived-ran.firstByte, ran.backend)
		}
		ran = a
	}
	if req.class.nonIdempotent && (req.status == 503 || req.status == 429) {
		v.Chances[ruleDuplicate]++
		if ran != nil && ran.arrived < req.answerEnd && !v.processKilledBy(ran, req.answerEnd) {
			v.addViolation(ruleDuplicate, req.answerEnd,
				"request %s was rejected with %d after an attempt at %s that may have run", req.id, req.status, ran.backend)
		}
	}
}

// processKilledBy reports whether the process that made an attempt was killed before a time. The client, which saw
// the connection break, may then send the request again and is itself responsible for the repeat.
func (v *oracle) processKilledBy(a *attempt, at time.Duration) bool {
	p := v.record.processAt(a.dispatcher, a.firstByte)
	return p != nil && p.killed && p.ended > 0 && p.ended <= at+exitObservationLag
}

// processEndedBy reports whether the process that made an attempt had ended at a time. The attempt is then no longer
// in flight.
func (v *oracle) processEndedBy(a *attempt, at time.Duration) bool {
	p := v.record.processAt(a.dispatcher, a.firstByte)
	return p == nil || p.ended > 0 && p.ended <= at
}

// checkDrain checks that an attempt was not sent to a backend after its dispatcher was notified that it drains.
func (v *oracle) checkDrain(a *attempt) {
	p := v.record.processAt(a.dispatcher, a.firstByte)
	if p == nil {
		return
	}
	var last *stateChange
	for _, change := range v.stateChanges[backendView{a.dispatcher, a.backend}] {
		if change.at <= a.firstByte {
			last = change
		}
	}
	if v.anyDraining(a.dispatcher, a.firstByte) {
		v.Chances[ruleDrain]++ // the attempt could have been sent to a draining backend
	}
	if last == nil || last.ready {
		return
	}
	notified := v.notifiedAt(p, last)
	stopped := v.record.stoppedFor(a.dispatcher, notified, a.firstByte)
	if late := a.firstByte - notified; late > drainLimit+observationSlack+stopped {
		v.addViolation(ruleDrain, a.firstByte,
			"an attempt for %s by n%d to %s began %v after it was told that that one drains",
			a.id, a.dispatcher, a.backend, late)
	}
}

// anyDraining reports whether the discovery list of a dispatcher had a draining backend at a time.
func (v *oracle) anyDraining(dispatcher int, at time.Duration) bool {
	changes := v.drainCounts[dispatcher]
	i, _ := slices.BinarySearchFunc(changes, at, func(c drainCount, at time.Duration) int { return cmp.Compare(c.at, at) })
	return i > 0 && changes[i-1].backends > 0
}

// drainCount is the number of draining backends from a time on.
type drainCount struct {
	at       time.Duration
	backends int
}

// countDrains computes the number of draining backends over time for each dispatcher.
func (v *oracle) countDrains() {
	v.drainCounts = map[int][]drainCount{}
	draining := map[backendView]bool{}
	count := map[int]int{}
	for _, change := range v.record.stateChanges {
		view := backendView{change.dispatcher, change.backend}
		if draining[view] == change.ready {
			draining[view] = !change.ready
			if change.ready {
				count[change.dispatcher]--
			} else {
				count[change.dispatcher]++
			}
		}
		v.drainCounts[change.dispatcher] = append(v.drainCounts[change.dispatcher],
			drainCount{change.at, count[change.dispatcher]})
	}
}

// notifiedAt returns when a process counts as notified of a change: when the change was written to it, when it started
// if its agent had the change by then, or discoveryLag after it was listed and discovery could be reached at its address.
func (v *oracle) notifiedAt(p *process, change *stateChange) time.Duration {
	if change.written > 0 && change.written >= p.started {
		return change.written
	}
	if v.reachableFrom(p.dispatcher, change.at) < p.started {
		return p.started
	}
	notified := v.reachableFrom(p.dispatcher, max(change.at, p.started)) + discoveryLag
	for _, move := range p.moves {
		if move.overlaps(change.at-reloadLag, notified) {
			notified = max(notified, move.to+discoveryLag)
		}
	}
	return notified
}

// reachableFrom returns from when on, at the given time or later, the agent of a dispatcher hears changes and answers.
func (v *oracle) reachableFrom(dispatcher int, at time.Duration) time.Duration {
	for _, outage := range v.outages(dispatcher) {
		if outage.overlaps(at, at) {
			at = outage.to
		}
	}
	return at
}

// checkDeadline checks that an attempt states no more time than its client has left.
func (v *oracle) checkDeadline(a *attempt) {
	req := v.record.byID[a.id]
	if req == nil || a.arrived == 0 || len(req.sentAt) == 0 {
		return
	}
	v.Chances[ruleDeadline]++
	sent := req.sentAt[0]
	for i, dispatcher := range req.dispatchers {
		if dispatcher == a.dispatcher {
			sent = req.sentAt[i]
		}
	}
	remaining := sent + req.timeout - a.firstByte
	stopped := v.record.stoppedFor(a.dispatcher, sent, a.arrived)
	if a.statedDeadline > remaining+deadlineSlack+observationSlack+stopped {
		v.addViolation(ruleDeadline, a.firstByte, "an attempt for %s by n%d is told %v, its client has %v left",
			a.id, a.dispatcher, a.statedDeadline, remaining)
	}
}

// checkCacheReleases checks for how long KV caches are held while their request has no attempt in flight.
func (v *oracle) checkCacheReleases() {
	type change struct {
		at       time.Duration
		inFlight int // change of the number of attempts in flight
		cache    int // 1: stored, -1: taken or released
		attempt  *attempt
	}
	changes := map[string][]change{}
	for _, event := range v.record.cacheEvents {
		cache := -1
		if event.stored {
			cache = 1
		}
		changes[event.id] = append(changes[event.id], change{at: event.at, cache: cache})
	}
	for id, all := range changes {
		for _, a := range v.attempts[id] {
			if a.arrived > 0 {
				all = append(all, change{at: a.arrived, inFlight: 1, attempt: a})
				if end := a.end(); end > 0 {
					all = append(all, change{at: end, inFlight: -1, attempt: a})
				}
			}
		}
		slices.SortStableFunc(all, func(a, b change) int { return int(a.at - b.at) })
		inFlight, held, since := 0, false, time.Duration(0)
		for _, c := range all {
			if held && inFlight == 0 {
				v.checkCacheTime(id, since, c.at)
			}
			inFlight += c.inFlight
			if c.cache != 0 {
				held = c.cache > 0
			}
			if c.cache > 0 || c.inFlight != 0 {
				since = c.at
			}
		}
		if held && inFlight == 0 {
			v.checkCacheTime(id, since, v.record.now())
		}
	}
}

// checkCacheTime checks a period in which a KV cache was held without an attempt in flight.
func (v *oracle) checkCacheTime(id string, from, to time.Duration) {
	v.Chances[ruleHeld]++
	var delay time.Duration
	for _, a := range v.attempts[id] {
		if p := v.record.processAt(a.dispatcher, a.firstByte); p == nil || p.killed && p.ended < to {
			return // the process that would have released it was killed
		}
		delay = max(delay, v.record.stoppedFor(a.dispatcher, from, to)+v.record.dialOutage(a.dispatcher, from, to))
	}
	if to-from > v.record.cacheTimeout+cacheSlack+observationSlack+delay {
		v.addViolation(ruleHeld, to, "a state for %s waited for %v", id, to-from)
	}
}

// checkEvents checks that streams pass events on without delay. On a busy machine a few streams may be late, but not
// more than maxLateStreamShare.
func (v *oracle) checkEvents() {
	late, worst := 0, time.Duration(0)
	var last *request
	for _, req := range v.record.requests {
		if req.eventCount == 0 || len(req.sentAt) == 0 {
			continue
		}
		v.Chances[ruleEvents]++
		stopped := v.record.stoppedFor(req.dispatchers[len(req.dispatchers)-1], req.sentAt[len(req.sentAt)-1], req.answerEnd)
		if req.eventDelay > eventDelayLimit+observationSlack+stopped {
			late++
			last, worst = req, max(worst, req.eventDelay)
		}
	}
	if last != nil && float64(late) > maxLateStreamShare*float64(v.Chances[ruleEvents]) {
		v.addViolation(ruleEvents, last.answerEnd,
			"%d streams had an event held back, for up to %v, the last for %s by n%v", late, worst, last.id, last.dispatchers)
	}
}

// checkProcesses checks that processes do not exit by themselves and become ready within readyLimit.
func (v *oracle) checkProcesses() {
	for _, p := range v.record.processes {
		v.Chances[ruleCrash]++
		v.Chances[ruleLimits] += p.usageSamples
		if p.exceeded.text != "" {
			v.addViolation(ruleLimits, p.exceeded.at, "n%d: %s", p.dispatcher, p.exceeded.text)
		}
		if p.crashed != "" {
			v.addViolation(ruleCrash, p.ended, "n%d: %s", p.dispatcher, p.crashed)
		}
		v.Chances[ruleReady]++
		late := p.ready == 0 && p.ended == 0 && v.record.now()-p.started > readyLimit
		if late || p.ready > 0 && p.ready-p.started > readyLimit {
			v.addViolation(ruleReady, p.started+readyLimit, "n%d is not ready in time", p.dispatcher)
		}
	}
}
