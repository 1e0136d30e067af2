package main

import (
	"bytes"
	"os"
	"testing"
	"time"

	"sloetrestle/internal/soak"
)

// A short soak of real processes with one seed: faults overlap, and no rule is broken. "sloetrestle soak" plays longer ones.
func TestAShortSoakBreaksNoRule(t *testing.T) {
	t.Parallel()
	o := soak.Options{
		Seed: 11, Processes: 4, Length: 12 * time.Second, Every: 300 * time.Millisecond, Clients: 5,
		Command: []string{os.Args[0], "soak-dispatcher"}, Env: []string{asProgram + "=1"}, Dir: t.TempDir(),
	}
	res, err := soak.Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	res.Table(&table)
	t.Log(table.String())
	if len(res.Violations) > 0 {
		t.Error("rules are broken")
	}
	if res.Requests < 200 || res.Attempts < 200 || len(res.Faults) < 15 {
		t.Error("too little happened: this shows nothing")
	}
}
