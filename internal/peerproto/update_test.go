package peerproto

import (
	"testing"

	"sloetrestle/scheduler"
)

func TestDecodeReadsEncodedUpdatesAndRejectsOtherBytes(t *testing.T) {
	backend := &scheduler.Backend{ID: 77}
	backends := map[uint32]*scheduler.Backend{77: backend}
	sent := scheduler.PeerUpdate{Backend: backend, ClassIndex: 2, Verdict: scheduler.VerdictBad, HasLoad: true, Util: 0.5,
		QueueLength: 3}
	raw := Encode(sent)
	if got, err := Decode(raw, backends); err != nil || got != sent {
		t.Errorf("decoded %+v, %v", got, err)
	}
	for _, bad := range [][]byte{nil, raw[:7], append(raw, 0), {0, 0, 0, 77, 2, 255, 0, 0}} {
		if _, err := Decode(bad, backends); err == nil {
			t.Errorf("accepted %x", bad)
		}
	}
	if got, err := Decode([]byte{0, 0, 0, 1, 2, 4, 0, 0}, backends); err != nil || got.Backend != nil {
		t.Errorf("an unknown backend: %+v, %v", got, err)
	}
}

// Without a load report the last two bytes hold the share of the latency target, which older dispatchers must ignore.
// Older dispatchers may send an outdated load report in those bytes, which must not be read as a share.
func TestUpdatesWithoutALoadReportHoldTheShareOfTheTarget(t *testing.T) {
	backend := &scheduler.Backend{ID: 77}
	backends := map[uint32]*scheduler.Backend{77: backend}
	for _, share := range []float64{0.005, 0.5, 1} {
		raw := Encode(scheduler.PeerUpdate{Backend: backend, Verdict: scheduler.VerdictGood, TargetShare: share})
		if got, err := Decode(raw, backends); err != nil || got.TargetShare != share || got.HasLoad {
			t.Errorf("share %g: decoded %+v, %v", share, got, err)
		}
		if raw[5]&1 != 0 {
			t.Errorf("share %g: an older dispatcher takes %x for a load report", share, raw)
		}
	}
	if got, err := Decode([]byte{0, 0, 0, 77, 2, 2, 100, 30}, backends); err != nil || got.TargetShare != 0 ||
		got.HasLoad {
		t.Errorf("from an older dispatcher: %+v, %v", got, err)
	}
	if got, _ := Decode([]byte{0, 0, 0, 77, 2, 2, 255, 255}, backends); got.TargetShare != 1 {
		t.Errorf("a share above 1: %+v", got)
	}
}
