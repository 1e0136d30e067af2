package platform

import (
	"io"
	"testing"
	"time"

	"sloetrestle/internal/testbackends"
)

// Guards against requests that are sent on for a client that has closed its connection with further requests and an answer
// unread.
func TestPipelinedRequestsOfAClientThatLeftAreNotSent(t *testing.T) {
	cluster := startCluster(t, nil)
	prefills := cluster.holdPrefills()
	client := cluster.dial()
	first, pipelined := cluster.request("trail-info"), cluster.request("trail-info")
	io.WriteString(client, first+pipelined+cluster.request("hut-booking"))
	exchange := <-prefills
	client.Close()
	select {
	case <-exchange.ClientClosed:
	case <-time.After(100 * time.Millisecond):
		t.Error("the attempt goes on after its client has closed")
	}
	cluster.awaitIdle()
	time.Sleep(200 * time.Millisecond)
	if attempts := cluster.site.Requests("", "POST"); len(attempts) != 1 {
		t.Errorf("%d attempts, want 1", len(attempts))
	}
	cluster.prefill.Handler = nil
	if got := cluster.send(pipelined); got.status != 200 {
		t.Errorf("what was not begun, sent again: %+v", got)
	}
}

// The same for a client that leaves in the moment in which its open request is answered.
func TestClientThatLeavesAtItsAnswerIsNotServedFurther(t *testing.T) {
	cluster := startCluster(t, nil)
	hold := make(chan struct{})
	cluster.prefill.Handler = func(e *testbackends.Exchange) bool {
		if e.ID == "q1" {
			<-hold
		}
		return e.Serve()
	}
	client := cluster.dial()
	io.WriteString(client, cluster.request("trail-info")+cluster.request("trail-info")+cluster.request("trail-info"))
	cluster.await("the attempt is in flight", func() bool { return len(cluster.site.Requests("r1", "POST")) == 1 })
	close(hold)
	client.readResponse()
	client.Close()
	closed := time.Now()
	cluster.awaitIdle()
	for _, attempt := range cluster.site.Requests("", "POST") {
		if late := attempt.Received.Sub(closed); late > 100*time.Millisecond {
			t.Errorf("attempt of %s %v after its client closed", attempt.ID, late)
		}
	}
}

// Guards against an id that runs twice: it comes again after its client has left.
func TestIDOfAClientThatLeftIsNotRunAgain(t *testing.T) {
	for _, class := range []string{"trail-info", "hut-booking"} {
		t.Run(class, func(t *testing.T) {
			cluster := startCluster(t, nil)
			prefills := cluster.holdPrefills()
			raw := cluster.request(class)
			client := cluster.dial()
			io.WriteString(client, raw)
			<-prefills
			client.Close()
			for range 3 {
				if got := cluster.send(raw); got.status != 409 {
					t.Errorf("the same id again: %+v", got)
				}
			}
			cluster.awaitIdle()
			if got := cluster.send(raw); got.status != 409 {
				t.Errorf("the same id once nothing is open: %+v", got)
			}
			if attempts := cluster.site.Requests("", "POST"); len(attempts) != 1 {
				t.Errorf("%d attempts, want 1", len(attempts))
			}
		})
	}
}
