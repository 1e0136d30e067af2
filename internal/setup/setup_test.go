package setup

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloetrestle/scheduler"
)

const validFile = `model = "lodge"
zones = ["a", "b"]

[dispatcher]
name = "d1"
number = 1
siblings = 2
zone = "b"
listen = ["127.0.0.1:8100"]
boxes = "127.0.0.1:8000"

[rules]
pin_limit = "300ms"

[[grade]]
name = "quick"
effect = "idempotent"
promised = "800ms"
promised_per_1000 = "60ms"
expiry = "4s"
benefit = 2.0
max_tokens = 80

[[grade]]
name = "booking"
effect = "unrepeatable"
promised = "1s"
expiry = "4s"
benefit = 5.0
max_tokens = 80

[[kind]]
name = "intake"
role = "reader"
memory = 200000

[[channel]]
name = "web"
share = 1.0
questions_a_second = 12.5
`

func load(t *testing.T, text string) (DispatcherConfig, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "d.toml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	config, err := Load(file)
	if err != nil && !strings.HasPrefix(err.Error(), file+":") {
		t.Errorf("the error does not name the file: %v", err)
	}
	return config, err
}

func TestTheSchedulerStartsFromAValidFile(t *testing.T) {
	config, err := load(t, validFile)
	if err != nil {
		t.Fatal(err)
	}
	parameters := config.SchedulerParameters()
	if err := parameters.Validate(); err != nil {
		t.Fatal(err)
	}
	classes, err := parameters.Classes()
	if err != nil {
		t.Fatal(err)
	}
	booking := classes[1]
	if booking.Effect != scheduler.NonIdempotent || booking.Target != time.Second || booking.Value != 5 ||
		classes[0].TargetPer1000Tokens != 60*time.Millisecond {
		t.Errorf("%+v", booking)
	}
	if parameters.Number("zone", -1) != 1 || parameters.Number("slotNo", -1) != 1 ||
		parameters.RoleOf(0) != scheduler.RolePrefill || parameters.KVCapacityOf(0) != 200000 ||
		parameters.Tenants()[0].Quota != 12.5 || !parameters.Bool("familyInfo.localRead") {
		t.Errorf("%v", parameters)
	}
}

func TestAnEncodedConfigurationCanBeLoaded(t *testing.T) {
	config, err := load(t, validFile)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(config); err != nil {
		t.Fatal(err)
	}
	again, err := load(t, out.String())
	if err != nil {
		t.Fatalf("%v in\n%s", err, out.String())
	}
	if again.Classes[1] != config.Classes[1] || again.Rules != config.Rules || again.Limits != config.Limits ||
		again.Instance.ResponseMargin != config.Instance.ResponseMargin {
		t.Errorf("%+v became %+v", config, again)
	}
}

// Recordings store the deployment as JSON, under names that older recordings and their readers use.
func TestADeploymentKeepsItsFieldNamesInJSON(t *testing.T) {
	deployment := DefaultDeployment()
	rate := 2.5
	deployment.Classes = []Class{{Name: "g"}}
	deployment.Tenants = []Tenant{{Name: "c"}}
	deployment.Budgets = []Budget{{Tenant: "c", TokensPerSecond: &rate}}
	deployment.BackendKinds = []BackendKind{{Name: "k"}}
	want := `{"Model":"lodge","Zones":["here"],"Report":["util","queue","x0"],` +
		`"Grades":[{"Name":"g","Effect":"","Reach":"","Window":"0s","Promised":"0s","PerK":"0s","Expiry":"0s",` +
		`"Benefit":0,"Late":0,"TokenTime":"0s","Most":0}],"Channels":[{"Name":"c","Share":0,"PerS":0}],` +
		`"Budgets":[{"Channel":"c","Grade":"","PerS":2.5,"Burst":0,"Monthly":null,"Borrow":0}],` +
		`"Kinds":[{"Name":"k","Role":"","Memory":0}],"Rules":{"Slack":"8ms","DrainGrace":"1s","ColdMultiple":2.5,` +
		`"ColdWindow":"2s","ColdShare":0.3,"ColdRamp":"12s","Pin":"500ms"},"Limits":{"Trips":4,"Dial":"250ms",` +
		`"Open":20000,"BoxConns":512,"Stall":"20s","RetryAfter":"500ms","Storms":true,"Cancel":true,` +
		`"Siblings":false,"NewsPrice":0,"ZonePrice":0,"OverShare":0.1,"ByWork":true,"LocalRead":true}}`
	if raw, err := json.Marshal(deployment); err != nil || string(raw) != want {
		t.Errorf("got %s (%v), want %s", raw, err, want)
	}
}

// A value that is present but out of range must not reach the scheduler, which could divide by zero, loop without end
// or wait forever. Each value replaces a default in its table.
func TestValuesOutOfRangeAreRejectedByKey(t *testing.T) {
	for _, c := range []struct{ table, line, wantKey string }{
		{"rules", `cold_window = "1ns"`, "rules.cold_window"},
		{"rules", `cold_window = "200h"`, "rules.cold_window"},
		{"rules", `cold_multiple = inf`, "rules.cold_multiple"},
		{"rules", `cold_share = nan`, "rules.cold_share"},
		{"rules", `cold_ramp = "20000h"`, "rules.cold_ramp"},
		{"rules", `drain_grace = "100ms"`, "rules.drain_grace"}, // a connection may take limits.dial, 250 ms
		{"limits", `over_share_benefit = nan`, "limits.over_share_benefit"},
		{"limits", `news_price = nan`, "limits.news_price"},
		{"limits", `zone_price = -1.0`, "limits.zone_price"},
		{"limits", `stall = "1ns"`, "limits.stall"},
		{"limits", `retry_after = "200000h"`, "limits.retry_after"},
		{"dispatcher", `connections_a_second = nan`, "dispatcher.connections_a_second"},
		{"dispatcher", `write_time = "0s"`, "dispatcher.write_time"},
		{"dispatcher", `body_time = "0s"`, "dispatcher.body_time"},
		{"dispatcher", `margin = "1h"`, "dispatcher.margin"},
		{"dispatcher", "siblings = 70000", "dispatcher.siblings"},
		{"grade", `benefit = nan`, "grade.0.benefit"},
		{"grade", `late_benefit = inf`, "grade.0.late_benefit"},
		{"grade", `promised = "10ns"`, "grade.0.promised"},
		{"grade", `promised_per_1000 = "1000h"`, "grade.0.promised_per_1000"},
		{"grade", `expiry = "2000000h"`, "grade.0.expiry"},
		{"grade", `max_tokens = 20000000`, "grade.0.max_tokens"},
		{"grade", `name = "booking"`, "grade.1.name"},
		{"channel", `questions_a_second = nan`, "channel.0.questions_a_second"},
		{"kind", `memory = 4000000000000000000`, "kind.0.memory"},
	} {
		// The new line follows the table's first head, and the old line of that key is removed.
		head, rest, found := strings.Cut(validFile+"[limits]\n", "["+c.table+"]")
		if !found {
			t.Fatalf("no table %s", c.table)
		}
		rest = strings.TrimPrefix(rest, "]")
		table, others, more := strings.Cut(rest, "\n[")
		if more {
			others = "\n[" + others
		}
		key, _, _ := strings.Cut(c.line, " ")
		lines := slices.DeleteFunc(strings.Split(table, "\n"),
			func(l string) bool { return strings.HasPrefix(l, key+" ") })
		closing := "]"
		if strings.HasSuffix(head, "[") {
			closing = "]]"
		}
		changed := head + "[" + c.table + closing + "\n" + c.line + "\n" + strings.Join(lines, "\n") + others
		if _, err := load(t, changed); err == nil || !strings.Contains(err.Error(), c.wantKey+":") {
			t.Errorf("%s: %v", c.line, err)
		}
	}
}

func TestInvalidValuesAreRejectedWithTheirLine(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`number = 1`, `number = 2`, "dispatcher.number"},
		{`zone = "b"`, `zone = "c"`, "dispatcher.zone"},
		{`listen = ["127.0.0.1:8100"]`, `listen = ["here"]`, "dispatcher.listen"},
		{`boxes = "127.0.0.1:8000"`, "boxes = \"127.0.0.1:8000\"\nallow = [\"10.0.0.0/99\"]", "dispatcher.allow"},
		{`effect = "unrepeatable"`, `effect = "never"`, "grade.1.effect"},
		{`promised = "1s"`, `promised = "9s"`, "grade.1.expiry"},
		{`role = "reader"`, `role = "both"`, "kind.0.role"},
		{`memory = 200000`, `memory = "much"`, "kind.memory"},
		{`pin_limit = "300ms"`, `pin_limit = 300`, "rules.pin_limit"},
		{`pin_limit = "300ms"`, `pinlimit = "300ms"`, "rules.pinlimit: no such key"},
		{`pin_limit = "300ms"`, `pin_limit = "0s"`, "rules.pin_limit"},
	} {
		changed := strings.Replace(validFile, c.old, c.new, 1)
		_, err := load(t, changed)
		key := c.new
		if c.want == "grade.1.expiry" {
			key = "expiry = \"4s\"\nbenefit = 5"
		}
		if strings.Contains(key, "allow") {
			key = "allow ="
		}
		line := 1 + strings.Count(changed[:strings.Index(changed, key)], "\n")
		if err == nil || !strings.Contains(err.Error(), c.want) ||
			!strings.Contains(err.Error(), ":"+strconv.Itoa(line)+": ") {
			t.Errorf("%s: %v; want an error on line %d", c.new, err, line)
		}
	}
}
