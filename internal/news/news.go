// Package news is the form in which one dispatcher tells another of a trip: eight bytes for the module's
// brain.News, alike on the bench's wire and between processes. It never sends or receives; begin with Encode.
package news

import (
	"encoding/binary"
	"fmt"

	"sloetrestle/brain"
)

// Encode writes news of an attempt: backend, class, verdict with a bit for a load report, and the report. Where there is no
// report, its place has the share of the latency target that the first token took; dispatchers that don't know of that pass
// over those two bytes.
func Encode(n brain.PeerUpdate) []byte {
	raw := binary.BigEndian.AppendUint32(nil, n.Backend.ID)
	raw = append(raw, byte(n.ClassIndex), byte(n.Verdict)<<1)
	switch {
	case n.HasLoad:
		raw[5] |= 1
		return append(raw, inByte(n.Util*units), inByte(n.QueueLength))
	case n.TargetShare > 0:
		return append(raw, max(inByte(n.TargetShare*units), 1), shareFollows)
	}
	return append(raw, 0, 0)
}

const (
	units        = 200 // of the wire, in a share of one
	shareFollows = 255 // in the last byte of news with no report: the byte before it is a share of the latency target
)

func inByte(value float64) byte { return byte(min(max(value, 0), 255)) }

// Decode reads what Encode wrote; a host that is not on the own list stays nil.
func Decode(raw []byte, hosts map[uint32]*brain.Backend) (brain.PeerUpdate, error) {
	if len(raw) != 8 || raw[5]>>1 > byte(brain.VerdictUnreachable) {
		return brain.PeerUpdate{}, fmt.Errorf("%d bytes are no news of a trip: %x", len(raw), raw[:min(len(raw), 16)])
	}
	n := brain.PeerUpdate{Backend: hosts[binary.BigEndian.Uint32(raw)], ClassIndex: int(raw[4]), Verdict: brain.Verdict(raw[5] >> 1)}
	switch {
	case raw[5]&1 == 1:
		n.HasLoad, n.Util, n.QueueLength = true, float64(raw[6])/units, float64(raw[7])
	case raw[7] == shareFollows:
		n.TargetShare = min(float64(raw[6])/units, 1)
	}
	return n, nil
}
