package kit3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// BoxList is the endpoint list of the project's own front.
type BoxList struct {
	Address string
	mu      sync.Mutex
	version int
	boxes   []*Box
	changed chan struct{}
}

// NewBoxList starts a list of the backends.
func (c *Case) NewBoxList(boxes ...*Box) *BoxList {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.Exit(NotRun, "%v", err)
	}
	list := &BoxList{Address: l.Addr().String(), version: 1, boxes: boxes, changed: make(chan struct{})}
	go http.Serve(l, http.HandlerFunc(list.watch))
	return list
}

// Set changes which backends are listed.
func (l *BoxList) Set(boxes ...*Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.boxes = boxes
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *BoxList) watch(w http.ResponseWriter, r *http.Request) {
	for sent := 0; r.Context().Err() == nil; {
		l.mu.Lock()
		var listed []any
		for _, b := range l.boxes {
			listed = append(listed, map[string]any{"name": b.Name, "addresses": []any{map[string]any{"network": "tcp4", "at": b.Address}},
				"kind": "mixed", "zone": "hall-1", "rack": "rack-1", "standing": "ready", "units": 1.0, "start": b.Starts, "up_ms": -1})
		}
		message := map[string]any{"version": l.version, "base": 0, "whole": true, "boxes": listed}
		if sent == l.version {
			message = map[string]any{"version": l.version, "base": l.version}
		}
		sent = l.version
		changed := l.changed
		l.mu.Unlock()
		json.NewEncoder(w).Encode(message)
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-r.Context().Done():
		}
	}
}

// Serve starts a dispatcher of the project's own front and waits until it is ready.
func (c *Case) Serve(name, listen, list, further string) *Process {
	file := filepath.Join(c.Temp, name+".toml")
	os.WriteFile(file, []byte(fmt.Sprintf(`model = "lodge"
zones = ["hall-1"]
[dispatcher]
name = %q
zone = "hall-1"
listen = [%q]
boxes = %q
[[grade]]
name = "trail-info"
effect = "idempotent"
promised = "1.5s"
expiry = "6s"
benefit = 2.0
late_benefit = 0.3
max_tokens = 80
[[grade]]
name = "hut-hold"
effect = "deduplicated"
reach = "all"
window = "4s"
promised = "1.2s"
expiry = "5s"
benefit = 3.0
late_benefit = 0.2
max_tokens = 60
[[channel]]
name = "web-app"
share = 0.6
questions_a_second = 400.0
[[channel]]
name = "ranger-office"
share = 0.4
questions_a_second = 300.0
[[kind]]
name = "mixed"
role = "mixed"
memory = 200000
%s`, name, listen, list, further)), 0o600)
	p := c.Start(name, "exec bin/sloetrestle serve --config "+file)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && !p.Ended(); time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + listen + "/v2/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				c.Logf("%s is ready", name)
				return p
			}
		}
	}
	log, _ := os.ReadFile(filepath.Join(c.Temp, name+".log"))
	c.Exit(NotRun, "%s did not become ready: %s", name, log)
	return nil
}

// Generate asks a question over the KServe front and returns the status and the text of the answer.
func Generate(client *http.Client, listen, id, text, grade, channel string) (int, string, error) {
	body, _ := json.Marshal(map[string]any{"id": id, "text_input": text,
		"parameters": map[string]any{"grade": grade, "channel": channel, "session": text, "timeout": 5000000}})
	resp, err := client.Post("http://"+listen+"/v2/models/lodge/generate", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	var out struct {
		Text string `json:"text_output"`
	}
	raw, err := io.ReadAll(resp.Body)
	json.Unmarshal(raw, &out)
	return resp.StatusCode, out.Text, err
}
