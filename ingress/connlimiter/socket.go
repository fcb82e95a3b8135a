package connlimiter

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/currantwood/currantwood/ingress/apportioner"
)

// Open opens a listener whose connections are limited. What the kernel holds for them, unread
// or unsent, is limited from their first byte, as they inherit the sizes of its buffers. If a
// size can't be set, the listener is opened with the kernel's own.
func (l *Limiter) Open(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if err := l.setBuffers(raw, l.options.Shares.Buffers); err != nil {
			l.options.Logger.Warn("the kernel's memory for connections isn't limited", zap.String("listener", l.options.Name), zap.Error(err))
		}
		return nil
	}}
	// Connections of a listener for Multipath TCP don't inherit the sizes.
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for "+l.options.Name)
	}
	return l.Listen(listener), nil
}

// setBuffers sizes the buffers of a socket; a size of 0 leaves a buffer as it is. The kernel
// doubles what it is given, to allow for its bookkeeping, so it is given half. If one size can't
// be set, the other one is.
func (l *Limiter) setBuffers(raw syscall.RawConn, buffers apportioner.Buffers) error {
	return control(raw, func(fd int) error {
		var failure error
		for _, b := range []struct {
			name         string
			option, size int
		}{{"receive", unix.SO_RCVBUF, buffers.Receive}, {"send", unix.SO_SNDBUF, buffers.Send}} {
			if b.size == 0 {
				continue
			}
			if err := l.setOption(fd, unix.SOL_SOCKET, b.option, b.size/2); err != nil {
				failure = errors.Wrapf(err, "set the %s buffer of a socket to %d bytes", b.name, b.size)
			}
		}
		return failure
	})
}

// raiseWindow lets the window grow with the receive buffer: a connection keeps the bound that it
// had when it was opened.
func raiseWindow(raw syscall.RawConn, buffers apportioner.Buffers) error {
	return control(raw, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, buffers.Receive/2)
	})
}

// control calls do with the descriptor of a socket.
func control(raw syscall.RawConn, do func(fd int) error) error {
	var failure error
	if err := raw.Control(func(fd uintptr) { failure = do(int(fd)) }); err != nil {
		return errors.Wrap(err, "access a socket")
	}
	return failure
}

// widen enlarges the buffers of the socket for a long transfer, as far as there is memory. They
// stay wide until the connection closes: a peer that has seen a wide window sends hardly anything
// into a narrow one. The caller holds mu.
func (c *conn) widen() {
	if c.wide || c.state == closed || !c.limiter.reserveWide() {
		return
	}
	c.wide = true
	raw, err := rawConn(c.Conn)
	if err != nil {
		return
	}
	// Without them the transfer only takes longer.
	if c.limiter.setBuffers(raw, c.limiter.options.Shares.WideBuffers) == nil {
		_ = raiseWindow(raw, c.limiter.options.Shares.WideBuffers)
	}
}

// releaseWide gives back what was charged for wide buffers. The caller holds mu.
func (c *conn) releaseWide() {
	if c.wide {
		c.wide = false
		c.limiter.wide.Add(-1)
	}
}

// reserveWide reports whether one more connection may have wide buffers, and charges for it.
func (l *Limiter) reserveWide() bool {
	if l.wide.Add(1) <= int64(l.options.Shares.WideConnections) {
		return true
	}
	l.wide.Add(-1)
	return false
}

// wideBytes returns the memory of the connection's wide buffers. The caller holds mu.
func (c *conn) wideBytes() int64 {
	if !c.wide {
		return 0
	}
	return c.limiter.options.Shares.WideBuffers.Bytes()
}
