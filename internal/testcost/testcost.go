// Package testcost lets tests bound what a piece of code costs on any machine, busy or not: it measures the processor
// time of the code, not the time on the clock.
package testcost

import (
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// PerRound calls run with the numbers from 0 to rounds-1 and returns the mean processor time of a call. Time in which the
// thread waits for a processor isn't counted, nor is the work of goroutines that run starts.
func PerRound(t testing.TB, rounds int, run func(round int)) time.Duration {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadTime(t)
	for round := range rounds {
		run(round)
	}
	return (threadTime(t) - began) / time.Duration(rounds)
}

// threadTime returns the processor time that the calling thread has used.
func threadTime(t testing.TB) time.Duration {
	t.Helper()
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Nano())
}
