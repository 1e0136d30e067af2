// Package wire reads the simulator's batches and builds its replies. It knows bytes and offsets, and
// decides nothing.
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
	recordSize = 56
	entrySize  = 22
	maxBatch   = 1 << 30
)

// Codes of the events that a batch may hold.
const (
	Start    = 10
	Announce = 20
	Incoming = 30
	First    = 40
	Resolved = 50
	Aborted  = 60
	Due      = 70
	Health   = 80
	Datagram = 90
	Halt     = 100
	SeatNews = 110
)

// Batch is one frame from the simulator.
type Batch struct {
	Clock  uint64
	Events []Event
}

// Event is one record of a batch, with the tail that its references point into.
type Event struct {
	record []byte
	tail   []byte
}

// Reader takes batches off a stream.
type Reader struct {
	from io.Reader
	buf  bytes.Buffer
	seen int
}

func NewReader(from io.Reader) *Reader { return &Reader{from: from} }

// Next returns the next batch, valid until the call after; io.EOF means the input ended between two
// batches.
func (r *Reader) Next() (Batch, error) {
	var head [8]byte
	if _, err := io.ReadFull(r.from, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch %d: header cut short: %w", r.seen, err)
	}
	count := int64(binary.BigEndian.Uint32(head[:4]))
	length := int64(binary.BigEndian.Uint32(head[4:]))
	if length > maxBatch {
		return Batch{}, fmt.Errorf("batch %d: length %d is over the limit of %d", r.seen, length, maxBatch)
	}
	if length < 8+count*recordSize {
		return Batch{}, fmt.Errorf("batch %d: %d records do not fit in length %d", r.seen, count, length)
	}
	r.buf.Reset()
	if n, err := io.CopyN(&r.buf, r.from, length); err != nil {
		return Batch{}, fmt.Errorf("batch %d: body cut short after %d of %d bytes: %w", r.seen, n, length, err)
	}
	body := r.buf.Bytes()
	batch := Batch{Clock: binary.BigEndian.Uint64(body), Events: make([]Event, count)}
	tail := body[8+count*recordSize:]
	for i := range batch.Events {
		at := 8 + i*recordSize
		e := Event{record: body[at : at+recordSize], tail: tail}
		if err := e.check(); err != nil {
			return Batch{}, fmt.Errorf("batch %d, record %d: %w", r.seen, i, err)
		}
		batch.Events[i] = e
	}
	r.seen++
	return batch, nil
}

func (e Event) check() error {
	switch e.Code() {
	case Start:
		return e.checkSpan(11, 1, "bootInfo")
	case Announce:
		return e.checkSpan(12, entrySize, "membersList")
	case Datagram:
		return e.checkSpan(7, 1, "raw")
	case Resolved:
		return e.checkLoad(27)
	case Health:
		return e.checkLoad(13)
	case Incoming, First, Aborted, Due, Halt, SeatNews:
		return nil
	}
	return fmt.Errorf("unknown event code %d", e.Code())
}

func (e Event) checkSpan(at int, size uint64, field string) error {
	from, n := uint64(e.U32(at)), uint64(e.U32(at+4))
	if from+n*size > uint64(len(e.tail)) {
		return fmt.Errorf("event %d: %s reaches to byte %d of a tail of %d", e.Code(), field, from+n*size, len(e.tail))
	}
	return nil
}

func (e Event) checkLoad(at int) error {
	if n := e.U8(at); n > 4 {
		return fmt.Errorf("event %d: load report of %d values, 4 at most", e.Code(), n)
	}
	return nil
}

func (e Event) Code() uint8           { return e.record[0] }
func (e Event) Who() uint16           { return binary.BigEndian.Uint16(e.record[1:]) }
func (e Event) U8(at int) uint8       { return e.record[at] }
func (e Event) U16(at int) uint16     { return binary.BigEndian.Uint16(e.record[at:]) }
func (e Event) U32(at int) uint32     { return binary.BigEndian.Uint32(e.record[at:]) }
func (e Event) U64(at int) uint64     { return binary.BigEndian.Uint64(e.record[at:]) }
func (e Event) F32(at int) float64    { return float64(math.Float32frombits(e.U32(at))) }
func (e Event) Span(at int) []byte    { return e.tail[e.U32(at):][:e.U32(at+4)] }
func (e Event) Load(at int) []float64 { return e.floats(at+1, int(e.U8(at))) }

func (e Event) floats(at, n int) []float64 {
	values := make([]float64, n)
	for i := range values {
		values[i] = e.F32(at + 4*i)
	}
	return values
}

// Entry is one line of the list of servers.
type Entry struct {
	Host      uint32
	Zone      uint8
	Machine   uint16
	Rack      uint16
	Readiness uint8
	Units     float64
	BootUs    uint64
}

// Entries returns the lines that an Announce event carries.
func (e Event) Entries() []Entry {
	entries := make([]Entry, e.U32(16))
	rest := e.tail[e.U32(12):]
	for i := range entries {
		raw := rest[i*entrySize:]
		entries[i] = Entry{
			Host:      binary.BigEndian.Uint32(raw),
			Zone:      raw[4],
			Machine:   binary.BigEndian.Uint16(raw[5:]),
			Rack:      binary.BigEndian.Uint16(raw[7:]),
			Readiness: raw[9],
			Units:     float64(math.Float32frombits(binary.BigEndian.Uint32(raw[10:]))),
			BootUs:    binary.BigEndian.Uint64(raw[14:]),
		}
	}
	return entries
}
