package stages

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

// Whatever goes wrong, each layer that may send a question again has its bound, and nobody below the module repeats what may have
// left: requests are counted at the boxes' sockets, by question and trip, over the client library, the door, the module, the
// budget of further trips, the loop and the choice of connections.
func TestEveryTripIsCountedOverAllLayers(t *testing.T) {
	const tries, trips = 3, 4
	for name, wrong := range map[string]func(c *call){
		"all refuse":   func(c *call) { c.told(http.StatusInternalServerError, kserve.OutcomeFailed) },
		"all are full": func(c *call) { c.told(http.StatusServiceUnavailable, kserve.OutcomeFull) },
		"all reset": func(c *call) {
			if c.e.Phase != kserve.PhasePrefill {
				c.take()
				c.run()
			}
			c.end("broke")
			c.reset("")
		},
		"writers cut off": func(c *call) {
			if c.e.Phase == kserve.PhasePrefill {
				c.read()
				return
			}
			c.take()
			c.run()
			c.end("broke")
			c.cut(headLive[:30])
		},
		"in turn": func(c *call) {
			switch c.n % 4 {
			case 0:
				c.told(http.StatusServiceUnavailable, kserve.OutcomeFull)
			case 1:
				c.end("broke")
				c.reset("")
			case 2:
				c.told(http.StatusInternalServerError, kserve.OutcomeFailed)
			default:
				c.well()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := open(t, func(s *site) {
				s.d.Limits.MaxAttempts = trips
				s.d.Limits.MaxRetryAfter = setup.Duration(100 * time.Millisecond)
				for _, b := range s.boxes {
					b.script = func(c *call) { c.strike(); wrong(c) }
				}
			})
			var all sync.WaitGroup
			for i := range 4 {
				for _, g := range s.d.Classes {
					all.Go(func() {
						c := client.Client{BaseURLs: []string{"http://" + s.base}, MaxAttempts: tries, MinBackoff: 20 * time.Millisecond}
						c.Do(context.Background(), client.Request{Prompt: fmt.Sprintf("%s %d", g.Name, i), Class: g.Name, Session: fmt.Sprint(g.Name, i), MaxTokens: 8,
							Timeout: 3 * time.Second, Idempotent: g.Effect == "idempotent"}, func(string) {})
					})
				}
			}
			all.Wait()
			s.stop()
			sent, of, ran := map[string]int{}, map[string]map[int]bool{}, map[string]int{}
			for _, l := range s.book.Events() {
				switch l.Kind {
				case record.AttemptReceived:
					sent[fmt.Sprintf("%s trip %d", l.RequestKey, l.Attempt)]++
					if of[l.RequestKey] == nil {
						of[l.RequestKey] = map[int]bool{}
					}
					of[l.RequestKey][l.Attempt] = true
				case record.EffectStarted:
					if l.Class == "unrepeatable" {
						ran[l.RequestKey]++
					}
				}
			}
			for trip, n := range sent {
				if n != 1 {
					t.Errorf("%s reached boxes %d times", trip, n)
				}
			}
			for key, n := range of {
				if len(n) > trips {
					t.Errorf("%s made %d trips, %d are allowed", key, len(n), trips)
				}
			}
			for key, n := range ran {
				if n > 1 {
					t.Errorf("%s, unrepeatable, ran %d times", key, n)
				}
			}
			questions := 4 * len(s.d.Classes)
			if len(of) > questions*tries || len(sent) > questions*tries*trips || s.struck.Load() == 0 {
				t.Errorf("%d questions came to %d tries and %d trips: at most %d and %d", questions, len(of), len(sent), questions*tries, questions*tries*trips)
			}
			unrepeatable := 0
			for key := range of {
				if ran[key] > 0 {
					unrepeatable++
				}
			}
			if strings.HasPrefix(name, "writers") && unrepeatable != 4 {
				t.Errorf("%d of 4 unrepeatable questions ran exactly once", unrepeatable)
			}
			t.Logf("%d questions, %d tries, %d trips", questions, len(of), len(sent))
		})
	}
}
