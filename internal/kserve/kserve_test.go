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
	WriteEvent(&out, "end", FinalResponse{Outcome: Served})
	whole := out.String()
	e := NewEventReader(&out)
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
	e = NewEventReader(strings.NewReader(whole[:len(whole)-2]))
	e.Next()
	if _, err := e.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut off: %v", err)
	}
	e = NewEventReader(strings.NewReader("data: " + strings.Repeat("x", mostLine+1)))
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
		if _, _, err := ReadAttemptParams(strings.NewReader(body)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v", body, err)
		}
	}
}

// What a box says beside its outcome goes into averages, bills and choices: what makes no sense is left out, and the outcome
// stands, as the client has its tokens.
func TestWhatABoxSaysBesideItsOutcomeIsBounded(t *testing.T) {
	fine := UsageRecord{Number: 3, RequestKey: "d.1/7", Attempt: 1, PrefillTokens: 90, CachedTokens: 10, OutputTokens: 5}
	for name, c := range map[string]struct {
		told  AttemptResult
		kept  int
		load  int
		count bool
	}{
		"sound":                      {AttemptResult{CachedTokens: 40, Load: []float64{0.5, 3}, Usage: &fine}, 40, 2, true},
		"kept below nought":          {AttemptResult{CachedTokens: -1 << 60}, 0, 0, false},
		"kept over prompt":           {AttemptResult{CachedTokens: 1 << 60}, 100, 0, false},
		"load below nought":          {AttemptResult{Load: []float64{0.5, -1}}, 0, 0, false},
		"load beyond reason":         {AttemptResult{Load: []float64{1e300}}, 0, 0, false},
		"too many values":            {AttemptResult{Load: make([]float64, 5)}, 0, 0, false},
		"negative tokens":            {AttemptResult{Usage: &UsageRecord{Number: 3, RequestKey: "d.1/7", Attempt: 1, OutputTokens: -5}}, 0, 0, false},
		"more tokens than asked for": {AttemptResult{Usage: &UsageRecord{Number: 3, RequestKey: "d.1/7", Attempt: 1, OutputTokens: 51}}, 0, 0, false},
		"another trip's":             {AttemptResult{Usage: &UsageRecord{Number: 3, RequestKey: "d.1/7", Attempt: 2}}, 0, 0, false},
		"another question's":         {AttemptResult{Usage: &UsageRecord{Number: 3, RequestKey: "d.1/8", Attempt: 1}}, 0, 0, false},
	} {
		c.told.Sanitize(AttemptParams{DispatcherEpoch: "d.1", RequestNumber: 7, Attempt: 1, PromptTokens: 100, MaxTokens: 50})
		if c.told.CachedTokens != c.kept || len(c.told.Load) != c.load || c.told.Usage != nil != c.count {
			t.Errorf("%s: kept %d, %d values of load, count %v", name, c.told.CachedTokens, len(c.told.Load), c.told.Usage)
		}
	}
}

// endless gives the same bytes for ever and counts them.
type endless struct {
	text string
	n    int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text)
	e.n += n
	return n, nil
}

// Each line may be short: an event without an end must still end the stream, not fill the memory.
func TestAnEventWithoutAnEndIsCutOff(t *testing.T) {
	from := &endless{text: "data: " + strings.Repeat("x", 1017) + "\n"}
	done := make(chan error, 1)
	go func() { _, err := NewEventReader(io.LimitReader(from, 8<<20)).Next(); done <- err }()
	var f *RequestError
	if err := <-done; !errors.As(err, &f) || from.n > 2<<20 {
		t.Errorf("%v after %d bytes", err, from.n)
	}
}
