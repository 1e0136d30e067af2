package day

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/fakes"
	"sloetrestle/internal/record"
)

// hitBackends lists the backends that a fault names, in the order of the scenario.
func (r *runner) hitBackends(f Fault) []*fakes.Backend {
	var hit []*fakes.Backend
	for _, name := range r.scenario.names() {
		if slices.ContainsFunc(f.Backends, func(b string) bool { return b == name || isOfKind(name, b) }) {
			hit = append(hit, r.backends[name])
		}
	}
	return hit
}

// inject begins a fault, waits for its duration, and ends it. Faults of the requests themselves are part of the plan.
// wait waits until a time after the fault's start and returns false if the run ends before.
func (r *runner) inject(ctx context.Context, fault Fault, wait func(time.Duration) bool) error {
	r.recorder.Record(record.Event{Kind: record.Note, Detail: fault.Kind + " begins"})
	r.printf("        %s begins", fault.Kind)
	hit, duration := r.hitBackends(fault), fault.Duration.Std()
	setFaults := func(change func(*fakes.Faults)) {
		for _, b := range hit {
			b.UpdateFaults(change)
		}
	}
	var err error
	switch fault.Kind {
	case "slow":
		setFaults(func(f *fakes.Faults) { f.SlowFactor = fault.Factor })
		wait(duration)
		setFaults(func(f *fakes.Faults) { f.SlowFactor = 0 })
	case "failing", "grade_failing":
		setFaults(func(f *fakes.Faults) { f.ErrorShare, f.ErrorClass = fault.Share, fault.Class })
		wait(duration)
		setFaults(func(f *fakes.Faults) { f.ErrorShare = 0 })
	case "hang":
		setFaults(func(f *fakes.Faults) { f.Hang = true })
		wait(duration)
		setFaults(func(f *fakes.Faults) { f.Hang = false })
	case "reset":
		setFaults(func(f *fakes.Faults) { f.ResetShare = fault.Share })
		wait(duration)
		setFaults(func(f *fakes.Faults) { f.ResetShare = 0 })
	case "reset_running":
		setFaults(func(f *fakes.Faults) { f.EarlyResetShare = fault.Share })
		wait(duration)
		setFaults(func(f *fakes.Faults) { f.EarlyResetShare = 0 })
	case "no_cancel":
		setFaults(func(f *fakes.Faults) { f.IgnoreCancel = true })
		wait(duration)
		setFaults(func(f *fakes.Faults) { f.IgnoreCancel = false })
	case "neighbour":
		setFaults(func(f *fakes.Faults) { f.NeighbourShare = fault.Share })
		wait(duration)
		setFaults(func(f *fakes.Faults) { f.NeighbourShare = 0 })
	case "evict_fresh":
		setFaults(func(f *fakes.Faults) { f.EvictFetched = true })
		wait(duration)
		setFaults(func(f *fakes.Faults) { f.EvictFetched = false })
	case "ageing":
		setFaults(func(f *fakes.Faults) { f.AgingRate = fault.Share })
		wait(duration)
		setFaults(func(f *fakes.Faults) { f.AgingRate = 0 })
		for _, b := range hit {
			r.crash(b, "aged", time.Hour)
		}
		wait(duration + 2*time.Second)
		err = r.restartBackends(hit)
	case "forget":
		for _, b := range hit {
			b.DropCache()
		}
	case "crash":
		for _, b := range hit {
			r.crash(b, "crashed", duration)
		}
		wait(duration)
		err = r.restartBackends(hit)
	case "crash_after_read":
		setFaults(func(f *fakes.Faults) { f.CrashAfterPrefillShare = fault.Share })
		err = r.restartCrashing(hit, duration, wait)
	case "restart":
		for _, b := range hit {
			b.Kill("restarted")
		}
		err = r.restartBackends(hit)
	case "drain":
		for _, b := range hit {
			r.discovery.Publish(b, endpointlist.Draining, r.scenario.Discovery.NoticeDelay.Std())
		}
		wait(duration)
		for _, b := range hit {
			b.Kill("drained")
			r.discovery.Publish(b, endpointlist.Removed, r.scenario.Discovery.NoticeDelay.Std())
		}
		wait(duration + time.Second)
		err = r.restartBackends(hit)
	case "list_stale":
		r.discovery.SetDelay(fault.Delay.Std())
		wait(duration)
		r.discovery.SetDelay(0)
	case "list_gap":
		r.discovery.DropNextPush()
	case "list_down":
		r.discovery.Stop()
		wait(duration)
		err = r.discovery.Start()
	case "link_slow":
		r.fleet.SetLinkSlowdown(fault.Factor)
		wait(duration)
		r.fleet.SetLinkSlowdown(1)
	case "kill_dispatcher", "stop_dispatcher":
		err = r.restartDispatchers(ctx, fault, wait)
	default:
		if mode, ok := strings.CutPrefix(fault.Kind, "address_"); ok {
			err = r.injectAddressFault(fault, mode, hit, func() { wait(duration) })
		} else {
			wait(duration)
		}
	}
	r.recorder.Record(record.Event{Kind: record.Note, Detail: fault.Kind + " ends"})
	r.printf("        %s ends", fault.Kind)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// crash kills a backend. Service discovery notices after its delay, unless the backend is back before.
func (r *runner) crash(b *fakes.Backend, reason string, downtime time.Duration) {
	b.Kill(reason)
	if delay := r.scenario.Discovery.FailureNoticeDelay.Std(); downtime > delay {
		r.discovery.Publish(b, endpointlist.Removed, delay)
	}
}

// restartBackends starts the backends that are down, cold. Service discovery reports them after its delay.
func (r *runner) restartBackends(backends []*fakes.Backend) error {
	for _, b := range backends {
		if b.Up() {
			continue
		}
		if err := b.Boot(true); err != nil {
			return err
		}
		r.discovery.Publish(b, endpointlist.Ready, r.scenario.Discovery.NoticeDelay.Std())
	}
	return nil
}

// restartCrashing restarts backends that die one by one, each a fixed time after its death.
func (r *runner) restartCrashing(hit []*fakes.Backend, duration time.Duration, wait func(time.Duration) bool) error {
	const step = 50 * time.Millisecond
	const downtime = time.Second
	downSince := map[*fakes.Backend]time.Duration{}
	for elapsed := time.Duration(0); elapsed < duration+downtime+step; elapsed += step {
		if !wait(elapsed) {
			return nil
		}
		if elapsed >= duration {
			for _, b := range hit {
				b.UpdateFaults(func(f *fakes.Faults) { f.CrashAfterPrefillShare = 0 })
			}
		}
		for _, b := range hit {
			since, known := downSince[b]
			switch {
			case b.Up():
				delete(downSince, b)
			case !known:
				downSince[b] = elapsed
			case elapsed-since >= downtime:
				if err := r.restartBackends([]*fakes.Backend{b}); err != nil {
					return err
				}
			}
		}
	}
	return r.restartBackends(hit)
}

// restartDispatchers ends dispatchers, all at once, and restarts them after the fault's duration.
func (r *runner) restartDispatchers(ctx context.Context, fault Fault, wait func(time.Duration) bool) error {
	var pending sync.WaitGroup
	for _, n := range fault.Dispatchers {
		p := r.dispatchers[n]
		pending.Add(1)
		go func() {
			defer pending.Done()
			if fault.Kind == "kill_dispatcher" {
				r.kill(p)
			} else {
				r.stop(p)
			}
		}()
	}
	pending.Wait()
	if !wait(fault.Duration.Std()) {
		return nil
	}
	for _, n := range fault.Dispatchers {
		if err := r.start(ctx, r.dispatchers[n]); err != nil {
			return err
		}
	}
	return nil
}

// injectAddressFault begins a fault of single addresses of backends, waits, and ends it.
func (r *runner) injectAddressFault(fault Fault, mode string, hit []*fakes.Backend, wait func()) error {
	forEach := func(do func(b *fakes.Backend, i int) error) error {
		var errs []error
		for _, b := range hit {
			for _, i := range fault.Addresses {
				errs = append(errs, do(b, i))
			}
		}
		return errors.Join(errs...)
	}
	switch mode {
	case fakes.EndpointSwapped:
		if len(hit) < 2 {
			return nil
		}
		swap := func() {
			for _, i := range fault.Addresses {
				hit[0].Endpoint(i).Swap(hit[1].Endpoint(i))
			}
		}
		swap()
		wait()
		swap()
		return nil
	case "drop":
		for _, b := range hit {
			r.discovery.OmitAddresses(b, fault.Addresses)
			r.discovery.Publish(b, endpointlist.Ready, r.scenario.Discovery.NoticeDelay.Std())
		}
		wait()
		for _, b := range hit {
			r.discovery.OmitAddresses(b, nil)
			r.discovery.Publish(b, endpointlist.Ready, r.scenario.Discovery.NoticeDelay.Std())
		}
		return nil
	}
	err := forEach(func(b *fakes.Backend, i int) error {
		return b.Endpoint(i).SetMode(mode, fault.Delay.Std(), fault.Bytes)
	})
	wait()
	return errors.Join(err,
		forEach(func(b *fakes.Backend, i int) error { return b.Endpoint(i).SetMode(fakes.EndpointServes, 0, 0) }))
}
