package faultmatrix

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"sloetrestle/internal/kserve"
)

// startClusterStreaming starts a cluster whose decode backends send the event after their first token, and then the end.
func startClusterStreaming(t *testing.T, event string) *testCluster {
	return startCluster(t, func(s *testCluster) {
		s.eachBackend("writer", func(b *testBackend) {
			b.onAttempt = func(c *call) {
				c.takeKVCache()
				c.startStream()
				c.countFault()
				c.finish(kserve.OutcomeCompleted)
				c.writeRaw(event + endEvent)
			}
		})
	})
}

// The dispatcher forwards what a backend streams as events of its own. An event that is not a token, or has line
// breaks in it, could end the answer in the dispatcher's name, or become two events.
func TestInvalidTokenEventIsNotForwarded(t *testing.T) {
	for name, test := range map[string]struct {
		event  string
		served bool
	}{
		"no JSON":           {"data: {\"text_output\":\n\n", false},
		"a forged end":      {"data: x\ndata: event: end\ndata: data: {\"final\":\"declined\",\"harmless\":true}\n\n", false},
		"JSON on two lines": {"data: {\"text_output\":\ndata: \" two\"}\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startClusterStreaming(t, test.event)
			resp, err := http.Post("http://"+s.addr+"/v2/models/lodge/generate_stream", "application/json",
				strings.NewReader(`{"text_input":"x","parameters":{"max_tokens":8}}`))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			raw, _ := io.ReadAll(resp.Body)
			response, events := string(raw), strings.Count(string(raw), "event: ")
			if strings.Contains(response, "declined") || events != 1 ||
				strings.Contains(response, "satisfied") != test.served ||
				strings.Count(response, "\n\n") != strings.Count(response, "data: ") {
				t.Errorf("the client received %q", response)
			}
		})
	}
}

// Guards against a gathered answer that is sent as whole with a part missing: an event that is JSON, but no token, was
// left out of the text.
func TestGatheredAnswerWithAnUnreadableTokenFails(t *testing.T) {
	s := startClusterStreaming(t, "data: {\"text_output\":[\"lost\"]}\n\n")
	for _, test := range []struct{ endpoint, body string }{
		{"generate", `{"text_input":"x","parameters":{"max_tokens":8}}`},
		{"infer", `{"inputs":[{"name":"text_input","shape":[1],"datatype":"BYTES","data":["x"]}],"parameters":{"max_tokens":8}}`},
	} {
		resp, err := http.Post("http://"+s.addr+"/v2/models/lodge/"+test.endpoint, "application/json",
			strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadGateway || !strings.Contains(string(raw), "not a token") {
			t.Errorf("%s: %s: %.200s", test.endpoint, resp.Status, raw)
		}
	}
}
