package system

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns an identifier of this boot and how long the machine has been up, by a clock that neither steps nor
// ends with a process. Two readings with the same boot can be subtracted; an empty boot compares with nothing.
func Uptime() (boot string, up time.Duration) {
	var now unix.Timespec
	bootID, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return "", 0
	}
	return strings.TrimSpace(string(bootID)), time.Duration(now.Nano())
}
