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

	"sloetrestle/brain"
)

const (
	first = "data: {\"choices\":[{\"delta\":{\"content\":\"oqvh\"}}]}\n\n"
	usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5120,\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n"
	done  = "data: [DONE]\n\n"
	load  = ": X-Server-Load: util=0.61,queue=2,x0=0.5\n\n"
	last  = "0\r\n\r\n"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// read reads a stream to its end.
func read(raw string) (s *Stream, text string, err error) {
	s = NewStream(bufio.NewReader(strings.NewReader(raw)))
	for {
		piece, err := s.Next()
		if err != nil {
			return s, text, err
		}
		text += string(piece)
	}
}

func TestAGoodStreamIsPassedOnWhole(t *testing.T) {
	s, text, err := read(chunk(first) + chunk(usage[:30]) + chunk(usage[30:]+done+load) + last)
	if err != io.EOF || text != first+usage+done+load || s.CachedTokens != 4096 || s.LoadReport != "util=0.61,queue=2,x0=0.5" {
		t.Errorf("%q, %v, kept %d, report %q", text, err, s.CachedTokens, s.LoadReport)
	}
}

// A connection that breaks between two chunks reads as an end of the bytes. Taken for the end of the answer, the client's
// stream was ended as whole.
func TestAStreamThatBreaksIsNotWhole(t *testing.T) {
	whole := chunk(first) + chunk(usage+done) + last
	for n := range whole {
		if _, _, err := read(whole[:n]); err == io.EOF {
			t.Errorf("cut after %d of %d bytes it counts as whole", n, len(whole))
		}
	}
}

func TestASpoiltStreamIsNoAnswer(t *testing.T) {
	for name, raw := range map[string]string{
		"size of no number":   "zz\r\n" + first,
		"size far too large":  "c0000000\r\n" + first,
		"size a little large": fmt.Sprintf("%x\r\n%s\r\n", len(first)+8, first) + chunk(first) + chunk(first),
		"size too small":      fmt.Sprintf("%x\r\n%s\r\n", len(first)-3, first),
		"noise":               chunk("\x00\x01\x02\n\n"),
		"endless line":        strings.Repeat("1", 1000),
		"ends without an end": chunk(first) + last,
		"ends within one":     chunk(first+done+"data: {") + last,
	} {
		if _, _, err := read(raw); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestOutcomesAreWhatTheBoxProves(t *testing.T) {
	for _, c := range []struct {
		stage brain.Stage
		code  int
		never string
		body  string
		want  brain.Outcome
		note  int
	}{
		{brain.StagePrefill, 202, "", `{"cached_tokens":4096}`, brain.Prefilled, 4096},
		{brain.StagePrefill, 202, "", `{"cached_tokens":-1}`, brain.Prefilled, 0},
		{brain.StageWhole, 202, "", `{}`, brain.Failed, 0},
		{brain.StageWhole, 500, "1", ``, brain.Failed, 0},
		{brain.StageWhole, 503, "1", ``, brain.Rejected, 0},
		{brain.StageWhole, 504, "1", ``, brain.Rejected, 0},
		{brain.StageWhole, 503, "", ``, brain.Failed, 0},
		{brain.StageDecode, 410, "1", ``, brain.Rejected, 1},
		{brain.StageDecode, 410, "", ``, brain.Failed, 0},
		{brain.StageDecode, 400, "", ``, brain.Failed, 0},
	} {
		resp := &http.Response{StatusCode: c.code, Header: http.Header{}}
		if c.never != "" {
			resp.Header.Set("X-Not-Processed", c.never)
		}
		if o, note := ClassifyResponse(c.stage, resp, []byte(c.body)); o != c.want || note != c.note {
			t.Errorf("%+v: %d, %d", c, o, note)
		}
	}
}

func TestAReportThatCantBeReadIsDropped(t *testing.T) {
	fields := []string{"util", "queue"}
	if got := ParseLoad("inflight=7, queue=2,util=0.61", fields); !reflect.DeepEqual(got, []float64{0.61, 2}) {
		t.Error(got)
	}
	for _, text := range []string{"", "util=0.6", "util=x,queue=2", "util=NaN,queue=1", "util=-1,queue=1", "util=1e300,queue=1"} {
		if got := ParseLoad(text, fields); got != nil {
			t.Errorf("%q reads as %v", text, got)
		}
	}
}

func FuzzStream(f *testing.F) {
	f.Add(chunk(first) + chunk(usage+done+load) + last)
	f.Add("c0000000\r\n" + first)
	f.Fuzz(func(t *testing.T, raw string) {
		s, text, err := read(raw)
		if err == nil || s.CachedTokens < 0 || len(text) > len(raw) {
			t.Errorf("%v, kept %d, %d bytes of %d", err, s.CachedTokens, len(text), len(raw))
		}
	})
}

// A token that is followed by another is told from the last one, in any form of JSON.
func TestMidway(t *testing.T) {
	for events, want := range map[string]bool{
		"": false,
		"data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n":                       true,
		"data: { \"choices\" : [ { \"finish_reason\" : null } ] }\n\n":                                                       true,
		"data: {\"choices\":[{\"delta\":{\"content\":\"data: x\"}}]}\n\n":                                                    true,
		"data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n":                                                             false,
		"data: {\"choices\":[{\"finish_reason\":null}]}\n\ndata: {\"choices\":[],\"usage\":{}}\n\n":                          false,
		"data: {\"choices\":[{\"finish_reason\":null}]}\n\ndata: [DONE]\n\n":                                                 false,
		"data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: {\"choices\":[{\"finish_reason\":null}]}\n\n: X: y\n\n": true,
	} {
		if got := EndsMidAnswer([]byte(events)); got != want {
			t.Errorf("%q: %t", events, got)
		}
	}
}

// No report makes a value that is no number, negative or without bound.
func FuzzLoad(f *testing.F) {
	f.Add("inflight=7,queue=2,util=0.61")
	f.Add("util=NaN,queue=-1,queue=1e400")
	f.Fuzz(func(t *testing.T, text string) {
		for _, v := range ParseLoad(text, []string{"util", "queue"}) {
			if !(v >= 0 && v <= 1e9) {
				t.Errorf("%q: %g", text, v)
			}
		}
	})
}

// Whatever a backend answers, only its own mark proves that a request never ran, and no answer without a stream serves.
func FuzzOutcome(f *testing.F) {
	f.Add(202, "1", []byte(`{"cached_tokens":4096}`))
	f.Add(503, "", []byte(`{}`))
	f.Fuzz(func(t *testing.T, status int, mark string, body []byte) {
		resp := &http.Response{StatusCode: status, Header: http.Header{"X-Not-Processed": {mark}}}
		for _, stage := range []brain.Stage{brain.StagePrefill, brain.StageDecode, brain.StageWhole} {
			o, note := ClassifyResponse(stage, resp, body)
			if o == brain.Served || o == brain.Rejected && mark != "1" || o == brain.Prefilled && stage != brain.StagePrefill || note < 0 || note > maxTokens {
				t.Errorf("%d %q at stage %d: %d, %d", status, mark, stage, o, note)
			}
		}
	})
}
