package faultmatrix

import (
	"io"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/kserve"
)

// writeUntilClosed writes a text until the peer closes, and returns the number of bytes written.
func (c *call) writeUntilClosed(header, text string) int64 {
	conn := c.hijack(header)
	defer conn.Close()
	conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
	written := int64(0)
	for written < 1<<30 {
		n, err := io.WriteString(conn, text)
		written += int64(n)
		if err != nil {
			break
		}
	}
	return written
}

// A backend that never ends the header of its answer to an attempt or a probe must not fill the dispatcher's memory
// until the attempt times out.
func TestEndlessResponseHeaderIsCutOff(t *testing.T) {
	for name, set := range map[string]func(b *testBackend, script func(c *call)){
		"of an attempt": func(b *testBackend, script func(c *call)) { b.onAttempt = script },
		"of a probe":    func(b *testBackend, script func(c *call)) { b.onProbe = script },
	} {
		t.Run(name, func(t *testing.T) {
			bytesWritten := make(chan int64, 256)
			s := startCluster(t, func(s *testCluster) {
				s.eachBackend("reader", func(b *testBackend) {
					set(b, func(c *call) {
						c.countFault()
						bytesWritten <- c.writeUntilClosed("HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("y", 32<<10)+"\r\n")
					})
				})
			})
			s.submit(1, nil)
			s.checkRules()
			if n := <-bytesWritten; n > 16<<20 { // includes what is in the socket buffers
				t.Errorf("backend wrote %d bytes of a response header before the dispatcher closed, want at most 16 MiB", n)
			}
		})
	}
}

// A stream that continues past the requested tokens, or with nothing but comments and other events, ends as broken.
// Otherwise it would occupy the client's slot and a slot of the backend forever.
func TestEndlessStreamIsCutOff(t *testing.T) {
	for name, text := range map[string]string{
		"of tokens":   "data: {\"text_output\":\" more\"}\n\n",
		"of comments": ": still here\n\n",
		"of others":   "event: ping\ndata: {}\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startCluster(t, func(s *testCluster) {
				s.eachBackend("writer", func(b *testBackend) {
					b.onAttempt = func(c *call) {
						c.takeKVCache()
						c.startStream()
						for range 5000 {
							if _, err := io.WriteString(c.w, text); err != nil || c.r.Context().Err() != nil {
								c.countFault() // the dispatcher closed the stream
								break
							}
							c.flush()
							time.Sleep(time.Millisecond)
						}
						c.finish("cut")
					}
				})
			})
			s.submit(1, nil)
			s.waitFor("the dispatcher to close all three streams", func() bool { return s.faultCount.Load() == 3 })
			if f := s.finals(); f[kserve.Failed] != 3 {
				t.Errorf("final answers %v, want 3 failed", f)
			}
			s.checkRules()
		})
	}
}
