package platform

import (
	"bytes"
	"strconv"
)

// framing is how far the current request has been handed to net/http.
type framing int

const (
	inHead      framing = iota
	afterHead           // the framing of the body has not been set yet
	inBody              // of a stated length
	inChunkSize         // in the line that states a chunk's size
	inChunkData         // in a chunk's data or the line end behind it
	inTrailer           // behind the last chunk
	afterBody           // the request is complete
	unframed            // its end is unknown: the connection is closed after it
)

const (
	chunkSizeMost = 256 // bytes of the line that states a chunk's size
	chunkEnd      = 2   // bytes of the line end behind a chunk's data
	nameMost      = 32  // bytes of a header's name that are compared
)

// chunkedLength is the body length that stands for a chunked body, as in http.Request.
const chunked = -1

// requestFramer finds the end of a request in the bytes of a connection. It leaves parsing and validation to net/http;
// where the two could disagree, nothing further is read from the connection.
type requestFrame struct {
	at       framing
	line     []byte // the start of the current line, as far as it is needed
	length   int    // bytes of the current line, without its end
	bodyLeft int64  // bytes left of the body, or of the current chunk and its end
	lengths  bool   // the head has a Content-Length
	encoded  bool   // the head has a Transfer-Encoding
}

// advance returns how many of the bytes belong to the current request, and moves on at the end of its head or body.
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

// advanceLines counts the bytes up to and including the next empty line, at which it calls end.
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

// checkHeaderName records whether the current header states a length or an encoding.
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

// advanceChunks counts the bytes up to the end of a chunked body.
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

// parseChunkSize takes one byte of the line that states a chunk's size.
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

// beginBody sets how the body of the current request is framed: by its length in bytes, or in chunks.
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

// reset prepares for the next request.
func (f *requestFrame) next() { *f = requestFrame{line: f.line[:0]} }
