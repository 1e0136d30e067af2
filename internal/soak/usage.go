package soak

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is what the processes of the dispatchers needed, on the mean over those that were up at the end.
type usage struct {
	processes int
	cpu       time.Duration
	peakKB    int64
}

const (
	clockTicks = 100 // of processor time in a second, as /proc states it
	userTime   = 11  // fields of /proc/PID/stat behind the name
	systemTime = 12
)

// usageOf reads what processes needed since their start.
func usageOf(pids []int) (sum usage) {
	for _, pid := range pids {
		cpu, err := processorTime(pid)
		if err != nil {
			continue
		}
		sum.processes++
		sum.cpu += cpu
		sum.peakKB += peakMemory(pid)
	}
	if sum.processes > 0 {
		sum.cpu /= time.Duration(sum.processes)
		sum.peakKB /= int64(sum.processes)
	}
	return sum
}

// processorTime is that of a process so far.
func processorTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, behind, _ := bytes.Cut(raw, []byte(") ")) // the name may hold spaces
	fields := strings.Fields(string(behind))
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

// peakMemory is the most that a process held, in KB; 0: it is not told.
func peakMemory(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kb
		}
	}
	return 0
}

func (u usage) String() string {
	return fmt.Sprintf("%v of processor time and %d KB at the peak, on the mean over %d processes", u.cpu, u.peakKB, u.processes)
}
