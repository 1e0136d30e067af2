package fleet

import (
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/day"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/record"
)

func (sim *simulation) affectedBackends(fault day.Fault) []*backend {
	var affected []*backend
	for _, b := range sim.backendOrder {
		if slices.ContainsFunc(fault.Backends, func(n string) bool { return n == b.spec.Name || n == b.spec.Kind }) {
			affected = append(affected, b)
		}
	}
	return affected
}

// inject starts a fault and schedules its end. Faults of the requests themselves are part of the traffic plan.
// Faults of single addresses have no meaning without sockets.
func (sim *simulation) inject(fault day.Fault) {
	sim.addRecord(record.Event{Kind: record.Note, Detail: fault.Kind + " begins"})
	affected, length, noticeDelay := sim.affectedBackends(fault), fault.Duration.Std(),
		sim.scenario.Discovery.NoticeDelay.Std()
	each := func(do func(*backend)) {
		for _, b := range affected {
			do(b)
		}
	}
	restart := func() {
		each(func(b *backend) {
			if !b.running {
				b.start(true)
				sim.publish(b, endpointlist.Ready, noticeDelay)
				b.runSteps()
			}
		})
	}
	later := func(do func()) { sim.after(length, do) }
	switch fault.Kind {
	case "slow":
		each(func(b *backend) { b.engine.Slowdown = fault.Factor })
		later(func() { each(func(b *backend) { b.engine.Slowdown = 0 }) })
	case "neighbour":
		each(func(b *backend) { b.engine.NeighbourShare = fault.Share })
		later(func() { each(func(b *backend) { b.engine.NeighbourShare = 0 }) })
	case "ageing":
		each(func(b *backend) { b.engine.SetAgingRate(sim.now, fault.Share) })
		later(func() {
			each(func(b *backend) {
				b.kill("aged")
				sim.publish(b, endpointlist.Removed, sim.scenario.Discovery.FailureNoticeDelay.Std())
			})
			sim.after(2*time.Second, restart)
		})
	case "evict_fresh":
		each(func(b *backend) { b.engine.EvictFresh = true })
		later(func() { each(func(b *backend) { b.engine.EvictFresh = false }) })
	case "failing", "grade_failing":
		each(func(b *backend) { b.failShare, b.failClass = fault.Share, fault.Class })
		later(func() { each(func(b *backend) { b.failShare = 0 }) })
	case "hang":
		each(func(b *backend) { b.hangs = true })
		later(func() { each(func(b *backend) { b.hangs = false }) })
	case "reset":
		each(func(b *backend) { b.resetShare = fault.Share })
		later(func() { each(func(b *backend) { b.resetShare = 0 }) })
	case "reset_running":
		each(func(b *backend) { b.cutShare = fault.Share })
		later(func() { each(func(b *backend) { b.cutShare = 0 }) })
	case "crash_after_read":
		each(func(b *backend) { b.crashShare = fault.Share })
		later(func() { each(func(b *backend) { b.crashShare = 0 }); restart() })
	case "replace":
		each(func(b *backend) {
			sim.publish(b, endpointlist.Draining, noticeDelay)
			sim.startReplacement(b, noticeDelay)
		})
		later(func() {
			each(func(b *backend) { b.kill("replaced"); sim.publish(b, endpointlist.Removed, noticeDelay) })
		})
	case "connect_late":
		sim.slowConnectShare, sim.slowConnectMax = fault.Share, fault.Delay.Std()
		later(func() { sim.slowConnectShare = 0 })
	case "list_down":
		sim.discoveryDownUntil = sim.now + length
	case "list_gap":
		sim.dropNextUpdate = true
	case "no_cancel", "leave", "give_up", "burst", "shared_text", "long_prompts":
		// part of the backends' specs or of the traffic plan
	case "forget":
		each(func(b *backend) { b.engine.DropCache() })
	case "crash":
		each(func(b *backend) {
			b.kill("crashed")
			if silent := sim.scenario.Discovery.FailureNoticeDelay.Std(); length > silent {
				sim.publish(b, endpointlist.Removed, silent)
			}
		})
		later(restart)
	case "restart":
		each(func(b *backend) { b.kill("restarted") })
		restart()
	case "drain":
		each(func(b *backend) { sim.publish(b, endpointlist.Draining, noticeDelay) })
		later(func() {
			each(func(b *backend) { b.kill("drained"); sim.publish(b, endpointlist.Removed, noticeDelay) })
			sim.after(time.Second, restart)
		})
	case "list_stale":
		sim.discoveryDelay = fault.Delay.Std()
		later(func() { sim.discoveryDelay = 0 })
	case "link_slow":
		sim.linkSlowdown = fault.Factor
		later(func() { sim.linkSlowdown = 1 })
	case "kill_dispatcher":
		for _, n := range fault.Dispatchers {
			sim.dispatchers[n].kill()
		}
		later(func() {
			for _, n := range fault.Dispatchers {
				d := sim.dispatchers[n]
				d.start(d.lastKnown)
			}
		})
	default: // faults of sockets and processes
		sim.addRecord(record.Event{Kind: record.Note, Detail: fault.Kind + " is not played here"})
	}
	if !strings.HasPrefix(fault.Kind, "address_") {
		later(func() { sim.addRecord(record.Event{Kind: record.Note, Detail: fault.Kind + " ends"}) })
	}
}

// startReplacement starts a backend in slow start in place of one that drains, of the same spec but with a name of
// its own.
func (sim *simulation) startReplacement(old *backend, noticeDelay time.Duration) {
	spec := old.spec
	spec.Name += "-new"
	sim.publish(sim.addBackend(spec, true), endpointlist.Ready, noticeDelay)
}
