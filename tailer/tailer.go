// Package tailer follows the rules stream of the log service and appends
// checkpoints that are due. It does the I/O for a headkeeper.
package tailer

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/sleeper"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// readLimit bounds the records of one read, since each may be large.
	readLimit = 16
	// pollInterval is the wait after a read that returned no new records.
	pollInterval = 50 * time.Millisecond
	// idleInterval is how often a process that is not chosen checks whether it
	// has been chosen.
	idleInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the log service.
	callTimeout = 5 * time.Second
	// maxRetryInterval bounds the wait after a failed call.
	maxRetryInterval = time.Second
)

// ReaderRank says whether a process is chosen to read the log, and its rank among the
// chosen processes. It is not an offset in the log.
type ReaderRank struct {
	// Chosen reports whether the process reads the log.
	Chosen bool
	// Rank is the rank of the process among the chosen ones of its region,
	// from 0.
	Rank int
}

// Options configures a Tailer. All fields are required.
type Options struct {
	Log currantwood.Log
	// ReaderRank is called before each read.
	ReaderRank func() ReaderRank
	// NextOffset returns the offset to read next.
	NextOffset func() currantwood.Offset
	// HandleBatch receives each batch that was read, also an empty one.
	HandleBatch func(now time.Time, batch currantwood.RecordBatch)
	// Checkpoint returns the checkpoint record that is due, or nil if none is.
	Checkpoint func(now time.Time, rank int) ([]byte, error)
	Logger     *zap.Logger
}

// Tailer follows the rules stream in a goroutine of its own.
type Tailer struct {
	options Options
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// New starts a tailer; Close stops it.
func New(options Options) *Tailer {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tailer{options: options, cancel: cancel}
	t.wait.Add(1)
	go func() {
		defer t.wait.Done()
		t.run(ctx)
	}()
	return t
}

// Close stops the tailer and waits until it has returned.
func (t *Tailer) Close() {
	t.cancel()
	t.wait.Wait()
}

func (t *Tailer) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = pollInterval
	retry.MaxInterval = maxRetryInterval
	failing := false
	for ctx.Err() == nil {
		readerRank := t.options.ReaderRank()
		if !readerRank.Chosen {
			sleeper.Sleep(ctx, idleInterval)
			continue
		}
		wait, err := t.step(ctx, readerRank.Rank)
		if err != nil && ctx.Err() == nil {
			if !failing {
				t.options.Logger.Warn("failed to read the rules stream or write a checkpoint, retrying", zap.Error(err))
			}
			failing = true
			sleeper.Sleep(ctx, retry.NextBackOff())
			continue
		}
		failing = false
		retry.Reset()
		sleeper.Sleep(ctx, wait)
	}
}

// step reads one batch and returns how long to wait before the next. Once there
// are no new records, it appends a checkpoint if one is due.
func (t *Tailer) step(ctx context.Context, rank int) (time.Duration, error) {
	from := t.options.NextOffset()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	batch, err := t.options.Log.Read(callCtx, headkeeper.Stream, from, readLimit)
	if err != nil {
		return 0, errors.Wrap(err, "read rules stream")
	}
	t.options.HandleBatch(time.Now(), batch)
	if t.options.NextOffset() != from {
		return 0, nil
	}
	return pollInterval, t.checkpoint(ctx, rank)
}

// checkpoint appends a checkpoint if one is due. A checkpoint whose response is
// lost is not looked up in the log before the retry, since a duplicate is harmless.
func (t *Tailer) checkpoint(ctx context.Context, rank int) error {
	data, err := t.options.Checkpoint(time.Now(), rank)
	if err != nil || data == nil {
		return errors.Wrap(err, "create rules checkpoint")
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, err := t.options.Log.Append(callCtx, headkeeper.Stream, data)
	if err != nil {
		return errors.Wrap(err, "append rules checkpoint")
	}
	t.options.Logger.Info("rules checkpoint written", zap.Uint64("offset", uint64(offset)))
	return nil
}
