package system

import (
	"errors"
	"slices"
	"syscall"
)

// localErrors are the errors of socket(2) and connect(2) when this machine lacks what it needs: descriptors, memory,
// ports or a network. They are transient and say nothing about the peer.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES, syscall.EINTR,
}

// IsLocalError reports whether an error of connecting was caused by this machine alone.
func IsLocalError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localErrors, errno)
}
