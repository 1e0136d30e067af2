package main

import (
	"testing"

	"sloetrestle/brain"
	"sloetrestle/internal/wire"
)

func TestHeardReadsWhatTellWroteAndDropsTheRest(t *testing.T) {
	h := &brain.Host{ID: 77}
	in := &instance{hosts: map[uint32]*brain.Host{77: h}, reply: &wire.Reply{}}
	said := brain.News{Host: h, Grade: 2, Verdict: brain.Badly, Loaded: true, Util: 0.5, Queue: 3}
	raw := encode(said)
	if got, err := in.heard(raw); err != nil || got != said {
		t.Errorf("heard %+v, %v", got, err)
	}
	for _, bad := range [][]byte{nil, raw[:7], append(raw, 0), {0, 0, 0, 77, 2, 255, 0, 0}} {
		if _, err := in.heard(bad); err == nil {
			t.Errorf("took %x", bad)
		}
	}
	if got, err := in.heard([]byte{0, 0, 0, 1, 2, 4, 0, 0}); err != nil || got.Host != nil {
		t.Errorf("an unknown host: %+v, %v", got, err)
	}
}
