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
	raw := binary.BigEndian.AppendUint32(nil, n.Host.ID)
	raw = append(raw, byte(n.Grade), byte(n.Verdict)<<1)
	switch {
	case n.Loaded:
		raw[5] |= 1
		return append(raw, inByte(n.Util*units), inByte(n.Queue))
	case n.Share > 0:
		return append(raw, max(inByte(n.Share*units), 1), shareFollows)
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
	if len(raw) != 8 || raw[5]>>1 > byte(brain.Unmet) {
		return brain.PeerUpdate{}, fmt.Errorf("%d bytes are no news of a trip: %x", len(raw), raw[:min(len(raw), 16)])
	}
	n := brain.PeerUpdate{Host: hosts[binary.BigEndian.Uint32(raw)], Grade: int(raw[4]), Verdict: brain.Verdict(raw[5] >> 1)}
	switch {
	case raw[5]&1 == 1:
		n.Loaded, n.Util, n.Queue = true, float64(raw[6])/units, float64(raw[7])
	case raw[7] == shareFollows:
		n.Share = min(float64(raw[6])/units, 1)
	}
	return n, nil
}
