package endpoints

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/testbackends"
)

func TestTargetsConvertToEndpoints(t *testing.T) {
	var table Table
	lines, full, refused, err := table.Apply(0, 10_000, []byte(`{"rev":41,"all":true,"targets":[
		{"uid":"a","endpoint":"10.1.0.18:8081","az":"z","model":"m2","pod_group":3,`+
		`"state":"in_service","capacity_hint":1.5,"boot_ms":9000},
		{"uid":"b","endpoint":"10.1.0.19:8081","az":"z","model":"m2","pod_group":3,`+
		`"state":"terminated","capacity_hint":1,"boot_ms":0},
		{"uid":"c","endpoint":"nowhere","state":"in_service"},`+
		`{"uid":"d","endpoint":"10.1.0.20:1","state":"asleep"},{"uid":"","state":"in_service"}]}`))
	if err != nil || !full || len(lines) != 2 || len(refused) != 3 || table.Revision != 41 {
		t.Fatalf("%v, full %t, %+v, refused %q", err, full, lines, refused)
	}
	if a := lines[0]; a.UptimeMs != 1000 || a.Incarnation != 9000 || a.State != endpointlist.Ready || a.Rack != "3" ||
		a.Units != 1.5 || a.Addresses[0].Addr != "10.1.0.18:8081" {
		t.Errorf("%+v", a)
	}
	if b := lines[1]; b.UptimeMs != -1 || b.State != endpointlist.Removed {
		t.Errorf("%+v", b)
	}
}

// A list with an older revision could bring back backends that are draining. It is applied only once discovery has
// had nothing newer for staleListGrace, which means that it has restarted its revisions.
func TestStaleListIsAppliedOnlyAfterGracePeriod(t *testing.T) {
	var table Table
	apply := func(now time.Duration, raw string) int {
		lines, _, _, err := table.Apply(now, 0, []byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		return len(lines)
	}
	draining := `{"rev":43,"all":true,"targets":[` +
		`{"uid":"a","endpoint":"10.0.0.1:1","state":"terminating","capacity_hint":1}]}`
	stale := `{"rev":42,"all":true,"targets":[` +
		`{"uid":"a","endpoint":"10.0.0.1:1","state":"in_service","capacity_hint":1}]}`
	if apply(0, draining) != 1 || apply(time.Second, stale) != 0 || apply(2*time.Second, stale) != 0 {
		t.Error("a stale list was applied within the grace period")
	}
	mixed := `{"rev":42,"all":true,"targets":[` +
		`{"uid":"a","endpoint":"10.0.0.1:1","state":"in_service","capacity_hint":1},
		{"uid":"b","endpoint":"10.0.0.1:1","state":"terminating","capacity_hint":1}]}`
	if apply(2*time.Second, mixed) != 1 || table.Revision != 43 {
		t.Error("a draining backend in a stale list was not applied at once")
	}
	if apply(time.Second+staleListGrace, stale) != 1 || table.Revision != 42 {
		t.Error("a stale list was not applied after the grace period")
	}
}

// Guards against draining and removed backends that get requests again: a list from before their drain, which a new address
// of discovery still has, is applied after the grace period without them. Newer revisions bring them back at once, older
// ones once they can't be late any more.
func TestOlderListDoesNotBringBackWithdrawnBackends(t *testing.T) {
	list := func(revision int, full bool, states ...string) []byte {
		var targets []string
		for i, state := range states {
			if state != "" {
				targets = append(targets, fmt.Sprintf(
					`{"uid":"%c","endpoint":"10.0.0.%d:1","state":%q,"capacity_hint":1}`, 'a'+i, i+1, state))
			}
		}
		return fmt.Appendf(nil, `{"rev":%d,"all":%v,"targets":[%s]}`, revision, full, strings.Join(targets, ","))
	}
	const ready, draining = "in_service", "terminating"
	var table Table
	states := map[string]string{}
	apply := func(at time.Duration, raw []byte) {
		t.Helper()
		lines, full, _, err := table.Apply(at, 0, raw)
		if err != nil {
			t.Fatal(err)
		}
		if full {
			clear(states)
		}
		for _, line := range lines {
			states[line.Name] = line.State
		}
	}
	expect := func(when string, want map[string]string) {
		t.Helper()
		for _, name := range []string{"a", "b", "c", "d"} {
			if (states[name] == endpointlist.Ready) != (want[name] == endpointlist.Ready) {
				t.Errorf("%s: %s is %q, want %q", when, name, states[name], want[name])
			}
		}
	}
	apply(0, list(41, true, ready, ready, ready))
	apply(time.Second, list(42, false, draining))           // a drains
	apply(time.Second, list(43, true, draining, "", ready)) // b is gone
	changed := 3 * time.Second
	table.AddressChanged(changed)
	apply(changed+100*time.Millisecond, list(41, true, ready, ready, ready, ready))
	expect("at once", map[string]string{"c": endpointlist.Ready})
	apply(changed+staleListGrace, list(41, true, ready, ready, ready, ready))
	expect("after the grace period", map[string]string{"c": endpointlist.Ready, "d": endpointlist.Ready})
	apply(changed+staleListGrace+time.Second, list(42, false, draining))
	expect("as the new address catches up", map[string]string{"c": endpointlist.Ready, "d": endpointlist.Ready})
	apply(changed+staleListGrace+2*time.Second, list(44, true, ready, draining, ready))
	expect("a newer revision", map[string]string{"a": endpointlist.Ready, "c": endpointlist.Ready})
	table.AddressChanged(20 * time.Second)
	apply(20*time.Second+staleListGrace, list(5, true, ready, ready))
	expect("revisions that begin anew", map[string]string{"a": endpointlist.Ready})
	apply(10*time.Second+withdrawalMemory, list(6, true, ready, ready))
	expect("revisions that began anew", map[string]string{"a": endpointlist.Ready, "b": endpointlist.Ready})
	table.AddressChanged(60 * time.Second)
	apply(61*time.Second, list(4, true, ready, ready))
	table.AddressChanged(62 * time.Second)
	if _, full, _, _ := table.Apply(64500*time.Millisecond, 0, list(4, true, ready)); full {
		t.Error("the grace period counts from an earlier change of the address")
	}
}

// What is remembered of backends that come and go is bounded by how many do so while it matters.
func TestWithdrawalsAreForgotten(t *testing.T) {
	var table Table
	for revision := range 1000 {
		now := time.Duration(revision) * time.Second
		for _, state := range []string{"in_service", "terminating", "terminated"} {
			table.Apply(now, 0, fmt.Appendf(nil,
				`{"rev":%d,"all":false,"targets":[{"uid":"s%d","endpoint":"10.0.0.1:1","state":%q,"capacity_hint":1}]}`,
				revision, revision, state))
		}
	}
	if n := len(table.withdrawals.withdrawn) + len(table.withdrawals.inService); n > int(withdrawalMemory/time.Second)+1 {
		t.Errorf("%d backends are remembered", n)
	}
}

// listOfOne returns the full list of one backend that is in service.
func listOfOne(revision int) []byte {
	return fmt.Appendf(nil,
		`{"rev":%d,"all":true,"targets":[{"uid":"a","endpoint":"10.0.0.1:1","state":"in_service","capacity_hint":1}]}`,
		revision)
}

// Guards against an older list that brings back, after a restart, what the earlier process knew to drain.
func TestListOlderThanTheLastKnownOneIsNotAppliedAtOnce(t *testing.T) {
	var table Table
	if err := table.SetLastKnown([]byte(`{"rev":43,"all":true,"targets":[]}`)); err != nil {
		t.Fatal(err)
	}
	if lines, full, _, _ := table.Apply(time.Second, 0, listOfOne(42)); full || len(lines) != 0 {
		t.Errorf("an older list was applied at once: %+v", lines)
	}
	if lines, full, _, _ := table.Apply(2*time.Second, 0, listOfOne(43)); !full || len(lines) != 1 {
		t.Errorf("the last-known list was not confirmed: %+v", lines)
	}
}

// After a change of discovery's address, the grace period of an older list runs from the change, however late the
// list is read: the dispatcher has to act on it within 4 s of the change.
func TestStaleListAfterAddressChangeIsAppliedInTime(t *testing.T) {
	var table Table
	table.Apply(time.Second, 0, listOfOne(43))
	changedAt := 10 * time.Second
	table.AddressChanged(changedAt)
	if _, full, _, _ := table.Apply(changedAt+time.Second, 0, listOfOne(5)); full {
		t.Error("a stale list was applied at once")
	}
	if _, full, _, _ := table.Apply(changedAt+3500*time.Millisecond, 0, listOfOne(5)); !full || table.Revision != 5 {
		t.Error("a stale list was not applied 3.5 s after the change of address")
	}
	table.AddressChanged(20 * time.Second)
	table.Apply(21*time.Second, 0, listOfOne(6))
	if _, full, _, _ := table.Apply(40*time.Second, 0, listOfOne(5)); full {
		t.Error("a stale list was applied at once long after a change of address")
	}
}

// Whatever discovery sends, the endpoints that are passed on are valid.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"rev":1,"all":true,"targets":[` +
		`{"uid":"a","endpoint":"10.0.0.1:1","state":"in_service","capacity_hint":1,"boot_ms":5}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var table Table
		lines, _, _, _ := table.Apply(0, 1000, raw)
		for _, line := range lines {
			if line.Name == "" || line.State == "" || !(line.Units >= 0) || line.UptimeMs < -1 {
				t.Errorf("%+v", line)
			}
		}
	})
}

// testFollower is a running follower that records what it passes on.
type testFollower struct {
	*Follower
	mu    sync.Mutex
	lines []endpointlist.Endpoint
}

// startFollower runs a follower until the test ends, and checks that it leaves no goroutine behind.
func startFollower(t *testing.T, address string) *testFollower {
	ignoreEarlier := goleak.IgnoreCurrent()
	start := time.Now()
	follower := &testFollower{}
	follower.Follower = &Follower{
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
		Monotonic: func() time.Duration { return time.Since(start) }, WallClock: time.Now,
		OnUpdate: func(lines []endpointlist.Endpoint, full bool) {
			follower.mu.Lock()
			follower.lines = append(follower.lines, lines...)
			follower.mu.Unlock()
		},
	}
	follower.SetAddress(address)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { follower.Run(ctx); close(ended) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		goleak.VerifyNone(t, ignoreEarlier)
	})
	return follower
}

// startSite returns a site with one backend, its discovery agent, and a follower that has received the backend.
func startSite(t *testing.T) (*testbackends.Platform, *testbackends.Backend, *testbackends.Agent, *testFollower) {
	site := testbackends.New()
	t.Cleanup(site.Close)
	backend := site.AddBackend("a", testbackends.PrefillKind)
	agent := site.AddAgent()
	follower := startFollower(t, agent.Address)
	follower.waitForState(t, "a", endpointlist.Ready)
	return site, backend, agent, follower
}

// state returns the state in the last line that was passed on for a backend.
func (f *testFollower) state(name string) (last string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.lines {
		if line.Name == name {
			last = line.State
		}
	}
	return last
}

// waitForState waits until the last line that was passed on for a backend has the given state.
func (f *testFollower) waitForState(t *testing.T, name, state string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f.state(name) == state {
			return
		}
	}
	t.Fatalf("%s did not reach the state %s", name, state)
}

func TestWatchResumesAfterInterruption(t *testing.T) {
	site, backend, agent, follower := startSite(t)
	for i, interrupt := range []func(){
		agent.CloseConns,
		func() { agent.WriteRaw("20\r\n{\"rev\":9"); agent.CloseConns() },
		func() { agent.WriteRaw(testbackends.EncodeChunk("{\"rev\":\n")) },
	} {
		interrupt()
		site.UpdateDiscovery(func() { backend.State = []string{"terminating", "in_service", "terminating"}[i] })
		follower.waitForState(t, "a", []string{endpointlist.Draining, endpointlist.Ready, endpointlist.Draining}[i])
	}
}

// A watch that has gone silent is reopened, and silence removes nothing from the list.
func TestSilentWatchIsReopened(t *testing.T) {
	site, backend, agent, follower := startSite(t)
	eventually(t, func() bool { return agent.WatchCount() == 1 }) // the first list comes before the watch is open
	agent.SetSilent(true)
	site.UpdateDiscovery(func() { backend.State = "terminating" })
	agent.SetSilent(false)
	follower.waitForState(t, "a", endpointlist.Draining)
	if follower.WatchFailures() == 0 {
		t.Error("the silent watch was not closed")
	}
}

// A list may span several lines, share a chunk with another list, or come in pieces; none of these may end the watch.
func TestWatchDecodesListsInAnyFraming(t *testing.T) {
	site := testbackends.New()
	t.Cleanup(site.Close)
	backend := site.AddBackend("a", testbackends.PrefillKind)
	agent := site.AddAgent()
	agent.SetIndent(true)
	follower := startFollower(t, agent.Address)
	follower.waitForState(t, "a", endpointlist.Ready)
	site.UpdateDiscovery(func() { backend.State = "terminating" })
	follower.waitForState(t, "a", endpointlist.Draining)
	message := func(revision int, state string) string {
		return fmt.Sprintf(`{"rev":%d,"all":false,"targets":[{"uid":"a","endpoint":%q,"state":%q,"capacity_hint":1}]}`,
			revision, backend.Address, state)
	}
	agent.WriteRaw(testbackends.EncodeChunk("\n") +
		testbackends.EncodeChunk(message(10, "terminating")+message(11, "in_service")+"\n"))
	follower.waitForState(t, "a", endpointlist.Ready)
	for _, c := range []byte(testbackends.EncodeChunk("\n  " + message(12, "terminating"))) {
		agent.WriteRaw(string(c))
	}
	follower.waitForState(t, "a", endpointlist.Draining)
	if n := follower.WatchFailures(); n != 0 {
		t.Errorf("the watch ended %d times", n)
	}
}

// A change must be known within 6 s of the watch falling silent, also where the watch that is opened in its place
// stalls in the middle of its response.
func TestChangeDuringSilentWatchIsKnownInTime(t *testing.T) {
	site, backend, agent, follower := startSite(t)
	eventually(t, func() bool { return agent.WatchCount() == 1 }) // the first list comes before the watch is open
	agent.SetSilent(true)
	start := time.Now()
	site.UpdateDiscovery(func() { backend.State = "terminating" })
	agent.SetTruncateAfter(90)
	agent.SetSilent(false)
	time.AfterFunc(silenceTimeout+attemptInterval/2, func() { agent.SetTruncateAfter(0) })
	follower.waitForState(t, "a", endpointlist.Draining)
	if took := time.Since(start); took > 5900*time.Millisecond {
		t.Errorf("the change was known after %v", took)
	}
}

// Whatever happens to a watch, a change must be known within the platform's time limits.
func TestChangeIsKnownInTimeDespiteFaults(t *testing.T) {
	// The platform's limits after a watch has fallen silent, and after discovery's address has changed.
	const silenceLimit, addressChangeLimit = 6 * time.Second, 4 * time.Second
	for name, tc := range map[string]struct {
		within time.Duration
		fault  func(agents []*testbackends.Agent, follower *testFollower, drain func())
	}{
		"silent in the first seconds, and again when reopened": {
			silenceLimit,
			func(agents []*testbackends.Agent, follower *testFollower, drain func()) {
				agent := agents[0]
				agent.SetSilent(true)
				drain()
				eventually(t, func() bool { return follower.WatchFailures() == 1 })
				eventually(t, func() bool { return len(agent.RequestURIs()) > 2 }) // another request, without a response
				agent.SetSilent(false)
			},
		},
		"silent in the middle of the list": {
			silenceLimit,
			func(agents []*testbackends.Agent, _ *testFollower, drain func()) {
				agent := agents[0]
				agent.SetSilent(true)
				drain()
				agent.SetTruncateAfter(60)
				agent.SetSilent(false)
				eventually(t, func() bool { return len(agent.RequestURIs()) > 2 })
				agent.SetTruncateAfter(0)
			},
		},
		"slow from now on, and reset right before the change": {
			silenceLimit,
			func(agents []*testbackends.Agent, _ *testFollower, drain func()) {
				agents[0].SetDelay(2 * time.Second)
				agents[0].CloseConns()
				drain()
			},
		},
		"address changed to a slow agent": {
			addressChangeLimit,
			func(agents []*testbackends.Agent, follower *testFollower, drain func()) {
				agents[1].SetDelay(2 * time.Second)
				follower.SetAddress(agents[1].Address)
				drain()
			},
		},
		"reset right before the change": {
			time.Second,
			func(agents []*testbackends.Agent, _ *testFollower, drain func()) {
				agent := agents[0]
				agent.CloseConns()
				drain()
			},
		},
		"reset right after the first bytes of the change": {
			time.Second,
			func(agents []*testbackends.Agent, _ *testFollower, drain func()) {
				agent := agents[0]
				agent.WriteRaw("80\r\n{\"rev\":")
				agent.CloseConns()
				drain()
			},
		},
		"address changed during a request": {
			addressChangeLimit,
			func(agents []*testbackends.Agent, follower *testFollower, drain func()) {
				agent := agents[0]
				agent.SetSilent(true)
				agent.CloseConns()
				eventually(t, func() bool { return len(agent.RequestURIs()) > 2 }) // the request
				drain()
				follower.SetAddress(agents[1].Address)
			},
		},
		"address changed twice, first to a silent agent": {
			addressChangeLimit,
			func(agents []*testbackends.Agent, follower *testFollower, drain func()) {
				agent := agents[0]
				silent, last := agents[1], agents[2]
				silent.SetSilent(true)
				drain()
				agent.SetSilent(true)
				follower.SetAddress(silent.Address)
				eventually(t, func() bool { return len(silent.RequestURIs()) > 0 })
				follower.SetAddress(last.Address)
			},
		},
		"change during an outage": {
			2500 * time.Millisecond,
			func(agents []*testbackends.Agent, follower *testFollower, drain func()) {
				agent := agents[0]
				agent.SetSilent(true)
				agent.CloseConns()
				eventually(t, func() bool { return follower.WatchFailures() > 1 })
				drain()
				agent.SetSilent(false)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			site := testbackends.New()
			t.Cleanup(site.Close)
			backend := site.AddBackend("a", testbackends.PrefillKind)
			agents := []*testbackends.Agent{site.AddAgent(), site.AddAgent(), site.AddAgent()}
			follower := startFollower(t, agents[0].Address)
			follower.waitForState(t, "a", endpointlist.Ready)
			eventually(t, func() bool { return agents[0].WatchCount() == 1 })
			start := time.Now()
			tc.fault(agents, follower, func() {
				start = time.Now()
				site.UpdateDiscovery(func() { backend.State = "terminating" })
			})
			follower.waitForState(t, "a", endpointlist.Draining)
			if took := time.Since(start); took > tc.within {
				t.Errorf("the change was known after %v, later than %v", took, tc.within)
			}
		})
	}
}

// eventually waits until a condition holds, and fails the test after 10 s.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not hold within 10 s")
		}
	}
}

// The bytes of a message that never completes must not keep a watch open.
func TestMessageThatTricklesInIsAbandoned(t *testing.T) {
	_, _, agent, follower := startSite(t)
	for end := time.Now().Add(2 * silenceTimeout); follower.WatchFailures() == 0; time.Sleep(silenceTimeout / 10) {
		if time.Now().After(end) {
			t.Fatal("the watch was not closed")
		}
		agent.WriteRaw(testbackends.EncodeChunk(" {"))
	}
}

// Guards against a drain that is never heard, as discovery takes its time to write the message: each watch was closed in
// the middle of it, and the next one was sent the same message again. One that takes over 6 s is heard at a later try.
func TestChangeThatIsWrittenSlowlyIsTakenIn(t *testing.T) {
	const pieces, limit = 20, 6 * time.Second
	for name, test := range map[string]struct{ length, within time.Duration }{
		"2.3 s": {2300 * time.Millisecond, limit},
		"4 s":   {4 * time.Second, limit},
		"5 s":   {5 * time.Second, messageTimeout + 5*time.Second + limit},
	} {
		t.Run(name, func(t *testing.T) {
			site, _, agent, follower := startSite(t)
			eventually(t, func() bool { return agent.WatchCount() == 1 })
			list := strings.NewReplacer("in_service", "terminating", `"rev":1`, `"rev":99`, `"all":true`, `"all":false`).
				Replace(string(site.DiscoveryList()))
			message := testbackends.EncodeChunk(list + "\n")
			began := time.Now()
			for time.Since(began) < test.within && follower.state("a") != endpointlist.Draining {
				failures := follower.WatchFailures()
				eventually(t, func() bool { return agent.WatchCount() == 1 })
				for piece := range slices.Chunk([]byte(message), len(message)/pieces+1) {
					time.Sleep(test.length / pieces)
					if follower.WatchFailures() > failures {
						break // the watch was closed: the next one gets the message from its start
					}
					agent.WriteRaw(string(piece))
				}
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(began); follower.state("a") != endpointlist.Draining {
				t.Errorf("not known after %v, with %d watches closed", took, follower.WatchFailures())
			}
		})
	}
}

func TestFullListIsFetchedFromNewAddress(t *testing.T) {
	site := testbackends.New()
	t.Cleanup(site.Close)
	site.AddBackend("a", testbackends.PrefillKind)
	b := site.AddBackend("b", testbackends.PrefillKind)
	b.State = "terminated"
	first, second := site.AddAgent(), site.AddAgent()
	follower := startFollower(t, first.Address)
	follower.waitForState(t, "a", endpointlist.Ready)
	first.SetSilent(true)
	site.UpdateDiscovery(func() { b.State = "in_service" })
	follower.SetAddress(second.Address)
	follower.waitForState(t, "b", endpointlist.Ready)
	if requested := second.RequestURIs(); len(requested) == 0 || requested[0] != "/v1/endpoints" {
		t.Errorf("requested %q from the new address", requested)
	}
}
