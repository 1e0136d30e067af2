// Package checker checks the record of a run against the five rules, by what clients, backends and service discovery
// observed and never by what a dispatcher says about itself. It knows the record's events and the scenario's terms
// only, and does no I/O. Begin with Check.
package checker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// Tolerances of the checks. The record has one clock, but each event is written by whichever goroutine gets to run, so
// that events at the two ends of a socket may be out of order by these times.
const (
	answerTolerance      = 20 * time.Millisecond // beside the stated slack, for an answer's way back
	afterAnswerTolerance = 50 * time.Millisecond // for an attempt on its way when its request's answer was sent
	overlapTolerance     = 25 * time.Millisecond // for a backend to notice that an attempt was closed
	drainTolerance       = 20 * time.Millisecond
	idleKVCacheTolerance = 60 * time.Millisecond
	slowStartTolerance   = 1.1              // for chance
	minNotifiedWorkShare = 2.0 / 3          // of a backend's work in slow start, from dispatchers that knew of its start
	maxViolationsListed  = 20               // violations of each rule with a text; all are counted
	endRecordedWithin    = time.Second      // after a dispatcher's connections broke, its end is recorded within this time
	orphanedWithin       = 10 * time.Second // a prefill may hold its KV cache this long after its dispatcher was killed
)

// Rule is the verdict on one rule.
type Rule struct {
	Name           string   `json:"name"`
	Passed         bool     `json:"kept"`
	Checked        int      `json:"checked"`
	ViolationCount int      `json:"broken"`
	Violations     []string `json:"offences,omitempty"`
}

func (r *Rule) addViolation(format string, args ...any) {
	r.ViolationCount++
	if len(r.Violations) < maxViolationsListed {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// ClassRow counts the requests of a class by outcome. All tries of a request count as one, from its first try on.
type ClassRow struct {
	Class          string  `json:"grade"`
	Requests       int     `json:"asked"`
	InTime         int     `json:"in_time"`
	Late           int     `json:"late"`
	Rejected       int     `json:"declined"`
	Failed         int     `json:"forfeited"`
	ClientLeft     int     `json:"quit"`
	ConnectionLost int     `json:"cut"`
	ValueShare     float64 `json:"service"` // value served over value requested
	requestedValue float64
	servedValue    float64
}

// Verdict is the result of checking a run.
type Verdict struct {
	Scenario           string             `json:"day"`
	Rules              []Rule             `json:"rules"`
	Classes            []ClassRow         `json:"grades"`
	ValueShare         float64            `json:"service"` // value served over value requested
	AttemptsPerRequest float64            `json:"trips_a_question"`
	FirstTokenP50Ms    float64            `json:"first_token_p50_ms"`
	FirstTokenP99Ms    float64            `json:"first_token_p99_ms"`
	Tries              int                `json:"tries"`
	Notes              []string           `json:"notes,omitempty"`
	Effects            int                `json:"effects"`
	FollowersByClass   map[string]float64 `json:"followers_by_grade"`
	Followers          float64            `json:"followers"`  // share served of clients following retry advice; -1: none
	Others             float64            `json:"others"`     // share served of the other clients; -1: none
	PeakSlowStartLoad  float64            `json:"cold_worst"` // largest slow-start load, over its bound
	MaxIdleKVCacheMs   float64            `json:"pinned_worst_ms"`
	Usage              *Usage             `json:"cost,omitempty"` // of all attempts, if there are ledgers
}

// Passed reports whether every rule passed.
func (v Verdict) Passed() bool {
	return !slices.ContainsFunc(v.Rules, func(r Rule) bool { return !r.Passed })
}

// clientTry collects the events of one try of a client.
type clientTry struct {
	sent                       record.Event
	firstToken, finalAnswer    *record.Event
	finalAnswers, afterFinal   int
	clientLeft, connectionLost *record.Event
	attempts                   []*attempt
	effects, duplicates        []record.Event
}

// attempt is an attempt that reached a backend, and when it ended there.
type attempt struct {
	record.Event
	endUs int64 // -1 while the end is unknown
}

// destination is the backend that an attempt reached, and the address if the backend has several.
func (t *attempt) destination() string {
	if t.Address == "" {
		return t.Backend
	}
	return t.Backend + " at " + t.Address
}

// index holds a record's events by try, request and dispatcher.
type index struct {
	header   record.Header
	events   []record.Event
	tries    map[string]*clientTry
	order    []string              // ids of tries, in the order they were sent
	attempts map[string][]*attempt // by request key, in order of time
	ended    map[string][]int64    // when each dispatcher was killed or stopped
	started  map[string][]int64    // when each dispatcher started
	endUs    int64                 // of the record
	classes  map[string]setup.Class
}

// Check checks a record against the rules.
func Check(header record.Header, events []record.Event) Verdict {
	idx := newIndex(header, events)
	v := Verdict{Scenario: header.Scenario, Rules: []Rule{idx.checkAnswers(), idx.checkEffects(), idx.checkDrains(), {},
		{}},
		Tries: len(idx.tries)}
	v.Rules[3], v.PeakSlowStartLoad = idx.checkSlowStart(&v.Notes)
	v.Rules[4], v.MaxIdleKVCacheMs = idx.checkKVCacheRelease()
	for i := range v.Rules {
		v.Rules[i].Passed = v.Rules[i].ViolationCount == 0
	}
	idx.summarize(&v)
	v.Followers, v.Others, v.FollowersByClass = ServedByRetryAdvice(events)
	return v
}

func newIndex(header record.Header, events []record.Event) *index {
	idx := &index{
		header: header, events: events, tries: map[string]*clientTry{}, attempts: map[string][]*attempt{},
		ended: map[string][]int64{}, started: map[string][]int64{}, classes: map[string]setup.Class{},
	}
	for _, class := range header.Terms.Classes {
		idx.classes[class.Name] = class
	}
	open := map[string]*attempt{}
	for i, event := range events {
		idx.endUs = max(idx.endUs, event.TimeUs)
		if event.Kind == record.RequestSent {
			idx.tries[event.Try] = &clientTry{sent: event}
			idx.order = append(idx.order, event.Try)
		}
		try := idx.tries[event.Try]
		attemptKey := fmt.Sprintf("%s/%s/%d/%s", event.Backend, event.RequestKey, event.Attempt, event.Phase)
		switch event.Kind {
		case record.ProcessStarted:
			if event.Dispatcher != "" {
				idx.started[event.Dispatcher] = append(idx.started[event.Dispatcher], event.TimeUs)
			}
		case record.ProcessEnded:
			if event.Dispatcher != "" {
				idx.ended[event.Dispatcher] = append(idx.ended[event.Dispatcher], event.TimeUs)
			}
		case record.AttemptReceived:
			received := &attempt{Event: event, endUs: -1}
			// An attempt counts from when its bytes reached the backend's machine: the dispatcher had sent it by then,
			// and it can't influence when the backend's process reads them.
			if event.ArrivedUs > 0 {
				received.TimeUs = event.ArrivedUs
			}
			if event.ClosedUs > 0 {
				received.endUs = max(event.ClosedUs, received.TimeUs)
			}
			open[attemptKey] = received
			idx.attempts[event.RequestKey] = append(idx.attempts[event.RequestKey], received)
			if try != nil {
				try.attempts = append(try.attempts, received)
			}
		case record.AttemptEnded, record.AttemptClosed:
			if received := open[attemptKey]; received != nil && received.endUs < 0 {
				received.endUs = event.TimeUs
			}
		}
		if try == nil {
			continue
		}
		switch event.Kind {
		case record.FirstToken:
			if try.firstToken == nil {
				try.firstToken = &events[i]
			}
		case record.FinalAnswer:
			if try.finalAnswer == nil {
				try.finalAnswer = &events[i]
			}
			try.finalAnswers++
		case record.AfterFinal:
			try.afterFinal++
		case record.ClientLeft:
			try.clientLeft = &events[i]
		case record.ConnectionLost:
			try.connectionLost = &events[i]
		case record.EffectStarted:
			try.effects = append(try.effects, event)
		case record.DuplicateDropped:
			try.duplicates = append(try.duplicates, event)
		}
	}
	for _, attempts := range idx.attempts {
		slices.SortStableFunc(attempts, func(a, b *attempt) int { return cmp.Compare(a.TimeUs, b.TimeUs) })
		for _, a := range attempts {
			if a.endUs < 0 {
				a.endUs = idx.endUs
			}
		}
	}
	return idx
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// endedBetween reports whether a dispatcher was killed or stopped in a span of time.
func (x *index) endedBetween(dispatcher string, fromUs, toUs int64) bool {
	return slices.ContainsFunc(x.ended[dispatcher], func(us int64) bool { return us >= fromUs && us <= toUs })
}

// checkAnswers checks rule 1: each try gets exactly one final answer before its deadline, and nothing after it.
func (x *index) checkAnswers() Rule {
	r := Rule{Name: "1 no question is lost"}
	slackUs := (x.header.Terms.Rules.AnswerSlack.Std() + answerTolerance).Microseconds()
	for _, id := range x.order {
		try := x.tries[id]
		r.Checked++
		dueUs := try.sent.TimeUs + try.sent.DeadlineUs + slackUs
		if try.finalAnswers > 1 || try.afterFinal > 0 {
			r.addViolation("try %s: %d final answers, and %d things after one", id, try.finalAnswers, try.afterFinal)
		}
		switch {
		case try.finalAnswer != nil:
			if try.firstToken != nil && try.firstToken.TimeUs > dueUs ||
				try.firstToken == nil && try.finalAnswer.TimeUs > dueUs {
				seen := try.finalAnswer
				if try.firstToken != nil {
					seen = try.firstToken
				}
				r.addViolation("try %s: answered (%s) %.1f ms after its time of %.0f ms", id, try.finalAnswer.Detail,
					milliseconds(seen.TimeUs-dueUs+slackUs), milliseconds(try.sent.DeadlineUs))
			}
		case try.clientLeft != nil:
		case try.connectionLost != nil:
			unreached := strings.HasPrefix(try.connectionLost.Detail, "unreached") ||
				strings.HasPrefix(try.connectionLost.Detail, "no dispatcher")
			if !unreached && !x.endedBetween(try.sent.Dispatcher, try.sent.TimeUs,
				try.connectionLost.TimeUs+endRecordedWithin.Microseconds()) {
				r.addViolation("try %s: no final answer of %s, which was up: %s", id, try.sent.Dispatcher,
					try.connectionLost.Detail)
			}
		case try.firstToken != nil && x.endUs-try.firstToken.TimeUs < x.header.Terms.Limits.StallTimeout.Std().Microseconds():
			// still streaming when the record ends
		default:
			if !x.endedBetween(try.sent.Dispatcher, try.sent.TimeUs, x.endUs) && x.endUs > dueUs {
				r.addViolation("try %s: nothing came of it", id)
			}
		}
		if try.finalAnswer != nil {
			for _, a := range try.attempts {
				if a.TimeUs > try.finalAnswer.TimeUs+afterAnswerTolerance.Microseconds() {
					r.addViolation("try %s: trip %d reached %s %.1f ms after the final answer (%s)", id, a.Attempt, a.Backend,
						milliseconds(a.TimeUs-try.finalAnswer.TimeUs), try.finalAnswer.Detail)
				}
			}
		}
	}
	return r
}

// checkEffects checks rule 2: no effect happens twice, no request is rejected that may have had an effect, and a
// request never has two attempts in flight.
func (x *index) checkEffects() Rule {
	r := Rule{Name: "2 no effect happens twice"}
	effects := map[string][]record.Event{} // by request
	for _, id := range x.order {
		try := x.tries[id]
		r.Checked++
		class := x.classes[try.sent.Class]
		effects[try.sent.Request] = append(effects[try.sent.Request], try.effects...)
		if class.Effect != "idempotent" && len(try.effects) > 1 {
			r.addViolation("try %s (%s): ran %d times, at %s and %s", id, class.Effect, len(try.effects),
				try.effects[0].Backend, try.effects[1].Backend)
		}
		// Backends that deduplicate only among themselves may repeat an effect when the client retries elsewhere.
		repeatable := class.Effect == "unrepeatable" ||
			class.Effect == "deduplicated" && class.DedupScope != "" && class.DedupScope != "all"
		if repeatable && try.finalAnswer != nil && try.finalAnswer.Detail == "declined" && len(try.effects) > 0 {
			r.addViolation("try %s (%s): declined, but it ran at %s", id, class.Effect, try.effects[0].Backend)
		}
	}
	for _, id := range x.order {
		try := x.tries[id]
		if request := try.sent.Request; x.classes[try.sent.Class].Effect == "unrepeatable" &&
			len(effects[request]) > 1 && effects[request][0].Try != effects[request][1].Try {
			r.addViolation("question %s (unrepeatable): ran for tries %s and %s", request, effects[request][0].Try,
				effects[request][1].Try)
			effects[request] = nil
		}
	}
	for _, key := range sortedKeys(x.attempts) {
		attempts := x.attempts[key]
		for i, a := range attempts {
			for _, b := range attempts[i+1:] {
				if b.TimeUs < a.endUs-overlapTolerance.Microseconds() {
					r.addViolation("question %s (try %s): trips %d at %s and %d at %s were out together for %.1f ms",
						key, a.Try, a.Attempt, a.Backend, b.Attempt, b.Backend, milliseconds(min(a.endUs, b.endUs)-b.TimeUs))
				}
				if b.Attempt == a.Attempt {
					r.addViolation("question %s (try %s): trip %d reached %s and %s", key, a.Try, a.Attempt,
						a.destination(), b.destination())
				}
			}
		}
	}
	return r
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// dispatcherOf is the dispatcher's name in a request key such as d0.1a2b3c/17.
func dispatcherOf(key string) string {
	epoch, _, _ := strings.Cut(key, "/")
	if i := strings.LastIndexByte(epoch, '.'); i >= 0 {
		return epoch[:i]
	}
	return epoch
}

// checkDrains checks rule 3: no dispatcher sends an attempt to a backend later than the grace period after service
// discovery notified it that the backend is draining or removed.
func (x *index) checkDrains() Rule {
	r := Rule{Name: "3 drains are kept"}
	graceUs := (x.header.Terms.Rules.DrainGrace.Std() + drainTolerance).Microseconds()
	type pair struct{ dispatcher, backend string }
	notifiedUs := map[pair]int64{}
	for _, event := range x.events {
		switch event.Kind {
		case record.EndpointNotified:
			p := pair{event.Dispatcher, event.Backend}
			if event.Detail == "ready" {
				delete(notifiedUs, p)
			} else if _, known := notifiedUs[p]; !known {
				notifiedUs[p] = event.TimeUs
			}
		case record.ProcessStarted:
			if event.Dispatcher != "" { // a new process has not been notified of anything yet
				for p := range notifiedUs {
					if p.dispatcher == event.Dispatcher {
						delete(notifiedUs, p)
					}
				}
			}
		case record.AttemptReceived:
			r.Checked++
			dispatcher := dispatcherOf(event.RequestKey)
			if event.ArrivedUs > 0 {
				event.TimeUs = event.ArrivedUs
			}
			if us, known := notifiedUs[pair{dispatcher, event.Backend}]; known && event.TimeUs > us+graceUs {
				r.addViolation("try %s: %s sent trip %d to %s %.0f ms after it was told that the box drains or is gone",
					event.Try, dispatcher, event.Attempt, event.Backend, milliseconds(event.TimeUs-us))
			}
		}
	}
	return r
}

// checkSlowStart checks rule 4: the work that reaches a backend in slow start, in any window, stays under multiple x
// present capacity x window. More than that breaks the rule if at least two thirds of the work came from dispatchers
// that had been notified of the start; else it is noted.
func (x *index) checkSlowStart(notes *[]string) (r Rule, peakLoad float64) {
	r.Name = "4 no cold box is pushed over"
	rules := x.header.Terms.Rules
	windowUs, rampUs := rules.SlowStartWindow.Std().Microseconds(), rules.SlowStartRamp.Std().Microseconds()
	type start struct {
		timeUs     int64
		notified   map[string]bool // dispatchers
		inWindow   []record.Event  // attempts of the present window
		overloaded bool            // noted or reported already
	}
	current, starts := map[string]*start{}, map[uint64]*start{}
	for _, event := range x.events {
		switch {
		case event.Kind == record.ProcessStarted && event.Backend != "":
			current[event.Backend] = nil
			if event.SlowStart {
				newStart := &start{timeUs: event.TimeUs, notified: map[string]bool{}}
				current[event.Backend], starts[event.StartID] = newStart, newStart
			}
		case event.Kind == record.EndpointNotified && starts[event.StartID] != nil:
			starts[event.StartID].notified[event.Dispatcher] = true
		case event.Kind == record.AttemptReceived && current[event.Backend] != nil:
			newStart := current[event.Backend]
			if event.TimeUs-newStart.timeUs > rampUs {
				continue
			}
			r.Checked++
			newStart.inWindow = append(newStart.inWindow, event)
			for newStart.inWindow[0].TimeUs < event.TimeUs-windowUs {
				newStart.inWindow = newStart.inWindow[1:]
			}
			work, notifiedWork := 0.0, 0.0
			for _, a := range newStart.inWindow {
				work += a.Work
				if newStart.notified[dispatcherOf(a.RequestKey)] {
					notifiedWork += a.Work
				}
			}
			capacityShare := rules.SlowStartShare +
				(1-rules.SlowStartShare)*float64(event.TimeUs-newStart.timeUs)/float64(rampUs)
			load := work / (rules.SlowStartMultiple * capacityShare * rules.SlowStartWindow.Std().Seconds())
			if notifiedWork >= minNotifiedWorkShare*work {
				peakLoad = max(peakLoad, load)
			}
			if load <= slowStartTolerance || newStart.overloaded {
				continue
			}
			newStart.overloaded = true
			if notifiedWork >= minNotifiedWorkShare*work {
				r.addViolation("%s, up cold for %.1f s, was sent %.2f s of work in %v, of at most %.2f s", event.Backend,
					milliseconds(event.TimeUs-newStart.timeUs)/1000, work, rules.SlowStartWindow.Std(), work/load)
			} else {
				*notes = append(*notes, fmt.Sprintf("%s was sent %.2f times what it bears while cold, "+
					"by dispatchers that were not told of its start", event.Backend, load))
			}
		}
	}
	return r, peakLoad
}

// checkKVCacheRelease checks rule 5: how long a request's KV cache is held while none of its attempts is in flight.
func (x *index) checkKVCacheRelease() (r Rule, maxIdleMs float64) {
	r.Name = "5 nothing is left pinned"
	limitUs := (x.header.Terms.Rules.KVCacheHoldLimit.Std() + idleKVCacheTolerance).Microseconds()
	holds := map[string]record.Event{}
	check := func(from record.Event, toUs int64, reason string) {
		r.Checked++
		idleUs, busyUntilUs := int64(0), from.TimeUs
		for _, a := range x.attempts[from.RequestKey] { // in order of time
			if a.TimeUs > busyUntilUs {
				idleUs = max(idleUs, min(a.TimeUs, toUs)-busyUntilUs)
			}
			busyUntilUs = max(busyUntilUs, min(a.endUs, toUs))
		}
		idleUs = max(idleUs, toUs-busyUntilUs)
		if x.endedBetween(dispatcherOf(from.RequestKey), from.TimeUs-orphanedWithin.Microseconds(), toUs) {
			return // the backend itself frees what a killed dispatcher didn't release
		}
		maxIdleMs = max(maxIdleMs, milliseconds(idleUs))
		if idleUs > limitUs {
			r.addViolation("question %s (try %s): its state waited %.0f ms at %s with no trip out, until %s",
				from.RequestKey, from.Try, milliseconds(idleUs), from.Backend, reason)
		}
	}
	for _, event := range x.events {
		key := event.Backend + " " + event.RequestKey
		switch event.Kind {
		case record.KVCacheHeld:
			holds[key] = event
		case record.KVCacheReleased:
			if from, ok := holds[key]; ok {
				check(from, event.TimeUs, event.Detail)
				delete(holds, key)
			}
		}
	}
	for _, key := range sortedKeys(holds) {
		check(holds[key], x.endUs, "the end")
	}
	return r, maxIdleMs
}

// summarize counts the outcomes and the value of requests.
func (x *index) summarize(verdict *Verdict) {
	rows := map[string]*ClassRow{}
	for _, class := range x.header.Terms.Classes {
		rows[class.Name] = &ClassRow{Class: class.Name}
	}
	var requests []string
	tries := map[string][]*clientTry{} // by request
	attempts := 0
	for _, id := range x.order {
		try := x.tries[id]
		request := try.sent.Request
		if tries[request] == nil {
			requests = append(requests, request)
		}
		tries[request] = append(tries[request], try)
		attempts += len(try.attempts)
		verdict.Effects += len(try.effects)
	}
	var firstTokenMs []float64
	for _, request := range requests {
		all := tries[request]
		first, last := all[0], all[len(all)-1]
		row, class := rows[first.sent.Class], x.classes[first.sent.Class]
		if row == nil {
			continue
		}
		value := class.Value
		if x.header.Terms.Limits.ValueByWork {
			value *= float64(first.sent.Tokens)
		}
		row.Requests++
		row.requestedValue += value
		switch {
		case last.finalAnswer != nil && last.finalAnswer.Detail == "satisfied":
			servedUs := last.finalAnswer.TimeUs
			if last.firstToken != nil {
				servedUs = last.firstToken.TimeUs
			}
			firstTokenMs = append(firstTokenMs, milliseconds(servedUs-first.sent.TimeUs))
			if servedUs-first.sent.TimeUs <= first.sent.LatencyTargetUs {
				row.InTime++
				row.servedValue += value
			} else {
				row.Late++
				row.servedValue += value * class.LateValue
			}
		case last.finalAnswer != nil && last.finalAnswer.Detail == "declined":
			row.Rejected++
		case last.finalAnswer != nil:
			row.Failed++
		case last.clientLeft != nil:
			row.ClientLeft++
		default:
			row.ConnectionLost++
		}
	}
	requestedValue, servedValue := 0.0, 0.0
	for _, class := range x.header.Terms.Classes {
		row := rows[class.Name]
		requestedValue, servedValue = requestedValue+row.requestedValue, servedValue+row.servedValue
		row.ValueShare = row.servedValue / max(row.requestedValue, 1e-9)
		verdict.Classes = append(verdict.Classes, *row)
	}
	verdict.ValueShare = servedValue / max(requestedValue, 1e-9)
	verdict.AttemptsPerRequest = float64(attempts) / float64(max(len(requests), 1))
	slices.SortFunc(firstTokenMs, cmp.Compare)
	if n := len(firstTokenMs); n > 0 {
		verdict.FirstTokenP50Ms, verdict.FirstTokenP99Ms = firstTokenMs[n/2], firstTokenMs[min(n*99/100, n-1)]
	}
}

// Text formats a verdict for people.
func (v Verdict) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-14s %6s %8s %6s %9s %10s %6s %5s %8s\n", "grade", "asked", "in time", "late", "declined",
		"forfeited", "quit", "cut", "service")
	for _, row := range v.Classes {
		fmt.Fprintf(&b, "%-14s %6d %8d %6d %9d %10d %6d %5d %8.3f\n", row.Class, row.Requests, row.InTime, row.Late,
			row.Rejected, row.Failed, row.ClientLeft, row.ConnectionLost, row.ValueShare)
	}
	fmt.Fprintf(&b, "service %.3f (benefit answered in time over benefit asked for); %.2f trips a question; "+
		"first token p50 %.0f ms, p99 %.0f ms\n", v.ValueShare, v.AttemptsPerRequest, v.FirstTokenP50Ms, v.FirstTokenP99Ms)
	if v.Followers >= 0 && v.Others >= 0 {
		fmt.Fprintf(&b, "satisfied in the end: %.3f of those that follow the advice when to come back, %.3f of the others\n",
			v.Followers, v.Others)
		for _, class := range slices.Sorted(maps.Keys(v.FollowersByClass)) {
			fmt.Fprintf(&b, "  of %s %.3f\n", class, v.FollowersByClass[class])
		}
	}
	if u := v.Usage; u != nil {
		fmt.Fprintf(&b, "boxes counted %d trips, %d tokens read, %d found kept, %d answered\n", u.Attempts, u.PrefillTokens,
			u.CachedTokens, u.AnswerTokens)
	}
	fmt.Fprintf(&b, "cold boxes were sent %.0f%% of what they bear at most; "+
		"states waited %.0f ms at most with no trip out\n", 100*v.PeakSlowStartLoad, v.MaxIdleKVCacheMs)
	for _, r := range v.Rules {
		result := "kept"
		if !r.Passed {
			result = fmt.Sprintf("BROKEN %d times", r.ViolationCount)
		}
		fmt.Fprintf(&b, "rule %-32s %s (%d looked at)\n", r.Name, result, r.Checked)
		if len(r.Violations) > 0 {
			fmt.Fprintf(&b, "  first: %s\n", r.Violations[0])
		}
	}
	for _, n := range v.Notes {
		fmt.Fprintf(&b, "note: %s\n", n)
	}
	return b.String()
}
