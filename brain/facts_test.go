package brain

import (
	"math"
	"strings"
	"testing"
	"time"
)

// settingsWith returns the settings of a small deployment with one change; nil removes the setting.
func stated(name string, value any) Facts {
	f := Facts{"siblings": 3.0, "familyInfo.kindRole": 1.0, "familyInfo.kindRole.0": "both", "policyLimits.maxAttempts": 3.0,
		"rules.tipMultiple": 2.5, "rules.tipAfterUs": 2e6, "rules.coldFrom": 0.4, "rules.rampTimeUs": 9e6,
		"requestClasses": 1.0, "requestClasses.0.effect": "by_key", "requestClasses.0.aimUs": 1e6, "requestClasses.0.giveUpUs": 4e6,
		"requestClasses.0.windowUs": 1e6, "requestClasses.0.worth": 1.0}
	if f[name] = value; value == nil {
		delete(f, name)
	}
	return f
}

// Without the slow-start rule no backend is in slow start, not even one that has just started, and nothing is
// divided by zero.
func TestWithoutTheRuleOnColdHostsNoneIsCold(t *testing.T) {
	for _, name := range []string{"rules.tipMultiple", "rules.tipAfterUs", "rules.rampTimeUs"} {
		for _, value := range []any{nil, 0.0} {
			out := &door{now: time.Second}
			d, err := New(stated(name, value), 1, out)
			if err != nil {
				t.Fatal(err)
			}
			d.Listed([]Listing{{Host: &Backend{ID: 1}, Standing: Ready, Units: 1, Restart: true, Booted: time.Second}}, true)
			d.Submit(&Request{ID: 1, Prompt: 100, Most: 10, Left: 4 * time.Second}, 0, 0)
			if len(out.sent) != 1 {
				t.Errorf("%s = %v: a host that has just started gets nothing", name, value)
			}
		}
	}
}

// Settings that may be left out or stated as 0 don't keep a dispatcher from starting; invalid ones do, with an
// error of one line that names the setting.
func TestSettingsThatACustomerMayHave(t *testing.T) {
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
		d, err := New(stated(c.name, c.value), 1, &door{})
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
		d.Listed([]Listing{{Host: h, Standing: Ready, Units: 1, Restart: true}}, true)
		q := &Request{ID: 1, Prompt: 100, Most: 10, Left: 4e9}
		d.Submit(q, 0, 0)
		if math.IsNaN(d.window) || math.IsNaN(h.Room) {
			t.Errorf("%s = %v: window %g, room %g", c.name, c.value, d.window, h.Room)
		}
	}
}

// A repeat whose connection is made after the deduplication window has closed is not sent; before that it is.
func TestARepeatWhoseWindowClosedIsNotSent(t *testing.T) {
	out := &door{now: time.Second}
	d, err := New(stated("siblings", 1.0), 1, out)
	if err != nil {
		t.Fatal(err)
	}
	hosts := []Listing{{Host: &Backend{ID: 1}, Standing: Ready, Units: 1}, {Host: &Backend{ID: 2}, Standing: Ready, Units: 1}}
	d.Listed(hosts, true)
	q := &Request{ID: 1, Prompt: 100, Most: 10, Left: 4 * time.Second}
	d.Submit(q, 0, 0)
	d.Ended(out.sent[0], Result{Outcome: Broken})
	if len(out.sent) != 2 {
		t.Fatalf("%d trips", len(out.sent))
	}
	repeat := out.sent[1]
	if d.MaySend(repeat) != Allowed {
		t.Error("a repeat within the window does not stand")
	}
	out.now = out.sent[0].Sent + q.Class.Window
	if d.MaySend(repeat) == Allowed {
		t.Error("a repeat stands after the window")
	}
	out.now = out.sent[0].Sent + q.Class.Window/2
	repeat.Backend.Standing = Draining
	if d.MaySend(repeat) == Allowed {
		t.Error("a trip to a host that drains stands")
	}
	repeat.Backend.Standing, q.Over = Ready, true
	if d.MaySend(repeat) == Allowed {
		t.Error("a trip stands after its question is over")
	}
}
