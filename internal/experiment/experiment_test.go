package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sloetrestle/internal/day"
)

func loadPlanText(t *testing.T, text string) (*Plan, error) {
	t.Helper()
	dir := t.TempDir()
	base, err := os.ReadFile("../../examples/quiet.toml")
	if err != nil {
		t.Fatal(err)
	}
	small := strings.Replace(string(base), `length = "10s"`, `length = "2s"`, 1)
	if err := os.WriteFile(filepath.Join(dir, "day.toml"), []byte(small), 0o644); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "plan.toml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return LoadPlan(file)
}

const planText = `
[experiment]
name = "t"
base = "day.toml"
repeats = 3
policies = ["module", "random"]

[[vary]]
key = "day.questions_a_second"
values = [10, 40]

[[vary]]
key = "box.0.count"
values = [2]
`

func TestInterruptedExperimentResumes(t *testing.T) {
	plan, err := loadPlanText(t, planText)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "e.db")
	store, err := OpenStore(file)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	lines := 0
	err = Execute(ctx, store, plan, "v", day.RunOptions{}, func(string, ...any) {
		if lines++; lines == 4 {
			cancel()
		}
	})
	if err == nil {
		t.Error("an interrupted experiment returned no error")
	}
	store.Close()
	if store, err = OpenStore(file); err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	before, err := store.Runs("t")
	if err != nil || len(before) == 0 || len(before) == 12 {
		t.Fatalf("%d runs are stored, %v", len(before), err)
	}
	logged := 0
	if err := Execute(context.Background(), store, plan, "v", day.RunOptions{},
		func(string, ...any) { logged++ }); err != nil {
		t.Fatal(err)
	}
	after, _ := store.Runs("t")
	if len(after) != 12 || logged-1 != 12-len(before) {
		t.Errorf("%d runs are stored after %d more, %d before", len(after), logged-1, len(before))
	}
	if other, err := loadPlanText(t, strings.Replace(planText, "repeats = 3", "repeats = 2", 1)); err != nil ||
		store.Begin(other) == nil {
		t.Errorf("a different plan resumes under the same name (%v)", err)
	}
	var table, csv bytes.Buffer
	if err := Table(&table, after, []string{"service", "first_p99_ms"}); err != nil ||
		strings.Count(table.String(), "\n") != 5 {
		t.Errorf("%v\n%s", err, table.String())
	}
	if err := CSV(&csv, after); err != nil || strings.Count(csv.String(), "\n") != 13 {
		t.Errorf("%v\n%s", err, csv.String())
	}
	chart := filepath.Join(t.TempDir(), "c.svg")
	if err := Chart(after, "day.questions_a_second", "service", "policy", chart, "t"); err != nil {
		t.Error(err)
	}
	if raw, err := os.ReadFile(chart); err != nil || !bytes.Contains(raw, []byte("<svg")) {
		t.Errorf("the chart file is not SVG: %v", err)
	}
	if err := Chart(after, "policy", "service", "repeat", chart, "t"); err == nil {
		t.Error("a chart over a non-numeric key was drawn")
	}
}

func TestInvalidPlansAreRejectedWithTheKey(t *testing.T) {
	for old, c := range map[string][2]string{
		"repeats = 3":                {"repeats = 0", "experiment.repeats"},
		`base = "day.toml"`:          {`base = "night.toml"`, "night.toml"},
		`key = "box.0.count"`:        {`key = "box.9.count"`, "box.9.count"},
		"values = [2]":               {"values = [0]", "box.0.count"},
		`policies = ["module", "r`:   {`polices = ["module", "r`, "no such key"},
		`key = "day.questions_a_sec`: {`key = "day.questions_an_hour", values = [1]` + "\n#", "plan.toml"},
	} {
		if _, err := loadPlanText(t, strings.Replace(planText, old, c[0], 1)); err == nil ||
			!strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v", c[0], err)
		}
	}
}

func TestCompareTellsDifferenceFromNoise(t *testing.T) {
	var runs []Run
	add := func(policy, repeat string, service float64) {
		runs = append(runs, Run{Setting: Setting{"policy": policy, "repeat": repeat},
			Figures: map[string]float64{"service": service}, RulesKept: true})
	}
	for i, seed := range []string{"0", "1", "2", "3"} {
		noise := []float64{0.05, -0.04, 0.02, -0.03}[i]
		add("module", seed, 0.8+noise)
		add("worse", seed, 0.7+noise+0.002*float64(i)) // lower with each seed
		add("alike", seed, 0.8-noise)                  // higher as often as lower
	}
	diffs, err := Compare(runs, "policy", "service")
	if err != nil || len(diffs) != 2 {
		t.Fatalf("%v %v", diffs, err)
	}
	for _, d := range diffs {
		if d.Reference != "module" || d.Significant != (d.Value == "worse") {
			t.Errorf("%+v", d)
		}
	}
	if _, err := Compare(runs, "moon", "service"); err == nil {
		t.Error("a comparison by a key that is not varied succeeded")
	}
}
