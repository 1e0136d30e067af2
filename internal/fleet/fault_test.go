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
	for kind, tookEffect := range map[string]func(l record.Line) bool{
		"crash_after_read": func(l record.Line) bool { return l.What == record.Down && l.Word == "crashed after reading" },
		"reset_running": func(l record.Line) bool {
			return l.What == record.End && l.Stage != "read" && l.Word == "broke"
		},
		"list_down": func(l record.Line) bool { return l.What == record.Note && l.Word == "list_down ends" },
		"list_gap": func(l record.Line) bool {
			return l.What == record.Note && l.Word == "a push of the list is lost"
		},
		"stop_dispatcher": func(l record.Line) bool {
			return l.What == record.Note && l.Word == "stop_dispatcher is not played here"
		},
	} {
		scenario := loadScenario(t, "quiet")
		scenario.Troubles = []day.Trouble{
			{Kind: kind, At: setup.Duration(2 * time.Second), Length: setup.Duration(3 * time.Second),
				Boxes: []string{"reader", "writer"}, Share: 0.3, Dispatchers: []int{0}},
			{Kind: "drain", At: setup.Duration(2500 * time.Millisecond), Length: setup.Duration(time.Second),
				Boxes: []string{"writer-2"}},
		}
		count := 0
		out, err := PlayWithRecords(scenario, "module", func(l record.Line) {
			if tookEffect(l) {
				count++
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		if count == 0 || !out.Kept() {
			t.Errorf("fault %s took effect %d times\n%s", kind, count, out.Text())
		}
	}
}
