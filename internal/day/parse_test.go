package day

import (
	"os"
	"strings"
	"testing"
)

// NaN, infinite and huge values pass a comparison that is written the wrong way round. Such a scenario would never end,
// or test something else than intended.
func TestParseRejectsValuesOutOfRange(t *testing.T) {
	raw, err := os.ReadFile("../../examples/quiet.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ key, value, faultyKey string }{
		{"questions_a_second = 20.0", "questions_a_second = nan", "day.questions_a_second"},
		{"patience_min = 0.6", "patience_min = nan", "clients.patience_min"},
		{"patience_max = 1.0", "patience_max = inf", "clients.patience_max"},
		{"honour = 0.7", "honour = nan", "clients.honour"},
		{"read_tokens_a_second = 20000.0", "read_tokens_a_second = nan", "box.0.read_tokens_a_second"},
		{"units = 4.0", "units = -1.0", "box.0.units"},
		{"slots = 8", "slots = 4000000000", "box.0.slots"},
		{"new_tokens = 350.0", "new_tokens = inf", "traffic.0.new_tokens"},
		{"answer_tokens = 50.0", "answer_tokens = nan", "traffic.0.answer_tokens"},
		{"turns = 2.5", "turns = inf", "traffic.0.turns"},
		{"shared = 0.8", "shared = nan", "traffic.0.shared"},
		{"share = 0.6\nnew", "share = nan\nnew", "traffic.0.share"},
		{"beginnings = 20", "beginnings = 4000000000", "traffic.0.beginnings"},
		{"shared_tokens = 1800", "shared_tokens = -1", "traffic.0.beginnings"},
		{"[clients]", "[links]\nnear_tokens_a_second = nan\n[clients]", "links"},
		{"[clients]", "[links]\nother_zone_times = inf\n[clients]", "links"},
		{"[clients]", "[list]\nnotice = \"9000h\"\n[clients]", "list"},
		{"", "\n[[trouble]]\nkind = \"slow\"\nat = \"1s\"\nlength = \"1s\"\nboxes = [\"reader\"]\nsize = nan\n",
			"trouble.0.size"},
		{"", "\n[[trouble]]\nkind = \"burst\"\nat = \"1s\"\nlength = \"1s\"\nsize = 1e12\n", "trouble.0.size"},
		{"", "\n[[trouble]]\nkind = \"failing\"\nat = \"1s\"\nlength = \"1s\"\nboxes = [\"reader\"]\nshare = nan\n",
			"trouble.0.share"},
	} {
		text := string(raw)
		if c.key == "" {
			text += c.value
		} else if !strings.Contains(text, c.key) {
			t.Fatalf("no %s in the scenario", c.key)
		} else {
			text = strings.Replace(text, c.key, c.value, 1)
		}
		if _, err := Parse("d.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), c.faultyKey) ||
			!strings.HasPrefix(err.Error(), "d.toml:") {
			t.Errorf("%s: %v", c.value, err)
		}
	}
}
