// Late is the case of answers to requests that come late in a planned restart, while the memory for bodies is full.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloetrestle/review/kit3"
)

const (
	memoryMB = 40        // "32 to 192 MB depending on language and day"
	longBody = 256 << 10 // "A body holds at most 256 KiB."
	left     = 240       // bytes that are left of the memory for bodies: room for two small requests, but for no event
	slow     = 34        // clients that write slowly
)

// answer returns the events of a short answer, which a model host makes in one step.
func answer(id string) []string {
	return []string{
		fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{"content":"%s: yes, the hut is free on both nights, and %s"},"finish_reason":"stop"}]}`+
			"\n\n", id, strings.Repeat("so on ", 20)),
		`data: {"choices":[],"usage":{"prompt_tokens":400,"completion_tokens":40,"prompt_tokens_details":{"cached_tokens":0}}}` + "\n\n",
		"data: [DONE]\n\n",
	}
}

func main() {
	c := kit3.NewCase()
	var hosts []*kit3.Host
	for i := range 3 {
		h := c.NewHost(fmt.Sprint("r", i), "prompt-side")
		hosts = append(hosts, h)
	}
	for i := range 3 {
		h := c.NewHost(fmt.Sprint("w", i), "answer-side")
		h.Handle = func(w http.ResponseWriter, r *http.Request, id string) bool {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return false
			}
			defer conn.Close()
			time.Sleep(30 * time.Millisecond)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			for _, event := range answer(id) {
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
			}
			io.WriteString(conn, "0\r\n\r\n")
			time.Sleep(time.Second)
			return true
		}
		hosts = append(hosts, h)
	}
	agent := c.NewAgent(hosts...)
	settings := kit3.Settings(1)
	settings["familyInfo"].(map[string]any)["resume"] = false // "A stream that breaks is lost." (souillac-south)
	kit3.MemoryMB = memoryMB
	listen := kit3.FreeAddress()
	d := c.Dispatcher("n0", listen, agent.Address, agent.List(), settings)

	var wait sync.WaitGroup
	c.Logf("SIGTERM")
	d.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond) // "New connections keep coming for 0.2 to 0.4 s."
	if c.Trouble {
		// Clients that stop in the middle of a request and stay. They take the memory for bodies but for a few hundred bytes.
		bytes := memoryMB<<20/5 - left
		for n := 0; bytes > 0; n++ {
			size := min(bytes, longBody)
			bytes -= size
			wait.Go(func() {
				cl := c.Dial(listen)
				defer cl.Close()
				id := fmt.Sprintf("half-%d", n)
				began := time.Now()
				cl.Send(kit3.Head(id, "trail-info", 6*time.Second, size) + strings.Repeat("z", size-1))
				got := cl.Read(8 * time.Second)
				c.Logf("client that stops: %s: status %d, %v, after %v", id, got.Status, got.Err, time.Since(began).Round(time.Millisecond))
			})
		}
	}
	time.Sleep(100 * time.Millisecond)
	var mu sync.Mutex
	wrong, whole, refused := 0, 0, 0
	for n := range slow {
		wait.Go(func() {
			id := fmt.Sprintf("late-%02d", n)
			cl := c.Dial(listen)
			defer cl.Close()
			request := kit3.Head(id, "trail-info", 4*time.Second, len(kit3.Body)) + kit3.Body
			cl.Send(request[:150])
			time.Sleep(700*time.Millisecond + time.Duration(n)*45*time.Millisecond) // written slowly
			cl.Send(request[150:])
			got := cl.Read(5 * time.Second)
			c.Logf("client: %s: status %d, whole %v, %v, %d bytes of %d", id, got.Status, got.Whole, got.Err, len(got.Body), len(strings.Join(answer(id), "")))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.Status == 200 && got.Whole && got.Body != strings.Join(answer(id), ""):
				wrong++
				missing := 0
				for _, event := range answer(id) {
					if !strings.Contains(got.Body, event) {
						missing++
					}
				}
				c.Logf("client: %s: 200 and the last chunk, but %d of 3 events are missing", id, missing)
			case got.Status == 200:
				whole++
			default:
				refused++
			}
		})
	}
	wait.Wait()
	if wrong > 0 {
		c.Exit(kit3.Broken, "%d of %d answers were sent as whole, to the last chunk, with events missing; %d whole, %d refused", wrong, slow, whole, refused)
	}
	c.Exit(kit3.Held, "of %d late requests %d were answered whole and %d refused", slow, whole, refused)
}
