package day

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/record"
	"sloetrestle/internal/standin"
)

// hit lists the boxes that a trouble names, in the order of their names.
func (r *run) hit(t Fault) []*standin.Backend {
	var hit []*standin.Backend
	for _, name := range r.day.names() {
		if slices.ContainsFunc(t.Backends, func(b string) bool { return b == name || isOf(name, b) }) {
			hit = append(hit, r.boxes[name])
		}
	}
	return hit
}

// trouble begins a trouble, waits for its length, and ends it. Those of the questions themselves are in the plan.
func (r *run) trouble(ctx context.Context, t Fault, wait func(time.Duration) bool) error {
	r.book.Record(record.Event{Kind: record.Note, Detail: t.Kind + " begins"})
	r.say("        %s begins", t.Kind)
	hit, length := r.hit(t), t.Duration.Std()
	faults := func(change func(*standin.Faults)) {
		for _, b := range hit {
			b.UpdateFaults(change)
		}
	}
	var err error
	switch t.Kind {
	case "slow":
		faults(func(f *standin.Faults) { f.SlowFactor = t.Factor })
		wait(length)
		faults(func(f *standin.Faults) { f.SlowFactor = 0 })
	case "failing", "grade_failing":
		faults(func(f *standin.Faults) { f.ErrorShare, f.ErrorClass = t.Share, t.Class })
		wait(length)
		faults(func(f *standin.Faults) { f.ErrorShare = 0 })
	case "hang":
		faults(func(f *standin.Faults) { f.Hang = true })
		wait(length)
		faults(func(f *standin.Faults) { f.Hang = false })
	case "reset":
		faults(func(f *standin.Faults) { f.ResetShare = t.Share })
		wait(length)
		faults(func(f *standin.Faults) { f.ResetShare = 0 })
	case "reset_running":
		faults(func(f *standin.Faults) { f.EarlyResetShare = t.Share })
		wait(length)
		faults(func(f *standin.Faults) { f.EarlyResetShare = 0 })
	case "no_cancel":
		faults(func(f *standin.Faults) { f.IgnoreCancel = true })
		wait(length)
		faults(func(f *standin.Faults) { f.IgnoreCancel = false })
	case "neighbour":
		faults(func(f *standin.Faults) { f.NeighbourShare = t.Share })
		wait(length)
		faults(func(f *standin.Faults) { f.NeighbourShare = 0 })
	case "evict_fresh":
		faults(func(f *standin.Faults) { f.EvictFetched = true })
		wait(length)
		faults(func(f *standin.Faults) { f.EvictFetched = false })
	case "ageing":
		faults(func(f *standin.Faults) { f.AgingRate = t.Share })
		wait(length)
		faults(func(f *standin.Faults) { f.AgingRate = 0 })
		for _, b := range hit {
			r.lose(b, "aged", time.Hour)
		}
		wait(length + 2*time.Second)
		err = r.back(hit)
	case "forget":
		for _, b := range hit {
			b.DropCache()
		}
	case "crash":
		for _, b := range hit {
			r.lose(b, "crashed", length)
		}
		wait(length)
		err = r.back(hit)
	case "crash_after_read":
		faults(func(f *standin.Faults) { f.CrashAfterPrefillShare = t.Share })
		err = r.crashing(hit, length, wait)
	case "restart":
		for _, b := range hit {
			b.Kill("restarted")
		}
		err = r.back(hit)
	case "drain":
		for _, b := range hit {
			r.list.Publish(b, boxlist.Draining, r.day.Discovery.NoticeDelay.Std())
		}
		wait(length)
		for _, b := range hit {
			b.Kill("drained")
			r.list.Publish(b, boxlist.Removed, r.day.Discovery.NoticeDelay.Std())
		}
		wait(length + time.Second)
		err = r.back(hit)
	case "list_stale":
		r.list.SetDelay(t.Delay.Std())
		wait(length)
		r.list.SetDelay(0)
	case "list_gap":
		r.list.DropNextPush()
	case "list_down":
		r.list.Stop()
		wait(length)
		err = r.list.Start()
	case "link_slow":
		r.fleet.SetLinkSlowdown(t.Factor)
		wait(length)
		r.fleet.SetLinkSlowdown(1)
	case "kill_dispatcher", "stop_dispatcher":
		err = r.restart(ctx, t, wait)
	default:
		if mode, ok := strings.CutPrefix(t.Kind, "address_"); ok {
			err = r.addressTrouble(t, mode, hit, func() { wait(length) })
		} else {
			wait(length)
		}
	}
	r.book.Record(record.Event{Kind: record.Note, Detail: t.Kind + " ends"})
	r.say("        %s ends", t.Kind)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// lose kills a box; the list notices after a while, unless it is back before.
func (r *run) lose(b *standin.Backend, why string, away time.Duration) {
	b.Kill(why)
	if silent := r.day.Discovery.FailureNoticeDelay.Std(); away > silent {
		r.list.Publish(b, boxlist.Removed, silent)
	}
}

// back starts boxes cold; the list tells of it as late as it is.
func (r *run) back(boxes []*standin.Backend) error {
	for _, b := range boxes {
		if b.Up() {
			continue
		}
		if err := b.Boot(true); err != nil {
			return err
		}
		r.list.Publish(b, boxlist.Ready, r.day.Discovery.NoticeDelay.Std())
	}
	return nil
}

// crashing brings boxes that die one by one back, each a while after its death.
func (r *run) crashing(hit []*standin.Backend, length time.Duration, wait func(time.Duration) bool) error {
	const step = 50 * time.Millisecond
	const away = time.Second
	down := map[*standin.Backend]time.Duration{}
	for at := time.Duration(0); at < length+away+step; at += step {
		if !wait(at) {
			return nil
		}
		if at >= length {
			for _, b := range hit {
				b.UpdateFaults(func(f *standin.Faults) { f.CrashAfterPrefillShare = 0 })
			}
		}
		for _, b := range hit {
			since, known := down[b]
			switch {
			case b.Up():
				delete(down, b)
			case !known:
				down[b] = at
			case at-since >= away:
				if err := r.back([]*standin.Backend{b}); err != nil {
					return err
				}
			}
		}
	}
	return r.back(hit)
}

// restart ends dispatchers and starts them anew, all at once.
func (r *run) restart(ctx context.Context, t Fault, wait func(time.Duration) bool) error {
	var all sync.WaitGroup
	for _, n := range t.Dispatchers {
		p := r.dispatchers[n]
		all.Add(1)
		go func() {
			defer all.Done()
			if t.Kind == "kill_dispatcher" {
				r.kill(p)
			} else {
				r.stop(p)
			}
		}()
	}
	all.Wait()
	if !wait(t.Duration.Std()) {
		return nil
	}
	for _, n := range t.Dispatchers {
		if err := r.start(ctx, r.dispatchers[n]); err != nil {
			return err
		}
	}
	return nil
}

// addressTrouble lets single addresses of boxes go wrong.
func (r *run) addressTrouble(t Fault, mode string, hit []*standin.Backend, wait func()) error {
	each := func(do func(b *standin.Backend, i int) error) error {
		var errs []error
		for _, b := range hit {
			for _, i := range t.Addresses {
				errs = append(errs, do(b, i))
			}
		}
		return errors.Join(errs...)
	}
	switch mode {
	case standin.EndpointSwapped:
		if len(hit) < 2 {
			return nil
		}
		swap := func() {
			for _, i := range t.Addresses {
				hit[0].Endpoint(i).Swap(hit[1].Endpoint(i))
			}
		}
		swap()
		wait()
		swap()
		return nil
	case "drop":
		for _, b := range hit {
			r.list.OmitAddresses(b, t.Addresses)
			r.list.Publish(b, boxlist.Ready, r.day.Discovery.NoticeDelay.Std())
		}
		wait()
		for _, b := range hit {
			r.list.OmitAddresses(b, nil)
			r.list.Publish(b, boxlist.Ready, r.day.Discovery.NoticeDelay.Std())
		}
		return nil
	}
	err := each(func(b *standin.Backend, i int) error { return b.Endpoint(i).SetMode(mode, t.Delay.Std(), t.Bytes) })
	wait()
	return errors.Join(err, each(func(b *standin.Backend, i int) error { return b.Endpoint(i).SetMode(standin.EndpointServes, 0, 0) }))
}
