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
	slack       = 60 * time.Millisecond // of the observation, on a busy machine
	lateMost    = 500 * time.Millisecond
	goneMost    = 100 * time.Millisecond
	drainMost   = 250 * time.Millisecond
	toldLag     = 6 * time.Second        // from when discovery had it and could be reached
	moveLag     = 4 * time.Second        // from SIGHUP
	holdSlack   = 300 * time.Millisecond // beyond what the settings say
	eventsLate  = 300 * time.Millisecond // for which an event may be held back
	lateStreams = 0.1                    // share of the streams of which one may be
	toldMost    = 150 * time.Millisecond
	termMost    = 700 * time.Millisecond // after SIGTERM, for what SIGKILL may find unanswered
	seenLate    = 300 * time.Millisecond // for which the end of a process may be seen late
	copiesApart = 25 * time.Millisecond  // for which a close may be seen late
)

// Verdict is what the oracle finds in a record.
type Verdict struct {
	Violations []Violation
	Chances    map[string]int // how often each rule could have been broken
}

// judge holds a record to the rules.
func judge(r *record, quiet func(dispatcher int) []span) Verdict {
	v := &oracle{record: r, quiet: quiet, Verdict: Verdict{Chances: map[string]int{}}, of: map[string][]*attempt{}}
	for _, a := range r.attempts {
		if a.id != "" {
			v.of[a.id] = append(v.of[a.id], a)
		}
	}
	v.told = map[place][]*listing{}
	for i := range r.listings {
		n := &r.listings[i]
		at := place{n.dispatcher, n.backend}
		v.told[at] = append(v.told[at], n)
	}
	v.countDrains()
	for _, q := range r.requests {
		v.answer(q)
		v.effects(q)
	}
	for _, a := range r.attempts {
		v.drains(a)
		v.deadline(a)
	}
	v.holds()
	v.events()
	v.processes()
	slices.SortFunc(v.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return v.Verdict
}

type oracle struct {
	Verdict
	record  *record
	quiet   func(dispatcher int) []span
	of      map[string][]*attempt
	told    map[place][]*listing
	drained map[int][]drainCount // by dispatcher
}

// place is a backend as a dispatcher knows it.
type place struct {
	dispatcher int
	backend    string
}

func (v *oracle) broke(rule string, at time.Duration, format string, args ...any) {
	v.Violations = append(v.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// excused tells whether a dispatcher that had a request was killed, or stood still, while it had it.
func (v *oracle) excused(q *request, until time.Duration) bool {
	for i, d := range q.to {
		for _, l := range v.record.lives {
			if l.dispatcher == d && l.killed && l.ended >= q.sends[i] && l.ended <= until+seenLate && (l.told == 0 || q.sends[i] <= l.told+termMost) {
				return true
			}
		}
	}
	return false
}

// answer holds a request to its final answer.
func (v *oracle) answer(q *request) {
	if len(q.sends) == 0 || q.gone > 0 && q.gone < q.sends[0]+q.left+lateMost {
		return
	}
	v.Chances[ruleLost]++
	last := len(q.sends) - 1
	due := q.sends[last] + q.left + lateMost + slack + v.record.heldUp(q.to[last], q.sends[last], q.sends[last]+q.left)
	switch {
	case v.excused(q, due):
	case q.status == 0 && q.gone > 0:
		v.broke(ruleLost, due, "request %s to n%v has no answer", q.id, q.to)
	case q.status == 0 && q.refused > 0 && v.record.crowd && len(v.of[q.id]) == 0:
		// It was shut out unread, which idle clients that fill the descriptors may have come to.
	case q.cutOff && len(v.of[q.id]) == 0:
		// It was left unread, and would have been sent again.
	case q.status == 0 && q.refused > 0:
		v.broke(ruleLost, q.refused, "request %s to n%v was closed without an answer", q.id, q.to)
	case q.status != 200 && q.ended > due:
		v.broke(ruleLost, q.ended, "request %s to n%v was answered %d after %v", q.id, q.to, q.status, q.ended-q.sends[last])
	case q.status == 200 && !q.whole && v.finished(q):
		v.broke(ruleLost, q.ended, "request %s to n%v: its backend had finished, and its stream was cut", q.id, q.to)
	}
	for i, d := range q.to[:last] {
		if a := v.forwarded(q, d, q.tries[i], q.tries[i+1]); a != nil && !v.excused(q, q.sends[i+1]) {
			v.broke(ruleLost, a.first, "request %s was read by n%d and closed without an answer", q.id, d)
		}
	}
}

// finished tells whether a backend wrote all of an answer on a connection that was not cut.
func (v *oracle) finished(q *request) bool {
	return slices.ContainsFunc(v.of[q.id], func(a *attempt) bool { return a.finished && (a.closed == 0 || a.closed > a.answered+slack) })
}

// forwarded is an attempt of a request by a dispatcher between two times.
func (v *oracle) forwarded(q *request, dispatcher int, from, to time.Duration) *attempt {
	for _, a := range v.of[q.id] {
		if a.dispatcher == dispatcher && a.first >= from && a.first < to {
			return a
		}
	}
	return nil
}

// effects holds a request's attempts to one effect, and to one at a time.
func (v *oracle) effects(q *request) {
	attempts := v.of[q.id]
	var ran *attempt
	for i, a := range attempts {
		if q.gone > 0 {
			v.Chances[ruleGone]++
			held := v.record.heldUp(a.dispatcher, q.gone, a.first)
			if late := a.first - q.gone; late > goneMost+slack+held {
				v.broke(ruleGone, a.first, "an attempt for %s at %s began %v after its client had closed", q.id, a.backend, late)
			}
		}
		if a.arrived == 0 {
			continue
		}
		for _, b := range attempts[:i] {
			v.Chances[ruleDuplicate]++
			if end := b.end(); b.arrived > 0 && (end == 0 || end > a.arrived+copiesApart) && !v.killedBefore(b, a.arrived) {
				v.broke(ruleDuplicate, a.arrived, "two attempts for %s are out, at %s and %s", q.id, b.backend, a.backend)
			}
		}
		if a.prefill || a.neverRan {
			continue
		}
		if ran != nil && q.class.once && !v.killedWith(ran, a.arrived) {
			v.broke(ruleDuplicate, a.arrived, "request %s may run a second time, at %s after %s", q.id, a.backend, ran.backend)
		}
		if ran != nil && q.class.window > 0 && a.arrived-ran.first > q.class.window+slack && !v.killedWith(ran, a.arrived) {
			v.broke(ruleDuplicate, a.arrived, "request %s may run a second time, at %s %v after %s", q.id, a.backend, a.arrived-ran.first, ran.backend)
		}
		ran = a
	}
	if q.class.once && (q.status == 503 || q.status == 429) {
		v.Chances[ruleDuplicate]++
		if ran != nil && ran.arrived < q.ended && !v.killedWith(ran, q.ended) {
			v.broke(ruleDuplicate, q.ended, "request %s was rejected with %d after an attempt at %s that may have run", q.id, q.status, ran.backend)
		}
	}
}

// killedWith tells whether the process of an attempt was killed before a time. Its client, which saw the connection break, is free to
// send the request again, and answers for that itself.
func (v *oracle) killedWith(a *attempt, at time.Duration) bool {
	l := v.record.lifeAt(a.dispatcher, a.first)
	return l != nil && l.killed && l.ended > 0 && l.ended <= at+seenLate
}

// killedBefore tells whether the process of an attempt was gone at a time: what it left is no attempt that is out.
func (v *oracle) killedBefore(a *attempt, at time.Duration) bool {
	l := v.record.lifeAt(a.dispatcher, a.first)
	return l == nil || l.ended > 0 && l.ended <= at
}

// drains holds an attempt to what its dispatcher had been told of the backend.
func (v *oracle) drains(a *attempt) {
	l := v.record.lifeAt(a.dispatcher, a.first)
	if l == nil {
		return
	}
	var last *listing
	for _, n := range v.told[place{a.dispatcher, a.backend}] {
		if n.at <= a.first {
			last = n
		}
	}
	if v.draining(a.dispatcher, a.first) {
		v.Chances[ruleDrain]++ // it might have gone there
	}
	if last == nil || last.ready {
		return
	}
	told := v.toldAt(l, last)
	held := v.record.heldUp(a.dispatcher, told, a.first)
	if late := a.first - told; late > drainMost+slack+held {
		v.broke(ruleDrain, a.first, "an attempt for %s by n%d to %s began %v after it was told that that one drains", a.id, a.dispatcher, a.backend, late)
	}
}

// draining tells whether some backend drained, as discovery had it for a dispatcher, at a time.
func (v *oracle) draining(dispatcher int, at time.Duration) bool {
	changes := v.drained[dispatcher]
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
	v.drained = map[int][]drainCount{}
	drains := map[place]bool{}
	count := map[int]int{}
	for _, n := range v.record.listings {
		at := place{n.dispatcher, n.backend}
		if drains[at] == n.ready {
			drains[at] = !n.ready
			if n.ready {
				count[n.dispatcher]--
			} else {
				count[n.dispatcher]++
			}
		}
		v.drained[n.dispatcher] = append(v.drained[n.dispatcher], drainCount{n.at, count[n.dispatcher]})
	}
}

// toldAt is when a change counts as told to a process: when it was written to it, or some seconds after discovery had it and could be
// reached at its address.
func (v *oracle) toldAt(l *life, n *listing) time.Duration {
	if n.written > 0 && n.written >= l.began {
		return n.written
	}
	reachable := max(n.at, l.began)
	for _, s := range v.quiet(l.dispatcher) {
		if s.overlaps(reachable, reachable) {
			reachable = s.to
		}
	}
	told := reachable + toldLag
	for _, m := range l.moves {
		if m.overlaps(n.at-moveLag, told) {
			told = max(told, m.to+toldLag)
		}
	}
	return told
}

// deadline holds the deadline that an attempt states to what its client had left.
func (v *oracle) deadline(a *attempt) {
	q := v.record.byID[a.id]
	if q == nil || a.arrived == 0 || len(q.sends) == 0 {
		return
	}
	v.Chances[ruleDeadline]++
	sent := q.sends[0]
	for i, d := range q.to {
		if d == a.dispatcher {
			sent = q.sends[i]
		}
	}
	left := sent + q.left - a.first
	held := v.record.heldUp(a.dispatcher, sent, a.arrived)
	if a.told > left+toldMost+slack+held {
		v.broke(ruleDeadline, a.first, "an attempt for %s by n%d is told %v, its client has %v left", a.id, a.dispatcher, a.told, left)
	}
}

// holds holds what waits for requests to its time: while none of a request's attempts is out.
func (v *oracle) holds() {
	type change struct {
		at   time.Duration
		out  int
		hold int // 1: held, -1: taken or released
		of   *attempt
	}
	changes := map[string][]change{}
	for _, h := range v.record.holds {
		hold := -1
		if h.held {
			hold = 1
		}
		changes[h.id] = append(changes[h.id], change{at: h.at, hold: hold})
	}
	for id, all := range changes {
		for _, a := range v.of[id] {
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
				v.waited(id, since, c.at)
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
			v.waited(id, since, v.record.now())
		}
	}
}

// waited looks whether a state waited too long.
func (v *oracle) waited(id string, from, to time.Duration) {
	v.Chances[ruleHeld]++
	var held time.Duration
	for _, a := range v.of[id] {
		if l := v.record.lifeAt(a.dispatcher, a.first); l == nil || l.killed && l.ended < to {
			return // its process was killed
		}
		held = max(held, v.record.heldUp(a.dispatcher, from, to)+v.record.cutOff(a.dispatcher, from, to))
	}
	if to-from > v.record.hold+holdSlack+slack+held {
		v.broke(ruleHeld, to, "a state for %s waited for %v", id, to-from)
	}
}

// events holds streams to passing events on as they come. On a busy machine a few may be late; most must not be.
func (v *oracle) events() {
	late, worst := 0, time.Duration(0)
	var last *request
	for _, q := range v.record.requests {
		if q.events == 0 || len(q.sends) == 0 {
			continue
		}
		v.Chances[ruleEvents]++
		held := v.record.heldUp(q.to[len(q.to)-1], q.sends[len(q.sends)-1], q.ended)
		if q.late > eventsLate+slack+held {
			late++
			last, worst = q, max(worst, q.late)
		}
	}
	if last != nil && float64(late) > lateStreams*float64(v.Chances[ruleEvents]) {
		v.broke(ruleEvents, last.ended, "%d streams had an event held back, for up to %v, the last for %s by n%v", late, worst, last.id, last.to)
	}
}

// processes holds processes to staying up, and to being ready in time.
func (v *oracle) processes() {
	for _, l := range v.record.lives {
		v.Chances[ruleCrash]++
		if l.crashed != "" {
			v.broke(ruleCrash, l.ended, "n%d: %s", l.dispatcher, l.crashed)
		}
		v.Chances[ruleReady]++
		late := l.ready == 0 && l.ended == 0 && v.record.now()-l.began > readyMost
		if late || l.ready > 0 && l.ready-l.began > readyMost {
			v.broke(ruleReady, l.began+readyMost, "n%d is not ready in time", l.dispatcher)
		}
	}
}
