// Slowlist is the case of a slow discovery, whose messages come in pieces.
package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"sloetrestle/review/kit3"
)

const (
	pause   = 1900 * time.Millisecond // between the two pieces of a message: less than the 2 s between empty lines
	toldAt  = 6 * time.Second         // "at the latest 6 s after discovery had it and could be reached"
	grace   = 1050 * time.Millisecond // rules.drainGraceUs, and the 50 ms of the protocol page
	watched = 25 * time.Second
)

func main() {
	c := kit3.NewCase()
	var hosts []*kit3.Host
	for i := range 4 {
		hosts = append(hosts, c.NewHost(fmt.Sprint("r", i), "prompt-side"))
	}
	for i := range 4 {
		hosts = append(hosts, c.NewHost(fmt.Sprint("w", i), "answer-side"))
	}
	agent := c.NewAgent(hosts...)
	var slow atomic.Bool
	agent.Write = func(conn net.Conn, object string) {
		if !slow.Load() {
			fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(object)+1, object)
			return
		}
		began := time.Now()
		object += "\n"
		half := len(object) / 2
		fmt.Fprintf(conn, "%x\r\n%s\r\n", half, object[:half])
		time.Sleep(pause)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(object)-half, object[half:]); err != nil {
			c.Logf("agent: the dispatcher had ended the watch before the second piece: %v", err)
			return
		}
		c.Logf("agent: a message of the watch is written, in %v", time.Since(began).Round(time.Millisecond))
	}
	listen := kit3.FreeAddress()
	c.Dispatcher("n0", listen, agent.Address, agent.List(), kit3.Settings(1))
	time.Sleep(2 * time.Second)
	slow.Store(c.Trouble)
	draining := []*kit3.Host{hosts[0], hosts[1], hosts[4], hosts[5]}
	had := time.Now()
	c.Logf("discovery has it that r0, r1, w0 and w1 begin to drain")
	go agent.Change("terminating", draining...)
	late, sent := 0, 0
	for n := 0; time.Since(had) < watched; n++ {
		id := fmt.Sprintf("a%04d", n)
		conn := c.Dial(listen)
		answer := conn.Ask(id, "trail-info", 6*time.Second)
		conn.Close()
		if answer.Status != 200 {
			c.Logf("%s: status %d, %v", id, answer.Status, answer.Err)
		}
		sent++
		for _, h := range draining {
			if at, ok := h.Received(id); ok && at.Sub(had) > toldAt+grace {
				late++
				c.Logf("%s: %s got it %v after discovery had its drain", id, h.UID, at.Sub(had).Round(time.Millisecond))
			}
		}
	}
	if late > 0 {
		c.Exit(kit3.Broken, "%d attempts for %d requests went to draining hosts later than %v after discovery had the drain", late, sent, toldAt+grace)
	}
	c.Exit(kit3.Held, "no attempt for %d requests went to a draining host after %v", sent, toldAt+grace)
}
