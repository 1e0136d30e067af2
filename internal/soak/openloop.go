package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"sloetrestle/internal/system"
)

const (
	maxOpenRequests    = 4000 // concurrent requests of open-loop clients; more are skipped
	maxIdleConns       = 256  // idle connections that open-loop clients keep
	idleReconnectDelay = 50 * time.Millisecond
)

// connPool keeps idle connections of open-loop clients, which reuse them for as long as they stay open.
type connPool struct {
	mu    sync.Mutex
	conns []*clientConn
}

func (p *connPool) take() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) == 0 {
		return nil
	}
	c := p.conns[0]
	p.conns = p.conns[1:]
	return c
}

func (p *connPool) put(c *clientConn) {
	if c == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= maxIdleConns {
		c.close()
		return
	}
	p.conns = append(p.conns, c)
}

// openLoop sends requests at a given rate (per second), independently of earlier answers. Clients that wait for
// their answers would send less to a slow dispatcher.
func (c *clients) openLoop(ctx context.Context, rng *rand.Rand, rate float64) {
	var open sync.WaitGroup
	idle := &connPool{}
	slots := make(chan struct{}, maxOpenRequests)
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if !system.Sleep(ctx, time.Until(next)) {
			break
		}
		c.run.lateness.observe(time.Since(next))
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		requestRand := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		open.Go(func() {
			defer func() { <-slots }()
			idle.put(c.sendRequest(ctx, requestRand, idle.take(), plain))
		})
	}
	open.Wait()
	for conn := idle.take(); conn != nil; conn = idle.take() {
		conn.close()
	}
}

// idle runs a client that opens a connection, sends nothing, and opens the next one when that is closed.
func (c *clients) idle(ctx context.Context, d *dispatcher) {
	for system.Sleep(ctx, idleReconnectDelay) {
		conn, err := net.DialTimeout("tcp", d.listen, time.Second)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		io.Copy(io.Discard, conn)
		stop()
		conn.Close()
	}
}
