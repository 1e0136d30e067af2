package fleet

import (
	"testing"
	"time"

	"sloetrestle/internal/day"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// A fault without effect would make the rule checks vacuous: each kind that has a meaning without sockets must show
// in the records.
func TestFaultsTakeEffectInVirtualTime(t *testing.T) {
	for kind, tookEffect := range map[string]func(l record.Event) bool{
		"crash_after_read": func(l record.Event) bool {
			return l.Kind == record.ProcessEnded &&
				l.Detail == "crashed after reading"
		},
		"reset_running": func(l record.Event) bool {
			return l.Kind == record.AttemptEnded && l.Phase != "read" && l.Detail == "broke"
		},
		"list_down": func(l record.Event) bool { return l.Kind == record.Note && l.Detail == "list_down ends" },
		"list_gap": func(l record.Event) bool {
			return l.Kind == record.Note && l.Detail == "a push of the list is lost"
		},
		"stop_dispatcher": func(l record.Event) bool {
			return l.Kind == record.Note && l.Detail == "stop_dispatcher is not played here"
		},
	} {
		scenario := loadScenario(t, "quiet")
		scenario.Faults = []day.Fault{
			{Kind: kind, Start: setup.Duration(2 * time.Second), Duration: setup.Duration(3 * time.Second),
				Backends: []string{"reader", "writer"}, Share: 0.3, Dispatchers: []int{0}},
			{Kind: "drain", Start: setup.Duration(2500 * time.Millisecond), Duration: setup.Duration(time.Second),
				Backends: []string{"writer-2"}},
		}
		count := 0
		out, err := PlayWithRecords(scenario, "module", func(l record.Event) {
			if tookEffect(l) {
				count++
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		if count == 0 || !out.Passed() {
			t.Errorf("fault %s took effect %d times\n%s", kind, count, out.Text())
		}
	}
}
