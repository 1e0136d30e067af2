package chat

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"sloetrestle/scheduler"
)

const (
	tokenEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"oqvh\"}}]}\n\n"
	usageEvent = "data: {\"choices\":[],\"usage\":" +
		"{\"prompt_tokens\":5120,\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n"
	doneEvent = "data: [DONE]\n\n"
	loadEvent = ": X-Server-Load: util=0.61,queue=2,x0=0.5\n\n"
	lastChunk = "0\r\n\r\n"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// readAll reads a stream to its end.
func readAll(raw string) (stream *Stream, text string, err error) {
	stream = NewStream(bufio.NewReader(strings.NewReader(raw)), func(int) error { return nil })
	for {
		events, err := stream.Next()
		if err != nil {
			return stream, text, err
		}
		text += string(events)
	}
}

func TestStreamReturnsAllEventsOfACompleteAnswer(t *testing.T) {
	stream, text, err := readAll(
		chunk(tokenEvent) + chunk(usageEvent[:30]) + chunk(usageEvent[30:]+doneEvent+loadEvent) + lastChunk)
	if err != io.EOF || text != tokenEvent+usageEvent+doneEvent+loadEvent ||
		stream.CachedTokens != 4096 || stream.LoadReport != "util=0.61,queue=2,x0=0.5" {
		t.Errorf("%q, %v, %d cached tokens, load report %q", text, err, stream.CachedTokens, stream.LoadReport)
	}
}

// A connection that breaks between two chunks reads as io.EOF. If that passed for the end of the answer, the client
// would get a truncated answer as a complete one.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	complete := chunk(tokenEvent) + chunk(usageEvent+doneEvent) + lastChunk
	for n := range complete {
		if _, _, err := readAll(complete[:n]); err == io.EOF {
			t.Errorf("cut after %d of %d bytes, the stream counts as complete", n, len(complete))
		}
	}
}

func TestMalformedStreamIsRefused(t *testing.T) {
	for name, raw := range map[string]string{
		"chunk size not a number":  "zz\r\n" + tokenEvent,
		"chunk size far too large": "c0000000\r\n" + tokenEvent,
		"chunk size a little large": fmt.Sprintf("%x\r\n%s\r\n", len(tokenEvent)+8, tokenEvent) +
			chunk(tokenEvent) + chunk(tokenEvent),
		"chunk size too small":           fmt.Sprintf("%x\r\n%s\r\n", len(tokenEvent)-3, tokenEvent),
		"binary noise":                   chunk("\x00\x01\x02\n\n"),
		"endless line":                   strings.Repeat("1", 1000),
		"no event ends the answer":       chunk(tokenEvent) + lastChunk,
		"ends in the middle of an event": chunk(tokenEvent+doneEvent+"data: {") + lastChunk,
	} {
		if _, _, err := readAll(raw); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestOnlyNotProcessedHeaderProvesRejection(t *testing.T) {
	for _, tc := range []struct {
		stage        scheduler.Stage
		code         int
		notProcessed string // header X-Not-Processed
		body         string
		want         scheduler.Outcome
		note         int
	}{
		{scheduler.StagePrefill, 202, "", `{"cached_tokens":4096}`, scheduler.Prefilled, 4096},
		{scheduler.StagePrefill, 202, "", `{"cached_tokens":-1}`, scheduler.Prefilled, 0},
		{scheduler.StageWhole, 202, "", `{}`, scheduler.Failed, 0},
		{scheduler.StageWhole, 500, "1", ``, scheduler.Failed, 0},
		{scheduler.StageWhole, 503, "1", ``, scheduler.Rejected, 0},
		{scheduler.StageWhole, 504, "1", ``, scheduler.Rejected, 0},
		{scheduler.StageWhole, 503, "", ``, scheduler.Failed, 0},
		{scheduler.StageDecode, 410, "1", ``, scheduler.Rejected, 1},
		{scheduler.StageDecode, 410, "", ``, scheduler.Failed, 0},
		{scheduler.StageDecode, 400, "", ``, scheduler.Failed, 0},
	} {
		resp := &http.Response{StatusCode: tc.code, Header: http.Header{}}
		if tc.notProcessed != "" {
			resp.Header.Set("X-Not-Processed", tc.notProcessed)
		}
		if outcome, note := ClassifyResponse(tc.stage, resp, []byte(tc.body)); outcome != tc.want || note != tc.note {
			t.Errorf("%+v: outcome %d, note %d", tc, outcome, note)
		}
	}
}

func TestMalformedLoadReportIsDropped(t *testing.T) {
	fields := []string{"util", "queue"}
	if got := ParseLoad("inflight=7, queue=2,util=0.61", fields); !reflect.DeepEqual(got, []float64{0.61, 2}) {
		t.Error(got)
	}
	for _, report := range []string{
		"", "util=0.6", "util=x,queue=2", "util=NaN,queue=1", "util=-1,queue=1", "util=1e300,queue=1",
	} {
		if got := ParseLoad(report, fields); got != nil {
			t.Errorf("%q was decoded as %v", report, got)
		}
	}
}

// Whatever a backend sends, a stream ends with an error or io.EOF, and returns no more than was sent.
func FuzzStream(f *testing.F) {
	f.Add(chunk(tokenEvent) + chunk(usageEvent+doneEvent+loadEvent) + lastChunk)
	f.Add("c0000000\r\n" + tokenEvent)
	f.Fuzz(func(t *testing.T, raw string) {
		stream, text, err := readAll(raw)
		if err == nil || stream.CachedTokens < 0 || len(text) > len(raw) {
			t.Errorf("%v, %d cached tokens, %d bytes of %d", err, stream.CachedTokens, len(text), len(raw))
		}
	})
}

// A token that others follow must be told from the last one of an answer, whatever the formatting of the JSON.
func TestEndsMidAnswer(t *testing.T) {
	for events, want := range map[string]bool{
		"": false,
		"data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n": true,
		"data: { \"choices\" : [ { \"finish_reason\" : null } ] }\n\n":                                 true,
		"data: {\"choices\":[{\"delta\":{\"content\":\"data: x\"}}]}\n\n":                              true,
		"data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n":                                       false,
		"data: {\"choices\":[{\"finish_reason\":null}]}\n\n" +
			"data: {\"choices\":[],\"usage\":{}}\n\n": false,
		"data: {\"choices\":[{\"finish_reason\":null}]}\n\n" +
			"data: [DONE]\n\n": false,
		"data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n" +
			"data: {\"choices\":[{\"finish_reason\":null}]}\n\n: X: y\n\n": true,
	} {
		if got := EndsMidAnswer([]byte(events)); got != want {
			t.Errorf("%q: %t", events, got)
		}
	}
}

// No report yields a value that is negative, not a number, or out of bounds.
func FuzzParseLoad(f *testing.F) {
	f.Add("inflight=7,queue=2,util=0.61")
	f.Add("util=NaN,queue=-1,queue=1e400")
	f.Fuzz(func(t *testing.T, report string) {
		for _, v := range ParseLoad(report, []string{"util", "queue"}) {
			if !(v >= 0 && v <= 1e9) {
				t.Errorf("%q: %g", report, v)
			}
		}
	})
}

// Whatever a backend responds, only its own header proves that a request was not processed, and a response without a
// stream never counts as served.
func FuzzClassifyResponse(f *testing.F) {
	f.Add(202, "1", []byte(`{"cached_tokens":4096}`))
	f.Add(503, "", []byte(`{}`))
	f.Fuzz(func(t *testing.T, status int, notProcessed string, body []byte) {
		resp := &http.Response{StatusCode: status, Header: http.Header{"X-Not-Processed": {notProcessed}}}
		for _, stage := range []scheduler.Stage{scheduler.StagePrefill, scheduler.StageDecode, scheduler.StageWhole} {
			outcome, note := ClassifyResponse(stage, resp, body)
			if outcome == scheduler.Served || outcome == scheduler.Rejected && notProcessed != "1" ||
				outcome == scheduler.Prefilled && stage != scheduler.StagePrefill || note < 0 || note > maxTokens {
				t.Errorf("status %d, not processed %q, stage %d: outcome %d, note %d",
					status, notProcessed, stage, outcome, note)
			}
		}
	})
}

// Events of a chunk that is still being written are returned as they come, once the answer has begun. Its first events are
// returned with their whole chunk, as a spoilt opening must not reach the client.
func TestEventsOfAnUnfinishedChunkAreReturned(t *testing.T) {
	const event = "data: {\"choices\":[]}\n\n"
	reader, writer := io.Pipe()
	defer writer.Close()
	stream := NewStream(bufio.NewReader(reader), func(int) error { return nil })
	written := make(chan string)
	go func() {
		for text := range written {
			io.WriteString(writer, text)
		}
	}()
	defer close(written)
	next := make(chan string)
	go func() {
		defer close(next)
		for {
			events, err := stream.Next()
			if err != nil {
				return
			}
			next <- string(events)
		}
	}()
	chunk := fmt.Sprintf("%x\r\n%s%s", 2*len(event), event, event)
	written <- chunk[:len(chunk)-1]
	select {
	case got := <-next:
		t.Errorf("before the first chunk is whole: %q", got)
	case <-time.After(20 * time.Millisecond):
	}
	written <- chunk[len(chunk)-1:] + "\r\n"
	if got := <-next; got != event+event {
		t.Errorf("the first chunk: %q", got)
	}
	written <- chunk[:len(chunk)-len(event)+3]
	if got := <-next; got != event {
		t.Errorf("what has come of the second chunk: %q", got)
	}
	written <- chunk[len(chunk)-len(event)+3:] + "\r\n"
	if got := <-next; got != event {
		t.Errorf("the rest of the second chunk: %q", got)
	}
}
