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

	"sloetrestle/internal/hosts"
)

const runMainVariable = "SLOETRESTLE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a dispatcher as the platform starts it, with its backends and discovery.
type dispatcherProcess struct {
	t           *testing.T
	site        *hosts.Platform
	agent       *hosts.Agent
	secondAgent *hosts.Agent // another address of discovery
	addr        string
	configFile  string
	cmd         *exec.Cmd
	log         bytes.Buffer
	exited      chan error
}

// start starts one, which may not be ready yet.
func startDispatcher(t *testing.T) *dispatcherProcess {
	t.Helper()
	p := &dispatcherProcess{t: t, site: hosts.New(), exited: make(chan error, 1)}
	t.Cleanup(p.site.Close)
	p.site.AddBackend("r1", hosts.PrefillKind)
	p.site.AddBackend("w1", hosts.DecodeKind)
	p.agent, p.secondAgent = p.site.AddAgent(), p.site.AddAgent()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = free.Addr().String()
	free.Close()
	p.configFile = filepath.Join(t.TempDir(), "config.json")
	p.configure(p.agent.Address)
	p.cmd = exec.Command(os.Args[0], "platform")
	p.cmd.Env = append(os.Environ(), runMainVariable+"=1", "BALANCER_NAME=n1", "BALANCER_LISTEN="+p.addr, "BALANCER_CONFIG="+p.configFile)
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

// configure writes the configuration with an address of discovery.
func (p *dispatcherProcess) configure(discovery string) {
	p.t.Helper()
	raw := fmt.Sprintf(`{"name":"n1","discovery":%q,"seed":"8c1f","limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`,
		discovery, p.site.DiscoveryList(), hosts.Settings)
	if !json.Valid([]byte(raw)) {
		p.t.Fatal("the configuration is no JSON")
	}
	if err := os.WriteFile(p.configFile, []byte(raw), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *dispatcherProcess) waitUntil(what string, is func() bool) {
	p.t.Helper()
	for end := time.Now().Add(8 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.cmd.Process.Kill()
			<-p.exited
			p.t.Fatalf("it never came to be that %s\n%s", what, p.log.String())
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

// ask sends a request as the platform's clients do and returns the status of its answer; 0: there was none. Where it crosses the close
// of a connection that was used before, it is sent once more on a new one.
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
	for name, value := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "hut-booking", "X-Tenant-Id": "web-app", "X-Timeout-Ms": "3000"} {
		r.Header.Set(name, value)
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// end waits for its end and returns how it ended.
func (p *dispatcherProcess) waitForExit() error {
	p.t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(10 * time.Second):
		p.t.Fatal("it does not end")
		return nil
	}
}

// The whole dispatcher as the platform starts it: told by BALANCER_*, ready, serving, read anew on SIGHUP, and gone with 0 on SIGTERM with
// every question answered.
func TestPlatformProcessServesReloadsAndShutsDown(t *testing.T) {
	p := startDispatcher(t)
	p.waitUntil("it is ready", p.ready)
	if got := p.request("a"); got != http.StatusOK {
		t.Errorf("%d", got)
	}
	p.configure(p.secondAgent.Address)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitUntil("discovery is followed", func() bool { return p.secondAgent.WatchCount() == 1 })
	if got := p.request("b"); got != http.StatusOK {
		t.Errorf("after SIGHUP: %d", got)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	if got := p.request("c"); got != http.StatusOK {
		t.Errorf("right after SIGTERM: %d", got)
	}
	if err := p.waitForExit(); err != nil {
		t.Errorf("%v\n%s", err, p.log.String())
	}
	if p.site.HeldCount() != 0 || p.site.InFlight() != 0 {
		t.Errorf("%d states are held, %d requests are out", p.site.HeldCount(), p.site.InFlight())
	}
}

// SIGTERM ends it with 0 also where it comes twice, while a new configuration is read, or with a SIGHUP behind it.
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
			p.waitUntil("it is ready", p.ready)
			p.configure(p.secondAgent.Address)
			for _, s := range signals {
				p.cmd.Process.Signal(s)
			}
			if got := p.request("a"); got != http.StatusOK {
				t.Errorf("a request right behind: %d", got)
			}
			if err := p.waitForExit(); err != nil {
				t.Errorf("%v\n%s", err, p.log.String())
			}
		})
	}
}

// SIGTERM while it starts ends it soon, whether it has come to listen for the signal or not.
func TestSIGTERMDuringStartupEndsTheProcess(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			p := startDispatcher(t)
			time.Sleep(after)
			p.cmd.Process.Signal(syscall.SIGTERM)
			if err := p.waitForExit(); err != nil && err.Error() != "signal: terminated" {
				t.Errorf("%v\n%s", err, p.log.String())
			}
		})
	}
}
