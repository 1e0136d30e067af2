package platform

import (
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/hosts"
)

func TestTheTimesOfAShutdownFollowFromTheDeadlines(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for name, c := range map[string]struct {
		deadlinesUs []any
		want        stopTimes
	}{
		"long deadlines count as 3 s":  {[]any{4e6, 8e6}, stopTimes{ms(450), ms(2400), ms(3200), ms(3700)}},
		"3 s":                          {[]any{3e6}, stopTimes{ms(450), ms(2400), ms(3200), ms(3700)}},
		"the longest counts":           {[]any{5e5, 1.2e6}, stopTimes{ms(450), ms(600), ms(1400), ms(1900)}},
		"a second":                     {[]any{1e6}, stopTimes{ms(450), ms(450), ms(1200), ms(1700)}},
		"next to none":                 {[]any{1e4}, stopTimes{ms(355), ms(355), ms(355), ms(710)}},
		"none stated":                  {[]any{nil}, stopTimes{ms(450), ms(2400), ms(3200), ms(3700)}},
		"one stated, one not, so long": {[]any{1e6, nil}, stopTimes{ms(450), ms(2400), ms(3200), ms(3700)}},
	} {
		var classes []any
		for _, d := range c.deadlinesUs {
			classes = append(classes, map[string]any{"name": "a", "giveUpUs": d})
		}
		got := stopTimesOf(brain.FlattenSettings(map[string]any{"requestClasses": classes}))
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
		if !(got.accept <= got.move && got.move <= got.answer && got.answer < got.kill) {
			t.Errorf("%s: out of order: %+v", name, got)
		}
	}
}

// shortDeadlines has all classes wait for so long.
func shortDeadlines(p *Config, us float64) {
	for _, class := range p.Settings["requestClasses"].([]any) {
		class.(map[string]any)["giveUpUs"] = us
	}
}

// With short deadlines SIGKILL comes soon after SIGTERM: what has not begun is answered before, and streams are left to others.
func TestAStopIsOverBeforeTheKillOfShortDeadlines(t *testing.T) {
	h := startCluster(t, func(h *testCluster, p *Config) { shortDeadlines(p, 1e6) })
	h.onDecode(func(e *hosts.Exchange) bool {
		if e.Method != "POST" || e.ID == "q1" {
			<-e.ClientClosed // it never begins
			return false
		}
		e.WriteRaw(hosts.StreamHead)
		for e.WriteRaw(hosts.EncodeChunk(hosts.TextEvent("a"))) {
			select {
			case <-e.ClientClosed:
				return false
			case <-time.After(20 * time.Millisecond):
			}
		}
		return false
	})
	never, long := h.dial(), h.dial()
	io.WriteString(never, h.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: 60000"))
	io.WriteString(long, h.request("trail-info"))
	h.await("both are out", func() bool { return len(h.site.Requests("w1", "POST"))+len(h.site.Requests("w2", "POST")) == 2 })
	const kill = 1700 * time.Millisecond
	began := time.Now()
	h.quit()
	if got := long.readResponse(); got.status != 200 || got.complete {
		t.Errorf("a long stream: %+v", got.status)
	}
	if got := never.readResponse(); got.status != 503 {
		t.Errorf("one that never began: %+v", got)
	}
	if took := time.Since(began); took > kill {
		t.Errorf("the last answer came %v after SIGTERM, SIGKILL comes after %v", took, kill)
	}
}

// A request whose first half was read before the stop is served: its connection is not idle, and what was read must not be dropped.
func TestARequestThatIsHalfReadAtAStopIsServed(t *testing.T) {
	for _, kind := range []string{"a new connection", "a connection that was used before"} {
		t.Run(kind, func(t *testing.T) {
			h := startCluster(t, nil)
			c := h.dial()
			if kind != "a new connection" {
				io.WriteString(c, h.request("trail-info"))
				if got := c.readResponse(); got.status != 200 {
					t.Fatalf("%+v", got)
				}
			}
			raw := h.request("hut-booking")
			io.WriteString(c, raw[:40])
			time.Sleep(20 * time.Millisecond) // for the dispatcher to read it
			h.quit()
			h.await("the listener is closed", func() bool {
				_, err := hostsDial(h.address)
				return errors.Is(err, syscall.ECONNREFUSED)
			})
			time.Sleep(2 * stopStep)
			io.WriteString(c, raw[40:])
			if got := c.readResponse(); got.status != 200 || !got.complete || !got.closes {
				t.Errorf("%+v", got)
			}
		})
	}
}

// A connection at rest is closed at once, so that its client goes elsewhere; what it sends in that moment is not taken.
func TestARequestThatCrossesAStopIsNotTaken(t *testing.T) {
	h := startCluster(t, nil)
	c := h.dial()
	io.WriteString(c, h.request("trail-info"))
	if got := c.readResponse(); got.status != 200 || got.closes {
		t.Fatalf("%+v", got)
	}
	before := len(h.site.Requests("r1", "POST"))
	h.await("its connection is idle", func() bool {
		idle := 0
		h.node.limiter.mu.Lock()
		for conn := range h.node.limiter.conns {
			if state, _ := conn.status(time.Now()); state == connIdle {
				idle++
			}
		}
		h.node.limiter.mu.Unlock()
		return idle == 1
	})
	h.node.limiter.drain()
	io.WriteString(c, h.request("hut-booking"))
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("the client sees %v", err)
	}
	h.quit()
	h.await("it has ended", func() bool { return h.node.limiter.count() == 0 })
	if n := len(h.site.Requests("r1", "POST")); n != before {
		t.Error("the request was taken all the same")
	}
}

// An answer that began before the stop and says that its connection stays open ends with its connection all the same.
func TestAnAnswerThatBeganBeforeAStopEndsItsConnection(t *testing.T) {
	h := startCluster(t, nil)
	there, finish := make(chan bool), make(chan bool)
	h.onDecode(func(e *hosts.Exchange) bool {
		e.WriteRaw(hosts.StreamHead + hosts.EncodeChunk(hosts.TextEvent("a")))
		there <- true
		<-finish
		return e.WriteRaw(hosts.EncodeChunk(hosts.UsageEvent+hosts.DoneEvent) + hosts.LastChunk)
	})
	c := h.dial()
	io.WriteString(c, h.request("trail-info"))
	<-there
	h.quit()
	h.await("it stops", func() bool { return h.node.frontend.stopping.Load() })
	finish <- true
	if got := c.readResponse(); got.status != 200 || !got.complete {
		t.Errorf("%+v", got)
	}
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("then the client sees %v", err)
	}
}

// A stream is not cut once its last token has been passed on: its end is near, and its client has nothing to come back for.
func TestAStreamAtItsEndIsNotCut(t *testing.T) {
	h := startCluster(t, nil)
	passed, finish := make(chan bool), make(chan bool)
	final := strings.Replace(hosts.TextEvent("z"), "null", `"stop"`, 1)
	h.onDecode(func(e *hosts.Exchange) bool {
		e.WriteRaw(hosts.StreamHead + hosts.EncodeChunk(hosts.TextEvent("a")) + hosts.EncodeChunk(final))
		passed <- true
		<-finish
		return e.WriteRaw(hosts.EncodeChunk(hosts.UsageEvent+hosts.DoneEvent) + hosts.LastChunk)
	})
	c := h.dial()
	io.WriteString(c, h.request("trail-info"))
	<-passed
	first := make([]byte, 1)
	if _, err := c.reader.Peek(1); err != nil {
		t.Fatal(err, first)
	}
	time.Sleep(20 * time.Millisecond) // for the last token to be passed on
	close(h.node.frontend.moveStreams)
	time.Sleep(moveGrace + 50*time.Millisecond)
	finish <- true
	if got := c.readResponse(); !got.complete || !strings.Contains(got.text, "[DONE]") {
		t.Errorf("%+v", got)
	}
	h.awaitIdle()
	h.node.frontend.moveStreams = make(chan struct{}) // for the stop
}

// What an attempt of a client that has gone may have left at its backend is released before the dispatcher ends.
func TestAStopReleasesWhatAbandonedAttemptsHold(t *testing.T) {
	h := startCluster(t, func(h *testCluster, p *Config) { p.Settings["policyLimits"].(map[string]any)["cancelling"] = false })
	there := h.holdPrefills()
	c := h.dial()
	io.WriteString(c, h.request("trail-info"))
	<-there
	c.Close()
	h.await("it is seen to go", func() bool { return h.node.frontend.openRequests.Load() == 0 })
	h.quit()
	select {
	case err := <-h.ended:
		h.ended <- err
	case <-time.After(5 * time.Second):
		t.Fatal("it does not end")
	}
	if n := h.site.HeldCount(); n != 0 {
		t.Errorf("%d states are held after the end", n)
	}
}

// The same where a stream that goes on keeps the process up until SIGKILL: what nobody waits for is released before that.
func TestWhatAbandonedAttemptsHoldIsReleasedBeforeTheKill(t *testing.T) {
	h := startCluster(t, func(h *testCluster, p *Config) {
		shortDeadlines(p, 1e6)
		p.Settings["policyLimits"].(map[string]any)["cancelling"] = false
		p.Settings["familyInfo"].(map[string]any)["resume"] = false
	})
	ends := make(chan struct{})
	h.onDecode(func(e *hosts.Exchange) bool {
		if e.Method != "POST" {
			return e.Serve()
		}
		e.WriteRaw(hosts.StreamHead)
		for {
			select {
			case <-ends:
				return e.WriteRaw(hosts.EncodeChunk(hosts.UsageEvent+hosts.DoneEvent) + hosts.LastChunk)
			case <-time.After(20 * time.Millisecond):
				e.WriteRaw(hosts.EncodeChunk(hosts.TextEvent("a")))
			}
		}
	})
	long := h.dial()
	io.WriteString(long, h.request("trail-info"))
	h.await("the stream has begun", func() bool { return len(h.site.Requests("w1", "POST"))+len(h.site.Requests("w2", "POST")) == 1 })
	there := h.holdPrefills()
	c := h.dial()
	io.WriteString(c, h.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: 60000"))
	<-there
	c.Close()
	h.await("it is seen to go", func() bool { return h.node.frontend.openRequests.Load() == 1 })
	began := time.Now()
	h.quit()
	h.await("the state is released", func() bool { return h.site.HeldCount() == 0 })
	if took := time.Since(began); took > 1700*time.Millisecond {
		t.Errorf("it is released %v after SIGTERM, SIGKILL may come after 1.7 s", took)
	}
	close(ends)
	if got := long.readResponse(); !got.complete {
		t.Errorf("%+v", got.status)
	}
}

// A new process does not take clients by an old list while discovery may still say more; where discovery says nothing, the old list
// serves.
func TestAnOldListWaitsForDiscoverys(t *testing.T) {
	t.Run("discovery answers", func(t *testing.T) {
		h := startCluster(t, func(h *testCluster, p *Config) {
			p.Known = h.site.DiscoveryList()
			h.site.UpdateDiscovery(func() { h.decoders[0].State = "terminating" })
		})
		if h.backendState("w1") != brain.Draining {
			t.Error("it is ready before it has discovery's list")
		}
	})
	t.Run("discovery is down", func(t *testing.T) {
		began := time.Now()
		h := startCluster(t, func(h *testCluster, p *Config) {
			p.Known = h.site.DiscoveryList()
			h.agent.SetSilent(true)
		})
		if took := time.Since(began); took < firstListWait || took > 2*firstListWait {
			t.Errorf("it is ready after %v", took)
		}
		if got := h.send(h.request("hut-booking")); got.status != 200 {
			t.Errorf("%+v", got)
		}
		h.awaitIdle()
	})
}
