package kserve

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestEventsComeBackAsTheyWereWritten(t *testing.T) {
	var out bytes.Buffer
	WriteEvent(&out, "", Token{Text: "a\nb"})
	WriteEvent(&out, "end", Final{Final: Satisfied})
	whole := out.String()
	e := NewEvents(&out)
	first, err := e.Next()
	if err != nil || first.Name != "" || string(first.Data) != `{"text_output":"a\nb"}` {
		t.Errorf("%q %q %v", first.Name, first.Data, err)
	}
	if end, err := e.Next(); err != nil || end.Name != "end" {
		t.Errorf("%+v %v", end, err)
	}
	if _, err := e.Next(); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
	// A stream that is cut off inside an event has not ended.
	e = NewEvents(strings.NewReader(whole[:len(whole)-2]))
	e.Next()
	if _, err := e.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut off: %v", err)
	}
	e = NewEvents(strings.NewReader("data: " + strings.Repeat("x", mostLine+1)))
	if _, err := e.Next(); err == nil || !strings.Contains(err.Error(), "1 MiB") {
		t.Errorf("a line without end: %v", err)
	}
}

func TestAnErrandIsCheckedBeforeABoxTakesIt(t *testing.T) {
	for body, says := range map[string]string{
		`{"parameters":{"stage":"fly","dispatcher":"d"}}`:                      "parameters.stage",
		`{"parameters":{"stage":"read"}}`:                                      "parameters.dispatcher",
		`{"parameters":{"stage":"read","dispatcher":"d","prompt_tokens":-1}}`:  "negative",
		`{"parameters":{"stage":"read","dispatcher":"d","prompt_tokens":"x"}}`: "prompt_tokens",
	} {
		if _, _, err := ReadErrand(strings.NewReader(body)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v", body, err)
		}
	}
}
