package drainer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// isReadable reports whether the kernel holds bytes, the end of the stream or, for a
// listener, a connection that the process hasn't taken yet. It is false for what has no
// file descriptor or can't be polled.
func isReadable(source any) bool {
	s, ok := source.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(polled, 0)
		readable = pollErr == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && readable
}
