// Package peerproto encodes and decodes the peer protocol: eight bytes in which a dispatcher tells its peers how an
// attempt
// ended, the same between processes and in the simulator. It does not send or receive. Start with Encode.
package peerproto

import (
	"encoding/binary"
	"fmt"

	"sloetrestle/scheduler"
)

// Encode encodes a peer update in eight bytes: four of the backend's ID, one of the class, one of the verdict, whose
// lowest bit tells whether a load report follows, and two of the load report, utilisation and queue length. Without a
// load report these two hold the share of the latency target that the first token took, followed by shareMarker, or
// two zeros if no share is reported. Older dispatchers, which do not know the share, ignore both.
func Encode(update scheduler.PeerUpdate) []byte {
	raw := binary.BigEndian.AppendUint32(nil, update.Backend.ID)
	raw = append(raw, byte(update.ClassIndex), byte(update.Verdict)<<1)
	switch {
	case update.HasLoad:
		raw[verdictByte] |= loadBit
		return append(raw, clampToByte(update.Util*fractionSteps), clampToByte(update.QueueLength))
	case update.TargetShare > 0:
		return append(raw, max(clampToByte(update.TargetShare*fractionSteps), 1), shareMarker)
	}
	return append(raw, 0, 0)
}

const (
	fractionSteps = 200 // value of a byte that stands for the fraction 1
	shareMarker   = 255 // as the last byte, without a load report: the byte before it is a share of the latency target

	encodedBytes = 8 // length of an encoded update; the indices of its bytes after the backend's ID follow
	classByte    = 4
	verdictByte  = 5 // the verdict, shifted left by one, and loadBit
	fractionByte = 6 // utilisation, or the share of the latency target
	lastByte     = 7 // queue length, or shareMarker

	loadBit = 1 // of verdictByte: the update has a load report
)

func clampToByte(value float64) byte { return byte(min(max(value, 0), 255)) }

// Decode decodes a peer update, in the layout that Encode describes, and looks up its backend by ID. Backend is nil if
// this dispatcher does not know it. An error means that raw is not eight bytes long or holds a verdict above
// VerdictUnreachable, the highest one. A share of the latency target above 1 counts as 1. Utilisation may
// exceed 1, up to what its byte holds.
func Decode(raw []byte, backends map[uint32]*scheduler.Backend) (scheduler.PeerUpdate, error) {
	if len(raw) != encodedBytes || raw[verdictByte]>>1 > byte(scheduler.VerdictUnreachable) {
		return scheduler.PeerUpdate{}, fmt.Errorf("%d bytes are not a peer update: %x", len(raw), raw[:min(len(raw), 16)])
	}
	update := scheduler.PeerUpdate{
		Backend: backends[binary.BigEndian.Uint32(raw)], ClassIndex: int(raw[classByte]),
		Verdict: scheduler.Verdict(raw[verdictByte] >> 1),
	}
	switch {
	case raw[verdictByte]&loadBit == loadBit:
		update.HasLoad, update.Util, update.QueueLength = true, float64(raw[fractionByte])/fractionSteps,
			float64(raw[lastByte])
	case raw[lastByte] == shareMarker:
		update.TargetShare = min(float64(raw[fractionByte])/fractionSteps, 1)
	}
	return update, nil
}
