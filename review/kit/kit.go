// Package kit holds what the cases of the review share: a record of what was sent and answered, the processes of a
// case, and a client that speaks the platform's protocol byte by byte. Every address is a loopback address.
package kit

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	Failed = 2 // the case could not run
)

// Case is one run of a case.
type Case struct {
	Trouble bool   // play the disruption
	Root    string // of the repository
	Run     string // the run command of the deploy file
	Dir     string // private temporary folder

	began  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*Process
}

// Main runs a case in at most the given time, ends all processes that it started, and exits with its code. The
// environment names the run: ROOT, RUN, RECORD and TROUBLE.
func Main(limit time.Duration, play func(ctx context.Context, c *Case) (code int, verdict string)) {
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0", Root: os.Getenv("ROOT"), Run: os.Getenv("RUN"), began: time.Now(),
	}
	var err error
	if c.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	if c.Dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	c.Logf("trouble=%v", c.Trouble)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	code, verdict := c.play(ctx, play)
	cancel()
	c.endAll()
	c.Logf("result: exit %d: %s", code, verdict)
	fmt.Println(verdict)
	c.record.Close()
	os.RemoveAll(c.Dir)
	os.Exit(code)
}

// play runs the case and turns a panic, such as one of Must, into a case that could not run.
func (c *Case) play(
	ctx context.Context, play func(ctx context.Context, c *Case) (int, string),
) (code int, verdict string) {
	defer func() {
		if err := recover(); err != nil {
			code, verdict = Failed, fmt.Sprint("the case could not run: ", err)
		}
	}()
	return play(ctx, c)
}

// Must ends the case with Failed if there is an error.
func Must(err error) {
	if err != nil {
		panic(err)
	}
}

// Logf adds a line to the record, with the time since the start of the case.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// Process is a process of the project's program.
type Process struct {
	Name   string
	c      *Case
	cmd    *exec.Cmd
	exited chan struct{}
}

// StartPlatform starts a dispatcher with the deploy file's run command.
func (c *Case) StartPlatform(name, configFile string) *Process {
	return c.start(name, exec.Command("/bin/sh", "-c", c.Run), "BALANCER_CONFIG="+configFile)
}

// StartServe starts a dispatcher that serves by itself.
func (c *Case) StartServe(name, configFile string) *Process {
	return c.start(name, exec.Command(filepath.Join(c.Root, "bin", "sloetrestle"), "serve", "--config", configFile))
}

func (c *Case) start(name string, cmd *exec.Cmd, env ...string) *Process {
	log, err := os.OpenFile(filepath.Join(c.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Must(err)
	defer log.Close()
	cmd.Dir, cmd.Env = c.Root, append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(cmd.Start())
	p := &Process{Name: name, c: c, cmd: cmd, exited: make(chan struct{})}
	c.procs = append(c.procs, p)
	c.Logf("%s: started, pid %d", name, cmd.Process.Pid)
	go func() {
		cmd.Wait()
		c.Logf("%s: pid %d ended: %v", name, cmd.Process.Pid, cmd.ProcessState)
		close(p.exited)
	}()
	return p
}

// Pid returns the id of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.c.Logf("%s: %v", p.Name, sig)
	p.cmd.Process.Signal(sig)
}

// Exited reports whether the process ends within a time.
func (p *Process) Exited(wait time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(wait):
		return false
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

func (c *Case) endAll() {
	for _, p := range c.procs {
		if !p.Exited(0) {
			p.Kill()
		}
	}
}

// Log returns the log of a process.
func (c *Case) Log(name string) string {
	raw, _ := os.ReadFile(filepath.Join(c.Dir, name+".log"))
	return string(raw)
}

// WriteFile writes a file into the case's folder and returns its path.
func (c *Case) WriteFile(name string, content []byte) string {
	file := filepath.Join(c.Dir, name)
	Must(os.WriteFile(file, content, 0o600))
	return file
}

// WriteJSON writes a value as a JSON file into the case's folder and returns its path.
func (c *Case) WriteJSON(name string, value any) string {
	raw, err := json.Marshal(value)
	Must(err)
	return c.WriteFile(name, raw)
}

// Dispatchers listen on ports below the ephemeral range: an outgoing connection could otherwise take the port of one
// that restarts.
const minPort, maxPort = 20_000, 32_000

// FreeAddress returns a loopback address with a port that is free for TCP and for UDP.
func FreeAddress() string {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		listener.Close()
		if err == nil {
			packets.Close()
			return address
		}
	}
	panic(errors.New("no free port"))
}

// Until polls a condition for at most the given time and reports whether it came true.
func Until(wait time.Duration, condition func() bool) bool {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// AwaitOK waits until a GET of the URL answers 200.
func AwaitOK(url string, wait time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if Until(wait, func() bool {
		resp, err := client.Get(url)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}) {
		return nil
	}
	return fmt.Errorf("%s did not answer 200 within %v", url, wait)
}

// Request returns a client's request in the platform's protocol.
func Request(id, class string, timeout time.Duration, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\n"+
		"X-Priority-Class: %s\r\nX-Tenant-Id: web-app\r\nX-Route-Key: k-%s\r\nX-Timeout-Ms: %d\r\n"+
		"X-Attrs: prompt_len=400,max_out=200\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		id, class, id, timeout.Milliseconds(), len(body), body)
}

// Answer is what a client got for one request.
type Answer struct {
	Status int
	Events int  // events of a stream
	Whole  bool // the answer came to its end
	Body   string
	Err    error
}

// Text says in a few words what was got.
func (a Answer) Text() string {
	switch {
	case a.Status == 0:
		return fmt.Sprintf("no answer (%v)", a.Err)
	case !a.Whole:
		return fmt.Sprintf("status %d, %d events, not whole (%v)", a.Status, a.Events, a.Err)
	}
	return fmt.Sprintf("status %d, %d events, whole", a.Status, a.Events)
}

// ReadAnswer reads one answer from a connection.
func ReadAnswer(conn net.Conn, deadline time.Time) (answer Answer) {
	conn.SetReadDeadline(deadline)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		answer.Err = err
		return answer
	}
	answer.Status = resp.StatusCode
	raw, err := io.ReadAll(resp.Body)
	answer.Body, answer.Err = string(raw), err
	answer.Events = strings.Count(answer.Body, "data: {")
	answer.Whole = err == nil && (answer.Status != http.StatusOK || strings.Contains(answer.Body, "data: [DONE]"))
	return answer
}
