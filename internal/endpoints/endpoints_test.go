package endpoints

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/hosts"
)

func TestATargetBecomesALine(t *testing.T) {
	var tab Table
	lines, whole, refused, err := tab.Apply(0, 10_000, []byte(`{"rev":41,"all":true,"targets":[
		{"uid":"a","endpoint":"10.1.0.18:8081","az":"z","model":"m2","pod_group":3,"state":"in_service","capacity_hint":1.5,"boot_ms":9000},
		{"uid":"b","endpoint":"10.1.0.19:8081","az":"z","model":"m2","pod_group":3,"state":"terminated","capacity_hint":1,"boot_ms":0},
		{"uid":"c","endpoint":"nowhere","state":"in_service"},{"uid":"d","endpoint":"10.1.0.20:1","state":"asleep"},{"uid":"","state":"in_service"}]}`))
	if err != nil || !whole || len(lines) != 2 || len(refused) != 3 || tab.Revision != 41 {
		t.Fatalf("%v, whole %t, %+v, refused %q", err, whole, lines, refused)
	}
	if a := lines[0]; a.UptimeMs != 1000 || a.Incarnation != 9000 || a.State != boxlist.Ready || a.Rack != "3" || a.Units != 1.5 || a.Addresses[0].Addr != "10.1.0.18:8081" {
		t.Errorf("%+v", a)
	}
	if b := lines[1]; b.UptimeMs != -1 || b.State != boxlist.Removed {
		t.Errorf("%+v", b)
	}
}

// An older list could bring back backends that are draining. It is taken only once discovery has had nothing newer for a while: then it
// has begun anew.
func TestAnOlderListIsNotTakenAtOnce(t *testing.T) {
	var tab Table
	take := func(now time.Duration, raw string) int {
		lines, _, _, err := tab.Apply(now, 0, []byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		return len(lines)
	}
	draining := `{"rev":43,"all":true,"targets":[{"uid":"a","endpoint":"10.0.0.1:1","state":"terminating","capacity_hint":1}]}`
	older := `{"rev":42,"all":true,"targets":[{"uid":"a","endpoint":"10.0.0.1:1","state":"in_service","capacity_hint":1}]}`
	if take(0, draining) != 1 || take(time.Second, older) != 0 || take(2*time.Second, older) != 0 {
		t.Error("an older list was taken")
	}
	mixed := `{"rev":42,"all":true,"targets":[{"uid":"a","endpoint":"10.0.0.1:1","state":"in_service","capacity_hint":1},
		{"uid":"b","endpoint":"10.0.0.1:1","state":"terminating","capacity_hint":1}]}`
	if take(2*time.Second, mixed) != 1 || tab.Revision != 43 {
		t.Error("a drain that an older list tells of is not taken at once")
	}
	if take(time.Second+staleListGrace, older) != 1 || tab.Revision != 42 {
		t.Error("a list that has begun anew is never taken")
	}
}

// After a move, an older list has been what discovery says since the move, however late it is read: what it has counts 4 s after that.
func TestAnOlderListAfterAMoveIsTakenInTime(t *testing.T) {
	var tab Table
	list := func(rev int) []byte {
		return fmt.Appendf(nil, `{"rev":%d,"all":true,"targets":[{"uid":"a","endpoint":"10.0.0.1:1","state":"in_service","capacity_hint":1}]}`, rev)
	}
	tab.Apply(time.Second, 0, list(43))
	moved := 10 * time.Second
	tab.AddressChanged(moved)
	if _, whole, _, _ := tab.Apply(moved+time.Second, 0, list(5)); whole {
		t.Error("an older list is taken at once")
	}
	if _, whole, _, _ := tab.Apply(moved+3500*time.Millisecond, 0, list(5)); !whole || tab.Revision != 5 {
		t.Error("3.5 s after the move what discovery no longer has is still used")
	}
	tab.AddressChanged(20 * time.Second)
	tab.Apply(21*time.Second, 0, list(6))
	if _, whole, _, _ := tab.Apply(40*time.Second, 0, list(5)); whole {
		t.Error("an older list is taken at once long after a move")
	}
}

func FuzzTake(f *testing.F) {
	f.Add([]byte(`{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"10.0.0.1:1","state":"in_service","capacity_hint":1,"boot_ms":5}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var tab Table
		lines, _, _, _ := tab.Apply(0, 1000, raw)
		for _, b := range lines {
			if b.Name == "" || b.State == "" || !(b.Units >= 0) || b.UptimeMs < -1 {
				t.Errorf("%+v", b)
			}
		}
	})
}

// following is a follower on an agent, with what it was told.
type following struct {
	*Follower
	mu    sync.Mutex
	lines []boxlist.Endpoint
}

func follow(t *testing.T, at string) *following {
	before := goleak.IgnoreCurrent()
	began := time.Now()
	f := &following{}
	f.Follower = &Follower{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Monotonic: func() time.Duration { return time.Since(began) }, WallClock: time.Now, OnUpdate: func(lines []boxlist.Endpoint, whole bool) {
		f.mu.Lock()
		f.lines = append(f.lines, lines...)
		f.mu.Unlock()
	}}
	f.SetAddress(at)
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	t.Cleanup(func() {
		end()
		<-ended
		goleak.VerifyNone(t, before)
	})
	return f
}

// watching is a follower that knows a site's one backend.
func watching(t *testing.T) (*hosts.Platform, *hosts.Backend, *hosts.Agent, *following) {
	site := hosts.New()
	t.Cleanup(site.Close)
	box := site.AddBackend("a", hosts.PrefillKind)
	agent := site.AddAgent()
	f := follow(t, agent.Address)
	f.until(t, "a", boxlist.Ready)
	return site, box, agent, f
}

// until waits until the last line that was told of a backend says so.
func (f *following) until(t *testing.T, name, standing string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		f.mu.Lock()
		last := ""
		for _, b := range f.lines {
			if b.Name == name {
				last = b.State
			}
		}
		f.mu.Unlock()
		if last == standing {
			return
		}
	}
	t.Fatalf("%s is never %s", name, standing)
}

func TestAWatchGoesOnAfterWhateverCutsIt(t *testing.T) {
	site, box, agent, f := watching(t)
	for i, cut := range []func(){
		agent.CloseConns,
		func() { agent.WriteRaw("20\r\n{\"rev\":9"); agent.CloseConns() },
		func() { agent.WriteRaw(hosts.EncodeChunk("{\"rev\":\n")) },
	} {
		cut()
		site.UpdateDiscovery(func() { box.State = []string{"terminating", "in_service", "terminating"}[i] })
		f.until(t, "a", []string{boxlist.Draining, boxlist.Ready, boxlist.Draining}[i])
	}
}

// A watch that has gone silent is taken up anew, and silence takes nothing off the list.
func TestASilentWatchIsTakenUpAnew(t *testing.T) {
	site, box, agent, f := watching(t)
	agent.SetSilent(true)
	site.UpdateDiscovery(func() { box.State = "terminating" })
	agent.SetSilent(false)
	f.until(t, "a", boxlist.Draining)
	if f.WatchFailures() == 0 {
		t.Error("the silent watch was not given up")
	}
}

// Lists may come over many lines, several in one chunk, or in pieces; the watch goes on through all of that.
func TestAWatchReadsListsInAnyForm(t *testing.T) {
	site := hosts.New()
	t.Cleanup(site.Close)
	box := site.AddBackend("a", hosts.PrefillKind)
	agent := site.AddAgent()
	agent.SetIndent(true)
	f := follow(t, agent.Address)
	f.until(t, "a", boxlist.Ready)
	site.UpdateDiscovery(func() { box.State = "terminating" })
	f.until(t, "a", boxlist.Draining)
	say := func(rev int, state string) string {
		return fmt.Sprintf(`{"rev":%d,"all":false,"targets":[{"uid":"a","endpoint":%q,"state":%q,"capacity_hint":1}]}`, rev, box.Address, state)
	}
	agent.WriteRaw(hosts.EncodeChunk("\n") + hosts.EncodeChunk(say(10, "terminating")+say(11, "in_service")+"\n"))
	f.until(t, "a", boxlist.Ready)
	for _, c := range []byte(hosts.EncodeChunk("\n  " + say(12, "terminating"))) {
		agent.WriteRaw(string(c))
	}
	f.until(t, "a", boxlist.Draining)
	if n := f.WatchFailures(); n != 0 {
		t.Errorf("the watch was lost %d times", n)
	}
}

// A change counts as told 6 s after the watch fell silent, also where the watch that is opened in its place stops half-way.
func TestASilentWatchIsMadeGoodInTime(t *testing.T) {
	site, box, agent, f := watching(t)
	agent.SetSilent(true)
	began := time.Now()
	site.UpdateDiscovery(func() { box.State = "terminating" })
	agent.SetTruncateAfter(90)
	agent.SetSilent(false)
	time.AfterFunc(silenceTimeout+attemptInterval/2, func() { agent.SetTruncateAfter(0) })
	f.until(t, "a", boxlist.Draining)
	if took := time.Since(began); took > 5900*time.Millisecond {
		t.Errorf("it is known after %v", took)
	}
}

// What crosses a watch, and within which time a change has to be known all the same.
func TestAChangeIsKnownInTimeWhateverCrossesIt(t *testing.T) {
	const silent, moved = 6 * time.Second, 4 * time.Second // by the platform's terms
	for name, c := range map[string]struct {
		within time.Duration
		cross  func(agents []*hosts.Agent, f *following, drain func())
	}{
		"silent in the first seconds, and again when opened anew": {silent, func(agents []*hosts.Agent, f *following, drain func()) {
			agent := agents[0]
			agent.SetSilent(true)
			drain()
			await(t, func() bool { return f.WatchFailures() == 1 })
			await(t, func() bool { return len(agent.RequestURIs()) > 2 }) // asked anew, with no answer
			agent.SetSilent(false)
		}},
		"silent in the middle of the list": {silent, func(agents []*hosts.Agent, f *following, drain func()) {
			agent := agents[0]
			agent.SetSilent(true)
			drain()
			agent.SetTruncateAfter(60)
			agent.SetSilent(false)
			await(t, func() bool { return len(agent.RequestURIs()) > 2 })
			agent.SetTruncateAfter(0)
		}},
		"slow for good, and reset right before the change": {silent, func(agents []*hosts.Agent, _ *following, drain func()) {
			agents[0].SetDelay(2 * time.Second)
			agents[0].CloseConns()
			drain()
		}},
		"moved to a slow one": {moved, func(agents []*hosts.Agent, f *following, drain func()) {
			agents[1].SetDelay(2 * time.Second)
			f.SetAddress(agents[1].Address)
			drain()
		}},
		"reset right before the change": {time.Second, func(agents []*hosts.Agent, _ *following, drain func()) {
			agent := agents[0]
			agent.CloseConns()
			drain()
		}},
		"reset right behind the change's first bytes": {time.Second, func(agents []*hosts.Agent, _ *following, drain func()) {
			agent := agents[0]
			agent.WriteRaw("80\r\n{\"rev\":")
			agent.CloseConns()
			drain()
		}},
		"moved while a call is out": {moved, func(agents []*hosts.Agent, f *following, drain func()) {
			agent := agents[0]
			agent.SetSilent(true)
			agent.CloseConns()
			await(t, func() bool { return len(agent.RequestURIs()) > 2 }) // the call
			drain()
			f.SetAddress(agents[1].Address)
		}},
		"moved twice, to an address that says nothing": {moved, func(agents []*hosts.Agent, f *following, drain func()) {
			agent := agents[0]
			mute, there := agents[1], agents[2]
			mute.SetSilent(true)
			drain()
			agent.SetSilent(true)
			f.SetAddress(mute.Address)
			await(t, func() bool { return len(mute.RequestURIs()) > 0 })
			f.SetAddress(there.Address)
		}},
		"back after an outage with the change": {2500 * time.Millisecond, func(agents []*hosts.Agent, f *following, drain func()) {
			agent := agents[0]
			agent.SetSilent(true)
			agent.CloseConns()
			await(t, func() bool { return f.WatchFailures() > 1 })
			drain()
			agent.SetSilent(false)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			site := hosts.New()
			t.Cleanup(site.Close)
			box := site.AddBackend("a", hosts.PrefillKind)
			agents := []*hosts.Agent{site.AddAgent(), site.AddAgent(), site.AddAgent()}
			f := follow(t, agents[0].Address)
			f.until(t, "a", boxlist.Ready)
			await(t, func() bool { return agents[0].WatchCount() == 1 })
			began := time.Now()
			c.cross(agents, f, func() {
				began = time.Now()
				site.UpdateDiscovery(func() { box.State = "terminating" })
			})
			f.until(t, "a", boxlist.Draining)
			if took := time.Since(began); took > c.within {
				t.Errorf("it is known after %v", took)
			}
		})
	}
}

// await waits for something that is bound to happen.
func await(t *testing.T, is func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it does not happen")
		}
	}
}

// A push that never ends is no sign of life.
func TestAPushThatDripsIsGivenUp(t *testing.T) {
	_, _, agent, f := watching(t)
	for end := time.Now().Add(2 * silenceTimeout); f.WatchFailures() == 0; time.Sleep(silenceTimeout / 10) {
		if time.Now().After(end) {
			t.Fatal("the watch is kept")
		}
		agent.WriteRaw(hosts.EncodeChunk(" {"))
	}
}

func TestANewAddressIsAskedForItsWholeList(t *testing.T) {
	site := hosts.New()
	t.Cleanup(site.Close)
	site.AddBackend("a", hosts.PrefillKind)
	b := site.AddBackend("b", hosts.PrefillKind)
	b.State = "terminated"
	one, two := site.AddAgent(), site.AddAgent()
	f := follow(t, one.Address)
	f.until(t, "a", boxlist.Ready)
	one.SetSilent(true)
	site.UpdateDiscovery(func() { b.State = "in_service" })
	f.SetAddress(two.Address)
	f.until(t, "b", boxlist.Ready)
	if asked := two.RequestURIs(); len(asked) == 0 || asked[0] != "/v1/endpoints" {
		t.Errorf("asked for %q", asked)
	}
}
