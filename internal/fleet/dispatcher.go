package fleet

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/baseline"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/storm"
)

// dispatcher is the real loop with the real module, in virtual time.
type dispatcher struct {
	w      *world
	number int
	name   string
	loop   *dispatch.Loop
	up     bool
	front  bool
	starts int
	books  *dispatch.Accounting
	known  map[string]boxlist.Endpoint
	due    time.Duration
	set    bool
	open   map[*client]bool
	of     map[*dispatch.ClientRequest]*client
}

func (d *dispatcher) boot(kept map[string]boxlist.Endpoint) error {
	w := d.w
	file := setup.DefaultDispatcherConfig()
	file.Deployment = w.day.Deployment
	file.Instance.Name, file.Instance.Index, file.Instance.FleetSize = d.name, d.number, len(w.dispatchers)
	file.Instance.FleetSize = max(w.day.Header.Dispatchers, 1)
	file.Instance.Zone = w.day.Zones[d.number%len(w.day.Zones)]
	d.starts++
	seed := w.day.Header.Seed*1000 + uint64(d.number) + 1 + uint64(d.starts-1)*7919
	facts := file.SchedulerParameters()
	loop, err := dispatch.NewLoop(facts, seed, dispatch.Resolver{ZoneNumber: file.ZoneIndex, KindNumber: file.KindIndex}, (*transport)(d), func() time.Duration { return w.now },
		fmt.Sprintf("%s.%d", d.name, d.starts), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return err
	}
	if w.policy != "module" && w.policy != "" {
		p, err := baseline.New(w.policy, facts, seed, loop)
		if err != nil {
			return err
		}
		p.View = view{w}
		loop.SetScheduler(p)
	}
	if file.Limits.ThrottleRetries {
		loop.RetryThrottle = storm.New(file.Limits.MaxRetryAfter.Std(), len(file.Tenants), seed^0x5709,
			storm.TicketSigner{Key: []byte("the fleet's"), Issuer: uint32(d.starts)<<16 | uint32(d.number)})
	}
	d.loop, d.up, d.front, d.set, d.books = loop, true, true, false, nil
	d.budgets()
	d.open, d.of = map[*client]bool{}, map[*dispatch.ClientRequest]*client{}
	d.known = map[string]boxlist.Endpoint{}
	w.put(record.Event{Kind: record.ProcessStarted, Dispatcher: d.name})
	if kept != nil {
		d.hear(byName(kept), true)
	}
	d.armTimer()
	return nil
}

// do runs one thing in the loop, and winds its timers.
func (d *dispatcher) do(f func()) {
	d.loop.RunTurn(f)
	d.armTimer()
}

func (d *dispatcher) armTimer() {
	due, ok := d.loop.NextTimer()
	if !ok || !d.up {
		return
	}
	due = (due + beat - 1) / beat * beat
	if d.set && d.due <= due {
		return
	}
	d.set, d.due = true, due
	loop := d.loop
	d.w.at(due, func() {
		if d.loop != loop || !d.up || !d.set || d.due != due {
			return
		}
		d.set = false
		loop.RunTimers()
		d.armTimer()
	})
}

// kill ends a dispatcher outright; its clients notice at once, the front after a while.
func (d *dispatcher) kill() {
	w := d.w
	w.put(record.Event{Kind: record.ProcessEnded, Dispatcher: d.name, Detail: "killed"})
	d.up = false
	open := make([]*client, 0, len(d.open))
	for c := range d.open {
		open = append(open, c)
	}
	slices.SortFunc(open, func(a, b *client) int { return strings.Compare(a.id, b.id) })
	for _, c := range open {
		c.cut("the connection broke")
	}
	for _, b := range w.order {
		var gone []*attempt
		for t := range b.trips {
			if t.from == d {
				gone = append(gone, t)
			}
		}
		slices.SortFunc(gone, func(x, y *attempt) int { return strings.Compare(x.id(), y.id()) })
		for _, t := range gone {
			t.closed()
		}
	}
	w.after(w.day.Header.LoadBalancerNotice.Std(), func() { d.front = d.front && d.up })
}
