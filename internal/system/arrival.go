package system

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged is how many bytes that were written to a TCP connection the far machine has not acknowledged yet; 0 where the
// operating system does not tell.
func Unacknowledged(conn net.Conn) (bytes int) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return bytes
}
