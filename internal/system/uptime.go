package system

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Uptime is how long the machine has been up, by a clock that neither steps nor ends with a process, and the name of this boot. Two
// readings tell the time between them where they name the same boot; an empty name compares with nothing.
func Uptime() (boot string, up time.Duration) {
	var now unix.Timespec
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return "", 0
	}
	return strings.TrimSpace(string(id)), time.Duration(now.Nano())
}
