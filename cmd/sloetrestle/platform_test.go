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

const asProgram = "SLOETRESTLE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// The whole dispatcher as the platform starts it: told by BALANCER_*, ready, serving, read anew on SIGHUP, and gone with 0 on SIGTERM with
// every question answered.
func TestPlatformAsAProcess(t *testing.T) {
	site := hosts.New()
	t.Cleanup(site.Close)
	site.Box("r1", hosts.Reader)
	site.Box("w1", hosts.Writer)
	agent, other := site.Agent(), site.Agent()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := free.Addr().String()
	free.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		raw := fmt.Sprintf(`{"name":"n1","discovery":%q,"seed":"8c1f","limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`,
			discovery, site.List(), hosts.Settings)
		if !json.Valid([]byte(raw)) {
			t.Fatal("the configuration is no JSON")
		}
		if err := os.WriteFile(file, []byte(raw), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(agent.At)
	var log bytes.Buffer
	cmd := exec.Command(os.Args[0], "platform")
	cmd.Env = append(os.Environ(), asProgram+"=1", "BALANCER_NAME=n1", "BALANCER_LISTEN="+at, "BALANCER_CONFIG="+file)
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	until := func(what string, is func() bool) {
		t.Helper()
		for end := time.Now().Add(8 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				cmd.Process.Kill()
				<-ended
				t.Fatalf("it never came to be that %s\n%s", what, log.String())
			}
		}
	}
	until("it is ready", func() bool {
		resp, err := http.Get("http://" + at + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	ask := func(id string) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+at+"/v1/chat/completions", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		for name, value := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "hut-booking", "X-Tenant-Id": "web-app", "X-Timeout-Ms": "3000"} {
			r.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	if got := ask("a"); got != http.StatusOK {
		t.Errorf("%d", got)
	}
	write(other.At)
	cmd.Process.Signal(syscall.SIGHUP)
	until("discovery is followed", func() bool { return other.Watched() == 1 })
	if got := ask("b"); got != http.StatusOK {
		t.Errorf("after SIGHUP: %d", got)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if got := ask("c"); got != http.StatusOK {
		t.Errorf("right after SIGTERM: %d", got)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("%v\n%s", err, log.String())
		}
	case <-time.After(10 * time.Second):
		t.Error("it does not end")
	}
	if site.Held() != 0 || site.Out() != 0 {
		t.Errorf("%d states are held, %d requests are out", site.Held(), site.Out())
	}
}
