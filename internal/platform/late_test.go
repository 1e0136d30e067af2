package platform

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"sloetrestle/internal/testbackends"
)

const (
	testDeadline = time.Second                      // of all classes
	testKill     = testDeadline + killAfterDeadline // the earliest SIGKILL
	testLate     = 750 * time.Millisecond           // after SIGTERM, when the last byte of a late request is sent
)

// startLateCluster starts a cluster whose streams no other dispatcher continues, unless resumed is set.
func startLateCluster(t *testing.T, resumed bool) *testCluster {
	return startLateClusterWith(t, testDeadline, resumed)
}

// startLateClusterWith is startLateCluster with the given deadline of all classes.
func startLateClusterWith(t *testing.T, deadline time.Duration, resumed bool) *testCluster {
	return startCluster(t, func(_ *testCluster, config *Config) {
		setDeadlines(config, float64(deadline.Microseconds()))
		config.Settings["familyInfo"].(map[string]any)["resume"] = resumed
	})
}

// sendLate sends the first halves of requests, begins the shutdown, and sends the rest late. It returns when the
// shutdown began.
func (c *testCluster) sendLate(raw ...string) (clients []*testClient, stopped time.Time) {
	c.t.Helper()
	for i := range raw {
		clients = append(clients, c.dial())
		io.WriteString(clients[i], raw[i][:len(raw[i])/2])
	}
	time.Sleep(20 * time.Millisecond) // for the dispatcher to read them
	stopped = time.Now()
	c.quit()
	time.Sleep(testLate)
	for i := range raw {
		io.WriteString(clients[i], raw[i][len(raw[i])/2:])
	}
	return clients, stopped
}

// streamFor returns a decode handler that sends its first event after some time and further ones for a while.
func streamFor(first, length time.Duration) func(e *testbackends.Exchange) bool {
	return func(e *testbackends.Exchange) bool {
		if e.Method != "POST" {
			return e.Serve()
		}
		head, interval := testbackends.StreamHead, first
		for end := time.Now().Add(first + length); ; interval = 20 * time.Millisecond {
			select {
			case <-e.ClientClosed:
				return false
			case <-time.After(interval):
			}
			if !e.WriteRaw(head + testbackends.EncodeChunk(testbackends.TextEvent("a"))) {
				return false
			}
			if head = ""; time.Now().After(end) {
				return e.WriteRaw(testbackends.EncodeChunk(testbackends.UsageEvent+testbackends.DoneEvent) +
					testbackends.LastChunk)
			}
		}
	}
}

const longStream = 2500 * time.Millisecond // beyond the earliest SIGKILL

// lateCase is a request that comes late in a shutdown and what must become of it.
type lateCase struct {
	name     string
	class    string
	decode   func(e *testbackends.Exchange) bool
	status   int
	attempts int // at decode backends
}

// Guards against streams that SIGKILL cuts: a request that came late in a shutdown was begun like any other, whatever
// was known of the end of its answer.
func TestLateRequestIsAnsweredWholeBeforeTheKill(t *testing.T) {
	long, short := streamFor(0, longStream), streamFor(0, 100*time.Millisecond)
	for name, test := range map[string]struct {
		known time.Duration // that earlier answers took; 0: there were none
		cases []lateCase
	}{
		"no answer is known": {0, []lateCase{
			{"long stream", "trail-info", long, 503, 1},
			{"late first event", "trail-info", streamFor(300*time.Millisecond, longStream), 503, 1},
			{"short answer", "trail-info", short, 200, 1},
			{"may run once", "hut-booking", long, 503, 0},
		}},
		"short answers are known": {50 * time.Millisecond, []lateCase{
			{"long stream", "trail-info", long, 503, 1},
			{"may run once, short", "hut-booking", short, 200, 1},
			{"may run once, long", "hut-booking", long, 502, 1},
		}},
		"long answers are known": {600 * time.Millisecond, []lateCase{
			{"short answer", "trail-info", short, 200, 1},
			{"may run once", "hut-booking", short, 503, 0},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := startLateCluster(t, false)
			for _, class := range []string{"trail-info", "hut-booking"} {
				cluster.onDecode(streamFor(0, test.known))
				if test.known == 0 {
					break
				}
				if got := cluster.send(cluster.request(class)); got.status != 200 {
					t.Fatalf("%+v", got)
				}
			}
			cluster.playLate(test.cases)
		})
	}
}

// playLate sends the requests of all cases late in a shutdown and checks what becomes of them.
func (c *testCluster) playLate(cases []lateCase) {
	decode := map[string]func(e *testbackends.Exchange) bool{}
	var raw, ids []string
	for _, test := range cases {
		raw = append(raw, c.request(test.class))
		ids = append(ids, fmt.Sprintf("q%d", c.lastID))
		decode[ids[len(ids)-1]] = test.decode
	}
	c.onDecode(func(e *testbackends.Exchange) bool {
		if e.Method != "POST" {
			return e.Serve()
		}
		return decode[e.ID](e)
	})
	clients, stopped := c.sendLate(raw...)
	responses, took := make([]response, len(cases)), make([]time.Duration, len(cases))
	var group sync.WaitGroup
	for i := range cases {
		group.Go(func() { responses[i], took[i] = clients[i].readResponse(), time.Since(stopped) })
	}
	group.Wait()
	for i, test := range cases {
		got := responses[i]
		if took[i] > testKill {
			c.t.Errorf("%s: answered %v after SIGTERM, SIGKILL may come after %v", test.name, took[i], testKill)
		}
		if got.status != test.status || !got.complete {
			c.t.Errorf("%s: status %d, whole: %v, want a whole %d", test.name, got.status, got.complete, test.status)
		}
		if got.status == 200 && !strings.HasSuffix(got.body, testbackends.UsageEvent+testbackends.DoneEvent) {
			c.t.Errorf("%s: the answer ends with %q", test.name, got.body)
		}
		if n := c.decodeAttempts(ids[i]); n != test.attempts {
			c.t.Errorf("%s: %d attempts at decode backends, want %d", test.name, n, test.attempts)
		}
	}
	c.awaitIdle()
}

// decodeAttempts returns how many attempts of a request have reached the decode backends.
func (c *testCluster) decodeAttempts(id string) (attempts int) {
	for _, exchange := range c.site.Requests("", "POST") {
		if exchange.ID == id && exchange.Backend != c.prefill {
			attempts++
		}
	}
	return attempts
}

// Guards against the same by a further attempt, after one that provably did not run.
func TestFurtherAttemptOfALateRequestIsAnsweredBeforeTheKill(t *testing.T) {
	cluster := startLateCluster(t, false)
	stream := streamFor(0, longStream)
	cluster.onDecode(func(e *testbackends.Exchange) bool {
		if e.Method == "POST" && cluster.decodeAttempts(e.ID) == 1 {
			return e.WriteRaw(testbackends.Rejection(503, true))
		}
		return stream(e)
	})
	clients, stopped := cluster.sendLate(cluster.request("trail-info"))
	got := clients[0].readResponse()
	if took := time.Since(stopped); took > testKill || got.status != 503 || !got.complete {
		t.Errorf("%v after SIGTERM: %+v", took, got)
	}
	if cluster.decodeAttempts("q1") < 2 {
		t.Error("no further attempt was made")
	}
}

// Guards against streams that are held back or refused although their clients can continue them at another dispatcher.
func TestLateStreamThatCanBeContinuedElsewhereIsPassedOnAsItComes(t *testing.T) {
	cluster := startLateCluster(t, true)
	cluster.onDecode(streamFor(0, longStream))
	clients, stopped := cluster.sendLate(cluster.request("hut-booking"))
	got := clients[0].readResponse()
	if took := time.Since(stopped); took > testLate+300*time.Millisecond {
		t.Errorf("the stream was cut %v after SIGTERM", took)
	}
	if got.status != 200 || got.complete || !strings.HasPrefix(got.body, testbackends.TextEvent("a")) {
		t.Errorf("%+v", got)
	}
}

// Guards against holding back streams whose requests came soon after SIGTERM: SIGKILL does not count against those.
func TestStreamThatCameInTimeIsPassedOnAsItComes(t *testing.T) {
	cluster := startLateCluster(t, false)
	cluster.onDecode(streamFor(0, 500*time.Millisecond))
	client := cluster.dial()
	cluster.quit()
	cluster.await("the shutdown has begun", func() bool { return cluster.node.frontend.stopping.Load() })
	began := time.Now()
	io.WriteString(client, cluster.request("trail-info"))
	if _, err := client.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("the first event came after %v", took)
	}
	if got := client.readResponse(); got.status != 200 || !got.complete {
		t.Errorf("status %d, whole: %v", got.status, got.complete)
	}
}

func TestLateRequestsBeginByWhatIsKnownOfTheirEnd(t *testing.T) {
	const left = time.Second
	stream, buffer, rejected := answerPlan{late: true, mode: streamed}, answerPlan{late: true, mode: buffered}, answerPlan{}
	for name, test := range map[string]struct {
		request lateRequest
		want    answerPlan
	}{
		"another dispatcher can go on":      {lateRequest{left, left, true, false, 0}, stream},
		"it can, with no time left":         {lateRequest{0, left, true, false, 0}, rejected},
		"a retry is harmless":               {lateRequest{left, left, false, true, 0}, buffer},
		"it is, and answers are long":       {lateRequest{left, left, false, true, 2 * left}, buffer},
		"it is, with no time left":          {lateRequest{0, left, false, true, 0}, rejected},
		"a retry does harm, nothing known":  {lateRequest{left, left, false, false, 0}, rejected},
		"it does, and answers are long":     {lateRequest{left, left, false, false, left}, rejected},
		"it does, and answers are short":    {lateRequest{left, left, false, false, left / 4}, answerPlan{true, buffered, left * 3 / 4}},
		"it does, and the client soon goes": {lateRequest{left, left / 4, false, false, left / 4}, rejected},
		"it does, and the time is over":     {lateRequest{-left, left, false, false, left / 4}, rejected},
	} {
		got, reason := mayBegin(test.request)
		if got != test.want || (reason != notRejected) != (test.want == rejected) {
			t.Errorf("%s: %+v, rejected %q, want %+v", name, got, reason, test.want)
		}
	}
}

func TestAnswerTimesAreForgotten(t *testing.T) {
	var times answerTimes
	now := time.Now()
	longest := func(class int, after, want time.Duration) {
		t.Helper()
		if got := times.longest(class, now.Add(after)); got != want {
			t.Errorf("class %d after %v: %v, want %v", class, after, got, want)
		}
	}
	longest(1, 0, 0)
	times.record(1, 3*time.Second, now)
	times.record(1, 2*time.Second, now)
	longest(1, 0, 3*time.Second)
	longest(0, 0, 0)
	times.record(1, time.Second, now.Add(answerTimesPeriod))
	longest(1, answerTimesPeriod, 3*time.Second)
	longest(1, 2*answerTimesPeriod, time.Second)
	longest(1, 4*answerTimesPeriod, 0)
}

// Guards against streams that SIGKILL cuts although another dispatcher could continue them: behind the last token they
// were not cut, and a backend may hang there.
func TestLateStreamThatHangsBehindItsLastTokenIsCutBeforeTheKill(t *testing.T) {
	cluster := startLateCluster(t, true)
	lastToken := strings.Replace(testbackends.TextEvent("z"), "null", `"stop"`, 1)
	cluster.onDecode(func(e *testbackends.Exchange) bool {
		if e.Method == "POST" {
			e.WriteRaw(testbackends.StreamHead + testbackends.EncodeChunk(lastToken))
		}
		<-e.ClientClosed
		return false
	})
	clients, stopped := cluster.sendLate(cluster.request("trail-info"))
	got := clients[0].readResponse()
	if took := time.Since(stopped); took > testKill || took < testKill-answerBeforeKill {
		t.Errorf("cut %v after SIGTERM, SIGKILL may come after %v", took, testKill)
	}
	if got.status != 200 || got.complete || got.body != lastToken {
		t.Errorf("%+v", got)
	}
}

// Guards against requests that are begun after all open ones were ended: nothing ended those before SIGKILL.
func TestRequestThatIsWholeAfterTheOthersWereEndedIsRejected(t *testing.T) {
	for _, resumed := range []bool{true, false} {
		t.Run(fmt.Sprintf("resumed %v", resumed), func(t *testing.T) {
			cluster := startLateCluster(t, resumed)
			cluster.onDecode(streamFor(time.Second, 0))
			client := cluster.dial()
			raw := cluster.request("trail-info")
			io.WriteString(client, raw[:len(raw)-1]) // all but the last byte of the body
			time.Sleep(20 * time.Millisecond)
			stopped := time.Now()
			cluster.quit()
			cluster.await("open requests are ended", func() bool { return cluster.node.frontend.rejectAll.Load() })
			io.WriteString(client, raw[len(raw)-1:])
			got := client.readResponse()
			if took := time.Since(stopped); took > testKill || got.status != 503 || !got.complete {
				t.Errorf("%v after SIGTERM: %+v", took, got)
			}
			if n := cluster.decodeAttempts("q1"); n != 0 {
				t.Errorf("%d attempts at decode backends", n)
			}
		})
	}
}
