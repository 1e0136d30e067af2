package stages

import (
	"testing"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
)

// A dispatcher that is told to stop while prompts are read, and whose time for that is up first, lets go of their states too.
func TestAStopLetsGoOfWhatIsStillRead(t *testing.T) {
	for range 5 {
		s := open(t, func(s *site) {
			s.d.Instance.ShutdownTimeout = setup.Duration(20 * time.Millisecond)
			s.each("reader", func(b *box) {
				b.script = func(c *call) {
					c.strike()
					c.keep()
					<-c.r.Context().Done()
					c.end("closed")
				}
			})
		})
		done := make(chan bool)
		go func() { s.ask(4, nil); close(done) }()
		s.until("they are being read", func() bool { return s.struck.Load() >= 6 })
		s.stop()
		<-done
		left := s.waiting()
		if f := s.finals(); left > 0 || f[kserve.Failed]+f[kserve.Rejected] != 12 {
			t.Errorf("%d states wait after the stop, finals %v", left, f)
		}
		s.rules()
	}
}
