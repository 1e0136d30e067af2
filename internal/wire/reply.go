package wire

import (
	"encoding/binary"
	"io"
)

const actionSize = 24

// Reply gathers the actions that answer one batch.
type Reply struct {
	records []byte
	tail    []byte
}

func (r *Reply) action(code uint8, who uint16) []byte {
	at := len(r.records)
	r.records = append(r.records, make([]byte, actionSize)...)
	rec := r.records[at:]
	rec[0] = code
	binary.BigEndian.PutUint16(rec[1:], who)
	return rec
}

func (r *Reply) question(code uint8, who uint16, corr uint64) []byte {
	rec := r.action(code, who)
	binary.BigEndian.PutUint64(rec[3:], corr)
	return rec
}

func (r *Reply) server(code uint8, who uint16, host uint32) {
	binary.BigEndian.PutUint32(r.action(code, who)[3:], host)
}

func (r *Reply) span(rec []byte, at int, raw []byte) {
	binary.BigEndian.PutUint32(rec[at:], uint32(len(r.tail)))
	binary.BigEndian.PutUint32(rec[at+4:], uint32(len(raw)))
	r.tail = append(r.tail, raw...)
}

func (r *Reply) PassOn(who uint16, corr uint64, host, maxWaitUs uint32) {
	rec := r.question(10, who, corr)
	binary.BigEndian.PutUint32(rec[11:], host)
	binary.BigEndian.PutUint32(rec[15:], maxWaitUs)
}

func (r *Reply) TurnAway(who uint16, corr uint64, retryAfterUs uint32) {
	binary.BigEndian.PutUint32(r.question(20, who, corr)[11:], retryAfterUs)
}

func (r *Reply) Lose(who uint16, corr uint64) { r.question(30, who, corr) }

func (r *Reply) Retract(who uint16, corr uint64, trip uint8) { r.question(40, who, corr)[11] = trip }

func (r *Reply) WakeAt(who uint16, delayUs, ctx uint32) {
	rec := r.action(50, who)
	binary.BigEndian.PutUint32(rec[3:], delayUs)
	binary.BigEndian.PutUint32(rec[7:], ctx)
}

func (r *Reply) SoundOut(who uint16, host uint32) { r.server(60, who, host) }

func (r *Reply) DropConns(who uint16, host uint32) { r.server(70, who, host) }

func (r *Reply) Post(who uint16, recipient uint32, raw []byte) {
	rec := r.action(80, who)
	binary.BigEndian.PutUint32(rec[3:], recipient)
	r.span(rec, 7, raw)
}

func (r *Reply) NoteDown(who uint16, words string) { r.span(r.action(90, who), 3, []byte(words)) }

func (r *Reply) BailOut(who uint16, words string) { r.span(r.action(100, who), 3, []byte(words)) }

func (r *Reply) Tail(who uint16, want bool) {
	if rec := r.action(110, who); want {
		rec[3] = 1
	}
}

func (r *Reply) Refresh(who uint16) { r.action(120, who) }

func (r *Reply) HoldPlace(who uint16, corr uint64, host uint32) {
	binary.BigEndian.PutUint32(r.question(140, who, corr)[11:], host)
}

func (r *Reply) Discard(who uint16, corr uint64) { r.question(150, who, corr) }

// WriteTo writes the frame and empties the reply for the next batch.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	frame := make([]byte, 8, 8+len(r.records)+len(r.tail))
	binary.BigEndian.PutUint32(frame, uint32(len(r.records)/actionSize))
	binary.BigEndian.PutUint32(frame[4:], uint32(len(r.records)+len(r.tail)))
	frame = append(append(frame, r.records...), r.tail...)
	r.records, r.tail = r.records[:0], r.tail[:0]
	n, err := w.Write(frame)
	return int64(n), err
}
