package ledger

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func testAttempt(key string, index int, backend, phase, outcome string, number uint64,
	prefill, cached, output int) Record {
	return Record{UnixMilli: 1000 + int64(index), Attempt: &Attempt{Backend: backend, Epoch: "d.1", Number: number,
		Key: key, Index: index, RequestID: "mark-" + key, Phase: phase, Tenant: "web", Class: "g",
		PrefillTokens: prefill, CachedTokens: cached, OutputTokens: output, Outcome: outcome}}
}

func testRequest(key, outcome string) Record {
	return Record{UnixMilli: 1100, Request: &Request{Key: key, RequestID: "mark-" + key, Tenant: "web",
		Class: "g", Outcome: outcome}}
}

// sampleRecords has four requests: one with a failed prefill, a second prefill and a decode; one that its client
// cancelled while streaming; one that failed at three backends, of which one can no longer report; and one that was
// rejected.
func sampleRecords() []Record {
	return []Record{
		testAttempt("a", 0, "r1", "read", "broke", 1, 300, 0, 0), testAttempt("a", 1, "r2", "read", "read", 1, 200, 100, 0),
		testAttempt("a", 2, "w1", "write", "answered", 1, 0, 0, 50), testRequest("a", "satisfied"),
		testAttempt("b", 0, "w1", "whole", "broke", 2, 80, 20, 7), testRequest("b", "left"),
		testAttempt("c", 0, "w1", "whole", "failed", 3, 10, 0, 0), testAttempt("c", 1, "w2", "whole", "unknown", 0, 0, 0, 3),
		testAttempt("c", 2, "w3", "whole", "broke", 1, 10, 0, 2), testRequest("c", "forfeited"),
		testRequest("d", "declined"),
	}
}

func TestBillIgnoresRecordOrderAndDuplicates(t *testing.T) {
	from, to := time.UnixMilli(0), time.UnixMilli(5000)
	want := []Line{
		{"web", "g", PayerClient, 2, 3, 280, 120, 57, 0},
		{"web", "g", PayerOperator, 2, 4, 320, 0, 5, 1},
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		c := NewCollector()
		all := append(sampleRecords(), sampleRecords()...)
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for _, r := range all {
			c.Add(r)
		}
		if got := c.Bill("web", from, to); !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v", got)
		}
		if len(c.Bill("other", from, to))+len(c.Bill("web", to, to.Add(time.Hour))) > 0 {
			t.Fatal("the bill of another tenant or time is not empty")
		}
	}
}

func TestDisputeListsEveryAttempt(t *testing.T) {
	c := NewCollector()
	for _, r := range sampleRecords() {
		c.Add(r)
	}
	for _, id := range []string{"c", "mark-c"} {
		requests, attempts := c.Dispute(id)
		if len(requests) != 1 || len(attempts) != 3 || !attempts[0].Confirmed() || attempts[1].Confirmed() ||
			attempts[1].OutputTokens != 3 {
			t.Errorf("%+v, %+v", requests, attempts)
		}
	}
	// Once the backend reports the attempt, what the dispatcher saw no longer counts.
	c.Add(testAttempt("c", 1, "w2", "whole", "broke", 9, 40, 0, 4))
	if _, attempts := c.Dispute("c"); len(attempts) != 3 || !attempts[1].Confirmed() || attempts[1].OutputTokens != 4 {
		t.Errorf("%+v", attempts)
	}
}
