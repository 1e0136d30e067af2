package platform

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"sloetrestle/scheduler"
)

// platformStartLimit is within how much time of its start the platform wants a dispatcher to be ready.
const platformStartLimit = 6 * time.Second

// A new process is not ready before it has the endpoints of discovery, where discovery answers.
func TestReadinessWaitsForTheEndpointsOfDiscovery(t *testing.T) {
	cluster := startCluster(t, func(cluster *testCluster, config *Config) {
		config.LastKnown = cluster.site.DiscoveryList()
		cluster.site.UpdateDiscovery(func() { cluster.decoders[0].State = "terminating" })
	})
	if cluster.backendState("w1") != scheduler.Draining {
		t.Error("the dispatcher is ready before it has the endpoints of discovery")
	}
}

// Guards against attempts at draining backends by a process that starts while discovery is down: it used the list of an
// earlier process, although discovery may have had changes since.
func TestLastKnownEndpointsGetNothingBeforeDiscoveryAnswers(t *testing.T) {
	earliest := make(chan response, 1) // to a request that is sent as soon as the process listens
	began := time.Now()
	cluster := startCluster(t, func(cluster *testCluster, config *Config) {
		config.LastKnown = cluster.site.DiscoveryList()
		cluster.site.UpdateDiscovery(func() { cluster.decoders[0].State = "terminating" })
		cluster.agent.SetSilent(true)
		config.Listen = freeAddress(t)
		raw := cluster.request("trail-info")
		go func() { earliest <- sendOnceListening(config.Listen, raw) }()
	})
	if took := time.Since(began); took > platformStartLimit {
		t.Errorf("the dispatcher is ready after %v", took)
	}
	if got := <-earliest; got.status != 503 || got.retryAfter == "" {
		t.Errorf("a request right after the start: %+v", got)
	}
	for _, class := range []string{"trail-info", "hut-booking"} {
		got := cluster.send(cluster.request(class))
		if got.status != 503 || got.retryAfter == "" || !strings.Contains(got.body, string(rejectedUnlisted)) {
			t.Errorf("%s, while discovery is down: %+v", class, got)
		}
	}
	if requests := cluster.site.Requests("", "POST"); len(requests) != 0 {
		t.Errorf("backends got %d requests while discovery was down", len(requests))
	}
	cluster.agent.SetSilent(false)
	cluster.await("discovery has answered", func() bool { return cluster.backendState("w1") == scheduler.Draining })
	for range 4 {
		if got := cluster.send(cluster.request("hut-booking")); got.status != 200 {
			t.Errorf("once discovery has answered: %+v", got)
		}
	}
	if n := len(cluster.site.Requests("w1", "POST")); n != 0 {
		t.Errorf("the draining backend got %d requests", n)
	}
	cluster.awaitIdle()
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// sendOnceListening sends a request as soon as the address accepts connections, and returns the response.
func sendOnceListening(address, raw string) response {
	for end := time.Now().Add(platformStartLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		defer conn.Close()
		conn.SetDeadline(end)
		io.WriteString(conn, raw)
		return (&testClient{conn, bufio.NewReader(conn)}).readResponse()
	}
	return response{}
}
