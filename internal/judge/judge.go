// Package judge reads the record of a run and judges the five rules by it: by what clients, boxes and the list
// saw, never by what a dispatcher says of itself. It knows the record's form and the brief's figures only, and
// does no I/O. Begin with Judge.
package judge

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

// What the far ends' clocks and the sockets between may differ by. The record has one clock, but a line is taken
// down by whichever goroutine gets to run.
const (
	answerRoom = 20 * time.Millisecond // beside the stated slack, for an answer's way back
	afterRoom  = 50 * time.Millisecond // for a trip that was on its way when its question's answer was
	tripsRoom  = 25 * time.Millisecond // for a box to notice that a trip was closed
	drainRoom  = 20 * time.Millisecond
	pinRoom    = 60 * time.Millisecond
	coldRoom   = 1.1 // for chance
	toldShare  = 2.0 / 3
	mostFound  = 20 // offences kept of each rule
)

// Rule is one rule's verdict.
type Rule struct {
	Name           string   `json:"name"`
	Passed         bool     `json:"kept"`
	Checked        int      `json:"checked"`
	ViolationCount int      `json:"broken"`
	Violations     []string `json:"offences,omitempty"`
}

func (r *Rule) offence(format string, args ...any) {
	r.ViolationCount++
	if len(r.Violations) < mostFound {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// Row counts the questions of a grade; a client's tries belong to its first.
type ClassRow struct {
	Class          string  `json:"grade"`
	Requests       int     `json:"asked"`
	InTime         int     `json:"in_time"`
	Late           int     `json:"late"`
	Rejected       int     `json:"declined"`
	Failed         int     `json:"forfeited"`
	ClientLeft     int     `json:"quit"`
	ConnectionLost int     `json:"cut"`
	ValueShare     float64 `json:"service"`
	benefit        float64
	earned         float64
}

// Verdict is what a run comes to.
type Verdict struct {
	Scenario           string             `json:"day"`
	Rules              []Rule             `json:"rules"`
	Classes            []ClassRow         `json:"grades"`
	ValueShare         float64            `json:"service"`
	AttemptsPerRequest float64            `json:"trips_a_question"`
	FirstTokenP50Ms    float64            `json:"first_token_p50_ms"`
	FirstTokenP99Ms    float64            `json:"first_token_p99_ms"`
	Tries              int                `json:"tries"`
	Notes              []string           `json:"notes,omitempty"`
	Effects            int                `json:"effects"`
	FollowersByClass   map[string]float64 `json:"followers_by_grade"`
	Followers          float64            `json:"followers"` // share satisfied in the end, of clients that follow the advice; -1: there are none
	Others             float64            `json:"others"`
	PeakSlowStartLoad  float64            `json:"cold_worst"` // of what a cold box bears, the most that one was sent
	MaxIdleKVCacheMs   float64            `json:"pinned_worst_ms"`
	Usage              *Usage             `json:"cost,omitempty"` // of all trips, as boxes counted it, where the day has ledgers
}

// Kept tells whether every rule was kept.
func (v Verdict) Passed() bool {
	return !slices.ContainsFunc(v.Rules, func(r Rule) bool { return !r.Passed })
}

// try is what one try's lines say.
type try struct {
	asked          record.Event
	first, final   *record.Event
	finals, extras int
	quit, cut      *record.Event
	trips          []*trip
	ran, repeats   []record.Event
}

type trip struct {
	record.Event
	until int64
}

// place is the box that a trip reached, and by which address.
func (t *trip) place() string {
	if t.Address == "" {
		return t.Backend
	}
	return t.Backend + " at " + t.Address
}

type reading struct {
	head   record.Header
	lines  []record.Event
	tries  map[string]*try
	order  []string
	trips  map[string][]*trip // by key
	downs  map[string][]int64 // of dispatchers
	ups    map[string][]int64
	end    int64
	grades map[string]setup.Class
}

// Judge judges a record.
func Check(head record.Header, lines []record.Event) Verdict {
	rd := read(head, lines)
	v := Verdict{Scenario: head.Scenario, Rules: []Rule{rd.answers(), rd.effects(), rd.drains(), {}, {}}, Tries: len(rd.tries)}
	v.Rules[3], v.PeakSlowStartLoad = rd.cold(&v.Notes)
	v.Rules[4], v.MaxIdleKVCacheMs = rd.pinned()
	for i := range v.Rules {
		v.Rules[i].Passed = v.Rules[i].ViolationCount == 0
	}
	rd.table(&v)
	v.Followers, v.Others, v.FollowersByClass = ServedByRetryAdvice(lines)
	return v
}

func read(head record.Header, lines []record.Event) *reading {
	rd := &reading{
		head: head, lines: lines, tries: map[string]*try{}, trips: map[string][]*trip{}, downs: map[string][]int64{},
		ups: map[string][]int64{}, grades: map[string]setup.Class{},
	}
	for _, g := range head.Terms.Classes {
		rd.grades[g.Name] = g
	}
	open := map[string]*trip{}
	for i, l := range lines {
		rd.end = max(rd.end, l.TimeUs)
		if l.Kind == record.RequestSent {
			rd.tries[l.Try] = &try{asked: l}
			rd.order = append(rd.order, l.Try)
		}
		t := rd.tries[l.Try]
		at := fmt.Sprintf("%s/%s/%d/%s", l.Backend, l.RequestKey, l.Attempt, l.Phase)
		switch l.Kind {
		case record.ProcessStarted:
			if l.Dispatcher != "" {
				rd.ups[l.Dispatcher] = append(rd.ups[l.Dispatcher], l.TimeUs)
			}
		case record.ProcessEnded:
			if l.Dispatcher != "" {
				rd.downs[l.Dispatcher] = append(rd.downs[l.Dispatcher], l.TimeUs)
			}
		case record.AttemptReceived:
			tr := &trip{Event: l, until: -1}
			// A trip counts from when its bytes had reached the box's machine: what the dispatcher did lies before.
			if l.ArrivedUs > 0 {
				tr.TimeUs = l.ArrivedUs
			}
			if l.ClosedUs > 0 {
				tr.until = max(l.ClosedUs, tr.TimeUs)
			}
			open[at] = tr
			rd.trips[l.RequestKey] = append(rd.trips[l.RequestKey], tr)
			if t != nil {
				t.trips = append(t.trips, tr)
			}
		case record.AttemptEnded, record.AttemptClosed:
			if tr := open[at]; tr != nil && tr.until < 0 {
				tr.until = l.TimeUs
			}
		}
		if t == nil {
			continue
		}
		switch l.Kind {
		case record.FirstToken:
			if t.first == nil {
				t.first = &lines[i]
			}
		case record.FinalAnswer:
			if t.final == nil {
				t.final = &lines[i]
			}
			t.finals++
		case record.AfterFinal:
			t.extras++
		case record.ClientLeft:
			t.quit = &lines[i]
		case record.ConnectionLost:
			t.cut = &lines[i]
		case record.EffectStarted:
			t.ran = append(t.ran, l)
		case record.DuplicateDropped:
			t.repeats = append(t.repeats, l)
		}
	}
	for _, trips := range rd.trips {
		slices.SortStableFunc(trips, func(a, b *trip) int { return cmp.Compare(a.TimeUs, b.TimeUs) })
		for _, tr := range trips {
			if tr.until < 0 {
				tr.until = rd.end
			}
		}
	}
	return rd
}

func ms(us int64) float64 { return float64(us) / 1000 }

// fell tells whether a dispatcher was killed or stopped in a span.
func (rd *reading) fell(dispatcher string, from, to int64) bool {
	return slices.ContainsFunc(rd.downs[dispatcher], func(at int64) bool { return at >= from && at <= to })
}

// answers judges rule 1: one final answer in time, and nothing after it.
func (rd *reading) answers() Rule {
	r := Rule{Name: "1 no question is lost"}
	slack := (rd.head.Terms.Rules.AnswerSlack.Std() + answerRoom).Microseconds()
	for _, id := range rd.order {
		t := rd.tries[id]
		r.Checked++
		due := t.asked.TimeUs + t.asked.DeadlineUs + slack
		if t.finals > 1 || t.extras > 0 {
			r.offence("try %s: %d final answers, and %d things after one", id, t.finals, t.extras)
		}
		switch {
		case t.final != nil:
			if t.first != nil && t.first.TimeUs > due || t.first == nil && t.final.TimeUs > due {
				seen := t.final
				if t.first != nil {
					seen = t.first
				}
				r.offence("try %s: answered (%s) %.1f ms after its time of %.0f ms", id, t.final.Detail, ms(seen.TimeUs-due+slack), ms(t.asked.DeadlineUs))
			}
		case t.quit != nil:
		case t.cut != nil:
			unreached := strings.HasPrefix(t.cut.Detail, "unreached") || strings.HasPrefix(t.cut.Detail, "no dispatcher")
			if !unreached && !rd.fell(t.asked.Dispatcher, t.asked.TimeUs, t.cut.TimeUs+int64(time.Second/time.Microsecond)) {
				r.offence("try %s: no final answer of %s, which was up: %s", id, t.asked.Dispatcher, t.cut.Detail)
			}
		case t.first != nil && rd.end-t.first.TimeUs < rd.head.Terms.Limits.StallTimeout.Std().Microseconds(): // still streaming when the record ends
		default:
			if !rd.fell(t.asked.Dispatcher, t.asked.TimeUs, rd.end) && rd.end > due {
				r.offence("try %s: nothing came of it", id)
			}
		}
		if t.final != nil {
			for _, tr := range t.trips {
				if tr.TimeUs > t.final.TimeUs+afterRoom.Microseconds() {
					r.offence("try %s: trip %d reached %s %.1f ms after the final answer (%s)", id, tr.Attempt, tr.Backend, ms(tr.TimeUs-t.final.TimeUs), t.final.Detail)
				}
			}
		}
	}
	return r
}

// effects judges rule 2: no effect twice, no decline that may lie, never two trips out.
func (rd *reading) effects() Rule {
	r := Rule{Name: "2 no effect happens twice"}
	ran := map[string][]record.Event{}
	for _, id := range rd.order {
		t := rd.tries[id]
		r.Checked++
		g := rd.grades[t.asked.Class]
		ran[t.asked.Request] = append(ran[t.asked.Request], t.ran...)
		if g.Effect != "idempotent" && len(t.ran) > 1 {
			r.offence("try %s (%s): ran %d times, at %s and %s", id, g.Effect, len(t.ran), t.ran[0].Backend, t.ran[1].Backend)
		}
		may := g.Effect == "unrepeatable" || g.Effect == "deduplicated" && g.DedupScope != "" && g.DedupScope != "all"
		if may && t.final != nil && t.final.Detail == "declined" && len(t.ran) > 0 {
			r.offence("try %s (%s): declined, but it ran at %s", id, g.Effect, t.ran[0].Backend)
		}
	}
	for _, id := range rd.order {
		t := rd.tries[id]
		if q := t.asked.Request; rd.grades[t.asked.Class].Effect == "unrepeatable" && len(ran[q]) > 1 && ran[q][0].Try != ran[q][1].Try {
			r.offence("question %s (unrepeatable): ran for tries %s and %s", q, ran[q][0].Try, ran[q][1].Try)
			ran[q] = nil
		}
	}
	for _, key := range sorted(rd.trips) {
		trips := rd.trips[key]
		for i, a := range trips {
			for _, b := range trips[i+1:] {
				if b.TimeUs < a.until-tripsRoom.Microseconds() {
					r.offence("question %s (try %s): trips %d at %s and %d at %s were out together for %.1f ms", key, a.Try, a.Attempt, a.Backend,
						b.Attempt, b.Backend, ms(min(a.until, b.until)-b.TimeUs))
				}
				if b.Attempt == a.Attempt {
					r.offence("question %s (try %s): trip %d reached %s and %s", key, a.Try, a.Attempt, a.place(), b.place())
				}
			}
		}
	}
	return r
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// dispatcherOf is the name in a key such as d0.1a2b3c/17.
func dispatcherOf(key string) string {
	epoch, _, _ := strings.Cut(key, "/")
	if i := strings.LastIndexByte(epoch, '.'); i >= 0 {
		return epoch[:i]
	}
	return epoch
}

// drains judges rule 3.
func (rd *reading) drains() Rule {
	r := Rule{Name: "3 drains are kept"}
	grace := (rd.head.Terms.Rules.DrainGrace.Std() + drainRoom).Microseconds()
	type pair struct{ dispatcher, box string }
	told := map[pair]int64{}
	for _, l := range rd.lines {
		switch l.Kind {
		case record.EndpointNotified:
			at := pair{l.Dispatcher, l.Backend}
			if l.Detail == "ready" {
				delete(told, at)
			} else if _, known := told[at]; !known {
				told[at] = l.TimeUs
			}
		case record.ProcessStarted:
			if l.Dispatcher != "" { // a new process was told nothing yet
				for at := range told {
					if at.dispatcher == l.Dispatcher {
						delete(told, at)
					}
				}
			}
		case record.AttemptReceived:
			r.Checked++
			d := dispatcherOf(l.RequestKey)
			if l.ArrivedUs > 0 {
				l.TimeUs = l.ArrivedUs
			}
			if at, known := told[pair{d, l.Backend}]; known && l.TimeUs > at+grace {
				r.offence("try %s: %s sent trip %d to %s %.0f ms after it was told that the box drains or is gone", l.Try, d, l.Attempt, l.Backend, ms(l.TimeUs-at))
			}
		}
	}
	return r
}

// cold judges rule 4: the work that reaches a cold box in any window stays under multiple x present capacity x
// window. It breaks the rule if two thirds of it came from dispatchers that were told of the start.
func (rd *reading) cold(notes *[]string) (r Rule, worst float64) {
	r.Name = "4 no cold box is pushed over"
	rules := rd.head.Terms.Rules
	window, ramp := rules.SlowStartWindow.Std().Microseconds(), rules.SlowStartRamp.Std().Microseconds()
	type start struct {
		at   int64
		told map[string]bool
		sent []record.Event
		over bool
	}
	now, starts := map[string]*start{}, map[uint64]*start{}
	for _, l := range rd.lines {
		switch {
		case l.Kind == record.ProcessStarted && l.Backend != "":
			now[l.Backend] = nil
			if l.SlowStart {
				s := &start{at: l.TimeUs, told: map[string]bool{}}
				now[l.Backend], starts[l.StartID] = s, s
			}
		case l.Kind == record.EndpointNotified && starts[l.StartID] != nil:
			starts[l.StartID].told[l.Dispatcher] = true
		case l.Kind == record.AttemptReceived && now[l.Backend] != nil:
			s := now[l.Backend]
			if l.TimeUs-s.at > ramp {
				continue
			}
			r.Checked++
			s.sent = append(s.sent, l)
			for s.sent[0].TimeUs < l.TimeUs-window {
				s.sent = s.sent[1:]
			}
			all, known := 0.0, 0.0
			for _, x := range s.sent {
				all += x.Work
				if s.told[dispatcherOf(x.RequestKey)] {
					known += x.Work
				}
			}
			share := rules.SlowStartShare + (1-rules.SlowStartShare)*float64(l.TimeUs-s.at)/float64(ramp)
			part := all / (rules.SlowStartMultiple * share * rules.SlowStartWindow.Std().Seconds())
			if known >= toldShare*all {
				worst = max(worst, part)
			}
			if part <= coldRoom || s.over {
				continue
			}
			s.over = true
			if known >= toldShare*all {
				r.offence("%s, up cold for %.1f s, was sent %.2f s of work in %v, of at most %.2f s", l.Backend, ms(l.TimeUs-s.at)/1000, all,
					rules.SlowStartWindow.Std(), all/part)
			} else {
				*notes = append(*notes, fmt.Sprintf("%s was sent %.2f times what it bears while cold, by dispatchers that were not told of its start", l.Backend, part))
			}
		}
	}
	return r, worst
}

// pinned judges rule 5: how long a state waits with none of its question's trips out.
func (rd *reading) pinned() (r Rule, worst float64) {
	r.Name = "5 nothing is left pinned"
	limit := (rd.head.Terms.Rules.KVCacheHoldLimit.Std() + pinRoom).Microseconds()
	held := map[string]record.Event{}
	check := func(from record.Event, to int64, how string) {
		r.Checked++
		idle, at := int64(0), from.TimeUs
		for _, tr := range rd.trips[from.RequestKey] { // in order of time
			if tr.TimeUs > at {
				idle = max(idle, min(tr.TimeUs, to)-at)
			}
			at = max(at, min(tr.until, to))
		}
		idle = max(idle, to-at)
		if rd.fell(dispatcherOf(from.RequestKey), from.TimeUs-int64(10*time.Second/time.Microsecond), to) {
			return // what a killed dispatcher left is freed by the box itself
		}
		worst = max(worst, ms(idle))
		if idle > limit {
			r.offence("question %s (try %s): its state waited %.0f ms at %s with no trip out, until %s", from.RequestKey, from.Try, ms(idle), from.Backend, how)
		}
	}
	for _, l := range rd.lines {
		at := l.Backend + " " + l.RequestKey
		switch l.Kind {
		case record.KVCacheHeld:
			held[at] = l
		case record.KVCacheReleased:
			if from, ok := held[at]; ok {
				check(from, l.TimeUs, l.Detail)
				delete(held, at)
			}
		}
	}
	for _, at := range sorted(held) {
		check(held[at], rd.end, "the end")
	}
	return r, worst
}

// table counts questions and benefit.
func (rd *reading) table(v *Verdict) {
	rows := map[string]*ClassRow{}
	for _, g := range rd.head.Terms.Classes {
		rows[g.Name] = &ClassRow{Class: g.Name}
	}
	var questions []string
	tries := map[string][]*try{}
	trips := 0
	for _, id := range rd.order {
		t := rd.tries[id]
		q := t.asked.Request
		if tries[q] == nil {
			questions = append(questions, q)
		}
		tries[q] = append(tries[q], t)
		trips += len(t.trips)
		v.Effects += len(t.ran)
	}
	var firsts []float64
	for _, q := range questions {
		all := tries[q]
		begin, last := all[0], all[len(all)-1]
		row, g := rows[begin.asked.Class], rd.grades[begin.asked.Class]
		if row == nil {
			continue
		}
		worth := g.Value
		if rd.head.Terms.Limits.ValueByWork {
			worth *= float64(begin.asked.Tokens)
		}
		row.Requests++
		row.benefit += worth
		switch {
		case last.final != nil && last.final.Detail == "satisfied":
			came := last.final.TimeUs
			if last.first != nil {
				came = last.first.TimeUs
			}
			firsts = append(firsts, ms(came-begin.asked.TimeUs))
			if came-begin.asked.TimeUs <= begin.asked.LatencyTargetUs {
				row.InTime++
				row.earned += worth
			} else {
				row.Late++
				row.earned += worth * g.LateValue
			}
		case last.final != nil && last.final.Detail == "declined":
			row.Rejected++
		case last.final != nil:
			row.Failed++
		case last.quit != nil:
			row.ClientLeft++
		default:
			row.ConnectionLost++
		}
	}
	benefit, earned := 0.0, 0.0
	for _, g := range rd.head.Terms.Classes {
		row := rows[g.Name]
		benefit, earned = benefit+row.benefit, earned+row.earned
		row.ValueShare = row.earned / max(row.benefit, 1e-9)
		v.Classes = append(v.Classes, *row)
	}
	v.ValueShare = earned / max(benefit, 1e-9)
	v.AttemptsPerRequest = float64(trips) / float64(max(len(questions), 1))
	slices.SortFunc(firsts, cmp.Compare)
	if n := len(firsts); n > 0 {
		v.FirstTokenP50Ms, v.FirstTokenP99Ms = firsts[n/2], firsts[min(n*99/100, n-1)]
	}
}

// Text writes a verdict for people.
func (v Verdict) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-14s %6s %8s %6s %9s %10s %6s %5s %8s\n", "grade", "asked", "in time", "late", "declined", "forfeited", "quit", "cut", "service")
	for _, r := range v.Classes {
		fmt.Fprintf(&b, "%-14s %6d %8d %6d %9d %10d %6d %5d %8.3f\n", r.Class, r.Requests, r.InTime, r.Late, r.Rejected, r.Failed, r.ClientLeft, r.ConnectionLost, r.ValueShare)
	}
	fmt.Fprintf(&b, "service %.3f (benefit answered in time over benefit asked for); %.2f trips a question; first token p50 %.0f ms, p99 %.0f ms\n",
		v.ValueShare, v.AttemptsPerRequest, v.FirstTokenP50Ms, v.FirstTokenP99Ms)
	if v.Followers >= 0 && v.Others >= 0 {
		fmt.Fprintf(&b, "satisfied in the end: %.3f of those that follow the advice when to come back, %.3f of the others\n", v.Followers, v.Others)
		for _, grade := range slices.Sorted(maps.Keys(v.FollowersByClass)) {
			fmt.Fprintf(&b, "  of %s %.3f\n", grade, v.FollowersByClass[grade])
		}
	}
	if c := v.Usage; c != nil {
		fmt.Fprintf(&b, "boxes counted %d trips, %d tokens read, %d found kept, %d answered\n", c.Attempts, c.PrefillTokens, c.CachedTokens, c.AnswerTokens)
	}
	fmt.Fprintf(&b, "cold boxes were sent %.0f%% of what they bear at most; states waited %.0f ms at most with no trip out\n", 100*v.PeakSlowStartLoad, v.MaxIdleKVCacheMs)
	for _, r := range v.Rules {
		word := "kept"
		if !r.Passed {
			word = fmt.Sprintf("BROKEN %d times", r.ViolationCount)
		}
		fmt.Fprintf(&b, "rule %-32s %s (%d looked at)\n", r.Name, word, r.Checked)
		if len(r.Violations) > 0 {
			fmt.Fprintf(&b, "  first: %s\n", r.Violations[0])
		}
	}
	for _, n := range v.Notes {
		fmt.Fprintf(&b, "note: %s\n", n)
	}
	return b.String()
}
