package retrythrottle

import (
	"testing"
	"time"
)

// No text other than the ticket that the signer made may verify, and no ticket's time may break the throttle.
func FuzzTickets(f *testing.F) {
	signer := TicketSigner{Key: []byte("0123456789abcdef"), StartedAt: time.Hour, Issuer: 7}
	valid := signer.Sign(5*time.Second, 9)
	for _, text := range []string{"", "!!", valid, valid[:len(valid)-1], valid + "A", "AAAA"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, ok := signer.Verify(text)
		if ok && text != valid {
			t.Fatalf("%q verifies as a ticket: %+v", text, got)
		}
		throttle := New(time.Second, 1, 1, signer)
		throttle.Admit(time.Second, true, -5, text)
	})
}
