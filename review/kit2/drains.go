package kit2

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// The bounds of the rule on drains: what the settings allow, what the protocol page adds to every limit, and how long
// a dispatcher may be held up between reading its clock and writing.
const (
	drainGrace   = time.Second
	socketSlack  = 50 * time.Millisecond
	heldUp       = 150 * time.Millisecond
	drainAllowed = drainGrace + socketSlack + heldUp
)

// smallFleet starts readers and writers.
func (f *fleet) smallFleet(readers, writers int, prefix string) (hosts []*host) {
	for i := range readers {
		hosts = append(hosts, f.addHost(fmt.Sprintf("s-%sr%02d", prefix, i), reader, i%2))
	}
	for i := range writers {
		hosts = append(hosts, f.addHost(fmt.Sprintf("s-%sw%02d", prefix, i), writer, i%2))
	}
	return hosts
}

// drainVerdict judges what came to model hosts after the latest time that the rule allows.
func drainVerdict(w *world, f *fleet, c *clients, uids []string, latest time.Duration, until time.Duration) verdict {
	late, first := 0, time.Duration(0)
	for _, uid := range uids {
		for _, a := range f.sends(uid) {
			if a.at > latest && a.at < until {
				late++
				if first == 0 || a.at < first {
					first = a.at
				}
				w.note("late send to %s: %s at %.3f s", uid, a.id, a.at.Seconds())
			}
		}
	}
	text := fmt.Sprintf("%d sends to draining model hosts after %.3f s, the first at %.3f s; answers by status: %v", late,
		latest.Seconds(), first.Seconds(), c.counts())
	return verdict{late > 0, text}
}

func uidsOf(hosts []*host) (uids []string) {
	for _, h := range hosts {
		uids = append(uids, h.uid)
	}
	return uids
}

// slowChange: discovery is slow. It takes some seconds to write one message, byte after byte, in which half of the
// model hosts begin to drain.
func slowChange(w *world) (verdict, error) {
	f := w.newFleet()
	leaving, staying := f.smallFleet(6, 6, "a"), f.smallFleet(6, 6, "b")
	list := newRegistry(41)
	list.list(leaving...)
	list.list(staying...)
	agent := w.newAgent("a", list)
	d := w.newDispatcher("n0", agent.address, list.full(), settings(smallClasses, 1, 0, nil))
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	c := w.newClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.stream(ctx, 20, d.listen, "trail-info", 6*time.Second)
	time.Sleep(4 * time.Second)
	if w.trouble {
		agent.slow(0, 800)
	}
	had := w.now()
	w.note("discovery has: %d model hosts drain", len(leaving))
	list.change("terminating", uidsOf(leaving))
	for _, uid := range uidsOf(leaving) {
		f.drain(uid)
	}
	end := had + 20*time.Second
	w.sleepUntil(end)
	cancel()
	c.group.Wait()
	return drainVerdict(w, f, c, uidsOf(leaving), had+6*time.Second+drainAllowed, end), nil
}

// slowStart: a dispatcher starts with the list that it last had, while discovery takes some seconds to answer.
func slowStart(w *world) (verdict, error) {
	f := w.newFleet()
	leaving, staying := f.smallFleet(2, 2, "a"), f.smallFleet(3, 3, "b")
	list := newRegistry(41)
	list.list(leaving...)
	list.list(staying...)
	known := list.full()
	list.change("terminating", uidsOf(leaving))
	for _, uid := range uidsOf(leaving) {
		f.drain(uid)
	}
	agent := w.newAgent("a", list)
	if w.trouble {
		agent.slow(3*time.Second, 0)
	}
	d := w.newDispatcher("n0", agent.address, known, settings(smallClasses, 1, 0, nil))
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(30 * time.Second); err != nil {
		return verdict{}, err
	}
	c := w.newClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.stream(ctx, 20, d.listen, "trail-info", 6*time.Second)
	time.Sleep(8 * time.Second)
	cancel()
	c.group.Wait()
	// The process is told from its first moment: not later than its first request to discovery.
	return drainVerdict(w, f, c, uidsOf(leaving), agent.first+drainAllowed, w.now()), nil
}

// oldList: a new configuration moves discovery to an address whose list runs some seconds behind.
func oldList(w *world) (verdict, error) {
	f := w.newFleet()
	leaving, staying := f.smallFleet(2, 2, "a"), f.smallFleet(3, 3, "b")
	list, behind := newRegistry(41), newRegistry(41)
	for _, g := range []*registry{list, behind} {
		g.list(leaving...)
		g.list(staying...)
	}
	agent := w.newAgent("a", list)
	d := w.newDispatcher("n0", agent.address, list.full(), settings(smallClasses, 1, 0, nil))
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	c := w.newClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.stream(ctx, 20, d.listen, "trail-info", 6*time.Second)
	time.Sleep(2 * time.Second)
	told := w.now()
	w.note("discovery a tells: %d model hosts drain", len(leaving))
	list.change("terminating", uidsOf(leaving))
	for _, uid := range uidsOf(leaving) {
		f.drain(uid)
	}
	time.Sleep(2 * time.Second)
	lag := 3800 * time.Millisecond
	if !w.trouble {
		lag = 0
	}
	time.AfterFunc(lag, func() { behind.change("terminating", uidsOf(leaving)) })
	time.Sleep(50 * time.Millisecond)
	moved := w.newAgent("b", behind)
	d.config["discovery"] = moved.address
	d.writeConfig()
	d.signal(syscall.SIGHUP)
	agent.listener.Close()
	time.AfterFunc(1500*time.Millisecond, agent.closeConns)
	time.Sleep(12 * time.Second)
	cancel()
	c.group.Wait()
	return drainVerdict(w, f, c, uidsOf(leaving), told+drainAllowed, w.now()), nil
}
