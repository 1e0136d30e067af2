package ledger

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func trip(key string, n int, box, stage, end string, number uint64, read, kept, answer int) Record {
	return Record{UnixMilli: 1000 + int64(n), Attempt: &Attempt{Backend: box, Epoch: "d.1", Number: number, Key: key, Index: n, RequestID: "mark-" + key, Phase: stage, Tenant: "web", Class: "g",
		PrefillTokens: read, CachedTokens: kept, OutputTokens: answer, Outcome: end}}
}

func over(key, final string) Record {
	return Record{UnixMilli: 1100, Request: &Request{Key: key, RequestID: "mark-" + key, Tenant: "web", Class: "g", Outcome: final}}
}

// One question whose read broke, was read anew, and written; one that left mid-stream; one that never was answered, at three
// boxes of which one can't be asked any more; one that was declined.
func records() []Record {
	return []Record{
		trip("a", 0, "r1", "read", "broke", 1, 300, 0, 0), trip("a", 1, "r2", "read", "read", 1, 200, 100, 0), trip("a", 2, "w1", "write", "answered", 1, 0, 0, 50), over("a", "satisfied"),
		trip("b", 0, "w1", "whole", "broke", 2, 80, 20, 7), over("b", "left"),
		trip("c", 0, "w1", "whole", "failed", 3, 10, 0, 0), trip("c", 1, "w2", "whole", "unknown", 0, 0, 0, 3), trip("c", 2, "w3", "whole", "broke", 1, 10, 0, 2), over("c", "forfeited"),
		over("d", "declined"),
	}
}

func TestABillIsTheSameInAnyOrderAndHoweverOftenRecordsCome(t *testing.T) {
	from, to := time.UnixMilli(0), time.UnixMilli(5000)
	want := []Line{
		{"web", "g", ByClient, 2, 3, 280, 120, 57, 0},
		{"web", "g", ByHouse, 2, 4, 320, 0, 5, 1},
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		s := NewCollector()
		all := append(records(), records()...)
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for _, r := range all {
			s.Add(r)
		}
		if got := s.Bill("web", from, to); !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v", got)
		}
		if len(s.Bill("other", from, to))+len(s.Bill("web", to, to.Add(time.Hour))) > 0 {
			t.Fatal("another channel or time has a bill")
		}
	}
}

func TestADisputeShowsEveryTripWithItsProof(t *testing.T) {
	s := NewCollector()
	for _, r := range records() {
		s.Add(r)
	}
	for _, id := range []string{"c", "mark-c"} {
		q, proofs := s.Dispute(id)
		if len(q) != 1 || len(proofs) != 3 || !proofs[0].Confirmed() || proofs[1].Confirmed() || proofs[1].OutputTokens != 3 {
			t.Errorf("%+v, %+v", q, proofs)
		}
	}
	// The box came back, and states the trip: what the dispatcher saw counts no more.
	s.Add(trip("c", 1, "w2", "whole", "broke", 9, 40, 0, 4))
	if _, proofs := s.Dispute("c"); len(proofs) != 3 || !proofs[1].Confirmed() || proofs[1].OutputTokens != 4 {
		t.Errorf("%+v", proofs)
	}
}
