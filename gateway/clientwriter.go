package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// directBytes is what the caller of write may write itself after the connection was found
	// writable. It is below the third of a send buffer that is free then, for send buffers of
	// 24 KB or more. An event takes eventBufferBytes of it beside its text, as the kernel may
	// keep it in a record of its own. So short events need a check, which takes 0.3 us, only
	// every seventh time.
	directBytes      = 8 << 10
	eventBufferBytes = 1 << 10
	// maxBatchBytes bounds the events that are written before a flush once they are buffered.
	// Progress is noted after each flush.
	maxBatchBytes = 4 << 10
	// chunkBytes is the most that frames an event of a response in chunks, and what ends one.
	chunkBytes = 16
	// bufferedEventBytes is what a buffered event takes beside its text.
	bufferedEventBytes = 64
	// bufferRetryInterval is the time between two attempts to reserve memory that other
	// streams have.
	bufferRetryInterval = 50 * time.Millisecond
)

// errClientStopped means that a stream was ended since its client had stopped reading and the
// memory for streams was used up.
var errClientStopped = errors.New("the client stopped reading, and the memory for streams is used up")

// clientWriter writes the events of a stream to its client. While the client keeps up, the
// caller of write writes them itself. Once that would block, events are buffered and a goroutine
// writes them until the buffer is empty.
//
// Only one goroutine calls write and drain.
type clientWriter struct {
	w http.ResponseWriter
	// writable reports whether a short write wouldn't block. If it is nil, the caller of
	// write always writes.
	writable func() bool
	buffers  *streamBuffers
	// cancel ends the exchange with the upstream when the stream is ended for its memory.
	cancel func()
	// noteUnread is called when write begins to wait for memory, and when it ends to. It may
	// be nil.
	noteUnread func(unread bool)
	// credit is what remains of directBytes. Only write uses it.
	credit int

	mu sync.Mutex
	// running is whether the goroutine runs. Meanwhile only it uses w.
	running bool
	// queue holds the buffered events that aren't being written yet.
	queue []bufferedEvent
	// writing is the length of the events that are being written, with what frames them.
	writing int
	// err is why nothing can be written any more; nil if that isn't so.
	err error
	// changed receives a value when the goroutine has written events or has ended. It is
	// nil before the first event is buffered.
	changed chan struct{}
}

// bufferedEvent is the text of an event and the bytes that are charged for it.
type bufferedEvent struct {
	text    []byte
	charged int64
}

// write writes an event or buffers it. While there is no memory for it, write waits until ctx is
// done. After an error, the event may have been written in part.
func (c *clientWriter) write(ctx context.Context, text []byte) error {
	c.mu.Lock()
	running, err := c.running, c.err
	c.mu.Unlock()
	if err != nil {
		return err
	}
	if !running && c.mayWriteDirectly(len(text)) {
		return c.writeNow([]bufferedEvent{{text: text}})
	}
	c.credit = 0
	return c.enqueue(ctx, text)
}

// mayWriteDirectly reports whether the write of an event of a length wouldn't block.
func (c *clientWriter) mayWriteDirectly(length int) bool {
	if c.writable == nil {
		return true
	}
	need := length + eventBufferBytes
	if need > directBytes {
		return false
	}
	if c.credit < need {
		if !c.writable() {
			return false
		}
		c.credit = directBytes
	}
	c.credit -= need
	return true
}

// writeNow writes events and flushes them.
func (c *clientWriter) writeNow(events []bufferedEvent) error {
	for _, event := range events {
		if _, err := c.w.Write(event.text); err != nil {
			return errors.Wrap(err, "write to client")
		}
	}
	return errors.Wrap(http.NewResponseController(c.w).Flush(), "write to client")
}

// enqueue buffers an event and starts the goroutine if it isn't running. The event with which it
// starts isn't charged: it is being written, as without a buffer.
func (c *clientWriter) enqueue(ctx context.Context, text []byte) error {
	charge := int64(cap(text) + bufferedEventBytes)
	waiting := false
	for {
		victim, done, err := c.tryEnqueue(text, charge)
		if done || err != nil {
			return err
		}
		if victim != nil {
			victim.endForMemory()
		}
		if !waiting && c.noteUnread != nil {
			waiting = true
			c.noteUnread(true)
			defer c.noteUnread(false)
		}
		timer := time.NewTimer(bufferRetryInterval)
		select {
		case <-c.changed:
		case <-timer.C:
		case <-ctx.Done():
			err = errors.Wrap(ctx.Err(), "write to client")
		}
		timer.Stop()
		if err != nil {
			return err
		}
	}
}

// tryEnqueue buffers an event if there is memory for it. If not, it returns the stream to end for
// it, or nil.
func (c *clientWriter) tryEnqueue(text []byte, charge int64) (victim *clientWriter, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, false, c.err
	}
	if !c.running {
		if c.changed == nil {
			c.changed = make(chan struct{}, 1)
		}
		c.running = true
		c.queue = append(c.queue, bufferedEvent{text: text})
		c.buffers.open(c)
		go c.writeBuffered()
		return nil, true, nil
	}
	ok, victim := c.buffers.reserve(c, charge)
	if ok {
		c.queue = append(c.queue, bufferedEvent{text, charge})
	}
	return victim, ok, nil
}

// writeBuffered writes what is buffered until there is nothing left or a write fails.
func (c *clientWriter) writeBuffered() {
	for {
		batch := c.takeBatch()
		if batch == nil {
			return
		}
		err := c.writeNow(batch)
		if err == nil {
			var charged int64
			for _, event := range batch {
				charged += event.charged
			}
			c.buffers.release(c, charged)
		}
		c.mu.Lock()
		// The queue shares its array, and would keep the texts in memory uncharged.
		clear(batch)
		if err != nil && c.err == nil {
			c.err = err
		}
		c.mu.Unlock()
		c.signal()
	}
}

// takeBatch takes the events that are written next from the buffer. It returns nil, and the
// goroutine must end, if there are none or nothing can be written.
func (c *clientWriter) takeBatch() []bufferedEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 || c.err != nil {
		c.queue, c.running, c.writing = nil, false, 0
		c.buffers.close(c)
		c.signal()
		return nil
	}
	n, bytes := 1, len(c.queue[0].text)
	for n < len(c.queue) && bytes+len(c.queue[n].text) <= maxBatchBytes {
		bytes += len(c.queue[n].text)
		n++
	}
	batch := c.queue[:n:n]
	c.queue = c.queue[n:]
	c.writing = bytes + n*chunkBytes
	return batch
}

// signal wakes the caller of write or drain.
func (c *clientWriter) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// endForMemory ends the stream so that others can use its memory: the write under way fails, and no other follows.
func (c *clientWriter) endForMemory() {
	c.mu.Lock()
	if !c.running || c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = errClientStopped
	// Wakes the goroutine. net/http closes the connection after a failed write.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Unix(1, 0))
	c.mu.Unlock()
	c.signal()
	c.cancel()
}

// failure returns why nothing can be written any more, or nil.
func (c *clientWriter) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// drain waits until all buffered events are written, the goroutine has ended, and w isn't used
// any more. It returns an error if an event wasn't written. Once ctx is done, it waits only for
// writeSlack.
func (c *clientWriter) drain(ctx context.Context) error {
	for {
		c.mu.Lock()
		running, err := c.running, c.err
		c.mu.Unlock()
		if !running {
			return err
		}
		select {
		case <-c.changed:
		case <-ctx.Done():
			c.shorten()
			ctx = context.Background()
		}
	}
}

// unsentBytes returns the most that the buffered events have left to be written, with what frames
// them.
func (c *clientWriter) unsentBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes := c.writing
	for _, event := range c.queue {
		bytes += len(event.text) + chunkBytes
	}
	return bytes + chunkBytes
}

// shorten makes writes fail soon, also the one under way.
func (c *clientWriter) shorten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running && c.err == nil {
		_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeSlack))
	}
}
