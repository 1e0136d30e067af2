package platform

import (
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloetrestle/internal/testbackends"
	"sloetrestle/scheduler"
)

func TestShutdownTimesFollowFromTheDeadlines(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for name, test := range map[string]struct {
		deadlinesUs []any
		want        shutdownTimes
	}{
		"long deadlines count as 3 s":    {[]any{4e6, 8e6}, shutdownTimes{ms(450), ms(2400), ms(3200), ms(3700)}},
		"3 s":                            {[]any{3e6}, shutdownTimes{ms(450), ms(2400), ms(3200), ms(3700)}},
		"the longest counts":             {[]any{5e5, 1.2e6}, shutdownTimes{ms(450), ms(600), ms(1400), ms(1900)}},
		"1 s":                            {[]any{1e6}, shutdownTimes{ms(450), ms(450), ms(1200), ms(1700)}},
		"10 ms":                          {[]any{1e4}, shutdownTimes{ms(355), ms(355), ms(355), ms(710)}},
		"none stated":                    {[]any{nil}, shutdownTimes{ms(450), ms(2400), ms(3200), ms(3700)}},
		"one of two stated: counted 3 s": {[]any{1e6, nil}, shutdownTimes{ms(450), ms(2400), ms(3200), ms(3700)}},
	} {
		var classes []any
		for _, deadline := range test.deadlinesUs {
			classes = append(classes, map[string]any{"name": "a", "giveUpUs": deadline})
		}
		got := shutdownTimesFor(scheduler.FlattenSettings(map[string]any{"requestClasses": classes}))
		if got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
		if !(got.closeListener <= got.cutStreams && got.cutStreams <= got.answer && got.answer < got.kill) {
			t.Errorf("%s: out of order: %+v", name, got)
		}
	}
}

// setDeadlines sets the deadline of all classes, in microseconds.
func setDeadlines(config *Config, us float64) {
	for _, class := range config.Settings["requestClasses"].([]any) {
		class.(map[string]any)["giveUpUs"] = us
	}
}

// With short deadlines SIGKILL comes soon after SIGTERM. Requests without a first event are answered before it, and
// streams are cut.
func TestShutdownEndsBeforeTheKillForShortDeadlines(t *testing.T) {
	cluster := startCluster(t, func(_ *testCluster, config *Config) { setDeadlines(config, 1e6) })
	cluster.onDecode(func(exchange *testbackends.Exchange) bool {
		if exchange.Method != "POST" || exchange.ID == "q1" {
			<-exchange.ClientClosed // its response never starts
			return false
		}
		exchange.WriteRaw(testbackends.StreamHead)
		for exchange.WriteRaw(testbackends.EncodeChunk(testbackends.TextEvent("a"))) {
			select {
			case <-exchange.ClientClosed:
				return false
			case <-time.After(20 * time.Millisecond):
			}
		}
		return false
	})
	unstarted, streaming := cluster.dial(), cluster.dial()
	io.WriteString(unstarted, cluster.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: 60000"))
	io.WriteString(streaming, cluster.request("trail-info"))
	cluster.await("both attempts are in flight", func() bool {
		return len(cluster.site.Requests("w1", "POST"))+len(cluster.site.Requests("w2", "POST")) == 2
	})
	const kill = 1700 * time.Millisecond
	began := time.Now()
	cluster.quit()
	if got := streaming.readResponse(); got.status != 200 || got.complete {
		t.Errorf("endless stream: %+v", got.status)
	}
	if got := unstarted.readResponse(); got.status != 503 {
		t.Errorf("request whose response never starts: %+v", got)
	}
	if took := time.Since(began); took > kill {
		t.Errorf("the last answer came %v after SIGTERM, SIGKILL comes after %v", took, kill)
	}
}

// A request whose first half was read before the shutdown is served: its connection is not idle, and what was read
// must not be dropped.
func TestHalfReadRequestIsServedDuringShutdown(t *testing.T) {
	for _, kind := range []string{"new connection", "reused connection"} {
		t.Run(kind, func(t *testing.T) {
			cluster := startCluster(t, nil)
			client := cluster.dial()
			if kind != "new connection" {
				io.WriteString(client, cluster.request("trail-info"))
				if got := client.readResponse(); got.status != 200 {
					t.Fatalf("%+v", got)
				}
			}
			raw := cluster.request("hut-booking")
			io.WriteString(client, raw[:40])
			time.Sleep(20 * time.Millisecond) // for the dispatcher to read it
			cluster.quit()
			cluster.await("the listener is closed", func() bool {
				_, err := dialAndClose(cluster.address)
				return errors.Is(err, syscall.ECONNREFUSED)
			})
			time.Sleep(2 * shutdownPollInterval)
			io.WriteString(client, raw[40:])
			if got := client.readResponse(); got.status != 200 || !got.complete || !got.closes {
				t.Errorf("%+v", got)
			}
		})
	}
}

// An idle connection is closed at once, so that its client connects elsewhere. A request that it sends at that moment
// is not admitted.
func TestRequestThatCrossesAShutdownIsNotAdmitted(t *testing.T) {
	cluster := startCluster(t, nil)
	client := cluster.dial()
	io.WriteString(client, cluster.request("trail-info"))
	if got := client.readResponse(); got.status != 200 || got.closes {
		t.Fatalf("%+v", got)
	}
	before := len(cluster.site.Requests("r1", "POST"))
	cluster.await("its connection is idle", func() bool {
		idle := 0
		cluster.node.limiter.mu.Lock()
		for conn := range cluster.node.limiter.conns {
			if state, _ := conn.status(time.Now()); state == connIdle {
				idle++
			}
		}
		cluster.node.limiter.mu.Unlock()
		return idle == 1
	})
	cluster.node.limiter.drain()
	io.WriteString(client, cluster.request("hut-booking"))
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("the client sees %v", err)
	}
	cluster.quit()
	cluster.await("no connection is open", func() bool { return cluster.node.limiter.count() == 0 })
	if n := len(cluster.site.Requests("r1", "POST")); n != before {
		t.Error("the request was admitted")
	}
}

// A response that began before the shutdown, without announcing a close, still ends its connection.
func TestResponseBegunBeforeAShutdownEndsItsConnection(t *testing.T) {
	cluster := startCluster(t, nil)
	received, finish := make(chan bool), make(chan bool)
	cluster.onDecode(func(e *testbackends.Exchange) bool {
		e.WriteRaw(testbackends.StreamHead + testbackends.EncodeChunk(testbackends.TextEvent("a")))
		received <- true
		<-finish
		return e.WriteRaw(testbackends.EncodeChunk(testbackends.UsageEvent+testbackends.DoneEvent) + testbackends.LastChunk)
	})
	client := cluster.dial()
	io.WriteString(client, cluster.request("trail-info"))
	<-received
	cluster.quit()
	cluster.await("the shutdown has begun", func() bool { return cluster.node.frontend.stopping.Load() })
	finish <- true
	if got := client.readResponse(); got.status != 200 || !got.complete {
		t.Errorf("%+v", got)
	}
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("then the client sees %v", err)
	}
}

// A stream is not cut once its last token has been passed on: its end is near, and its client has nothing left to
// continue.
func TestStreamIsNotCutAfterItsLastToken(t *testing.T) {
	cluster := startCluster(t, nil)
	sent, finish := make(chan bool), make(chan bool)
	final := strings.Replace(testbackends.TextEvent("z"), "null", `"stop"`, 1)
	cluster.onDecode(func(e *testbackends.Exchange) bool {
		e.WriteRaw(testbackends.StreamHead + testbackends.EncodeChunk(testbackends.TextEvent("a")) +
			testbackends.EncodeChunk(final))
		sent <- true
		<-finish
		return e.WriteRaw(testbackends.EncodeChunk(testbackends.UsageEvent+testbackends.DoneEvent) + testbackends.LastChunk)
	})
	client := cluster.dial()
	io.WriteString(client, cluster.request("trail-info"))
	<-sent
	first := make([]byte, 1)
	if _, err := client.reader.Peek(1); err != nil {
		t.Fatal(err, first)
	}
	time.Sleep(20 * time.Millisecond) // for the last token to be passed on
	close(cluster.node.frontend.moveStreams)
	time.Sleep(moveGrace + 50*time.Millisecond)
	finish <- true
	if got := client.readResponse(); !got.complete || !strings.Contains(got.body, "[DONE]") {
		t.Errorf("%+v", got)
	}
	cluster.awaitIdle()
	cluster.node.frontend.moveStreams = make(chan struct{}) // which the shutdown closes again
}

// The KV cache that the attempt of a departed client may have left at its backend is released before the dispatcher
// ends.
func TestShutdownReleasesKVCachesOfAbandonedAttempts(t *testing.T) {
	cluster := startCluster(t, func(_ *testCluster, config *Config) {
		config.Settings["policyLimits"].(map[string]any)["cancelling"] = false
	})
	received := cluster.holdPrefills()
	client := cluster.dial()
	io.WriteString(client, cluster.request("trail-info"))
	<-received
	client.Close()
	cluster.await("the dispatcher notices that the client left", func() bool {
		return cluster.node.frontend.openRequests.Load() == 0
	})
	cluster.quit()
	select {
	case err := <-cluster.exited:
		cluster.exited <- err
	case <-time.After(5 * time.Second):
		t.Fatal("the dispatcher does not end")
	}
	if n := cluster.site.HeldCount(); n != 0 {
		t.Errorf("%d KV caches are held after the end", n)
	}
}

// If a running stream keeps the process up until SIGKILL, the KV caches of abandoned attempts are released before that.
func TestKVCachesOfAbandonedAttemptsAreReleasedBeforeTheKill(t *testing.T) {
	cluster := startCluster(t, func(_ *testCluster, config *Config) {
		setDeadlines(config, 1e6)
		config.Settings["policyLimits"].(map[string]any)["cancelling"] = false
		config.Settings["familyInfo"].(map[string]any)["resume"] = false
	})
	finish := make(chan struct{})
	cluster.onDecode(func(exchange *testbackends.Exchange) bool {
		if exchange.Method != "POST" {
			return exchange.Serve()
		}
		exchange.WriteRaw(testbackends.StreamHead)
		for {
			select {
			case <-finish:
				return exchange.WriteRaw(testbackends.EncodeChunk(testbackends.UsageEvent+testbackends.DoneEvent) +
					testbackends.LastChunk)
			case <-time.After(20 * time.Millisecond):
				exchange.WriteRaw(testbackends.EncodeChunk(testbackends.TextEvent("a")))
			}
		}
	})
	streaming := cluster.dial()
	io.WriteString(streaming, cluster.request("trail-info"))
	cluster.await("the stream has begun", func() bool {
		return len(cluster.site.Requests("w1", "POST"))+len(cluster.site.Requests("w2", "POST")) == 1
	})
	received := cluster.holdPrefills()
	client := cluster.dial()
	io.WriteString(client, cluster.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: 60000"))
	<-received
	client.Close()
	cluster.await("the dispatcher notices that the client left", func() bool {
		return cluster.node.frontend.openRequests.Load() == 1
	})
	began := time.Now()
	cluster.quit()
	cluster.await("the KV cache is released", func() bool { return cluster.site.HeldCount() == 0 })
	if took := time.Since(began); took > 1700*time.Millisecond {
		t.Errorf("released %v after SIGTERM, SIGKILL may come after 1.7 s", took)
	}
	close(finish)
	if got := streaming.readResponse(); !got.complete {
		t.Errorf("%+v", got.status)
	}
}
