package platform

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sloetrestle/internal/memory"
)

// This file takes the memory of clients' connections from the account, and gives it up when others need it more.

// What is held for a client, in bytes.
const (
	connectionBytes    = 20 << 10 // of a connection: two goroutines, the buffers of net/http and what one read brings
	requestBytes       = 24 << 10 // of an open request besides its head, body and attempt
	headFieldBytes     = 160      // of one field of a head that is parsed, besides its text
	headTextCopies     = 3        // of the text of a head: as read, as parsed and as sent to a backend
	minPipelinedBuffer = 1 << 10  // of what is pipelined behind an open request
)

// maxHeadLines bounds the lines of a head: very many short ones take far more memory and time than their text.
const maxHeadLines = 256

const (
	memoryPollInterval = 2 * time.Millisecond // between two tries to reserve memory that another client is giving up
	memoryWaitTimeout  = time.Second          // for memory that another client is giving up
)

// errNoMemory ends reading a request for which there is no memory.
var errNoMemory = errors.New("no memory for the request")

// reserve takes memory for the connection's request from a holder. If there is none, the client that takes most has its
// unfinished request or what it has pipelined given up; if that is this one, the error is errNoMemory.
func (c *clientConn) reserve(holder *memory.Holder, use memory.Use, size int64) error {
	for end := time.Now().Add(memoryWaitTimeout); ; time.Sleep(memoryPollInterval) {
		victim, err := holder.Reserve(use, size)
		if victim != nil {
			victim.Evict()
		}
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, memory.ErrEvicting), c.isEvicted(), time.Now().After(end):
			return fmt.Errorf("%w: %w", errNoMemory, err)
		}
	}
}

func (c *clientConn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// reserveHead takes the memory for the part of a head that a read of so many bytes returns next. If there is none, it
// answers the client, and the error ends the connection.
func (c *clientConn) reserveHead(size int) error {
	cost, lines := c.nextHeadPart(size)
	switch {
	case cost == 0:
		return nil
	case lines > maxHeadLines:
		return c.rejectHead(http.StatusRequestHeaderFieldsTooLarge, "fields")
	case c.reserve(c.memory, memory.Incoming, int64(cost)) != nil:
		return c.rejectHead(http.StatusServiceUnavailable, string(rejectedMemory))
	}
	return nil
}

// nextHeadPart returns what the part of a head that a read of so many bytes returns next takes when it is parsed, in
// bytes, and the lines of the head up to its end. The cost is 0 if no part of a head is returned.
func (c *clientConn) nextHeadPart(size int) (cost, lines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framer.position != inHead || len(c.pending) == 0 {
		return 0, 0
	}
	after, n := c.framer.probe(c.pending[:min(size, len(c.pending))])
	return headTextCopies*n + headFieldBytes*(after.headLines-c.framer.headLines), after.headLines
}

// rejectHead answers a request whose head has not been read whole. The error ends the connection: net/http must not
// answer it too.
func (c *clientConn) rejectHead(status int, reason string) error {
	c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(reason), reason)
	return io.EOF
}

// readFailure returns the error of a read for which reading the socket failed.
func (c *clientConn) readFailure(err error) error {
	c.mu.Lock()
	evicted, inHead := c.evicted, c.framer.position == inHead
	c.mu.Unlock()
	switch {
	case evicted && inHead:
		return c.rejectHead(http.StatusServiceUnavailable, string(rejectedMemory))
	case evicted:
		return errNoMemory
	}
	return err
}

// bufferPipelined buffers what was read behind an open request. If there is no memory for it, all that is pipelined is
// dropped, and the connection is closed after the open request. The caller holds the lock.
func (c *clientConn) bufferPipelined(received []byte) {
	size := len(c.pending) + len(received)
	if size > maxPipelinedBytes || !c.growPipelined(size) {
		c.dropPipelined()
		return
	}
	c.pending = append(c.pending, received...)
}

// growPipelined makes room in pending for so many bytes in all, and reports whether there is memory for it. The caller
// holds the lock.
func (c *clientConn) growPipelined(size int) bool {
	if size <= cap(c.pending) && c.pipelinedBytes > 0 {
		return true
	}
	capacity := min(max(2*len(c.pending), size, minPipelinedBuffer), maxPipelinedBytes)
	if further := int64(capacity - c.pipelinedBytes); further > 0 {
		victim, err := c.memory.Reserve(memory.Pipelined, further)
		if victim != nil {
			victim.EvictFrom()
		}
		switch {
		case errors.Is(err, memory.ErrEvicting):
			c.memory.Take(memory.Pipelined, further) // room is being made, and the bytes are here
		case err != nil:
			return false
		}
	} else {
		c.memory.Release(memory.Pipelined, -further)
	}
	c.pipelinedBytes = capacity
	c.pending = append(make([]byte, 0, capacity), c.pending...)
	return true
}

// dropPipelined drops what was read behind the open request. The caller holds the lock.
func (c *clientConn) dropPipelined() {
	c.overrun = true
	c.dropPending()
}

// dropPending frees what was read and not returned. The caller holds the lock.
func (c *clientConn) dropPending() {
	c.pending, c.pipelinedBytes = nil, 0
	c.memory.ReleaseAll(memory.Pipelined)
}

// giveUpMemory has the connection release what another client needs more: a request that is not whole, or what is
// pipelined behind one. It reports whether it could look at the connection: with wait false it does not wait for the lock.
func (c *clientConn) giveUpMemory(wait bool) bool {
	switch {
	case wait:
		c.mu.Lock()
	case !c.mu.TryLock():
		return false
	}
	defer c.mu.Unlock()
	if c.state != connReading && c.state != connAnswering {
		return true
	}
	c.dropPipelined()
	if !c.admitted {
		c.evicted = true
		c.updateReadDeadline()
	}
	return true
}

// admit hands the memory of a request that was received over to the request's own holder, and reports whether the
// request is still there. From then on it is not given up.
func (c *clientConn) admit(holder *memory.Holder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	c.admitted = true
	c.memory.MoveTo(holder, memory.Incoming, memory.Requests)
	return true
}
