package stages

import (
	"io"
	"strings"
	"testing"
	"time"
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
