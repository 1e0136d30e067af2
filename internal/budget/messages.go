package budget

import (
	"math"
	"time"
)

// firstContact is the owner's epoch in requests of a holder that has not heard of its owner yet.
const firstContact = "?"

// LeaseRequest is sent by a local budget to the owner. Its sums are those of a session, which begins whenever the holder
// hears of another start of the owner. They only grow within a session and a month, so that lost, late and repeated
// messages do no harm.
type LeaseRequest struct {
	Name          string
	Holder        string // the epoch of the requesting dispatcher
	Month         int64
	Lent          float64 `cbor:"Lent"`     // tokens that it held when the session began, and those leased to it since
	Returned      float64 `cbor:"Returned"` // tokens of these that it has returned
	EmergencyUsed float64 `cbor:"Own"`      // tokens used beside these while the owner was unreachable
	Wanted        float64 `cbor:"Want"`     // further tokens
	Minimum       float64 `cbor:"Least"`    // a smaller lease is of no use
	Number        uint64
	Owner         string `cbor:"Owner,omitempty"`   // the owner's epoch of the session; absent in older versions
	Session       uint64 `cbor:"Session,omitempty"` // the number of the session's first request
}

// hasSession reports whether the holder has sessions, which older versions have not.
func (r LeaseRequest) hasSession() bool { return r.Session > 0 }

// LeaseReply is the owner's answer to a LeaseRequest.
type LeaseReply struct {
	Name          string
	Holder        string
	Month         int64
	Lent          float64       `cbor:"Lent"`  // of the request, and what was leased since the session began
	RetryAfter    time.Duration `cbor:"After"` // where less was leased than wanted: when there may be more
	Number        uint64        // of the request
	Terms         Terms
	Owner         string  `cbor:"Owner,omitempty"` // the owner's epoch; absent in older versions
	Session       uint64  `cbor:"Session,omitempty"`
	EmergencyUsed float64 `cbor:"Own,omitempty"` // of the session, durable at the owner
}

// validTokens reports whether sums are plausible.
func validTokens(sums ...float64) bool {
	for _, tokens := range sums {
		if !(tokens >= 0 && tokens < math.MaxInt64) {
			return false
		}
	}
	return true
}

// Valid reports whether a request that came over a network is plausible.
func (r LeaseRequest) Valid() bool {
	return validTokens(r.Lent, r.Returned, r.EmergencyUsed, r.Wanted, r.Minimum) && r.Returned <= r.Lent && r.Holder != ""
}

// Valid reports whether a reply that came over a network is plausible. Months are counted from January 1970.
func (r LeaseReply) Valid() bool {
	return r.Terms.Valid() && r.Terms.Name == r.Name && validTokens(r.Lent, r.EmergencyUsed) &&
		r.RetryAfter >= 0 && r.RetryAfter <= 366*24*time.Hour && r.Month >= 0 && r.Month < 12*1000
}
