package kserve

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// What a client may say ends as a question within its bounds, or as a fault with a status that blames the client.
func FuzzBodies(f *testing.F) {
	for _, s := range []string{
		`{"text_input":"x","parameters":{"max_tokens":8,"timeout":1000,"session":1.5,"again":true}}`,
		`{"inputs":[{"name":"t","shape":[1],"datatype":"BYTES","data":["x"]}],"parameters":{"prompt_tokens":3}}`,
		`{"text_input":"x","text_input":"y"}`, `{"parameters":{"prompt_tokens":1e7,"shared_tokens":1e7}}`, `{"parameters":null}`, `{"text_input":"x","parameters":{"session":1e308}}`,
		`[[[[`, `{"inputs":[{"shape":[9223372036854775807,9223372036854775807]}]}`, `{"text_input":"\ud800"}`, "",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, read := range []func() (Request, error){
			func() (Request, error) { return ReadGenerateRequest(bytes.NewReader(body)) },
			func() (Request, error) { return ReadInferRequest(bytes.NewReader(body)) },
		} {
			a, err := read()
			if err != nil {
				if fault, ok := err.(*RequestError); !ok || fault.Status < 400 || fault.Status > 499 {
					t.Fatalf("%q: %v", body, err)
				}
				continue
			}
			if min(a.PromptTokens, a.PrefixTokens, a.MaxTokens) < 0 || max(a.PromptTokens, a.PrefixTokens, a.MaxTokens) > MaxTokens || a.Timeout < 0 || max(len(a.ID), len(a.Session), len(a.SharedPrefix), len(a.RetryTicket)) > 512 {
				t.Fatalf("%q: %+v", body, a)
			}
		}
	})
}

// What a box may say: events are bounded, and what stands beside an outcome makes sense once it is bounded.
func FuzzBoxWords(f *testing.F) {
	for _, s := range []string{
		"data: {\"text_output\":\"a\"}\n\nevent: end\ndata: {\"outcome\":\"answered\",\"kept_tokens\":-1,\"load\":[1e300,-1]}\n\n",
		"event: end\ndata: {\"count\":{\"number\":18446744073709551615,\"trip\":-1,\"answer_tokens\":-5}}\n\n", "data: a\ndata: b\n\n", ":\n\n::\n", "event\n\ndata\n\n",
		"{\"counts\":[{\"number\":2},{\"number\":1}],\"forgot\":18446744073709551615}", strings.Repeat("data: x\n", 50),
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		events := NewEventReader(bytes.NewReader(raw))
		for {
			ev, err := events.Next()
			if err != nil {
				break
			}
			if len(ev.Data) > mostLine {
				t.Fatalf("an event of %d bytes", len(ev.Data))
			}
			var told AttemptResult
			if json.Unmarshal(ev.Data, &told) != nil {
				continue
			}
			told.Sanitize(AttemptParams{DispatcherEpoch: "d", RequestNumber: 1, PromptTokens: 100, MaxTokens: 50})
			for _, v := range told.Load {
				if math.IsNaN(v) || v < 0 || v > mostValue {
					t.Fatalf("%q: load %v", raw, told.Load)
				}
			}
			if told.CachedTokens < 0 || told.CachedTokens > 100 || told.Usage != nil && (told.Usage.OutputTokens < 0 || told.Usage.OutputTokens > 50) {
				t.Fatalf("%q: %+v", raw, told)
			}
		}
		if c, err := ReadUsageReport(bytes.NewReader(raw)); err == nil {
			for _, x := range c.Records {
				if min(x.PrefillTokens, x.CachedTokens, x.OutputTokens, x.Attempt) < 0 {
					t.Fatalf("%q: %+v", raw, x)
				}
			}
		}
	})
}
