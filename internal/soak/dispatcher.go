package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sloetrestle/internal/hosts"
	"sloetrestle/internal/system"
)

// dispatcher is one dispatcher, process after process.
type dispatcher struct {
	run          *run
	number       int
	listen       string
	peer         string
	configFile   string
	shimListener net.Listener
	configMu     sync.Mutex // held while the configuration is written

	mu      sync.Mutex
	cmd     *exec.Cmd
	process *process
	shims   net.Conn // of the present process
	ready   bool
	starts  int
	exited  chan struct{}
}

const (
	readyLimit   = 10 * time.Second
	routingLag   = 300 * time.Millisecond // for which the front still opens connections to one that stops
	restartDelay = 200 * time.Millisecond // between two processes
	burstSize    = 6                      // reloads in a burst
)

// Ports of dispatchers are below those that the system gives to outgoing connections: one of these may else take a dispatcher's while
// it restarts.
const (
	minPort   = 20_000
	maxPort   = 32_000
	portTries = 200
)

// addresses hands out addresses that nobody listens at, each once.
type portAllocator struct{ used map[int]bool }

func (a *portAllocator) free() (at string, err error) {
	for range portTries {
		port := minPort + rand.IntN(maxPort-minPort)
		if a.used[port] {
			continue
		}
		at = fmt.Sprintf("127.0.0.1:%d", port)
		l, listening := net.Listen("tcp", at)
		if err = listening; err == nil {
			l.Close()
			a.used[port] = true
			return at, nil
		}
	}
	return "", err
}

// configure writes the configuration, whole or only the first half of it.
func (d *dispatcher) configure(discovery string, half bool) error {
	var settings map[string]any
	if err := json.Unmarshal([]byte(hosts.Settings), &settings); err != nil {
		return err
	}
	settings["siblings"], settings["slotNo"] = float64(d.run.options.Processes), float64(d.number)
	settings["policyLimits"].(map[string]any)["peers"] = true
	for i, c := range d.run.variant.classes {
		stated := settings["requestClasses"].([]any)[i].(map[string]any)
		stated["giveUpUs"], stated["effect"] = float64(c.deadline.Microseconds()), c.effect()
		if c.dedupWindow > 0 {
			stated["windowUs"], stated["group"] = float64(c.dedupWindow.Microseconds()), "all"
		}
	}
	settings["familyInfo"].(map[string]any)["pinLimitUs"] = float64(d.run.variant.cacheTimeout.Microseconds())
	var peers []string
	for _, o := range d.run.dispatchers {
		peers = append(peers, o.peer)
	}
	agent := d.run.discovery.agents[d.number]
	agent.mu.Lock()
	known := json.RawMessage(agent.fullList())
	agent.mu.Unlock()
	raw, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", d.number), "listen": d.listen, "discovery": discovery, "seed": fmt.Sprintf("%x", d.run.options.Seed+uint64(d.number)),
		"limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": 512}, "peer_listen": d.peer, "peers": peers, "known": known, "settings": settings,
	})
	if err != nil {
		return err
	}
	if half {
		raw = raw[:len(raw)/2]
	}
	d.configMu.Lock()
	defer d.configMu.Unlock()
	return os.WriteFile(d.configFile, raw, 0o600)
}

// start starts a process and waits until it is ready.
func (d *dispatcher) start(ctx context.Context) error {
	o, record := d.run.options, d.run.record
	log, err := os.Create(filepath.Join(d.run.dir, fmt.Sprintf("n%d-%d.log", d.number, d.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(o.Command[0], o.Command[1:]...)
	cmd.Env = append(append(os.Environ(), o.Env...), "BALANCER_CONFIG="+d.configFile, ControlVariable+"="+d.shimListener.Addr().String())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	l := &process{dispatcher: d.number, started: record.now()}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.process, d.exited, d.ready = cmd, l, exited, false
	d.starts++
	d.mu.Unlock()
	record.with(func() { record.processes = append(record.processes, l) })
	d.run.group.Go(func() error {
		defer log.Close()
		defer close(exited)
		err := cmd.Wait()
		d.mu.Lock()
		d.ready = false
		d.mu.Unlock()
		record.with(func() {
			l.ended = record.now()
			if err != nil && !l.killed || l.terminatedAt == 0 && !l.killed {
				l.crashed = fmt.Sprintf("it ended by itself: %v", err)
			}
		})
		return nil
	})
	d.run.group.Go(func() error { d.acceptShims(); return nil })
	return d.awaitReady(ctx, l, exited)
}

// takeShims takes the connection of the process's shims.
func (d *dispatcher) acceptShims() {
	d.shimListener.(*net.TCPListener).SetDeadline(time.Now().Add(readyLimit))
	c, err := d.shimListener.Accept()
	if err != nil {
		return
	}
	d.mu.Lock()
	if d.shims != nil {
		d.shims.Close()
	}
	d.shims = c
	d.mu.Unlock()
}

// order tells the shims of the present process.
func (d *dispatcher) sendOrder(o Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if raw, err := json.Marshal(o); err == nil && d.shims != nil {
		d.shims.Write(append(raw, '\n'))
	}
}

func (d *dispatcher) awaitReady(ctx context.Context, l *process, exited <-chan struct{}) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(2 * readyLimit); time.Now().Before(end); {
		select {
		case <-exited:
			return nil
		default:
		}
		if resp, err := client.Get("http://" + d.listen + "/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.run.record.with(func() { l.ready = d.run.record.now() })
				d.mu.Lock()
				d.ready = d.process == l
				d.mu.Unlock()
				return nil
			}
		}
		if !system.Sleep(ctx, 20*time.Millisecond) {
			return nil
		}
	}
	return nil
}

// signal sends a signal to the present process.
func (d *dispatcher) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.cmd.Process.Signal(s)
	}
}

// terminate has a process end as the platform does at a planned restart, and starts the next one.
func (d *dispatcher) terminate(ctx context.Context, f Fault) {
	d.mu.Lock()
	l, exited := d.process, d.exited
	d.mu.Unlock()
	if l.terminatedAt > 0 || !d.acceptsConnections() {
		return // it ends already
	}
	d.run.record.with(func() { l.terminatedAt = d.run.record.now() })
	d.signal(syscall.SIGTERM)
	began := time.Now()
	switch f.Kind {
	case TerminateTwice:
		system.Sleep(ctx, 100*time.Millisecond)
		d.signal(syscall.SIGTERM)
	case TerminateReload:
		system.Sleep(ctx, f.Length)
		d.moveDiscovery(ctx, l, f)
		d.signal(syscall.SIGTERM)
	}
	system.Sleep(context.WithoutCancel(ctx), routingLag-time.Since(began))
	d.mu.Lock()
	d.ready = false
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(d.run.variant.killAfter() - time.Since(began)):
		d.kill(l, exited)
	}
	if system.Sleep(ctx, restartDelay) {
		d.start(ctx)
	}
}

// up tells whether the front deals connections to it.
func (d *dispatcher) acceptsConnections() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// kill ends a process outright.
func (d *dispatcher) kill(l *process, exited <-chan struct{}) {
	d.run.record.with(func() { l.killed = true })
	d.signal(syscall.SIGKILL)
	<-exited
}

// crash kills the present process and starts the next one.
func (d *dispatcher) crash(ctx context.Context) {
	d.mu.Lock()
	l, exited, ready := d.process, d.exited, d.ready
	d.mu.Unlock()
	if !ready || l.terminatedAt > 0 {
		return
	}
	d.kill(l, exited)
	if system.Sleep(ctx, restartDelay) {
		d.start(ctx)
	}
}

// stop has the process stand still for a while.
func (d *dispatcher) suspend(ctx context.Context, length time.Duration) {
	if !d.acceptsConnections() {
		return
	}
	d.mu.Lock()
	l := d.process
	d.mu.Unlock()
	from := d.run.record.now()
	d.signal(syscall.SIGSTOP)
	system.Sleep(context.WithoutCancel(ctx), length)
	// Whoever has waited for the process may be judged the moment it goes on.
	d.run.record.with(func() { l.stopped = append(l.stopped, span{from, d.run.record.now()}) })
	d.signal(syscall.SIGCONT)
}

// reload moves discovery and tells the process.
func (d *dispatcher) reload(ctx context.Context, f Fault) {
	if !d.acceptsConnections() {
		return
	}
	moves := map[Kind]int{ReloadTwice: 2, ReloadBurst: burstSize}[f.Kind]
	for range max(moves, 1) {
		d.mu.Lock()
		l := d.process
		d.mu.Unlock()
		d.moveDiscovery(ctx, l, f)
		system.Sleep(ctx, f.Length)
	}
}

// moveDiscovery has discovery listen elsewhere, and a process be told of that.
func (d *dispatcher) moveDiscovery(ctx context.Context, l *process, f Fault) {
	to := d.run.discovery.agents[d.number].move()
	from := d.run.record.now()
	if f.Kind == ReloadTorn {
		d.configure(to, true)
		d.signal(syscall.SIGHUP)
		system.Sleep(ctx, f.Length)
	}
	d.configure(to, false)
	if f.Kind != ReloadTorn {
		d.signal(syscall.SIGHUP)
	}
	d.run.record.with(func() { l.moves = append(l.moves, span{from, d.run.record.now()}) })
}
