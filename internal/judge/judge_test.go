package judge

import (
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

func head() record.Head {
	t := setup.DefaultDeployment()
	t.Rules.KVCacheHoldLimit, t.Rules.DrainGrace = setup.Duration(300*time.Millisecond), setup.Duration(250*time.Millisecond)
	t.Rules.SlowStartMultiple, t.Rules.SlowStartShare, t.Rules.SlowStartRamp = 2, 0.25, setup.Duration(10*time.Second)
	for _, effect := range []string{"idempotent", "deduplicated", "unrepeatable"} {
		t.Classes = append(t.Classes, setup.Class{Name: effect, Effect: effect, DedupScope: "zone", Value: 1})
	}
	return record.Head{Day: "test", Terms: t}
}

// fair is a question that is read and answered as it should be, under a key of dispatcher d0.
func fair(try, key, grade string, at int64) []record.Line {
	l := func(ms int64, what string, more record.Line) record.Line {
		more.At, more.What, more.Try, more.Grade = (at+ms)*1000, what, try, grade
		if more.Box != "" {
			more.Key = key
		}
		return more
	}
	return []record.Line{
		l(0, record.Asked, record.Line{Question: strings.Split(try, ".")[0], Dispatcher: "d0", ExpiryUs: 4e6, PromiseUs: 1e6, Tokens: 10}),
		l(2, record.Trip, record.Line{Box: "r1", Stage: "read", Work: 0.1}),
		l(50, record.Held, record.Line{Box: "r1"}),
		l(50, record.End, record.Line{Box: "r1", Stage: "read", Word: "read"}),
		l(52, record.Trip, record.Line{Box: "w1", Stage: "write", Trip: 1, Work: 0.1}),
		l(60, record.Let, record.Line{Box: "r1", Word: "taken"}),
		l(61, record.Ran, record.Line{Box: "w1", Stage: "write", Trip: 1}),
		l(62, record.First, record.Line{}),
		l(300, record.End, record.Line{Box: "w1", Stage: "write", Trip: 1, Word: "answered"}),
		l(301, record.Final, record.Line{Word: "satisfied"}),
	}
}

func TestJudgeFindsEachPlantedOffenceAndNoOther(t *testing.T) {
	key := "d0.aa/1"
	at := func(ms int64, l record.Line) record.Line { l.At = ms * 1000; return l }
	for _, c := range []struct {
		name string
		rule int // 0: none is broken
		said string
		more []record.Line
		drop string
	}{
		{name: "a fair question"},
		{name: "two final answers", rule: 1, said: "2 final answers", more: []record.Line{at(310, record.Line{What: record.Final, Try: "q1.0", Word: "declined"})}},
		{name: "something after the answer", rule: 1, said: "1 things after", more: []record.Line{at(310, record.Line{What: record.Extra, Try: "q1.0"})}},
		{name: "no answer", rule: 1, said: "nothing came", drop: record.Final, more: []record.Line{at(30000, record.Line{What: record.Note})}},
		{name: "a trip after the answer", rule: 1, said: "after the final answer", more: []record.Line{
			at(900, record.Line{What: record.Trip, Try: "q1.0", Key: key, Box: "w2", Trip: 2, Stage: "write"}),
			at(910, record.Line{What: record.End, Try: "q1.0", Key: key, Box: "w2", Trip: 2, Stage: "write"})}},
		{name: "a connection cut by a running dispatcher", rule: 1, said: "no final answer", drop: record.Final, more: []record.Line{
			at(310, record.Line{What: record.Cut, Try: "q1.0", Word: "EOF"})}},
		{name: "a connection cut by a killed dispatcher", drop: record.Final, more: []record.Line{
			at(310, record.Line{What: record.Cut, Try: "q1.0", Word: "EOF"}), at(311, record.Line{What: record.Down, Dispatcher: "d0", Word: "killed"})}},
		{name: "an effect twice", rule: 2, said: "ran 2 times", more: []record.Line{at(320, record.Line{What: record.Ran, Try: "q1.0", Key: key, Box: "w2", Trip: 2})}},
		{name: "two trips out", rule: 2, said: "out together", more: []record.Line{
			at(100, record.Line{What: record.Trip, Try: "q1.0", Key: key, Box: "w2", Trip: 2, Stage: "write"}),
			at(200, record.Line{What: record.End, Try: "q1.0", Key: key, Box: "w2", Trip: 2, Stage: "write"})}},
		{name: "one trip at two boxes", rule: 2, said: "reached w1 and w3", more: []record.Line{
			at(305, record.Line{What: record.Trip, Try: "q1.0", Key: key, Box: "w3", Trip: 1, Stage: "write"}),
			at(306, record.Line{What: record.End, Try: "q1.0", Key: key, Box: "w3", Trip: 1, Stage: "write"})}},
		{name: "a trip to a draining box", rule: 3, said: "told that the box drains", more: []record.Line{
			at(-1000, record.Line{What: record.Told, Dispatcher: "d0", Box: "w1", Word: "draining"})}},
		{name: "a trip within the grace", more: []record.Line{at(-100, record.Line{What: record.Told, Dispatcher: "d0", Box: "w1", Word: "draining"})}},
		{name: "another dispatcher was told", more: []record.Line{at(-1000, record.Line{What: record.Told, Dispatcher: "d1", Box: "w1", Word: "draining"})}},
		{name: "a cold box pushed over", rule: 4, said: "was sent", more: []record.Line{
			at(-300, record.Line{What: record.Up, Box: "w1", Start: 9, Cold: true}), at(-200, record.Line{What: record.Told, Dispatcher: "d0", Box: "w1", Word: "ready", Start: 9}),
			at(53, record.Line{What: record.Trip, Key: "d0.aa/7", Box: "w1", Stage: "whole", Work: 3}), at(60, record.Line{What: record.End, Key: "d0.aa/7", Box: "w1", Stage: "whole"})}},
		{name: "a cold box pushed over by those who weren't told", more: []record.Line{
			at(-300, record.Line{What: record.Up, Box: "w1", Start: 9, Cold: true}),
			at(53, record.Line{What: record.Trip, Key: "d0.aa/7", Box: "w1", Stage: "whole", Work: 3}), at(60, record.Line{What: record.End, Key: "d0.aa/7", Box: "w1", Stage: "whole"})}},
		{name: "a state left pinned", rule: 5, said: "with no trip out", more: []record.Line{
			at(305, record.Line{What: record.Held, Key: key, Try: "q1.0", Box: "r2"}), at(900, record.Line{What: record.Let, Key: key, Try: "q1.0", Box: "r2", Word: "released"})}},
		{name: "a state never let go", rule: 5, said: "until the end", more: []record.Line{
			at(305, record.Line{What: record.Held, Key: key, Try: "q1.0", Box: "r2"}), at(900, record.Line{What: record.Note})}},
	} {
		var lines []record.Line
		for _, l := range fair("q1.0", key, "unrepeatable", 0) {
			if l.What != c.drop {
				lines = append(lines, l)
			}
		}
		lines = inOrder(append(lines, c.more...))
		v := Judge(head(), lines)
		for i, r := range v.Rules {
			if r.Kept != (i+1 != c.rule) {
				t.Errorf("%s: rule %d kept %v: %v", c.name, i+1, r.Kept, r.Offences)
			}
		}
		if c.rule > 0 && (len(v.Rules[c.rule-1].Offences) == 0 || !strings.Contains(v.Rules[c.rule-1].Offences[0], c.said)) {
			t.Errorf("%s: says %q, not %q", c.name, v.Rules[c.rule-1].Offences, c.said)
		}
	}
}

func inOrder(lines []record.Line) []record.Line {
	for i := range lines {
		for j := i; j > 0 && lines[j].At < lines[j-1].At; j-- {
			lines[j], lines[j-1] = lines[j-1], lines[j]
		}
	}
	return lines
}

func TestJudgeWeighsLateAnswersAndFalseDeclines(t *testing.T) {
	late := fair("q1.0", "d0.aa/1", "idempotent", 0)
	late[7].At, late[9].At = 4100*1000, 4200*1000
	if v := Judge(head(), inOrder(late)); v.Rules[0].Kept {
		t.Error("a first token after the client's time passes")
	}
	for grade, kept := range map[string]bool{"idempotent": true, "deduplicated": false, "unrepeatable": false} {
		lines := fair("q1.0", "d0.aa/1", grade, 0)
		lines[9].Word = "declined"
		if v := Judge(head(), lines); v.Rules[1].Kept != kept {
			t.Errorf("a decline of a %s question that ran: kept %v", grade, v.Rules[1].Kept)
		}
	}
}

func TestJudgeCountsTriesUnderTheirQuestion(t *testing.T) {
	lines := fair("q1.0", "d0.aa/1", "idempotent", 0)
	lines[9].Word = "declined"
	lines = append(lines, fair("q1.1", "d0.aa/2", "idempotent", 800)...)
	lines = append(lines, fair("q2.0", "d0.aa/3", "idempotent", 2000)...)
	v := Judge(head(), lines)
	row := v.Rows[0]
	if row.Asked != 2 || row.InTime != 2 || v.Service != 1 || v.Trips != 3 {
		t.Errorf("asked %d, in time %d, service %g, trips %g", row.Asked, row.InTime, v.Service, v.Trips)
	}
	for i := range lines[10:20] { // past the promise, counted from the first try
		lines[10+i].At += 400 * 1000
	}
	if v := Judge(head(), lines); v.Rows[0].Late != 1 {
		t.Errorf("late %d", v.Rows[0].Late)
	}
}
