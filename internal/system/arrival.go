package system

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Unacknowledged is how many bytes that were written to a TCP connection the far machine has not acknowledged yet; 0 where the
// operating system does not tell.
func UnacknowledgedBytes(conn net.Conn) (bytes int) {
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

// ReceivedAgo is how long ago the last bytes came to a TCP connection, whenever they are read; false where the operating system does not
// tell.
func SinceLastReceive(fd uintptr) (time.Duration, bool) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}
