package system

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UnacknowledgedBytes returns how many bytes written to a TCP connection the peer has not acknowledged yet, or 0 if the
// operating system does not report it.
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
		if count, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = count
		}
	})
	return bytes
}

// SinceLastReceive returns how long ago the last bytes arrived on a TCP connection, whether or not they have been read.
// It returns false if the operating system does not report it.
func SinceLastReceive(fd uintptr) (time.Duration, bool) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}
