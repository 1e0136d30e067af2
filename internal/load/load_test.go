package load

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/setup"
)

func TestReadTraceParsesCSVAndJSONLinesAndLocatesErrors(t *testing.T) {
	terms := setup.DefaultDeployment()
	terms.Classes = []setup.Class{
		{
			Name: "quick", Effect: "idempotent", LatencyTarget: setup.Duration(time.Second),
			Deadline:         setup.Duration(4 * time.Second),
			DefaultMaxTokens: 70,
		},
		{
			Name: "booking", Effect: "unrepeatable", LatencyTarget: setup.Duration(time.Second),
			Deadline:         setup.Duration(4 * time.Second),
			DefaultMaxTokens: 50,
		},
	}
	for _, c := range []struct{ name, text, wantError string }{
		{"a.csv", "at_ms,grade,tokens,max_tokens\n200,booking,900,20\n100,quick,500,\n", "max_tokens"},
		{"b.csv", "at_ms,grade,tokens\n200,booking,900\n100,quick,500\n", ""},
		{"c.jsonl", "{\"at_ms\":200,\"grade\":\"booking\",\"tokens\":900}\n\n{\"at_ms\":100,\"tokens\":500}\n", ""},
		{"d.csv", "at_ms,tokens,colour\n1,2,3\n", "colour"},
		{"e.csv", "at_ms,tokens\n1,many\n", "e.csv:2: tokens"},
		{"f.jsonl", "{\"at_ms\":1,\"tokens\":5}\n{\"at_ms\":1,\"tokens\":5,\"x\":1}\n", "f.jsonl:2"},
		{"g.jsonl", "{\"at_ms\":-1,\"tokens\":5}\n", "arrival 1"},
		{"h.csv", "at_ms,tokens,grade\n1,2,slow\n", "slow"},
	} {
		file := filepath.Join(t.TempDir(), c.name)
		os.WriteFile(file, []byte(c.text), 0o644)
		requests, err := ReadTrace(file, terms)
		if c.wantError != "" {
			if err == nil || !strings.Contains(err.Error(), c.wantError) {
				t.Errorf("%s: got error %v, want one that contains %q", c.name, err, c.wantError)
			}
			continue
		}
		if err != nil || len(requests) != 2 || requests[0].Class != "quick" || requests[0].SubmitAt != 100*time.Millisecond ||
			requests[0].MaxTokens != 70 || requests[1].Idempotent {
			t.Errorf("%s: %v %+v", c.name, err, requests)
		}
	}
}
