package fleet

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/baseline"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/record"
	"sloetrestle/internal/retrythrottle"
	"sloetrestle/internal/setup"
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
	lastKnown   map[string]endpointlist.Endpoint
	timerDue    time.Duration
	timerSet    bool
	openClients map[*client]bool
	clientOf    map[*dispatch.ClientRequest]*client
}

func (d *dispatcher) start(endpoints map[string]endpointlist.Endpoint) error {
	sim := d.sim
	config := setup.DefaultDispatcherConfig()
	config.Deployment = sim.scenario.Deployment
	config.Instance.Name, config.Instance.Index, config.Instance.FleetSize = d.name, d.number, len(sim.dispatchers)
	config.Instance.FleetSize = max(sim.scenario.Header.Dispatchers, 1)
	config.Instance.Zone = sim.scenario.Zones[d.number%len(sim.scenario.Zones)]
	d.starts++
	seed := sim.scenario.Header.Seed*1000 + uint64(d.number) + 1 + uint64(d.starts-1)*7919
	parameters := config.SchedulerParameters()
	loop, err := dispatch.NewLoop(parameters, seed, dispatch.Resolver{ZoneNumber: config.ZoneIndex,
		KindNumber: config.KindIndex}, (*transport)(d), func() time.Duration { return sim.now },
		fmt.Sprintf("%s.%d", d.name, d.starts), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return err
	}
	if sim.policy != "module" && sim.policy != "" {
		policy, err := baseline.New(sim.policy, parameters, seed, loop)
		if err != nil {
			return err
		}
		policy.View = view{sim}
		loop.SetScheduler(policy)
	}
	if config.Limits.ThrottleRetries {
		loop.RetryThrottle = retrythrottle.New(config.Limits.MaxRetryAfter.Std(), len(config.Tenants), seed^0x5709,
			retrythrottle.TicketSigner{Key: []byte("the fleet's"), Issuer: uint32(d.starts)<<16 | uint32(d.number)})
	}
	d.loop, d.running, d.inRotation, d.timerSet, d.accounting = loop, true, true, false, nil
	d.setUpBudgets()
	d.openClients, d.clientOf = map[*client]bool{}, map[*dispatch.ClientRequest]*client{}
	d.lastKnown = map[string]endpointlist.Endpoint{}
	sim.addRecord(record.Event{Kind: record.ProcessStarted, Dispatcher: d.name})
	if endpoints != nil {
		d.updateEndpoints(sortedByName(endpoints), true)
	}
	d.armTimer()
	return nil
}

// runInLoop runs a function in the event loop and re-arms its timer.
func (d *dispatcher) runInLoop(turn func()) {
	d.loop.RunTurn(turn)
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
	sim.addRecord(record.Event{Kind: record.ProcessEnded, Dispatcher: d.name, Detail: "killed"})
	d.running = false
	clients := make([]*client, 0, len(d.openClients))
	for c := range d.openClients {
		clients = append(clients, c)
	}
	slices.SortFunc(clients, func(a, b *client) int { return strings.Compare(a.id, b.id) })
	for _, c := range clients {
		c.loseConnection("the connection broke")
	}
	for _, b := range sim.backendOrder {
		var attempts []*attempt
		for t := range b.attempts {
			if t.dispatcher == d {
				attempts = append(attempts, t)
			}
		}
		slices.SortFunc(attempts, func(x, y *attempt) int { return strings.Compare(x.id(), y.id()) })
		for _, t := range attempts {
			t.connectionClosed()
		}
	}
	sim.after(sim.scenario.Header.LoadBalancerNotice.Std(), func() { d.inRotation = d.inRotation && d.running })
}
