package system

import (
	"errors"
	"slices"
	"syscall"
)

// localErrors are what socket(2) and connect(2) fail with where this machine lacks what it needs to begin: descriptors, memory, ports,
// a network. They say nothing of the far side, and pass.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EPERM, syscall.EACCES, syscall.EINTR,
}

// Local tells whether an error of connecting comes from this machine alone.
func IsLocalError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localErrors, errno)
}
