package procstat

import (
	"os"
	"testing"
)

// The samples of a process's memory and descriptors are what the operating system shows of it.
func TestUsageOfAProcessIsSampled(t *testing.T) {
	before := OpenDescriptors(os.Getpid())
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if after := OpenDescriptors(os.Getpid()); before < 3 || after != before+1 {
		t.Errorf("%d descriptors, %d with one more file", before, after)
	}
	if kb := ResidentMemory(os.Getpid()); kb < 1000 || kb > PeakMemory(os.Getpid()) {
		t.Errorf("%d KB resident, %d KB at the peak", kb, PeakMemory(os.Getpid()))
	}
}
