package ledger

import (
	"encoding/json"
	"testing"
	"time"
)

// Other programs read dumps and disputes: the field names in their JSON are a format that must not change.
func TestRecordJSONKeepsItsFieldNames(t *testing.T) {
	request := Request{Key: "e/1", RequestID: "m", Tenant: "c", Class: "g", Outcome: "satisfied", PromptTokens: 7,
		OutputTokens: 8, Attempts: 9, Reason: "w"}
	attempt := Attempt{Backend: "b", Epoch: "e", Number: 2, Key: "e/1", Index: 3, RequestID: "m", Phase: "whole",
		Tenant: "c", Class: "g", PrefillTokens: 4, CachedTokens: 5, OutputTokens: 6, Outcome: "answered"}
	attemptText := `"Box":"b","Epoch":"e","Number":2,"Key":"e/1","Trip":3,"Mark":"m","Stage":"whole",` +
		`"Channel":"c","Grade":"g","Read":4,"Kept":5,"Answer":6,"End":"answered"`
	budget := Budget{Name: "n", Kind: "lent", Month: 2, Tokens: 3, Terms: "t"}
	disputed := DisputedAttempt{Time: time.UnixMilli(0).UTC(), Payer: PayerClient, Attempt: attempt}
	for _, c := range []struct {
		value any
		want  string
	}{
		{Record{UnixMilli: 1, Epoch: &Epoch{Name: "e", Closed: true}}, `{"At":1,"Epoch":{"Name":"e","Closed":true}}`},
		{Record{UnixMilli: 1, Request: &request}, `{"At":1,"Question":{"Key":"e/1","Mark":"m","Channel":"c",` +
			`"Grade":"g","Final":"satisfied","Prompt":7,"Answer":8,"Trips":9,"Why":"w"}}`},
		{Record{UnixMilli: 1, Request: &Request{Key: "k"}}, `{"At":1,"Question":{"Key":"k","Channel":"","Grade":"",` +
			`"Final":"","Prompt":0,"Answer":0,"Trips":0,"Why":""}}`},
		{Record{UnixMilli: 1, Attempt: &attempt}, `{"At":1,"Trip":{` + attemptText + `}}`},
		{Record{Attempt: &Attempt{}}, `{"At":0,"Trip":{"Box":"","Epoch":"","Number":0,"Key":"","Trip":0,"Mark":"",` +
			`"Stage":"","Channel":"","Grade":"","Read":0,"Kept":0,"Answer":0,"End":""}}`},
		{Record{UnixMilli: 1, Budget: &budget},
			`{"At":1,"Budget":{"Name":"n","What":"lent","Period":2,"Tokens":3,"Terms":"t"}}`},
		{disputed, `{"at":"1970-01-01T00:00:00Z","cause":"client",` + attemptText + `}`},
	} {
		if raw, err := json.Marshal(c.value); err != nil || string(raw) != c.want {
			t.Errorf("got  %s, %v\nwant %s", raw, err, c.want)
		}
	}
}
