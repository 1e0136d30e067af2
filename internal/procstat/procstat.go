// Package procstat reads from /proc what a process uses. A process that has ended uses nothing. Begin with
// ResidentMemory.
package procstat

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTicks = 100 // per second of processor time in /proc
	userTime   = 11  // field of /proc/PID/stat, counted after the process name; so is systemTime
	systemTime = 12
)

// ProcessorTime returns the processor time that a process has used, user and system.
func ProcessorTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, afterName, _ := bytes.Cut(raw, []byte(") ")) // the name may contain spaces
	fields := strings.Fields(string(afterName))
	if len(fields) <= systemTime {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	ticks := 0
	for _, field := range fields[userTime : systemTime+1] {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// PeakMemory returns the peak resident memory of a process in KB, or 0 if it is unknown.
func PeakMemory(pid int) int64 { return memoryStatus(pid, "VmHWM:") }

// ResidentMemory returns the resident memory of a process in KB, or 0 if it is unknown.
func ResidentMemory(pid int) int64 { return memoryStatus(pid, "VmRSS:") }

// memoryStatus returns a value in KB of /proc/PID/status, or 0 if it is unknown.
func memoryStatus(pid int, name string) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(line, name); found {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kb
		}
	}
	return 0
}

// OpenDescriptors returns how many descriptors a process has open, or 0 if it is unknown.
func OpenDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
