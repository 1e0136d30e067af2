package dispatch

import (
	"encoding/binary"
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"sloetrestle/internal/budget"
)

// Whatever a datagram holds, it is read or dropped: no panic, no bound passed.
func FuzzDatagrams(f *testing.F) {
	p := &Peers{Number: 0, Addresses: make([]*net.UDPAddr, 3)}
	head := func(form byte, from uint16) []byte { return binary.BigEndian.AppendUint16([]byte{form}, from) }
	ask, err := cbor.Marshal(budgetWord{Ask: &budget.LeaseRequest{Name: "b", Holder: "h", Wanted: 3}})
	if err != nil {
		f.Fatal(err)
	}
	for _, raw := range [][]byte{
		nil, {peerBudget}, head(peerVersion, 1), head(9, 1), append(head(peerBudget, 1), ask...), append(head(peerBudget, 0), ask...),
		append(head(peerBudget, 2), ask[:len(ask)/2]...),
		append(head(peerBudget, 1), 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff), // an array of 2^64-1
		append(head(peerBudget, 1), 0xbf, 0x9f, 0x9f, 0x9f, 0x9f, 0x9f, 0x9f),             // maps and arrays without end
		append(head(peerVersion, 1), 0, 0, 0, 1, 2, 0xff, 3, 4), append(head(peerVersion, 1), 0, 0, 0, 1, 255, 3, 3, 4, 5),
	} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		raw = raw[:min(len(raw), 2048)]
		if from, w, err := p.readBudget(raw); err == nil && (from == p.Number || from >= len(p.Addresses) || (w.Ask == nil) == (w.Lend == nil)) {
			t.Errorf("%x: from %d, %+v", raw, from, w)
		}
		if got, err := p.check(raw); err == nil && len(got) != 8 {
			t.Errorf("%x: news of %d bytes", raw, len(got))
		}
	})
}
