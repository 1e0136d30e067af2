package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/boxlist"
)

// wholeList is a list of so many backends.
func wholeList(backends int) []boxlist.Endpoint {
	var lines []boxlist.Endpoint
	for i := range backends {
		lines = append(lines, boxlist.Endpoint{
			Name: fmt.Sprintf("s-%d", i), Kind: []string{"reader", "writer"}[i%2], Zone: "hall-1", Rack: fmt.Sprint(i / 5), State: boxlist.Ready, Units: 1, UptimeMs: -1,
			Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: fmt.Sprintf("127.0.%d.%d:8080", i>>8, i&255)}},
		})
	}
	return lines
}

// A whole list that says again what is known is taken in one turn of the loop, which has to be short with thousands of backends too.
func TestAWholeListOfThousandsCostsLittle(t *testing.T) {
	const backends, rounds, most = 3200, 10, 25 * time.Millisecond
	l, _ := settled(t, "idempotent")
	lines := wholeList(backends)
	l.RunTurn(func() { l.UpdateBackends(lines, true) })
	if len(l.backends) < backends {
		t.Fatalf("%d backends are known", len(l.backends))
	}
	began := time.Now()
	for range rounds {
		l.RunTurn(func() { l.UpdateBackends(lines, true) })
	}
	if took := time.Since(began) / rounds; took > most {
		t.Errorf("a list takes %v", took)
	}
}
