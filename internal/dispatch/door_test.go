package dispatch

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"sloetrestle/internal/storm"
)

// What a connection refused at the door costs, at both ends: opened, answered, read and closed.
func BenchmarkRefusedConnection(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	began := time.Now()
	g := &guarded{l, &sync.Mutex{}, &storm.ConnLimiter{ConnsPerSecond: 1e-9, Burst: 0, MaxOpen: 1}, func() time.Duration { return time.Since(began) }}
	go g.Accept()
	for b.Loop() {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		if raw, err := io.ReadAll(c); err != nil || !bytes.Contains(raw, []byte("declined")) {
			b.Fatal(string(raw), err)
		}
		c.Close()
	}
}
