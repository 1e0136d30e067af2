package storm

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"
)

// Seal makes tickets and reads them: who was told to come back, and when. One made with the same key at another dispatcher
// is as good. Between dispatchers only the wall clock is common, so a ticket names its time by that; Began is the wall
// clock's time at this dispatcher's start, since 1970.
type TicketSigner struct {
	Key       []byte
	StartedAt time.Duration
	Issuer    uint32 // who gives: a number that no other dispatcher has, nor this one after a restart
}

// Ticket is what a seal says.
type RetryTicket struct {
	Due    time.Duration // since this dispatcher's start
	Issuer uint32
	Serial uint64 // one ticket of its giver
}

const (
	ticketBody = 8 + 4 + 8
	ticketMAC  = 10 // 80 bits: a forger would need years of a dispatcher's whole capacity
)

func (s *TicketSigner) mac(body []byte) []byte {
	m := hmac.New(sha256.New, s.Key)
	m.Write(body)
	return m.Sum(nil)[:ticketMAC]
}

// Make writes a ticket.
func (s *TicketSigner) Sign(due time.Duration, number uint64) string {
	var raw [ticketBody + ticketMAC]byte
	binary.BigEndian.PutUint64(raw[:], uint64((s.StartedAt+due)/time.Millisecond))
	binary.BigEndian.PutUint32(raw[8:], s.Issuer)
	binary.BigEndian.PutUint64(raw[12:], number)
	copy(raw[ticketBody:], s.mac(raw[:ticketBody]))
	return base64.RawURLEncoding.EncodeToString(raw[:])
}

// Read reads a ticket; false: it was not made with this key.
func (s *TicketSigner) Verify(text string) (RetryTicket, bool) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) != ticketBody+ticketMAC || !hmac.Equal(raw[ticketBody:], s.mac(raw[:ticketBody])) {
		return RetryTicket{}, false
	}
	due := time.Duration(binary.BigEndian.Uint64(raw))*time.Millisecond - s.StartedAt
	return RetryTicket{Due: due, Issuer: binary.BigEndian.Uint32(raw[8:]), Serial: binary.BigEndian.Uint64(raw[12:])}, true
}
