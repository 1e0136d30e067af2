package memory

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

const kilobyte = 1 << 10

// newTestHolder returns a holder that releases all that can be given up when it is evicted.
func newTestHolder(account *Account) (holder *Holder, evicted *bool) {
	evicted = new(bool)
	holder = account.NewHolder(func(bool) bool {
		*evicted = true
		holder.ReleaseAll(Incoming)
		holder.ReleaseAll(Pipelined)
		return true
	})
	return holder, evicted
}

// Guards against one client that keeps out the others: who takes most of what can be given up goes first.
func TestLargestHolderMakesRoom(t *testing.T) {
	account := NewAccount(100 * kilobyte)
	small, smallEvicted := newTestHolder(account)
	large, largeEvicted := newTestHolder(account)
	asking, _ := newTestHolder(account)
	small.Take(Incoming, 20*kilobyte)
	large.Take(Pipelined, 70*kilobyte)
	victim, err := asking.Reserve(Incoming, 30*kilobyte)
	if victim != large || !errors.Is(err, ErrEvicting) {
		t.Fatalf("victim %p, want %p; %v", victim, large, err)
	}
	if again, err := asking.Reserve(Incoming, 30*kilobyte); again != nil || !errors.Is(err, ErrEvicting) {
		t.Errorf("while room is being made: victim %p, %v", again, err)
	}
	victim.Evict()
	if victim, err := asking.Reserve(Incoming, 30*kilobyte); victim != nil || err != nil {
		t.Errorf("once room was made: %v", err)
	}
	if *smallEvicted || !*largeEvicted {
		t.Errorf("evicted: small %v, large %v", *smallEvicted, *largeEvicted)
	}
}

// Who would hold most is refused, and no other client is disturbed.
func TestLargestHolderIsRefused(t *testing.T) {
	account := NewAccount(100 * kilobyte)
	other, otherEvicted := newTestHolder(account)
	asking, _ := newTestHolder(account)
	other.Take(Incoming, 40*kilobyte)
	asking.Take(Incoming, 50*kilobyte)
	victim, err := asking.Reserve(Incoming, 30*kilobyte)
	var limit *LimitError
	if victim != nil || !errors.As(err, &limit) || limit.Use != Incoming || limit.Wanted != 80*kilobyte {
		t.Errorf("victim %p, %v", victim, err)
	}
	if *otherEvicted || account.Snapshot().Refused[Incoming] != 1 {
		t.Errorf("evicted: %v, %+v", *otherEvicted, account.Snapshot())
	}
}

// Open requests are never given up; small ones can be read all the same.
func TestOpenRequestsAreKept(t *testing.T) {
	account := NewAccount(100 * kilobyte)
	open, evicted := newTestHolder(account)
	open.Take(Requests, 100*kilobyte)
	asking, _ := newTestHolder(account)
	if victim, err := asking.Reserve(Incoming, smallBytes); victim != nil || err != nil {
		t.Errorf("a small request: %v", err)
	}
	for use, bytes := range map[Use]int64{Incoming: 1, Requests: 1, Connections: 1, Answers: 1} {
		var limit *LimitError
		if victim, err := asking.Reserve(use, bytes); victim != nil || !errors.As(err, &limit) {
			t.Errorf("%v: victim %p, %v", use, victim, err)
		}
	}
	if *evicted {
		t.Error("an open request was given up")
	}
}

// Neither connections nor requests can take all memory.
func TestConnectionsAndRequestsLeaveRoomForEachOther(t *testing.T) {
	for _, use := range []Use{Connections, Requests} {
		account := NewAccount(100 * kilobyte)
		holder := account.NewHolder(nil)
		for err := error(nil); err == nil; {
			_, err = holder.Reserve(use, kilobyte)
		}
		if held := holder.Held(use); held != 60*kilobyte {
			t.Errorf("%v take %d bytes", use, held)
		}
	}
}

// Whatever is reserved, moved, evicted and released in whatever order: the limit is kept but for small requests, the total
// is what the holders have, and nothing is held once all are closed.
func TestAccountKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, clients = 100 * kilobyte, 6
		account := NewAccount(limit)
		var holders []*Holder
		for range clients {
			holder, _ := newTestHolder(account)
			holders = append(holders, holder)
		}
		anyHolder := rapid.SampledFrom(holders)
		anyUse := rapid.SampledFrom([]Use{Connections, Incoming, Pipelined, Requests, Answers})
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				bytes := rapid.Int64Range(1, limit).Draw(t, "bytes")
				victim, err := anyHolder.Draw(t, "holder").Reserve(anyUse.Draw(t, "use"), bytes)
				if victim != nil {
					victim.Evict()
				}
				if victim != nil && !errors.Is(err, ErrEvicting) {
					t.Fatalf("a victim with %v", err)
				}
			},
			"release": func(t *rapid.T) {
				anyHolder.Draw(t, "holder").ReleaseAll(anyUse.Draw(t, "use"))
			},
			"admit": func(t *rapid.T) {
				if to := anyHolder.Draw(t, "other"); to.Held(Requests) == 0 {
					anyHolder.Draw(t, "holder").MoveTo(to, Incoming, Requests)
				}
			},
			"": func(t *rapid.T) {
				total := int64(0)
				for _, holder := range holders {
					for use := range uses {
						total += holder.Held(use)
					}
				}
				state := account.Snapshot()
				if state.Total != total || account.evicting != 0 {
					t.Fatalf("total %d, the holders have %d, %d are being given up", state.Total, total, account.evicting)
				}
				// What is small has no limit: incoming, pipelined, and incoming that was admitted.
				if state.Total > limit+3*clients*smallBytes {
					t.Fatalf("%d bytes are held, the limit is %d", state.Total, limit)
				}
			},
		})
		for _, holder := range holders {
			holder.Close()
			holder.Close()
			holder.Take(Answers, kilobyte)
		}
		if state := account.Snapshot(); state.Total != 0 || state.Held != [uses]int64{} {
			t.Fatalf("after all were closed: %+v", state)
		}
	})
}
