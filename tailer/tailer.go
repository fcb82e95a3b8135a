// Package tailer reads the rules stream of the log service as it grows and
// writes checkpoints that are due. It is the shell around a headkeeper.
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
	// readLimit bounds the records of one read, each of which may be large.
	readLimit = 16
	// pollInterval is the wait after a read that brought nothing.
	pollInterval = 50 * time.Millisecond
	// idleInterval is how often a process that is not chosen asks again.
	idleInterval = 250 * time.Millisecond
	// callTimeout bounds one call of the log service.
	callTimeout = 5 * time.Second
	// maxRetryInterval bounds the wait between calls that fail.
	maxRetryInterval = time.Second
)

// Position is where a process stands among those that may read the log.
type Position struct {
	// Chosen says that the process reads the log.
	Chosen bool
	// Rank orders the chosen ones of a region, from 0.
	Rank int
}

// Options says what a tailer reads and whom it tells.
type Options struct {
	Log currantwood.Log
	// Position is asked before each read.
	Position func() Position
	// Want returns the offset to read next.
	Want func() currantwood.Offset
	// Feed takes in what was read.
	Feed func(now time.Time, window currantwood.RecordBatch)
	// Checkpoint returns the record of a checkpoint that is due, or nil.
	Checkpoint func(now time.Time, rank int) ([]byte, error)
	Logger     *zap.Logger
}

// Tailer is one running reader.
type Tailer struct {
	options Options
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// New starts a tailer. Close ends it.
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

// Close ends the tailer and waits for it.
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
		position := t.options.Position()
		if !position.Chosen {
			sleeper.Sleep(ctx, idleInterval)
			continue
		}
		wait, err := t.step(ctx, position.Rank)
		if err != nil && ctx.Err() == nil {
			if !failing {
				t.options.Logger.Warn("rules stream not read or written, trying again", zap.Error(err))
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

// step reads once, writes a checkpoint where one is due, and returns how long
// to wait.
func (t *Tailer) step(ctx context.Context, rank int) (time.Duration, error) {
	from := t.options.Want()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	window, err := t.options.Log.Read(call, headkeeper.Stream, from, readLimit)
	if err != nil {
		return 0, errors.Wrap(err, "tailer: read")
	}
	t.options.Feed(time.Now(), window)
	if t.options.Want() != from {
		return 0, nil
	}
	return pollInterval, t.checkpoint(ctx, rank)
}

// checkpoint needs no look-up after a lost answer: a second one does no harm.
func (t *Tailer) checkpoint(ctx context.Context, rank int) error {
	data, err := t.options.Checkpoint(time.Now(), rank)
	if err != nil || data == nil {
		return errors.Wrap(err, "tailer: checkpoint")
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, err := t.options.Log.Append(call, headkeeper.Stream, data)
	if err != nil {
		return errors.Wrap(err, "tailer: checkpoint")
	}
	t.options.Logger.Info("rules checkpoint written", zap.Uint64("offset", uint64(offset)))
	return nil
}
