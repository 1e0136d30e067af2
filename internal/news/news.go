// Package news is the form in which one dispatcher tells another of a trip: eight bytes for the module's
// brain.News, alike on the bench's wire and between processes. It never sends or receives; begin with Encode.
package news

import (
	"encoding/binary"
	"fmt"

	"sloetrestle/brain"
)

// Encode writes news of a trip: host, grade, verdict with a bit for a load report, the report.
func Encode(n brain.News) []byte {
	loaded := byte(0)
	if n.Loaded {
		loaded = 1
	}
	raw := binary.BigEndian.AppendUint32(nil, n.Host.ID)
	return append(raw, byte(n.Grade), byte(n.Verdict)<<1|loaded, inByte(n.Util*utilUnits), inByte(n.Queue))
}

// utilUnits is how many units of the wire a share of one has.
const utilUnits = 200

func inByte(value float64) byte { return byte(min(max(value, 0), 255)) }

// Decode reads what Encode wrote; a host that is not on the own list stays nil.
func Decode(raw []byte, hosts map[uint32]*brain.Host) (brain.News, error) {
	if len(raw) != 8 || raw[5]>>1 > byte(brain.Unmet) {
		return brain.News{}, fmt.Errorf("%d bytes are no news of a trip: %x", len(raw), raw[:min(len(raw), 16)])
	}
	return brain.News{
		Host: hosts[binary.BigEndian.Uint32(raw)], Grade: int(raw[4]), Verdict: brain.Verdict(raw[5] >> 1),
		Loaded: raw[5]&1 == 1, Util: float64(raw[6]) / utilUnits, Queue: float64(raw[7]),
	}, nil
}
