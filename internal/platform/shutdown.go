package platform

import (
	"fmt"
	"net/http"
	"time"

	"sloetrestle/scheduler"
)

// What the platform guarantees about a planned restart.
const (
	acceptAfterStop = 450 * time.Millisecond // the platform opens connections for up to 400 ms after SIGTERM
	// SIGKILL comes no sooner after SIGTERM than the longest deadline, of which at most maxDeadlineBeforeKill counts,
	// plus killAfterDeadline.
	maxDeadlineBeforeKill = 3 * time.Second
	killAfterDeadline     = 700 * time.Millisecond
	// mustAnswerAfter is how long after SIGTERM a request is late: the platform counts a request that comes over 0.7 s
	// after SIGTERM as lost if it is open at SIGKILL. The process may learn of SIGTERM up to 150 ms after it was sent.
	mustAnswerAfter = 550 * time.Millisecond
)

const (
	// cutStreamsBeforeKill is how long before SIGKILL streams are cut for their clients to continue elsewhere.
	// Clients reconnect within 250 ms, and in a rolling restart the next dispatcher stops at about that time.
	cutStreamsBeforeKill = 1300 * time.Millisecond
	// answerBeforeKill is how long before SIGKILL all requests without a first event are answered.
	answerBeforeKill = 500 * time.Millisecond
	// maxConnSilence is how long a connection may send nothing during shutdown before it is closed.
	maxConnSilence = 300 * time.Millisecond

	openAtKillLead       = 100 * time.Millisecond // before the earliest SIGKILL, when open requests are logged
	shutdownPollInterval = 5 * time.Millisecond   // between two checks of what is still open
	finalReleaseTimeout  = time.Second            // for the releases of KV caches that abandoned attempts may have left
)

// shutdownTimes says when the steps of a graceful shutdown are due, counted from SIGTERM.
type shutdownTimes struct {
	closeListener time.Duration
	cutStreams    time.Duration // streams that can be continued elsewhere are cut
	answer        time.Duration // requests without a first event are answered
	kill          time.Duration // the earliest SIGKILL
}

// shutdownTimesFor derives the times of a graceful shutdown from the settings: SIGKILL comes no sooner than the
// longest deadline, counted as 3 s where it is longer, plus 0.7 s.
func shutdownTimesFor(settings scheduler.Settings) shutdownTimes {
	longest := longestDeadline(settings)
	if longest == 0 {
		longest = maxDeadlineBeforeKill
	}
	kill := min(longest, maxDeadlineBeforeKill) + killAfterDeadline
	return shutdownTimes{
		closeListener: min(acceptAfterStop, kill/2),
		cutStreams:    max(kill-cutStreamsBeforeKill, min(acceptAfterStop, kill/2)),
		answer:        max(kill-answerBeforeKill, kill/2),
		kill:          kill,
	}
}

// longestDeadline returns the longest deadline of all classes, or 0 if a class states none.
func longestDeadline(settings scheduler.Settings) time.Duration {
	longest := time.Duration(0)
	for i := range settings.Names("requestClasses") {
		deadline := settings.Duration(fmt.Sprintf("requestClasses.%d.giveUpUs", i))
		if deadline <= 0 {
			return 0
		}
		longest = max(longest, deadline)
	}
	return longest
}

// shutdown answers all admitted requests, releases KV caches that backends may hold, and ends all goroutines of the
// node.
func (n *node) shutdown(server *http.Server) {
	began, times := time.Now(), n.frontend.shutdownTimes
	n.log.Info("stopping", "open", n.frontend.openRequests.Load(),
		"accept", times.closeListener, "move", times.cutStreams, "answer", times.answer, "kill", times.kill)
	n.frontend.stoppingSince = began
	n.frontend.stopping.Store(true)
	n.limiter.drain()
	if n.frontend.resumable {
		defer time.AfterFunc(times.cutStreams, func() { close(n.frontend.moveStreams) }).Stop()
	}
	defer time.AfterFunc(times.answer, n.answerAll).Stop()
	defer time.AfterFunc(times.kill-openAtKillLead, n.logOpenAtKill).Stop()
	time.Sleep(times.closeListener)
	n.limiter.acceptBacklogOnly()
	<-n.acceptingDone
	for !mayExit(n.limiter.count()) {
		time.Sleep(shutdownPollInterval)
		n.limiter.closeSilent()
	}
	server.Close()
	n.releaseAll()
	n.log.Info("stopped", "took", time.Since(began))
	n.logState()
	n.cancel()
	n.transportTasks.Wait()
	n.tasks.Wait()
}

// answerAll has every request without a first event answered, every further request rejected, and the late streams that
// still run cut.
func (n *node) answerAll() {
	n.frontend.rejectAll.Store(true)
	close(n.frontend.endLateStreams)
	n.loop.Post(n.loop.EndUnstarted)
}

// logOpenAtKill logs the requests that SIGKILL may cut off, and how many of them would count as lost.
func (n *node) logOpenAtKill() {
	if open := n.frontend.openRequests.Load(); open > 0 {
		n.log.Warn("requests are open and SIGKILL may come", "open", open, "late", n.frontend.openLate.Load())
	}
}

// releaseAll cancels the attempts that no client waits for, and waits until all releases of KV caches have finished.
func (n *node) releaseAll() {
	for end := time.Now().Add(finalReleaseTimeout); time.Now().Before(end); time.Sleep(shutdownPollInterval) {
		open := 0
		n.loop.Call(n.lifetime, func() { open = n.loop.CancelAttempts() })
		if open == 0 && n.transport.pending.Load() == 0 {
			return
		}
	}
	n.log.Warn("not all releases were answered before the shutdown ended", "waiting", n.transport.pending.Load())
}
