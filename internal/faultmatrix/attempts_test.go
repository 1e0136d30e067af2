package faultmatrix

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sloetrestle/client"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// Whatever fails, each layer that may send a request again has a bound, and no layer below the scheduler repeats an
// attempt that may have been sent. Attempts are counted at the backends, by request and attempt number, across the
// client library, the HTTP frontend, the scheduler, the retry budget, the event loop and the choice of connections.
func TestAttemptsAreBoundedAcrossAllLayers(t *testing.T) {
	const maxTries, maxAttempts = 3, 4
	for name, fault := range map[string]func(c *call){
		"all fail":     func(c *call) { c.respond(http.StatusInternalServerError, kserve.OutcomeFailed) },
		"all are full": func(c *call) { c.respond(http.StatusServiceUnavailable, kserve.OutcomeFull) },
		"all reset": func(c *call) {
			if c.params.Phase != kserve.PhasePrefill {
				c.takeKVCache()
				c.execute()
			}
			c.finish("broke")
			c.reset("")
		},
		"decode backends cut off": func(c *call) {
			if c.params.Phase == kserve.PhasePrefill {
				c.prefill()
				return
			}
			c.takeKVCache()
			c.execute()
			c.finish("broke")
			c.writeAndClose(streamHeader[:30])
		},
		"in turn": func(c *call) {
			switch c.attemptNumber % 4 {
			case 0:
				c.respond(http.StatusServiceUnavailable, kserve.OutcomeFull)
			case 1:
				c.finish("broke")
				c.reset("")
			case 2:
				c.respond(http.StatusInternalServerError, kserve.OutcomeFailed)
			default:
				c.serve()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startCluster(t, func(s *testCluster) {
				s.config.Limits.MaxAttempts = maxAttempts
				s.config.Limits.MaxRetryAfter = setup.Duration(100 * time.Millisecond)
				for _, b := range s.backends {
					b.onAttempt = func(c *call) { c.countFault(); fault(c) }
				}
			})
			var pending sync.WaitGroup
			for i := range 4 {
				for _, class := range s.config.Classes {
					pending.Go(func() {
						c := client.Client{BaseURLs: []string{"http://" + s.addr}, MaxAttempts: maxTries,
							MinBackoff: 20 * time.Millisecond}
						c.Do(context.Background(), client.Request{Prompt: fmt.Sprintf("%s %d", class.Name, i), Class: class.Name,
							Session: fmt.Sprint(class.Name, i), MaxTokens: 8,
							Timeout: 3 * time.Second, Idempotent: class.Effect == "idempotent"}, func(string) {})
					})
				}
			}
			pending.Wait()
			s.stop()
			sent, attemptsOf, runs := map[string]int{}, map[string]map[int]bool{}, map[string]int{}
			for _, line := range s.recording.Events() {
				switch line.Kind {
				case record.AttemptReceived:
					sent[fmt.Sprintf("%s attempt %d", line.RequestKey, line.Attempt)]++
					if attemptsOf[line.RequestKey] == nil {
						attemptsOf[line.RequestKey] = map[int]bool{}
					}
					attemptsOf[line.RequestKey][line.Attempt] = true
				case record.EffectStarted:
					if line.Class == "unrepeatable" {
						runs[line.RequestKey]++
					}
				}
			}
			for attempt, n := range sent {
				if n != 1 {
					t.Errorf("%s reached backends %d times, want once", attempt, n)
				}
			}
			for key, n := range attemptsOf {
				if len(n) > maxAttempts {
					t.Errorf("%s made %d attempts, want at most %d", key, len(n), maxAttempts)
				}
			}
			for key, n := range runs {
				if n > 1 {
					t.Errorf("%s, non-idempotent, executed %d times, want at most once", key, n)
				}
			}
			requests := 4 * len(s.config.Classes)
			if len(attemptsOf) > requests*maxTries || len(sent) > requests*maxTries*maxAttempts || s.faultCount.Load() == 0 {
				t.Errorf("%d requests came to %d tries and %d attempts, want at most %d and %d",
					requests, len(attemptsOf), len(sent), requests*maxTries, requests*maxTries*maxAttempts)
			}
			executedOnce := 0
			for key := range attemptsOf {
				if runs[key] > 0 {
					executedOnce++
				}
			}
			if strings.HasPrefix(name, "decode") && executedOnce != 4 {
				t.Errorf("%d of 4 non-idempotent requests executed exactly once", executedOnce)
			}
			t.Logf("%d requests, %d tries, %d attempts", requests, len(attemptsOf), len(sent))
		})
	}
}
