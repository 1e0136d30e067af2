package platform

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"sloetrestle/internal/memory"
	"sloetrestle/internal/testbackends"
)

// lateDecodes sends so many late requests to a cluster and, when all of them have reached decode backends, takes all
// memory. The backends answer with respond once the returned function is called.
func lateDecodes(
	t *testing.T, requests int, respond func(e *testbackends.Exchange) bool,
) (cluster *testCluster, clients []*testClient, proceed func()) {
	cluster = startLateClusterWith(t, maxDeadlineBeforeKill, false)
	received, proceeding := make(chan struct{}, requests), make(chan struct{})
	proceed = sync.OnceFunc(func() { close(proceeding) })
	t.Cleanup(proceed)
	cluster.onDecode(func(e *testbackends.Exchange) bool {
		if e.Method != "POST" {
			return e.Serve()
		}
		received <- struct{}{}
		<-proceeding
		return respond(e)
	})
	var raw []string
	for range requests {
		raw = append(raw, cluster.request("trail-info"))
	}
	clients, _ = cluster.sendLate(raw...)
	for range requests {
		select {
		case <-received:
		case <-time.After(maxDeadlineBeforeKill):
			t.Fatal("not all requests have reached decode backends")
		}
	}
	others := cluster.node.memory.NewHolder(nil)
	others.Take(memory.Answers, ampleClientBytes)
	t.Cleanup(others.Close)
	return cluster, clients, proceed
}

// Guards against answers that are sent as whole, to their last chunk, with events missing: for lack of memory the
// handler dropped what came after the event loop had taken the request for served.
func TestServedAnswerHasAllItsEventsAlthoughMemoryIsShort(t *testing.T) {
	events := []string{
		testbackends.TextEvent("a"), testbackends.TextEvent("b"), testbackends.UsageEvent + testbackends.DoneEvent,
	}
	raw := testbackends.StreamHead
	for _, event := range events {
		raw += testbackends.EncodeChunk(event)
	}
	cluster, clients, proceed := lateDecodes(t, 8, func(e *testbackends.Exchange) bool {
		return e.WriteRaw(raw + testbackends.LastChunk)
	})
	// The attempts end while the loop is held, so that their ends come before any request to give them up.
	resumeLoop := make(chan struct{})
	cluster.node.loop.Post(func() { <-resumeLoop })
	proceed()
	cluster.await("all attempts have ended", func() bool { return len(cluster.node.transport.attemptSlots) == 0 })
	close(resumeLoop)
	for i, client := range clients {
		got := client.readResponse()
		if got.status != 200 || !got.complete || got.body != strings.Join(events, "") {
			t.Errorf("request %d: status %d, complete: %v, body %q", i, got.status, got.complete, got.body)
		}
	}
}

// Guards against a buffered answer that is waited for although there is no memory for it.
func TestUnfinishedAnswerIsRejectedWhenMemoryIsShort(t *testing.T) {
	_, clients, proceed := lateDecodes(t, 1, streamFor(0, 2*maxDeadlineBeforeKill))
	began := time.Now()
	proceed()
	got := clients[0].readResponse()
	if got.status != 503 || !got.complete || !strings.Contains(got.body, string(rejectedBodyBytes)) {
		t.Errorf("%+v", got)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("rejected after %v", took)
	}
	if n, err := clients[0].reader.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read %d bytes behind the answer, %v", n, err)
	}
}
