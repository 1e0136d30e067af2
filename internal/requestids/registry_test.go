package requestids

import (
	"fmt"
	"testing"
	"time"
)

// Ids are remembered for the retention time, and their number is bounded.
func TestRequestIDsAreForgotten(t *testing.T) {
	ids := New(time.Hour)
	for i := range 3 * maxGenerationIDs {
		id := fmt.Sprint(i)
		if !ids.Claim(id) || ids.Claim(id) {
			t.Fatalf("%s is not claimed exactly once", id)
		}
		ids.Release(id, true)
		if !ids.Known(id) {
			t.Fatalf("%s is forgotten at once", id)
		}
	}
	if n := len(ids.current) + len(ids.previous); n > 2*maxGenerationIDs+1 || ids.Known("0") {
		t.Errorf("%d ids are remembered", n)
	}
	ids.Claim("x")
	ids.Release("x", false)
	if ids.Known("x") {
		t.Error("an id whose request did not run is remembered")
	}
	ids.retention = 0
	for _, id := range []string{"y", "z", "a"} {
		ids.Claim(id)
		ids.Release(id, true)
	}
	if ids.Known("y") || !ids.Known("z") {
		t.Error("the retention time has no effect")
	}
}
