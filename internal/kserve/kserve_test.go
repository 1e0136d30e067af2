package kserve

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestEventsAreReadAsTheyWereWritten(t *testing.T) {
	var out bytes.Buffer
	WriteEvent(&out, "", Token{Text: "a\nb"})
	WriteEvent(&out, "end", FinalResponse{Outcome: Served})
	stream := out.String()
	events := NewEventReader(&out)
	first, err := events.Next()
	if err != nil || first.Name != "" || string(first.Data) != `{"text_output":"a\nb"}` {
		t.Errorf("%q %q %v", first.Name, first.Data, err)
	}
	if end, err := events.Next(); err != nil || end.Name != "end" {
		t.Errorf("%+v %v", end, err)
	}
	if _, err := events.Next(); err != io.EOF {
		t.Errorf("at the end: %v, want EOF", err)
	}
	// A stream that is cut off inside an event must not look complete.
	events = NewEventReader(strings.NewReader(stream[:len(stream)-2]))
	events.Next()
	if _, err := events.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut off: %v", err)
	}
	events = NewEventReader(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes+1)))
	if _, err := events.Next(); err == nil || !strings.Contains(err.Error(), "1 MiB") {
		t.Errorf("a line that is too long: %v", err)
	}
}

func TestInvalidAttemptParamsAreRejectedByField(t *testing.T) {
	for body, want := range map[string]string{
		`{"parameters":{"stage":"fly","dispatcher":"d"}}`:                      "parameters.stage",
		`{"parameters":{"stage":"read"}}`:                                      "parameters.dispatcher",
		`{"parameters":{"stage":"read","dispatcher":"d","prompt_tokens":-1}}`:  "negative",
		`{"parameters":{"stage":"read","dispatcher":"d","prompt_tokens":"x"}}`: "prompt_tokens",
	} {
		if _, _, err := ReadAttemptParams(strings.NewReader(body)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", body, err)
		}
	}
}

// The values beside an outcome feed averages, invoices and routing. Invalid ones are dropped, and the outcome stays, as
// the client has its tokens already.
func TestSanitizeDropsInvalidValuesBesideTheOutcome(t *testing.T) {
	valid := UsageRecord{
		Number: 3, RequestKey: "d.1/7", Attempt: 1, PrefillTokens: 90, CachedTokens: 10, OutputTokens: 5,
	}
	for name, c := range map[string]struct {
		result       AttemptResult
		cachedTokens int
		loadValues   int
		hasUsage     bool
	}{
		"valid":                  {AttemptResult{CachedTokens: 40, Load: []float64{0.5, 3}, Usage: &valid}, 40, 2, true},
		"negative cached tokens": {AttemptResult{CachedTokens: -1 << 60}, 0, 0, false},
		"cached over prompt":     {AttemptResult{CachedTokens: 1 << 60}, 100, 0, false},
		"negative load":          {AttemptResult{Load: []float64{0.5, -1}}, 0, 0, false},
		"load out of range":      {AttemptResult{Load: []float64{1e300}}, 0, 0, false},
		"too many load values":   {AttemptResult{Load: make([]float64, 5)}, 0, 0, false},
		"negative tokens": {
			AttemptResult{Usage: &UsageRecord{Number: 3, RequestKey: "d.1/7", Attempt: 1, OutputTokens: -5}}, 0, 0, false,
		},
		"more tokens than requested": {
			AttemptResult{Usage: &UsageRecord{Number: 3, RequestKey: "d.1/7", Attempt: 1, OutputTokens: 51}}, 0, 0, false,
		},
		"another attempt's usage": {
			AttemptResult{Usage: &UsageRecord{Number: 3, RequestKey: "d.1/7", Attempt: 2}}, 0, 0, false,
		},
		"another request's usage": {
			AttemptResult{Usage: &UsageRecord{Number: 3, RequestKey: "d.1/8", Attempt: 1}}, 0, 0, false,
		},
	} {
		c.result.Sanitize(AttemptParams{
			DispatcherEpoch: "d.1", RequestNumber: 7, Attempt: 1, PromptTokens: 100, MaxTokens: 50,
		})
		if c.result.CachedTokens != c.cachedTokens || len(c.result.Load) != c.loadValues ||
			c.result.Usage != nil != c.hasUsage {
			t.Errorf("%s: %d cached tokens, %d load values, usage %v",
				name, c.result.CachedTokens, len(c.result.Load), c.result.Usage)
		}
	}
}

// repeatingReader repeats a text without end and counts the bytes read.
type repeatingReader struct {
	text string
	read int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text)
	r.read += n
	return n, nil
}

// An event of many short lines must end the stream with an error instead of filling the memory.
func TestAnEventWithoutAnEndIsCutOff(t *testing.T) {
	source := &repeatingReader{text: "data: " + strings.Repeat("x", 1017) + "\n"}
	done := make(chan error, 1)
	go func() { _, err := NewEventReader(io.LimitReader(source, 8<<20)).Next(); done <- err }()
	var requestErr *RequestError
	if err := <-done; !errors.As(err, &requestErr) || source.read > 2<<20 {
		t.Errorf("%v after %d bytes", err, source.read)
	}
}
