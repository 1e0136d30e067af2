// Restart is the case of a dispatcher that is killed and started again while discovery is down.
package main

import (
	"fmt"
	"time"

	"sloetrestle/review/kit3"
)

const (
	outage = 8 * time.Second         // "discovery is down for 8 s"
	grace  = 1050 * time.Millisecond // rules.drainGraceUs, and the 50 ms of the protocol page
	heldUp = 150 * time.Millisecond  // between reading the clock and writing
)

func main() {
	c := kit3.NewCase()
	var hosts []*kit3.Host
	for i := range 3 {
		hosts = append(hosts, c.NewHost(fmt.Sprint("r", i), "prompt-side"))
	}
	for i := range 3 {
		hosts = append(hosts, c.NewHost(fmt.Sprint("w", i), "answer-side"))
	}
	agent := c.NewAgent(hosts...)
	known := agent.List()
	listen := kit3.FreeAddress()
	d := c.Dispatcher("n0", listen, agent.Address, known, kit3.Settings(1))
	time.Sleep(2 * time.Second)
	c.Logf("n0 is killed")
	d.Kill()
	time.Sleep(200 * time.Millisecond)
	draining := []*kit3.Host{hosts[0], hosts[3]}
	c.Logf("the agent gets it that r0 and w0 begin to drain")
	agent.Change("terminating", draining...)
	time.Sleep(200 * time.Millisecond)
	if c.Trouble {
		agent.SetSilent(true)
	}
	down := time.Now()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	c.Logf("n0 starts, with the list that it last had")
	c.Dispatcher("n0", listen, agent.Address, known, kit3.Settings(1))
	late, sent := 0, 0
	for n := 0; time.Since(down) < outage; n++ {
		id := fmt.Sprintf("a%04d", n)
		conn := c.Dial(listen)
		answer := conn.Ask(id, "trail-info", 6*time.Second)
		conn.Close()
		c.Logf("client: %s: status %d, %v", id, answer.Status, answer.Err)
		sent++
		for _, h := range draining {
			if at, ok := h.Received(id); ok && at.Sub(began) > grace+heldUp {
				late++
				c.Logf("%s: %s got it %v after the start of the process", id, h.UID, at.Sub(began).Round(time.Millisecond))
			}
		}
	}
	c.Logf("discovery is back")
	if late > 0 {
		c.Exit(kit3.Broken, "%d attempts for %d requests went to draining hosts later than %v after the start of the process, from which on what the agent has counts as told",
			late, sent, grace+heldUp)
	}
	c.Exit(kit3.Held, "no attempt for %d requests went to a draining host", sent)
}
