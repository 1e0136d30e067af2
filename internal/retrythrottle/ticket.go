package retrythrottle

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"
)

// TicketSigner signs and verifies retry tickets, which state when a client is to come back, and which dispatcher issued
// them. Dispatchers with the same key accept each other's tickets. They have only the wall clock in common, so a ticket
// states its time by that.
type TicketSigner struct {
	Key       []byte
	StartedAt time.Duration // wall clock at this dispatcher's start, since 1970
	Issuer    uint32        // a number that no other dispatcher has, nor this one after a restart
}

// RetryTicket is the content of a verified ticket.
type RetryTicket struct {
	Due    time.Duration // since this dispatcher's start
	Issuer uint32
	Serial uint64 // identifies the ticket among those of its issuer
}

const (
	ticketBodyBytes = 8 + 4 + 8
	ticketMACBytes  = 10 // 80 bits: a forger would need years of a dispatcher's whole capacity
)

func (s *TicketSigner) mac(body []byte) []byte {
	hash := hmac.New(sha256.New, s.Key)
	hash.Write(body)
	return hash.Sum(nil)[:ticketMACBytes]
}

// Sign returns the text of a ticket that is due at a time since this dispatcher's start.
func (s *TicketSigner) Sign(due time.Duration, serial uint64) string {
	var raw [ticketBodyBytes + ticketMACBytes]byte
	binary.BigEndian.PutUint64(raw[:], uint64((s.StartedAt+due)/time.Millisecond))
	binary.BigEndian.PutUint32(raw[8:], s.Issuer)
	binary.BigEndian.PutUint64(raw[12:], serial)
	copy(raw[ticketBodyBytes:], s.mac(raw[:ticketBodyBytes]))
	return base64.RawURLEncoding.EncodeToString(raw[:])
}

// Verify decodes the text of a ticket. It returns false if the ticket was not signed with this key.
func (s *TicketSigner) Verify(text string) (RetryTicket, bool) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) != ticketBodyBytes+ticketMACBytes ||
		!hmac.Equal(raw[ticketBodyBytes:], s.mac(raw[:ticketBodyBytes])) {
		return RetryTicket{}, false
	}
	due := time.Duration(binary.BigEndian.Uint64(raw))*time.Millisecond - s.StartedAt
	return RetryTicket{
		Due: due, Issuer: binary.BigEndian.Uint32(raw[8:]), Serial: binary.BigEndian.Uint64(raw[12:]),
	}, true
}
