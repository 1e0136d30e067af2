package platform

import (
	"testing"
	"time"

	"sloetrestle/internal/hosts"
)

// A request has its answer in time even where the event loop has none, as it is far behind; and nothing is sent for it afterwards.
func TestARequestIsAnsweredInTimeWhereTheLoopIsBehind(t *testing.T) {
	h := startCluster(t, nil)
	h.onDecode((*hosts.Exchange).Serve)
	const held, left, most = 2 * time.Second, 400 * time.Millisecond, 900 * time.Millisecond
	h.node.loop.Post(func() { time.Sleep(held) })
	began := time.Now()
	if got := h.send(h.request("hut-booking", "X-Timeout-Ms: 3000", "X-Timeout-Ms: 400")); got.status != 502 {
		t.Errorf("%+v", got)
	}
	if took := time.Since(began); took < left || took > most {
		t.Errorf("the answer came after %v", took)
	}
	time.Sleep(time.Until(began.Add(held + 200*time.Millisecond)))
	if seen := h.site.Requests("", "POST"); len(seen) != 0 {
		t.Errorf("%d attempts were made", len(seen))
	}
	if late := h.node.frontend.LateAnswers.Load(); late != 1 {
		t.Errorf("%d requests are counted as late", late)
	}
}

// While the event loop is behind, nothing new is taken; once it has caught up, it is.
func TestNothingIsTakenWhileTheLoopIsBehind(t *testing.T) {
	h := startCluster(t, nil)
	h.onDecode((*hosts.Exchange).Serve)
	done := make(chan struct{})
	h.node.loop.Post(func() { <-done })
	h.node.loop.Post(func() {})
	time.Sleep(maxLoopLag + 50*time.Millisecond)
	if got := h.send(h.request("hut-booking")); got.status != 503 {
		t.Errorf("%+v", got)
	}
	close(done)
	if got := h.send(h.request("hut-booking")); got.status != 200 {
		t.Errorf("%+v", got)
	}
}
