package scheduler

import (
	"cmp"
	"time"
)

// Outcomes: what attempts, own ones and those of peers, show about backends.

const (
	// fixedCostTokens is the number of tokens that stand for the fixed part of an attempt's duration.
	fixedCostTokens = 300
	// slowFactor is the multiple of its role's mean time per token above which an attempt is slow.
	slowFactor = 4
	// tokenTimeWeight is the weight of a new value in the running mean of the time per token.
	tokenTimeWeight = 0.05
	// tokenLimitDecrease is the factor by which one late attempt lowers a backend's token limit.
	tokenLimitDecrease = 0.8
)

// FirstToken handles the first token of an attempt. duration is the time since its send.
func (d *Dispatcher) FirstToken(attempt *Attempt, duration time.Duration) {
	if attempt.Ended || attempt.FirstTokenAt > 0 {
		return
	}
	attempt.FirstTokenAt = d.runtime.Now()
	attempt.Request.KVHolder, attempt.Request.Released, attempt.Request.ReleaseUnconfirmed = nil, false, false
	d.clearOutstanding(attempt.Request)
	d.recordOutcome(attempt, duration, true, false)
	d.timeToFirstToken.Add((attempt.FirstTokenAt - attempt.Request.DispatchedAt).Seconds(), 0.1)
	d.dispatch()
}

// recordOutcome judges an attempt as good, slow, bad or unreachable, or gives no verdict. It counts the verdict for
// its backend, sends it to some peers, and raises or lowers the backend's token limit. duration is the time from
// the attempt's send to its first token or, if called at its end, to that. hasLoad tells whether the attempt's
// result brought a load report, which then goes to the peers too. At a first token attempt.Outcome is not set yet.
func (d *Dispatcher) recordOutcome(attempt *Attempt, duration time.Duration, succeeded, hasLoad bool) {
	backend, now := attempt.Backend, d.runtime.Now()
	secondsPerToken := duration.Seconds() / (attempt.PrefillTokens + fixedCostTokens)
	slow := secondsPerToken > slowFactor*d.secondsPerToken[backend.Role].ValueOr(secondsPerToken)
	if succeeded {
		d.secondsPerToken[backend.Role].Add(secondsPerToken, tokenTimeWeight)
	}
	update := PeerUpdate{Backend: backend, ClassIndex: attempt.Request.Class.Index, HasLoad: hasLoad, Util: backend.Util,
		QueueLength: backend.QueueLength}
	// The latency target of the request, as a duration.
	targetTime := attempt.Request.TargetAt - attempt.Request.ReceivedAt
	switch {
	case attempt.Outcome == Unreachable:
		update.Verdict = VerdictUnreachable
	case succeeded && !slow:
		update.Verdict = VerdictGood
	case succeeded:
		update.Verdict = VerdictSlow
	// A failure is bad, but an attempt that timed out within the latency target and is not slow gets no verdict:
	// its client cut it short, which shows nothing about the backend.
	case slow || attempt.Outcome != TimedOut || duration > targetTime:
		update.Verdict = VerdictBad
	}
	// Counts the own attempt as it would a peer's. TargetShare is set only afterwards, as for own attempts
	// clearOutstanding adjusts the concurrency window.
	d.PeerUpdated(update)
	// Peers learn which share of the latency target the request has used once it has a first token, or if it timed
	// out without one.
	if succeeded && attempt.FirstTokenAt > 0 || attempt.FirstTokenAt == 0 && attempt.Outcome == TimedOut {
		update.TargetShare = d.targetShare(attempt.Request)
	}
	d.sendPeerUpdates(update)
	tokens := attempt.Request.KVTokens
	// Only latency shows that a backend is full, so errors and connection resets do not change its token limit; they
	// count in its success posterior. An attempt is late if it took over a third of the latency target, or if 7/10
	// of the target have passed since its request was received.
	late := duration > targetTime/3 || now-attempt.Request.ReceivedAt > targetTime*7/10
	// An attempt sent before the last reduction does not lower the limit again.
	if (late && succeeded || attempt.Outcome == TimedOut) && now-backend.LimitReducedAt > duration {
		backend.TokenLimit, backend.LimitReducedAt = max(tokens, backend.TokenLimit*tokenLimitDecrease), now
	} else if !late && succeeded && (len(d.queue) > 0 || !hasCapacity(backend, attempt.Request)) {
		// Additive increase: as many such requests as fill the limit together raise it by about one request's tokens.
		backend.TokenLimit += tokens * tokens / backend.TokenLimit
	}
}

// AttemptDone handles the end of an attempt and passes the result to its OnResult.
func (d *Dispatcher) AttemptDone(attempt *Attempt, result Result) {
	req, backend, now := attempt.Request, attempt.Backend, d.runtime.Now()
	attempt.Ended, attempt.Outcome = true, result.Outcome
	d.applyLoad(attempt, -1)
	d.applyLoadReport(backend, result.LoadReport)
	hasLoad := len(result.LoadReport) > 0 // without a report, peers get no load
	req.Finished = req.Finished || result.Finished
	// Only an attempt that is known to have reached its backend took over the KV cache, if briefly.
	if result.Outcome.provesArrival() {
		req.KVWaitingSince = now - result.Delay
	}
	switch result.Outcome {
	case Prefilled:
		req.KVHolder, req.Released = backend, false
		d.recordOutcome(attempt, result.Duration, true, hasLoad)
	case Served:
		if attempt.FirstTokenAt == 0 {
			d.recordOutcome(attempt, result.Duration, true, hasLoad)
		}
		d.sendPeerUpdates(PeerUpdate{Backend: backend, HasLoad: hasLoad, Util: backend.Util,
			QueueLength: backend.QueueLength})
		req.Class.DecodeSeconds.Add(now.Seconds()-attempt.FirstTokenAt.Seconds(), 0.02)
	case Rejected:
		if result.Detail == 1 {
			req.KVHolder, req.Released = nil, false
		}
	case Failed, TimedOut, Unreachable, ConnectionLost:
		d.recordOutcome(attempt, result.Duration, false, hasLoad)
	}
	if result.Outcome == Prefilled || result.Outcome == Served {
		d.recordCachedPrefix(attempt, float64(result.Detail))
		backend.CompletedWork.Add(now, d.requestWork(req, backend, attempt.Stage))
		d.invalidateCompletedWork()
		if attempt.Stage != StageDecode {
			uncached := max(req.PromptTokens-float64(result.Detail), 0)
			d.prefillTokens.Add(now, uncached)
			d.prefillRequests.Add(now, 1)
			d.prefixTable.Add(cmp.Or(req.PrefixKey, req.SessionKey), now, 1)
			req.Class.PrefillTokens.Add(uncached, 0.02)
		}
	}
	if attempt.FirstTokenAt == 0 && result.Outcome != Served {
		d.repeatRelease(req)
	}
	if req.Finished {
		d.clearOutstanding(req)
		d.releaseKV(req)
	} else {
		attempt.OnResult(result)
	}
	d.dispatch()
}

// recordCachedPrefix updates the backend's cached prefixes after prefill or a KV cache transfer, and the hit
// ratio from the cached tokens that the backend reported.
func (d *Dispatcher) recordCachedPrefix(attempt *Attempt, cached float64) {
	backend, req, now := attempt.Backend, attempt.Request, d.runtime.Now()
	if attempt.CachedTokens > 0 {
		backend.HitRatio.Add(min(1, cached/attempt.CachedTokens), 0.1)
	}
	backend.CacheInsertedTokens += max(req.PromptTokens-cached, 0)
	if req.SessionKey != 0 {
		backend.CachedPrefixes[req.SessionKey] = CachedPrefix{req.PromptTokens, now, backend.CacheInsertedTokens}
		d.recordPrefixHolder(req.SessionKey, backend)
	}
	if req.PrefixKey != 0 {
		backend.CachedPrefixes[req.PrefixKey] = CachedPrefix{req.PrefixTokens, now, backend.CacheInsertedTokens}
		d.recordPrefixHolder(req.PrefixKey, backend)
	}
}

// successPosterior returns the parameters of the Beta posterior of a backend's success, or failures 0 if
// nothing counts against it. It is the worse one of all classes together and of the request's class, as a
// backend may fail only one class. Consecutive failures count until the next success, but at most four: with
// more the backend would never be tried again.
func (d *Dispatcher) successPosterior(backend *Backend, req *Request) (successes, failures float64) {
	successes = 1
	for _, i := range []int{0, 1 + req.Class.Index} {
		stats, now := &backend.Outcomes[i], d.runtime.Now()
		bad := 1 + stats.Failures.Sum(now) + min(stats.ConsecutiveFailures, 4)
		if bad <= 1 {
			continue // nothing counts against it
		}
		if good := 2 + stats.Successes.Sum(now); bad*successes >= failures*good {
			successes, failures = good, bad
		}
	}
	return successes, failures
}

// drawTrust draws from the posterior whether the backend gets work.
func (d *Dispatcher) drawTrust(successes, failures float64) bool {
	return failures == 0 || d.rng.Beta(successes, failures) > trustThreshold
}

// PeerUpdated applies a peer's update, or that of an own attempt. It stores the backend's load and adjusts the
// concurrency window by the share of the latency target, each if reported, counts the verdict for the backend, and
// notes when the backend was unreachable.
func (d *Dispatcher) PeerUpdated(update PeerUpdate) {
	if update.HasLoad {
		update.Backend.Util, update.Backend.QueueLength = update.Util, update.QueueLength
	}
	d.applyPeerShare(update)
	for _, i := range []int{0, 1 + update.ClassIndex} {
		if i >= len(update.Backend.Outcomes) {
			return
		}
		update.Backend.Outcomes[i].Observe(d.runtime.Now(), update.Verdict, slowFailureWeight)
	}
	// An unreachable backend may be restarting, which service discovery shows only seconds later, so it is in
	// slow start until then. A lost connection alone doesn't show that: a burst of connection resets would put
	// the whole fleet in slow start.
	if update.Verdict == VerdictUnreachable {
		update.Backend.UnreachableAt = d.runtime.Now()
		d.invalidateCompletedWork()
	}
}

// sendPeerUpdates sends an update to a few peers, as many as the price of messages allows.
func (d *Dispatcher) sendPeerUpdates(update PeerUpdate) {
	peers, self := int(d.parameters.dispatchers)-1, int(d.parameters.index)
	start := int(d.rng.Float() * float64(peers))
	for i := range d.peerFanout {
		d.runtime.SendPeerUpdate((self+1+(start+i)%peers)%(peers+1), update)
	}
}
