package kserve

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// maxEventBytes bounds one line of an event stream, and all the data of one event.
const maxEventBytes = 1 << 20

// Event is one server-sent event.
type Event struct {
	Name string
	Data []byte
}

// EventReader reads server-sent events. A stream that ends inside an event ends with io.ErrUnexpectedEOF.
type EventReader struct{ lines *bufio.Scanner }

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 1024), maxEventBytes)
	return &EventReader{scanner}
}

// Next returns the next event, and io.EOF at the end of the stream. The event's data is valid until the next call.
func (r *EventReader) Next() (Event, error) {
	var event Event
	started := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if started {
				return event, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "event":
			event.Name, started = string(value), true
		case "data":
			if event.Data != nil {
				event.Data = append(event.Data, '\n')
			}
			event.Data, started = append(event.Data, value...), true
			if len(event.Data) > maxEventBytes {
				return event, &RequestError{Message: "an event of the stream is longer than 1 MiB"}
			}
		}
	}
	switch err := r.lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return event, &RequestError{Message: "a line of the stream is longer than 1 MiB"}
	case err != nil:
		return event, err
	case started:
		return event, io.ErrUnexpectedEOF
	}
	return event, io.EOF
}

// WriteEvent writes one event with the JSON of v as its data.
func WriteEvent(w io.Writer, name string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return WriteRawEvent(w, name, raw)
}

// WriteRawEvent writes one event with data as it is; data must not contain a line break.
func WriteRawEvent(w io.Writer, name string, data []byte) error {
	out := make([]byte, 0, len(name)+len(data)+20)
	if name != "" {
		out = append(append(append(out, "event: "...), name...), '\n')
	}
	out = append(append(append(out, "data: "...), data...), "\n\n"...)
	_, err := w.Write(out)
	return err
}
