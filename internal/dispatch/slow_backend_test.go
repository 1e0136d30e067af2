package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/fakes"
	"sloetrestle/internal/setup"
)

// Shows that a large request has its final answer in time although its backends stop reading it half way.
func TestRequestThatBackendsDoNotReadIsAnsweredInTime(t *testing.T) {
	const deadline, slack, textBytes = time.Second, 300 * time.Millisecond, 7 << 20
	for name, slow := range map[string]func(s *testService) []*fakes.Backend{
		"prefill": func(s *testService) []*fakes.Backend { return []*fakes.Backend{s.prefill} },
		"decode":  func(s *testService) []*fakes.Backend { return []*fakes.Backend{s.decode} },
	} {
		for _, class := range []string{"trail-info", "hut-booking"} {
			t.Run(name+" "+class, func(t *testing.T) {
				service := startService(t, func(config *setup.DispatcherConfig) {
					config.Instance.BodyTimeout = setup.Duration(5 * time.Second)
				})
				for _, backend := range slow(service) {
					if err := backend.Endpoint(0).SetMode(fakes.EndpointStallsAfterResponse, 0, 0); err != nil {
						t.Fatal(err)
					}
				}
				body := fmt.Sprintf(`{"text_input":%q,"parameters":{"prompt_tokens":400,"grade":%q,"timeout":%d}}`,
					strings.Repeat("x", textBytes), class, deadline.Microseconds())
				began := time.Now()
				status, answer, _ := service.post(modelPath+"generate", strings.NewReader(body))
				if took := time.Since(began); took > deadline+slack || status < 500 {
					t.Errorf("status %d after %v: %.200s", status, took, answer)
				}
			})
		}
	}
}
