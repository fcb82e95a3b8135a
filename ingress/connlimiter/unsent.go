package connlimiter

import (
	"net/http"

	"golang.org/x/sys/unix"
)

// TakeUnsent makes the kernel take up to a number of bytes more for the client of a request. It
// sends them also after the process has ended. The kernel's own limit, net.core.wmem_max, holds.
// It does nothing for a connection that isn't limited or is closed. This memory isn't charged: it is
// meant for the last moments of a process.
func (*Limiter) TakeUnsent(r *http.Request, bytes int) {
	c, limited := r.Context().Value(connKey{}).(*conn)
	if !limited {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = control(raw, func(fd int) error {
		// The kernel reports twice the size that it was given, and counts its bookkeeping.
		size, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF)
		if err != nil {
			return err
		}
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size+bytes)
	})
}
