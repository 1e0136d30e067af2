package system

import (
	"os"
	"strconv"
	"strings"
)

// MappedFileBytes returns the size of the files that this process has mapped: its program and its libraries. It returns 0
// if the operating system does not tell.
func MappedFileBytes() int64 {
	raw, err := os.ReadFile("/proc/self/maps")
	if err != nil {
		return 0
	}
	return sumFileMappings(string(raw))
}

// sumFileMappings returns the size of the accessible mappings of files in a list as /proc/PID/maps has it.
func sumFileMappings(maps string) (total int64) {
	for line := range strings.Lines(maps) {
		fields := strings.Fields(line) // range, permissions, offset, device, inode, path
		if len(fields) < 6 || !strings.HasPrefix(fields[5], "/") || strings.HasPrefix(fields[1], "---") {
			continue
		}
		from, to, _ := strings.Cut(fields[0], "-")
		begin, err1 := strconv.ParseInt(from, 16, 64)
		end, err2 := strconv.ParseInt(to, 16, 64)
		if err1 == nil && err2 == nil {
			total += end - begin
		}
	}
	return total
}
