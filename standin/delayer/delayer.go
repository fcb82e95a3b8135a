// Package delayer adds a one-way delay to loopback connections, so that tests
// and the demo have the latencies between regions.
package delayer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxChunkBytes is the most that is read and delayed in one piece.
const maxChunkBytes = 64 << 10

// maxQueuedChunks is the maximum number of delayed chunks in one direction.
const maxQueuedChunks = 1024

// Conn is a connection that delays bytes in both directions.
type Conn struct {
	net.Conn
	delay    time.Duration
	out      chan chunk
	incoming *io.PipeReader
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
	// discard is set by Silence.
	discard atomic.Bool
}

// chunk is delayed data.
type chunk struct {
	// due is when the data is passed on.
	due  time.Time
	data []byte
}

// New wraps a connection with a one-way delay. It takes ownership of conn.
func New(conn net.Conn, delay time.Duration) *Conn {
	reader, writer := io.Pipe()
	c := &Conn{
		Conn:     conn,
		delay:    delay,
		out:      make(chan chunk, maxQueuedChunks),
		incoming: reader,
		closed:   make(chan struct{}),
	}
	arrived := make(chan chunk, maxQueuedChunks)
	go func() { c.forward(c.out, conn) }()
	go func() {
		defer func() { _ = writer.Close() }()
		c.forward(arrived, writer)
	}()
	go func() { c.receive(arrived) }()
	return c
}

// Read reads bytes whose delay is over.
func (c *Conn) Read(p []byte) (int, error) { return c.incoming.Read(p) }

// Write queues bytes. It blocks only while the queue is full, and returns
// net.ErrClosed after Close.
func (c *Conn) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	select {
	case c.out <- chunk{time.Now().Add(c.delay), data}:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close closes the connection and drops all delayed bytes.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	_ = c.incoming.Close()
	return c.Conn.Close()
}

// Silence discards all bytes from now on, in both directions, and keeps the
// connection open.
func (c *Conn) Silence() { c.discard.Store(true) }

// forward writes chunks to a writer when they are due.
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
			if c.discard.Load() {
				continue
			}
			if _, err := to.Write(piece.data); err != nil {
				return
			}
		}
	}
}

// receive reads from the connection and queues what it read with its due time.
func (c *Conn) receive(arrived chan<- chunk) {
	defer close(arrived)
	buffer := make([]byte, maxChunkBytes)
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
