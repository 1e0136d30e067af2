package platform

import (
	"context"
	"os"
	"time"
)

const (
	reloadRetryInterval = 20 * time.Millisecond // between two attempts to read a configuration that can't be read
	// reloadTimeout bounds all attempts of one reload. The file may be half written, or the system short of a
	// resource for a moment.
	reloadTimeout = 5 * time.Second
)

// watchReloads reads the configuration again on every signal until the context ends, also during a graceful shutdown.
func (n *node) watchReloads(ctx context.Context, signals <-chan os.Signal, load func() (Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		n.reload(ctx, signals, load)
	}
}

// reload reads the configuration, and retries until it can be read or reloadTimeout has passed. A further signal
// restarts the timeout.
func (n *node) reload(ctx context.Context, signals <-chan os.Signal, load func() (Config, error)) {
	for began, attempts := time.Now(), 1; ; attempts++ {
		config, err := load()
		if err == nil {
			n.log.Info("configuration reloaded", "discovery", config.Discovery, "tries", attempts)
			n.follower.SetAddress(config.Discovery)
			return
		}
		if attempts == 1 {
			n.log.Warn("cannot read the new configuration yet, retrying", "error", err)
		}
		if time.Since(began) >= reloadTimeout {
			n.log.Warn("giving up on the new configuration, the previous one stays in use", "error", err, "tries", attempts)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-signals:
			began = time.Now()
		case <-time.After(reloadRetryInterval):
		}
	}
}
