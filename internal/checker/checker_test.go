package checker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

func testHeader() record.Header {
	t := setup.DefaultDeployment()
	t.Rules.KVCacheHoldLimit, t.Rules.DrainGrace = setup.Duration(300*time.Millisecond),
		setup.Duration(250*time.Millisecond)
	t.Rules.SlowStartMultiple, t.Rules.SlowStartShare, t.Rules.SlowStartRamp = 2, 0.25, setup.Duration(10*time.Second)
	for _, effect := range []string{"idempotent", "deduplicated", "unrepeatable"} {
		t.Classes = append(t.Classes, setup.Class{Name: effect, Effect: effect, DedupScope: "zone", Value: 1})
	}
	return record.Header{Scenario: "test", Terms: t}
}

// servedRequest has the events of a request that dispatcher d0 prefills and decodes without breaking a rule.
func servedRequest(try, key, class string, startMs int64) []record.Event {
	event := func(ms int64, kind string, template record.Event) record.Event {
		template.TimeUs, template.Kind, template.Try, template.Class = (startMs+ms)*1000, kind, try, class
		if template.Backend != "" {
			template.RequestKey = key
		}
		return template
	}
	return []record.Event{
		event(0, record.RequestSent, record.Event{Request: strings.Split(try, ".")[0], Dispatcher: "d0", DeadlineUs: 4e6,
			LatencyTargetUs: 1e6, Tokens: 10}),
		event(2, record.AttemptReceived, record.Event{Backend: "r1", Phase: "read", Work: 0.1}),
		event(50, record.KVCacheHeld, record.Event{Backend: "r1"}),
		event(50, record.AttemptEnded, record.Event{Backend: "r1", Phase: "read", Detail: "read"}),
		event(52, record.AttemptReceived, record.Event{Backend: "w1", Phase: "write", Attempt: 1, Work: 0.1}),
		event(60, record.KVCacheReleased, record.Event{Backend: "r1", Detail: "taken"}),
		event(61, record.EffectStarted, record.Event{Backend: "w1", Phase: "write", Attempt: 1}),
		event(62, record.FirstToken, record.Event{}),
		event(300, record.AttemptEnded, record.Event{Backend: "w1", Phase: "write", Attempt: 1, Detail: "answered"}),
		event(301, record.FinalAnswer, record.Event{Detail: "satisfied"}),
	}
}

func TestCheckReportsEachViolationAndNoOther(t *testing.T) {
	key := "d0.aa/1"
	at := func(ms int64, event record.Event) record.Event { event.TimeUs = ms * 1000; return event }
	for _, c := range []struct {
		name  string
		rule  int // 0: none is broken
		text  string
		added []record.Event
		drop  string // kind of event that is left out
	}{
		{name: "no violation"},
		{name: "two final answers", rule: 1, text: "2 final answers", added: []record.Event{
			at(310, record.Event{Kind: record.FinalAnswer, Try: "q1.0", Detail: "declined"})}},
		{name: "something after the answer", rule: 1, text: "1 things after", added: []record.Event{
			at(310, record.Event{Kind: record.AfterFinal, Try: "q1.0"})}},
		{name: "no answer", rule: 1, text: "nothing came", drop: record.FinalAnswer, added: []record.Event{
			at(30000, record.Event{Kind: record.Note})}},
		{name: "an attempt after the answer", rule: 1, text: "after the final answer", added: []record.Event{
			at(900, record.Event{Kind: record.AttemptReceived, Try: "q1.0", RequestKey: key, Backend: "w2", Attempt: 2,
				Phase: "write"}),
			at(910, record.Event{Kind: record.AttemptEnded, Try: "q1.0", RequestKey: key, Backend: "w2", Attempt: 2,
				Phase: "write"})}},
		{name: "a connection lost by a running dispatcher", rule: 1, text: "no final answer", drop: record.FinalAnswer,
			added: []record.Event{
				at(310, record.Event{Kind: record.ConnectionLost, Try: "q1.0", Detail: "EOF"})}},
		{name: "a connection lost by a killed dispatcher", drop: record.FinalAnswer, added: []record.Event{
			at(310, record.Event{Kind: record.ConnectionLost, Try: "q1.0", Detail: "EOF"}),
			at(311, record.Event{Kind: record.ProcessEnded, Dispatcher: "d0", Detail: "killed"})}},
		{name: "an effect twice", rule: 2, text: "ran 2 times", added: []record.Event{
			at(320, record.Event{Kind: record.EffectStarted, Try: "q1.0", RequestKey: key, Backend: "w2", Attempt: 2})}},
		{name: "two attempts in flight", rule: 2, text: "out together", added: []record.Event{
			at(100, record.Event{Kind: record.AttemptReceived, Try: "q1.0", RequestKey: key, Backend: "w2", Attempt: 2,
				Phase: "write"}),
			at(200, record.Event{Kind: record.AttemptEnded, Try: "q1.0", RequestKey: key, Backend: "w2", Attempt: 2,
				Phase: "write"})}},
		{name: "one attempt at two backends", rule: 2, text: "reached w1 and w3", added: []record.Event{
			at(305, record.Event{Kind: record.AttemptReceived, Try: "q1.0", RequestKey: key, Backend: "w3", Attempt: 1,
				Phase: "write"}),
			at(306, record.Event{Kind: record.AttemptEnded, Try: "q1.0", RequestKey: key, Backend: "w3", Attempt: 1,
				Phase: "write"})}},
		{name: "an attempt to a draining backend", rule: 3, text: "told that the box drains", added: []record.Event{
			at(-1000, record.Event{Kind: record.EndpointNotified, Dispatcher: "d0", Backend: "w1", Detail: "draining"})}},
		{name: "an attempt within the grace period", added: []record.Event{
			at(-100, record.Event{Kind: record.EndpointNotified, Dispatcher: "d0", Backend: "w1", Detail: "draining"})}},
		{name: "another dispatcher notified of the drain", added: []record.Event{
			at(-1000, record.Event{Kind: record.EndpointNotified, Dispatcher: "d1", Backend: "w1", Detail: "draining"})}},
		{name: "a backend overloaded in slow start", rule: 4, text: "was sent", added: []record.Event{
			at(-300, record.Event{Kind: record.ProcessStarted, Backend: "w1", StartID: 9, SlowStart: true}),
			at(-200, record.Event{Kind: record.EndpointNotified, Dispatcher: "d0", Backend: "w1", Detail: "ready",
				StartID: 9}),
			at(53, record.Event{Kind: record.AttemptReceived, RequestKey: "d0.aa/7", Backend: "w1", Phase: "whole", Work: 3}),
			at(60, record.Event{Kind: record.AttemptEnded, RequestKey: "d0.aa/7", Backend: "w1", Phase: "whole"})}},
		{name: "a backend overloaded in slow start by a dispatcher not notified of the start", added: []record.Event{
			at(-300, record.Event{Kind: record.ProcessStarted, Backend: "w1", StartID: 9, SlowStart: true}),
			at(53, record.Event{Kind: record.AttemptReceived, RequestKey: "d0.aa/7", Backend: "w1", Phase: "whole", Work: 3}),
			at(60, record.Event{Kind: record.AttemptEnded, RequestKey: "d0.aa/7", Backend: "w1", Phase: "whole"})}},
		{name: "a KV cache released late", rule: 5, text: "with no trip out", added: []record.Event{
			at(305, record.Event{Kind: record.KVCacheHeld, RequestKey: key, Try: "q1.0", Backend: "r2"}),
			at(900, record.Event{Kind: record.KVCacheReleased, RequestKey: key, Try: "q1.0", Backend: "r2",
				Detail: "released"})}},
		{name: "a KV cache never released", rule: 5, text: "until the end", added: []record.Event{
			at(305, record.Event{Kind: record.KVCacheHeld, RequestKey: key, Try: "q1.0", Backend: "r2"}),
			at(900, record.Event{Kind: record.Note})}},
	} {
		var events []record.Event
		for _, event := range servedRequest("q1.0", key, "unrepeatable", 0) {
			if event.Kind != c.drop {
				events = append(events, event)
			}
		}
		events = sortByTime(append(events, c.added...))
		v := Check(testHeader(), events)
		for i, r := range v.Rules {
			if r.Passed != (i+1 != c.rule) {
				t.Errorf("%s: rule %d passed %v: %v", c.name, i+1, r.Passed, r.Violations)
			}
		}
		if c.rule > 0 && (len(v.Rules[c.rule-1].Violations) == 0 ||
			!strings.Contains(v.Rules[c.rule-1].Violations[0], c.text)) {
			t.Errorf("%s: violations %q do not contain %q", c.name, v.Rules[c.rule-1].Violations, c.text)
		}
	}
}

func sortByTime(events []record.Event) []record.Event {
	for i := range events {
		for j := i; j > 0 && events[j].TimeUs < events[j-1].TimeUs; j-- {
			events[j], events[j-1] = events[j-1], events[j]
		}
	}
	return events
}

func TestCheckReportsLateAnswersAndRejectionsAfterAnEffect(t *testing.T) {
	late := servedRequest("q1.0", "d0.aa/1", "idempotent", 0)
	late[7].TimeUs, late[9].TimeUs = 4100*1000, 4200*1000
	if v := Check(testHeader(), sortByTime(late)); v.Rules[0].Passed {
		t.Error("a first token after the client's deadline passes")
	}
	for class, passed := range map[string]bool{"idempotent": true, "deduplicated": false, "unrepeatable": false} {
		events := servedRequest("q1.0", "d0.aa/1", class, 0)
		events[9].Detail = "declined"
		if v := Check(testHeader(), events); v.Rules[1].Passed != passed {
			t.Errorf("rejection of a %s request after its effect: passed %v", class, v.Rules[1].Passed)
		}
	}
}

func TestCheckCountsTriesUnderTheirRequest(t *testing.T) {
	events := servedRequest("q1.0", "d0.aa/1", "idempotent", 0)
	events[9].Detail = "declined"
	events = append(events, servedRequest("q1.1", "d0.aa/2", "idempotent", 800)...)
	events = append(events, servedRequest("q2.0", "d0.aa/3", "idempotent", 2000)...)
	v := Check(testHeader(), events)
	row := v.Classes[0]
	if row.Requests != 2 || row.InTime != 2 || v.ValueShare != 1 || v.AttemptsPerRequest != 3 {
		t.Errorf("requests %d, in time %d, value share %g, attempts per request %g", row.Requests, row.InTime, v.ValueShare,
			v.AttemptsPerRequest)
	}
	for i := range events[10:20] { // later than the latency target, counted from the first try
		events[10+i].TimeUs += 400 * 1000
	}
	if v := Check(testHeader(), events); v.Classes[0].Late != 1 {
		t.Errorf("late %d", v.Classes[0].Late)
	}
}

// Verdicts are stored, so usage keeps its printed form whatever its fields are called.
func TestUsageKeepsItsPrintedForm(t *testing.T) {
	if text := fmt.Sprintf("%+v", Usage{1, 2, 3, 4}); text != "{Trips:1 Read:2 Kept:3 Answer:4}" {
		t.Errorf("usage prints as %s", text)
	}
}
