package fleet

import (
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/day"
	"sloetrestle/internal/record"
)

func (sim *simulation) affectedBackends(t day.Trouble) []*backend {
	var hit []*backend
	for _, b := range sim.backendOrder {
		if slices.ContainsFunc(t.Boxes, func(n string) bool { return n == b.spec.Name || n == b.spec.Kind }) {
			hit = append(hit, b)
		}
	}
	return hit
}

// inject starts a fault and schedules its end. Faults of the requests themselves are part of the traffic plan. Faults of
// single addresses have no meaning without sockets.
func (sim *simulation) inject(t day.Trouble) {
	sim.addRecord(record.Line{What: record.Note, Word: t.Kind + " begins"})
	hit, length, notice := sim.affectedBackends(t), t.Length.Std(), sim.scenario.List.Notice.Std()
	each := func(do func(*backend)) {
		for _, b := range hit {
			do(b)
		}
	}
	back := func() {
		each(func(b *backend) {
			if !b.running {
				b.start(true)
				sim.publish(b, boxlist.Ready, notice)
				b.runSteps()
			}
		})
	}
	later := func(do func()) { sim.after(length, do) }
	switch t.Kind {
	case "slow":
		each(func(b *backend) { b.engine.Slowdown = t.Size })
		later(func() { each(func(b *backend) { b.engine.Slowdown = 0 }) })
	case "neighbour":
		each(func(b *backend) { b.engine.NeighbourShare = t.Share })
		later(func() { each(func(b *backend) { b.engine.NeighbourShare = 0 }) })
	case "ageing":
		each(func(b *backend) { b.engine.SetAgingRate(sim.now, t.Share) })
		later(func() {
			each(func(b *backend) { b.kill("aged"); sim.publish(b, boxlist.Removed, sim.scenario.List.Silent.Std()) })
			sim.after(2*time.Second, back)
		})
	case "evict_fresh":
		each(func(b *backend) { b.engine.EvictFresh = true })
		later(func() { each(func(b *backend) { b.engine.EvictFresh = false }) })
	case "failing", "grade_failing":
		each(func(b *backend) { b.failShare, b.failClass = t.Share, t.Grade })
		later(func() { each(func(b *backend) { b.failShare = 0 }) })
	case "hang":
		each(func(b *backend) { b.hangs = true })
		later(func() { each(func(b *backend) { b.hangs = false }) })
	case "reset":
		each(func(b *backend) { b.resetShare = t.Share })
		later(func() { each(func(b *backend) { b.resetShare = 0 }) })
	case "reset_running":
		each(func(b *backend) { b.cutShare = t.Share })
		later(func() { each(func(b *backend) { b.cutShare = 0 }) })
	case "crash_after_read":
		each(func(b *backend) { b.crashShare = t.Share })
		later(func() { each(func(b *backend) { b.crashShare = 0 }); back() })
	case "replace":
		each(func(b *backend) {
			sim.publish(b, boxlist.Draining, notice)
			sim.startReplacement(b, notice)
		})
		later(func() { each(func(b *backend) { b.kill("replaced"); sim.publish(b, boxlist.Removed, notice) }) })
	case "connect_late":
		sim.slowConnectShare, sim.slowConnectMax = t.Share, t.By.Std()
		later(func() { sim.slowConnectShare = 0 })
	case "list_down":
		sim.discoveryDownUntil = sim.now + length
	case "list_gap":
		sim.dropNextUpdate = true
	case "no_cancel", "leave", "give_up", "burst", "shared_text", "long_prompts": // part of the backends' specs or of the traffic plan
	case "forget":
		each(func(b *backend) { b.engine.DropCache() })
	case "crash":
		each(func(b *backend) {
			b.kill("crashed")
			if silent := sim.scenario.List.Silent.Std(); length > silent {
				sim.publish(b, boxlist.Removed, silent)
			}
		})
		later(back)
	case "restart":
		each(func(b *backend) { b.kill("restarted") })
		back()
	case "drain":
		each(func(b *backend) { sim.publish(b, boxlist.Draining, notice) })
		later(func() {
			each(func(b *backend) { b.kill("drained"); sim.publish(b, boxlist.Removed, notice) })
			sim.after(time.Second, back)
		})
	case "list_stale":
		sim.discoveryDelay = t.By.Std()
		later(func() { sim.discoveryDelay = 0 })
	case "link_slow":
		sim.linkSlowdown = t.Size
		later(func() { sim.linkSlowdown = 1 })
	case "kill_dispatcher":
		for _, n := range t.Dispatchers {
			sim.dispatchers[n].kill()
		}
		later(func() {
			for _, n := range t.Dispatchers {
				d := sim.dispatchers[n]
				d.start(d.lastKnown)
			}
		})
	default: // faults of sockets and processes
		sim.addRecord(record.Line{What: record.Note, Word: t.Kind + " is not played here"})
	}
	if !strings.HasPrefix(t.Kind, "address_") {
		later(func() { sim.addRecord(record.Line{What: record.Note, Word: t.Kind + " ends"}) })
	}
}

// startReplacement starts a backend in slow start in place of one that drains, of the same spec but with a name of its own.
func (sim *simulation) startReplacement(old *backend, notice time.Duration) {
	made := old.spec
	made.Name += "-new"
	sim.publish(sim.addBackend(made, true), boxlist.Ready, notice)
}
