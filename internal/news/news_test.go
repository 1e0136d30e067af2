package news

import (
	"testing"

	"sloetrestle/brain"
)

func TestDecodeReadsWhatEncodeWroteAndDropsTheRest(t *testing.T) {
	h := &brain.Backend{ID: 77}
	hosts := map[uint32]*brain.Backend{77: h}
	said := brain.PeerUpdate{Backend: h, ClassIndex: 2, Verdict: brain.VerdictBad, HasLoad: true, Util: 0.5, QueueLength: 3}
	raw := Encode(said)
	if got, err := Decode(raw, hosts); err != nil || got != said {
		t.Errorf("heard %+v, %v", got, err)
	}
	for _, bad := range [][]byte{nil, raw[:7], append(raw, 0), {0, 0, 0, 77, 2, 255, 0, 0}} {
		if _, err := Decode(bad, hosts); err == nil {
			t.Errorf("took %x", bad)
		}
	}
	if got, err := Decode([]byte{0, 0, 0, 1, 2, 4, 0, 0}, hosts); err != nil || got.Backend != nil {
		t.Errorf("an unknown host: %+v, %v", got, err)
	}
}

// Without a load report the last two bytes have the share of the latency target, which older dispatchers pass over; theirs have
// an old report there, which is no share.
func TestNewsWithoutAReportTellTheShareOfTheTarget(t *testing.T) {
	h := &brain.Backend{ID: 77}
	hosts := map[uint32]*brain.Backend{77: h}
	for _, share := range []float64{0.005, 0.5, 1} {
		raw := Encode(brain.PeerUpdate{Backend: h, Verdict: brain.VerdictGood, TargetShare: share})
		if got, err := Decode(raw, hosts); err != nil || got.TargetShare != share || got.HasLoad {
			t.Errorf("%g: heard %+v, %v", share, got, err)
		}
		if raw[5]&1 != 0 {
			t.Errorf("%g: an older dispatcher takes %x for a load report", share, raw)
		}
	}
	if got, err := Decode([]byte{0, 0, 0, 77, 2, 2, 100, 30}, hosts); err != nil || got.TargetShare != 0 || got.HasLoad {
		t.Errorf("from an older dispatcher: %+v, %v", got, err)
	}
	if got, _ := Decode([]byte{0, 0, 0, 77, 2, 2, 255, 255}, hosts); got.TargetShare != 1 {
		t.Errorf("a share beyond one: %+v", got)
	}
}
