package ledger

import (
	"encoding/json"
	"testing"
	"time"
)

// Dumps and disputes are read by other programs: the field names in their JSON are a format that must not change.
func TestRecordJSONKeepsItsFieldNames(t *testing.T) {
	trip := Trip{Box: "b", Epoch: "e", Number: 2, Key: "e/1", Trip: 3, Mark: "m", Stage: "whole", Channel: "c", Grade: "g",
		Read: 4, Kept: 5, Answer: 6, End: "answered"}
	tripText := `"Box":"b","Epoch":"e","Number":2,"Key":"e/1","Trip":3,"Mark":"m","Stage":"whole","Channel":"c","Grade":"g",` +
		`"Read":4,"Kept":5,"Answer":6,"End":"answered"`
	for want, value := range map[string]any{
		`{"At":1,"Epoch":{"Name":"e","Closed":true}}`: Record{At: 1, Epoch: &Epoch{Name: "e", Closed: true}},
		`{"At":1,"Question":{"Key":"e/1","Mark":"m","Channel":"c","Grade":"g","Final":"satisfied","Prompt":7,"Answer":8,` +
			`"Trips":9,"Why":"w"}}`: Record{At: 1, Question: &Question{Key: "e/1", Mark: "m", Channel: "c", Grade: "g",
			Final: "satisfied", Prompt: 7, Answer: 8, Trips: 9, Why: "w"}},
		`{"At":1,"Question":{"Key":"k","Channel":"","Grade":"","Final":"","Prompt":0,"Answer":0,"Trips":0,"Why":""}}`: Record{At: 1, Question: &Question{Key: "k"}},
		`{"At":1,"Trip":{` + tripText + `}}`: Record{At: 1, Trip: &trip},
		`{"At":0,"Trip":{"Box":"","Epoch":"","Number":0,"Key":"","Trip":0,"Mark":"","Stage":"","Channel":"","Grade":"","Read":0,` +
			`"Kept":0,"Answer":0,"End":""}}`: Record{Trip: &Trip{}},
		`{"At":1,"Budget":{"Name":"n","What":"lent","Period":2,"Tokens":3,"Terms":"t"}}`: Record{At: 1, Budget: &Budget{Name: "n",
			What: "lent", Period: 2, Tokens: 3, Terms: "t"}},
		`{"at":"1970-01-01T00:00:00Z","cause":"client",` + tripText + `}`: Proof{At: time.UnixMilli(0).UTC(), Cause: ByClient, Trip: trip},
	} {
		if raw, err := json.Marshal(value); err != nil || string(raw) != want {
			t.Errorf("got  %s, %v\nwant %s", raw, err, want)
		}
	}
}
