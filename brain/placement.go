package brain

import (
	"cmp"
	"slices"
)

// Placement: where a request is read and where it is answered. The ordinary path is the design page's; each departure stands in docs/design.md.

// able lists the backends of the given roles that the gate lets through: the trusted ones, or all if none
// is. Of those more likely to fail than not, one at a time is drawn for: failing backends look idle, and if
// each had its own draw, one of many would be taken for nearly every request.
func (d *Dispatcher) eligible(q *Request, want func(*Backend) bool) []*Backend {
	var all, trusted, doubtful []*Backend
	for _, h := range d.candidates(q) {
		if !want(h) || d.disallowed(q, h) {
			continue
		}
		all = append(all, h)
		if well, badly := d.successPosterior(h, q); q.FailedAt(h) {
			continue
		} else if badly > well {
			doubtful = append(doubtful, h)
		} else if d.drawTrust(well, badly) {
			trusted = append(trusted, h)
		}
	}
	if n := len(doubtful); n > 0 {
		if h := doubtful[int(d.rng.Float()*float64(n))]; d.drawTrust(d.successPosterior(h, q)) {
			trusted = append(trusted, h)
		}
	}
	if len(trusted) == 0 {
		return all
	}
	return trusted
}

// press is how full a backend looks for one more request, of which left tokens are to be read there: own
// streams and reading, an average prompt weighing as half a stream, then what it last reported. Over many
// dispatchers these are nearly always nought: then what it was given lately tells, and a lean of its own.
func (d *Dispatcher) loadScore(h *Backend, left float64) float64 {
	n := float64(h.Streams) + 1 + h.Bias + (h.PrefillBacklog+left)/2/max(d.meanPrefillTokens, 300) +
		recentLoadWeight*h.RecentLoad.Sum(d.runtime.Now())/(1+d.streams/max(d.decodeCount, 1))
	return n / (h.RelativeCapacity * d.capacityShare(h)) * (1 + h.Util + h.QueueLength/5) * h.DistanceFactor
}

func (d *Dispatcher) nextLoadScore(h *Backend) float64 { return d.loadScore(h, 0) }

// route takes the first step: read in place, whole at a mixed backend, or at a prefill backend. False: no room.
func (d *Dispatcher) route(q *Request) bool {
	answering := d.eligible(q, (*Backend).Decodes)
	roomy := Filter(answering, func(h *Backend) bool { return hasCapacity(h, q) })
	if len(roomy) == 0 && len(answering) > 0 || d.freeKVTokens(q) < q.KVTokens {
		return false
	}
	if h := d.pickInPlaceDecode(q, roomy); h != nil {
		return d.send(q, h, StageWhole, d.afterAttempt(q))
	}
	reader := d.pickPrefill(q, answering)
	if h := d.pickMixed(q, roomy, reader); h != nil {
		return d.send(q, h, StageWhole, d.afterAttempt(q))
	}
	return d.send(q, reader, StagePrefill, d.afterAttempt(q))
}

// hasRoom tells whether a backend may take the request within its room; an idle one always may.
func hasCapacity(h *Backend, q *Request) bool {
	return h.Streams == 0 || h.KVTokens+q.KVTokens <= h.TokenLimit
}

// inPlace finds the decode backend that should read a short request itself, by kept prefix against load. While
// a token takes longer at prefill backends than at decode backends, the cut rises with that, up to fourfold.
func (d *Dispatcher) pickInPlaceDecode(q *Request, roomy []*Backend) *Backend {
	if !d.parameters.decodeMayPrefill {
		return nil
	}
	tilt := min(max(d.secondsPerToken[RolePrefill].ValueOr(0)/max(d.secondsPerToken[RoleDecode].ValueOr(0), 1e-6), 1), 4)
	short := Filter(roomy, func(h *Backend) bool {
		return h.Role == RoleDecode && d.uncachedTokens(h, q) < shortPromptShare*tilt*d.meanPrefillTokens
	})
	return MinBy(short, func(h *Backend) float64 { return d.nextLoadScore(h) / (1 + d.cachedTokens(h, q)) })
}

// pickMixed finds the pickMixed backend that should take a request whole: its share is what it carries with less press
// than the best decode backend and the prefill backend together. What is read there also holds up the answers that run there,
// and so counts twice; more where whole attempts take longer lately than a read and a write.
func (d *Dispatcher) pickMixed(q *Request, roomy []*Backend, reader *Backend) *Backend {
	whole := func(h *Backend) float64 { return d.loadScore(h, d.uncachedTokens(h, q)) }
	m := MinBy(d.affinityCandidates(q, RoleMixed, Filter(roomy, (*Backend).Mixed)), whole)
	w := MinBy(Filter(roomy, func(h *Backend) bool { return h.Role == RoleDecode }), d.nextLoadScore)
	if d.meanPrefillTokens == 0 && reader != nil || m == nil {
		return nil
	}
	if w == nil || reader == nil {
		return m
	}
	unkept := d.uncachedTokens(reader, q)
	apart := (unkept+300)*d.secondsPerToken[RolePrefill].ValueOr(0) + 300*d.secondsPerToken[RoleDecode].ValueOr(0)
	slower := min(max((unkept+300)*d.secondsPerToken[RoleMixed].ValueOr(0)/max(apart, 1e-6), 1), 4)
	if 2*slower*whole(m) > d.nextLoadScore(w)+d.loadScore(reader, unkept) {
		return nil
	}
	return m
}

// homes are the two of the backends to which the request's beginning is hashed, in every dispatcher alike: they
// keep it, though no dispatcher sends it often enough to know. A beginning so common that two would read more
// than their part, and one rack's link carry it, has as many as its share of requests asks for; one whose
// homes all look much fuller than the mean has the next in order too, as hashing with bounded loads does.
// Where one of them is doubted the other serves; only if all are, others read the text anew. Cold backends that
// may be sent something stand beside them: for the few whose turn it is, few beginnings are at home there.
func (d *Dispatcher) affinityCandidates(q *Request, role Role, able []*Backend) []*Backend {
	key := cmp.Or(q.PrefixKey, q.SessionKey)
	all := d.affinityOrder(q, role)
	n := d.affinityCount(key, role, all)
	all = d.extendAffinity(all, key, role, n, able)
	most := maxLoadFactor * MeanOf(able, d.nextLoadScore)
	fits := func(h *Backend) bool { return slices.Contains(able, h) && d.nextLoadScore(h) < most }
	for n < len(all) && !slices.ContainsFunc(all[:n], fits) {
		n++
	}
	homes := Filter(all[:min(n, len(all))], func(h *Backend) bool { return slices.Contains(able, h) })
	if len(homes) == 0 {
		SortByHash(able, key)
		homes = slices.Clone(able[:min(n, len(able))])
	}
	return append(homes, Filter(able, func(h *Backend) bool { return d.recentlyStarted(h) && !slices.Contains(homes, h) })...)
}

// pickPrefill hashes the request's beginning to two prefill backends and takes the one with fewer own reads, by their
// tokens. As a state best stays in its rack, the prefill backend counts for less whose rack has a freer decode backend.
func (d *Dispatcher) pickPrefill(q *Request, answering []*Backend) *Backend {
	freest := minCostByRack(answering, d.nextLoadScore)
	return MinBy(d.affinityCandidates(q, RolePrefill, d.eligible(q, (*Backend).PrefillOnly)), func(h *Backend) float64 {
		near, known := freest[h.Rack]
		if !known {
			near = d.nextLoadScore(h) // a rack without decode backends
		}
		return d.loadScore(h, d.uncachedTokens(h, q)) * near
	})
}

// pickDecode picks the decode backend once the read has ended: fewest own streams, least reported load, near the state.
func (d *Dispatcher) pickDecode(q *Request) bool {
	if d.mayHoldKV(q) != Allowed {
		return false
	}
	h := MinBy(d.eligible(q, (*Backend).Decodes), func(h *Backend) float64 {
		if q.KVHolder != nil && h.Rack != q.KVHolder.Rack {
			return d.nextLoadScore(h) * crossRackPenalty
		}
		return d.nextLoadScore(h)
	})
	return d.send(q, h, StageDecode, d.afterAttempt(q))
}

// onward takes the result of an attempt: a state that waits goes to a decode backend, all else starts over.
func (d *Dispatcher) afterAttempt(q *Request) func(Result) {
	return func(r Result) {
		if q.KVHolder != nil && d.pickDecode(q) {
			return
		}
		d.restart(q)
	}
}

func (d *Dispatcher) anyAllowed(q *Request) bool {
	return slices.ContainsFunc(d.backends, func(h *Backend) bool { return h.Decodes() && !d.disallowed(q, h) })
}

// again starts a request over, if a backend may still take it, else gives it up at once.
func (d *Dispatcher) restart(q *Request) {
	d.clearOutstanding(q)
	d.releaseKV(q)
	if !d.anyAllowed(q) {
		d.giveUp(q)
		return
	}
	d.enqueue(q)
}

// keeps is how much of the prompt the backend should have kept, by the ageing table: what it has taken in
// since pushes old texts out, and reports of less than expected lower all that is expected of it.
func (d *Dispatcher) cachedTokens(h *Backend, q *Request) float64 {
	kept := 0.0
	for _, key := range []uint64{q.SessionKey, q.PrefixKey} {
		k, ok := h.CachedPrefixes[key]
		since := (h.CacheInsertedTokens - k.InsertedTokens) * d.parameters.dispatchers
		if ok && key != 0 && d.runtime.Now()-k.UsedAt < prefixTTL && since < h.KVCapacity-h.KVTokens {
			kept = max(kept, k.Tokens)
		}
	}
	return min(kept, q.PromptTokens) * h.HitRatio.ValueOr(1)
}

func (d *Dispatcher) uncachedTokens(h *Backend, q *Request) float64 {
	return q.PromptTokens - d.cachedTokens(h, q)
}
