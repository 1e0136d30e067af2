package fleet

import (
	"testing"
	"time"

	"sloetrestle/internal/day"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// A trouble that does nothing makes a day that keeps the rules show nothing: each kind that has a meaning without sockets must
// leave its mark in the record.
func TestTroublesStrikeInVirtualTime(t *testing.T) {
	for kind, struck := range map[string]func(l record.Event) bool{
		"crash_after_read": func(l record.Event) bool { return l.Kind == record.ProcessEnded && l.Detail == "crashed after reading" },
		"reset_running": func(l record.Event) bool {
			return l.Kind == record.AttemptEnded && l.Phase != "read" && l.Detail == "broke"
		},
		"list_down": func(l record.Event) bool { return l.Kind == record.Note && l.Detail == "list_down ends" },
		"list_gap":  func(l record.Event) bool { return l.Kind == record.Note && l.Detail == "a push of the list is lost" },
		"stop_dispatcher": func(l record.Event) bool {
			return l.Kind == record.Note && l.Detail == "stop_dispatcher is not played here"
		},
	} {
		d := load(t, "quiet")
		d.Faults = []day.Fault{
			{Kind: kind, Start: setup.Duration(2 * time.Second), Duration: setup.Duration(3 * time.Second), Backends: []string{"reader", "writer"}, Share: 0.3, Dispatchers: []int{0}},
			{Kind: "drain", Start: setup.Duration(2500 * time.Millisecond), Duration: setup.Duration(time.Second), Backends: []string{"writer-2"}},
		}
		n := 0
		out, err := PlayWithRecords(d, "module", func(l record.Event) {
			if struck(l) {
				n++
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 || !out.Passed() {
			t.Errorf("%s struck %d times\n%s", kind, n, out.Text())
		}
	}
}
