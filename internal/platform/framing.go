package platform

import (
	"bytes"
	"strconv"
)

// framing is how far the present request has been handed to net/http.
type framePosition int

const (
	inHead      framePosition = iota
	afterHead                 // how its body is framed has not been said yet
	inBody                    // of a stated length
	inChunkSize               // in the line that states a chunk's length
	inChunkData               // in a chunk and the end of its line
	inTrailer                 // behind the last chunk
	afterBody                 // it is whole
	unframed                  // its end can't be told: the connection is closed after it
)

const (
	maxChunkSizeLine = 256 // bytes of the line that states a chunk's length
	chunkEndLength   = 2   // bytes behind a chunk
	maxHeaderName    = 32  // bytes of a header's name that are looked at
)

// chunked is a body's length that stands for one in chunks.
const chunkedLength = -1

// requestFrame finds the end of a request in the bytes of a connection. It only frames: what the bytes say is for net/http to judge,
// and where the two may disagree the rest of the connection is of no use.
type requestFramer struct {
	position            framePosition
	line                []byte // of the present line, as far as it matters
	lineLength          int    // of the present line, without its end
	remaining           int64  // of the body, or of the present chunk and its end
	hasContentLength    bool   // the head states a length
	hasTransferEncoding bool   // the head states an encoding
}

// advance tells how many of the bytes belong to the present request, and takes note of the end of its head or body.
func (f *requestFramer) advance(raw []byte) int {
	switch f.position {
	case inHead:
		return f.advanceLines(raw, f.endHead)
	case inTrailer:
		return f.advanceLines(raw, func() { f.position = afterBody })
	case inBody:
		return f.advanceBody(raw)
	case inChunkSize, inChunkData:
		return f.advanceChunks(raw)
	}
	return len(raw)
}

// advanceLines counts the bytes up to and with the next empty line, at which end is called.
func (f *requestFramer) advanceLines(raw []byte, end func()) int {
	for i, b := range raw {
		switch {
		case b == '\n' && f.lineLength == 0:
			f.line = f.line[:0]
			end()
			return i + 1
		case b == '\n':
			f.line, f.lineLength = f.line[:0], 0
		case b == ':':
			f.checkHeaderName()
			f.lineLength++
		case b != '\r':
			if len(f.line) < maxHeaderName {
				f.line = append(f.line, b)
			}
			f.lineLength++
		}
	}
	return len(raw)
}

// name looks at a header's name.
func (f *requestFramer) checkHeaderName() {
	if f.lineLength != len(f.line) {
		return // a later colon of the line, or a name too long to matter
	}
	f.hasContentLength = f.hasContentLength || bytes.EqualFold(f.line, []byte("Content-Length"))
	f.hasTransferEncoding = f.hasTransferEncoding || bytes.EqualFold(f.line, []byte("Transfer-Encoding"))
}

func (f *requestFramer) endHead() { f.position = afterHead }

// advanceBody counts the bytes up to the end of a body of a stated length.
func (f *requestFramer) advanceBody(raw []byte) int {
	n := min(int64(len(raw)), f.remaining)
	if f.remaining -= n; f.remaining == 0 {
		f.position = afterBody
	}
	return int(n)
}

// advanceChunks counts the bytes up to the end of a body in chunks.
func (f *requestFramer) advanceChunks(raw []byte) int {
	for i := 0; i < len(raw); {
		switch f.position {
		case inChunkSize:
			f.parseChunkSize(raw[i])
			i++
		case inChunkData:
			n := min(int64(len(raw)-i), f.remaining)
			i += int(n)
			if f.remaining -= n; f.remaining == 0 {
				f.position = inChunkSize
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
func (f *requestFramer) parseChunkSize(b byte) {
	if b != '\n' {
		if f.line = append(f.line, b); len(f.line) > maxChunkSizeLine {
			f.position = unframed
		}
		return
	}
	size, _, _ := bytes.Cut(f.line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
	f.line, f.lineLength = f.line[:0], 0
	switch {
	case err != nil:
		f.position = unframed
	case n == 0:
		f.position = inTrailer
	default:
		f.position, f.remaining = inChunkData, int64(n)+chunkEndLength
	}
}

// begin says how the present request's body is framed: by its length, or in chunks.
func (f *requestFramer) beginBody(length int64) {
	switch {
	case f.position != afterHead || f.hasContentLength && f.hasTransferEncoding:
		f.position = unframed
	case length == chunkedLength:
		f.position = inChunkSize
	case length == 0:
		f.position = afterBody
	default:
		f.position, f.remaining = inBody, length
	}
}

// next makes ready for the next request.
func (f *requestFramer) reset() { *f = requestFramer{line: f.line[:0]} }
