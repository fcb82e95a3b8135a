// Package delayer gives connections over loopback the one-way delay of a longer
// path, so that tests and the demo see the distances between regions.
package delayer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkBytes is the largest piece that is delayed as one.
const chunkBytes = 64 << 10

// queuedChunks bounds the pieces on their way in one direction.
const queuedChunks = 1024

// Conn is a connection whose bytes arrive late in both directions.
type Conn struct {
	net.Conn
	delay    time.Duration
	out      chan chunk
	incoming *io.PipeReader
	closed   chan struct{}
	once     sync.Once
	silent   atomic.Bool
}

type chunk struct {
	due  time.Time
	data []byte
}

// New delays a connection. It owns conn from the call on.
func New(conn net.Conn, delay time.Duration) *Conn {
	reader, writer := io.Pipe()
	c := &Conn{
		Conn:     conn,
		delay:    delay,
		out:      make(chan chunk, queuedChunks),
		incoming: reader,
		closed:   make(chan struct{}),
	}
	arrived := make(chan chunk, queuedChunks)
	go func() { c.forward(c.out, conn) }()
	go func() {
		defer func() { _ = writer.Close() }()
		c.forward(arrived, writer)
	}()
	go func() { c.receive(arrived) }()
	return c
}

// Read returns bytes that were delayed.
func (c *Conn) Read(p []byte) (int, error) { return c.incoming.Read(p) }

// Write queues bytes; it blocks only while too many are on their way.
func (c *Conn) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	select {
	case c.out <- chunk{time.Now().Add(c.delay), data}:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close closes the connection. Bytes on their way are lost.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	_ = c.incoming.Close()
	return c.Conn.Close()
}

// Silence swallows all bytes from now on, in both directions, and keeps the
// connection open.
func (c *Conn) Silence() { c.silent.Store(true) }

// forward passes chunks on when they are due.
func (c *Conn) forward(chunks <-chan chunk, to io.Writer) {
	for {
		select {
		case <-c.closed:
			return
		case piece, open := <-chunks:
			if !open {
				return
			}
			time.Sleep(time.Until(piece.due))
			if c.silent.Load() {
				continue
			}
			if _, err := to.Write(piece.data); err != nil {
				return
			}
		}
	}
}

// receive stamps incoming bytes.
func (c *Conn) receive(arrived chan<- chunk) {
	defer close(arrived)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		data := append([]byte(nil), buffer[:n]...)
		select {
		case arrived <- chunk{time.Now().Add(c.delay), data}:
		case <-c.closed:
			return
		}
	}
}
