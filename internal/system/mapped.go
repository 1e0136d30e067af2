package system

import (
	"os"
	"strconv"
	"strings"
)

// MappedFileBytes returns the size of the program and the libraries that this process has mapped. It returns 0 if the
// operating system does not tell.
func MappedFileBytes() int64 {
	raw, err := os.ReadFile("/proc/self/maps")
	if err != nil {
		return 0
	}
	return sumProgramMappings(string(raw))
}

// sumProgramMappings returns the size of the accessible mappings of files with code, in a list as /proc/PID/maps has it.
// Other mapped files, such as shared memory, are left out.
func sumProgramMappings(maps string) (total int64) {
	sizes, hasCode := map[string]int64{}, map[string]bool{}
	for line := range strings.Lines(maps) {
		fields := strings.Fields(line) // range, permissions, offset, device, inode, path
		if len(fields) < 6 || !strings.HasPrefix(fields[5], "/") || strings.HasPrefix(fields[1], "---") {
			continue
		}
		path := fields[5]
		sizes[path] += rangeSize(fields[0])
		hasCode[path] = hasCode[path] || strings.Contains(fields[1], "x")
	}
	for path, size := range sizes {
		if hasCode[path] {
			total += size
		}
	}
	return total
}

// rangeSize returns the size of a range of addresses in hexadecimal, 0 if it is malformed.
func rangeSize(text string) int64 {
	from, to, _ := strings.Cut(text, "-")
	begin, beginErr := strconv.ParseUint(from, 16, 64)
	end, endErr := strconv.ParseUint(to, 16, 64)
	if beginErr != nil || endErr != nil || end < begin {
		return 0
	}
	return int64(end - begin)
}
