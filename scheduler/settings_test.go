package scheduler

import (
	"math"
	"strings"
	"testing"
	"time"
)

// settingsWith returns the settings of a small deployment with one change; nil removes the setting.
func settingsWith(name string, value any) Settings {
	settings := Settings{"siblings": 3.0, "familyInfo.kindRole": 1.0, "familyInfo.kindRole.0": "both",
		"policyLimits.maxAttempts": 3.0,
		"rules.tipMultiple":        2.5, "rules.tipAfterUs": 2e6, "rules.coldFrom": 0.4, "rules.rampTimeUs": 9e6,
		"requestClasses": 1.0, "requestClasses.0.effect": "by_key", "requestClasses.0.aimUs": 1e6,
		"requestClasses.0.giveUpUs": 4e6,
		"requestClasses.0.windowUs": 1e6, "requestClasses.0.worth": 1.0}
	if settings[name] = value; value == nil {
		delete(settings, name)
	}
	return settings
}

// Without the slow-start rule no backend is in slow start, not even one that has just started, and nothing is
// divided by zero.
func TestWithoutSlowStartRuleNoBackendIsInSlowStart(t *testing.T) {
	for _, name := range []string{"rules.tipMultiple", "rules.tipAfterUs", "rules.rampTimeUs"} {
		for _, value := range []any{nil, 0.0} {
			runtime := &fakeRuntime{now: time.Second}
			d, err := New(settingsWith(name, value), 1, runtime)
			if err != nil {
				t.Fatal(err)
			}
			d.UpdateEndpoints([]Endpoint{{Backend: &Backend{ID: 1}, State: Ready, CapacityUnits: 1, StartReported: true,
				StartedAt: time.Second}}, true)
			d.Submit(&Request{ID: 1, PromptTokens: 100, MaxOutputTokens: 10, Timeout: 4 * time.Second}, 0, 0)
			if len(runtime.sent) != 1 {
				t.Errorf("%s = %v: a backend that has just started gets nothing", name, value)
			}
		}
	}
}

// Settings that may be left out or stated as 0 don't keep a dispatcher from starting; invalid ones do, with an
// error of one line that names the setting.
func TestOptionalAndInvalidSettings(t *testing.T) {
	for _, tc := range []struct {
		name  string
		value any
		fails bool
	}{
		{"siblings", nil, false}, {"siblings", 0.0, false}, {"siblings", -1.0, true}, {"siblings", math.NaN(), true},
		{"siblings", "3", true},
		{"policyLimits.maxAttempts", nil, false}, {"policyLimits.maxAttempts", 0.0, false},
		{"policyLimits.maxAttempts", -2.0, true},
		{"policyLimits.maxAttempts", math.Inf(1), true},
		{"rules.tipMultiple", nil, false}, {"rules.tipMultiple", 0.0, false}, {"rules.tipMultiple", -1.0, true},
		{"rules.tipAfterUs", nil, false}, {"rules.tipAfterUs", 0.0, false}, {"rules.tipAfterUs", 1e300, true},
		{"rules.coldFrom", nil, false}, {"rules.coldFrom", 0.0, false}, {"rules.coldFrom", 1.5, true},
		{"rules.rampTimeUs", nil, false}, {"rules.rampTimeUs", 0.0, false}, {"rules.rampTimeUs", true, true},
		{"prices.peer", -1.0, true}, {"something.else", "unknown", false}, {"something.more", math.NaN(), false},
		{"familyInfo.kindRole", nil, true}, {"requestClasses", nil, true}, {"requestClasses", 0.0, true},
		{"requestClasses.0.effect", nil, true}, {"requestClasses.0.effect", "sometimes", true},
		{"requestClasses.0.aimUs", nil, false}, {"requestClasses.0.aimUs", 0.0, false},
		{"requestClasses.0.aimUs", -5.0, true},
		{"requestClasses.0.aimUs", math.Inf(1), true},
		{"requestClasses.0.windowUs", nil, false}, {"requestClasses.0.windowUs", 0.0, false},
		{"requestClasses.0.windowUs", 1.0, false},
		{"requestClasses.0.windowUs", -1.0, true},
		{"requestClasses.0.worth", nil, false}, {"requestClasses.0.worth", 0.0, false},
		{"requestClasses.0.worth", -1.0, true},
		{"requestClasses.0.lateWorth", 0.0, false}, {"tenants", 0.0, false}, {"dcs", nil, false},
	} {
		dispatcher, err := New(settingsWith(tc.name, tc.value), 1, &fakeRuntime{})
		if (err != nil) != tc.fails {
			t.Errorf("%s = %v: %v", tc.name, tc.value, err)
			continue
		}
		if err != nil {
			if !strings.Contains(err.Error(), tc.name) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s = %v: the error does not name the setting in one line: %v", tc.name, tc.value, err)
			}
			continue
		}
		backend := &Backend{ID: 1}
		dispatcher.UpdateEndpoints([]Endpoint{{Backend: backend, State: Ready, CapacityUnits: 1, StartReported: true}}, true)
		req := &Request{ID: 1, PromptTokens: 100, MaxOutputTokens: 10, Timeout: 4e9}
		dispatcher.Submit(req, 0, 0)
		if math.IsNaN(dispatcher.window) || math.IsNaN(backend.TokenLimit) {
			t.Errorf("%s = %v: window %g, token limit %g", tc.name, tc.value, dispatcher.window, backend.TokenLimit)
		}
	}
}

// A repeat whose connection is made after the deduplication window has closed is not sent; before that it is.
func TestRepeatIsNotSentAfterDedupWindow(t *testing.T) {
	runtime := &fakeRuntime{now: time.Second}
	dispatcher, err := New(settingsWith("siblings", 1.0), 1, runtime)
	if err != nil {
		t.Fatal(err)
	}
	endpoints := []Endpoint{{Backend: &Backend{ID: 1}, State: Ready, CapacityUnits: 1},
		{Backend: &Backend{ID: 2}, State: Ready, CapacityUnits: 1}}
	dispatcher.UpdateEndpoints(endpoints, true)
	req := &Request{ID: 1, PromptTokens: 100, MaxOutputTokens: 10, Timeout: 4 * time.Second}
	dispatcher.Submit(req, 0, 0)
	dispatcher.AttemptDone(runtime.sent[0], Result{Outcome: ConnectionLost})
	if len(runtime.sent) != 2 {
		t.Fatalf("%d attempts", len(runtime.sent))
	}
	repeat := runtime.sent[1]
	if dispatcher.MaySend(repeat) != Allowed {
		t.Error("a repeat within the window may not be sent")
	}
	runtime.now = runtime.sent[0].SentAt + req.Class.DedupWindow
	if dispatcher.MaySend(repeat) == Allowed {
		t.Error("a repeat after the window may be sent")
	}
	runtime.now = runtime.sent[0].SentAt + req.Class.DedupWindow/2
	repeat.Backend.State = Draining
	if dispatcher.MaySend(repeat) == Allowed {
		t.Error("an attempt at a draining backend may be sent")
	}
	repeat.Backend.State, req.Finished = Ready, true
	if dispatcher.MaySend(repeat) == Allowed {
		t.Error("an attempt of a finished request may be sent")
	}
}
