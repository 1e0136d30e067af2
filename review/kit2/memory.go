package kit2

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The limits of the dispatcher in the case on memory, and its bad clients: fewer than a third of the descriptors.
const (
	memoryMB     = 64
	descriptors  = 1024
	stoppers     = 300
	shortHeaders = 2600 // of some six bytes each: 16,997 bytes in all, of the 20 KiB that are read of a head
)

// resident returns the anonymous and the whole resident memory of a process, in KiB; 0 if it has ended.
func resident(pid int) (anonymous, whole int) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			whole = kb
		case "RssAnon:":
			anonymous = kb
		}
	}
	return anonymous, whole
}

// envInt returns a number from the environment.
func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// halfHead returns the beginning of a request that stops within its head.
func halfHead() string {
	var head strings.Builder
	head.WriteString("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\n")
	for n := range shortHeaders {
		fmt.Fprintf(&head, "%s:1\r\n", strconv.FormatInt(int64(n+36), 36))
	}
	return head.String()
}

// stopInHead connects, sends half a head, stays until it is answered or closed, and comes again.
func stopInHead(ctx context.Context, address string, ends *atomic.Int64, longest *atomic.Int64) {
	head := halfHead()
	for ctx.Err() == nil {
		began := time.Now()
		conn, err := net.DialTimeout("tcp", address, 5*time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		io.WriteString(conn, head)
		io.Copy(io.Discard, conn)
		stop()
		conn.Close()
		if ctx.Err() == nil {
			ends.Add(1)
			longest.Store(max(longest.Load(), int64(time.Since(began))))
		}
	}
}

// halfHeads: bad clients stop in the middle of a request, in its head, and stay until they are answered or closed. The
// platform kills a dispatcher that is over its memory limit.
func halfHeads(w *world) (verdict, error) {
	f := w.newFleet()
	list := newRegistry(41)
	list.list(f.smallFleet(4, 4, "a")...)
	agent := w.newAgent("a", list)
	d := w.newDispatcher("n0", agent.address, list.full(), settings(smallClasses, 1, 0, nil))
	d.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors}
	d.writeConfig()
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	c := w.newClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.stream(ctx, 10, d.listen, "trail-info", 6*time.Second)
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	var ends, longest atomic.Int64
	if w.trouble {
		w.note("%d clients stop within their heads of %d bytes", stoppers, len(halfHead()))
		for range stoppers {
			group.Go(func() { stopInHead(ctx, d.listen, &ends, &longest) })
		}
	}
	most, killed := 0, false
	for end := w.now() + 15*time.Second; w.now() < end && !killed; time.Sleep(20 * time.Millisecond) {
		anonymous, whole := resident(d.cmd.Process.Pid)
		if anonymous > most {
			most = anonymous
			w.note("dispatcher: %d KiB anonymous, %d KiB resident; the limit is %d KiB", anonymous, whole, memoryMB<<10)
		}
		if killed = anonymous > memoryMB<<10; killed {
			w.note("platform: the dispatcher is over its limit and is killed")
			d.signal(syscall.SIGKILL)
		}
	}
	cancel()
	c.group.Wait()
	group.Wait()
	unanswered := c.counts()[0]
	text := fmt.Sprintf("killed for memory: %v, %d MiB at the most of %d; bad clients were ended %d times, after %v at the latest; "+
		"%d requests of usual clients got no answer; answers by status: %v", killed, most>>10, memoryMB, ends.Load(),
		time.Duration(longest.Load()).Round(time.Millisecond), unanswered, c.counts())
	return verdict{killed, text}, nil
}
