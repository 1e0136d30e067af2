// Package kit2 holds the stand-ins of the second review and plays its cases: model hosts, service discovery and clients
// of the platform's protocol on loopback addresses, and dispatchers as processes of their own, started by the `run` line
// of deploy/balancer.toml. It is not part of the product. Begin with Play.
package kit2

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one run of a case: its clock, its record and everything it has started.
type world struct {
	trouble bool
	began   time.Time
	dir     string // temporary, private to the run

	mu     sync.Mutex
	record *os.File
	ends   []func()
}

// newWorld begins a run that writes its record to a file.
func newWorld(recordFile string, trouble bool) (*world, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, began: time.Now(), dir: dir, record: record}
	w.note("trouble %v", trouble)
	return w, nil
}

// now returns the time since the run began.
func (w *world) now() time.Duration { return time.Since(w.began) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

// atEnd has a function called at the end of the run.
func (w *world) atEnd(end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, end)
}

// close ends everything that the run has started.
func (w *world) close() {
	w.mu.Lock()
	ends := w.ends
	w.ends = nil
	w.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	os.RemoveAll(w.dir)
	w.record.Close()
}

// sleepUntil waits until a time of the run.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(at - w.now()) }

// freeAddress returns a loopback address with a port that is free now, below the range of outgoing connections.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
}

// dispatcher is one process of the project.
type dispatcher struct {
	world      *world
	name       string
	listen     string
	configFile string
	config     map[string]any
	cmd        *exec.Cmd
	exited     chan struct{}
	startedAt  time.Duration
	stopping   bool // an exit is expected
}

// newDispatcher writes a configuration.
func (w *world) newDispatcher(name, discovery string, known, settings any) *dispatcher {
	d := &dispatcher{
		world: w, name: name, listen: freeAddress(), configFile: filepath.Join(w.dir, name+".json"),
		config: map[string]any{
			"name": name, "discovery": discovery, "seed": "8c1f30d27a5be964",
			"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"settings": settings, "known": known,
		},
	}
	d.config["listen"] = d.listen
	d.writeConfig()
	return d
}

// writeConfig replaces the configuration file.
func (d *dispatcher) writeConfig() {
	raw, err := json.Marshal(d.config)
	if err != nil {
		panic(err)
	}
	temporary := d.configFile + ".new"
	if err := errors.Join(os.WriteFile(temporary, raw, 0o600), os.Rename(temporary, d.configFile)); err != nil {
		panic(err)
	}
}

// runCommand returns the `run` line of the deploy file.
func runCommand() (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no line `run`")
}

// start starts the process, as the platform does.
func (d *dispatcher) start() error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(d.world.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	d.cmd = exec.Command("/bin/sh", "-c", command+os.Getenv("REVIEW_ARGS"))
	d.cmd.Env = append(os.Environ(), "BALANCER_NAME="+d.name, "BALANCER_LISTEN="+d.listen,
		"BALANCER_DISCOVERY="+d.config["discovery"].(string), "BALANCER_CONFIG="+d.configFile, "TMPDIR="+d.world.dir)
	d.cmd.Stdout, d.cmd.Stderr = logFile, logFile
	d.startedAt, d.stopping = d.world.now(), false
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.world.note("dispatcher %s: started, pid %d, listens at %s", d.name, d.cmd.Process.Pid, d.listen)
	d.exited = make(chan struct{})
	cmd, exited := d.cmd, d.exited
	go func() {
		err := cmd.Wait()
		d.world.note("dispatcher %s: pid %d has ended: %v", d.name, cmd.Process.Pid, err)
		close(exited)
	}()
	d.world.atEnd(func() {
		cmd.Process.Kill()
		<-exited
		if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
			raw, _ := os.ReadFile(logFile.Name())
			os.WriteFile(filepath.Join(keep, d.name+".log"), raw, 0o600)
		}
	})
	return nil
}

// signal sends a signal to the process.
func (d *dispatcher) signal(signal syscall.Signal) {
	d.world.note("dispatcher %s: %v", d.name, signal)
	d.cmd.Process.Signal(signal)
}

// awaitReady waits until GET /ready answers 200.
func (d *dispatcher) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + d.listen + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			d.world.note("dispatcher %s: ready after %.3f s", d.name, (d.world.now() - d.startedAt).Seconds())
			return nil
		}
	}
	return fmt.Errorf("dispatcher %s is not ready after %v", d.name, limit)
}

// every calls a function at a fixed interval until the context ends.
func every(ctx context.Context, interval time.Duration, call func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			call()
		}
	}
}
