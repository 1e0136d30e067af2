package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"sloetrestle/brain"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/endpoints"
	"sloetrestle/internal/reach"
)

const (
	service   = "backend.local"
	comeAfter = 450 * time.Millisecond // after a stop, in which the front may still send new connections here
	// After a stop, the streams that still run are left to be gone on with elsewhere: before the kill, and before the next dispatcher
	// of a rolling restart stops, so that somebody is there for their clients.
	moveAfter  = 2400 * time.Millisecond
	yieldAfter = 3200 * time.Millisecond // after a stop, when what has not begun is ended
	restShare  = 0.4                     // of how long boxes keep a connection that rests, after which it is not used
	told       = 10 * time.Second        // between two lines on how things stand
)

// Run serves until the context ends; then it answers what it has and returns. again says when the configuration is to be read anew.
func Run(ctx context.Context, p Place, again <-chan os.Signal, read func() (Place, error), log *slog.Logger, started func(net.Addr)) error {
	room := p.room()
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(room.heap)
	facts := brain.Flat(p.Settings)
	began := time.Now()
	since := func() time.Duration { return time.Since(began) }

	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var trips, group errgroup.Group
	boxes := &reach.Boxes{
		Limit: max(facts.Span("policyLimits.dialTimeoutUs"), 10*time.Millisecond), Most: room.boxes, All: room.boxes, Since: since, Life: life, Group: &trips,
		Bare: true, Rest: time.Duration(restShare * float64(facts.Span("policyLimits.connIdleUs"))),
	}
	trips.Go(boxes.Tend)
	c := &carrier{service: service, boxes: boxes, life: life, group: &trips, hosts: map[*dispatch.Box]*reach.Host{}, calls: make(chan struct{}, letGoMost)}
	for i := range int(facts.Num("report.fields", 0)) {
		c.fields = append(c.fields, facts.Text(fmt.Sprintf("report.fields.%d", i)))
	}
	places := dispatch.Places{
		Zone: func(name string) int { return facts.Index("dcs", name) },
		Kind: func(name string) int { return facts.Index("kinds", name) },
	}
	peers, err := listenPeers(int(facts.Num("slotNo", 0)), p.PeerListen, p.Peers)
	if err != nil {
		return err
	}
	c.tell = peers.tell
	loop, err := dispatch.NewLoop(facts, p.chance(), places, c, since, p.Name, log)
	if err != nil {
		return err
	}
	c.loop = loop
	listener, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return err
	}
	defer listener.Close()

	follower := &endpoints.Follower{Log: log, Since: since, Listed: func(lines []boxlist.Box, whole bool) {
		loop.Post(func() { loop.Listed(lines, whole) })
	}}
	if len(p.Known) > 0 {
		if err := follower.Take(p.Known); err != nil {
			log.Warn("the known list is left out", "error", err)
		}
	}
	follower.Move(p.Discovery)
	group.Go(func() error { return loop.Run(life) })
	group.Go(func() error { return follower.Follow(life) })
	group.Go(func() error { return peers.listen(life, loop) })

	f := &front{
		loop: loop, log: log, service: service, grades: map[string]int{}, tenants: map[string]int{}, ids: map[string]bool{}, cut: make(chan struct{}), refused: map[string]int64{},
		after: facts.Span("policyLimits.maxRetryAfterUs"), open: int64(facts.Num("policyLimits.maxOpen", 1e4)), bodies: room.bodies,
	}
	for i := range int(facts.Num("requestClasses", 0)) {
		f.grades[facts.Text(fmt.Sprintf("requestClasses.%d.name", i))] = i
	}
	for i := range int(facts.Num("tenants", 0)) {
		f.tenants[facts.Text(fmt.Sprintf("tenants.%d.name", i))] = i
	}
	f.answers = func() bool {
		ready := false
		loop.Call(life, func() { ready = loop.Answers() })
		return ready
	}
	g := &gate{Listener: listener, most: room.clients, conns: map[net.Conn]*standing{}}
	f.crowded = g.Crowded
	web := &http.Server{
		Handler: f, ReadHeaderTimeout: headWait, IdleTimeout: restMost, MaxHeaderBytes: chat.HeadMost, ConnState: g.moved,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 1)
	group.Go(func() error {
		if err := web.Serve(g); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
		return nil
	})
	log.Info("serving", "listen", p.Listen, "discovery", p.Discovery, "cores", p.Limits.Cores, "memory_mb", p.Limits.MemoryMB, "sockets", p.Limits.Sockets, "clients", room.clients, "boxes", room.boxes)
	if started != nil {
		started(listener.Addr())
	}
	tick := time.NewTicker(told)
	defer tick.Stop()
	for run := true; run; {
		select {
		case <-ctx.Done():
			run = false
		case err = <-failed:
			run = false
		case <-again:
			next, err := read()
			if err != nil {
				log.Warn("the new configuration is left out", "error", err)
				continue
			}
			log.Info("configuration read anew", "discovery", next.Discovery)
			follower.Move(next.Discovery)
		case <-tick.C:
			tellState(log, loop, c, f, g, peers, follower, life)
		}
	}
	f.stopping.Store(true)
	log.Info("stopping", "open", f.asked.Load())
	if err == nil {
		time.Sleep(comeAfter)
	}
	if facts.Yes("familyInfo.resume") {
		defer time.AfterFunc(moveAfter-comeAfter, func() { close(f.cut) }).Stop()
	}
	defer time.AfterFunc(yieldAfter-comeAfter, func() { loop.Post(loop.Yield) }).Stop()
	web.Shutdown(context.WithoutCancel(ctx)) // waits for every question that is open
	c.settle(time.Second)
	tellState(log, loop, c, f, g, peers, follower, life)
	end()
	peers.close()
	trips.Wait()
	group.Wait()
	return err
}

// settle waits until boxes were told of all releases, or for so long.
func (c *carrier) settle(most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end) && len(c.calls) > 0; {
		time.Sleep(5 * time.Millisecond)
	}
}

func tellState(log *slog.Logger, loop *dispatch.Loop, c *carrier, f *front, g *gate, p *peers, e *endpoints.Follower, life context.Context) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	loop.Call(life, func() {
		t := loop.Tally
		log.Info("state", "taken", t.Taken, "again", f.Again.Load(), "rest", f.Rest.Load(), "moved", f.Moved.Load(), "satisfied", t.Satisfied, "declined", t.Declined, "forfeited", t.Forfeited, "left", t.Left, "overdue", t.Overdue,
			"trips", t.Trips, "outcomes", fmt.Sprint(t.Outcomes), "open", f.asked.Load(), "bodies", f.held.Load(), "clients", g.count(), "pushed", g.Pushed.Load(),
			"waited", g.Waited.Load(), "refused", f.state(), "released", c.Calls.Load(), "unheard", c.Unheard.Load(), "stale", c.Stale.Load(),
			"spoilt", c.Spoilt.Load(), "strange", c.Strange.Load(), "watch_lost", e.Lost(), "strangers", p.Strangers.Load(),
			"heap_kb", m.HeapAlloc>>10, "sys_kb", m.Sys>>10, "goroutines", runtime.NumGoroutine())
	})
}
