package memory

import (
	"fmt"
	"math"
)

// What a process needs apart from its clients, and what it must be able to hold of them.
const (
	baseBytes      = 4 << 20  // heap of the process: scheduler, ids, backends, releases
	minClientBytes = 2 << 20  // with which a few clients can be served
	attemptBytes   = 20 << 10 // of an attempt: its goroutine, and its connection with a buffer
	runtimeShare   = 0.9      // of what the program's files leave, for the Go runtime; the rest is threads and C memory
	liveShare      = 0.8      // of the runtime's memory that may be live, so that the collector has room to work
	attemptShare   = 0.15     // of the live memory beyond the base, for attempts
	mebibyte       = 1 << 20
)

// Division is how a process's memory limit is divided.
type Division struct {
	Runtime  int64 // bytes for the Go runtime, whose collector works harder near it
	Clients  int64 // bytes that clients may make the process hold
	Attempts int   // that may be in flight
}

// LimitTooSmallError reports a memory limit with which no client could be served.
type LimitTooSmallError struct{ Limit, Needed int64 } // bytes

// Error tells how much is needed.
func (e *LimitTooSmallError) Error() string {
	return fmt.Sprintf("the memory limit of %d MiB is too small, %d MiB are needed", e.Limit/mebibyte,
		(e.Needed+mebibyte-1)/mebibyte)
}

// Divide divides a memory limit, given the size of the files that the process has mapped: its program and libraries,
// whose pages count against the limit.
func Divide(limit, files int64) (Division, error) {
	division := divide(limit, files)
	if division.Clients < minClientBytes {
		return Division{}, &LimitTooSmallError{limit, neededLimit(files)}
	}
	return division, nil
}

func divide(limit, files int64) Division {
	runtime := int64(runtimeShare * float64(limit-files))
	live := liveShare*float64(runtime) - baseBytes
	return Division{
		Runtime: runtime, Clients: int64((1 - attemptShare) * live), Attempts: int(attemptShare * live / attemptBytes),
	}
}

// neededLimit returns the least limit that leaves clients what they need.
func neededLimit(files int64) int64 {
	live := baseBytes + minClientBytes/(1-attemptShare)
	return files + int64(math.Ceil(live/liveShare/runtimeShare))
}
