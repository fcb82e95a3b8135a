// Package logwriter writes log lines without blocking the code that logs.
//
// Lines are buffered, and a goroutine writes them in batches. Lines that don't fit
// into the buffer are dropped, and their number is logged: as a line of JSON with the
// level and message keys of zap's production encoder, and without a time.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes is the maximum size of the buffer.
	maxPendingBytes = 256 << 10
	// batchDelay is the time from a signal on Writer.wake to the write of the batch.
	// Unless the output is slow, no line waits longer.
	batchDelay = 100 * time.Millisecond
)

// Writer is a buffered zapcore.WriteSyncer. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	mu  sync.Mutex
	// pending holds complete lines, at most maxPendingBytes.
	pending []byte
	// dropped is the number of lines dropped since the last flush.
	dropped int64
	// wake signals that pending is not empty. Its capacity is 1.
	wake chan struct{}
	// flushMu is held while a batch is written, so that Sync waits for it.
	flushMu sync.Mutex
}

// New returns a writer to out. Its goroutine runs until the process ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go func() {
		for range w.wake {
			time.Sleep(batchDelay)
			w.flush()
		}
	}()
	return w
}

// Write buffers or drops one line. It doesn't wait for the output and never returns
// an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync writes the buffered lines to the output and waits for that. It always returns
// nil: an error of the output is dropped, as the log itself is the place to report it.
func (w *Writer) Sync() error {
	w.flush()
	return nil
}

// flush writes the buffered lines and, if lines were dropped, their number.
func (w *Writer) flush() {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	w.mu.Lock()
	batch, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	// An error of the output is dropped (see Sync).
	_, _ = w.out.Write(batch)
}
