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
	maxOpenRequests    = 4000 // requests of open-loop clients that may be open
	maxIdleConns       = 256  // connections at rest that open-loop clients keep
	idleReconnectDelay = 50 * time.Millisecond
)

// pool keeps connections between the requests of open-loop clients, which use them for as long as they stay open.
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

// openLoop sends requests at a rate, whatever becomes of the earlier ones: clients that wait for their answers ask a slow dispatcher less.
func (c *clients) openLoop(ctx context.Context, rng *rand.Rand, rate float64) {
	var open sync.WaitGroup
	rests := &connPool{}
	places := make(chan struct{}, maxOpenRequests)
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if !system.Sleep(ctx, time.Until(next)) {
			break
		}
		c.run.lateness.observe(time.Since(next))
		select {
		case places <- struct{}{}:
		default:
			continue
		}
		one := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		open.Go(func() {
			defer func() { <-places }()
			rests.put(c.sendRequest(ctx, one, rests.take(), plain))
		})
	}
	open.Wait()
	for conn := rests.take(); conn != nil; conn = rests.take() {
		conn.close()
	}
}

// idle is a client that opens a connection, says nothing, and opens the next one when that is closed.
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
