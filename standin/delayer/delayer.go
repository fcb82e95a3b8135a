// Package delayer delays each direction of a loopback connection by a given
// time, so that tests and the demonstration have the latencies between regions
// and between availability zones.
package delayer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxChunkBytes is the most that is read from the connection at a time.
const maxChunkBytes = 64 << 10

// maxQueuedChunks is the maximum number of delayed chunks in one direction. A
// full queue blocks Write, or stops reading from the connection.
const maxQueuedChunks = 1024

// Conn is a connection that delays bytes in both directions.
type Conn struct {
	net.Conn
	// delay is the delay of each direction.
	delay time.Duration
	// out holds the written bytes that are not due yet.
	out chan chunk
	// incoming yields the received bytes that were due.
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

// New wraps a connection and delays each direction by the given time. It takes
// ownership of conn.
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

// Silence keeps the connection open and discards all bytes of both directions
// from now on, also those that are still delayed. If the peer closes the
// connection, Read still returns io.EOF.
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
