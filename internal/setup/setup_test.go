package setup

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloetrestle/brain"
)

const text = `model = "lodge"
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
	d, err := Load(file)
	if err != nil && !strings.HasPrefix(err.Error(), file+":") {
		t.Errorf("the error names no file: %v", err)
	}
	return d, err
}

func TestTheModuleStartsFromWhatTheFileSays(t *testing.T) {
	d, err := load(t, text)
	if err != nil {
		t.Fatal(err)
	}
	f := d.SchedulerParameters()
	if err := f.Validate(); err != nil {
		t.Fatal(err)
	}
	grades, err := f.Classes()
	if err != nil {
		t.Fatal(err)
	}
	g := grades[1]
	if g.Effect != brain.NonIdempotent || g.Target != time.Second || g.Value != 5 || grades[0].TargetPer1000Tokens != 60*time.Millisecond {
		t.Errorf("%+v", g)
	}
	if f.Number("zone", -1) != 1 || f.Number("slotNo", -1) != 1 || f.RoleOf(0) != brain.RolePrefill ||
		f.KVCapacityOf(0) != 200000 || f.Tenants()[0].Quota != 12.5 || !f.Bool("familyInfo.localRead") {
		t.Errorf("%v", f)
	}
}

func TestAFileThatIsWrittenCanBeRead(t *testing.T) {
	d, err := load(t, text)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(d); err != nil {
		t.Fatal(err)
	}
	again, err := load(t, out.String())
	if err != nil {
		t.Fatalf("%v in\n%s", err, out.String())
	}
	if again.Classes[1] != d.Classes[1] || again.Rules != d.Rules || again.Limits != d.Limits || again.Instance.ResponseMargin != d.Instance.ResponseMargin {
		t.Errorf("%+v became %+v", d, again)
	}
}

// Ranges are checked, not only presence: what passes must not have the module divide by nought, count without end or wait for
// nothing. Each value stands in place of a default, in its table.
func TestValuesOutsideOfTheirRangesAreNamed(t *testing.T) {
	for _, c := range []struct{ table, line, says string }{
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
		// The table's first head is followed by the new line, and the old one of that key goes.
		head, rest, found := strings.Cut(text+"[limits]\n", "["+c.table+"]")
		if !found {
			t.Fatalf("no table %s", c.table)
		}
		rest = strings.TrimPrefix(rest, "]")
		table, others, more := strings.Cut(rest, "\n[")
		if more {
			others = "\n[" + others
		}
		key, _, _ := strings.Cut(c.line, " ")
		lines := slices.DeleteFunc(strings.Split(table, "\n"), func(l string) bool { return strings.HasPrefix(l, key+" ") })
		closes := "]"
		if strings.HasSuffix(head, "[") {
			closes = "]]"
		}
		changed := head + "[" + c.table + closes + "\n" + c.line + "\n" + strings.Join(lines, "\n") + others
		if _, err := load(t, changed); err == nil || !strings.Contains(err.Error(), c.says+":") {
			t.Errorf("%s: %v", c.line, err)
		}
	}
}

func TestSenselessValuesAreNamedWithTheirLine(t *testing.T) {
	for _, c := range []struct{ old, new, says string }{
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
		changed := strings.Replace(text, c.old, c.new, 1)
		_, err := load(t, changed)
		key := c.new
		if c.says == "grade.1.expiry" {
			key = "expiry = \"4s\"\nbenefit = 5"
		}
		if strings.Contains(key, "allow") {
			key = "allow ="
		}
		line := 1 + strings.Count(changed[:strings.Index(changed, key)], "\n")
		if err == nil || !strings.Contains(err.Error(), c.says) || !strings.Contains(err.Error(), ":"+strconv.Itoa(line)+": ") {
			t.Errorf("%s: %v; it stands on line %d", c.new, err, line)
		}
	}
}
