package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"
)

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestReaderReportsMalformedFrames(t *testing.T) {
	zeros := func(n int) string { return strings.Repeat("00", n) }
	for _, c := range []struct{ name, frame, want string }{
		{"header cut", "000000", "header cut short"},
		{"body cut", "00000000 00000008 0000", "body cut short after 2 of 8"},
		{"count past length", "00000002 00000040" + zeros(64), "2 records do not fit"},
		{"length too short for the clock", "00000000 00000004 00000000", "0 records do not fit"},
		{"oversized", "00000000 ffffffff", "over the limit"},
		{"unknown code", "00000001 00000040" + zeros(8) + "4d" + zeros(55), "record 0: unknown event code 77"},
		{"span past tail", "00000001 00000040" + zeros(8) + "5a" + zeros(10) + "00000001" + zeros(41), "raw reaches"},
		{"entries past tail", "00000001 00000050" + zeros(8) + "14" + zeros(15) + "00000001" + zeros(36) + zeros(16),
			"membersList reaches"},
		{"load too long", "00000001 00000040" + zeros(8) + "32" + zeros(26) + "05" + zeros(28), "load report of 5"},
	} {
		_, err := NewReader(bytes.NewReader(unhex(t, c.frame))).Next()
		if err == nil || err == io.EOF || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

func TestReaderReadsFieldsAtTheirOffsets(t *testing.T) {
	frame := unhex(t, "00000001 00000040 0000000000805c5a"+
		"1e 0003 0009174e5d3a91c4 91f03b7c55d20a64 01 43800000 2b8e6401d9f37c10 44e10000 00 00002ee0 0003a980 "+
		"44960000 0000 0000000000")
	batch, err := NewReader(bytes.NewReader(frame)).Next()
	if err != nil {
		t.Fatal(err)
	}
	e := batch.Events[0]
	if batch.Clock != 0x805c5a || e.Code() != EventRequest || e.Instance() != 3 || e.U64(3) != 0x9174e5d3a91c4 ||
		e.F32(32) != 1800 || e.U32(41) != 240000 || e.F32(45) != 1200 {
		t.Errorf("misread: %+v", batch)
	}
}

func TestReplyEncodesActionsAsTheProtocolSays(t *testing.T) {
	var r Reply
	var out bytes.Buffer
	r.Send(3, 0x9174e5d3a91c4, 0x03124a07, 80000)
	r.SetTimer(3, 500000, 77)
	r.Log(5, "two servers known")
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, "00000003 00000059"+
		"0a 0003 0009174e5d3a91c4 03124a07 00013880 0000000000"+
		"32 0003 0007a120 0000004d 00000000000000000000000000"+
		"5a 0005 00000000 00000011 00000000000000000000000000"+"74776f2073657276657273206b6e6f776e")
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got %x\nwant %x", out.Bytes(), want)
	}
}
