package platform

import (
	"fmt"
	"net/http"
	"time"

	"sloetrestle/brain"
)

// What the platform says of a planned restart.
const (
	acceptTime    = 450 * time.Millisecond // after SIGTERM the front still opens connections for up to 400 ms
	killAfterMost = 3 * time.Second        // of the longest deadline, that SIGKILL waits for at least
	killAfterElse = 700 * time.Millisecond // that it waits for beyond that
)

const (
	// moveBefore is how long before SIGKILL streams are left to be continued elsewhere: their clients come again within 250 ms, and
	// in a rolling restart the next dispatcher stops about then.
	moveBefore = 1300 * time.Millisecond
	// answerBefore is how long before SIGKILL all requests without a first event are answered.
	answerBefore = 500 * time.Millisecond
	// silentMost is how long a connection that came before the last one may say nothing.
	maxConnSilence = 300 * time.Millisecond

	stopStep     = 5 * time.Millisecond // between two looks at what is still open
	releasesMost = time.Second          // for the releases of what abandoned attempts may have left
)

// stopTimes says when the steps of a shutdown are due, counted from SIGTERM.
type stopTimes struct {
	accept time.Duration // the listener closes
	move   time.Duration // streams that may be continued elsewhere are cut
	answer time.Duration // requests without a first event are answered
	kill   time.Duration // SIGKILL may come
}

// stopTimesOf derives the times of a shutdown from the settings: SIGKILL comes no sooner than the longest deadline, counted as 3 s
// where it is longer, and 0.7 s more.
func stopTimesOf(facts brain.Settings) stopTimes {
	longest := longestDeadline(facts)
	if longest == 0 {
		longest = killAfterMost
	}
	kill := min(longest, killAfterMost) + killAfterElse
	return stopTimes{
		accept: min(acceptTime, kill/2),
		move:   max(kill-moveBefore, min(acceptTime, kill/2)),
		answer: max(kill-answerBefore, kill/2),
		kill:   kill,
	}
}

// longestDeadline is that of the class which waits longest; 0: one states none.
func longestDeadline(facts brain.Settings) time.Duration {
	longest := time.Duration(0)
	for i := range facts.Names("requestClasses") {
		deadline := facts.Duration(fmt.Sprintf("requestClasses.%d.giveUpUs", i))
		if deadline <= 0 {
			return 0
		}
		longest = max(longest, deadline)
	}
	return longest
}

// stop answers what was taken, releases what is held, and ends all of it.
func (n *node) stop(web *http.Server) {
	began, times := time.Now(), stopTimesOf(n.facts)
	n.log.Info("stopping", "open", n.frontend.openRequests.Load(), "accept", times.accept, "move", times.move, "answer", times.answer)
	n.frontend.stopping.Store(true)
	n.limiter.drain()
	if n.facts.Bool("familyInfo.resume") {
		defer time.AfterFunc(times.move, func() { close(n.frontend.moveStreams) }).Stop()
	}
	defer time.AfterFunc(times.answer, n.answerAll).Stop()
	time.Sleep(times.accept)
	n.limiter.acceptBacklogOnly()
	<-n.served
	for !mayExit(n.limiter.count()) {
		time.Sleep(stopStep)
		n.limiter.closeSilent()
	}
	web.Close()
	n.releaseAll()
	n.log.Info("stopped", "took", time.Since(began))
	n.tell()
	n.end()
	n.trips.Wait()
	n.group.Wait()
}

// answerAll has every request without a first event answered, those that are still to come among them.
func (n *node) answerAll() {
	n.frontend.rejectAll.Store(true)
	n.loop.Post(n.loop.EndUnstarted)
}

// releaseAll calls off the attempts whose clients have gone, and waits until backends were told of all that they may hold.
func (n *node) releaseAll() {
	for end := time.Now().Add(releasesMost); time.Now().Before(end); time.Sleep(stopStep) {
		open := 0
		n.loop.Call(n.life, func() { open = n.loop.CancelAttempts() })
		if open == 0 && n.transport.releasing.Load() == 0 {
			return
		}
	}
	n.log.Warn("not all releases were heard", "waiting", n.transport.releasing.Load())
}
