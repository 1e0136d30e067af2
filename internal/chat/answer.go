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

	"sloetrestle/brain"
)

const (
	maxLineBytes     = 256       // bytes of a chunk's size line, or of a line after the last chunk
	maxChunkBytes    = 256 << 10 // bytes of a chunk
	maxEventBytes    = 256 << 10 // bytes of an event
	maxTrailerLines  = 16        // lines after the last chunk
	MaxInformational = 8         // answers in front of the one that counts
)

// ErrSpoilt says that what a box sends can't be read as an answer.
var ErrMalformed = errors.New("the answer can't be read")

// Outcome is what a box's short answer proves: only what the box itself says never ran is taken for that. Without the mark a
// refusal may be somebody else's on the way. A state that is gone stands as the module knows it: full, with a note of 1.
func ClassifyResponse(stage brain.Stage, resp *http.Response, body []byte) (o brain.Outcome, note int) {
	never := resp.Header.Get("X-Not-Processed") == "1"
	switch code := resp.StatusCode; {
	case code == http.StatusAccepted && stage == brain.StagePrefill:
		var said struct {
			Kept float64 `json:"cached_tokens"`
		}
		if json.Unmarshal(body, &said) != nil {
			return brain.Prefilled, 0
		}
		return brain.Prefilled, tokenCount(said.Kept)
	case never && (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout):
		return brain.Rejected, 0
	case never && code == http.StatusGone:
		return brain.Rejected, 1
	}
	return brain.Failed, 0
}

func tokenCount(n float64) int {
	if !(n >= 0 && n <= maxTokens) {
		return 0
	}
	return int(n)
}

// Load reads a load report's values in the order of the fields; nil: it can't be read.
func ParseLoad(text string, fields []string) []float64 {
	values := make([]float64, len(fields))
	seen := 0
	for text != "" {
		var part string
		part, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i, f := range fields {
			if f != name {
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

// Stream reads the events of an answer in chunks.
type Stream struct {
	CachedTokens int    // tokens found kept, as the end says
	LoadReport   string // the load report, as the end says

	reader  *bufio.Reader
	partial []byte // of an event that is not whole yet
	done    bool
}

func NewStream(from *bufio.Reader) *Stream { return &Stream{reader: from} }

// Next returns the whole events that the next chunks bring, unchanged. After the last chunk of a whole answer it is io.EOF.
func (s *Stream) Next() ([]byte, error) {
	for {
		chunk, err := s.readChunk()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF // between two chunks a connection that breaks looks like an end
		}
		if err != nil {
			return nil, err
		}
		if chunk == nil {
			if !s.done || len(s.partial) > 0 {
				return nil, ErrMalformed // it ends in good order, but before the end of the answer
			}
			return nil, io.EOF
		}
		s.partial = append(s.partial, chunk...)
		end := bytes.LastIndex(s.partial, []byte("\n\n"))
		if end < 0 {
			if len(s.partial) > maxEventBytes {
				return nil, ErrMalformed
			}
			continue
		}
		piece := s.partial[:end+2]
		s.partial = append([]byte(nil), s.partial[end+2:]...)
		if !s.inspect(piece) {
			return nil, ErrMalformed
		}
		return piece, nil
	}
}

// chunk returns the next chunk; nil: the last has come.
func (s *Stream) readChunk() ([]byte, error) {
	line, err := s.readLine()
	if err != nil {
		return nil, err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 32)
	if err != nil || n > maxChunkBytes || len(size) > 8 {
		return nil, ErrMalformed
	}
	if n == 0 {
		for range maxTrailerLines {
			if line, err = s.readLine(); err != nil {
				return nil, err
			}
			if len(line) == 0 {
				return nil, nil
			}
		}
		return nil, ErrMalformed
	}
	chunk := make([]byte, n+2)
	if _, err := io.ReadFull(s.reader, chunk); err != nil {
		return nil, err
	}
	if chunk[n] != '\r' || chunk[n+1] != '\n' {
		return nil, ErrMalformed
	}
	return chunk[:n], nil
}

// line reads a short line.
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

// look takes what the events say of the trip, and tells whether they are events at all: a chunk of a wrong size may have taken in
// what frames the next.
func (s *Stream) inspect(piece []byte) bool {
	for line := range bytes.Lines(piece) {
		line = bytes.TrimRight(line, "\r\n")
		value, data := bytes.CutPrefix(line, []byte("data:"))
		switch {
		case len(line) == 0:
		case data:
			value = bytes.TrimLeft(value, " ")
			if string(value) == "[DONE]" {
				s.done = true
			} else if len(value) == 0 || value[0] != '{' || value[len(value)-1] != '}' {
				return false
			} else if bytes.Contains(value, []byte(`"cached_tokens"`)) {
				var said struct {
					Usage struct {
						Details struct {
							Kept float64 `json:"cached_tokens"`
						} `json:"prompt_tokens_details"`
					} `json:"usage"`
				}
				if json.Unmarshal(value, &said) != nil {
					return false
				}
				s.CachedTokens = tokenCount(said.Usage.Details.Kept)
			}
		case line[0] == ':':
			if name, report, ok := strings.Cut(string(line[1:]), ":"); ok && strings.EqualFold(strings.TrimSpace(name), "X-Server-Load") {
				s.LoadReport = strings.TrimSpace(report)
			}
		case bytes.HasPrefix(line, []byte("event:")), bytes.HasPrefix(line, []byte("id:")), bytes.HasPrefix(line, []byte("retry:")):
		default:
			return false
		}
	}
	return true
}

// Midway tells whether events end with a token that is not the answer's last one.
func EndsMidAnswer(events []byte) bool {
	var last []byte
	for line := range bytes.Lines(events) {
		if value, data := bytes.CutPrefix(line, []byte("data:")); data {
			last = value
		}
	}
	var said struct {
		Choices []struct {
			Finish *string `json:"finish_reason"`
		} `json:"choices"`
	}
	return json.Unmarshal(last, &said) == nil && len(said.Choices) > 0 && said.Choices[0].Finish == nil
}
