// Bill is the case of the account after a zone with a dispatcher and a backend was lost for some seconds.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sloetrestle/review/kit3"
)

const (
	lost      = 5 * time.Second // "a zone is lost for 5 s and returns cold"
	prompt    = 9               // tokens, a quarter of the text's bytes
	questions = 12
)

func main() {
	c := kit3.NewCase()
	var boxes []*kit3.Box
	for i := range 4 {
		b := c.NewBox(fmt.Sprint("b", i))
		b.Counts, b.Tokens, b.TokenTime = true, 40, 100*time.Millisecond // answers of 4 s
		boxes = append(boxes, b)
	}
	list := c.NewBoxList(boxes...)
	listen := kit3.FreeAddress()
	folder := filepath.Join(c.Temp, "ledger")
	further := fmt.Sprintf("[ledger]\nfolder = %q\n", folder)
	d := c.Serve("d0", listen, list.Address, further)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
	ask := func(round string, n int) {
		var wait sync.WaitGroup
		for i := range n {
			text := fmt.Sprintf("%s question %02d about the hut, please", round, i)
			wait.Go(func() {
				status, _, err := kit3.Generate(client, listen, fmt.Sprintf("%s-%d", round, i), text, "trail-info", "web-app")
				c.Logf("client: %s: status %d, %v", text, status, err)
			})
		}
		wait.Wait()
	}
	first := make(chan bool)
	go func() { ask("first", questions); close(first) }()
	time.Sleep(2 * time.Second) // the first answers are under way
	if c.Trouble {
		c.Logf("the zone of d0 and b3 is lost")
		d.Kill()
		boxes[3].Down()
		list.Set(boxes[:3]...)
		<-first
		time.Sleep(time.Second)
		d = c.Serve("d0", listen, list.Address, further)
		time.Sleep(lost - time.Second)
		boxes[3].Up()
		list.Set(boxes...)
		c.Logf("b3 is back")
	} else {
		<-first
		d.Signal(syscall.SIGTERM)
		for !d.Ended() {
			time.Sleep(10 * time.Millisecond)
		}
		d = c.Serve("d0", listen, list.Address, further)
	}
	time.Sleep(2 * time.Second)
	ask("second", questions)
	c.Logf("the dispatcher has 40 s to find out what is still to be found out")
	time.Sleep(40 * time.Second)
	d.Signal(syscall.SIGTERM)
	for !d.Ended() {
		time.Sleep(10 * time.Millisecond)
	}
	out, err := exec.Command(filepath.Join(c.Root, "bin", "sloetrestle"), "bill", "--ledger", folder, "--json").Output()
	if err != nil {
		c.Exit(kit3.NotRun, "bill: %v", err)
	}
	c.Logf("bill: %s", out)
	var lines []struct {
		Attempts int `json:"trips"`
		Read     int `json:"read_tokens"`
		Answered int `json:"answer_tokens"`
	}
	if err := json.Unmarshal(out, &lines); err != nil {
		c.Exit(kit3.NotRun, "bill: %v: %s", err, out)
	}
	read, answered, attempts := 0, 0, 0
	for _, line := range lines {
		read, answered, attempts = read+line.Read, answered+line.Answered, attempts+line.Attempts
	}
	wantRead, wantAnswered, wantAttempts := 0, 0, 0
	for _, b := range boxes {
		r, a, n := b.Total()
		c.Logf("%s counted %d attempts, %d tokens read, %d answered", b.Name, n, r, a)
		wantRead, wantAnswered, wantAttempts = wantRead+r, wantAnswered+a, wantAttempts+n
	}
	if read != wantRead || answered != wantAnswered || attempts != wantAttempts {
		c.Exit(kit3.Broken, "the ledger has %d attempts, %d tokens read and %d answered; the backends counted %d, %d and %d",
			attempts, read, answered, wantAttempts, wantRead, wantAnswered)
	}
	c.Exit(kit3.Held, "the ledger and the backends have the same %d attempts, %d tokens read and %d answered", attempts, read, answered)
}
