package judge

import (
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

func head() record.Header {
	t := setup.DefaultDeployment()
	t.Rules.KVCacheHoldLimit, t.Rules.DrainGrace = setup.Duration(300*time.Millisecond), setup.Duration(250*time.Millisecond)
	t.Rules.SlowStartMultiple, t.Rules.SlowStartShare, t.Rules.SlowStartRamp = 2, 0.25, setup.Duration(10*time.Second)
	for _, effect := range []string{"idempotent", "deduplicated", "unrepeatable"} {
		t.Classes = append(t.Classes, setup.Class{Name: effect, Effect: effect, DedupScope: "zone", Value: 1})
	}
	return record.Header{Scenario: "test", Terms: t}
}

// fair is a question that is read and answered as it should be, under a key of dispatcher d0.
func fair(try, key, grade string, at int64) []record.Event {
	l := func(ms int64, what string, more record.Event) record.Event {
		more.TimeUs, more.Kind, more.Try, more.Class = (at+ms)*1000, what, try, grade
		if more.Backend != "" {
			more.RequestKey = key
		}
		return more
	}
	return []record.Event{
		l(0, record.RequestSent, record.Event{Request: strings.Split(try, ".")[0], Dispatcher: "d0", DeadlineUs: 4e6, LatencyTargetUs: 1e6, Tokens: 10}),
		l(2, record.AttemptReceived, record.Event{Backend: "r1", Phase: "read", Work: 0.1}),
		l(50, record.KVCacheHeld, record.Event{Backend: "r1"}),
		l(50, record.AttemptEnded, record.Event{Backend: "r1", Phase: "read", Detail: "read"}),
		l(52, record.AttemptReceived, record.Event{Backend: "w1", Phase: "write", Attempt: 1, Work: 0.1}),
		l(60, record.KVCacheReleased, record.Event{Backend: "r1", Detail: "taken"}),
		l(61, record.EffectStarted, record.Event{Backend: "w1", Phase: "write", Attempt: 1}),
		l(62, record.FirstToken, record.Event{}),
		l(300, record.AttemptEnded, record.Event{Backend: "w1", Phase: "write", Attempt: 1, Detail: "answered"}),
		l(301, record.FinalAnswer, record.Event{Detail: "satisfied"}),
	}
}

func TestJudgeFindsEachPlantedOffenceAndNoOther(t *testing.T) {
	key := "d0.aa/1"
	at := func(ms int64, l record.Event) record.Event { l.TimeUs = ms * 1000; return l }
	for _, c := range []struct {
		name string
		rule int // 0: none is broken
		said string
		more []record.Event
		drop string
	}{
		{name: "a fair question"},
		{name: "two final answers", rule: 1, said: "2 final answers", more: []record.Event{at(310, record.Event{Kind: record.FinalAnswer, Try: "q1.0", Detail: "declined"})}},
		{name: "something after the answer", rule: 1, said: "1 things after", more: []record.Event{at(310, record.Event{Kind: record.AfterFinal, Try: "q1.0"})}},
		{name: "no answer", rule: 1, said: "nothing came", drop: record.FinalAnswer, more: []record.Event{at(30000, record.Event{Kind: record.Note})}},
		{name: "a trip after the answer", rule: 1, said: "after the final answer", more: []record.Event{
			at(900, record.Event{Kind: record.AttemptReceived, Try: "q1.0", RequestKey: key, Backend: "w2", Attempt: 2, Phase: "write"}),
			at(910, record.Event{Kind: record.AttemptEnded, Try: "q1.0", RequestKey: key, Backend: "w2", Attempt: 2, Phase: "write"})}},
		{name: "a connection cut by a running dispatcher", rule: 1, said: "no final answer", drop: record.FinalAnswer, more: []record.Event{
			at(310, record.Event{Kind: record.ConnectionLost, Try: "q1.0", Detail: "EOF"})}},
		{name: "a connection cut by a killed dispatcher", drop: record.FinalAnswer, more: []record.Event{
			at(310, record.Event{Kind: record.ConnectionLost, Try: "q1.0", Detail: "EOF"}), at(311, record.Event{Kind: record.ProcessEnded, Dispatcher: "d0", Detail: "killed"})}},
		{name: "an effect twice", rule: 2, said: "ran 2 times", more: []record.Event{at(320, record.Event{Kind: record.EffectStarted, Try: "q1.0", RequestKey: key, Backend: "w2", Attempt: 2})}},
		{name: "two trips out", rule: 2, said: "out together", more: []record.Event{
			at(100, record.Event{Kind: record.AttemptReceived, Try: "q1.0", RequestKey: key, Backend: "w2", Attempt: 2, Phase: "write"}),
			at(200, record.Event{Kind: record.AttemptEnded, Try: "q1.0", RequestKey: key, Backend: "w2", Attempt: 2, Phase: "write"})}},
		{name: "one trip at two boxes", rule: 2, said: "reached w1 and w3", more: []record.Event{
			at(305, record.Event{Kind: record.AttemptReceived, Try: "q1.0", RequestKey: key, Backend: "w3", Attempt: 1, Phase: "write"}),
			at(306, record.Event{Kind: record.AttemptEnded, Try: "q1.0", RequestKey: key, Backend: "w3", Attempt: 1, Phase: "write"})}},
		{name: "a trip to a draining box", rule: 3, said: "told that the box drains", more: []record.Event{
			at(-1000, record.Event{Kind: record.EndpointNotified, Dispatcher: "d0", Backend: "w1", Detail: "draining"})}},
		{name: "a trip within the grace", more: []record.Event{at(-100, record.Event{Kind: record.EndpointNotified, Dispatcher: "d0", Backend: "w1", Detail: "draining"})}},
		{name: "another dispatcher was told", more: []record.Event{at(-1000, record.Event{Kind: record.EndpointNotified, Dispatcher: "d1", Backend: "w1", Detail: "draining"})}},
		{name: "a cold box pushed over", rule: 4, said: "was sent", more: []record.Event{
			at(-300, record.Event{Kind: record.ProcessStarted, Backend: "w1", StartID: 9, SlowStart: true}), at(-200, record.Event{Kind: record.EndpointNotified, Dispatcher: "d0", Backend: "w1", Detail: "ready", StartID: 9}),
			at(53, record.Event{Kind: record.AttemptReceived, RequestKey: "d0.aa/7", Backend: "w1", Phase: "whole", Work: 3}), at(60, record.Event{Kind: record.AttemptEnded, RequestKey: "d0.aa/7", Backend: "w1", Phase: "whole"})}},
		{name: "a cold box pushed over by those who weren't told", more: []record.Event{
			at(-300, record.Event{Kind: record.ProcessStarted, Backend: "w1", StartID: 9, SlowStart: true}),
			at(53, record.Event{Kind: record.AttemptReceived, RequestKey: "d0.aa/7", Backend: "w1", Phase: "whole", Work: 3}), at(60, record.Event{Kind: record.AttemptEnded, RequestKey: "d0.aa/7", Backend: "w1", Phase: "whole"})}},
		{name: "a state left pinned", rule: 5, said: "with no trip out", more: []record.Event{
			at(305, record.Event{Kind: record.KVCacheHeld, RequestKey: key, Try: "q1.0", Backend: "r2"}), at(900, record.Event{Kind: record.KVCacheReleased, RequestKey: key, Try: "q1.0", Backend: "r2", Detail: "released"})}},
		{name: "a state never let go", rule: 5, said: "until the end", more: []record.Event{
			at(305, record.Event{Kind: record.KVCacheHeld, RequestKey: key, Try: "q1.0", Backend: "r2"}), at(900, record.Event{Kind: record.Note})}},
	} {
		var lines []record.Event
		for _, l := range fair("q1.0", key, "unrepeatable", 0) {
			if l.Kind != c.drop {
				lines = append(lines, l)
			}
		}
		lines = inOrder(append(lines, c.more...))
		v := Check(head(), lines)
		for i, r := range v.Rules {
			if r.Passed != (i+1 != c.rule) {
				t.Errorf("%s: rule %d kept %v: %v", c.name, i+1, r.Passed, r.Violations)
			}
		}
		if c.rule > 0 && (len(v.Rules[c.rule-1].Violations) == 0 || !strings.Contains(v.Rules[c.rule-1].Violations[0], c.said)) {
			t.Errorf("%s: says %q, not %q", c.name, v.Rules[c.rule-1].Violations, c.said)
		}
	}
}

func inOrder(lines []record.Event) []record.Event {
	for i := range lines {
		for j := i; j > 0 && lines[j].TimeUs < lines[j-1].TimeUs; j-- {
			lines[j], lines[j-1] = lines[j-1], lines[j]
		}
	}
	return lines
}

func TestJudgeWeighsLateAnswersAndFalseDeclines(t *testing.T) {
	late := fair("q1.0", "d0.aa/1", "idempotent", 0)
	late[7].TimeUs, late[9].TimeUs = 4100*1000, 4200*1000
	if v := Check(head(), inOrder(late)); v.Rules[0].Passed {
		t.Error("a first token after the client's time passes")
	}
	for grade, kept := range map[string]bool{"idempotent": true, "deduplicated": false, "unrepeatable": false} {
		lines := fair("q1.0", "d0.aa/1", grade, 0)
		lines[9].Detail = "declined"
		if v := Check(head(), lines); v.Rules[1].Passed != kept {
			t.Errorf("a decline of a %s question that ran: kept %v", grade, v.Rules[1].Passed)
		}
	}
}

func TestJudgeCountsTriesUnderTheirQuestion(t *testing.T) {
	lines := fair("q1.0", "d0.aa/1", "idempotent", 0)
	lines[9].Detail = "declined"
	lines = append(lines, fair("q1.1", "d0.aa/2", "idempotent", 800)...)
	lines = append(lines, fair("q2.0", "d0.aa/3", "idempotent", 2000)...)
	v := Check(head(), lines)
	row := v.Classes[0]
	if row.Requests != 2 || row.InTime != 2 || v.ValueShare != 1 || v.AttemptsPerRequest != 3 {
		t.Errorf("asked %d, in time %d, service %g, trips %g", row.Requests, row.InTime, v.ValueShare, v.AttemptsPerRequest)
	}
	for i := range lines[10:20] { // past the promise, counted from the first try
		lines[10+i].TimeUs += 400 * 1000
	}
	if v := Check(head(), lines); v.Classes[0].Late != 1 {
		t.Errorf("late %d", v.Classes[0].Late)
	}
}
