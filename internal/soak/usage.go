package soak

import (
	"context"
	"fmt"
	"time"

	"sloetrestle/internal/procstat"
	"sloetrestle/internal/system"
)

// usage is the mean resource use of the dispatcher processes that were up at the end of a run.
type usage struct {
	processes int
	cpu       time.Duration
	peakKB    int64
}

// Limits of a dispatcher's process. The platform kills one that exceeds them.
const (
	maxMemoryKB     = 96 << 10
	maxDescriptors  = 1024
	usageSampleStep = 100 * time.Millisecond
)

// watchUsage checks the memory and descriptors of all processes against the limits until the context ends. A process
// that exceeds one would be killed.
func (r *run) watchUsage(ctx context.Context) {
	for system.Sleep(ctx, usageSampleStep) {
		for _, d := range r.dispatchers {
			d.mu.Lock()
			cmd, sampled := d.cmd, d.process
			d.mu.Unlock()
			if cmd != nil {
				r.checkUsage(sampled, procstat.ResidentMemory(cmd.Process.Pid), procstat.OpenDescriptors(cmd.Process.Pid))
			}
		}
	}
}

// checkUsage compares one sample of a process with the limits. A process that has just ended uses nothing.
func (r *run) checkUsage(sampled *process, memoryKB int64, descriptors int) {
	if memoryKB == 0 {
		return
	}
	r.record.with(func() {
		sampled.usageSamples++
		if sampled.exceeded.text == "" && (memoryKB > maxMemoryKB || descriptors > maxDescriptors) {
			sampled.exceeded = excess{r.record.now(), fmt.Sprintf("%d KB of memory, limit %d; %d descriptors, limit %d",
				memoryKB, maxMemoryKB, descriptors, maxDescriptors)}
		}
	})
}

// excess tells when a process exceeded a limit first, and by what.
type excess struct {
	at   time.Duration
	text string // empty: it did not
}

// usageOf returns the mean resource use of the given processes since their start.
func usageOf(pids []int) (sum usage) {
	for _, pid := range pids {
		cpu, err := procstat.ProcessorTime(pid)
		if err != nil {
			continue
		}
		sum.processes++
		sum.cpu += cpu
		sum.peakKB += procstat.PeakMemory(pid)
	}
	if sum.processes > 0 {
		sum.cpu /= time.Duration(sum.processes)
		sum.peakKB /= int64(sum.processes)
	}
	return sum
}

func (u usage) String() string {
	return fmt.Sprintf("%v of processor time and %d KB at the peak, on the mean over %d processes",
		u.cpu, u.peakKB, u.processes)
}
