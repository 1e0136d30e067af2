package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloetrestle/internal/testbackends"
)

// runMainVariable is the environment variable that has the test binary run main in place of the tests.
const runMainVariable = "SLOETRESTLE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// dispatcherProcess is a dispatcher as the platform starts it, with its backends and discovery.
type dispatcherProcess struct {
	t           *testing.T
	site        *testbackends.Platform
	agent       *testbackends.Agent // discovery that the first configuration names
	secondAgent *testbackends.Agent // discovery at another address, for a reload
	addr        string
	configFile  string
	cmd         *exec.Cmd
	log         bytes.Buffer
	exited      chan error
}

// startDispatcher starts a dispatcher without waiting until it is ready.
func startDispatcher(t *testing.T) *dispatcherProcess {
	t.Helper()
	process := &dispatcherProcess{t: t, site: testbackends.New(), exited: make(chan error, 1)}
	t.Cleanup(process.site.Close)
	process.site.AddBackend("r1", testbackends.PrefillKind)
	process.site.AddBackend("w1", testbackends.DecodeKind)
	process.agent, process.secondAgent = process.site.AddAgent(), process.site.AddAgent()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	process.addr = listener.Addr().String()
	listener.Close()
	process.configFile = filepath.Join(t.TempDir(), "config.json")
	process.configure(process.agent.Address)
	process.cmd = exec.Command(os.Args[0], "platform")
	process.cmd.Env = append(os.Environ(), runMainVariable+"=1", "BALANCER_NAME=n1", "BALANCER_LISTEN="+process.addr,
		"BALANCER_CONFIG="+process.configFile)
	process.cmd.Stderr = &process.log
	if err := process.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { process.exited <- process.cmd.Wait() }()
	t.Cleanup(func() { process.cmd.Process.Kill() })
	return process
}

// configure writes a configuration that names the given address of discovery.
func (p *dispatcherProcess) configure(discovery string) {
	p.t.Helper()
	raw := fmt.Sprintf(`{"name":"n1","discovery":%q,"seed":"8c1f",`+
		`"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`,
		discovery, p.site.DiscoveryList(), testbackends.Settings)
	if !json.Valid([]byte(raw)) {
		p.t.Fatalf("the configuration is not valid JSON: %s", raw)
	}
	if err := os.WriteFile(p.configFile, []byte(raw), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// waitUntil waits until condition holds and fails the test after 8 s; what names the condition.
func (p *dispatcherProcess) waitUntil(what string, condition func() bool) {
	p.t.Helper()
	for end := time.Now().Add(8 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.cmd.Process.Kill()
			<-p.exited
			p.t.Fatalf("not within 8 s: %s\n%s", what, p.log.String())
		}
	}
}

func (p *dispatcherProcess) ready() bool {
	resp, err := http.Get("http://" + p.addr + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// request sends a request as the platform's clients do and returns the status of the response, 0 if there was none. A
// request that crosses the close of a reused connection is sent once more on a new one.
func (p *dispatcherProcess) request(id string) int {
	status := p.send(http.DefaultClient, id)
	if status == 0 {
		status = p.send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, id)
	}
	return status
}

func (p *dispatcherProcess) send(client *http.Client, id string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.addr+"/v1/chat/completions", strings.NewReader("{}"))
	if err != nil {
		p.t.Fatal(err)
	}
	for name, value := range map[string]string{
		"X-Request-ID": id, "X-Priority-Class": "hut-booking", "X-Tenant-Id": "web-app", "X-Timeout-Ms": "3000",
	} {
		r.Header.Set(name, value)
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// waitForExit waits until the process exits and returns the error of its exit; it fails the test after 10 s.
func (p *dispatcherProcess) waitForExit() error {
	p.t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(10 * time.Second):
		p.t.Fatal("the process did not exit within 10 s")
		return nil
	}
}

// The whole dispatcher as the platform runs it: configured by BALANCER_* variables, it becomes ready, serves, follows
// another discovery after SIGHUP, and exits with 0 after SIGTERM with every request answered and nothing left at the
// backends.
func TestPlatformProcessServesReloadsAndShutsDown(t *testing.T) {
	process := startDispatcher(t)
	process.waitUntil("the dispatcher is ready", process.ready)
	if got := process.request("a"); got != http.StatusOK {
		t.Errorf("request to a ready dispatcher: status %d, want 200", got)
	}
	process.configure(process.secondAgent.Address)
	process.cmd.Process.Signal(syscall.SIGHUP)
	process.waitUntil("the second discovery is watched", func() bool { return process.secondAgent.WatchCount() == 1 })
	if got := process.request("b"); got != http.StatusOK {
		t.Errorf("request after SIGHUP: status %d, want 200", got)
	}
	process.cmd.Process.Signal(syscall.SIGTERM)
	if got := process.request("c"); got != http.StatusOK {
		t.Errorf("request right after SIGTERM: status %d, want 200", got)
	}
	if err := process.waitForExit(); err != nil {
		t.Errorf("exit: %v\n%s", err, process.log.String())
	}
	if process.site.HeldCount() != 0 || process.site.InFlight() != 0 {
		t.Errorf("%d KV caches are held and %d attempts are in flight after the exit", process.site.HeldCount(),
			process.site.InFlight())
	}
}

// SIGTERM leads to exit code 0 also when it comes twice, while a new configuration is read, or with a SIGHUP after it.
func TestOverlappingSignalsEndInGracefulShutdown(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"SIGTERM twice":         {syscall.SIGTERM, syscall.SIGTERM},
		"SIGTERM during SIGHUP": {syscall.SIGHUP, syscall.SIGTERM},
		"SIGHUP after SIGTERM":  {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
		"SIGHUP twice, SIGTERM": {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startDispatcher(t)
			p.waitUntil("the dispatcher is ready", p.ready)
			p.configure(p.secondAgent.Address)
			for _, s := range signals {
				p.cmd.Process.Signal(s)
			}
			if got := p.request("a"); got != http.StatusOK {
				t.Errorf("request right after the signals: status %d, want 200", got)
			}
			if err := p.waitForExit(); err != nil {
				t.Errorf("exit: %v\n%s", err, p.log.String())
			}
		})
	}
}

// SIGTERM during startup ends the process soon, whether or not its handler for the signal is installed yet.
func TestSIGTERMDuringStartupEndsTheProcess(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			p := startDispatcher(t)
			time.Sleep(delay)
			p.cmd.Process.Signal(syscall.SIGTERM)
			if err := p.waitForExit(); err != nil && err.Error() != "signal: terminated" {
				t.Errorf("exit: %v\n%s", err, p.log.String())
			}
		})
	}
}
