package brain

import (
	"cmp"
	"slices"
)

// Placement: where a request is read and where it is answered. The ordinary path is the design page's; each departure stands in docs/design.md.

// able lists the backends of the given roles that the gate lets through: the trusted ones, or all if none
// is. Of those more likely to fail than not, one at a time is drawn for: failing backends look idle, and if
// each had its own draw, one of many would be taken for nearly every request.
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

// press is how full a backend looks for one more request, of which left tokens are to be read there: own
// streams and reading, an average prompt weighing as half a stream, then what it last reported. Over many
// dispatchers these are nearly always nought: then what it was given lately tells, and a lean of its own.
func (d *Dispatcher) press(h *Backend, left float64) float64 {
	n := float64(h.Streams) + 1 + h.Lean + (h.Unread+left)/2/max(d.average, 300) +
		lasting*h.Given.Sum(d.runtime.Now())/(1+d.streams/max(d.answering, 1))
	return n / (h.Size * d.warmth(h)) * (1 + h.Util + h.Queue/5) * h.Far
}

func (d *Dispatcher) next(h *Backend) float64 { return d.press(h, 0) }

// route takes the first step: read in place, whole at a mixed backend, or at a prefill backend. False: no room.
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

// hasRoom tells whether a backend may take the request within its room; an idle one always may.
func hasRoom(h *Backend, q *Request) bool {
	return h.Streams == 0 || h.Tokens+q.Memory <= h.Room
}

// inPlace finds the decode backend that should read a short request itself, by kept prefix against load. While
// a token takes longer at prefill backends than at decode backends, the cut rises with that, up to fourfold.
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

// pickMixed finds the pickMixed backend that should take a request whole: its share is what it carries with less press
// than the best decode backend and the prefill backend together. What is read there also holds up the answers that run there,
// and so counts twice; more where whole attempts take longer lately than a read and a write.
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

// homes are the two of the backends to which the request's beginning is hashed, in every dispatcher alike: they
// keep it, though no dispatcher sends it often enough to know. A beginning so common that two would read more
// than their part, and one rack's link carry it, has as many as its share of requests asks for; one whose
// homes all look much fuller than the mean has the next in order too, as hashing with bounded loads does.
// Where one of them is doubted the other serves; only if all are, others read the text anew. Cold backends that
// may be sent something stand beside them: for the few whose turn it is, few beginnings are at home there.
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

// pickPrefill hashes the request's beginning to two prefill backends and takes the one with fewer own reads, by their
// tokens. As a state best stays in its rack, the prefill backend counts for less whose rack has a freer decode backend.
func (d *Dispatcher) pickPrefill(q *Request, answering []*Backend) *Backend {
	freest := freestByRack(answering, d.next)
	return Least(d.homes(q, Reads, d.able(q, (*Backend).ReadsOnly)), func(h *Backend) float64 {
		near, known := freest[h.Rack]
		if !known {
			near = d.next(h) // a rack without decode backends
		}
		return d.press(h, d.unkept(h, q)) * near
	})
}

// pickDecode picks the decode backend once the read has ended: fewest own streams, least reported load, near the state.
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

// onward takes the result of an attempt: a state that waits goes to a decode backend, all else starts over.
func (d *Dispatcher) onward(q *Request) func(Result) {
	return func(r Result) {
		if q.State != nil && d.pickDecode(q) {
			return
		}
		d.again(q)
	}
}

func (d *Dispatcher) takable(q *Request) bool {
	return slices.ContainsFunc(d.backends, func(h *Backend) bool { return h.Answers() && !d.barred(q, h) })
}

// again starts a request over, if a backend may still take it, else gives it up at once.
func (d *Dispatcher) again(q *Request) {
	d.settle(q)
	d.letGo(q)
	if !d.takable(q) {
		d.giveUp(q)
		return
	}
	d.enqueue(q)
}

// keeps is how much of the prompt the backend should have kept, by the ageing table: what it has taken in
// since pushes old texts out, and reports of less than expected lower all that is expected of it.
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

func (d *Dispatcher) unkept(h *Backend, q *Request) float64 { return q.Prompt - d.keeps(h, q) }
