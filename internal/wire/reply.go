package wire

import (
	"encoding/binary"
	"io"
)

const actionSize = 24 // bytes of an action record

// Reply collects the actions that answer one batch. Each method that adds an action names the action's word in the
// simulator's protocol; instance is the number of the dispatcher that acts, and durations are in microseconds.
type Reply struct {
	records []byte
	tail    []byte
}

func (r *Reply) action(code uint8, instance uint16) []byte {
	offset := len(r.records)
	r.records = append(r.records, make([]byte, actionSize)...)
	rec := r.records[offset:]
	rec[0] = code
	binary.BigEndian.PutUint16(rec[1:], instance)
	return rec
}

func (r *Reply) requestAction(code uint8, instance uint16, request uint64) []byte {
	rec := r.action(code, instance)
	binary.BigEndian.PutUint64(rec[3:], request)
	return rec
}

func (r *Reply) backendAction(code uint8, instance uint16, backend uint32) {
	binary.BigEndian.PutUint32(r.action(code, instance)[3:], backend)
}

// span appends bytes to the tail and writes the reference to them into a record.
func (r *Reply) span(rec []byte, offset int, raw []byte) {
	binary.BigEndian.PutUint32(rec[offset:], uint32(len(r.tail)))
	binary.BigEndian.PutUint32(rec[offset+4:], uint32(len(raw)))
	r.tail = append(r.tail, raw...)
}

// Send adds pass_on: an attempt of a request goes to a backend, which has timeoutUs to begin its response.
func (r *Reply) Send(instance uint16, request uint64, backend, timeoutUs uint32) {
	rec := r.requestAction(10, instance, request)
	binary.BigEndian.PutUint32(rec[11:], backend)
	binary.BigEndian.PutUint32(rec[15:], timeoutUs)
}

// Reject adds turn_away: the client is told to retry after retryAfterUs.
func (r *Reply) Reject(instance uint16, request uint64, retryAfterUs uint32) {
	binary.BigEndian.PutUint32(r.requestAction(20, instance, request)[11:], retryAfterUs)
}

// Fail adds lose: the request fails for good.
func (r *Reply) Fail(instance uint16, request uint64) { r.requestAction(30, instance, request) }

// Cancel adds retract: an attempt of a request is cancelled.
func (r *Reply) Cancel(instance uint16, request uint64, attempt uint8) {
	r.requestAction(40, instance, request)[11] = attempt
}

// SetTimer adds wake_at: an EventTimer with the token is due after delayUs.
func (r *Reply) SetTimer(instance uint16, delayUs, token uint32) {
	rec := r.action(50, instance)
	binary.BigEndian.PutUint32(rec[3:], delayUs)
	binary.BigEndian.PutUint32(rec[7:], token)
}

// Probe adds sound_out: a backend is probed.
func (r *Reply) Probe(instance uint16, backend uint32) { r.backendAction(60, instance, backend) }

// CloseConnections adds drop_conns: the connections to a backend are closed.
func (r *Reply) CloseConnections(instance uint16, backend uint32) {
	r.backendAction(70, instance, backend)
}

// SendPeer adds post: a message goes to a peer.
func (r *Reply) SendPeer(instance uint16, peer uint32, raw []byte) {
	rec := r.action(80, instance)
	binary.BigEndian.PutUint32(rec[3:], peer)
	r.span(rec, 7, raw)
}

// Log adds note_down: a line for the simulator's log.
func (r *Reply) Log(instance uint16, text string) { r.span(r.action(90, instance), 3, []byte(text)) }

// Abort adds bail_out: the dispatcher can't go on.
func (r *Reply) Abort(instance uint16, text string) { r.span(r.action(100, instance), 3, []byte(text)) }

// Watch adds tail: pushed endpoint lists are subscribed to or not.
func (r *Reply) Watch(instance uint16, on bool) {
	if rec := r.action(110, instance); on {
		rec[3] = 1
	}
}

// FetchEndpoints adds refresh: the endpoint list is requested.
func (r *Reply) FetchEndpoints(instance uint16) { r.action(120, instance) }

// Reserve adds hold_place: capacity for a request is reserved at a backend.
func (r *Reply) Reserve(instance uint16, request uint64, backend uint32) {
	binary.BigEndian.PutUint32(r.requestAction(140, instance, request)[11:], backend)
}

// Release adds discard: the prefill backend may release the request's KV cache.
func (r *Reply) Release(instance uint16, request uint64) { r.requestAction(150, instance, request) }

// WriteTo writes the reply as one frame and empties it for the next batch.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	frame := make([]byte, 8, 8+len(r.records)+len(r.tail))
	binary.BigEndian.PutUint32(frame, uint32(len(r.records)/actionSize))
	binary.BigEndian.PutUint32(frame[4:], uint32(len(r.records)+len(r.tail)))
	frame = append(append(frame, r.records...), r.tail...)
	r.records, r.tail = r.records[:0], r.tail[:0]
	n, err := w.Write(frame)
	return int64(n), err
}
