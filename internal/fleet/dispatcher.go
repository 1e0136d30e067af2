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

// dispatcher is one dispatcher: the production event loop and scheduler, in virtual time.
type dispatcher struct {
	sim         *simulation
	number      int
	name        string
	loop        *dispatch.Loop
	running     bool
	inRotation  bool
	starts      int
	accounting  *dispatch.Accounting
	lastKnown   map[string]boxlist.Endpoint
	timerDue    time.Duration
	timerSet    bool
	openClients map[*client]bool
	clientOf    map[*dispatch.ClientRequest]*client
}

func (d *dispatcher) start(kept map[string]boxlist.Endpoint) error {
	sim := d.sim
	file := setup.DefaultDispatcherConfig()
	file.Deployment = sim.scenario.Deployment
	file.Instance.Name, file.Instance.Index, file.Instance.FleetSize = d.name, d.number, len(sim.dispatchers)
	file.Instance.FleetSize = max(sim.scenario.Head.Dispatchers, 1)
	file.Instance.Zone = sim.scenario.Zones[d.number%len(sim.scenario.Zones)]
	d.starts++
	seed := sim.scenario.Head.Seed*1000 + uint64(d.number) + 1 + uint64(d.starts-1)*7919
	facts := file.SchedulerParameters()
	loop, err := dispatch.NewLoop(facts, seed, dispatch.Resolver{ZoneNumber: file.ZoneIndex, KindNumber: file.KindIndex}, (*transport)(d), func() time.Duration { return sim.now },
		fmt.Sprintf("%s.%d", d.name, d.starts), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return err
	}
	if sim.policy != "module" && sim.policy != "" {
		p, err := baseline.New(sim.policy, facts, seed, loop)
		if err != nil {
			return err
		}
		p.View = view{sim}
		loop.SetScheduler(p)
	}
	if file.Limits.ThrottleRetries {
		loop.RetryThrottle = storm.New(file.Limits.MaxRetryAfter.Std(), len(file.Tenants), seed^0x5709,
			storm.TicketSigner{Key: []byte("the fleet's"), Issuer: uint32(d.starts)<<16 | uint32(d.number)})
	}
	d.loop, d.running, d.inRotation, d.timerSet, d.accounting = loop, true, true, false, nil
	d.setUpBudgets()
	d.openClients, d.clientOf = map[*client]bool{}, map[*dispatch.ClientRequest]*client{}
	d.lastKnown = map[string]boxlist.Endpoint{}
	sim.addRecord(record.Line{What: record.Up, Dispatcher: d.name})
	if kept != nil {
		d.updateEndpoints(sortedByName(kept), true)
	}
	d.armTimer()
	return nil
}

// runInLoop runs a function in the event loop and re-arms its timer.
func (d *dispatcher) runInLoop(f func()) {
	d.loop.RunTurn(f)
	d.armTimer()
}

func (d *dispatcher) armTimer() {
	due, ok := d.loop.NextTimer()
	if !ok || !d.running {
		return
	}
	due = (due + timerResolution - 1) / timerResolution * timerResolution
	if d.timerSet && d.timerDue <= due {
		return
	}
	d.timerSet, d.timerDue = true, due
	loop := d.loop
	d.sim.schedule(due, func() {
		if d.loop != loop || !d.running || !d.timerSet || d.timerDue != due {
			return
		}
		d.timerSet = false
		loop.RunTimers()
		d.armTimer()
	})
}

// kill ends a dispatcher without a shutdown. Its clients notice at once, the load balancer in front after a while.
func (d *dispatcher) kill() {
	sim := d.sim
	sim.addRecord(record.Line{What: record.Down, Dispatcher: d.name, Word: "killed"})
	d.running = false
	open := make([]*client, 0, len(d.openClients))
	for c := range d.openClients {
		open = append(open, c)
	}
	slices.SortFunc(open, func(a, b *client) int { return strings.Compare(a.id, b.id) })
	for _, c := range open {
		c.loseConnection("the connection broke")
	}
	for _, b := range sim.backendOrder {
		var gone []*attempt
		for t := range b.attempts {
			if t.dispatcher == d {
				gone = append(gone, t)
			}
		}
		slices.SortFunc(gone, func(x, y *attempt) int { return strings.Compare(x.id(), y.id()) })
		for _, t := range gone {
			t.connectionClosed()
		}
	}
	sim.after(sim.scenario.Head.FrontNotice.Std(), func() { d.inRotation = d.inRotation && d.running })
}
