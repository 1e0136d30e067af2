package stages

import (
	"io"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/kserve"
)

// pours writes a text until the far side closes, and tells how many bytes went out.
func (c *call) pours(begin, text string) int64 {
	conn := c.raw(begin)
	defer conn.Close()
	conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
	sum := int64(0)
	for sum < 1<<30 {
		n, err := io.WriteString(conn, text)
		sum += int64(n)
		if err != nil {
			break
		}
	}
	return sum
}

// A box that never ends its answer's head, or a proof's, must not fill the dispatcher's memory for as long as it is waited for.
func TestAHeadWithoutAnEndIsCutOff(t *testing.T) {
	for name, set := range map[string]func(b *box, script func(c *call)){
		"of a trip":  func(b *box, script func(c *call)) { b.script = script },
		"of a proof": func(b *box, script func(c *call)) { b.proof = script },
	} {
		t.Run(name, func(t *testing.T) {
			poured := make(chan int64, 256)
			s := open(t, func(s *site) {
				s.each("reader", func(b *box) {
					set(b, func(c *call) {
						c.strike()
						poured <- c.pours("HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("y", 32<<10)+"\r\n")
					})
				})
			})
			s.ask(1, nil)
			s.rules()
			if n := <-poured; n > 16<<20 { // what lies in the sockets' buffers counts too
				t.Errorf("%d bytes of a head were taken", n)
			}
		})
	}
}

// A stream that goes on past the tokens that were asked for, or on nothing but comments and other events, ends as broken: a
// client's place and a slot are not held for ever.
func TestAStreamWithoutAnEndIsCutOff(t *testing.T) {
	for name, text := range map[string]string{
		"of tokens":   "data: {\"text_output\":\" more\"}\n\n",
		"of comments": ": still here\n\n",
		"of others":   "event: ping\ndata: {}\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := open(t, func(s *site) {
				s.each("writer", func(b *box) {
					b.script = func(c *call) {
						c.take()
						c.begin()
						for range 5000 {
							if _, err := io.WriteString(c.w, text); err != nil || c.r.Context().Err() != nil {
								c.strike() // it would have gone on
								break
							}
							c.flush()
							time.Sleep(time.Millisecond)
						}
						c.end("cut")
					}
				})
			})
			s.ask(1, nil)
			s.until("the boxes see it closed", func() bool { return s.struck.Load() == 3 })
			if f := s.finals(); f[kserve.Failed] != 3 {
				t.Errorf("finals %v", f)
			}
			s.rules()
		})
	}
}
