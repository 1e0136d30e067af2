package fleet

import (
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/day"
	"sloetrestle/internal/record"
)

func (w *simulation) affectedBackends(t day.Trouble) []*backend {
	var hit []*backend
	for _, b := range w.backendOrder {
		if slices.ContainsFunc(t.Boxes, func(n string) bool { return n == b.spec.Name || n == b.spec.Kind }) {
			hit = append(hit, b)
		}
	}
	return hit
}

// inject begins a fault and sets its end. Those of the requests themselves are in the plan; those of single addresses
// have no meaning without sockets.
func (w *simulation) inject(t day.Trouble) {
	w.addRecord(record.Line{What: record.Note, Word: t.Kind + " begins"})
	hit, length, notice := w.affectedBackends(t), t.Length.Std(), w.scenario.List.Notice.Std()
	each := func(do func(*backend)) {
		for _, b := range hit {
			do(b)
		}
	}
	back := func() {
		each(func(b *backend) {
			if !b.running {
				b.start(true)
				w.publish(b, boxlist.Ready, notice)
				b.runSteps()
			}
		})
	}
	later := func(do func()) { w.after(length, do) }
	switch t.Kind {
	case "slow":
		each(func(b *backend) { b.engine.Slowdown = t.Size })
		later(func() { each(func(b *backend) { b.engine.Slowdown = 0 }) })
	case "neighbour":
		each(func(b *backend) { b.engine.NeighbourShare = t.Share })
		later(func() { each(func(b *backend) { b.engine.NeighbourShare = 0 }) })
	case "ageing":
		each(func(b *backend) { b.engine.SetAgingRate(w.now, t.Share) })
		later(func() {
			each(func(b *backend) { b.kill("aged"); w.publish(b, boxlist.Removed, w.scenario.List.Silent.Std()) })
			w.after(2*time.Second, back)
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
			w.publish(b, boxlist.Draining, notice)
			w.startReplacement(b, notice)
		})
		later(func() { each(func(b *backend) { b.kill("replaced"); w.publish(b, boxlist.Removed, notice) }) })
	case "connect_late":
		w.slowConnectShare, w.slowConnectMax = t.Share, t.By.Std()
		later(func() { w.slowConnectShare = 0 })
	case "list_down":
		w.discoveryDownUntil = w.now + length
	case "list_gap":
		w.dropNextUpdate = true
	case "no_cancel", "leave", "give_up", "burst", "shared_text", "long_prompts": // of the boxes' make, or of the questions' plan
	case "forget":
		each(func(b *backend) { b.engine.DropCache() })
	case "crash":
		each(func(b *backend) {
			b.kill("crashed")
			if silent := w.scenario.List.Silent.Std(); length > silent {
				w.publish(b, boxlist.Removed, silent)
			}
		})
		later(back)
	case "restart":
		each(func(b *backend) { b.kill("restarted") })
		back()
	case "drain":
		each(func(b *backend) { w.publish(b, boxlist.Draining, notice) })
		later(func() {
			each(func(b *backend) { b.kill("drained"); w.publish(b, boxlist.Removed, notice) })
			w.after(time.Second, back)
		})
	case "list_stale":
		w.discoveryDelay = t.By.Std()
		later(func() { w.discoveryDelay = 0 })
	case "link_slow":
		w.linkSlowdown = t.Size
		later(func() { w.linkSlowdown = 1 })
	case "kill_dispatcher":
		for _, n := range t.Dispatchers {
			w.dispatchers[n].kill()
		}
		later(func() {
			for _, n := range t.Dispatchers {
				d := w.dispatchers[n]
				d.start(d.lastKnown)
			}
		})
	default: // of sockets and processes
		w.addRecord(record.Line{What: record.Note, Word: t.Kind + " is not played here"})
	}
	if !strings.HasPrefix(t.Kind, "address_") {
		later(func() { w.addRecord(record.Line{What: record.Note, Word: t.Kind + " ends"}) })
	}
}

// replace starts a new backend in the place of one that drains: alike, with a name of its own, and cold.
func (w *simulation) startReplacement(old *backend, notice time.Duration) {
	made := old.spec
	made.Name += "-new"
	w.publish(w.addBackend(made, true), boxlist.Ready, notice)
}
