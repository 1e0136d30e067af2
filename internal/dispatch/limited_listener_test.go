package dispatch

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"sloetrestle/internal/retrythrottle"
)

// Measures a connection that the limiter refuses, at both ends: dialed, answered, read and closed.
func BenchmarkRefusedConnection(b *testing.B) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer inner.Close()
	start := time.Now()
	limited := &limitedListener{
		inner, &sync.Mutex{}, &retrythrottle.ConnLimiter{ConnsPerSecond: 1e-9, Burst: 0, MaxOpen: 1},
		func() time.Duration { return time.Since(start) },
	}
	go limited.Accept()
	for b.Loop() {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		if raw, err := io.ReadAll(conn); err != nil || !bytes.Contains(raw, []byte("declined")) {
			b.Fatal(string(raw), err)
		}
		conn.Close()
	}
}
