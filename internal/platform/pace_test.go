package platform

import (
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against one client that takes the processor from the others: small requests that it sends at full speed over one
// connection are answered at a bounded rate.
func TestRequestsOfOneConnectionArePaced(t *testing.T) {
	const length, mostPerSecond, atOnce = time.Second, 1000, 10
	cluster := startCluster(t, nil)
	client := cluster.dial()
	answers := 0
	for end := time.Now().Add(length); time.Now().Before(end); answers += atOnce {
		io.WriteString(client, strings.Repeat("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", atOnce))
		for range atOnce {
			if got := client.readResponse(); got.status != 200 {
				t.Fatalf("after %d answers: %+v", answers, got)
			}
		}
	}
	if answers > mostPerSecond {
		t.Errorf("%d requests of one connection were answered in %v, %d may be", answers, length, mostPerSecond)
	}
	if cluster.node.limiter.Paced.Load() == 0 {
		t.Error("no request was paced")
	}
}
