package platform

import (
	"bytes"
	"strconv"
)

// framing is how far the present request has been handed to net/http.
type framing int

const (
	inHead      framing = iota
	afterHead           // how its body is framed has not been said yet
	inBody              // of a stated length
	inChunkSize         // in the line that states a chunk's length
	inChunkData         // in a chunk and the end of its line
	inTrailer           // behind the last chunk
	afterBody           // it is whole
	unframed            // its end can't be told: the connection is closed after it
)

const (
	chunkSizeMost = 256 // bytes of the line that states a chunk's length
	chunkEnd      = 2   // bytes behind a chunk
	nameMost      = 32  // bytes of a header's name that are looked at
)

// chunked is a body's length that stands for one in chunks.
const chunked = -1

// requestFrame finds the end of a request in the bytes of a connection. It only frames: what the bytes say is for net/http to judge,
// and where the two may disagree the rest of the connection is of no use.
type requestFrame struct {
	at       framing
	line     []byte // of the present line, as far as it matters
	length   int    // of the present line, without its end
	bodyLeft int64  // of the body, or of the present chunk and its end
	lengths  bool   // the head states a length
	encoded  bool   // the head states an encoding
}

// advance tells how many of the bytes belong to the present request, and takes note of the end of its head or body.
func (f *requestFrame) advance(raw []byte) int {
	switch f.at {
	case inHead:
		return f.advanceLines(raw, f.endHead)
	case inTrailer:
		return f.advanceLines(raw, func() { f.at = afterBody })
	case inBody:
		return f.advanceBody(raw)
	case inChunkSize, inChunkData:
		return f.advanceChunks(raw)
	}
	return len(raw)
}

// advanceLines counts the bytes up to and with the next empty line, at which end is called.
func (f *requestFrame) advanceLines(raw []byte, end func()) int {
	for i, b := range raw {
		switch {
		case b == '\n' && f.length == 0:
			f.line = f.line[:0]
			end()
			return i + 1
		case b == '\n':
			f.line, f.length = f.line[:0], 0
		case b == ':':
			f.name()
			f.length++
		case b != '\r':
			if len(f.line) < nameMost {
				f.line = append(f.line, b)
			}
			f.length++
		}
	}
	return len(raw)
}

// name looks at a header's name.
func (f *requestFrame) name() {
	if f.length != len(f.line) {
		return // a later colon of the line, or a name too long to matter
	}
	f.lengths = f.lengths || bytes.EqualFold(f.line, []byte("Content-Length"))
	f.encoded = f.encoded || bytes.EqualFold(f.line, []byte("Transfer-Encoding"))
}

func (f *requestFrame) endHead() { f.at = afterHead }

// advanceBody counts the bytes up to the end of a body of a stated length.
func (f *requestFrame) advanceBody(raw []byte) int {
	n := min(int64(len(raw)), f.bodyLeft)
	if f.bodyLeft -= n; f.bodyLeft == 0 {
		f.at = afterBody
	}
	return int(n)
}

// advanceChunks counts the bytes up to the end of a body in chunks.
func (f *requestFrame) advanceChunks(raw []byte) int {
	for i := 0; i < len(raw); {
		switch f.at {
		case inChunkSize:
			f.chunkSize(raw[i])
			i++
		case inChunkData:
			n := min(int64(len(raw)-i), f.bodyLeft)
			i += int(n)
			if f.bodyLeft -= n; f.bodyLeft == 0 {
				f.at = inChunkSize
			}
		case inTrailer:
			return i + f.advance(raw[i:])
		default:
			return len(raw)
		}
	}
	return len(raw)
}

// chunkSize takes a byte of the line that states a chunk's length.
func (f *requestFrame) chunkSize(b byte) {
	if b != '\n' {
		if f.line = append(f.line, b); len(f.line) > chunkSizeMost {
			f.at = unframed
		}
		return
	}
	size, _, _ := bytes.Cut(f.line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
	f.line, f.length = f.line[:0], 0
	switch {
	case err != nil:
		f.at = unframed
	case n == 0:
		f.at = inTrailer
	default:
		f.at, f.bodyLeft = inChunkData, int64(n)+chunkEnd
	}
}

// begin says how the present request's body is framed: by its length, or in chunks.
func (f *requestFrame) begin(length int64) {
	switch {
	case f.at != afterHead || f.lengths && f.encoded:
		f.at = unframed
	case length == chunked:
		f.at = inChunkSize
	case length == 0:
		f.at = afterBody
	default:
		f.at, f.bodyLeft = inBody, length
	}
}

// next makes ready for the next request.
func (f *requestFrame) next() { *f = requestFrame{line: f.line[:0]} }
