// Package news encodes and decodes the peer protocol: eight bytes in which a dispatcher tells its peers how an attempt
// ended, the same between processes and in the simulator. It does not send or receive. Start with Encode.
package news

import (
	"encoding/binary"
	"fmt"

	"sloetrestle/brain"
)

// Encode encodes a peer update: four bytes of the backend's ID, one of the class, one of the verdict with a bit that
// tells whether a load report follows, and two of the load report. Without a load report those two bytes hold the
// share of the latency target that the first token took; older dispatchers, which do not know the share, ignore them.
func Encode(update brain.PeerUpdate) []byte {
	raw := binary.BigEndian.AppendUint32(nil, update.Backend.ID)
	raw = append(raw, byte(update.ClassIndex), byte(update.Verdict)<<1)
	switch {
	case update.HasLoad:
		raw[5] |= 1
		return append(raw, clampToByte(update.Util*fractionSteps), clampToByte(update.QueueLength))
	case update.TargetShare > 0:
		return append(raw, max(clampToByte(update.TargetShare*fractionSteps), 1), shareMarker)
	}
	return append(raw, 0, 0)
}

const (
	fractionSteps = 200 // steps in which the byte of a fraction counts up to 1
	shareMarker   = 255 // last byte without a load report: the byte before it is a share of the latency target
)

func clampToByte(value float64) byte { return byte(min(max(value, 0), 255)) }

// Decode decodes a peer update and looks up its backend. The backend is nil if this dispatcher does not know it. An
// error means that the bytes are not a peer update.
func Decode(raw []byte, backends map[uint32]*brain.Backend) (brain.PeerUpdate, error) {
	if len(raw) != 8 || raw[5]>>1 > byte(brain.VerdictUnreachable) {
		return brain.PeerUpdate{}, fmt.Errorf("%d bytes are not a peer update: %x", len(raw), raw[:min(len(raw), 16)])
	}
	update := brain.PeerUpdate{
		Backend: backends[binary.BigEndian.Uint32(raw)], ClassIndex: int(raw[4]), Verdict: brain.Verdict(raw[5] >> 1),
	}
	switch {
	case raw[5]&1 == 1:
		update.HasLoad, update.Util, update.QueueLength = true, float64(raw[6])/fractionSteps, float64(raw[7])
	case raw[7] == shareMarker:
		update.TargetShare = min(float64(raw[6])/fractionSteps, 1)
	}
	return update, nil
}
