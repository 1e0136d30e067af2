package storm

import (
	"testing"
	"time"
)

// No text but a ticket that this key made is one, whatever it is; and a ticket's time can be reckoned with.
func FuzzTickets(f *testing.F) {
	s := TicketSigner{Key: []byte("0123456789abcdef"), StartedAt: time.Hour, Issuer: 7}
	good := s.Sign(5*time.Second, 9)
	for _, text := range []string{"", "!!", good, good[:len(good)-1], good + "A", "AAAA"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, ok := s.Verify(text)
		if ok && text != good {
			t.Fatalf("%q is taken for a ticket: %+v", text, got)
		}
		g := New(time.Second, 1, 1, s)
		g.Admit(time.Second, true, -5, text)
	})
}
