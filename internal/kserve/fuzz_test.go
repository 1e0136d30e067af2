package kserve

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// Any body of a client decodes to a request within its bounds, or to an error with a 4xx status.
func FuzzBodies(f *testing.F) {
	for _, s := range []string{
		`{"text_input":"x","parameters":{"max_tokens":8,"timeout":1000,"session":1.5,"again":true}}`,
		`{"inputs":[{"name":"t","shape":[1],"datatype":"BYTES","data":["x"]}],"parameters":{"prompt_tokens":3}}`,
		`{"text_input":"x","text_input":"y"}`, `{"parameters":{"prompt_tokens":1e7,"shared_tokens":1e7}}`,
		`{"parameters":null}`, `{"text_input":"x","parameters":{"session":1e308}}`,
		`[[[[`, `{"inputs":[{"shape":[9223372036854775807,9223372036854775807]}]}`, `{"text_input":"\ud800"}`, "",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, read := range []func() (Request, error){
			func() (Request, error) { return ReadGenerateRequest(bytes.NewReader(body)) },
			func() (Request, error) { return ReadInferRequest(bytes.NewReader(body)) },
		} {
			request, err := read()
			if err != nil {
				if requestErr, ok := err.(*RequestError); !ok || requestErr.Status < 400 || requestErr.Status > 499 {
					t.Fatalf("%q: %v", body, err)
				}
				continue
			}
			if min(request.PromptTokens, request.PrefixTokens, request.MaxTokens) < 0 ||
				max(request.PromptTokens, request.PrefixTokens, request.MaxTokens) > MaxTokens || request.Timeout < 0 ||
				max(len(request.ID), len(request.Session), len(request.SharedPrefix), len(request.RetryTicket)) > 512 {
				t.Fatalf("%q: %+v", body, request)
			}
		}
	})
}

// Any response of a backend decodes to events of bounded size, and the values beside an outcome are within their bounds
// after Sanitize.
func FuzzBackendResponses(f *testing.F) {
	for _, s := range []string{
		"data: {\"text_output\":\"a\"}\n\n" +
			"event: end\ndata: {\"outcome\":\"answered\",\"kept_tokens\":-1,\"load\":[1e300,-1]}\n\n",
		"event: end\ndata: {\"count\":{\"number\":18446744073709551615,\"trip\":-1,\"answer_tokens\":-5}}\n\n",
		"data: a\ndata: b\n\n", ":\n\n::\n", "event\n\ndata\n\n",
		"{\"counts\":[{\"number\":2},{\"number\":1}],\"forgot\":18446744073709551615}", strings.Repeat("data: x\n", 50),
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		events := NewEventReader(bytes.NewReader(raw))
		for {
			event, err := events.Next()
			if err != nil {
				break
			}
			if len(event.Data) > maxEventBytes {
				t.Fatalf("an event of %d bytes", len(event.Data))
			}
			var result AttemptResult
			if json.Unmarshal(event.Data, &result) != nil {
				continue
			}
			result.Sanitize(AttemptParams{DispatcherEpoch: "d", RequestNumber: 1, PromptTokens: 100, MaxTokens: 50})
			for _, v := range result.Load {
				if math.IsNaN(v) || v < 0 || v > maxLoadValue {
					t.Fatalf("%q: load %v", raw, result.Load)
				}
			}
			if result.CachedTokens < 0 || result.CachedTokens > 100 ||
				result.Usage != nil && (result.Usage.OutputTokens < 0 || result.Usage.OutputTokens > 50) {
				t.Fatalf("%q: %+v", raw, result)
			}
		}
		if report, err := ReadUsageReport(bytes.NewReader(raw)); err == nil {
			for _, record := range report.Records {
				if min(record.PrefillTokens, record.CachedTokens, record.OutputTokens, record.Attempt) < 0 {
					t.Fatalf("%q: %+v", raw, record)
				}
			}
		}
	})
}
