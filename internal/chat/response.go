package chat

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"sloetrestle/scheduler"
)

// Bounds of what is accepted from backends.
const (
	maxLineBytes    = 256       // of a chunk's size line, or of a trailer line
	maxChunkBytes   = 256 << 10 // of a chunk
	maxEventBytes   = 256 << 10 // of an event
	maxTrailerLines = 16        // after the last chunk
	// MaxInformational is how many response heads are read in search of one that is not informational (1xx).
	MaxInformational = 8
)

// ErrMalformed reports that a backend's response cannot be decoded.
var ErrMalformed = errors.New("malformed response from the backend")

// ClassifyResponse returns the outcome of an attempt that was answered without a stream. The request counts as not
// processed only if the backend itself states so by a header: without the header, an error may come from an
// intermediary. note is the number of cached tokens after a prefill; after a rejection it is 1 if the KV cache is
// gone from its backend, as the scheduler expects.
func ClassifyResponse(stage scheduler.Stage, resp *http.Response, body []byte) (outcome scheduler.Outcome, note int) {
	notProcessed := resp.Header.Get("X-Not-Processed") == "1"
	switch code := resp.StatusCode; {
	case code == http.StatusAccepted && stage == scheduler.StagePrefill:
		var prefill struct {
			CachedTokens float64 `json:"cached_tokens"`
		}
		if json.Unmarshal(body, &prefill) != nil {
			return scheduler.Prefilled, 0
		}
		return scheduler.Prefilled, tokenCount(prefill.CachedTokens)
	case notProcessed && (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout):
		return scheduler.Rejected, 0
	case notProcessed && code == http.StatusGone:
		return scheduler.Rejected, 1
	}
	return scheduler.Failed, 0
}

// tokenCount converts a reported number of tokens; one out of bounds counts as 0.
func tokenCount(n float64) int {
	if !(n >= 0 && n <= maxTokens) {
		return 0
	}
	return int(n)
}

// ParseLoad decodes a load report and returns the values of the given fields in their order, or nil if the report is
// malformed or lacks a field.
func ParseLoad(report string, fields []string) []float64 {
	values := make([]float64, len(fields))
	seen := 0
	for report != "" {
		var part string
		part, report, _ = strings.Cut(report, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i, field := range fields {
			if field != name {
				continue
			}
			v, err := strconv.ParseFloat(value, 64)
			if err != nil || !(v >= 0 && v <= 1e9) {
				return nil
			}
			values[i] = v
			seen++
		}
	}
	if seen != len(fields) || seen == 0 {
		return nil
	}
	return values
}

// Stream reads the events of a response with chunked encoding.
type Stream struct {
	CachedTokens int    // as reported at the end of the stream
	LoadReport   string // as reported at the end of the stream

	reader  *bufio.Reader
	reserve func(bytes int) error
	partial []byte // received, and not returned yet
	missing int    // bytes of the current chunk that have not been received
	begun   bool   // events were returned
	done    bool   // the event that ends the answer was received
}

// NewStream returns a Stream that reads the body of a response from reader. Before it stores bytes of events it calls
// reserve, whose error ends the stream.
func NewStream(reader *bufio.Reader, reserve func(bytes int) error) *Stream {
	return &Stream{reader: reader, reserve: reserve}
}

// Next returns the complete events that come next, unchanged: those of whole chunks or, behind the first ones, those of a
// chunk whose rest has not come yet. It returns io.EOF after the last chunk of a complete answer, and ErrMalformed if the
// body is malformed or ends before the answer does.
func (s *Stream) Next() ([]byte, error) {
	for {
		more, err := s.readPart()
		if err == io.EOF {
			// A connection that breaks between two chunks must not pass for the end of the answer.
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if !more {
			if !s.done || len(s.partial) > 0 {
				return nil, ErrMalformed // the body is well-formed, but the answer is incomplete
			}
			return nil, io.EOF
		}
		end := bytes.LastIndex(s.partial, []byte("\n\n"))
		if end < 0 {
			if len(s.partial) > maxEventBytes {
				return nil, ErrMalformed
			}
			continue
		}
		events := s.partial[:end+2]
		s.partial = append([]byte(nil), s.partial[end+2:]...)
		if !s.inspect(events) {
			return nil, ErrMalformed
		}
		s.begun = true
		return events, nil
	}
}

// readPart appends the rest of the current chunk to partial, or the next chunk. Once events were returned, it appends no
// more than what has come. It returns false after the last chunk.
func (s *Stream) readPart() (more bool, err error) {
	if s.missing == 0 {
		if s.missing, err = s.readChunkSize(); err != nil {
			return false, err
		}
		if s.missing == 0 {
			return false, s.readTrailer()
		}
	}
	for s.missing > 0 {
		if err := s.receive(); err != nil {
			return false, err
		}
		if s.begun && s.missing > 0 && s.reader.Buffered() == 0 {
			return true, nil
		}
	}
	return true, s.readChunkEnd()
}

// readChunkSize returns the size of the next chunk, 0 for the last one.
func (s *Stream) readChunkSize() (int, error) {
	line, err := s.readLine()
	if err != nil {
		return 0, err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 32)
	if err != nil || n > maxChunkBytes || len(size) > 8 {
		return 0, ErrMalformed
	}
	return int(n), nil
}

// receive waits for bytes of the current chunk and appends those that have come to partial. Memory is taken for them, not
// by the announced length.
func (s *Stream) receive() error {
	if _, err := s.reader.Peek(1); err != nil {
		return err
	}
	size := min(s.missing, s.reader.Buffered())
	if err := s.reserve(size); err != nil {
		return err
	}
	received, _ := s.reader.Peek(size) // it is buffered
	s.partial = append(s.partial, received...)
	s.reader.Discard(size)
	s.missing -= size
	return nil
}

// readChunkEnd reads the line end behind a chunk's data.
func (s *Stream) readChunkEnd() error {
	var end [2]byte
	if _, err := io.ReadFull(s.reader, end[:]); err != nil {
		return err
	}
	if string(end[:]) != "\r\n" {
		return ErrMalformed
	}
	return nil
}

// readTrailer reads what follows the last chunk.
func (s *Stream) readTrailer() error {
	for range maxTrailerLines {
		line, err := s.readLine()
		if err != nil || len(line) == 0 {
			return err
		}
	}
	return ErrMalformed
}

// readLine reads a line of at most maxLineBytes.
func (s *Stream) readLine() ([]byte, error) {
	var line []byte
	for len(line) <= maxLineBytes {
		c, err := s.reader.ReadByte()
		if err != nil {
			return nil, err
		}
		if c == '\n' {
			return bytes.TrimSuffix(line, []byte("\r")), nil
		}
		line = append(line, c)
	}
	return nil, ErrMalformed
}

// inspect records what events report about the attempt. It returns false if they are not well-formed events: a chunk
// of a wrong size may have taken in the framing of the next one.
func (s *Stream) inspect(events []byte) bool {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		value, isData := bytes.CutPrefix(line, []byte("data:"))
		switch {
		case len(line) == 0:
		case isData:
			value = bytes.TrimLeft(value, " ")
			if string(value) == "[DONE]" {
				s.done = true
			} else if len(value) == 0 || value[0] != '{' || value[len(value)-1] != '}' {
				return false
			} else if bytes.Contains(value, []byte(`"cached_tokens"`)) {
				var event struct {
					Usage struct {
						Details struct {
							CachedTokens float64 `json:"cached_tokens"`
						} `json:"prompt_tokens_details"`
					} `json:"usage"`
				}
				if json.Unmarshal(value, &event) != nil {
					return false
				}
				s.CachedTokens = tokenCount(event.Usage.Details.CachedTokens)
			}
		case line[0] == ':':
			if name, report, ok := strings.Cut(string(line[1:]), ":"); ok &&
				strings.EqualFold(strings.TrimSpace(name), "X-Server-Load") {
				s.LoadReport = strings.TrimSpace(report)
			}
		case bytes.HasPrefix(line, []byte("event:")),
			bytes.HasPrefix(line, []byte("id:")),
			bytes.HasPrefix(line, []byte("retry:")):
		default:
			return false
		}
	}
	return true
}

// EndsMidAnswer tells whether the last of the events carries a token that is not the last one of its answer.
func EndsMidAnswer(events []byte) bool {
	var last []byte
	for line := range bytes.Lines(events) {
		if value, isData := bytes.CutPrefix(line, []byte("data:")); isData {
			last = value
		}
	}
	var event struct {
		Choices []struct {
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
	}
	return json.Unmarshal(last, &event) == nil && len(event.Choices) > 0 && event.Choices[0].FinishReason == nil
}
