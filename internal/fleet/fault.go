package fleet

import (
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/day"
	"sloetrestle/internal/record"
)

func (w *world) hit(t day.Fault) []*backend {
	var hit []*backend
	for _, b := range w.order {
		if slices.ContainsFunc(t.Backends, func(n string) bool { return n == b.make.Name || n == b.make.Kind }) {
			hit = append(hit, b)
		}
	}
	return hit
}

// inject begins a fault and sets its end. Those of the requests themselves are in the plan; those of single addresses
// have no meaning without sockets.
func (w *world) inject(t day.Fault) {
	w.put(record.Event{Kind: record.Note, Detail: t.Kind + " begins"})
	hit, length, notice := w.hit(t), t.Duration.Std(), w.day.Discovery.NoticeDelay.Std()
	each := func(do func(*backend)) {
		for _, b := range hit {
			do(b)
		}
	}
	back := func() {
		each(func(b *backend) {
			if !b.up {
				b.boot(true)
				w.publish(b, boxlist.Ready, notice)
				b.kick()
			}
		})
	}
	later := func(do func()) { w.after(length, do) }
	switch t.Kind {
	case "slow":
		each(func(b *backend) { b.engine.Slowdown = t.Factor })
		later(func() { each(func(b *backend) { b.engine.Slowdown = 0 }) })
	case "neighbour":
		each(func(b *backend) { b.engine.NeighbourShare = t.Share })
		later(func() { each(func(b *backend) { b.engine.NeighbourShare = 0 }) })
	case "ageing":
		each(func(b *backend) { b.engine.SetAgingRate(w.now, t.Share) })
		later(func() {
			each(func(b *backend) {
				b.kill("aged")
				w.publish(b, boxlist.Removed, w.day.Discovery.FailureNoticeDelay.Std())
			})
			w.after(2*time.Second, back)
		})
	case "evict_fresh":
		each(func(b *backend) { b.engine.EvictFresh = true })
		later(func() { each(func(b *backend) { b.engine.EvictFresh = false }) })
	case "failing", "grade_failing":
		each(func(b *backend) { b.fail, b.failOf = t.Share, t.Class })
		later(func() { each(func(b *backend) { b.fail = 0 }) })
	case "hang":
		each(func(b *backend) { b.hang = true })
		later(func() { each(func(b *backend) { b.hang = false }) })
	case "reset":
		each(func(b *backend) { b.resets = t.Share })
		later(func() { each(func(b *backend) { b.resets = 0 }) })
	case "reset_running":
		each(func(b *backend) { b.cuts = t.Share })
		later(func() { each(func(b *backend) { b.cuts = 0 }) })
	case "crash_after_read":
		each(func(b *backend) { b.crashes = t.Share })
		later(func() { each(func(b *backend) { b.crashes = 0 }); back() })
	case "replace":
		each(func(b *backend) {
			w.publish(b, boxlist.Draining, notice)
			w.replace(b, notice)
		})
		later(func() { each(func(b *backend) { b.kill("replaced"); w.publish(b, boxlist.Removed, notice) }) })
	case "connect_late":
		w.lateShare, w.lateBy = t.Share, t.Delay.Std()
		later(func() { w.lateShare = 0 })
	case "list_down":
		w.downList = w.now + length
	case "list_gap":
		w.skipList = true
	case "no_cancel", "leave", "give_up", "burst", "shared_text", "long_prompts": // of the boxes' make, or of the questions' plan
	case "forget":
		each(func(b *backend) { b.engine.DropCache() })
	case "crash":
		each(func(b *backend) {
			b.kill("crashed")
			if silent := w.day.Discovery.FailureNoticeDelay.Std(); length > silent {
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
		w.lateList = t.Delay.Std()
		later(func() { w.lateList = 0 })
	case "link_slow":
		w.slowLink = t.Factor
		later(func() { w.slowLink = 1 })
	case "kill_dispatcher":
		for _, n := range t.Dispatchers {
			w.dispatchers[n].kill()
		}
		later(func() {
			for _, n := range t.Dispatchers {
				d := w.dispatchers[n]
				d.boot(d.known)
			}
		})
	default: // of sockets and processes
		w.put(record.Event{Kind: record.Note, Detail: t.Kind + " is not played here"})
	}
	if !strings.HasPrefix(t.Kind, "address_") {
		later(func() { w.put(record.Event{Kind: record.Note, Detail: t.Kind + " ends"}) })
	}
}

// replace starts a new backend in the place of one that drains: alike, with a name of its own, and cold.
func (w *world) replace(old *backend, notice time.Duration) {
	made := old.make
	made.Name += "-new"
	w.publish(w.add(made, true), boxlist.Ready, notice)
}
