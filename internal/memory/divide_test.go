package memory

import (
	"errors"
	"testing"
)

// What a limit leaves to the Go runtime and to clients, with programs of two sizes. The parts fit the limit, and each
// further mebibyte of the limit goes to someone.
func TestDivide(t *testing.T) {
	const smallProgram, largeProgram = 8 * mebibyte, 19 * mebibyte
	for _, c := range []struct {
		limit, files     int64 // MiB and bytes
		runtime, clients int64 // MiB, rounded down
		attempts         int
	}{
		{32, smallProgram, 21, 11, 101}, {40, smallProgram, 28, 16, 146}, {64, smallProgram, 50, 30, 278},
		{96, smallProgram, 79, 50, 455}, {192, smallProgram, 165, 109, 986},
		{32, largeProgram, 11, 4, 41}, {40, largeProgram, 18, 9, 85}, {192, largeProgram, 155, 102, 925},
	} {
		got, err := Divide(c.limit*mebibyte, c.files)
		if err != nil {
			t.Errorf("%d MiB: %v", c.limit, err)
		}
		if got.Runtime/mebibyte != c.runtime || got.Clients/mebibyte != c.clients || got.Attempts != c.attempts {
			t.Errorf("%d MiB with %d of files: %d for the runtime, %d for clients, %d attempts; want %d, %d, %d", c.limit,
				c.files/mebibyte, got.Runtime/mebibyte, got.Clients/mebibyte, got.Attempts, c.runtime, c.clients, c.attempts)
		}
		if c.files+got.Runtime > c.limit*mebibyte || baseBytes+got.Clients+int64(got.Attempts)*attemptBytes > got.Runtime {
			t.Errorf("%d MiB: %+v does not fit", c.limit, got)
		}
	}
}

// A limit with which nothing could be served is refused with the least one that would do.
func TestLimitThatIsTooSmallIsRefused(t *testing.T) {
	for _, files := range []int64{0, 8 * mebibyte, 19 * mebibyte} {
		for limit := int64(1); ; limit++ {
			_, err := Divide(limit*mebibyte, files)
			if err == nil {
				if limit == 1 {
					t.Fatal("1 MiB is taken")
				}
				break
			}
			var small *LimitTooSmallError
			if !errors.As(err, &small) {
				t.Fatal(err)
			}
			if needed := (small.Needed + mebibyte - 1) / mebibyte; needed <= limit {
				t.Fatalf("%d MiB are refused, and %d are said to be needed", limit, needed)
			} else if _, err := Divide(needed*mebibyte, files); err != nil {
				t.Fatalf("%d MiB are said to be needed: %v", needed, err)
			}
		}
	}
}
