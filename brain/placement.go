package brain

import (
	"cmp"
	"slices"
)

// Placement: where a request is prefilled and where it is decoded.

// eligible returns the backends of the wanted roles that the rules allow: the trusted ones, or all if none is
// trusted. Among suspected ones (more likely to fail than not) only one is drawn for at a time: failing
// backends look idle, and with a draw for each, one of many would be picked for nearly every request.
func (d *Dispatcher) able(req *Request, matches func(*Backend) bool) []*Backend {
	var all, trusted, suspected []*Backend
	for _, backend := range d.candidates(req) {
		if !matches(backend) || d.barred(req, backend) {
			continue
		}
		all = append(all, backend)
		if successes, failures := d.chance(backend, req); req.FailedAt(backend) {
			continue
		} else if failures > successes {
			suspected = append(suspected, backend)
		} else if d.drawn(successes, failures) {
			trusted = append(trusted, backend)
		}
	}
	if count := len(suspected); count > 0 {
		if backend := suspected[int(d.rng.Float()*float64(count))]; d.drawn(d.chance(backend, req)) {
			trusted = append(trusted, backend)
		}
	}
	if len(trusted) == 0 {
		return all
	}
	return trusted
}

// loadScore is how loaded a backend looks for one more request that has tokens to prefill there: own streams
// and prefill, a mean prompt (of 300 tokens at least) counting as half a stream, scaled by the last load report. With many dispatchers
// the own load is nearly always zero; then load sent recently and the dispatcher's random bias decide.
func (d *Dispatcher) press(backend *Backend, prefillTokens float64) float64 {
	load := float64(backend.Streams) + 1 + backend.Lean + (backend.Unread+prefillTokens)/2/max(d.average, 300) +
		lasting*backend.Given.Sum(d.runtime.Now())/(1+d.streams/max(d.answering, 1))
	return load / (backend.Size * d.warmth(backend)) * (1 + backend.Util + backend.Queue/5) * backend.Far
}

// nextLoadScore is the load score for a request with nothing to prefill.
func (d *Dispatcher) next(backend *Backend) float64 { return d.press(backend, 0) }

// route sends a request to its first backend: in place at a decode backend, whole at a mixed one, or to
// prefill. It reports false without free capacity.
func (d *Dispatcher) route(req *Request) bool {
	decodeBackends := d.able(req, (*Backend).Answers)
	withCapacity := Only(decodeBackends, func(b *Backend) bool { return hasRoom(b, req) })
	if len(withCapacity) == 0 && len(decodeBackends) > 0 || d.freeMemory(req) < req.Memory {
		return false
	}
	if backend := d.inPlace(req, withCapacity); backend != nil {
		return d.send(req, backend, Whole, d.onward(req))
	}
	prefillBackend := d.pickPrefill(req, decodeBackends)
	if backend := d.pickMixed(req, withCapacity, prefillBackend); backend != nil {
		return d.send(req, backend, Whole, d.onward(req))
	}
	return d.send(req, prefillBackend, ToRead, d.onward(req))
}

// hasCapacity reports whether the request fits the backend's token limit. An idle backend always has capacity.
func hasRoom(backend *Backend, req *Request) bool {
	return backend.Streams == 0 || backend.Tokens+req.Memory <= backend.Room
}

// pickInPlaceDecode picks a decode backend that should prefill a short prompt itself, by cached prefix and
// load. The limit for a short prompt rises up to fourfold while a token takes longer at prefill backends than
// at decode backends.
func (d *Dispatcher) inPlace(req *Request, withCapacity []*Backend) *Backend {
	if !d.parameters.readsInPlace {
		return nil
	}
	limitFactor := min(max(d.typical[Reads].Or(0)/max(d.typical[Writes].Or(0), 1e-6), 1), 4)
	eligible := Only(withCapacity, func(backend *Backend) bool {
		return backend.Role == Writes && d.unkept(backend, req) < cutShare*limitFactor*d.average
	})
	return Least(eligible, func(b *Backend) float64 { return d.next(b) / (1 + d.keeps(b, req)) })
}

// pickMixed picks a mixed backend that should serve the request whole, or nil. It is picked if its load score
// is below that of the best decode backend and the prefill backend together. The score counts twice because
// prefill also delays the answers streamed there, and more if whole attempts have lately been slower than
// prefill and decode apart.
func (d *Dispatcher) pickMixed(req *Request, withCapacity []*Backend, prefillBackend *Backend) *Backend {
	wholeScore := func(b *Backend) float64 { return d.press(b, d.unkept(b, req)) }
	mixed := Least(d.homes(req, Both, Only(withCapacity, (*Backend).Mixed)), wholeScore)
	decodeBackend := Least(Only(withCapacity, func(b *Backend) bool { return b.Role == Writes }), d.next)
	if d.average == 0 && prefillBackend != nil || mixed == nil {
		return nil
	}
	if decodeBackend == nil || prefillBackend == nil {
		return mixed
	}
	uncached := d.unkept(prefillBackend, req)
	separateTime := (uncached+300)*d.typical[Reads].Or(0) + 300*d.typical[Writes].Or(0)
	slowdown := min(max((uncached+300)*d.typical[Both].Or(0)/max(separateTime, 1e-6), 1), 4)
	if 2*slowdown*wholeScore(mixed) > d.next(decodeBackend)+d.press(prefillBackend, uncached) {
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
func (d *Dispatcher) homes(req *Request, role Role, eligible []*Backend) []*Backend {
	key := cmp.Or(req.Shared, req.Session)
	ordered := d.homesInOrder(req, role)
	count := d.homesWanted(key, role, ordered)
	ordered = d.withMoreHomes(ordered, key, role, count, eligible)
	maxLoad := bound * Average(eligible, d.next)
	usable := func(b *Backend) bool { return slices.Contains(eligible, b) && d.next(b) < maxLoad }
	for count < len(ordered) && !slices.ContainsFunc(ordered[:count], usable) {
		count++
	}
	candidates := Only(ordered[:min(count, len(ordered))], func(b *Backend) bool { return slices.Contains(eligible, b) })
	if len(candidates) == 0 {
		Order(eligible, key)
		candidates = slices.Clone(eligible[:min(count, len(eligible))])
	}
	return append(candidates, Only(eligible, func(b *Backend) bool { return d.started(b) && !slices.Contains(candidates, b) })...)
}

// pickPrefill picks the prefill backend with the lowest load in uncached tokens from the prefix's affinity
// candidates. As the KV cache should stay in its rack, the score is multiplied by that of the least loaded
// decode backend in the rack.
func (d *Dispatcher) pickPrefill(req *Request, decodeBackends []*Backend) *Backend {
	minScore := freestByRack(decodeBackends, d.next)
	return Least(d.homes(req, Reads, d.able(req, (*Backend).ReadsOnly)), func(backend *Backend) float64 {
		rackScore, found := minScore[backend.Rack]
		if !found {
			rackScore = d.next(backend) // no decode backend in the rack
		}
		return d.press(backend, d.unkept(backend, req)) * rackScore
	})
}

// pickDecode sends a request whose prefill has ended to the decode backend with the lowest load, preferring
// the rack that holds its KV cache. It reports false if the KV cache may not wait or no backend can be used.
func (d *Dispatcher) pickDecode(req *Request) bool {
	if d.mayHold(req) != Allowed {
		return false
	}
	backend := Least(d.able(req, (*Backend).Answers), func(backend *Backend) float64 {
		if req.State != nil && backend.Rack != req.State.Rack {
			return d.next(backend) * crossing
		}
		return d.next(backend)
	})
	return d.send(req, backend, ToWrite, d.onward(req))
}

// afterAttempt returns what to do with an attempt's result: a KV cache that waits goes to a decode backend,
// anything else starts over.
func (d *Dispatcher) onward(req *Request) func(Result) {
	return func(result Result) {
		if req.State != nil && d.pickDecode(req) {
			return
		}
		d.again(req)
	}
}

// anyAllowed reports whether the rules allow the request at any decode backend.
func (d *Dispatcher) takable(req *Request) bool {
	return slices.ContainsFunc(d.backends, func(b *Backend) bool { return b.Answers() && !d.barred(req, b) })
}

// restart starts a request over if a backend may still take it, else gives it up at once.
func (d *Dispatcher) again(req *Request) {
	d.settle(req)
	d.letGo(req)
	if !d.takable(req) {
		d.giveUp(req)
		return
	}
	d.enqueue(req)
}

// cachedTokens estimates how much of the prompt the backend has cached. Tokens inserted since the prefix was
// used, over all dispatchers, evict it in the end; the estimate is scaled by how well past ones were met.
func (d *Dispatcher) keeps(backend *Backend, req *Request) float64 {
	cached := 0.0
	for _, key := range []uint64{req.Session, req.Shared} {
		prefix, ok := backend.Kept[key]
		inserted := (backend.Taken - prefix.Taken) * d.parameters.dispatchers
		if ok && key != 0 && d.runtime.Now()-prefix.At < keptFor && inserted < backend.Memory-backend.Tokens {
			cached = max(cached, prefix.Tokens)
		}
	}
	return min(cached, req.Prompt) * backend.Hits.Or(1)
}

// uncachedTokens is how much of the prompt the backend would have to prefill.
func (d *Dispatcher) unkept(backend *Backend, req *Request) float64 {
	return req.Prompt - d.keeps(backend, req)
}
