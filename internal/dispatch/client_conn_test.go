package dispatch_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against one client that takes the processor from the others: small requests that it sends at full speed over one
// connection are answered at a bounded rate.
func TestRequestsOfOneConnectionArePaced(t *testing.T) {
	const length, mostPerSecond, atOnce = time.Second, 1000, 10
	service := startService(t, nil)
	conn, err := net.Dial("tcp", strings.TrimPrefix(service.baseURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	answers := 0
	for end := time.Now().Add(length); time.Now().Before(end); answers += atOnce {
		io.WriteString(conn, strings.Repeat("GET /v2 HTTP/1.1\r\nHost: a\r\n\r\n", atOnce))
		for range atOnce {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("after %d answers: %v", answers, err)
			}
			io.Copy(io.Discard, resp.Body)
		}
	}
	if answers > mostPerSecond || answers == 0 {
		t.Errorf("%d requests of one connection were answered in %v, %d may be", answers, length, mostPerSecond)
	}
}

// A client that pipelines more than is kept behind its open request gets the whole answer to that, and then the end of the
// connection, not a reset.
func TestPipelineOverrunEndsAfterTheAnswer(t *testing.T) {
	service := startService(t, nil)
	conn := service.dialWithOpenRequest("a")
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	pipelined := 0
	for ; pipelined < 1000; pipelined++ {
		io.WriteString(conn, rawGenerate(fmt.Sprint("p", pipelined)))
	}
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, %q, %v", resp.StatusCode, body, err)
	}
	if n, err := reader.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("behind the answer: %d bytes, %v", n, err)
	}
}

// Shows that requests that are refused leave nothing behind, however many names they bring: models, grades, channels and
// ids that nobody has seen.
func TestUnsoundRequestsOfNewNamesLeaveNothing(t *testing.T) {
	const rounds, clients, mostGrowth = 100, 20, 1 << 20
	service := startService(t, nil)
	transport := &http.Transport{MaxIdleConnsPerHost: clients} // new connections are bounded on their own
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	play := func(round int) {
		var running sync.WaitGroup
		for number := range clients {
			running.Go(func() {
				name := fmt.Sprintf("name-%d-%d", round, number)
				for path, body := range map[string]string{
					"/v2/models/" + name + "/generate": `{"text_input":"a"}`,
					"/v2/models/lodge/generate": fmt.Sprintf(
						`{"id":%q,"text_input":"a","parameters":{"grade":%q}}`, name, name),
					"/v2/models/lodge/infer": fmt.Sprintf(
						`{"id":%q,"text_input":"a","parameters":{"channel":%q}}`, name, name),
				} {
					resp, err := client.Post(service.baseURL+path, "application/json", strings.NewReader(body))
					if err != nil {
						t.Error(err)
						return
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode < 400 || resp.StatusCode >= 500 {
						t.Errorf("%s: status %d", path, resp.StatusCode)
					}
				}
			})
		}
		running.Wait()
	}
	play(-1)
	before := liveHeap()
	for round := range rounds {
		play(round)
	}
	if after := liveHeap(); after > before+mostGrowth {
		t.Errorf("%d bytes are held, %d before", after, before)
	}
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() uint64 {
	var stats runtime.MemStats
	for range 2 {
		runtime.GC()
	}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
