package connlimiter

import (
	"net/http"

	"golang.org/x/sys/unix"
)

// Writable reports whether a short write to the client of a request wouldn't block now. The
// kernel says so while at least a third of the send buffer is free. A connection that can't be
// asked counts as writable.
func (*Limiter) Writable(r *http.Request) bool {
	c, limited := r.Context().Value(connKey{}).(*conn)
	if !limited {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	writable := true
	_ = raw.Control(func(fd uintptr) {
		polled := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
		n, pollErr := unix.Poll(polled[:], 0)
		writable = pollErr != nil || n > 0
	})
	return writable
}
