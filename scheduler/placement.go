package scheduler

import (
	"cmp"
	"slices"
)

// Placement: where a request is prefilled and where it is decoded.

// eligible returns the backends of the wanted roles that the rules allow: the trusted ones, or all if none is
// trusted. Among suspected ones (more likely to fail than not) only one is drawn for at a time: failing
// backends look idle, and with a draw for each, one of many would be picked for nearly every request.
func (d *Dispatcher) eligible(req *Request, matches func(*Backend) bool) []*Backend {
	var all, trusted, suspected []*Backend
	for _, backend := range d.candidates(req) {
		if !matches(backend) || d.disallowed(req, backend) {
			continue
		}
		all = append(all, backend)
		if successes, failures := d.successPosterior(backend, req); req.FailedAt(backend) {
			continue
		} else if failures > successes {
			suspected = append(suspected, backend)
		} else if d.drawTrust(successes, failures) {
			trusted = append(trusted, backend)
		}
	}
	if count := len(suspected); count > 0 {
		if backend := suspected[int(d.rng.Float()*float64(count))]; d.drawTrust(d.successPosterior(backend, req)) {
			trusted = append(trusted, backend)
		}
	}
	if len(trusted) == 0 {
		return all
	}
	return trusted
}

// loadScore is how loaded a backend looks for one more request that has tokens to prefill there: own streams
// and prefill, a mean prompt (of at least 300 tokens) counting as half a stream, scaled by the last load
// report. With many dispatchers the own load is nearly always zero; then load sent recently and the
// dispatcher's random bias decide.
func (d *Dispatcher) loadScore(backend *Backend, prefillTokens float64) float64 {
	load := float64(backend.Streams) + 1 + backend.Bias +
		(backend.PrefillBacklog+prefillTokens)/2/max(d.meanPrefillTokens, 300) +
		recentLoadWeight*backend.RecentLoad.Sum(d.runtime.Now())/(1+d.streams/max(d.decodeCount, 1))
	return load / (backend.RelativeCapacity * d.capacityShare(backend)) *
		(1 + backend.Util + backend.QueueLength/5) * backend.DistanceFactor
}

// nextLoadScore is the load score for a request with nothing to prefill.
func (d *Dispatcher) nextLoadScore(backend *Backend) float64 { return d.loadScore(backend, 0) }

// route sends a request to its first backend: in place at a decode backend, whole at a mixed one, or to
// prefill. It reports false without free capacity.
func (d *Dispatcher) route(req *Request) bool {
	decodeBackends := d.eligible(req, (*Backend).Decodes)
	withCapacity := Filter(decodeBackends, func(b *Backend) bool { return hasCapacity(b, req) })
	if len(withCapacity) == 0 && len(decodeBackends) > 0 || d.freeKVTokens(req) < req.KVTokens {
		return false
	}
	if backend := d.pickInPlaceDecode(req, withCapacity); backend != nil {
		return d.send(req, backend, StageWhole, d.afterAttempt(req))
	}
	prefillBackend := d.pickPrefill(req, decodeBackends)
	if backend := d.pickMixed(req, withCapacity, prefillBackend); backend != nil {
		return d.send(req, backend, StageWhole, d.afterAttempt(req))
	}
	return d.send(req, prefillBackend, StagePrefill, d.afterAttempt(req))
}

// hasCapacity reports whether the request fits the backend's token limit. An idle backend always has capacity.
func hasCapacity(backend *Backend, req *Request) bool {
	return backend.Streams == 0 || backend.KVTokens+req.KVTokens <= backend.TokenLimit
}

// pickInPlaceDecode picks a decode backend that should prefill a short prompt itself, by cached prefix and
// load. The limit for a short prompt rises up to fourfold while a token takes longer at prefill backends than
// at decode backends.
func (d *Dispatcher) pickInPlaceDecode(req *Request, withCapacity []*Backend) *Backend {
	if !d.parameters.decodeMayPrefill {
		return nil
	}
	limitFactor := min(max(d.secondsPerToken[RolePrefill].ValueOr(0)/
		max(d.secondsPerToken[RoleDecode].ValueOr(0), 1e-6), 1), 4)
	eligible := Filter(withCapacity, func(backend *Backend) bool {
		return backend.Role == RoleDecode && d.uncachedTokens(backend, req) < shortPromptShare*limitFactor*d.meanPrefillTokens
	})
	return MinBy(eligible, func(b *Backend) float64 { return d.nextLoadScore(b) / (1 + d.cachedTokens(b, req)) })
}

// pickMixed picks a mixed backend that should serve the request whole, or nil. It is picked if its load score
// is below that of the best decode backend and the prefill backend together. The score counts twice because
// prefill also delays the answers streamed there, and more if whole attempts have lately been slower than
// prefill and decode apart.
func (d *Dispatcher) pickMixed(req *Request, withCapacity []*Backend, prefillBackend *Backend) *Backend {
	wholeScore := func(b *Backend) float64 { return d.loadScore(b, d.uncachedTokens(b, req)) }
	mixed := MinBy(d.affinityCandidates(req, RoleMixed, Filter(withCapacity, (*Backend).Mixed)), wholeScore)
	decodeBackend := MinBy(Filter(withCapacity, func(b *Backend) bool { return b.Role == RoleDecode }), d.nextLoadScore)
	if d.meanPrefillTokens == 0 && prefillBackend != nil || mixed == nil {
		return nil
	}
	if decodeBackend == nil || prefillBackend == nil {
		return mixed
	}
	uncached := d.uncachedTokens(prefillBackend, req)
	separateTime := (uncached+300)*d.secondsPerToken[RolePrefill].ValueOr(0) + 300*d.secondsPerToken[RoleDecode].ValueOr(0)
	slowdown := min(max((uncached+300)*d.secondsPerToken[RoleMixed].ValueOr(0)/max(separateTime, 1e-6), 1), 4)
	if 2*slowdown*wholeScore(mixed) > d.nextLoadScore(decodeBackend)+d.loadScore(prefillBackend, uncached) {
		return nil
	}
	return mixed
}

// affinityCandidates returns the eligible backends to which the request's prefix hashes. All dispatchers agree
// on them, so they have the prefix cached even if this dispatcher rarely sends it. There are two, and more for
// a prefix so common that two would get more than their share of prefill or one rack's link would carry it
// all. If all of them are far above the mean load, the next in order are added, as in consistent hashing with
// bounded loads. If one is suspected the other serves; others prefill the prefix anew only if all are
// suspected. Backends in slow start that may be sent work are always included: few prefixes hash to the few
// backends whose turn it is.
func (d *Dispatcher) affinityCandidates(req *Request, role Role, eligible []*Backend) []*Backend {
	key := cmp.Or(req.PrefixKey, req.SessionKey)
	ordered := d.affinityOrder(req, role)
	count := d.affinityCount(key, role, ordered)
	ordered = d.extendAffinity(ordered, key, role, count, eligible)
	maxLoad := maxLoadFactor * MeanOf(eligible, d.nextLoadScore)
	usable := func(b *Backend) bool { return slices.Contains(eligible, b) && d.nextLoadScore(b) < maxLoad }
	for count < len(ordered) && !slices.ContainsFunc(ordered[:count], usable) {
		count++
	}
	candidates := Filter(ordered[:min(count, len(ordered))], func(b *Backend) bool { return slices.Contains(eligible, b) })
	if len(candidates) == 0 {
		SortByHash(eligible, key)
		candidates = slices.Clone(eligible[:min(count, len(eligible))])
	}
	return append(candidates, Filter(eligible, func(b *Backend) bool {
		return d.recentlyStarted(b) && !slices.Contains(candidates, b)
	})...)
}

// pickPrefill picks the prefill backend with the lowest load in uncached tokens from the prefix's affinity
// candidates. As the KV cache should stay in its rack, the score is multiplied by that of the least loaded
// decode backend in the rack.
func (d *Dispatcher) pickPrefill(req *Request, decodeBackends []*Backend) *Backend {
	minScore := minCostByRack(decodeBackends, d.nextLoadScore)
	return MinBy(d.affinityCandidates(req, RolePrefill, d.eligible(req, (*Backend).PrefillOnly)),
		func(backend *Backend) float64 {
			rackScore, found := minScore[backend.Rack]
			if !found {
				rackScore = d.nextLoadScore(backend) // no decode backend in the rack
			}
			return d.loadScore(backend, d.uncachedTokens(backend, req)) * rackScore
		})
}

// pickDecode sends a request whose prefill has ended to the decode backend with the lowest load, preferring
// the rack that holds its KV cache. It reports false if the KV cache may not wait or no backend can be used.
func (d *Dispatcher) pickDecode(req *Request) bool {
	if d.mayHoldKV(req) != Allowed {
		return false
	}
	backend := MinBy(d.eligible(req, (*Backend).Decodes), func(backend *Backend) float64 {
		if req.KVHolder != nil && backend.Rack != req.KVHolder.Rack {
			return d.nextLoadScore(backend) * crossRackPenalty
		}
		return d.nextLoadScore(backend)
	})
	return d.send(req, backend, StageDecode, d.afterAttempt(req))
}

// afterAttempt returns what to do with an attempt's result: a KV cache that waits goes to a decode backend,
// anything else starts over.
func (d *Dispatcher) afterAttempt(req *Request) func(Result) {
	return func(result Result) {
		if req.KVHolder != nil && d.pickDecode(req) {
			return
		}
		d.restart(req)
	}
}

// anyAllowed reports whether the rules allow the request at any decode backend.
func (d *Dispatcher) anyAllowed(req *Request) bool {
	return slices.ContainsFunc(d.backends, func(b *Backend) bool { return b.Decodes() && !d.disallowed(req, b) })
}

// restart starts a request over if a backend may still take it, else gives it up at once.
func (d *Dispatcher) restart(req *Request) {
	d.clearOutstanding(req)
	d.releaseKV(req)
	if !d.anyAllowed(req) {
		d.giveUp(req)
		return
	}
	d.enqueue(req)
}

// cachedTokens estimates how much of the prompt the backend has cached. Tokens inserted since the prefix was
// used, over all dispatchers, evict it in the end; the estimate is scaled by how well past ones were met.
func (d *Dispatcher) cachedTokens(backend *Backend, req *Request) float64 {
	cached := 0.0
	for _, key := range []uint64{req.SessionKey, req.PrefixKey} {
		prefix, ok := backend.CachedPrefixes[key]
		inserted := (backend.CacheInsertedTokens - prefix.InsertedTokens) * d.parameters.dispatchers
		if ok && key != 0 && d.runtime.Now()-prefix.UsedAt < prefixTTL && inserted < backend.KVCapacity-backend.KVTokens {
			cached = max(cached, prefix.Tokens)
		}
	}
	return min(cached, req.PromptTokens) * backend.HitRatio.ValueOr(1)
}

// uncachedTokens is how much of the prompt the backend would have to prefill.
func (d *Dispatcher) uncachedTokens(backend *Backend, req *Request) float64 {
	return req.PromptTokens - d.cachedTokens(backend, req)
}
