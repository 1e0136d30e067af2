package faultmatrix

import (
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
			_, response := s.post("generate_stream", `{"text_input":"x","parameters":{"max_tokens":8}}`)
			events := strings.Count(response, "event: ")
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
		status, answer := s.post(test.endpoint, test.body)
		if status != http.StatusBadGateway || !strings.Contains(answer, "not a token") {
			t.Errorf("%s: status %d, answer %.200s", test.endpoint, status, answer)
		}
	}
}
