package system

import "testing"

// The program and its libraries count with all their accessible parts; anonymous memory, what the kernel maps, guard pages and
// files without code do not.
func TestProgramMappingsAreSummed(t *testing.T) {
	const maps = `00400000-00500000 r-xp 00000000 fe:00 1 /bin/dispatcher
00500000-00510000 rw-p 00100000 fe:00 1 /bin/dispatcher
01000000-02000000 rw-p 00000000 00:00 0
7f0000000000-7f0000004000 r-xp 00000000 fe:00 2 /lib/libc.so.6
7f0000004000-7f0000008000 ---p 00004000 fe:00 2 /lib/libc.so.6
7f0000008000-7f0000009000 r--p 00004000 fe:00 2 /lib/libc.so.6
7f0010000000-7f0020000000 rw-s 00000000 00:01 3 /memfd:ring (deleted)
7f0030000000-7f0040000000 r--p 00000000 fe:00 4 /usr/share/zoneinfo/data
7ffc00000000-7ffc00002000 r-xp 00000000 00:00 0 [vdso]
malformed
zz-00 r-xp 00000000 fe:00 5 /bin/other
`
	if got, want := sumProgramMappings(maps), int64(0x100000+0x10000+0x4000+0x1000); got != want {
		t.Errorf("%#x bytes, want %#x", got, want)
	}
	if sumProgramMappings("") != 0 {
		t.Error("an empty list has mappings")
	}
	if own := MappedFileBytes(); own < 1<<20 || own > 1<<30 {
		t.Errorf("this process has mapped %d bytes", own)
	}
}
