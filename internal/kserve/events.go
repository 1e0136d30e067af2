package kserve

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// mostLine bounds one line of an event stream, and all the data of one event.
const mostLine = 1 << 20

// Event is one server-sent event.
type Event struct {
	Name string
	Data []byte
}

// Events reads server-sent events. A stream that ends inside an event ends with io.ErrUnexpectedEOF.
type EventReader struct{ lines *bufio.Scanner }

func NewEventReader(r io.Reader) *EventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 1024), mostLine)
	return &EventReader{s}
}

// Next returns the next event; its data is valid until the call after.
func (e *EventReader) Next() (Event, error) {
	var ev Event
	begun := false
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if len(line) == 0 {
			if begun {
				return ev, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "event":
			ev.Name, begun = string(value), true
		case "data":
			if ev.Data != nil {
				ev.Data = append(ev.Data, '\n')
			}
			ev.Data, begun = append(ev.Data, value...), true
			if len(ev.Data) > mostLine {
				return ev, &RequestError{Message: "an event of the stream is longer than 1 MiB"}
			}
		}
	}
	switch err := e.lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return ev, &RequestError{Message: "a line of the stream is longer than 1 MiB"}
	case err != nil:
		return ev, err
	case begun:
		return ev, io.ErrUnexpectedEOF
	}
	return ev, io.EOF
}

// WriteEvent writes one event with v as its data.
func WriteEvent(w io.Writer, name string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return WriteRawEvent(w, name, raw)
}

// WriteRaw writes one event whose data is one line already.
func WriteRawEvent(w io.Writer, name string, data []byte) error {
	out := make([]byte, 0, len(name)+len(data)+20)
	if name != "" {
		out = append(append(append(out, "event: "...), name...), '\n')
	}
	out = append(append(append(out, "data: "...), data...), "\n\n"...)
	_, err := w.Write(out)
	return err
}
