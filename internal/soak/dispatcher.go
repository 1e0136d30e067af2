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

	"sloetrestle/internal/system"
	"sloetrestle/internal/testbackends"
)

// dispatcher is one dispatcher under test. Its processes run one after another at the same addresses.
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
	shims   net.Conn // connection to the shims of the current process
	ready   bool
	starts  int // number of processes started so far
	exited  chan struct{}
}

const (
	readyLimit   = 10 * time.Second
	routingLag   = 300 * time.Millisecond // for which new connections still go to a process that is stopping
	restartDelay = 200 * time.Millisecond // between the end of a process and the start of the next
	burstSize    = 6                      // reloads in a burst
)

// Dispatchers listen on ports below the ephemeral range. An outgoing connection could otherwise take the port of a
// dispatcher while it restarts.
const (
	minPort   = 20_000
	maxPort   = 32_000
	portTries = 200
)

// portAllocator returns loopback addresses with a free port, each once.
type portAllocator struct{ used map[int]bool }

func (a *portAllocator) free() (address string, err error) {
	for range portTries {
		port := minPort + rand.IntN(maxPort-minPort)
		if a.used[port] {
			continue
		}
		address = fmt.Sprintf("127.0.0.1:%d", port)
		listener, listenErr := net.Listen("tcp", address)
		if err = listenErr; err == nil {
			listener.Close()
			a.used[port] = true
			return address, nil
		}
	}
	return "", err
}

// configure writes the configuration file, or only its first half.
func (d *dispatcher) configure(discovery string, half bool) error {
	var settings map[string]any
	if err := json.Unmarshal([]byte(testbackends.Settings), &settings); err != nil {
		return err
	}
	settings["siblings"], settings["slotNo"] = float64(d.run.options.Processes), float64(d.number)
	settings["policyLimits"].(map[string]any)["peers"] = true
	for i, c := range d.run.variant.classes {
		entry := settings["requestClasses"].([]any)[i].(map[string]any)
		entry["giveUpUs"], entry["effect"] = float64(c.deadline.Microseconds()), c.effect()
		if c.dedupWindow > 0 {
			entry["windowUs"], entry["group"] = float64(c.dedupWindow.Microseconds()), "all"
		}
	}
	settings["familyInfo"].(map[string]any)["pinLimitUs"] = float64(d.run.variant.cacheTimeout.Microseconds())
	var peers []string
	for _, other := range d.run.dispatchers {
		peers = append(peers, other.peer)
	}
	agent := d.run.discovery.agents[d.number]
	agent.mu.Lock()
	known := json.RawMessage(agent.fullList())
	agent.mu.Unlock()
	raw, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", d.number), "listen": d.listen, "discovery": discovery,
		"seed":        fmt.Sprintf("%x", d.run.options.Seed+uint64(d.number)),
		"limits":      map[string]any{"cores": 1, "memory_mb": 96, "sockets": 512},
		"peer_listen": d.peer, "peers": peers, "known": known, "settings": settings,
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

// start starts a process and waits until it is ready, has exited, or the wait times out.
func (d *dispatcher) start(ctx context.Context) error {
	options, record := d.run.options, d.run.record
	log, err := os.Create(filepath.Join(d.run.dir, fmt.Sprintf("n%d-%d.log", d.number, d.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(options.Command[0], options.Command[1:]...)
	cmd.Env = append(append(os.Environ(), options.Env...),
		"BALANCER_CONFIG="+d.configFile, ControlVariable+"="+d.shimListener.Addr().String())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := &process{dispatcher: d.number, started: record.now()}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.process, d.exited, d.ready = cmd, started, exited, false
	d.starts++
	d.mu.Unlock()
	record.with(func() { record.processes = append(record.processes, started) })
	d.run.group.Go(func() error {
		defer log.Close()
		defer close(exited)
		err := cmd.Wait()
		d.mu.Lock()
		d.ready = false
		d.mu.Unlock()
		record.with(func() {
			started.ended = record.now()
			if err != nil && !started.killed || started.terminatedAt == 0 && !started.killed {
				started.crashed = fmt.Sprintf("it ended by itself: %v", err)
			}
		})
		return nil
	})
	d.run.group.Go(func() error { d.acceptShims(); return nil })
	return d.awaitReady(ctx, started, exited)
}

// acceptShims accepts the connection of the shims of a new process.
func (d *dispatcher) acceptShims() {
	d.shimListener.(*net.TCPListener).SetDeadline(time.Now().Add(readyLimit))
	conn, err := d.shimListener.Accept()
	if err != nil {
		return
	}
	d.mu.Lock()
	if d.shims != nil {
		d.shims.Close()
	}
	d.shims = conn
	d.mu.Unlock()
}

// sendOrder sends an order to the shims of the current process.
func (d *dispatcher) sendOrder(o Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if raw, err := json.Marshal(o); err == nil && d.shims != nil {
		d.shims.Write(append(raw, '\n'))
	}
}

// awaitReady polls the readiness endpoint until the process is ready or has exited, for at most twice readyLimit.
func (d *dispatcher) awaitReady(ctx context.Context, target *process, exited <-chan struct{}) error {
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
				d.run.record.with(func() { target.ready = d.run.record.now() })
				d.mu.Lock()
				d.ready = d.process == target
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

// signal sends a signal to the current process.
func (d *dispatcher) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.cmd.Process.Signal(sig)
	}
}

// terminate stops a process as the platform does at a planned restart (SIGTERM, then SIGKILL) and starts the next
// one.
func (d *dispatcher) terminate(ctx context.Context, fault Fault) {
	d.mu.Lock()
	target, exited := d.process, d.exited
	d.mu.Unlock()
	if target.terminatedAt > 0 || !d.acceptsConnections() {
		return // it is stopping already
	}
	d.run.record.with(func() { target.terminatedAt = d.run.record.now() })
	d.signal(syscall.SIGTERM)
	began := time.Now()
	switch fault.Kind {
	case TerminateTwice:
		system.Sleep(ctx, 100*time.Millisecond)
		d.signal(syscall.SIGTERM)
	case TerminateReload:
		system.Sleep(ctx, fault.Length)
		d.moveDiscovery(ctx, target, fault)
		d.signal(syscall.SIGTERM)
	}
	system.Sleep(context.WithoutCancel(ctx), routingLag-time.Since(began))
	d.mu.Lock()
	d.ready = false
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(d.run.variant.killAfter() - time.Since(began)):
		d.kill(target, exited)
	}
	if system.Sleep(ctx, restartDelay) {
		d.start(ctx)
	}
}

// acceptsConnections reports whether clients may open connections to the dispatcher.
func (d *dispatcher) acceptsConnections() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// kill sends SIGKILL to a process and waits for its exit.
func (d *dispatcher) kill(target *process, exited <-chan struct{}) {
	d.run.record.with(func() { target.killed = true })
	d.signal(syscall.SIGKILL)
	<-exited
}

// crash kills the current process and starts the next one.
func (d *dispatcher) crash(ctx context.Context) {
	d.mu.Lock()
	target, exited, ready := d.process, d.exited, d.ready
	d.mu.Unlock()
	if !ready || target.terminatedAt > 0 {
		return
	}
	d.kill(target, exited)
	if system.Sleep(ctx, restartDelay) {
		d.start(ctx)
	}
}

// suspend stops the process by SIGSTOP and resumes it by SIGCONT after the given time.
func (d *dispatcher) suspend(ctx context.Context, length time.Duration) {
	if !d.acceptsConnections() {
		return
	}
	d.mu.Lock()
	target := d.process
	d.mu.Unlock()
	from := d.run.record.now()
	d.signal(syscall.SIGSTOP)
	system.Sleep(context.WithoutCancel(ctx), length)
	// Record the span before SIGCONT: what the process delayed may be checked as soon as it resumes.
	d.run.record.with(func() { target.stopped = append(target.stopped, span{from, d.run.record.now()}) })
	d.signal(syscall.SIGCONT)
}

// reload moves discovery to its other address and reloads the configuration, several times for some kinds.
func (d *dispatcher) reload(ctx context.Context, fault Fault) {
	if !d.acceptsConnections() {
		return
	}
	moves := map[Kind]int{ReloadTwice: 2, ReloadBurst: burstSize}[fault.Kind]
	for range max(moves, 1) {
		d.mu.Lock()
		target := d.process
		d.mu.Unlock()
		d.moveDiscovery(ctx, target, fault)
		system.Sleep(ctx, fault.Length)
	}
}

// moveDiscovery moves discovery to its other address, writes that to the configuration file and sends SIGHUP. With
// ReloadTorn the signal comes while only half of the file is written, and none follows when it is whole.
func (d *dispatcher) moveDiscovery(ctx context.Context, target *process, fault Fault) {
	to := d.run.discovery.agents[d.number].move()
	from := d.run.record.now()
	if fault.Kind == ReloadTorn {
		d.configure(to, true)
		d.signal(syscall.SIGHUP)
		system.Sleep(ctx, fault.Length)
	}
	d.configure(to, false)
	if fault.Kind != ReloadTorn {
		d.signal(syscall.SIGHUP)
	}
	d.run.record.with(func() { target.moves = append(target.moves, span{from, d.run.record.now()}) })
}
