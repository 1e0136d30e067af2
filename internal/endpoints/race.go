package endpoints

import (
	"context"
	"slices"
	"time"
)

const (
	// attemptInterval is how long an attempt may go without a response before another starts beside it: discovery
	// either responds at once or is slow. It is also how long a message that has begun may go without a further byte.
	attemptInterval     = 1500 * time.Millisecond
	maxParallelAttempts = 3
)

// watchResult tells how an attempt at a watch ended.
type watchResult struct {
	attempt  int
	received bool // a list was applied
	err      error
}

// raceWatches keeps the watch of the first attempt that gets a response. While none has, another attempt starts
// beside the others at each attemptInterval: discovery may be back after an outage, while a slow one may still
// respond to the earlier attempts.
func (f *Follower) raceWatches(ctx context.Context, address string, followed bool) (received bool, err error) {
	responded, ended := make(chan int, 2*maxParallelAttempts), make(chan watchResult, 2*maxParallelAttempts)
	var cancels []context.CancelFunc
	var pending []int // attempts that run without a response, the oldest first
	start := func() {
		attempt := len(cancels)
		pending = append(pending, attempt)
		attemptCtx, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		go func() {
			received, err := f.watch(attemptCtx, address, followed, func() { responded <- attempt })
			ended <- watchResult{attempt, received, err}
		}()
	}
	start()
	ticker := time.NewTicker(attemptInterval)
	defer ticker.Stop()
	winner := -1 // the attempt that got the first response
	for running := 1; running > 0; {
		select {
		case attempt := <-responded:
			if winner >= 0 {
				continue
			}
			winner = attempt
			for i, cancel := range cancels {
				if i != attempt {
					cancel()
				}
			}
		case result := <-ended:
			running--
			cancels[result.attempt]()
			pending = slices.DeleteFunc(pending, func(attempt int) bool { return attempt == result.attempt })
			received = received || result.received
			if err == nil || result.attempt == winner || winner < 0 {
				err = result.err
			}
			if winner < 0 || result.attempt == winner {
				f.logEnd(address, result.err)
			}
		case <-ticker.C:
			if winner >= 0 {
				continue
			}
			if len(pending) >= maxParallelAttempts {
				// The oldest attempt makes way for a new one: discovery may just be back.
				cancels[pending[0]]()
				pending = pending[1:]
			}
			start()
			running++
		}
	}
	return received, err
}
