package reach_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/reach"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/standin"
)

// site is one box with addresses of all three kinds, and the way to it.
type site struct {
	t     *testing.T
	book  *record.Recorder
	fleet *standin.Fleet
	boxes *reach.Manager
	n     atomic.Int64
}

func newSite(t *testing.T) *site {
	t.Helper()
	before := goleak.IgnoreCurrent()
	book, err := record.Open("", record.Header{})
	if err != nil {
		t.Fatal(err)
	}
	terms := setup.DefaultDeployment()
	terms.Classes = []setup.Class{{Name: "g", Effect: "unrepeatable"}}
	s := &site{t: t, book: book, fleet: standin.NewFleet(terms, book, standin.Links{SameRack: 1e9, CrossRack: 1e9}, map[string]standin.ClassProfile{"g": {NewTokens: 1, AnswerTokens: 1}})}
	life, end := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	s.boxes = &reach.Manager{DialTimeout: 250 * time.Millisecond, MaxConnsPerBackend: 64, Now: book.Elapsed, Context: life, Group: group}
	group.Go(s.boxes.Run)
	t.Cleanup(func() {
		end()
		group.Wait()
		s.fleet.Close()
		goleak.VerifyNone(t, before)
	})
	return s
}

func free(t *testing.T, network, at string) string {
	t.Helper()
	l, err := net.Listen(network, at)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// box starts a box and tells the way to it. Its addresses are, in order: a socket, IPv6, IPv4.
func (s *site) box(name string) (*standin.Backend, *reach.Pool) {
	s.t.Helper()
	dir, err := os.MkdirTemp("", "r") // a socket's path must be short
	if err != nil {
		s.t.Fatal(err)
	}
	at := []addresses.Spec{{Network: addresses.Unix, Addr: filepath.Join(dir, name)}, {Network: addresses.TCP6, Addr: free(s.t, "tcp6", "[::1]:0")},
		{Network: addresses.TCP4, Addr: free(s.t, "tcp4", "127.0.0.1:0")}}
	b := s.fleet.NewBackend(standin.Config{Name: name, Kind: "writer", Addresses: at, Engine: standin.InstantEngine})
	if err := b.Boot(false); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { b.Kill("end"); os.RemoveAll(dir) })
	return b, s.boxes.SetAddresses(name, at, 3)
}

// trip sends one trip and returns how far it came: whether a byte went out, and the error.
func (s *site) trip(h *reach.Pool, wait time.Duration) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	e := kserve.AttemptParams{Phase: kserve.PhaseCombined, DispatcherEpoch: "d.1", RequestNumber: uint64(s.n.Add(1)), Class: "g", PromptTokens: 10, MaxTokens: 1}
	conn, resp, err := h.Send(ctx, func() (*http.Request, error) { return kserve.NewAttemptRequest(ctx, reach.URL(h.Name), "lodge", "", e) })
	if conn == nil {
		return false, err
	}
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		conn.ReportFailed()
	} else {
		conn.ReportServed()
	}
	return conn.Sent(), err
}

// reached counts, by trip, how often boxes got it.
func (s *site) reached() (times map[string]int, boxes map[string]int) {
	times, boxes = map[string]int{}, map[string]int{}
	for _, l := range s.book.Events() {
		if l.Kind == record.AttemptReceived {
			times[l.RequestKey]++
			boxes[l.Backend+" "+strings.SplitN(l.Address, ":", 2)[0]]++
		}
	}
	return times, boxes
}

func TestFailOverCostsAConnectionAndNoTrip(t *testing.T) {
	for mode, most := range map[string]time.Duration{
		standin.EndpointRefuses: 50 * time.Millisecond, standin.EndpointStalls: 250 * time.Millisecond, standin.EndpointBlackhole: 250 * time.Millisecond,
	} {
		t.Run(mode, func(t *testing.T) {
			s := newSite(t)
			b, h := s.box("w1")
			for _, i := range []int{0, 1} {
				if err := b.Endpoint(i).SetMode(mode, 0, 0); err != nil {
					t.Fatal(err)
				}
			}
			began := time.Now()
			_, err := s.trip(h, time.Second)
			if took := time.Since(began); err != nil || took > most {
				t.Errorf("%v after %v, at most %v are stated", err, took, most)
			}
			if _, by := s.reached(); by["w1 tcp4"] != 1 || len(by) != 1 {
				t.Errorf("reached %v", by)
			}
		})
	}
}

func TestAllAddressesFailingIsToldPromptly(t *testing.T) {
	s := newSite(t)
	b, h := s.box("w1")
	for mode, most := range map[string]time.Duration{standin.EndpointRefuses: 100 * time.Millisecond, standin.EndpointStalls: 400 * time.Millisecond} {
		for i := range 3 {
			b.Endpoint(i).SetMode(mode, 0, 0)
		}
		began := time.Now()
		sent, err := s.trip(h, 2*time.Second)
		if took := time.Since(began); !errors.Is(err, reach.ErrUnreachable) || sent || took > most {
			t.Errorf("%s: sent %v, %v after %v", mode, sent, err, took)
		}
	}
	// One comes back: real traffic or a background try finds it, whatever is thought of it.
	b.Endpoint(2).SetMode(standin.EndpointServes, 0, 0)
	for end := time.Now().Add(8 * time.Second); ; {
		if _, err := s.trip(h, time.Second); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the address that is back was not found")
		}
	}
}

// A connection that was proven and then rested must not take a trip into a stall that has begun meanwhile.
func TestARestedConnectionProvesItselfAnew(t *testing.T) {
	s := newSite(t)
	b, h := s.box("w1")
	for range 3 {
		s.trip(h, time.Second)
	}
	time.Sleep(2 * addresses.FreshFor)
	b.Endpoint(0).SetMode(standin.EndpointStalls, 0, 0)
	began := time.Now()
	if _, err := s.trip(h, time.Second); err != nil || time.Since(began) > 250*time.Millisecond {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	if _, by := s.reached(); by["w1 unix"] != 3 || by["w1 tcp6"] != 1 {
		t.Errorf("reached %v", by)
	}
}

// What stalls after its proof takes the trip with it: that one is lost and may have run, and is never sent again.
func TestATripThatStallsAfterTheProofIsSentOnce(t *testing.T) {
	s := newSite(t)
	b, h := s.box("w1")
	b.Endpoint(0).SetMode(standin.EndpointStallsAfterResponse, 0, 0)
	sent, err := s.trip(h, 300*time.Millisecond)
	if !sent || err == nil {
		t.Errorf("sent %v, %v", sent, err)
	}
	b.Endpoint(0).SetMode(standin.EndpointServes, 0, 0)
	time.Sleep(100 * time.Millisecond)
	times, _ := s.reached()
	for key, n := range times {
		if n > 1 {
			t.Errorf("%s reached boxes %d times", key, n)
		}
	}
}

// An address that has passed to another box's process is noticed by the name that answers, and nothing is sent there.
func TestNothingIsSentToAnotherBox(t *testing.T) {
	s := newSite(t)
	one, h1 := s.box("w1")
	two, h2 := s.box("w2")
	for range 3 {
		s.trip(h1, time.Second)
		s.trip(h2, time.Second)
	}
	for i := range 3 {
		one.Endpoint(i).Swap(two.Endpoint(i))
	}
	before, _ := s.reached()
	sent, err := s.trip(h1, time.Second)
	after, _ := s.reached()
	if !errors.Is(err, reach.ErrUnreachable) || sent || len(after) != len(before) {
		t.Errorf("sent %v, %v; %d trips reached a box before and %d after", sent, err, len(before), len(after))
	}
}

// A box that proves itself and resets at once takes not a byte. Trying it anew must end with the time for a connection, however
// long the trip may take: by then the box may long have been told to drain.
func TestConnectionsThatTakeNothingAreNotTriedForEver(t *testing.T) {
	s := newSite(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 512))
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"name\":\"b\"}")
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	h := s.boxes.SetAddresses("b", []addresses.Spec{{Network: addresses.TCP4, Addr: l.Addr().String()}}, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	tries := 0
	_, _, err = h.Send(ctx, func() (*http.Request, error) {
		tries++
		time.Sleep(30 * time.Millisecond) // the reset has arrived
		return http.NewRequestWithContext(ctx, http.MethodPost, "http://b/", strings.NewReader("x"))
	})
	if ctx.Err() != nil || !errors.Is(err, reach.ErrUnreachable) || tries == 0 {
		t.Errorf("%v after %d tries; the trip's own time: %v", err, tries, ctx.Err())
	}
}

// Boxes come and go under new names for as long as a dispatcher runs.
func TestABoxThatIsGoneIsForgotten(t *testing.T) {
	s := newSite(t)
	_, h := s.box("b")
	if _, err := s.trip(h, time.Second); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"b", "never-reached"} {
		s.boxes.SetAddresses(name, nil, 1)
	}
	for range 100 {
		left := 0
		s.boxes.ForEach(func(string, *addresses.Tracker, int, int) { left++ })
		if left == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("it is still looked after")
}

func TestConnectionsToAnAddressThatIsDroppedAreNotUsedAgain(t *testing.T) {
	s := newSite(t)
	b, h := s.box("w1")
	s.trip(h, time.Second)
	s.boxes.SetAddresses("w1", b.Addresses[2:], 3)
	if _, err := s.trip(h, time.Second); err != nil {
		t.Error(err)
	}
	if _, by := s.reached(); by["w1 unix"] != 1 || by["w1 tcp4"] != 1 {
		t.Errorf("reached %v", by)
	}
	s.boxes.SetAddresses("w1", nil, 3)
	if _, err := s.trip(h, time.Second); !errors.Is(err, reach.ErrUnreachable) {
		t.Errorf("a box that is gone: %v", err)
	}
}

// 10,000 trips and more while each address goes wrong and right again at random: each trip reaches one address at most, and what is
// said not to have been sent reached none.
func TestEachTripReachesAtMostOneAddress(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	s := newSite(t)
	b, h := s.box("w1")
	modes := []string{standin.EndpointServes, standin.EndpointServes, standin.EndpointServes, standin.EndpointRefuses, standin.EndpointBlackhole, standin.EndpointStalls, standin.EndpointStallsAfterResponse,
		standin.EndpointSlow, standin.EndpointResets, standin.EndpointFlaps}
	const least, changes = 10000, 30 // a quick machine makes the trips before anything has gone wrong
	var made, changed atomic.Int64
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
			}
			b.Endpoint(rng.IntN(3)).SetMode(modes[rng.IntN(len(modes))], time.Duration(1+rng.IntN(20))*time.Millisecond, rng.IntN(2000))
			changed.Add(1)
		}
	}()
	var unsent sync.Map
	var failed atomic.Int64
	var all sync.WaitGroup
	for range 64 {
		all.Add(1)
		go func() {
			defer all.Done()
			for made.Load() < least || changed.Load() < changes {
				made.Add(1)
				// The trip's number is only known by its turn, so what was not sent is counted.
				sent, err := s.trip(h, 60*time.Millisecond)
				if err != nil {
					failed.Add(1)
				}
				if !sent {
					n, _ := unsent.LoadOrStore("n", new(atomic.Int64))
					n.(*atomic.Int64).Add(1)
				}
			}
		}()
	}
	all.Wait()
	close(stop)
	<-done
	for i := range 3 {
		b.Endpoint(i).SetMode(standin.EndpointServes, 0, 0)
	}
	time.Sleep(200 * time.Millisecond) // what was held back by a gate arrives late, or never
	times, by := s.reached()
	for key, n := range times {
		if n > 1 {
			t.Fatalf("%s reached boxes %d times", key, n)
		}
	}
	n := int64(0)
	if v, ok := unsent.Load("n"); ok {
		n = v.(*atomic.Int64).Load()
	}
	trips := made.Load()
	if int64(len(times)) > trips-n {
		t.Errorf("%d trips reached the box, though %d of %d were said not to have been sent", len(times), n, trips)
	}
	if failed.Load() == 0 || int64(len(times)) < trips/20 {
		t.Errorf("%d trips failed and %d arrived: the faults did not do their part", failed.Load(), len(times))
	}
	t.Logf("%d arrived, %d failed, by %v", len(times), failed.Load(), by)
}

func TestAStaleSocketIsReplacedAndALiveOneIsNot(t *testing.T) {
	dir, err := os.MkdirTemp("", "r")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	at := filepath.Join(dir, "s")
	spec, err := reach.ParseListen("unix:" + at)
	if err != nil {
		t.Fatal(err)
	}
	first, err := reach.Listen(spec)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := reach.Listen(spec); err == nil || !strings.Contains(err.Error(), "somebody listens") {
		t.Errorf("a live socket: %v", err)
	}
	first.(*net.UnixListener).SetUnlinkOnClose(false)
	first.Close()
	second, err := reach.Listen(spec)
	if err != nil {
		t.Fatalf("a stale socket: %v", err)
	}
	second.Close()
	if err := os.WriteFile(at, []byte("precious"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := reach.Listen(spec); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Errorf("a file: %v", err)
	}
	if raw, _ := os.ReadFile(at); string(raw) != "precious" {
		t.Error("the file is gone")
	}
}

func TestAllowedRanges(t *testing.T) {
	a, err := reach.NewAllowList([]string{"10.0.0.0/8", "fd00::/8", "192.168.1.5", "172.16.0.1-172.16.0.9", "unix:/run/boxes/"})
	if err != nil {
		t.Fatal(err)
	}
	for at, want := range map[string]bool{
		"tcp4 10.2.3.4:1": true, "tcp4 11.2.3.4:1": false, "tcp6 [fd00::7]:1": true, "tcp6 [2001::7]:1": false, "tcp4 192.168.1.5:1": true, "tcp4 192.168.1.6:1": false,
		"tcp4 172.16.0.9:1": true, "tcp4 172.16.0.10:1": false, "tcp6 [::ffff:10.0.0.1]:1": true, "unix /run/boxes/a": true, "unix /run/a": false, "unix /run/boxes/../a": false,
	} {
		network, where, _ := strings.Cut(at, " ")
		if got := a.Contains(addresses.Spec{Network: network, Addr: where}); got != want {
			t.Errorf("%s: %v", at, got)
		}
	}
	for _, bad := range []string{"10.0.0.0/99", "box-7", "unix:run"} {
		if _, err := reach.NewAllowList([]string{bad}); err == nil {
			t.Errorf("%s passes", bad)
		}
	}
}
