package news

import (
	"testing"

	"sloetrestle/brain"
)

func TestDecodeReadsWhatEncodeWroteAndDropsTheRest(t *testing.T) {
	h := &brain.Host{ID: 77}
	hosts := map[uint32]*brain.Host{77: h}
	said := brain.News{Host: h, Grade: 2, Verdict: brain.Badly, Loaded: true, Util: 0.5, Queue: 3}
	raw := Encode(said)
	if got, err := Decode(raw, hosts); err != nil || got != said {
		t.Errorf("heard %+v, %v", got, err)
	}
	for _, bad := range [][]byte{nil, raw[:7], append(raw, 0), {0, 0, 0, 77, 2, 255, 0, 0}} {
		if _, err := Decode(bad, hosts); err == nil {
			t.Errorf("took %x", bad)
		}
	}
	if got, err := Decode([]byte{0, 0, 0, 1, 2, 4, 0, 0}, hosts); err != nil || got.Host != nil {
		t.Errorf("an unknown host: %+v, %v", got, err)
	}
}
