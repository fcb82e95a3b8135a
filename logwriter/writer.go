// Package logwriter writes log lines without ever blocking the code that logs.
//
// Lines wait in a queue of bounded size for a goroutine that writes them in
// batches. When the queue is full, lines are dropped and counted, and the
// count is written as a line of its own.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the bytes that wait to be written.
	maxPending = 256 << 10
	// batchTime is how long lines wait for others to be written with them.
	batchTime = 100 * time.Millisecond
)

// Writer implements zapcore.WriteSyncer.
type Writer struct {
	out io.Writer
	mu  sync.Mutex
	// pending holds whole lines, at most maxPending bytes.
	pending []byte
	dropped int64
	// wake has room for one signal that pending is no longer empty.
	wake chan struct{}
	// writing is held while a batch is written, so that Sync can wait for it.
	writing sync.Mutex
}

// New returns a writer that writes to out until the process ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go func() {
		for range w.wake {
			time.Sleep(batchTime)
			w.flush()
		}
	}()
	return w
}

// Write takes one line. It never blocks on the output and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > maxPending {
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

// Sync writes what is pending.
func (w *Writer) Sync() error {
	w.flush()
	return nil
}

func (w *Writer) flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	batch, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	// Nobody is left to tell that the log can't be written.
	_, _ = w.out.Write(batch)
}
