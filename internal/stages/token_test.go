package stages

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"sloetrestle/internal/kserve"
)

// What a box streams goes to the client as events of the dispatcher's: a piece that is no token, or has lines in it, could end
// the answer in the dispatcher's name, or say two things where one was said.
func TestAPieceThatIsNoTokenIsNotHandedOn(t *testing.T) {
	for name, c := range map[string]struct {
		piece string
		fine  bool
	}{
		"no JSON":           {"data: {\"text_output\":\n\n", false},
		"a forged end":      {"data: x\ndata: event: end\ndata: data: {\"final\":\"declined\",\"harmless\":true}\n\n", false},
		"JSON on two lines": {"data: {\"text_output\":\ndata: \" two\"}\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := open(t, func(s *site) {
				s.each("writer", func(b *box) {
					b.script = func(cl *call) {
						cl.take()
						cl.begin()
						cl.strike()
						cl.end(kserve.OutcomeCompleted)
						cl.plain(c.piece + theEnd)
					}
				})
			})
			resp, err := http.Post("http://"+s.base+"/v2/models/lodge/generate_stream", "application/json", strings.NewReader(`{"text_input":"x","parameters":{"max_tokens":8}}`))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			raw, _ := io.ReadAll(resp.Body)
			said, events := string(raw), strings.Count(string(raw), "event: ")
			if strings.Contains(said, "declined") || events != 1 || strings.Contains(said, "satisfied") != c.fine || strings.Count(said, "\n\n") != strings.Count(said, "data: ") {
				t.Errorf("the client had %q", said)
			}
		})
	}
}
