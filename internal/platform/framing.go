package platform

import (
	"bytes"
	"slices"
	"strconv"
)

// framePosition is how far the current request has been handed to net/http.
type framePosition int

const (
	inHead      framePosition = iota
	afterHead                 // the framing of the body has not been set yet
	inBody                    // of a stated length
	inChunkSize               // in the line that states a chunk's size
	inChunkData               // in a chunk's data or the line end behind it
	inTrailer                 // behind the last chunk
	afterBody                 // the request is complete
	unframed                  // its end is unknown: the connection is closed after it
)

const (
	maxChunkSizeLine = 256 // bytes of the line that states a chunk's size
	chunkEndLength   = 2   // bytes of the line end behind a chunk's data
	maxHeaderName    = 32  // bytes of a header's name that are compared
)

// chunkedLength is the body length that stands for a chunked body, as in http.Request.
const chunkedLength = -1

// requestFramer finds the end of a request in the bytes of a connection. It leaves parsing and validation to net/http;
// where the two could disagree, nothing further is read from the connection.
type requestFramer struct {
	position            framePosition
	line                []byte // the start of the current line, as far as it is needed
	lineLength          int    // bytes of the current line, without its end
	remaining           int64  // bytes left of the body, or of the current chunk and its end
	headLines           int    // lines of the head so far
	hasContentLength    bool   // the head has a Content-Length
	hasTransferEncoding bool   // the head has a Transfer-Encoding
}

// advance returns how many of the bytes belong to the current request, and moves on at the end of its head or body.
func (f *requestFramer) advance(raw []byte) int {
	switch f.position {
	case inHead:
		n := f.advanceLines(raw, f.endHead)
		f.headLines += bytes.Count(raw[:n], []byte("\n"))
		return n
	case inTrailer:
		return f.advanceLines(raw, func() { f.position = afterBody })
	case inBody:
		return f.advanceBody(raw)
	case inChunkSize, inChunkData:
		return f.advanceChunks(raw)
	}
	return len(raw)
}

// advanceLines counts the bytes up to and including the next empty line, at which it calls end.
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

// probe returns the state in which the framer would be after advance, and how many of the bytes belong to the current
// request.
func (f *requestFramer) probe(raw []byte) (after requestFramer, n int) {
	after = *f
	after.line = slices.Clone(f.line)
	n = after.advance(raw)
	return after, n
}

// checkHeaderName records whether the current header states a length or an encoding.
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

// advanceChunks counts the bytes up to the end of a chunked body.
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

// parseChunkSize takes one byte of the line that states a chunk's size.
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

// beginBody sets how the body of the current request is framed: by its length in bytes, or in chunks.
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

// reset prepares for the next request.
func (f *requestFramer) reset() { *f = requestFramer{line: f.line[:0]} }
