package account

import (
	"encoding/json"
	"testing"
)

// The status page of a dispatcher shows the counts under these names.
func TestCountsJSONKeepsItsFieldNames(t *testing.T) {
	raw, err := json.Marshal(Counts{Inline: 1, Inquiries: 2, Found: 3, Duplicates: 4, Unconfirmed: 5, Costless: 6,
		Truncated: 7, Missing: 8, OpenEpochs: 9})
	want := `{"Inline":1,"Asked":2,"Found":3,"Twice":4,"Unproven":5,"Costless":6,"Cut":7,"Missing":8,"OldEpochs":9}`
	if err != nil || string(raw) != want {
		t.Errorf("got  %s, %v\nwant %s", raw, err, want)
	}
}
