// Package wire decodes the batches of events that the simulator sends and encodes the replies with their actions.
// It knows only bytes and offsets, and makes no scheduling decision. Start with Reader and Reply.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

const (
	recordSize = 56      // bytes of an event record
	entrySize  = 22      // bytes of an entry of the endpoint list
	maxBatch   = 1 << 30 // bytes of a batch after its header
)

// Codes of the events that a batch may hold, each with its name in the simulator's protocol.
const (
	EventStart        = 10  // start
	EventEndpoints    = 20  // announce
	EventRequest      = 30  // incoming
	EventFirstByte    = 40  // first_byte
	EventOutcome      = 50  // resolved
	EventClientGone   = 60  // aborted
	EventTimer        = 70  // due
	EventProbeResult  = 80  // health
	EventPeerMessage  = 90  // datagram
	EventStop         = 100 // halt
	EventNotification = 110 // seat_news
)

// Batch is one frame from the simulator.
type Batch struct {
	Clock  uint64 // microseconds
	Events []Event
}

// Event is one record of a batch, with the batch's tail that the record's references point into.
type Event struct {
	record []byte
	tail   []byte
}

// Reader reads batches from a stream.
type Reader struct {
	stream  io.Reader
	buf     bytes.Buffer
	batches int // read so far
}

// NewReader returns a Reader of a stream.
func NewReader(stream io.Reader) *Reader { return &Reader{stream: stream} }

// Next returns the next batch, which is valid until the following call. It returns io.EOF if the input ends between
// two batches.
func (r *Reader) Next() (Batch, error) {
	var head [8]byte
	if _, err := io.ReadFull(r.stream, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch %d: header cut short: %w", r.batches, err)
	}
	count := int64(binary.BigEndian.Uint32(head[:4]))
	length := int64(binary.BigEndian.Uint32(head[4:]))
	if length > maxBatch {
		return Batch{}, fmt.Errorf("batch %d: length %d is over the limit of %d", r.batches, length, maxBatch)
	}
	if length < 8+count*recordSize {
		return Batch{}, fmt.Errorf("batch %d: %d records do not fit in length %d", r.batches, count, length)
	}
	r.buf.Reset()
	if n, err := io.CopyN(&r.buf, r.stream, length); err != nil {
		return Batch{}, fmt.Errorf("batch %d: body cut short after %d of %d bytes: %w", r.batches, n, length, err)
	}
	body := r.buf.Bytes()
	batch := Batch{Clock: binary.BigEndian.Uint64(body), Events: make([]Event, count)}
	tail := body[8+count*recordSize:]
	for i := range batch.Events {
		offset := 8 + i*recordSize
		e := Event{record: body[offset : offset+recordSize], tail: tail}
		if err := e.check(); err != nil {
			return Batch{}, fmt.Errorf("batch %d, record %d: %w", r.batches, i, err)
		}
		batch.Events[i] = e
	}
	r.batches++
	return batch, nil
}

// check returns an error for an unknown event code, and for a length or reference that exceeds its bounds.
func (e Event) check() error {
	switch e.Code() {
	case EventStart:
		return e.checkSpan(11, 1, "bootInfo")
	case EventEndpoints:
		return e.checkSpan(12, entrySize, "membersList")
	case EventPeerMessage:
		return e.checkSpan(7, 1, "raw")
	case EventOutcome:
		return e.checkLoad(27)
	case EventProbeResult:
		return e.checkLoad(13)
	case EventRequest, EventFirstByte, EventClientGone, EventTimer, EventStop, EventNotification:
		return nil
	}
	return fmt.Errorf("unknown event code %d", e.Code())
}

// checkSpan checks that a reference to elements of size bytes stays within the tail.
func (e Event) checkSpan(offset int, size uint64, field string) error {
	start, n := uint64(e.U32(offset)), uint64(e.U32(offset+4))
	if start+n*size > uint64(len(e.tail)) {
		return fmt.Errorf("event %d: %s reaches to byte %d of a tail of %d", e.Code(), field, start+n*size, len(e.tail))
	}
	return nil
}

// checkLoad checks the number of values of a load report; the record has space for four.
func (e Event) checkLoad(offset int) error {
	if n := e.U8(offset); n > 4 {
		return fmt.Errorf("event %d: load report of %d values, 4 at most", e.Code(), n)
	}
	return nil
}

// Code returns the event's code.
func (e Event) Code() uint8 { return e.record[0] }

// Instance returns the number of the dispatcher instance that the event is for.
func (e Event) Instance() uint16 { return binary.BigEndian.Uint16(e.record[1:]) }

// U8 returns the byte at an offset of the record.
func (e Event) U8(offset int) uint8 { return e.record[offset] }

// U16 returns the 16-bit integer at an offset of the record.
func (e Event) U16(offset int) uint16 { return binary.BigEndian.Uint16(e.record[offset:]) }

// U32 returns the 32-bit integer at an offset of the record.
func (e Event) U32(offset int) uint32 { return binary.BigEndian.Uint32(e.record[offset:]) }

// U64 returns the 64-bit integer at an offset of the record.
func (e Event) U64(offset int) uint64 { return binary.BigEndian.Uint64(e.record[offset:]) }

// F32 returns the 32-bit floating-point number at an offset of the record. It may be a NaN or infinite.
func (e Event) F32(offset int) float64 { return float64(math.Float32frombits(e.U32(offset))) }

// Span returns the bytes of the tail that the reference at an offset of the record points to.
func (e Event) Span(offset int) []byte { return e.tail[e.U32(offset):][:e.U32(offset+4)] }

// Load returns the values of the load report at an offset of the record. They may be NaNs or infinite.
func (e Event) Load(offset int) []float64 { return e.floats(offset+1, int(e.U8(offset))) }

func (e Event) floats(offset, n int) []float64 {
	values := make([]float64, n)
	for i := range values {
		values[i] = e.F32(offset + 4*i)
	}
	return values
}

// Entry is one backend of the endpoint list.
type Entry struct {
	Backend uint32
	Zone    uint8
	Kind    uint16
	Rack    uint16
	State   uint8 // 0 draining, 1 ready, 2 removed
	Units   float64
	BootUs  uint64 // microseconds on the simulator's clock; 0 if the list does not say
}

// Entries returns the entries of an EventEndpoints event.
func (e Event) Entries() []Entry {
	entries := make([]Entry, e.U32(16))
	rest := e.tail[e.U32(12):]
	for i := range entries {
		raw := rest[i*entrySize:]
		entries[i] = Entry{
			Backend: binary.BigEndian.Uint32(raw),
			Zone:    raw[4],
			Kind:    binary.BigEndian.Uint16(raw[5:]),
			Rack:    binary.BigEndian.Uint16(raw[7:]),
			State:   raw[9],
			Units:   float64(math.Float32frombits(binary.BigEndian.Uint32(raw[10:]))),
			BootUs:  binary.BigEndian.Uint64(raw[14:]),
		}
	}
	return entries
}
