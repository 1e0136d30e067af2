package brain

import (
	"math"
	"strings"
	"testing"
	"time"
)

// stated are the settings of a small deployment with one change; nil takes the setting away.
func settingsWith(name string, value any) Settings {
	f := Settings{"siblings": 3.0, "familyInfo.kindRole": 1.0, "familyInfo.kindRole.0": "both", "policyLimits.maxAttempts": 3.0,
		"rules.tipMultiple": 2.5, "rules.tipAfterUs": 2e6, "rules.coldFrom": 0.4, "rules.rampTimeUs": 9e6,
		"requestClasses": 1.0, "requestClasses.0.effect": "by_key", "requestClasses.0.aimUs": 1e6, "requestClasses.0.giveUpUs": 4e6,
		"requestClasses.0.windowUs": 1e6, "requestClasses.0.worth": 1.0}
	if f[name] = value; value == nil {
		delete(f, name)
	}
	return f
}

// Without the rule on cold backends none is cold, one that starts neither, and the module divides by nothing.
func TestWithoutSlowStartRuleNoBackendIsInSlowStart(t *testing.T) {
	for _, name := range []string{"rules.tipMultiple", "rules.tipAfterUs", "rules.rampTimeUs"} {
		for _, value := range []any{nil, 0.0} {
			out := &fakeRuntime{now: time.Second}
			d, err := New(settingsWith(name, value), 1, out)
			if err != nil {
				t.Fatal(err)
			}
			d.UpdateEndpoints([]Endpoint{{Backend: &Backend{ID: 1}, State: Ready, CapacityUnits: 1, StartReported: true, StartedAt: time.Second}}, true)
			d.Submit(&Request{ID: 1, PromptTokens: 100, MaxOutputTokens: 10, Timeout: 4 * time.Second}, 0, 0)
			if len(out.sent) != 1 {
				t.Errorf("%s = %v: a host that has just started gets nothing", name, value)
			}
		}
	}
}

// What a customer may leave out, or state as nought, does not keep an instance from starting; what can't be served does, and says the key.
func TestOptionalAndInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		fails bool
	}{
		{"siblings", nil, false}, {"siblings", 0.0, false}, {"siblings", -1.0, true}, {"siblings", math.NaN(), true}, {"siblings", "3", true},
		{"policyLimits.maxAttempts", nil, false}, {"policyLimits.maxAttempts", 0.0, false}, {"policyLimits.maxAttempts", -2.0, true},
		{"policyLimits.maxAttempts", math.Inf(1), true},
		{"rules.tipMultiple", nil, false}, {"rules.tipMultiple", 0.0, false}, {"rules.tipMultiple", -1.0, true},
		{"rules.tipAfterUs", nil, false}, {"rules.tipAfterUs", 0.0, false}, {"rules.tipAfterUs", 1e300, true},
		{"rules.coldFrom", nil, false}, {"rules.coldFrom", 0.0, false}, {"rules.coldFrom", 1.5, true},
		{"rules.rampTimeUs", nil, false}, {"rules.rampTimeUs", 0.0, false}, {"rules.rampTimeUs", true, true},
		{"prices.peer", -1.0, true}, {"something.else", "unknown", false}, {"something.more", math.NaN(), false},
		{"familyInfo.kindRole", nil, true}, {"requestClasses", nil, true}, {"requestClasses", 0.0, true},
		{"requestClasses.0.effect", nil, true}, {"requestClasses.0.effect", "sometimes", true},
		{"requestClasses.0.aimUs", nil, false}, {"requestClasses.0.aimUs", 0.0, false}, {"requestClasses.0.aimUs", -5.0, true},
		{"requestClasses.0.aimUs", math.Inf(1), true},
		{"requestClasses.0.windowUs", nil, false}, {"requestClasses.0.windowUs", 0.0, false}, {"requestClasses.0.windowUs", 1.0, false},
		{"requestClasses.0.windowUs", -1.0, true},
		{"requestClasses.0.worth", nil, false}, {"requestClasses.0.worth", 0.0, false}, {"requestClasses.0.worth", -1.0, true},
		{"requestClasses.0.lateWorth", 0.0, false}, {"tenants", 0.0, false}, {"dcs", nil, false},
	} {
		d, err := New(settingsWith(c.name, c.value), 1, &fakeRuntime{})
		if (err != nil) != c.fails {
			t.Errorf("%s = %v: %v", c.name, c.value, err)
			continue
		}
		if err != nil {
			if !strings.Contains(err.Error(), c.name) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s = %v: the error does not say the key in one line: %v", c.name, c.value, err)
			}
			continue
		}
		h := &Backend{ID: 1}
		d.UpdateEndpoints([]Endpoint{{Backend: h, State: Ready, CapacityUnits: 1, StartReported: true}}, true)
		q := &Request{ID: 1, PromptTokens: 100, MaxOutputTokens: 10, Timeout: 4e9}
		d.Submit(q, 0, 0)
		if math.IsNaN(d.window) || math.IsNaN(h.TokenLimit) {
			t.Errorf("%s = %v: window %g, room %g", c.name, c.value, d.window, h.TokenLimit)
		}
	}
}

// A repeat whose connection came up after the window in which repeats are dropped is not sent; before that it is.
func TestRepeatIsNotSentAfterDedupWindow(t *testing.T) {
	out := &fakeRuntime{now: time.Second}
	d, err := New(settingsWith("siblings", 1.0), 1, out)
	if err != nil {
		t.Fatal(err)
	}
	hosts := []Endpoint{{Backend: &Backend{ID: 1}, State: Ready, CapacityUnits: 1}, {Backend: &Backend{ID: 2}, State: Ready, CapacityUnits: 1}}
	d.UpdateEndpoints(hosts, true)
	q := &Request{ID: 1, PromptTokens: 100, MaxOutputTokens: 10, Timeout: 4 * time.Second}
	d.Submit(q, 0, 0)
	d.AttemptDone(out.sent[0], Result{Outcome: ConnectionLost})
	if len(out.sent) != 2 {
		t.Fatalf("%d trips", len(out.sent))
	}
	repeat := out.sent[1]
	if d.MaySend(repeat) != Allowed {
		t.Error("a repeat within the window does not stand")
	}
	out.now = out.sent[0].SentAt + q.Class.DedupWindow
	if d.MaySend(repeat) == Allowed {
		t.Error("a repeat stands after the window")
	}
	out.now = out.sent[0].SentAt + q.Class.DedupWindow/2
	repeat.Backend.State = Draining
	if d.MaySend(repeat) == Allowed {
		t.Error("a trip to a host that drains stands")
	}
	repeat.Backend.State, q.Finished = Ready, true
	if d.MaySend(repeat) == Allowed {
		t.Error("a trip stands after its question is over")
	}
}
