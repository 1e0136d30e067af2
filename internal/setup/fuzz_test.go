package setup

import (
	"strings"
	"testing"

	"sloetrestle/brain"
)

// Whatever a file says, it is refused with file, line and key, or the module starts from it.
func FuzzSettings(f *testing.F) {
	f.Add(text)
	f.Add(strings.Replace(text, `pin_limit = "300ms"`, `cold_window = "1ns"`, 1))
	f.Add(text + "\n[[channel]]\nname = \"x\"\nquestions_a_second = nan\n")
	f.Add("[dispatcher]\nnumber = 99999999999999999999\n")
	f.Add("[[grade]]\nname = [1]\n")
	f.Fuzz(func(t *testing.T, raw string) {
		d := DefaultDispatcherConfig()
		if err := Decode("f.toml", []byte(raw), &d, d.check); err != nil {
			if !strings.HasPrefix(err.Error(), "f.toml:") {
				t.Fatalf("%q: %v", raw, err)
			}
			return
		}
		if err := d.SchedulerParameters().Validate(); err != nil {
			t.Fatalf("%q passes, but the module says %v", raw, err)
		}
		if _, err := brain.Settings.Classes(d.SchedulerParameters()); err != nil {
			t.Fatalf("%q passes, but the module says %v", raw, err)
		}
	})
}
