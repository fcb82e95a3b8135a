package connlimiter

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// refusal is sent on a connection for which there is no room.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// tooLarge and timedOut are sent instead of parsing a head.
	tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	timedOut = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// statusWriteTime bounds the writing of one of them. It fits into the socket's buffer
	// unless the client has left earlier responses unread.
	statusWriteTime = 20 * time.Millisecond
)

// limitedListener returns connections that a Limiter limits.
type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection for which there is room. Others are refused.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(accepted, l.limiter)
		if l.limiter.admit(c) {
			return c, nil
		}
		writeStatus(accepted, refusal)
		_ = accepted.Close()
	}
}

// SyscallConn lets package drainer look for connections that weren't accepted yet.
func (l limitedListener) SyscallConn() (syscall.RawConn, error) { return rawConn(l.Listener) }

// rawConn returns the descriptor of a listener or connection.
func rawConn(source any) (syscall.RawConn, error) {
	s, ok := source.(syscall.Conn)
	if !ok {
		return nil, errors.New("no file descriptor")
	}
	return s.SyscallConn()
}

// writeStatus sends the text of a status as far as it can be sent at once.
func writeStatus(c net.Conn, text string) {
	_ = c.SetWriteDeadline(time.Now().Add(statusWriteTime))
	_, _ = io.WriteString(c, text)
}

// limitedConn returns the limited connection that c is or wraps; nil if there is none.
func limitedConn(c net.Conn) *conn {
	for {
		if limited, ok := c.(*conn); ok {
			return limited
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}
