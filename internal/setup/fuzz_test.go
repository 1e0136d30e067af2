package setup

import (
	"strings"
	"testing"

	"sloetrestle/scheduler"
)

// Any file is either rejected with file, line and key, or has parameters that the scheduler starts from.
func FuzzSettings(f *testing.F) {
	f.Add(validFile)
	f.Add(strings.Replace(validFile, `pin_limit = "300ms"`, `cold_window = "1ns"`, 1))
	f.Add(validFile + "\n[[channel]]\nname = \"x\"\nquestions_a_second = nan\n")
	f.Add("[dispatcher]\nnumber = 99999999999999999999\n")
	f.Add("[[grade]]\nname = [1]\n")
	f.Fuzz(func(t *testing.T, raw string) {
		config := DefaultDispatcherConfig()
		if err := Decode("f.toml", []byte(raw), &config, config.check); err != nil {
			if !strings.HasPrefix(err.Error(), "f.toml:") {
				t.Fatalf("%q: %v", raw, err)
			}
			return
		}
		if err := config.SchedulerParameters().Validate(); err != nil {
			t.Fatalf("%q is accepted, but the scheduler's check fails: %v", raw, err)
		}
		if _, err := scheduler.Settings.Classes(config.SchedulerParameters()); err != nil {
			t.Fatalf("%q is accepted, but the scheduler's classes fail: %v", raw, err)
		}
	})
}
