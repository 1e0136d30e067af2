package faultmatrix

import (
	"testing"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
)

// A dispatcher whose shutdown timeout passes while requests are in prefill releases their KV caches too.
func TestShutdownReleasesKVCachesOfPendingPrefills(t *testing.T) {
	for range 5 {
		s := startCluster(t, func(s *testCluster) {
			s.config.Instance.ShutdownTimeout = setup.Duration(20 * time.Millisecond)
			s.eachBackend("reader", func(b *testBackend) {
				b.onAttempt = func(c *call) {
					c.countFault()
					c.holdKVCache()
					<-c.r.Context().Done()
					c.finish("closed")
				}
			})
		})
		done := make(chan bool)
		go func() { s.submit(4, nil); close(done) }()
		s.waitFor("six attempts to be in prefill", func() bool { return s.faultCount.Load() >= 6 })
		s.stop()
		<-done
		queued := s.heldKVCaches()
		if f := s.finals(); queued > 0 || f[kserve.Failed]+f[kserve.Rejected] != 12 {
			t.Errorf("%d KV caches held after shutdown, want 0; final answers %v, want 12 failed or rejected", queued, f)
		}
		s.checkRules()
	}
}
