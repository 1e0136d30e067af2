package brain

import (
	"cmp"
	"slices"
)

// Placement: where a request is prefilled and where it is decoded.

// eligible returns the backends of the wanted roles that the rules allow: the trusted ones, or all if none is
// trusted. Among suspected ones (more likely to fail than not) only one is drawn for at a time: failing
// backends look idle, and with a draw for each, one of many would be picked for nearly every request.
func (d *Dispatcher) able(q *Request, want func(*Backend) bool) []*Backend {
	var all, trusted, doubtful []*Backend
	for _, h := range d.candidates(q) {
		if !want(h) || d.barred(q, h) {
			continue
		}
		all = append(all, h)
		if well, badly := d.chance(h, q); q.FailedAt(h) {
			continue
		} else if badly > well {
			doubtful = append(doubtful, h)
		} else if d.drawn(well, badly) {
			trusted = append(trusted, h)
		}
	}
	if n := len(doubtful); n > 0 {
		if h := doubtful[int(d.rng.Float()*float64(n))]; d.drawn(d.chance(h, q)) {
			trusted = append(trusted, h)
		}
	}
	if len(trusted) == 0 {
		return all
	}
	return trusted
}

// loadScore is how loaded a backend looks for one more request that has tokens to prefill there: own streams
// and prefill, a mean prompt counting as half a stream, scaled by the last load report. With many dispatchers
// the own load is nearly always zero; then load sent recently and the dispatcher's random bias decide.
func (d *Dispatcher) press(h *Backend, left float64) float64 {
	n := float64(h.Streams) + 1 + h.Lean + (h.Unread+left)/2/max(d.average, 300) +
		lasting*h.Given.Sum(d.runtime.Now())/(1+d.streams/max(d.answering, 1))
	return n / (h.Size * d.warmth(h)) * (1 + h.Util + h.Queue/5) * h.Far
}

// nextLoadScore is the load score for a request with nothing to prefill.
func (d *Dispatcher) next(h *Backend) float64 { return d.press(h, 0) }

// route sends a request to its first backend: in place at a decode backend, whole at a mixed one, or to
// prefill. It reports false without free capacity.
func (d *Dispatcher) route(q *Request) bool {
	answering := d.able(q, (*Backend).Answers)
	roomy := Only(answering, func(h *Backend) bool { return hasRoom(h, q) })
	if len(roomy) == 0 && len(answering) > 0 || d.freeMemory(q) < q.Memory {
		return false
	}
	if h := d.inPlace(q, roomy); h != nil {
		return d.send(q, h, Whole, d.onward(q))
	}
	reader := d.pickPrefill(q, answering)
	if h := d.pickMixed(q, roomy, reader); h != nil {
		return d.send(q, h, Whole, d.onward(q))
	}
	return d.send(q, reader, ToRead, d.onward(q))
}

// hasCapacity reports whether the request fits the backend's token limit. An idle backend always has capacity.
func hasRoom(h *Backend, q *Request) bool {
	return h.Streams == 0 || h.Tokens+q.Memory <= h.Room
}

// pickInPlaceDecode picks a decode backend that should prefill a short prompt itself, by cached prefix and
// load. The limit for a short prompt rises up to fourfold while a token takes longer at prefill backends than
// at decode backends.
func (d *Dispatcher) inPlace(q *Request, roomy []*Backend) *Backend {
	if !d.parameters.readsInPlace {
		return nil
	}
	tilt := min(max(d.typical[Reads].Or(0)/max(d.typical[Writes].Or(0), 1e-6), 1), 4)
	short := Only(roomy, func(h *Backend) bool {
		return h.Role == Writes && d.unkept(h, q) < cutShare*tilt*d.average
	})
	return Least(short, func(h *Backend) float64 { return d.next(h) / (1 + d.keeps(h, q)) })
}

// pickMixed picks a mixed backend that should serve the request whole, or nil. It is picked if its load score
// is below that of the best decode backend and the prefill backend together. The score counts twice because
// prefill also delays the answers streamed there, and more if whole attempts have lately been slower than
// prefill and decode apart.
func (d *Dispatcher) pickMixed(q *Request, roomy []*Backend, reader *Backend) *Backend {
	whole := func(h *Backend) float64 { return d.press(h, d.unkept(h, q)) }
	m := Least(d.homes(q, Both, Only(roomy, (*Backend).Mixed)), whole)
	w := Least(Only(roomy, func(h *Backend) bool { return h.Role == Writes }), d.next)
	if d.average == 0 && reader != nil || m == nil {
		return nil
	}
	if w == nil || reader == nil {
		return m
	}
	unkept := d.unkept(reader, q)
	apart := (unkept+300)*d.typical[Reads].Or(0) + 300*d.typical[Writes].Or(0)
	slower := min(max((unkept+300)*d.typical[Both].Or(0)/max(apart, 1e-6), 1), 4)
	if 2*slower*whole(m) > d.next(w)+d.press(reader, unkept) {
		return nil
	}
	return m
}

// affinityCandidates returns the eligible backends to which the request's prefix hashes. All dispatchers agree
// on them, so they have the prefix cached even if this dispatcher rarely sends it. There are two, and more for
// a prefix so common that two would get more than their share of prefill or one rack's link would carry it
// all. If all of them are far above the mean load, the next in order are added, as in consistent hashing with
// bounded loads. If one is suspected the other serves; others prefill the prefix anew only if all are
// suspected. Backends in slow start that may be sent work are always included: few prefixes hash to the few
// backends whose turn it is.
func (d *Dispatcher) homes(q *Request, role Role, able []*Backend) []*Backend {
	key := cmp.Or(q.Shared, q.Session)
	all := d.homesInOrder(q, role)
	n := d.homesWanted(key, role, all)
	all = d.withMoreHomes(all, key, role, n, able)
	most := bound * Average(able, d.next)
	fits := func(h *Backend) bool { return slices.Contains(able, h) && d.next(h) < most }
	for n < len(all) && !slices.ContainsFunc(all[:n], fits) {
		n++
	}
	homes := Only(all[:min(n, len(all))], func(h *Backend) bool { return slices.Contains(able, h) })
	if len(homes) == 0 {
		Order(able, key)
		homes = slices.Clone(able[:min(n, len(able))])
	}
	return append(homes, Only(able, func(h *Backend) bool { return d.started(h) && !slices.Contains(homes, h) })...)
}

// pickPrefill picks the prefill backend with the lowest load in uncached tokens from the prefix's affinity
// candidates. As the KV cache should stay in its rack, the score is multiplied by that of the least loaded
// decode backend in the rack.
func (d *Dispatcher) pickPrefill(q *Request, answering []*Backend) *Backend {
	freest := freestByRack(answering, d.next)
	return Least(d.homes(q, Reads, d.able(q, (*Backend).ReadsOnly)), func(h *Backend) float64 {
		near, known := freest[h.Rack]
		if !known {
			near = d.next(h) // no decode backend in the rack
		}
		return d.press(h, d.unkept(h, q)) * near
	})
}

// pickDecode sends a request whose prefill has ended to the decode backend with the lowest load, preferring
// the rack that holds its KV cache. It reports false if the KV cache may not wait or no backend can be used.
func (d *Dispatcher) pickDecode(q *Request) bool {
	if d.mayHold(q) != Allowed {
		return false
	}
	h := Least(d.able(q, (*Backend).Answers), func(h *Backend) float64 {
		if q.State != nil && h.Rack != q.State.Rack {
			return d.next(h) * crossing
		}
		return d.next(h)
	})
	return d.send(q, h, ToWrite, d.onward(q))
}

// afterAttempt returns what to do with an attempt's result: a KV cache that waits goes to a decode backend,
// anything else starts over.
func (d *Dispatcher) onward(q *Request) func(Result) {
	return func(r Result) {
		if q.State != nil && d.pickDecode(q) {
			return
		}
		d.again(q)
	}
}

// anyAllowed reports whether the rules allow the request at any decode backend.
func (d *Dispatcher) takable(q *Request) bool {
	return slices.ContainsFunc(d.backends, func(h *Backend) bool { return h.Answers() && !d.barred(q, h) })
}

// restart starts a request over if a backend may still take it, else gives it up at once.
func (d *Dispatcher) again(q *Request) {
	d.settle(q)
	d.letGo(q)
	if !d.takable(q) {
		d.giveUp(q)
		return
	}
	d.enqueue(q)
}

// cachedTokens estimates how much of the prompt the backend has cached. Tokens inserted since the prefix was
// used, over all dispatchers, evict it in the end; the estimate is scaled by how well past ones were met.
func (d *Dispatcher) keeps(h *Backend, q *Request) float64 {
	kept := 0.0
	for _, key := range []uint64{q.Session, q.Shared} {
		k, ok := h.Kept[key]
		since := (h.Taken - k.Taken) * d.parameters.dispatchers
		if ok && key != 0 && d.runtime.Now()-k.At < keptFor && since < h.Memory-h.Tokens {
			kept = max(kept, k.Tokens)
		}
	}
	return min(kept, q.Prompt) * h.Hits.Or(1)
}

// uncachedTokens is how much of the prompt the backend would have to prefill.
func (d *Dispatcher) unkept(h *Backend, q *Request) float64 { return q.Prompt - d.keeps(h, q) }
