// Package crashsaver saves the crashes of recurrent suspects, those that have crashed
// several upstreams, in the platform's store. There they outlast all gateways.
package crashsaver

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/crashencoder"
	"github.com/currantwood/currantwood/crashkeeper"
	"github.com/currantwood/currantwood/sleeper"
)

const (
	// interval is the time between two looks at what has to be saved.
	interval = 100 * time.Millisecond
	// retryPause is the time before a failed append is repeated.
	retryPause = 500 * time.Millisecond
	// saveTimeout bounds how long Save waits, and so an answer to a client.
	saveTimeout = 200 * time.Millisecond
	// appendTimeout bounds an append.
	appendTimeout = 1500 * time.Millisecond
	// maxSuspects bounds the suspects in one append, about 500 bytes each; an append has at most
	// 2 MB.
	maxSuspects = 1000
)

// Crashes is what the gateway knows. Its methods are safe for concurrent use.
type Crashes interface {
	// UnsavedCrashes returns up to limit suspects whose crashes have to be saved.
	UnsavedCrashes(now time.Time, limit int) []crashkeeper.Unsaved
	// MarkCrashesSaved notes that they were.
	MarkCrashesSaved(saved []crashkeeper.Unsaved)
	// SaveSingleCrashes makes UnsavedCrashes return suspects with one crash, too.
	SaveSingleCrashes()
}

// Options configures a Saver. All fields are required.
type Options struct {
	Store   currantwood.KeyedWriter
	Topic   string
	Crashes Crashes
	Logger  *zap.Logger
	// Now reads the clock of Crashes, TimeOfDay the one that records hold.
	Now, TimeOfDay func() time.Time
	// Responsible reports whether this gateway saves for all.
	Responsible func(now time.Time) bool
}

// Saver saves crashes in the background and at once. It is safe for concurrent use.
type Saver struct {
	options Options
	// saving holds a value while crashes are being saved, so that those that become
	// known meanwhile go into one append after it.
	saving chan struct{}
	// failing is whether the last append failed.
	failing atomic.Bool
}

// New returns a Saver that works until ctx is done.
func New(ctx context.Context, options Options) *Saver {
	s := &Saver{options: options, saving: make(chan struct{}, 1)}
	go func() {
		pause := interval
		for sleeper.Sleep(ctx, pause) {
			pause = interval
			if s.options.Responsible(s.options.Now()) && !s.save(ctx) {
				pause = retryPause
			}
		}
	}()
	return s
}

// Save saves what has to be saved, also if this gateway doesn't save for all, and
// returns once that is done. It waits for saveTimeout at most, and not at all while
// appends fail.
func (s *Saver) Save(ctx context.Context) {
	if s.failing.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	s.save(ctx)
}

// SaveAll is Save for the end of the process: it saves suspects with one crash, too,
// and tries for appendTimeout, also while appends fail.
func (s *Saver) SaveAll(ctx context.Context) {
	s.options.Crashes.SaveSingleCrashes()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	s.save(ctx)
}

// save saves what has to be saved now and reports whether that succeeded. An append
// whose outcome is unknown is repeated, which does no harm: records are keyed.
func (s *Saver) save(ctx context.Context) bool {
	select {
	case s.saving <- struct{}{}:
		defer func() { <-s.saving }()
	case <-ctx.Done():
		return false
	}
	unsaved := s.options.Crashes.UnsavedCrashes(s.options.Now(), maxSuspects)
	if len(unsaved) == 0 {
		return true
	}
	records := make([]currantwood.KeyedRecord, 0, len(unsaved))
	for _, u := range unsaved {
		record, err := crashencoder.Encoder{}.Encode(s.options.TimeOfDay(), u.SuspectRecord)
		if err != nil {
			s.options.Logger.Error("failed to encode crashes", zap.Error(err))
			continue
		}
		records = append(records, record)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := s.options.Store.Append(ctx, s.options.Topic, records)
	s.logOutcome(err, len(records))
	if err != nil {
		return false
	}
	s.options.Crashes.MarkCrashesSaved(unsaved)
	return true
}

// logOutcome logs each success, and the first of a series of failures.
func (s *Saver) logOutcome(err error, suspects int) {
	if err == nil {
		s.options.Logger.Info("crashes saved", zap.Int("suspects", suspects), zap.Bool("after-failure", s.failing.Load()))
	}
	if err != nil && !s.failing.Load() {
		s.options.Logger.Warn("crashes not saved, trying again", zap.Int("suspects", suspects), zap.Error(err))
	}
	s.failing.Store(err != nil)
}
