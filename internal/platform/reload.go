package platform

import (
	"context"
	"os"
	"time"
)

const (
	reloadAgain = 20 * time.Millisecond // between two tries to read a configuration that can't be read
	reloadMost  = 5 * time.Second       // for all of them: the file may be half written, or the system short of something, just now
)

// reload reads the configuration anew whenever it is told to, until the context ends; also while the dispatcher stops.
func (n *node) reload(ctx context.Context, again <-chan os.Signal, read func() (Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		}
		n.readAnew(ctx, again, read)
	}
}

// readAnew reads the configuration until it can be read. A further signal begins the time for that anew.
func (n *node) readAnew(ctx context.Context, again <-chan os.Signal, read func() (Config, error)) {
	for began, tries := time.Now(), 1; ; tries++ {
		next, err := read()
		if err == nil {
			n.log.Info("configuration read anew", "discovery", next.Discovery, "tries", tries)
			n.follower.SetAddress(next.Discovery)
			return
		}
		if tries == 1 {
			n.log.Warn("the new configuration can't be read yet", "error", err)
		}
		if time.Since(began) >= reloadMost {
			n.log.Warn("the new configuration is left out", "error", err, "tries", tries)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-again:
			began = time.Now()
		case <-time.After(reloadAgain):
		}
	}
}
