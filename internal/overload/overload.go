// Package overload plays hundreds of clients that misbehave in one way against one dispatcher process of the users'
// platform, beside a few usual ones, and reports the process's peak of resident memory and what the usual clients got.
// It judges nothing. Begin with Run; the ways to misbehave are in behavior.go.
package overload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloetrestle/internal/procstat"
	"sloetrestle/internal/testbackends"
)

// Options configure a run.
type Options struct {
	Command  []string // command line of a dispatcher that reads its configuration from BALANCER_CONFIG
	Env      []string // added to the environment of Command
	MemoryMB int      // the dispatcher's limit, in MiB; it is not enforced
	Sockets  int      // the dispatcher's limit of descriptors
	Behavior Behavior // of the clients that misbehave
	Clients  int      // that misbehave
	Usual    int      // usual clients, each with one request at a time
	Length   time.Duration
	LogFile  string // for the dispatcher's log; empty: it is not kept
}

const (
	backendPairs     = 3                      // prefill backends, and as many decode backends
	prefillTime      = 100 * time.Millisecond // that a backend takes for a prompt
	usualLead        = 500 * time.Millisecond // that usual clients are there before the others
	usualAnswerLimit = 6500 * time.Millisecond
	memorySampleStep = 2 * time.Millisecond
	startLimit       = 10 * time.Second
)

// Result is what was seen in a run.
type Result struct {
	PeakKB int64   // the largest resident memory of the process that was sampled
	Exited bool    // the process ended by itself
	Usual  Tally   // of the usual clients
	Others Ends    // of the clients that misbehaved
	Errors []error // of usual clients that got no answer
}

// Tally counts the requests of usual clients by what they got.
type Tally struct {
	Served, Rejected, Failed, Unanswered int
	Slowest                              time.Duration // of the answers
	Median                               time.Duration // time to a whole answer that was served
}

// Ends counts the connections of misbehaving clients that the dispatcher ended or answered.
type Ends struct {
	Count   int
	Slowest time.Duration // from the connection's start to its end
}

// String returns the result as one line.
func (r Result) String() string {
	return fmt.Sprintf("peak %d KB, usual clients: %d served (median %v), %d rejected, %d failed, %d unanswered, slowest %v; "+
		"others: %d ended, slowest %v", r.PeakKB, r.Usual.Served, r.Usual.Median.Round(time.Millisecond), r.Usual.Rejected,
		r.Usual.Failed, r.Usual.Unanswered, r.Usual.Slowest.Round(time.Millisecond), r.Others.Count,
		r.Others.Slowest.Round(time.Millisecond))
}

// run is one run in progress.
type run struct {
	options Options
	dir     string
	address string // where the dispatcher listens
	site    *testbackends.Platform
	command *exec.Cmd
	exited  chan struct{}

	mu     sync.Mutex
	result Result
	times  []time.Duration // of answers that were served
}

// Run plays one run and returns what was seen.
func Run(ctx context.Context, options Options) (Result, error) {
	dir, err := os.MkdirTemp("", "sloetrestle-overload-")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	r := &run{options: options, dir: dir, site: testbackends.New(), exited: make(chan struct{})}
	defer r.site.Close()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	defer r.stop()
	r.play(ctx)
	select {
	case <-r.exited:
		r.result.Exited = true
	default:
	}
	r.result.Usual.Median = median(r.times)
	return r.result, nil
}

// start starts the backends and the dispatcher and waits until it is ready.
func (r *run) start(ctx context.Context) error {
	for i := range backendPairs {
		r.site.AddBackend(fmt.Sprintf("r%d", i), testbackends.PrefillKind).Handler = servePrompt
		r.site.AddBackend(fmt.Sprintf("w%d", i), testbackends.DecodeKind).Handler = r.options.Behavior.serveAnswer
	}
	configFile, err := r.writeConfig(r.site.AddAgent().Address)
	if err != nil {
		return err
	}
	r.command = exec.Command(r.options.Command[0], r.options.Command[1:]...)
	r.command.Env = append(append(os.Environ(), r.options.Env...), "BALANCER_CONFIG="+configFile)
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if r.options.LogFile != "" {
		log, err := os.Create(r.options.LogFile)
		if err != nil {
			return err
		}
		defer log.Close()
		r.command.Stderr = log
	}
	if err := r.command.Start(); err != nil {
		return err
	}
	go func() { r.command.Wait(); close(r.exited) }()
	return r.awaitReady(ctx)
}

// writeConfig writes the dispatcher's configuration and returns the file's name.
func (r *run) writeConfig(discovery string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.address = listener.Addr().String()
	listener.Close()
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": r.address, "discovery": discovery, "seed": "8c1f",
		"limits":   map[string]any{"cores": 1, "memory_mb": r.options.MemoryMB, "sockets": r.options.Sockets},
		"settings": json.RawMessage(testbackends.Settings),
	})
	if err != nil {
		return "", err
	}
	file := filepath.Join(r.dir, "config.json")
	return file, os.WriteFile(file, raw, 0o600)
}

// awaitReady waits until the dispatcher is ready.
func (r *run) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startLimit); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		resp, err := client.Get("http://" + r.address + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	r.stop()
	return errors.New("the dispatcher did not become ready")
}

// stop kills the dispatcher.
func (r *run) stop() {
	r.command.Process.Kill()
	<-r.exited
}

// play runs the clients for the run's length.
func (r *run) play(ctx context.Context) {
	ctx, end := context.WithTimeout(ctx, r.options.Length)
	defer end()
	var running sync.WaitGroup
	running.Go(func() { r.sampleMemory(ctx) })
	for i := range r.options.Usual {
		running.Go(func() { r.runUsual(ctx, i) })
	}
	time.Sleep(usualLead)
	for i := range r.options.Clients {
		running.Go(func() { r.runMisbehaving(ctx, i) })
	}
	running.Wait()
}

// sampleMemory records the largest resident memory of the process.
func (r *run) sampleMemory(ctx context.Context) {
	for ctx.Err() == nil {
		r.result.PeakKB = max(r.result.PeakKB, procstat.ResidentMemory(r.command.Process.Pid))
		time.Sleep(memorySampleStep)
	}
}

// runUsual sends one request after another, each on a connection of its own. A request whose connection is closed without
// a byte of an answer is sent once more, as the protocol allows.
func (r *run) runUsual(ctx context.Context, client int) {
	for n := 0; ctx.Err() == nil; n++ {
		began := time.Now()
		id := fmt.Sprintf("usual-%d-%d", client, n)
		status, err := r.ask(id)
		if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
			status, err = r.ask(id)
		}
		r.countUsual(status, err, time.Since(began))
	}
}

// ask sends one request on a new connection and reads the whole answer.
func (r *run) ask(id string) (status int, err error) {
	client := &http.Client{Timeout: usualAnswerLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+r.address+"/v1/chat/completions", strings.NewReader(usualBody))
	if err != nil {
		return 0, err
	}
	for name, value := range requestHeaders(id) {
		request.Header.Set(name, value)
	}
	resp, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, discard(resp.Body)
}

// countUsual counts a usual client's request.
func (r *run) countUsual(status int, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tally := &r.result.Usual
	tally.Slowest = max(tally.Slowest, took)
	switch {
	case err != nil && status == 0:
		tally.Unanswered++
		r.result.Errors = append(r.result.Errors, err)
	case err == nil && status == http.StatusOK:
		tally.Served++
		r.times = append(r.times, took)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		tally.Rejected++
	default:
		tally.Failed++
	}
}

// runMisbehaving connects and misbehaves, again and again.
func (r *run) runMisbehaving(ctx context.Context, client int) {
	for n := 0; ctx.Err() == nil; n++ {
		conn, err := net.DialTimeout("tcp", r.address, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		began := time.Now()
		ended := context.AfterFunc(ctx, func() { conn.Close() })
		r.options.Behavior.play(ctx, conn, fmt.Sprintf("b%d-%d", client, n))
		conn.Close()
		if ended() {
			r.countEnd(time.Since(began))
		}
	}
}

// countEnd counts a connection of a misbehaving client that ended before the run.
func (r *run) countEnd(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Others.Count++
	r.result.Others.Slowest = max(r.result.Others.Slowest, took)
}
