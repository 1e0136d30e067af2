package kit2

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clients sends requests to dispatchers and keeps what came of them.
type clients struct {
	world *world
	http  *http.Client
	group sync.WaitGroup

	mu       sync.Mutex
	requests []*request
}

// request is what a client sent and got.
type request struct {
	id, class string
	timeout   time.Duration
	sentAt    time.Duration
	status    int // 0: no answer
	whole     bool
	body      string
	endedAt   time.Duration
	err       error
}

func (w *world) newClients() *clients {
	return &clients{world: w, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
	}}}
}

// newID returns a request id that no other request has.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newRequest builds a request of a class.
func newRequest(address, id, class string, timeout time.Duration, promptTokens int) *http.Request {
	body := `{"model":"chat","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"` +
		strings.Repeat("word", promptTokens) + `"}]}`
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Priority-Class", class)
	r.Header.Set("X-Tenant-Id", "web-app")
	r.Header.Set("X-Route-Key", newID())
	r.Header.Set("X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set("X-Attrs", fmt.Sprintf("prompt_len=%d,max_out=40", promptTokens))
	return r
}

// send sends a request and waits for its end.
func (c *clients) send(address, class string, timeout time.Duration) *request {
	q := &request{id: newID(), class: class, timeout: timeout, sentAt: c.world.now()}
	c.mu.Lock()
	c.requests = append(c.requests, q)
	c.mu.Unlock()
	c.world.note("client: sends %s, %s, %v, to %s", q.id, class, timeout, address)
	ctx, cancel := context.WithTimeout(context.Background(), timeout+20*time.Second)
	defer cancel()
	resp, err := c.http.Do(newRequest(address, q.id, class, timeout, 100).WithContext(ctx))
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		c.mu.Lock()
		q.status, q.body, q.whole = resp.StatusCode, string(raw), err == nil
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	q.err, q.endedAt = err, c.world.now()
	c.world.note("client: %s got %d after %.3f s, %v", q.id, q.status, (q.endedAt - q.sentAt).Seconds(), err)
	return q
}

// stream sends requests at a rate until the context ends.
func (c *clients) stream(ctx context.Context, perSecond int, address, class string, timeout time.Duration) {
	every(ctx, time.Second/time.Duration(perSecond), func() { c.group.Go(func() { c.send(address, class, timeout) }) })
}

// counts returns how many requests got each status.
func (c *clients) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, q := range c.requests {
		counts[q.status]++
	}
	return counts
}
