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
	Name     string   `json:"name"`
	Kept     bool     `json:"kept"`
	Checked  int      `json:"checked"`
	Broken   int      `json:"broken"`
	Offences []string `json:"offences,omitempty"`
}

func (r *Rule) offence(format string, args ...any) {
	r.Broken++
	if len(r.Offences) < mostFound {
		r.Offences = append(r.Offences, fmt.Sprintf(format, args...))
	}
}

// Row counts the questions of a grade; a client's tries belong to its first.
type Row struct {
	Grade     string  `json:"grade"`
	Asked     int     `json:"asked"`
	InTime    int     `json:"in_time"`
	Late      int     `json:"late"`
	Declined  int     `json:"declined"`
	Forfeited int     `json:"forfeited"`
	Quit      int     `json:"quit"`
	Cut       int     `json:"cut"`
	Service   float64 `json:"service"`
	benefit   float64
	earned    float64
}

// Verdict is what a run comes to.
type Verdict struct {
	Day       string             `json:"day"`
	Rules     []Rule             `json:"rules"`
	Rows      []Row              `json:"grades"`
	Service   float64            `json:"service"`
	Trips     float64            `json:"trips_a_question"`
	FirstP50  float64            `json:"first_token_p50_ms"`
	FirstP99  float64            `json:"first_token_p99_ms"`
	Tries     int                `json:"tries"`
	Notes     []string           `json:"notes,omitempty"`
	Effects   int                `json:"effects"`
	ByGrade   map[string]float64 `json:"followers_by_grade"`
	Followers float64            `json:"followers"` // share satisfied in the end, of clients that follow the advice; -1: there are none
	Others    float64            `json:"others"`
	ColdWorst float64            `json:"cold_worst"` // of what a cold box bears, the most that one was sent
	PinWorst  float64            `json:"pinned_worst_ms"`
	Cost      *Cost              `json:"cost,omitempty"` // of all trips, as boxes counted it, where the day has ledgers
}

// Kept tells whether every rule was kept.
func (v Verdict) Kept() bool {
	return !slices.ContainsFunc(v.Rules, func(r Rule) bool { return !r.Kept })
}

// try is what one try's lines say.
type try struct {
	asked          record.Line
	first, final   *record.Line
	finals, extras int
	quit, cut      *record.Line
	trips          []*trip
	ran, repeats   []record.Line
}

type trip struct {
	record.Line
	until int64
}

// place is the box that a trip reached, and by which address.
func (t *trip) place() string {
	if t.Address == "" {
		return t.Box
	}
	return t.Box + " at " + t.Address
}

type reading struct {
	head   record.Head
	lines  []record.Line
	tries  map[string]*try
	order  []string
	trips  map[string][]*trip // by key
	downs  map[string][]int64 // of dispatchers
	ups    map[string][]int64
	end    int64
	grades map[string]setup.Class
}

// Judge judges a record.
func Judge(head record.Head, lines []record.Line) Verdict {
	rd := read(head, lines)
	v := Verdict{Day: head.Day, Rules: []Rule{rd.answers(), rd.effects(), rd.drains(), {}, {}}, Tries: len(rd.tries)}
	v.Rules[3], v.ColdWorst = rd.cold(&v.Notes)
	v.Rules[4], v.PinWorst = rd.pinned()
	for i := range v.Rules {
		v.Rules[i].Kept = v.Rules[i].Broken == 0
	}
	rd.table(&v)
	v.Followers, v.Others, v.ByGrade = Followers(lines)
	return v
}

func read(head record.Head, lines []record.Line) *reading {
	rd := &reading{
		head: head, lines: lines, tries: map[string]*try{}, trips: map[string][]*trip{}, downs: map[string][]int64{},
		ups: map[string][]int64{}, grades: map[string]setup.Class{},
	}
	for _, g := range head.Terms.Classes {
		rd.grades[g.Name] = g
	}
	open := map[string]*trip{}
	for i, l := range lines {
		rd.end = max(rd.end, l.At)
		if l.What == record.Asked {
			rd.tries[l.Try] = &try{asked: l}
			rd.order = append(rd.order, l.Try)
		}
		t := rd.tries[l.Try]
		at := fmt.Sprintf("%s/%s/%d/%s", l.Box, l.Key, l.Trip, l.Stage)
		switch l.What {
		case record.Up:
			if l.Dispatcher != "" {
				rd.ups[l.Dispatcher] = append(rd.ups[l.Dispatcher], l.At)
			}
		case record.Down:
			if l.Dispatcher != "" {
				rd.downs[l.Dispatcher] = append(rd.downs[l.Dispatcher], l.At)
			}
		case record.Trip:
			tr := &trip{Line: l, until: -1}
			// A trip counts from when its bytes had reached the box's machine: what the dispatcher did lies before.
			if l.Arrived > 0 {
				tr.At = l.Arrived
			}
			if l.Gone > 0 {
				tr.until = max(l.Gone, tr.At)
			}
			open[at] = tr
			rd.trips[l.Key] = append(rd.trips[l.Key], tr)
			if t != nil {
				t.trips = append(t.trips, tr)
			}
		case record.End, record.Closed:
			if tr := open[at]; tr != nil && tr.until < 0 {
				tr.until = l.At
			}
		}
		if t == nil {
			continue
		}
		switch l.What {
		case record.First:
			if t.first == nil {
				t.first = &lines[i]
			}
		case record.Final:
			if t.final == nil {
				t.final = &lines[i]
			}
			t.finals++
		case record.Extra:
			t.extras++
		case record.Quit:
			t.quit = &lines[i]
		case record.Cut:
			t.cut = &lines[i]
		case record.Ran:
			t.ran = append(t.ran, l)
		case record.Repeat:
			t.repeats = append(t.repeats, l)
		}
	}
	for _, trips := range rd.trips {
		slices.SortStableFunc(trips, func(a, b *trip) int { return cmp.Compare(a.At, b.At) })
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
		due := t.asked.At + t.asked.ExpiryUs + slack
		if t.finals > 1 || t.extras > 0 {
			r.offence("try %s: %d final answers, and %d things after one", id, t.finals, t.extras)
		}
		switch {
		case t.final != nil:
			if t.first != nil && t.first.At > due || t.first == nil && t.final.At > due {
				seen := t.final
				if t.first != nil {
					seen = t.first
				}
				r.offence("try %s: answered (%s) %.1f ms after its time of %.0f ms", id, t.final.Word, ms(seen.At-due+slack), ms(t.asked.ExpiryUs))
			}
		case t.quit != nil:
		case t.cut != nil:
			unreached := strings.HasPrefix(t.cut.Word, "unreached") || strings.HasPrefix(t.cut.Word, "no dispatcher")
			if !unreached && !rd.fell(t.asked.Dispatcher, t.asked.At, t.cut.At+int64(time.Second/time.Microsecond)) {
				r.offence("try %s: no final answer of %s, which was up: %s", id, t.asked.Dispatcher, t.cut.Word)
			}
		case t.first != nil && rd.end-t.first.At < rd.head.Terms.Limits.StallTimeout.Std().Microseconds(): // still streaming when the record ends
		default:
			if !rd.fell(t.asked.Dispatcher, t.asked.At, rd.end) && rd.end > due {
				r.offence("try %s: nothing came of it", id)
			}
		}
		if t.final != nil {
			for _, tr := range t.trips {
				if tr.At > t.final.At+afterRoom.Microseconds() {
					r.offence("try %s: trip %d reached %s %.1f ms after the final answer (%s)", id, tr.Trip, tr.Box, ms(tr.At-t.final.At), t.final.Word)
				}
			}
		}
	}
	return r
}

// effects judges rule 2: no effect twice, no decline that may lie, never two trips out.
func (rd *reading) effects() Rule {
	r := Rule{Name: "2 no effect happens twice"}
	ran := map[string][]record.Line{}
	for _, id := range rd.order {
		t := rd.tries[id]
		r.Checked++
		g := rd.grades[t.asked.Grade]
		ran[t.asked.Question] = append(ran[t.asked.Question], t.ran...)
		if g.Effect != "idempotent" && len(t.ran) > 1 {
			r.offence("try %s (%s): ran %d times, at %s and %s", id, g.Effect, len(t.ran), t.ran[0].Box, t.ran[1].Box)
		}
		may := g.Effect == "unrepeatable" || g.Effect == "deduplicated" && g.DedupScope != "" && g.DedupScope != "all"
		if may && t.final != nil && t.final.Word == "declined" && len(t.ran) > 0 {
			r.offence("try %s (%s): declined, but it ran at %s", id, g.Effect, t.ran[0].Box)
		}
	}
	for _, id := range rd.order {
		t := rd.tries[id]
		if q := t.asked.Question; rd.grades[t.asked.Grade].Effect == "unrepeatable" && len(ran[q]) > 1 && ran[q][0].Try != ran[q][1].Try {
			r.offence("question %s (unrepeatable): ran for tries %s and %s", q, ran[q][0].Try, ran[q][1].Try)
			ran[q] = nil
		}
	}
	for _, key := range sorted(rd.trips) {
		trips := rd.trips[key]
		for i, a := range trips {
			for _, b := range trips[i+1:] {
				if b.At < a.until-tripsRoom.Microseconds() {
					r.offence("question %s (try %s): trips %d at %s and %d at %s were out together for %.1f ms", key, a.Try, a.Trip, a.Box,
						b.Trip, b.Box, ms(min(a.until, b.until)-b.At))
				}
				if b.Trip == a.Trip {
					r.offence("question %s (try %s): trip %d reached %s and %s", key, a.Try, a.Trip, a.place(), b.place())
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
		switch l.What {
		case record.Told:
			at := pair{l.Dispatcher, l.Box}
			if l.Word == "ready" {
				delete(told, at)
			} else if _, known := told[at]; !known {
				told[at] = l.At
			}
		case record.Up:
			if l.Dispatcher != "" { // a new process was told nothing yet
				for at := range told {
					if at.dispatcher == l.Dispatcher {
						delete(told, at)
					}
				}
			}
		case record.Trip:
			r.Checked++
			d := dispatcherOf(l.Key)
			if l.Arrived > 0 {
				l.At = l.Arrived
			}
			if at, known := told[pair{d, l.Box}]; known && l.At > at+grace {
				r.offence("try %s: %s sent trip %d to %s %.0f ms after it was told that the box drains or is gone", l.Try, d, l.Trip, l.Box, ms(l.At-at))
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
		sent []record.Line
		over bool
	}
	now, starts := map[string]*start{}, map[uint64]*start{}
	for _, l := range rd.lines {
		switch {
		case l.What == record.Up && l.Box != "":
			now[l.Box] = nil
			if l.Cold {
				s := &start{at: l.At, told: map[string]bool{}}
				now[l.Box], starts[l.Start] = s, s
			}
		case l.What == record.Told && starts[l.Start] != nil:
			starts[l.Start].told[l.Dispatcher] = true
		case l.What == record.Trip && now[l.Box] != nil:
			s := now[l.Box]
			if l.At-s.at > ramp {
				continue
			}
			r.Checked++
			s.sent = append(s.sent, l)
			for s.sent[0].At < l.At-window {
				s.sent = s.sent[1:]
			}
			all, known := 0.0, 0.0
			for _, x := range s.sent {
				all += x.Work
				if s.told[dispatcherOf(x.Key)] {
					known += x.Work
				}
			}
			share := rules.SlowStartShare + (1-rules.SlowStartShare)*float64(l.At-s.at)/float64(ramp)
			part := all / (rules.SlowStartMultiple * share * rules.SlowStartWindow.Std().Seconds())
			if known >= toldShare*all {
				worst = max(worst, part)
			}
			if part <= coldRoom || s.over {
				continue
			}
			s.over = true
			if known >= toldShare*all {
				r.offence("%s, up cold for %.1f s, was sent %.2f s of work in %v, of at most %.2f s", l.Box, ms(l.At-s.at)/1000, all,
					rules.SlowStartWindow.Std(), all/part)
			} else {
				*notes = append(*notes, fmt.Sprintf("%s was sent %.2f times what it bears while cold, by dispatchers that were not told of its start", l.Box, part))
			}
		}
	}
	return r, worst
}

// pinned judges rule 5: how long a state waits with none of its question's trips out.
func (rd *reading) pinned() (r Rule, worst float64) {
	r.Name = "5 nothing is left pinned"
	limit := (rd.head.Terms.Rules.KVCacheHoldLimit.Std() + pinRoom).Microseconds()
	held := map[string]record.Line{}
	check := func(from record.Line, to int64, how string) {
		r.Checked++
		idle, at := int64(0), from.At
		for _, tr := range rd.trips[from.Key] { // in order of time
			if tr.At > at {
				idle = max(idle, min(tr.At, to)-at)
			}
			at = max(at, min(tr.until, to))
		}
		idle = max(idle, to-at)
		if rd.fell(dispatcherOf(from.Key), from.At-int64(10*time.Second/time.Microsecond), to) {
			return // what a killed dispatcher left is freed by the box itself
		}
		worst = max(worst, ms(idle))
		if idle > limit {
			r.offence("question %s (try %s): its state waited %.0f ms at %s with no trip out, until %s", from.Key, from.Try, ms(idle), from.Box, how)
		}
	}
	for _, l := range rd.lines {
		at := l.Box + " " + l.Key
		switch l.What {
		case record.Held:
			held[at] = l
		case record.Let:
			if from, ok := held[at]; ok {
				check(from, l.At, l.Word)
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
	rows := map[string]*Row{}
	for _, g := range rd.head.Terms.Classes {
		rows[g.Name] = &Row{Grade: g.Name}
	}
	var questions []string
	tries := map[string][]*try{}
	trips := 0
	for _, id := range rd.order {
		t := rd.tries[id]
		q := t.asked.Question
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
		row, g := rows[begin.asked.Grade], rd.grades[begin.asked.Grade]
		if row == nil {
			continue
		}
		worth := g.Value
		if rd.head.Terms.Limits.ValueByWork {
			worth *= float64(begin.asked.Tokens)
		}
		row.Asked++
		row.benefit += worth
		switch {
		case last.final != nil && last.final.Word == "satisfied":
			came := last.final.At
			if last.first != nil {
				came = last.first.At
			}
			firsts = append(firsts, ms(came-begin.asked.At))
			if came-begin.asked.At <= begin.asked.PromiseUs {
				row.InTime++
				row.earned += worth
			} else {
				row.Late++
				row.earned += worth * g.LateValue
			}
		case last.final != nil && last.final.Word == "declined":
			row.Declined++
		case last.final != nil:
			row.Forfeited++
		case last.quit != nil:
			row.Quit++
		default:
			row.Cut++
		}
	}
	benefit, earned := 0.0, 0.0
	for _, g := range rd.head.Terms.Classes {
		row := rows[g.Name]
		benefit, earned = benefit+row.benefit, earned+row.earned
		row.Service = row.earned / max(row.benefit, 1e-9)
		v.Rows = append(v.Rows, *row)
	}
	v.Service = earned / max(benefit, 1e-9)
	v.Trips = float64(trips) / float64(max(len(questions), 1))
	slices.SortFunc(firsts, cmp.Compare)
	if n := len(firsts); n > 0 {
		v.FirstP50, v.FirstP99 = firsts[n/2], firsts[min(n*99/100, n-1)]
	}
}

// Text writes a verdict for people.
func (v Verdict) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-14s %6s %8s %6s %9s %10s %6s %5s %8s\n", "grade", "asked", "in time", "late", "declined", "forfeited", "quit", "cut", "service")
	for _, r := range v.Rows {
		fmt.Fprintf(&b, "%-14s %6d %8d %6d %9d %10d %6d %5d %8.3f\n", r.Grade, r.Asked, r.InTime, r.Late, r.Declined, r.Forfeited, r.Quit, r.Cut, r.Service)
	}
	fmt.Fprintf(&b, "service %.3f (benefit answered in time over benefit asked for); %.2f trips a question; first token p50 %.0f ms, p99 %.0f ms\n",
		v.Service, v.Trips, v.FirstP50, v.FirstP99)
	if v.Followers >= 0 && v.Others >= 0 {
		fmt.Fprintf(&b, "satisfied in the end: %.3f of those that follow the advice when to come back, %.3f of the others\n", v.Followers, v.Others)
		for _, grade := range slices.Sorted(maps.Keys(v.ByGrade)) {
			fmt.Fprintf(&b, "  of %s %.3f\n", grade, v.ByGrade[grade])
		}
	}
	if c := v.Cost; c != nil {
		fmt.Fprintf(&b, "boxes counted %d trips, %d tokens read, %d found kept, %d answered\n", c.Trips, c.Read, c.Kept, c.Answer)
	}
	fmt.Fprintf(&b, "cold boxes were sent %.0f%% of what they bear at most; states waited %.0f ms at most with no trip out\n", 100*v.ColdWorst, v.PinWorst)
	for _, r := range v.Rules {
		word := "kept"
		if !r.Kept {
			word = fmt.Sprintf("BROKEN %d times", r.Broken)
		}
		fmt.Fprintf(&b, "rule %-32s %s (%d looked at)\n", r.Name, word, r.Checked)
		if len(r.Offences) > 0 {
			fmt.Fprintf(&b, "  first: %s\n", r.Offences[0])
		}
	}
	for _, n := range v.Notes {
		fmt.Fprintf(&b, "note: %s\n", n)
	}
	return b.String()
}
