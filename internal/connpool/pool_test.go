package connpool_test

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
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/fakes"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// fixture holds test backends that have addresses of all three networks, and the connection pools for them.
type fixture struct {
	t           *testing.T
	recorder    *record.Recorder
	fleet       *fakes.Fleet
	pools       *connpool.Manager
	lastRequest atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	before := goleak.IgnoreCurrent()
	recorder, err := record.Open("", record.Header{})
	if err != nil {
		t.Fatal(err)
	}
	terms := setup.DefaultDeployment()
	terms.Classes = []setup.Class{{Name: "g", Effect: "unrepeatable"}}
	env := &fixture{t: t, recorder: recorder, fleet: fakes.NewFleet(
		terms, recorder, fakes.Links{SameRack: 1e9, CrossRack: 1e9},
		map[string]fakes.ClassProfile{"g": {NewTokens: 1, AnswerTokens: 1}},
	)}
	life, end := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	env.pools = &connpool.Manager{
		DialTimeout: 250 * time.Millisecond, MaxConnsPerBackend: 64, Now: recorder.Elapsed, Context: life, Group: group,
	}
	group.Go(env.pools.Run)
	t.Cleanup(func() {
		end()
		group.Wait()
		env.fleet.Close()
		goleak.VerifyNone(t, before)
	})
	return env
}

// freePort returns an address at which nothing listens.
func freePort(t *testing.T, network, address string) string {
	t.Helper()
	l, err := net.Listen(network, address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// backend starts a test backend and returns its pool. Its addresses are, in order: a socket, IPv6, IPv4.
func (s *fixture) backend(name string) (*fakes.Backend, *connpool.Pool) {
	s.t.Helper()
	dir, err := os.MkdirTemp("", "r") // a socket's path must be short
	if err != nil {
		s.t.Fatal(err)
	}
	specs := []addresses.Spec{
		{Network: addresses.Unix, Addr: filepath.Join(dir, name)},
		{Network: addresses.TCP6, Addr: freePort(s.t, "tcp6", "[::1]:0")},
		{Network: addresses.TCP4, Addr: freePort(s.t, "tcp4", "127.0.0.1:0")},
	}
	b := s.fleet.NewBackend(fakes.Config{Name: name, Kind: "writer", Addresses: specs, Engine: fakes.InstantEngine})
	if err := b.Boot(false); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { b.Kill("end"); os.RemoveAll(dir) })
	return b, s.pools.SetAddresses(name, specs, 3)
}

// attempt sends one request. It returns whether a byte of it was sent, and the error.
func (s *fixture) attempt(pool *connpool.Pool, timeout time.Duration) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	e := kserve.AttemptParams{
		Phase: kserve.PhaseCombined, DispatcherEpoch: "d.1", RequestNumber: uint64(s.lastRequest.Add(1)), Class: "g",
		PromptTokens: 10, MaxTokens: 1,
	}
	conn, resp, err := pool.Send(ctx, func() (*http.Request, error) {
		return kserve.NewAttemptRequest(ctx, connpool.URL(pool.Name), "lodge", "", e)
	})
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

// received counts how often test backends received each attempt, and how many attempts each address received.
func (s *fixture) received() (byAttempt map[string]int, byAddress map[string]int) {
	byAttempt, byAddress = map[string]int{}, map[string]int{}
	for _, l := range s.recorder.Events() {
		if l.Kind == record.AttemptReceived {
			byAttempt[l.RequestKey]++
			byAddress[l.Backend+" "+strings.SplitN(l.Address, ":", 2)[0]]++
		}
	}
	return byAttempt, byAddress
}

func TestFailoverOpensAnotherConnectionAndLosesNoRequest(t *testing.T) {
	for mode, limit := range map[string]time.Duration{
		fakes.EndpointRefuses:   50 * time.Millisecond,
		fakes.EndpointStalls:    250 * time.Millisecond,
		fakes.EndpointBlackhole: 250 * time.Millisecond,
	} {
		t.Run(mode, func(t *testing.T) {
			env := newFixture(t)
			backend, pool := env.backend("w1")
			for _, i := range []int{0, 1} {
				if err := backend.Endpoint(i).SetMode(mode, 0, 0); err != nil {
					t.Fatal(err)
				}
			}
			startedAt := time.Now()
			_, err := env.attempt(pool, time.Second)
			if took := time.Since(startedAt); err != nil || took > limit {
				t.Errorf("%v after %v, at most %v are allowed", err, took, limit)
			}
			if _, byAddress := env.received(); byAddress["w1 tcp4"] != 1 || len(byAddress) != 1 {
				t.Errorf("attempts received: %v", byAddress)
			}
		})
	}
}

func TestFailureOfAllAddressesIsReportedPromptly(t *testing.T) {
	env := newFixture(t)
	backend, pool := env.backend("w1")
	for mode, limit := range map[string]time.Duration{
		fakes.EndpointRefuses: 100 * time.Millisecond,
		fakes.EndpointStalls:  400 * time.Millisecond,
	} {
		for i := range 3 {
			backend.Endpoint(i).SetMode(mode, 0, 0)
		}
		startedAt := time.Now()
		sent, err := env.attempt(pool, 2*time.Second)
		if took := time.Since(startedAt); !errors.Is(err, connpool.ErrUnreachable) || sent || took > limit {
			t.Errorf("%s: sent %v, %v after %v", mode, sent, err, took)
		}
	}
	// One address works again: a request or a background recheck finds it, although it is suspected.
	backend.Endpoint(2).SetMode(fakes.EndpointServes, 0, 0)
	for end := time.Now().Add(8 * time.Second); ; {
		if _, err := env.attempt(pool, time.Second); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the address that works again was not found")
		}
	}
}

// An idle connection must not be given a request if its address has begun to stall since it was verified.
func TestIdleConnectionIsVerifiedAgain(t *testing.T) {
	env := newFixture(t)
	backend, pool := env.backend("w1")
	for range 3 {
		env.attempt(pool, time.Second)
	}
	time.Sleep(2 * addresses.VerificationTTL)
	backend.Endpoint(0).SetMode(fakes.EndpointStalls, 0, 0)
	startedAt := time.Now()
	if _, err := env.attempt(pool, time.Second); err != nil || time.Since(startedAt) > 250*time.Millisecond {
		t.Errorf("%v after %v", err, time.Since(startedAt))
	}
	if _, byAddress := env.received(); byAddress["w1 unix"] != 3 || byAddress["w1 tcp6"] != 1 {
		t.Errorf("attempts received: %v", byAddress)
	}
}

// A request over a connection that stalls after its verification is lost. It may have run, so it must not be resent.
func TestRequestThatStallsAfterVerificationIsSentOnce(t *testing.T) {
	s := newFixture(t)
	backend, pool := s.backend("w1")
	backend.Endpoint(0).SetMode(fakes.EndpointStallsAfterResponse, 0, 0)
	sent, err := s.attempt(pool, 300*time.Millisecond)
	if !sent || err == nil {
		t.Errorf("sent %v, %v", sent, err)
	}
	backend.Endpoint(0).SetMode(fakes.EndpointServes, 0, 0)
	time.Sleep(100 * time.Millisecond)
	byAttempt, _ := s.received()
	for key, n := range byAttempt {
		if n > 1 {
			t.Errorf("%s was received %d times", key, n)
		}
	}
}

// An address may pass to another backend's process. The name in the verification shows it, and nothing is sent there.
func TestNoRequestIsSentToAnotherBackend(t *testing.T) {
	env := newFixture(t)
	first, firstPool := env.backend("w1")
	second, secondPool := env.backend("w2")
	for range 3 {
		env.attempt(firstPool, time.Second)
		env.attempt(secondPool, time.Second)
	}
	for i := range 3 {
		first.Endpoint(i).Swap(second.Endpoint(i))
	}
	before, _ := env.received()
	sent, err := env.attempt(firstPool, time.Second)
	after, _ := env.received()
	if !errors.Is(err, connpool.ErrUnreachable) || sent || len(after) != len(before) {
		t.Errorf("sent %v, %v; %d attempts received before and %d after", sent, err, len(before), len(after))
	}
}

// A backend that resets each connection right after its verification takes no byte of a request. Retrying must end at
// the dial timeout, however long the request may take: the backend may be draining by then.
func TestRetriesOfUnsentRequestsEndAtTheDialTimeout(t *testing.T) {
	env := newFixture(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conn.Read(make([]byte, 512))
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"name\":\"b\"}")
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	pool := env.pools.SetAddresses("b", []addresses.Spec{{Network: addresses.TCP4, Addr: listener.Addr().String()}}, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	tries := 0
	_, _, err = pool.Send(ctx, func() (*http.Request, error) {
		tries++
		time.Sleep(30 * time.Millisecond) // the reset has arrived
		return http.NewRequestWithContext(ctx, http.MethodPost, "http://b/", strings.NewReader("x"))
	})
	if ctx.Err() != nil || !errors.Is(err, connpool.ErrUnreachable) || tries == 0 {
		t.Errorf("%v after %d tries; the request's context: %v", err, tries, ctx.Err())
	}
}

// Backends come and go under new names for as long as a dispatcher runs: without pruning its pools would pile up.
func TestRemovedBackendIsPruned(t *testing.T) {
	s := newFixture(t)
	_, pool := s.backend("b")
	if _, err := s.attempt(pool, time.Second); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"b", "never-reached"} {
		s.pools.SetAddresses(name, nil, 1)
	}
	for range 100 {
		pools := 0
		s.pools.ForEach(func(string, *addresses.Tracker, int, int) { pools++ })
		if pools == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("a removed backend still has a pool")
}

func TestConnectionsToARemovedAddressAreNotReused(t *testing.T) {
	env := newFixture(t)
	backend, pool := env.backend("w1")
	env.attempt(pool, time.Second)
	env.pools.SetAddresses("w1", backend.Addresses[2:], 3)
	if _, err := env.attempt(pool, time.Second); err != nil {
		t.Error(err)
	}
	if _, byAddress := env.received(); byAddress["w1 unix"] != 1 || byAddress["w1 tcp4"] != 1 {
		t.Errorf("attempts received: %v", byAddress)
	}
	env.pools.SetAddresses("w1", nil, 3)
	if _, err := env.attempt(pool, time.Second); !errors.Is(err, connpool.ErrUnreachable) {
		t.Errorf("a removed backend: %v", err)
	}
}

// Over 10,000 attempts while each address fails and recovers at random: each attempt is received at one address at
// most, and none that is reported as not sent is received.
func TestEachAttemptIsReceivedAtMostOnce(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	env := newFixture(t)
	backend, pool := env.backend("w1")
	modes := []string{
		fakes.EndpointServes, fakes.EndpointServes, fakes.EndpointServes, fakes.EndpointRefuses,
		fakes.EndpointBlackhole,
		fakes.EndpointStalls, fakes.EndpointStallsAfterResponse, fakes.EndpointSlow, fakes.EndpointResets,
		fakes.EndpointFlaps,
	}
	const minAttempts, minChanges = 10000, 30 // a fast machine would end the attempts before any address has failed
	var attempts, changes atomic.Int64
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
			}
			backend.Endpoint(rng.IntN(3)).SetMode(
				modes[rng.IntN(len(modes))], time.Duration(1+rng.IntN(20))*time.Millisecond, rng.IntN(2000))
			changes.Add(1)
		}
	}()
	var unsent sync.Map
	var failed atomic.Int64
	var senders sync.WaitGroup
	for range 64 {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for attempts.Load() < minAttempts || changes.Load() < minChanges {
				attempts.Add(1)
				// The number of an attempt is not known here, so the attempts that were not sent are counted.
				sent, err := env.attempt(pool, 60*time.Millisecond)
				if err != nil {
					failed.Add(1)
				}
				if !sent {
					count, _ := unsent.LoadOrStore("n", new(atomic.Int64))
					count.(*atomic.Int64).Add(1)
				}
			}
		}()
	}
	senders.Wait()
	close(stop)
	<-done
	for i := range 3 {
		backend.Endpoint(i).SetMode(fakes.EndpointServes, 0, 0)
	}
	time.Sleep(200 * time.Millisecond) // what a fault has delayed arrives late, or never
	byAttempt, byAddress := env.received()
	for key, n := range byAttempt {
		if n > 1 {
			t.Fatalf("%s was received %d times", key, n)
		}
	}
	notSent := int64(0)
	if v, ok := unsent.Load("n"); ok {
		notSent = v.(*atomic.Int64).Load()
	}
	total := attempts.Load()
	if int64(len(byAttempt)) > total-notSent {
		t.Errorf("%d attempts were received, though %d of %d were reported as not sent", len(byAttempt), notSent, total)
	}
	if failed.Load() == 0 || int64(len(byAttempt)) < total/20 {
		t.Errorf("%d attempts failed and %d were received: too few for a test of faults", failed.Load(), len(byAttempt))
	}
	t.Logf("%d attempts received, %d failed; by address: %v", len(byAttempt), failed.Load(), byAddress)
}

func TestListenReplacesStaleSocketsOnly(t *testing.T) {
	dir, err := os.MkdirTemp("", "r")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "s")
	spec, err := connpool.ParseListen("unix:" + path)
	if err != nil {
		t.Fatal(err)
	}
	first, err := connpool.Listen(spec)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := connpool.Listen(spec); err == nil || !strings.Contains(err.Error(), "another process listens") {
		t.Errorf("a live socket: %v", err)
	}
	first.(*net.UnixListener).SetUnlinkOnClose(false)
	first.Close()
	second, err := connpool.Listen(spec)
	if err != nil {
		t.Fatalf("a stale socket: %v", err)
	}
	second.Close()
	if err := os.WriteFile(path, []byte("precious"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := connpool.Listen(spec); err == nil || !strings.Contains(err.Error(), "not a socket") {
		t.Errorf("a file: %v", err)
	}
	if raw, _ := os.ReadFile(path); string(raw) != "precious" {
		t.Error("the file was changed")
	}
}

func TestAllowListMatchesRangesAndSocketDirectories(t *testing.T) {
	allowed, err := connpool.NewAllowList([]string{
		"10.0.0.0/8", "fd00::/8", "192.168.1.5", "172.16.0.1-172.16.0.9", "unix:/run/backends/",
	})
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]bool{
		"tcp4 10.2.3.4:1": true, "tcp4 11.2.3.4:1": false, "tcp6 [fd00::7]:1": true, "tcp6 [2001::7]:1": false,
		"tcp4 192.168.1.5:1": true, "tcp4 192.168.1.6:1": false,
		"tcp4 172.16.0.9:1": true, "tcp4 172.16.0.10:1": false, "tcp6 [::ffff:10.0.0.1]:1": true,
		"unix /run/backends/a": true, "unix /run/a": false, "unix /run/backends/../a": false,
	} {
		network, address, _ := strings.Cut(text, " ")
		if got := allowed.Contains(addresses.Spec{Network: network, Addr: address}); got != want {
			t.Errorf("%s: allowed is %v", text, got)
		}
	}
	for _, bad := range []string{"10.0.0.0/99", "backend-7", "unix:run"} {
		if _, err := connpool.NewAllowList([]string{bad}); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
}
